//! Election and renewal of the leader lease.
//!
//! The leader is the controller whose name is in the leader key. That key is attached to a
//! grant of the store, so it is deleted when the leader stops to renew the grant. Each election
//! raises the epoch, which fences the commands of earlier leaders.
//!
//! [`LeaderLease`] is the state machine of one controller. It owns no sockets: the caller asks
//! for the next request, sends it and reports the response. At most one request is in flight.
//!
//! ```text
//!                 Grant                Elect                 Renew
//!    Following ----------> Granting ----------> Electing ----------> Leading --+
//!        ^                                         |                    |      |
//!        +-- another controller leads, conflict ---+                    +------+
//!        +-- the grant has ended, the key has changed, resigned --------+
//! ```
//!
//! Times are in milliseconds of the controller's steady clock.

use crate::epoch::Epoch;
use crate::job::PACKED_FORMAT;
use crate::leadership_keys::Fence;
use crate::settings::{ClusterSettings, OperatorSettings};
use crate::time_units::to_ms;
use crate::watch_cache::{VersionedLeaderKey, WatchCache};

/// Longest time to live of the leader's grant, as a share of an agent's lease.
const TTL_LEASE_SHARE_MAX: f64 = 0.25;
/// Shortest time to live that the store gives a grant.
const TTL_MIN_MS: u64 = 100;
/// The grant is renewed at this fraction of its time to live.
const RENEWALS_PER_TTL: u64 = 4;
/// A request without success is repeated after this fraction of the time to live.
const RETRIES_PER_TTL: u64 = 20;
/// The share of the time to live in which the grant can't have ended, in tenths. The rest
/// allows for clocks that drift.
const CERTAIN_TENTHS: u64 = 9;
/// Shortest pause after an election that another controller has won, as a share of the time to
/// live, and the random part that is added to it.
const LOST_ELECTION_PAUSE: f64 = 0.1;
const LOST_ELECTION_JITTER: f64 = 0.1;
/// Number of writes in the election that raises the fence.
const FENCE_RAISE_WRITES: usize = 3;

/// Returns the time to live of the leader's grant in milliseconds.
///
/// It is the operator's share of an agent's lease, but at least as long as the process may
/// stall, and at most a quarter of that lease.
pub fn leader_lease_ttl_ms(cluster: &ClusterSettings, operator: &OperatorSettings) -> u64 {
    let lease_s = cluster.workers.lease_s;
    let ttl_s = (lease_s * operator.leader_life_share)
        .max(cluster.limits.stall_s())
        .min(lease_s * TTL_LEASE_SHARE_MAX);
    to_ms(ttl_s)
}

/// The parameters of an election. The leadership keys must still have the given versions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Election {
    /// The grant that the key is attached to.
    pub grant: u64,
    /// The epoch of the new leadership.
    pub epoch: Epoch,
    /// The version of [`crate::leadership_keys::LEADER_KEY`]; 0 if it does not exist.
    pub leader_version: u64,
    /// The version of [`crate::leadership_keys::LEASE_KEY`]; 0 if it does not exist.
    pub lease_version: u64,
    /// The version of [`crate::leadership_keys::EPOCH_KEY`]; 0 if it does not exist.
    pub epoch_version: u64,
    /// How the version in production is kept from leading.
    pub fence: Fence,
}

/// A request to the store.
#[derive(Debug, Clone, PartialEq)]
pub enum LeaseRequest {
    /// Create a grant.
    Grant,
    /// Take the leader key and raise the epoch.
    Elect(Election),
    /// Renew this grant.
    Renew(u64),
    /// End this grant. Its response is not reported to [`LeaderLease::on_response`].
    Revoke(u64),
}

/// The response to a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LeaseResponse {
    /// This grant was created.
    Granted(u64),
    /// The election was won.
    Elected {
        /// The epoch of the new leadership.
        epoch: Epoch,
        /// The version of the leader key.
        version: u64,
    },
    /// Another controller has won the election, or the grant has ended.
    Lost,
    /// The grant was renewed.
    Renewed,
    /// No response, or a refusal: unknown outcome.
    Unknown,
}

