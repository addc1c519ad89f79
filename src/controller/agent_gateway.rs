//! The agents that sent heartbeats to this controller: those that were redirected to the leader,
//! and those whose responses wait for start commands.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::deferred_heartbeats::{DeferredHeartbeat, DeferredHeartbeats};

/// For how long redirects are retained.
const REDIRECT_RETENTION_MS: u64 = 60_000;

/// Recent contacts with agents. Times are in milliseconds of the steady clock.
#[derive(Debug, Default)]
pub(super) struct AgentGateway {
    /// The machines whose agents were redirected, with the time of the last redirect.
    redirected_at: BTreeMap<String, u64>,
    /// When a heartbeat was last accepted.
    accepted_at: Option<u64>,
    deferred: DeferredHeartbeats,
}

impl AgentGateway {
    /// Records that the agent of a machine was redirected.
    pub(super) fn record_redirect(&mut self, machine: String, now: u64) {
        self.redirected_at.insert(machine, now);
    }

    /// Drops redirects that are older than the retention period.
    pub(super) fn expire_redirects(&mut self, now: u64) {
        self.redirected_at
            .retain(|_, at| now < *at + REDIRECT_RETENTION_MS);
    }

    /// How many agents were redirected within the last `span_ms`.
    pub(super) fn redirected_agents_within(&self, span_ms: u64, now: u64) -> usize {
        let times = self.redirected_at.values();
        times.filter(|at| now < **at + span_ms).count()
    }

    /// Records that a heartbeat was accepted.
    pub(super) fn record_accepted_heartbeat(&mut self, now: u64) {
        self.accepted_at = Some(now);
    }

    /// Whether a heartbeat was accepted within the last `span_ms`.
    pub(super) fn has_accepted_heartbeat_within(&self, span_ms: u64, now: u64) -> bool {
        self.accepted_at.is_some_and(|at| now < at + span_ms)
    }

    /// Defers the response to a heartbeat. Returns an earlier one of the same machine, whose
    /// connection the agent may have given up.
    pub(super) fn defer(&mut self, heartbeat: DeferredHeartbeat) -> Option<DeferredHeartbeat> {
        self.deferred.insert(heartbeat)
    }

    /// Removes and returns the deferred heartbeats whose responses are due: first those of
    /// machines that have starts, then those whose deferral is over.
    pub(super) fn take_due(&mut self, startable: &[Arc<str>], now: u64) -> Vec<DeferredHeartbeat> {
        let machines = startable.iter().map(|machine| &**machine);
        let mut heartbeats = self.deferred.take_for_machines(machines);
        heartbeats.extend(self.deferred.take_due(now));
        heartbeats
    }

    /// Removes and returns all deferred heartbeats.
    pub(super) fn take_deferred(&mut self) -> Vec<DeferredHeartbeat> {
        self.deferred.take_all()
    }
}
