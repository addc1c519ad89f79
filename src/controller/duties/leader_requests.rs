//! The leader's scaling requests that are on their way to the store, and results whose removal
//! is.

use std::collections::HashSet;

use crate::duties::OrderKey;

/// The leader's scaling requests that are on their way to the store.
#[derive(Debug, Default)]
pub(super) struct LeaderRequests {
    /// Machines whose termination is being written.
    pending_terminations: HashSet<String>,
    /// Machines of requests with an unknown outcome, which may yet be written: they get no
    /// work under this leader, whatever becomes of other requests for them.
    unanswered_terminations: HashSet<String>,
    /// Results whose removal is being written.
    processed: HashSet<OrderKey>,
    /// Termination requests written in this process, for their names.
    termination_count: u64,
}

impl LeaderRequests {
    /// A term has begun. The count goes on: names must not occur twice.
    pub(super) fn reset(&mut self) {
        self.pending_terminations.clear();
        self.unanswered_terminations.clear();
        self.processed.clear();
    }

    /// Whether a machine's termination is being written.
    pub(super) fn is_termination_pending(&self, machine: &str) -> bool {
        self.pending_terminations.contains(machine)
    }

    /// Whether a machine's termination may yet be written.
    pub(super) fn is_termination_unanswered(&self, machine: &str) -> bool {
        self.unanswered_terminations.contains(machine)
    }

    /// The termination of machines is being written. Returns the number of the request.
    pub(super) fn begin_termination(&mut self, machines: &[String]) -> u64 {
        self.termination_count += 1;
        self.pending_terminations.extend(machines.iter().cloned());
        self.termination_count
    }

    /// The write of a machine's termination has an outcome.
    pub(super) fn end_termination(&mut self, machine: &str) {
        self.pending_terminations.remove(machine);
    }

    /// The write of a machine's termination has an unknown outcome.
    pub(super) fn mark_unanswered(&mut self, machine: &str) {
        self.unanswered_terminations.insert(machine.to_string());
    }

    /// A processed result is to be removed. Returns whether its removal is not on its way
    /// already.
    pub(super) fn begin_removal(&mut self, key: &OrderKey) -> bool {
        self.processed.insert(key.clone())
    }

    /// The removal of a processed result has an outcome.
    pub(super) fn end_removal(&mut self, key: &OrderKey) {
        self.processed.remove(key);
    }
}
