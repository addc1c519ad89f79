//! Which agents came here: those that were redirected to the leader, and the heartbeats whose
//! responses wait for starts.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::deferred_heartbeats::{DeferredHeartbeat, DeferredHeartbeats};

/// For how long redirected agents are remembered.
const REDIRECTED_MEMORY_MS: u64 = 60_000;

/// Which agents came here.
#[derive(Debug, Default)]
pub(super) struct AgentGateway {
    /// Agents that were redirected, and when.
    redirected_at: BTreeMap<String, u64>,
    /// When a heartbeat was last accepted.
    accepted_at: Option<u64>,
    deferred: DeferredHeartbeats,
}

impl AgentGateway {
    /// The agent of a machine was redirected.
    pub(super) fn record_redirect(&mut self, machine: String, now: u64) {
        self.redirected_at.insert(machine, now);
    }

    /// Drops redirects that are long past.
    pub(super) fn expire_redirects(&mut self, now: u64) {
        self.redirected_at
            .retain(|_, at| now < *at + REDIRECTED_MEMORY_MS);
    }

    /// How many agents were redirected within the last `span_ms`.
    pub(super) fn redirected_within(&self, span_ms: u64, now: u64) -> usize {
        let times = self.redirected_at.values();
        times.filter(|at| now < **at + span_ms).count()
    }

    /// A heartbeat was accepted.
    pub(super) fn record_accepted(&mut self, now: u64) {
        self.accepted_at = Some(now);
    }

    /// Whether a heartbeat was accepted within the last `span_ms`.
    pub(super) fn has_accepted_within(&self, span_ms: u64, now: u64) -> bool {
        self.accepted_at.is_some_and(|at| now < at + span_ms)
    }

    /// Defers the response to a heartbeat. Returns an earlier one of the same machine, for
    /// which nobody may wait any more.
    pub(super) fn defer(&mut self, heartbeat: DeferredHeartbeat) -> Option<DeferredHeartbeat> {
        self.deferred.insert(heartbeat)
    }

    /// The deferred heartbeats that are to be answered now: those of machines that have
    /// starts, and then those whose time is over.
    pub(super) fn take_answerable(
        &mut self,
        startable: &[Arc<str>],
        now: u64,
    ) -> Vec<DeferredHeartbeat> {
        let machines = startable.iter().map(|machine| &**machine);
        let mut heartbeats = self.deferred.take_of(machines);
        heartbeats.extend(self.deferred.take_due(now));
        heartbeats
    }

    /// All deferred heartbeats.
    pub(super) fn take_deferred(&mut self) -> Vec<DeferredHeartbeat> {
        self.deferred.take_all()
    }
}
