//! The leader's scaling requests that are being written, and removals of processed results.

use std::collections::{HashSet, VecDeque};

use super::writes::RecordChange;
use crate::duties::OrderKey;

/// The leader's scaling requests and removals of results whose writes wait or are in flight.
#[derive(Debug, Default)]
pub(super) struct LeaderRequests {
    /// New requests that wait until no others are being created.
    waiting: VecDeque<RecordChange>,
    /// Whether a transaction that creates requests is in flight. All of them change the same key.
    is_creating: bool,
    /// Machines whose termination request is being written.
    pending_terminations: HashSet<String>,
    /// Machines of termination requests whose write has an unknown outcome and may still be
    /// carried out: this leader places no tasks on them, whatever the outcome of other
    /// requests for them.
    terminations_with_unknown_outcome: HashSet<String>,
    /// Processed results whose removal is being written.
    pending_removals: HashSet<OrderKey>,
    /// Number of termination requests written by this process, part of their names.
    termination_count: u64,
}

impl LeaderRequests {
    /// Resets the state for a new term, except the count, so that no name is used twice.
    pub(super) fn reset(&mut self) {
        self.waiting.clear();
        self.is_creating = false;
        self.pending_terminations.clear();
        self.terminations_with_unknown_outcome.clear();
        self.pending_removals.clear();
    }

    /// Adds a new request to be created.
    pub(super) fn enqueue(&mut self, request: RecordChange) {
        self.waiting.push_back(request);
    }

    /// Takes at most `requests_max` requests to create in one transaction, in the order in which
    /// they were added. Empty while the previous transaction is in flight.
    pub(super) fn begin_creation(&mut self, requests_max: usize) -> Vec<RecordChange> {
        if self.is_creating {
            return vec![];
        }
        let count = self.waiting.len().min(requests_max);
        self.is_creating = count > 0;
        self.waiting.drain(..count).collect()
    }

    /// Records that the transaction that creates requests has ended, with any outcome.
    pub(super) fn end_creation(&mut self) {
        self.is_creating = false;
    }

    /// Whether a machine's termination request is being written.
    pub(super) fn is_termination_pending(&self, machine: &str) -> bool {
        self.pending_terminations.contains(machine)
    }

    /// Whether a machine's termination request has an unknown outcome and may still be
    /// written.
    pub(super) fn is_termination_outcome_unknown(&self, machine: &str) -> bool {
        self.terminations_with_unknown_outcome.contains(machine)
    }

    /// Records that a termination request is being written, and returns its number.
    pub(super) fn begin_termination(&mut self, machines: &[String]) -> u64 {
        self.termination_count += 1;
        self.pending_terminations.extend(machines.iter().cloned());
        self.termination_count
    }

    /// Records that the write of a machine's termination request has ended, with any outcome.
    pub(super) fn end_termination(&mut self, machine: &str) {
        self.pending_terminations.remove(machine);
    }

    /// Records that the write of a machine's termination request has an unknown outcome.
    pub(super) fn mark_termination_outcome_unknown(&mut self, machine: &str) {
        self.terminations_with_unknown_outcome
            .insert(machine.to_string());
    }

    /// Records that a processed result is being removed. Returns false if its removal is
    /// already in flight.
    pub(super) fn begin_removal(&mut self, key: &OrderKey) -> bool {
        self.pending_removals.insert(key.clone())
    }

    /// Records that the removal of a processed result has ended, with any outcome.
    pub(super) fn end_removal(&mut self, key: &OrderKey) {
        self.pending_removals.remove(key);
    }
}
