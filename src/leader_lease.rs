//! Election and renewal of the leader lease.
//!
//! The leader is the controller whose id is in the leader key. That key is attached to a grant of
//! the store, so the store deletes it when the leader no longer renews the grant. Each election
//! reserves the next epochs, the fencing tokens by which agents reject commands of earlier leaders.
//!
//! [`LeaderLease`] is the state machine of one controller. It does no I/O: the caller polls it for
//! the next request, sends that request and reports the response. At most one request is in
//! flight.
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
use crate::leadership_keys::VersionFence;
use crate::settings::{ClusterSettings, OperatorSettings};
use crate::time_units::to_ms;
use crate::watch_cache::{VersionedLeaderKey, WatchCache};

/// Longest time to live of the leader's grant, relative to an agent's lease.
const TTL_AGENT_LEASE_RATIO_MAX: f64 = 0.25;
/// Shortest time to live of a grant that the store supports.
const TTL_MIN_MS: u64 = 100;
/// Renewals of the grant per time to live.
const RENEWALS_PER_TTL: u64 = 4;
/// Retries of a failed request per time to live.
const RETRIES_PER_TTL: u64 = 20;
/// Tenths of the time to live for which the grant is certain to be valid, counted from when the
/// last renewal was sent. The rest allows for clock drift.
const VALID_TTL_TENTHS: u64 = 9;
/// Shortest backoff after an election that another controller has won, relative to the time to
/// live.
const LOST_ELECTION_BACKOFF_RATIO: f64 = 0.1;
/// Largest random addition to that backoff, relative to the time to live.
const LOST_ELECTION_JITTER_RATIO: f64 = 0.1;
/// Number of writes in the transaction of an election that raises the fence.
const FENCE_RAISE_WRITES: usize = 3;

/// Returns the time to live of the leader's grant in milliseconds.
///
/// It is the share of an agent's lease that the operator has set, but at least as long as the
/// process may stall, and at most a quarter of that lease.
pub fn leader_lease_ttl_ms(cluster: &ClusterSettings, operator: &OperatorSettings) -> u64 {
    let lease_s = cluster.workers.lease_s;
    let ttl_s = (lease_s * operator.leader_life_share)
        .max(cluster.limits.stall_s())
        .min(lease_s * TTL_AGENT_LEASE_RATIO_MAX);
    to_ms(ttl_s)
}

/// The parameters of an election. The leadership keys must still have the given versions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Election {
    /// The grant that the key is attached to.
    pub grant: u64,
    /// The first epoch of the new term.
    pub epoch: Epoch,
    /// The version of [`crate::leadership_keys::LEADER_KEY`]; 0 if it does not exist.
    pub leader_version: u64,
    /// The version of [`crate::leadership_keys::LEASE_KEY`]; 0 if it does not exist.
    pub lease_version: u64,
    /// The version of [`crate::leadership_keys::EPOCH_KEY`]; 0 if it does not exist.
    pub epoch_version: u64,
    /// How versions before format 1 are kept from leading.
    pub fence: VersionFence,
}

/// A request to the store.
#[derive(Debug, Clone, PartialEq)]
pub enum LeaseRequest {
    /// Create a grant.
    Grant,
    /// Acquire the leader key and reserve the epochs of the new term.
    Elect(Election),
    /// Renew this grant.
    Renew(u64),
    /// Revoke this grant. The response is not reported to [`LeaderLease::on_response`].
    Revoke(u64),
}

/// The response to a request to the store.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LeaseResponse {
    /// This grant was created.
    Granted(u64),
    /// The election was won.
    Elected {
        /// The first epoch of the new term.
        epoch: Epoch,
        /// The version of the leader key.
        version: u64,
    },
    /// Another controller has won the election, or the grant has expired.
    Lost,
    /// The grant was renewed.
    Renewed,
    /// The outcome is unknown: no response was received, or the request was refused.
    Unknown,
}

