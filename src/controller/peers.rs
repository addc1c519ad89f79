//! The exchange of statuses with the other controllers, and the reactions to received ones.

use prost::Message;

use super::calls::PendingCall;
use super::http::{HttpCall, HttpResponse};
use super::peer_table::{CancellationSync, StatusRecipients};
use super::{responses, Controller, StepDownReason};
use crate::epoch::Epoch;
use crate::net::Outcome;
use crate::peer_protocol::{PeerStatus, STATUS_PATH};
use crate::time_units::to_ms;

const STATUS_TIMEOUT_MS: u64 = 1500;
/// A process measures its age with its own clock, which may overstate it by one part in this
/// many.
const PROCESS_AGE_ERROR_DIVISOR: u64 = 500;
/// Heartbeat intervals for which a redirected agent is reported to the other controllers.
const REDIRECT_REPORT_HEARTBEAT_INTERVALS: f64 = 2.0;
/// Heartbeat intervals within which every agent that can reach a controller has sent a
/// heartbeat.
const ROUND_HEARTBEAT_INTERVALS: f64 = 1.5;
/// Acknowledged cancellations are kept for this multiple of `cancel_s`, after which no task of
/// the job can still be running.
const CANCELLATION_RETENTION_MULTIPLIER: f64 = 2.0;
/// How long a leader that resigned because no agent reaches it does not campaign, as a share of
/// `lease_s`.
const STANDBY_LEASE_RATIO: f64 = 0.5;

impl Controller {
    fn status(&self) -> PeerStatus {
        let now = self.clock.steady_ms();
        let span_s = self.settings.cluster.workers.report_s * REDIRECT_REPORT_HEARTBEAT_INTERVALS;
        let redirected = self.agents.redirected_agents_within(to_ms(span_s), now);
        PeerStatus {
            member: self.settings.member.clone(),
            store_reachable: self.is_store_reachable(),
            leading_epoch: self.epoch().get(),
            redirected_agents: redirected as u32,
            process_age_ms: self.clock.process_age_ms(),
            acknowledged_cancellations: vec![],
            supported_format: self.supported_format(),
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

    /// The response to another controller's status. For a leader that cannot read the store it
    /// includes the cancellations acknowledged to users.
    fn status_for(&self, sender: &PeerStatus) -> PeerStatus {
        let mut status = self.status();
        if is_cut_off_leader(sender) {
            status.acknowledged_cancellations = self.acknowledged_cancellations.jobs();
        }
        status
    }

    /// Records that a user is told of a job's cancellation. A job that has ended is not
    /// recorded, as it has no tasks left.
    pub(super) fn acknowledge_cancellation(&mut self, id: &str) {
        let now = self.clock.steady_ms();
        if self.watch_cache.final_state(id).is_none() {
            self.acknowledged_cancellations.record(id, now);
        }
        if let Some(scheduler) = &mut self.scheduler {
            scheduler.mark_cancelled(id, now);
        }
    }

    /// Applies a peer's acknowledged cancellations, which its response contains if this
    /// controller sent its status as a leader that cannot read the store.
    fn sync_cancellations(&mut self, member: &str, status: &PeerStatus, sent_at: u64) {
        let now = self.clock.steady_ms();
        let Some(scheduler) = &mut self.scheduler else {
            return;
        };
        for id in &status.acknowledged_cancellations {
            scheduler.mark_cancelled(id, now);
        }
        // If the peer reaches the store or knows a later leader, work continues there.
        let work_continues_there =
            status.store_reachable || Epoch::new(status.leading_epoch) > scheduler.epoch();
        if work_continues_there || self.is_store_reachable() {
            return;
        }
        let age_ms = status.process_age_ms;
        let age_ms = age_ms - age_ms / PROCESS_AGE_ERROR_DIVISOR;
        let sync = CancellationSync {
            requested_at: sent_at,
            process_started_by: now.saturating_sub(age_ms),
        };
        self.peers.record_cancellation_sync(member, sync);
    }

    /// The time up to which this controller knows all cancellations acknowledged to users: that
    /// of the last read of the store or, in a store outage that affects all controllers, that of
    /// the reports of all others, provided none of them has restarted since that read. One that
    /// restarted may have acknowledged cancellations that no controller remembers.
    pub(super) fn cancellations_known_as_of(&self) -> Option<u64> {
        let read_at = self.cache_reads.up_to_date_as_of()?.at;
        let synced_at = self.peers.cancellations_synced_at(read_at);
        // Without other controllers, this one has acknowledged all of them itself.
        Some(synced_at.unwrap_or(self.clock.steady_ms()).max(read_at))
    }

    fn on_peer_status(&mut self, member: &str, status: PeerStatus) {
        let now = self.clock.steady_ms();
        self.peers.record_status(member, status, now);
        if self.is_cut_off_from_agents() {
            let lease_s = self.settings.cluster.workers.lease_s;
            let standby_ms = to_ms(lease_s * STANDBY_LEASE_RATIO);
            self.resign(StepDownReason::CutOffFromAgents, standby_ms);
        }
    }

    /// Whether no agent reaches this leader while other controllers redirect agents, so that
    /// another controller should lead.
    fn is_cut_off_from_agents(&self) -> bool {
        let now = self.clock.steady_ms();
        let Some(scheduler) = &self.scheduler else {
            return false;
        };
        let reachability = scheduler.reachability(now);
        // A single silent machine may itself be at fault, so it is terminated first.
        let all_silent = reachability.total > 0 && reachability.silent == reachability.total;
        if !all_silent || !(reachability.total > 1 || scheduler.has_terminated_unreachable()) {
            return false;
        }
        // Any heartbeat, even a delayed duplicate, shows that agents can reach this controller.
        let round_s = self.settings.cluster.workers.report_s * ROUND_HEARTBEAT_INTERVALS;
        let is_reached = self
            .agents
            .has_accepted_heartbeat_within(to_ms(round_s), now);
        self.peers.redirected_elsewhere(now).agents > 0 && !is_reached
    }

    pub(super) fn tick_peers(&mut self) {
        let now = self.clock.steady_ms();
        if !self.peers.begin_exchange_if_due(now) {
            return;
        }
        self.agents.expire_redirects(now);
        let cancel_s = self.settings.cluster.workers.cancel_s;
        let retention_ms = to_ms(cancel_s * CANCELLATION_RETENTION_MULTIPLIER);
        self.acknowledged_cancellations.expire(retention_ms, now);
        self.send_status();
    }

    fn send_status(&mut self) {
        let now = self.clock.steady_ms();
        let status = self.status();
        let body = status.encode_to_vec();
        // A leader cut off from the store needs every peer's cancellations, which only a
        // response to its own request contains.
        let recipients = if is_cut_off_leader(&status) {
            StatusRecipients::All
        } else {
            StatusRecipients::WithoutFreshStatus
        };
        let outbox = &mut self.outbox;
        for peer in self.peers.status_recipients(recipients, now) {
            let pending = PendingCall::PeerStatus {
                member: peer.member.clone(),
                sent_at: now,
            };
            let call = HttpCall::post(STATUS_PATH, body.clone(), STATUS_TIMEOUT_MS);
            outbox.call(pending, peer.address, call);
        }
    }
}

/// Whether a status comes from a leader that cannot read the store.
fn is_cut_off_leader(status: &PeerStatus) -> bool {
    Epoch::new(status.leading_epoch) > Epoch::NONE && !status.store_reachable
}