/// A change of whether a controller leads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeadershipTransition {
    /// It leads from now on.
    Began,
    /// It does not lead any more.
    Ended,
}

/// The state of a controller in the election.
#[derive(Debug, Clone, Copy, PartialEq)]
enum LeaseState {
    /// Another controller leads, or none does.
    Following,
    /// A grant is requested.
    Granting,
    /// The controller has a grant and tries to take the leader key.
    Electing { grant: u64 },
    /// The controller has the leader key.
    Leading {
        grant: u64,
        epoch: Epoch,
        /// The version of the leader key.
        version: u64,
    },
}

/// The leader lease as seen by one controller, see the module's documentation.
#[derive(Debug)]
pub struct LeaderLease {
    /// The id of this controller.
    member: String,
    /// Time to live of the grant in milliseconds.
    pub ttl_ms: u64,
    state: LeaseState,
    /// When the request in flight was sent.
    sent_at: Option<u64>,
    /// When the last successful request that created or renewed the grant was sent.
    renewed_at: u64,
    next_request_at: u64,
    /// No campaign before this time, so that others can be elected first.
    standby_until: u64,
    /// Maximum number of writes in a transaction.
    writes_max: usize,
}

impl LeaderLease {
    /// Creates the lease of a controller that follows. `writes_max` is the maximum number of
    /// writes in a transaction, under the present limits of the store and announced ones.
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

    /// Returns the epoch of this controller's leadership, if it leads.
    pub fn epoch(&self) -> Option<Epoch> {
        match self.state {
            LeaseState::Leading { epoch, .. } => Some(epoch),
            _ => None,
        }
    }

    /// Returns whether this controller leads and the grant can't have ended, even if clocks
    /// drift.
    pub fn is_certain(&self, now: u64) -> bool {
        self.is_leading() && now < self.renewed_at + self.ttl_ms * CERTAIN_TENTHS / 10
    }

    fn is_leading(&self) -> bool {
        matches!(self.state, LeaseState::Leading { .. })
    }

