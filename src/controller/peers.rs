//! What the other controllers tell, and what follows from it.

use std::collections::BTreeMap;

use prost::Message;

use super::calls::PendingCall;
use super::http::HttpCall;
use super::{Controller, StepDownReason};
use crate::peer_protocol::{PeerStatus, STATUS_PATH};
use crate::time_units::to_ms;

/// How often statuses are exchanged.
const STATUS_INTERVAL_MS: u64 = 1000;
const STATUS_TIMEOUT_MS: u64 = 1500;
/// A status that came so lately need not be asked for: of two controllers one asks.
const STATUS_FRESH_MS: u64 = 700;
/// For how long a controller counts as alive, and for how long what it has said of itself
/// counts: over two of its statuses.
const ALIVE_MS: u64 = 3000;
const HEARD_MS: u64 = 2500;
/// A process' age by its own clock may be too high by one part in so many.
const AGE_ERROR_PARTS: u64 = 500;
/// For how long redirected agents are remembered.
const REDIRECTED_MEMORY_MS: u64 = 60_000;
/// AgentStatus intervals for which they are told of.
const REDIRECTED_INTERVALS: f64 = 2.0;
/// AgentStatus intervals within which every agent that can has reported.
const ROUND_INTERVALS: f64 = 1.5;
/// By this multiple of `cancel_s` nothing is left of a cancelled job.
const CANCELLED_MEMORY: f64 = 2.0;
/// For how long a leader that no agent reaches lets others lead, as a share of a lease.
const STANDBY_LEASE_SHARE: f64 = 0.5;

/// What is known of another controller.
#[derive(Debug, Default)]
pub(super) struct PeerView {
    /// When its last status came.
    pub heard_at: Option<u64>,
    /// Its last status.
    pub status: PeerStatus,
    cancellation_sync: Option<CancellationSync>,
}

/// A controller has told us of every cancellation that it had told users of when
/// it was asked, as far as its process goes back.
#[derive(Debug, Clone, Copy)]
struct CancellationSync {
    asked_at: u64,
    /// Its process had begun by then.
    process_began_at: u64,
}

/// Agents that came to other controllers.
pub(super) struct RedirectedElsewhere {
    /// How many of the others are heard.
    pub peers_heard: usize,
    /// How many agents these redirected lately.
    pub agents: u32,
}

impl Controller {
    fn status(&self) -> PeerStatus {
        let now = self.clock.steady_ms();
        let span_s = self.settings.cluster.workers.report_s * REDIRECTED_INTERVALS;
        let span_ms = to_ms(span_s);
        let lately = |times: &BTreeMap<String, u64>| {
            times.values().filter(|at| now < **at + span_ms).count()
        };
        PeerStatus {
            member: self.settings.member.clone(),
            store_reachable: self.is_store_reachable(),
            leading_epoch: self.epoch(),
            redirected_agents: lately(&self.redirected_agents) as u32,
            process_age_ms: self.clock.process_age_ms(),
            acknowledged_cancellations: vec![],
            known_format: self.known_format(),
        }
    }

    /// The answer to another controller's status. A leader that can't read the state
    /// service is told which jobs users were told to be cancelled.
    pub(super) fn status_for(&self, asker: &PeerStatus) -> PeerStatus {
        let mut status = self.status();
        if asker.leading_epoch > 0 && !asker.store_reachable {
            status.acknowledged_cancellations =
                self.acknowledged_cancellations.keys().cloned().collect();
        }
        status
    }

    /// Users are told here that a job is cancelled. What is over has no tasks
    /// any more.
    pub(super) fn acknowledge_cancellation(&mut self, id: &str) {
        let now = self.clock.steady_ms();
        if self.watch_cache.final_state(id).is_none() {
            self.acknowledged_cancellations
                .entry(id.to_string())
                .or_insert(now);
        }
        if let Some(scheduler) = &mut self.scheduler {
            scheduler.mark_cancelled(id, now);
        }
    }

    /// A leader that can't read the store asked another controller, and
    /// was told of all cancellations that users had been told of there.
    pub(super) fn sync_cancellations(&mut self, member: &str, status: &PeerStatus, sent_at: u64) {
        let now = self.clock.steady_ms();
        let Some(scheduler) = &mut self.scheduler else {
            return;
        };
        for id in &status.acknowledged_cancellations {
            scheduler.mark_cancelled(id, now);
        }
        // With one that is served, or another that leads, work goes on there.
        let work_goes_on = status.store_reachable || status.leading_epoch > scheduler.epoch();
        if work_goes_on || self.is_store_reachable() {
            return;
        }
        if let Some(peer) = self.peers.get_mut(member) {
            let age_ms = status.process_age_ms;
            let age_ms = age_ms - age_ms / AGE_ERROR_PARTS;
            peer.cancellation_sync = Some(CancellationSync {
                asked_at: sent_at,
                process_began_at: now.saturating_sub(age_ms),
            });
        }
    }

