//! Terminations that the store records or the cloud has confirmed. They outlive the state of the
//! machine itself.

use std::collections::{BTreeSet, HashMap};

/// How long confirmed terminations are retained, in addition to the lag of the cloud's list:
/// statuses of machines that no longer exist may arrive minutes late.
const TERMINATED_RETENTION_MS: u64 = 600_000;

/// The outcome of a request to terminate machines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TerminationOutcome {
    /// The machines are permanently deleted.
    Confirmed,
    /// The request failed or its outcome is unknown: the machines may still exist.
    Unconfirmed,
}

/// Terminations that are recorded or confirmed in this term.
#[derive(Debug, Default)]
pub(super) struct Terminations {
    /// Machines that are recorded with the holder of the termination duty.
    recorded: BTreeSet<String>,
    /// When the cloud confirmed each machine's deletion.
    confirmed_at: HashMap<String, u64>,
    /// Whether a machine was terminated because it was silent or unreachable.
    has_terminated_unreachable: bool,
}

impl Terminations {
    /// Adds machines whose termination the store records.
    pub(super) fn record(&mut self, machines: &[String]) {
        self.recorded.extend(machines.iter().cloned());
    }

    /// Removes a recorded termination that was rejected.
    pub(super) fn reject(&mut self, machine: &str) {
        self.recorded.remove(machine);
    }

    pub(super) fn is_recorded(&self, machine: &str) -> bool {
        self.recorded.contains(machine)
    }

    /// The machines whose termination is recorded, by name.
    pub(super) fn recorded(&self) -> impl Iterator<Item = &String> {
        self.recorded.iter()
    }

    /// Replaces a recorded termination by a confirmed one: the machine is permanently deleted.
    pub(super) fn confirm(&mut self, machine: &str, now: u64) {
        self.confirmed_at.insert(machine.to_string(), now);
        self.recorded.remove(machine);
    }

    /// Whether a machine is permanently deleted; statuses and list entries of it are out of date.
    pub(super) fn is_confirmed(&self, machine: &str) -> bool {
        self.confirmed_at.contains_key(machine)
    }

    /// Removes confirmed terminations of machines that neither the cloud's list nor a late status
    /// can still show.
    pub(super) fn remove_expired(&mut self, list_lag_ms: u64, now: u64) {
        let retention_ms = 4 * list_lag_ms + TERMINATED_RETENTION_MS;
        self.confirmed_at.retain(|_, at| now < *at + retention_ms);
    }

    /// Records that a machine is terminated because it was silent or unreachable.
    pub(super) fn mark_terminated_unreachable(&mut self) {
        self.has_terminated_unreachable = true;
    }

    pub(super) fn has_terminated_unreachable(&self) -> bool {
        self.has_terminated_unreachable
    }
}
