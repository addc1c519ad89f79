//! The last known status of each other controller, and when the next exchange is due.

use std::net::SocketAddr;

use crate::peer_protocol::PeerStatus;
use crate::settings::Peer;

/// Interval between status exchanges.
const STATUS_INTERVAL_MS: u64 = 1000;
/// A peer whose status is more recent than this is not queried, so that of two controllers
/// only one queries the other.
const STATUS_FRESH_MS: u64 = 700;
/// For how long after its last status a controller counts as alive, and for how long that
/// status is valid. Both span more than two statuses.
const ALIVE_TIMEOUT_MS: u64 = 3000;
const STATUS_TTL_MS: u64 = 2500;

/// The known state of another controller.
#[derive(Debug)]
pub(super) struct PeerView {
    pub member: String,
    pub address: SocketAddr,
    /// When its last status was received; `None` before the first.
    heard_at: Option<u64>,
    /// The last status received.
    status: PeerStatus,
    cancellation_sync: Option<CancellationSync>,
}

/// Marks that a peer has reported every cancellation that its process had acknowledged to users
/// up to the request.
#[derive(Debug, Clone, Copy)]
pub(super) struct CancellationSync {
    /// When the peer was queried.
    pub requested_at: u64,
    /// Latest time at which the peer's process can have started.
    pub process_started_by: u64,
}

/// Agents that contacted other controllers and were redirected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct RedirectedElsewhere {
    /// Whether most of the other controllers are alive. If not, agents may have contacted one
    /// whose status does not arrive here.
    pub majority_alive: bool,
    /// How many agents the live controllers recently redirected.
    pub agents: u32,
}

/// Which peers a status is sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StatusRecipients {
    All,
    /// Peers whose last status is not fresh.
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

    /// The last status, if it is still valid.
    pub(super) fn recent_status(&self, now: u64) -> Option<&PeerStatus> {
        let is_recent = self.was_heard_within(STATUS_TTL_MS, now);
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

    /// Iterates over all other controllers.
    pub(super) fn iter(&self) -> impl Iterator<Item = &PeerView> {
        self.peers.iter()
    }

    fn get_mut(&mut self, member: &str) -> Option<&mut PeerView> {
        self.peers.iter_mut().find(|peer| peer.member == member)
    }

    /// Records a status received as a request or as a response.
    pub(super) fn record_status(&mut self, member: &str, status: PeerStatus, now: u64) {
        if let Some(peer) = self.get_mut(member) {
            peer.heard_at = Some(now);
            peer.status = status;
        }
    }

    /// Records that a peer has reported its acknowledged cancellations.
    pub(super) fn record_cancellation_sync(&mut self, member: &str, sync: CancellationSync) {
        if let Some(peer) = self.get_mut(member) {
            peer.cancellation_sync = Some(sync);
        }
    }

    /// The time up to which the cancellations of all other controllers are known, provided that
    /// none has restarted since the store was read at `read_at`; 0 if one has, or has not
    /// reported any. `None` if there are no other controllers.
    pub(super) fn cancellations_synced_at(&self, read_at: u64) -> Option<u64> {
        let synced_at = self.peers.iter().map(|peer| {
            let sync = peer.cancellation_sync;
            let valid = sync.filter(|sync| sync.process_started_by <= read_at);
            valid.map_or(0, |sync| sync.requested_at)
        });
        synced_at.min()
    }

    fn live(&self, now: u64) -> impl Iterator<Item = &PeerView> {
        let is_alive = move |peer: &&PeerView| peer.was_heard_within(ALIVE_TIMEOUT_MS, now);
        self.peers.iter().filter(is_alive)
    }

    /// Whether there are other controllers and none is alive.
    pub(super) fn are_all_silent(&self, now: u64) -> bool {
        !self.peers.is_empty() && self.live(now).next().is_none()
    }

    /// Whether a live peer reports that the store is reachable.
    pub(super) fn is_store_reachable_elsewhere(&self, now: u64) -> bool {
        self.live(now).any(|peer| peer.status.store_reachable)
    }

    /// The address of a peer with a valid status that reports the store as reachable.
    pub(super) fn peer_with_reachable_store(&self, now: u64) -> Option<SocketAddr> {
        let reaches_store = |peer: &&PeerView| {
            let status = peer.recent_status(now);
            status.is_some_and(|status| status.store_reachable)
        };
        self.peers
            .iter()
            .find(reaches_store)
            .map(|peer| peer.address)
    }

    /// Counts the agents that live peers recently redirected.
    pub(super) fn redirected_elsewhere(&self, now: u64) -> RedirectedElsewhere {
        let mut alive = 0;
        let mut agents: u32 = 0;
        for peer in self.live(now) {
            alive += 1;
            agents = agents.saturating_add(peer.status.redirected_agents);
        }
        RedirectedElsewhere {
            majority_alive: alive * 2 > self.peers.len(),
            agents,
        }
    }

    /// Whether a status exchange is due. If so, schedules the next one an interval later.
    pub(super) fn begin_exchange_if_due(&mut self, now: u64) -> bool {
        if now < self.next_status_at {
            return false;
        }
        self.next_status_at = now + STATUS_INTERVAL_MS;
        true
    }

    /// The peers to send this controller's status to: all, or those whose last status is not
    /// fresh. A peer that just sent its status has received this controller's in response.
    pub(super) fn status_recipients(
        &self,
        recipients: StatusRecipients,
        now: u64,
    ) -> impl Iterator<Item = &PeerView> {
        let is_fresh = move |peer: &PeerView| peer.was_heard_within(STATUS_FRESH_MS, now);
        let peers = self.peers.iter();
        peers.filter(move |peer| recipients == StatusRecipients::All || !is_fresh(peer))
    }
}