    /// All cancellations that users had been told of by then are known here: from
    /// the last read of the store, or in an outage that all see from every
    /// other controller, if none of them has begun anew since that read. One that
    /// has may have told what nobody knows any more.
    pub(super) fn cancellations_known_as_of(&self) -> Option<u64> {
        let read_at = self.store_sync.complete_as_of?.at;
        let synced_at = self.peers.values().map(|peer| {
            let sync = peer.cancellation_sync;
            let valid = sync.filter(|sync| sync.process_began_at <= read_at);
            valid.map_or(0, |sync| sync.asked_at)
        });
        // One that is alone has told them all itself.
        Some(
            synced_at
                .min()
                .unwrap_or(self.clock.steady_ms())
                .max(read_at),
        )
    }

    pub(super) fn on_peer_status(&mut self, member: &str, status: PeerStatus) {
        let now = self.clock.steady_ms();
        if let Some(peer) = self.peers.get_mut(member) {
            peer.heard_at = Some(now);
            peer.status = status;
        }
        if self.is_cut_off_from_agents() {
            let lease_s = self.settings.cluster.workers.lease_s;
            let standby_ms = to_ms(lease_s * STANDBY_LEASE_SHARE);
            self.resign(StepDownReason::CutOffFromAgents, standby_ms);
        }
    }

    /// Whether this leader is cut off from every agent while others redirect them:
    /// another controller should lead.
    fn is_cut_off_from_agents(&self) -> bool {
        let now = self.clock.steady_ms();
        let Some(scheduler) = &self.scheduler else {
            return false;
        };
        let reach = scheduler.reachability(now);
        // One machine alone may be at fault itself: it is returned first.
        let all_silent = reach.up > 0 && reach.silent == reach.up;
        if !all_silent || !(reach.up > 1 || scheduler.has_terminated_unreachable()) {
            return false;
        }
        // Any report, also an old copy, shows that there is a way here.
        let round_s = self.settings.cluster.workers.report_s * ROUND_INTERVALS;
        let round_ms = to_ms(round_s);
        let answered = self.agent_answered_at;
        let reached = answered.is_some_and(|at| now < at + round_ms);
        self.redirected_elsewhere().agents > 0 && !reached
    }

    pub(super) fn live_peers(&self) -> impl Iterator<Item = &PeerView> {
        let now = self.clock.steady_ms();
        let alive = move |peer: &&PeerView| peer.heard_at.is_some_and(|at| now < at + ALIVE_MS);
        self.peers.values().filter(alive)
    }

    /// How many others are heard, and how many agents they redirected lately.
    pub(super) fn redirected_elsewhere(&self) -> RedirectedElsewhere {
        let mut redirected = RedirectedElsewhere {
            peers_heard: 0,
            agents: 0,
        };
        for peer in self.live_peers() {
            redirected.peers_heard += 1;
            let agents = peer.status.redirected_agents;
            redirected.agents = redirected.agents.saturating_add(agents);
        }
        redirected
    }

    /// What another controller has said of itself lately.
    pub(super) fn recent_status(&self, member: &str) -> Option<&PeerStatus> {
        let now = self.clock.steady_ms();
        let peer = self.peers.get(member)?;
        let heard = peer.heard_at.is_some_and(|at| now < at + HEARD_MS);
        heard.then_some(&peer.status)
    }

    pub(super) fn peers_tick(&mut self) {
        let now = self.clock.steady_ms();
        if now < self.next_status_at {
            return;
        }
        self.next_status_at = now + STATUS_INTERVAL_MS;
        self.redirected_agents
            .retain(|_, at| now < *at + REDIRECTED_MEMORY_MS);
        let cancel_s = self.settings.cluster.workers.cancel_s;
        let memory_ms = to_ms(cancel_s * CANCELLED_MEMORY);
        self.acknowledged_cancellations
            .retain(|_, at| now < *at + memory_ms);
        let status = self.status();
        // Its question is about cancellations, so it has to ask itself.
        let must_ask = status.leading_epoch > 0 && !status.store_reachable;
        let body = status.encode_to_vec();
        for peer in self.settings.peers.clone() {
            // One that has just asked has told the same and was answered.
            let heard_at = self.peers.get(&peer.member).and_then(|p| p.heard_at);
            let fresh = heard_at.is_some_and(|at| now < at + STATUS_FRESH_MS);
            if fresh && !must_ask {
                continue;
            }
            let pending = PendingCall::PeerStatus {
                member: peer.member,
                sent_at: now,
            };
            let call = HttpCall::post(STATUS_PATH, body.clone(), STATUS_TIMEOUT_MS);
            self.outbox.call(pending, peer.address, call);
        }
    }
}
