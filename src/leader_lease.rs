//! The leader lease: one key in the store that lives as long as its holder's
//! grant, and an epoch that rises with each election and fences earlier leaders.

use crate::job::PACKED_FORMAT;
use crate::leadership_keys::{Fence, LeaderKey};
use crate::settings::{ClusterSettings, OperatorSettings};
use crate::time_units::to_ms;
use crate::watch_cache::WatchCache;

/// Longest life of a grant, as a share of an agent's lease.
const TTL_SHARE_MAX: f64 = 0.25;
/// Shortest life that the store gives a grant.
const TTL_MIN_MS: u64 = 100;

/// How long a leader's grant lives without a renewal.
pub fn leader_lease_ttl_ms(cluster: &ClusterSettings, operator: &OperatorSettings) -> u64 {
    let lease_s = cluster.workers.lease_s;
    let ttl = (lease_s * operator.leader_life_share)
        .max(cluster.limits.stall_s())
        .min(lease_s * TTL_SHARE_MAX);
    to_ms(ttl)
}

/// Changes of the transaction that raises the fence.
const RAISE_WRITES: usize = 3;

/// What an election goes by.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Election {
    /// The grant that the key is attached to.
    pub grant: u64,
    /// The epoch of the new leadership.
    pub epoch: u64,
    /// The version of [`crate::leadership_keys::LEADER_KEY`].
    pub leader_version: u64,
    /// The version of [`crate::leadership_keys::LEASE_KEY`].
    pub lease_version: u64,
    /// The version of [`crate::leadership_keys::EPOCH_KEY`].
    pub epoch_version: u64,
    /// How the key is kept from the version in production.
    pub fence: Fence,
}

/// A request to the store.
#[derive(Debug, Clone, PartialEq)]
pub enum LeaseRequest {
    /// Ask for a grant.
    Grant,
    /// Take the key and raise the epoch; the keys must still have these versions.
    Elect(Election),
    /// Renew this grant.
    Renew(u64),
    /// End this grant.
    Revoke(u64),
}

/// What came of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LeaseResponse {
    /// The grant that was asked for.
    Granted(u64),
    /// The key is ours.
    Elected {
        /// The epoch of the new leadership.
        epoch: u64,
        /// The version of the key.
        version: u64,
    },
    /// Another controller was faster, or the grant has ended.
    Lost,
    /// The grant was renewed.
    Renewed,
    /// No answer, or a refusal: nothing is known.
    Unknown,
}

/// Where a controller stands.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LeaseState {
    /// Another controller leads, or nobody does.
    Following,
    /// It asks for a grant.
    Granting,
    /// It has a grant and tries to take the key.
    Electing {
        /// The grant.
        grant: u64,
    },
    /// It has the key.
    Leading {
        /// The grant that the key lives as long as.
        grant: u64,
        /// The epoch of the leadership.
        epoch: u64,
        /// The version of the key.
        version: u64,
    },
}

/// A controller's part in the election and the renewal of its lease.
#[derive(Debug)]
pub struct LeaderLease {
    member: String,
    /// How long a grant lives without a renewal.
    pub ttl_ms: u64,
    /// Where this controller stands.
    pub state: LeaseState,
    /// When the request in flight was sent.
    sent_at: Option<u64>,
    /// When the last renewal that was answered had been sent.
    pub renewed_at: u64,
    next_request_at: u64,
    /// Until then others are to try first.
    standby_until: u64,
    /// Most changes of a transaction.
    writes_max: usize,
}

impl LeaderLease {
    /// A controller that follows. `writes_max`: most changes of a transaction, now and
    /// under limits to come.
    pub fn new(member: &str, ttl_ms: u64, writes_max: usize) -> LeaderLease {
        LeaderLease {
            member: member.to_string(),
            ttl_ms: ttl_ms.max(TTL_MIN_MS),
            state: LeaseState::Following,
            sent_at: None,
            renewed_at: 0,
            next_request_at: 0,
            standby_until: 0,
            writes_max,
        }
    }

    /// The epoch of its leadership, if it leads.
    pub fn epoch(&self) -> Option<u64> {
        match self.state {
            LeaseState::Leading { epoch, .. } => Some(epoch),
            _ => None,
        }
    }

    /// Whether it leads and the grant can't have ended, even on a clock that drifts.
    pub fn is_certain(&self, now: u64) -> bool {
        let leads = matches!(self.state, LeaseState::Leading { .. });
        leads && now < self.renewed_at + self.ttl_ms * 9 / 10
    }

