//! The exchange of statuses with the other controllers, and what follows from theirs.

use prost::Message;

use super::calls::PendingCall;
use super::http::{HttpCall, HttpResponse};
use super::peer_table::{CancellationSync, StatusReceivers};
use super::{responses, Controller, StepDownReason};
use crate::epoch::Epoch;
use crate::net::Outcome;
use crate::peer_protocol::{PeerStatus, STATUS_PATH};
use crate::time_units::to_ms;

const STATUS_TIMEOUT_MS: u64 = 1500;
/// A process' age by its own clock may be too high by one part in this many.
const AGE_ERROR_PARTS: u64 = 500;
/// Heartbeat intervals for which redirected agents are reported to the others.
const REDIRECTED_INTERVALS: f64 = 2.0;
/// Heartbeat intervals within which every agent that can has sent a heartbeat.
const ROUND_INTERVALS: f64 = 1.5;
/// By this multiple of `cancel_s` nothing is left of a cancelled job.
const CANCELLED_MEMORY: f64 = 2.0;
/// For how long a leader that no agent reaches lets others lead, as a share of a lease.
const STANDBY_LEASE_SHARE: f64 = 0.5;

impl Controller {
    fn status(&self) -> PeerStatus {
        let now = self.clock.steady_ms();
        let span_s = self.settings.cluster.workers.report_s * REDIRECTED_INTERVALS;
        let redirected = self.agents.redirected_agents_within(to_ms(span_s), now);
        PeerStatus {
            member: self.settings.member.clone(),
            store_reachable: self.is_store_reachable(),
            leading_epoch: self.epoch().get(),
            redirected_agents: redirected as u32,
            process_age_ms: self.clock.process_age_ms(),
            acknowledged_cancellations: vec![],
            known_format: self.known_format(),
        }
    }

    pub(super) fn on_status_request(&mut self, connection: usize, status: PeerStatus) {
        let body = self.status_for(&status).encode_to_vec();
        self.on_peer_status(&status.member.clone(), status);
        self.outbox.respond(connection, HttpResponse::ok(body));
    }

    pub(super) fn on_status_outcome(&mut self, member: &str, sent_at: u64, outcome: &Outcome) {
        if let Some(status) = responses::decode_peer::<PeerStatus>(outcome) {
            self.sync_cancellations(member, &status, sent_at);
            self.on_peer_status(member, status);
        }
    }

    /// The response to another controller's status. A leader that can't read the store is
    /// told which cancellations were acknowledged to users.
    fn status_for(&self, asker: &PeerStatus) -> PeerStatus {
        let mut status = self.status();
        if is_cut_off_leader(asker) {
            status.acknowledged_cancellations = self.acknowledged_cancellations.jobs();
        }
        status
    }

    /// A user is told that a job is cancelled. One that has ended has no tasks any more.
    pub(super) fn acknowledge_cancellation(&mut self, id: &str) {
        let now = self.clock.steady_ms();
        if self.watch_cache.final_state(id).is_none() {
            self.acknowledged_cancellations.record(id, now);
        }
        if let Some(scheduler) = &mut self.scheduler {
            scheduler.mark_cancelled(id, now);
        }
    }

    /// Processes the response to our status. A leader that can't read the store has asked for
    /// all cancellations that the other controller has acknowledged to users.
    fn sync_cancellations(&mut self, member: &str, status: &PeerStatus, sent_at: u64) {
        let now = self.clock.steady_ms();
        let Some(scheduler) = &mut self.scheduler else {
            return;
        };
        for id in &status.acknowledged_cancellations {
            scheduler.mark_cancelled(id, now);
        }
        // With one that the store answers, or another that leads, work goes on there.
        let work_goes_on =
            status.store_reachable || Epoch::new(status.leading_epoch) > scheduler.epoch();
        if work_goes_on || self.is_store_reachable() {
            return;
        }
        let age_ms = status.process_age_ms;
        let age_ms = age_ms - age_ms / AGE_ERROR_PARTS;
        let sync = CancellationSync {
            asked_at: sent_at,
            process_began_at: now.saturating_sub(age_ms),
        };
        self.peers.record_cancellation_sync(member, sync);
    }

    /// Until when all cancellations that were acknowledged to users are known here: from the last
    /// read of the store, or in an outage that all see from every other controller, if none
    /// of them has restarted since that read. One that has may have acknowledged what no
    /// controller knows any more.
    pub(super) fn cancellations_known_as_of(&self) -> Option<u64> {
        let read_at = self.store_sync.complete_as_of()?.at;
        let synced_at = self.peers.cancellations_synced_at(read_at);
        // A single controller has acknowledged them all itself.
        Some(synced_at.unwrap_or(self.clock.steady_ms()).max(read_at))
    }

    fn on_peer_status(&mut self, member: &str, status: PeerStatus) {
        let now = self.clock.steady_ms();
        self.peers.record_status(member, status, now);
        if self.is_cut_off_from_agents() {
            let lease_s = self.settings.cluster.workers.lease_s;
            let standby_ms = to_ms(lease_s * STANDBY_LEASE_SHARE);
            self.resign(StepDownReason::CutOffFromAgents, standby_ms);
        }
    }

    /// Whether this leader is cut off from every agent while others redirect them: another
    /// controller should lead.
    fn is_cut_off_from_agents(&self) -> bool {
        let now = self.clock.steady_ms();
        let Some(scheduler) = &self.scheduler else {
            return false;
        };
        let reachability = scheduler.reachability(now);
        // One machine alone may be at fault itself: it is terminated first.
        let all_silent = reachability.total > 0 && reachability.silent == reachability.total;
        if !all_silent || !(reachability.total > 1 || scheduler.has_terminated_unreachable()) {
            return false;
        }
        // Any heartbeat, also an old copy, shows that there is a way here.
        let round_s = self.settings.cluster.workers.report_s * ROUND_INTERVALS;
        let is_reached = self
            .agents
            .has_accepted_heartbeat_within(to_ms(round_s), now);
        self.peers.redirected_elsewhere(now).agents > 0 && !is_reached
    }

    pub(super) fn peers_tick(&mut self) {
        let now = self.clock.steady_ms();
        if !self.peers.begin_exchange_if_due(now) {
            return;
        }
        self.agents.expire_redirects(now);
        let cancel_s = self.settings.cluster.workers.cancel_s;
        let memory_ms = to_ms(cancel_s * CANCELLED_MEMORY);
        self.acknowledged_cancellations.expire(memory_ms, now);
        self.send_status();
    }

    fn send_status(&mut self) {
        let now = self.clock.steady_ms();
        let status = self.status();
        let body = status.encode_to_vec();
        // It asks for cancellations, so it has to ask itself.
        let receivers = if is_cut_off_leader(&status) {
            StatusReceivers::All
        } else {
            StatusReceivers::WithoutFreshStatus
        };
        let outbox = &mut self.outbox;
        for peer in self.peers.to_ask(receivers, now) {
            let pending = PendingCall::PeerStatus {
                member: peer.member.clone(),
                sent_at: now,
            };
            let call = HttpCall::post(STATUS_PATH, body.clone(), STATUS_TIMEOUT_MS);
            outbox.call(pending, peer.address, call);
        }
    }
}

/// Whether a status is of a leader that can't read the store.
fn is_cut_off_leader(status: &PeerStatus) -> bool {
    Epoch::new(status.leading_epoch) > Epoch::NONE && !status.store_reachable
}