/// The beginning or the end of a controller's leadership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeadershipTransition {
    /// The controller has become the leader.
    Began,
    /// The controller no longer leads.
    Ended,
}

/// The state of a controller in the election.
#[derive(Debug, Clone, Copy, PartialEq)]
enum LeaseState {
    /// Another controller leads, or there is no leader.
    Following,
    /// The controller requests a grant.
    Granting,
    /// The controller has a grant and tries to acquire the leader key.
    Electing { grant: u64 },
    /// The controller holds the leader key.
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
    /// When the request in flight was sent; `None` if there is none.
    sent_at: Option<u64>,
    /// When the last successful request that created or renewed the grant was sent.
    renewed_at: u64,
    next_request_at: u64,
    /// The controller doesn't campaign before this time, so that others can be elected first.
    standby_until: u64,
    /// Maximum number of writes in a transaction.
    writes_max: usize,
}

impl LeaderLease {
    /// Creates the lease of a controller that does not lead. `writes_max` is the maximum number of
    /// writes in a transaction, under the present limits of the store as well as announced ones.
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

    /// Returns the first epoch of this controller's term, if it leads.
    pub fn epoch(&self) -> Option<Epoch> {
        match self.state {
            LeaseState::Leading { epoch, .. } => Some(epoch),
            _ => None,
        }
    }

    /// Returns whether this controller leads and its grant is certain to be valid, even if clocks
    /// drift.
    pub fn holds_valid_lease(&self, now: u64) -> bool {
        self.is_leading() && now < self.renewed_at + self.ttl_ms * VALID_TTL_TENTHS / 10
    }

    fn is_leading(&self) -> bool {
        matches!(self.state, LeaseState::Leading { .. })
    }

    /// Returns the request that is due, if any. `jitter` is a random number from 0 to 1.
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

    /// Returns whether another controller holds the leader key. A key that an earlier process of
    /// this controller holds can be taken over immediately.
    fn is_led_by_another(&self, watch_cache: &WatchCache) -> bool {
        let leader = watch_cache.leader();
        leader.is_some_and(|leader| leader.key.member != self.member)
    }

    fn abandon_campaign(&mut self, grant: u64, now: u64, jitter: f64) -> LeaseRequest {
        let backoff_ms = self.ttl_ms as f64
            * (LOST_ELECTION_BACKOFF_RATIO + LOST_ELECTION_JITTER_RATIO * jitter);
        self.state = LeaseState::Following;
        self.next_request_at = now + backoff_ms as u64;
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

    fn fence(&self, watch_cache: &WatchCache) -> VersionFence {
        let is_packed = watch_cache.format >= PACKED_FORMAT;
        if watch_cache.is_superseded() {
            VersionFence::Raised
        } else if is_packed && self.writes_max >= FENCE_RAISE_WRITES {
            VersionFence::Raise
        } else {
            // Versions before format 1 may still run, or transactions are too small to raise the
            // fence.
            VersionFence::None
        }
    }

    /// Handles the response to the request in flight. Returns a transition if this controller's
    /// leadership began or ended.
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
            // The watch cache may lag, so the controller campaigns again after the retry delay,
            // with a new grant. The present grant expires by itself.
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

    /// Resigns leadership, if this controller leads, and does not campaign for `standby_ms`, so
    /// that others can be elected first. Returns the request that revokes the grant.
    pub fn resign(&mut self, now: u64, standby_ms: u64) -> Option<LeaseRequest> {
        let LeaseState::Leading { grant, .. } = self.state else {
            return None;
        };
        self.state = LeaseState::Following;
        self.standby_until = now + standby_ms;
        Some(LeaseRequest::Revoke(grant))
    }

    /// Handles a change of the leadership keys in the watch cache. Returns
    /// [`LeadershipTransition::Ended`] if this controller has lost its leadership, as the leader
    /// key has changed or was deleted.
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