    /// The next request, if it is time for one.
    pub fn tick(
        &mut self,
        now: u64,
        watch_cache: &WatchCache,
        jitter: f64,
    ) -> Option<LeaseRequest> {
        if self.sent_at.is_some() || now < self.next_request_at {
            return None;
        }
        let request = match self.state {
            LeaseState::Following => {
                if !self.may_campaign(now, watch_cache) {
                    return None;
                }
                self.state = LeaseState::Granting;
                LeaseRequest::Grant
            }
            LeaseState::Granting => LeaseRequest::Grant,
            LeaseState::Electing { grant } => {
                let another = |key: &(LeaderKey, u64)| key.0.member != self.member;
                if watch_cache.leader().is_some_and(another) {
                    self.state = LeaseState::Following;
                    let pause = self.ttl_ms as f64 * (0.1 + 0.1 * jitter);
                    self.next_request_at = now + pause as u64;
                    return Some(LeaseRequest::Revoke(grant));
                }
                LeaseRequest::Elect(election(grant, watch_cache, self.writes_max))
            }
            LeaseState::Leading { grant, .. } => LeaseRequest::Renew(grant),
        };
        self.sent_at = Some(now);
        Some(request)
    }

    /// Whether the key is free, or of this process' earlier life.
    fn may_campaign(&self, now: u64, watch_cache: &WatchCache) -> bool {
        let free = match watch_cache.leader() {
            None => true,
            Some((leader, _)) => leader.member == self.member,
        };
        watch_cache.loaded && now >= self.standby_until && free
    }

    /// Takes in the response to the last request. True if leadership began or ended.
    pub fn on_response(&mut self, now: u64, response: LeaseResponse) -> bool {
        let sent_at = self.sent_at.take().unwrap_or(now);
        let soon = now + self.ttl_ms / 20;
        match (self.state, response) {
            (LeaseState::Granting, LeaseResponse::Granted(grant)) => {
                self.state = LeaseState::Electing { grant };
                self.next_request_at = now;
                self.renewed_at = sent_at;
            }
            (LeaseState::Electing { grant }, LeaseResponse::Elected { epoch, version }) => {
                self.state = LeaseState::Leading {
                    grant,
                    epoch,
                    version,
                };
                self.next_request_at = now + self.ttl_ms / 4;
                return true;
            }
            // The watch cache may lag: try again shortly. The grant runs out.
            (LeaseState::Electing { .. }, _) => {
                self.state = LeaseState::Following;
                self.next_request_at = soon;
            }
            (LeaseState::Leading { .. }, LeaseResponse::Renewed) => {
                self.renewed_at = self.renewed_at.max(sent_at);
                self.next_request_at = sent_at + self.ttl_ms / 4;
            }
            (LeaseState::Leading { .. }, LeaseResponse::Lost) => {
                self.state = LeaseState::Following;
                self.next_request_at = soon;
                return true;
            }
            _ => self.next_request_at = soon,
        }
        false
    }

    /// Gives leadership up and lets others try first.
    pub fn resign(&mut self, now: u64, standby_ms: u64) -> Option<LeaseRequest> {
        let LeaseState::Leading { grant, .. } = self.state else {
            return None;
        };
        self.state = LeaseState::Following;
        self.standby_until = now + standby_ms;
        Some(LeaseRequest::Revoke(grant))
    }

    /// The keys have changed in the watch cache. True if that ended leadership: the key is
    /// another's, or gone.
    pub fn on_cache_event(&mut self, watch_cache: &WatchCache) -> bool {
        let LeaseState::Leading { version, .. } = self.state else {
            return false;
        };
        if watch_cache.leader().is_some_and(|key| key.1 == version) {
            return false;
        }
        self.state = LeaseState::Following;
        true
    }
}

fn election(grant: u64, watch_cache: &WatchCache, writes_max: usize) -> Election {
    // Where a transaction is too small for it, the fence stays down.
    let fence = if watch_cache.is_superseded() {
        Fence::Raised
    } else if watch_cache.format >= PACKED_FORMAT && writes_max >= RAISE_WRITES {
        Fence::Raise
    } else {
        Fence::None
    };
    let version = |key: &Option<(LeaderKey, u64)>| key.as_ref().map_or(0, |key| key.1);
    Election {
        grant,
        epoch: watch_cache.epoch + 1,
        leader_version: version(&watch_cache.leader_key),
        lease_version: version(&watch_cache.lease_key),
        epoch_version: watch_cache.epoch_version,
        fence,
    }
}
