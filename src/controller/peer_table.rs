//! What the other controllers have said of themselves, and when they are asked again.

use std::net::SocketAddr;

use crate::peer_protocol::PeerStatus;
use crate::settings::Peer;

/// How often statuses are exchanged.
const STATUS_INTERVAL_MS: u64 = 1000;
/// A status that came this lately need not be asked for: of two controllers one asks.
const STATUS_FRESH_MS: u64 = 700;
/// For how long a controller counts as alive, and for how long what it has said of itself
/// counts: over two of its statuses.
const ALIVE_MS: u64 = 3000;
const STATUS_VALID_MS: u64 = 2500;

/// Another controller as far as it is known.
#[derive(Debug)]
pub(super) struct PeerView {
    pub member: String,
    pub address: SocketAddr,
    /// When its last status came.
    heard_at: Option<u64>,
    /// Its last status.
    status: PeerStatus,
    cancellation_sync: Option<CancellationSync>,
}

/// A controller has told us of every cancellation that it had acknowledged to users when it
/// was asked, as far as its process goes back.
#[derive(Debug, Clone, Copy)]
pub(super) struct CancellationSync {
    pub asked_at: u64,
    /// Its process had begun by then.
    pub process_began_at: u64,
}

/// Agents that came to other controllers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct RedirectedElsewhere {
    /// Whether most of the other controllers are alive: the agents may have gone to one that
    /// is not heard.
    pub most_heard: bool,
    /// How many agents the live ones redirected lately.
    pub agents: u32,
}

/// Whom a status is sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StatusReceivers {
    All,
    /// Those that have not just sent theirs.
    WithoutFreshStatus,
}

/// The other controllers, in the order of the settings.
#[derive(Debug)]
pub(super) struct PeerTable {
    peers: Vec<PeerView>,
    next_status_at: u64,
}

impl PeerView {
    fn new(peer: &Peer) -> PeerView {
        PeerView {
            member: peer.member.clone(),
            address: peer.address,
            heard_at: None,
            status: PeerStatus::default(),
            cancellation_sync: None,
        }
    }

    fn was_heard_within(&self, span_ms: u64, now: u64) -> bool {
        self.heard_at.is_some_and(|at| now < at + span_ms)
    }

    /// What it has said of itself lately.
    pub(super) fn recent_status(&self, now: u64) -> Option<&PeerStatus> {
        let is_recent = self.was_heard_within(STATUS_VALID_MS, now);
        is_recent.then_some(&self.status)
    }
}

impl PeerTable {
    pub(super) fn new(peers: &[Peer]) -> PeerTable {
        PeerTable {
            peers: peers.iter().map(PeerView::new).collect(),
            next_status_at: 0,
        }
    }

    /// All other controllers.
    pub(super) fn iter(&self) -> impl Iterator<Item = &PeerView> {
        self.peers.iter()
    }

    fn get_mut(&mut self, member: &str) -> Option<&mut PeerView> {
        self.peers.iter_mut().find(|peer| peer.member == member)
    }

    /// A status came, as a request or as a response.
    pub(super) fn record_status(&mut self, member: &str, status: PeerStatus, now: u64) {
        if let Some(peer) = self.get_mut(member) {
            peer.heard_at = Some(now);
            peer.status = status;
        }
    }

    /// A controller has told us of its acknowledged cancellations.
    pub(super) fn record_cancellation_sync(&mut self, member: &str, sync: CancellationSync) {
        if let Some(peer) = self.get_mut(member) {
            peer.cancellation_sync = Some(sync);
        }
    }

    /// Until when the cancellations of all other controllers are known, if none of them has
    /// begun anew since the store was read at `read_at`; 0 if those of one are not. `None` if
    /// there are no others.
    pub(super) fn cancellations_synced_at(&self, read_at: u64) -> Option<u64> {
        let synced_at = self.peers.iter().map(|peer| {
            let sync = peer.cancellation_sync;
            let valid = sync.filter(|sync| sync.process_began_at <= read_at);
            valid.map_or(0, |sync| sync.asked_at)
        });
        synced_at.min()
    }

    fn live(&self, now: u64) -> impl Iterator<Item = &PeerView> {
        let is_alive = move |peer: &&PeerView| peer.was_heard_within(ALIVE_MS, now);
        self.peers.iter().filter(is_alive)
    }

    /// Whether there are other controllers, and none of them is alive.
    pub(super) fn are_all_silent(&self, now: u64) -> bool {
        !self.peers.is_empty() && self.live(now).next().is_none()
    }

    /// Whether the store is reachable for another live controller.
    pub(super) fn is_store_reachable_elsewhere(&self, now: u64) -> bool {
        self.live(now).any(|peer| peer.status.store_reachable)
    }

    /// The address of a controller for which the store is reachable.
    pub(super) fn served_peer(&self, now: u64) -> Option<SocketAddr> {
        let is_served = |peer: &&PeerView| {
            let status = peer.recent_status(now);
            status.is_some_and(|status| status.store_reachable)
        };
        self.peers.iter().find(is_served).map(|peer| peer.address)
    }

    /// Agents that came to live other controllers lately.
    pub(super) fn redirected_elsewhere(&self, now: u64) -> RedirectedElsewhere {
        let mut heard = 0;
        let mut agents: u32 = 0;
        for peer in self.live(now) {
            heard += 1;
            agents = agents.saturating_add(peer.status.redirected_agents);
        }
        RedirectedElsewhere {
            most_heard: heard * 2 > self.peers.len(),
            agents,
        }
    }

    /// Whether it is time to exchange statuses; the next time is an interval later.
    pub(super) fn begin_exchange_if_due(&mut self, now: u64) -> bool {
        if now < self.next_status_at {
            return false;
        }
        self.next_status_at = now + STATUS_INTERVAL_MS;
        true
    }

    /// The controllers to send our status to: those whose last one is not fresh, as one that
    /// has just asked was answered with ours, or all.
    pub(super) fn to_ask(
        &self,
        receivers: StatusReceivers,
        now: u64,
    ) -> impl Iterator<Item = &PeerView> {
        let is_fresh = move |peer: &PeerView| peer.was_heard_within(STATUS_FRESH_MS, now);
        let peers = self.peers.iter();
        peers.filter(move |peer| receivers == StatusReceivers::All || !is_fresh(peer))
    }
}