    /// Returns the next request, if one is due. `jitter` is a random number from 0 to 1.
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
            LeaseState::Following => self.begin_campaign(now, watch_cache)?,
            LeaseState::Granting => LeaseRequest::Grant,
            LeaseState::Electing { grant } if self.is_led_by_another(watch_cache) => {
                return Some(self.abandon_campaign(grant, now, jitter));
            }
            LeaseState::Electing { grant } => {
                LeaseRequest::Elect(self.election(grant, watch_cache))
            }
            LeaseState::Leading { grant, .. } => LeaseRequest::Renew(grant),
        };
        self.sent_at = Some(now);
        Some(request)
    }

    fn begin_campaign(&mut self, now: u64, watch_cache: &WatchCache) -> Option<LeaseRequest> {
        let may_campaign =
            watch_cache.loaded && now >= self.standby_until && !self.is_led_by_another(watch_cache);
        if !may_campaign {
            return None;
        }
        self.state = LeaseState::Granting;
        Some(LeaseRequest::Grant)
    }

    /// Returns whether the leader key is held by another controller. A key that an earlier
    /// process of this controller holds can be taken over at once.
    fn is_led_by_another(&self, watch_cache: &WatchCache) -> bool {
        let leader = watch_cache.leader();
        leader.is_some_and(|leader| leader.key.member != self.member)
    }

    fn abandon_campaign(&mut self, grant: u64, now: u64, jitter: f64) -> LeaseRequest {
        let pause = self.ttl_ms as f64 * (LOST_ELECTION_PAUSE + LOST_ELECTION_JITTER * jitter);
        self.state = LeaseState::Following;
        self.next_request_at = now + pause as u64;
        LeaseRequest::Revoke(grant)
    }

    fn election(&self, grant: u64, watch_cache: &WatchCache) -> Election {
        Election {
            grant,
            epoch: watch_cache.epoch.next(),
            leader_version: version_of(watch_cache.leader_key.as_ref()),
            lease_version: version_of(watch_cache.lease_key.as_ref()),
            epoch_version: watch_cache.epoch_version,
            fence: self.fence(watch_cache),
        }
    }

    fn fence(&self, watch_cache: &WatchCache) -> Fence {
        let is_packed = watch_cache.format >= PACKED_FORMAT;
        if watch_cache.is_superseded() {
            Fence::Raised
        } else if is_packed && self.writes_max >= FENCE_RAISE_WRITES {
            Fence::Raise
        } else {
            // Where a transaction is too small to raise it, the fence stays down.
            Fence::None
        }
    }

    /// Handles the response to the request in flight. Returns whether this controller's
    /// leadership began or ended; `None` if neither.
    pub fn on_response(
        &mut self,
        now: u64,
        response: LeaseResponse,
    ) -> Option<LeadershipTransition> {
        let was_leading = self.is_leading();
        let sent_at = self.sent_at.take().unwrap_or(now);
        match (self.state, response) {
            (LeaseState::Granting, LeaseResponse::Granted(grant)) => {
                self.state = LeaseState::Electing { grant };
                self.renewed_at = sent_at;
                self.next_request_at = now;
            }
            (LeaseState::Electing { grant }, LeaseResponse::Elected { epoch, version }) => {
                self.state = LeaseState::Leading {
                    grant,
                    epoch,
                    version,
                };
                self.next_request_at = now + self.ttl_ms / RENEWALS_PER_TTL;
            }
            (LeaseState::Leading { .. }, LeaseResponse::Renewed) => {
                self.renewed_at = self.renewed_at.max(sent_at);
                self.next_request_at = sent_at + self.ttl_ms / RENEWALS_PER_TTL;
            }
            // The watch cache may lag: campaign again shortly, with a new grant. The present
            // one expires by itself.
            (LeaseState::Electing { .. }, _)
            | (LeaseState::Leading { .. }, LeaseResponse::Lost) => {
                self.state = LeaseState::Following;
                self.retry(now);
            }
            _ => self.retry(now),
        }
        match (was_leading, self.is_leading()) {
            (false, true) => Some(LeadershipTransition::Began),
            (true, false) => Some(LeadershipTransition::Ended),
            (false, false) | (true, true) => None,
        }
    }

    fn retry(&mut self, now: u64) {
        self.next_request_at = now + self.ttl_ms / RETRIES_PER_TTL;
    }

    /// Gives up leadership and does not campaign for `standby_ms`, so that others can be
    /// elected first. Returns the request that ends the grant, if this controller leads.
    pub fn resign(&mut self, now: u64, standby_ms: u64) -> Option<LeaseRequest> {
        let LeaseState::Leading { grant, .. } = self.state else {
            return None;
        };
        self.state = LeaseState::Following;
        self.standby_until = now + standby_ms;
        Some(LeaseRequest::Revoke(grant))
    }

    /// Handles a change of the leadership keys in the watch cache. Returns
    /// [`LeadershipTransition::Ended`] if it ended this controller's leadership: the leader key
    /// has changed, or is deleted.
    pub fn on_cache_event(&mut self, watch_cache: &WatchCache) -> Option<LeadershipTransition> {
        let LeaseState::Leading { version, .. } = self.state else {
            return None;
        };
        let leader = watch_cache.leader();
        if leader.is_some_and(|leader| leader.version == version) {
            return None;
        }
        self.state = LeaseState::Following;
        Some(LeadershipTransition::Ended)
    }
}

/// Returns the version of a leadership key; 0 if it does not exist.
fn version_of(key: Option<&VersionedLeaderKey>) -> u64 {
    key.map_or(0, |key| key.version)
}
