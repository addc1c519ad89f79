//! The leader's terms: begins and ends a term in all modules of the controller.

use thiserror::Error;
use tracing::{info, warn};

use super::calls::PendingCall;
use super::commits::WriteOwner;
use super::leadership::{LeadershipChange, WonElection};
use super::store_client::StoreRole;
use super::Controller;
use crate::leader_lease::LeaseRequest;
use crate::leadership_keys::LeaderKey;
use crate::net::Outcome;
use crate::scheduler::Scheduler;

/// Why a leader steps down.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub(super) enum StepDownReason {
    #[error("the lease grant has expired")]
    GrantExpired,
    #[error("this controller no longer holds the leader key")]
    LeaderKeyLost,
    #[error("a write conflicted on the leader key")]
    WriteConflict,
    #[error("an agent reported a higher epoch")]
    HigherEpochSeen,
    #[error("no agent reaches this controller, while others receive and redirect them")]
    CutOffFromAgents,
    #[error("the watch cache must be reloaded")]
    CacheReload,
    #[error("the stored format requires a later version")]
    Outdated,
    #[error("the leader lease moves to a key that earlier versions cannot acquire")]
    FenceRaised,
}

impl Controller {
    pub(super) fn tick_leader_lease(&mut self) {
        if self.is_outdated() {
            return;
        }
        let now = self.clock.steady_ms();
        if let Some(request) = self.leadership.tick(&self.watch_cache, now) {
            self.send_lease_request(request);
        }
    }

    fn send_lease_request(&mut self, request: LeaseRequest) {
        self.store.count_request(self.clock.steady_ms());
        let call = self.leadership.http_call(&request);
        let pending = match request {
            LeaseRequest::Revoke(_) => PendingCall::Revoke,
            request => PendingCall::Lease(request),
        };
        self.outbox.call_store(pending, call);
    }

    pub(super) fn on_lease_outcome(&mut self, request: &LeaseRequest, outcome: &Outcome) {
        let now = self.clock.steady_ms();
        match self.leadership.on_outcome(request, outcome, now) {
            LeadershipChange::Won(election) => self.on_elected(election),
            LeadershipChange::Lost => self.step_down(StepDownReason::GrantExpired),
            LeadershipChange::Unchanged => {}
        }
        self.tick_leader_lease();
    }

    fn on_elected(&mut self, election: WonElection) {
        let key = LeaderKey {
            member: self.settings.member.clone(),
            epoch: election.epoch,
        };
        self.watch_cache
            .apply_own_election(key, election.version, election.fence);
        self.leadership
            .prepare_term(election, self.clock.timestamp());
        self.begin_term();
    }

    /// Begins the pending term once the watch cache holds its election. Writes of all earlier
    /// terms, including this controller's own, precede the election and none can follow it. A
    /// watch cache from before the election may lack placements whose starts were already sent.
    pub(super) fn begin_term(&mut self) {
        let now = self.clock.steady_ms();
        let Some(term) = self.leadership.take_ready_term(self.watch_cache.revision) else {
            return;
        };
        info!(epoch = term.epoch.get(), "became leader");
        self.scheduler = Some(Scheduler::new(
            term,
            &self.settings.cluster,
            &self.operator,
            self.provider.machine_types(),
            &self.watch_cache,
            now,
        ));
        self.on_format_changed();
        self.apply_recorded_orders();
        self.provider.on_term_started(now);
        self.plan_timer.reset();
    }

    pub(super) fn step_down(&mut self, reason: StepDownReason) {
        self.leadership.drop_pending_term();
        if let Some(scheduler) = self.scheduler.take() {
            warn!(epoch = scheduler.epoch().get(), %reason, "stepped down as leader");
        }
        self.store.cancel_writes(WriteOwner::requires_leadership);
        self.apply_store_role(StoreRole::Follower);
        self.plan_timer.reset();
    }

    /// Revokes the lease, steps down and does not campaign for `standby_ms`.
    pub(super) fn resign(&mut self, reason: StepDownReason, standby_ms: u64) {
        let now = self.clock.steady_ms();
        if let Some(request) = self.leadership.resign(standby_ms, now) {
            self.send_lease_request(request);
        }
        self.step_down(reason);
    }
}
