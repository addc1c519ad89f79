//! The client side of leader election: sends requests for the leader lease, interprets their
//! outcomes, and holds a term that was won but has not begun. Owns the lease and the random
//! numbers for backoff jitter. `term_changes` applies a change of leadership to the other modules.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::clock::Timestamp;
use super::http::HttpCall;
use super::responses::{self, CallError};
use crate::epoch::Epoch;
use crate::leader_lease::{
    Election, LeaderLease, LeadershipTransition, LeaseRequest, LeaseResponse,
};
use crate::leadership_keys::{LeaderKey, VersionFence, EPOCH_KEY, LEADER_KEY, LEASE_KEY};
use crate::net::{status, Outcome};
use crate::scheduler::LeaderTerm;
use crate::watch_cache::WatchCache;
use crate::wire::{self, Condition, Transaction, Write};

/// The timeout of a lease request is the lease's time to live divided by this.
const REQUEST_TIMEOUT_DIVISOR: u64 = 3;

/// An election that was won.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct WonElection {
    pub epoch: Epoch,
    /// The version of the leader key.
    pub version: u64,
    pub fence: VersionFence,
}

/// The effect of a lease request's outcome on leadership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LeadershipChange {
    Unchanged,
    Won(WonElection),
    /// The lease was lost.
    Lost,
}

/// This controller's leader lease and pending term.
#[derive(Debug)]
pub(super) struct Leadership {
    member: String,
    lease: LeaderLease,
    /// A term whose election was won but has not reached the watch cache yet.
    pending_term: Option<LeaderTerm>,
    rng: StdRng,
}

impl Leadership {
    /// Starts as a follower. `writes_max` is the lowest limit on writes per transaction, present
    /// or announced.
    pub(super) fn new(member: &str, ttl_ms: u64, writes_max: usize, seed: u64) -> Leadership {
        Leadership {
            member: member.to_string(),
            lease: LeaderLease::new(member, ttl_ms, writes_max),
            pending_term: None,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Whether this controller holds the lease, as far as it knows.
    pub(super) fn has_lease(&self) -> bool {
        self.lease.epoch().is_some()
    }

    /// Whether this controller holds the lease, which cannot have expired at `now`.
    pub(super) fn holds_valid_lease(&self, now: u64) -> bool {
        self.lease.holds_valid_lease(now)
    }

    /// The next lease request, if one is due.
    pub(super) fn tick(&mut self, watch_cache: &WatchCache, now: u64) -> Option<LeaseRequest> {
        let jitter = self.rng.random::<f64>();
        self.lease.tick(now, watch_cache, jitter)
    }

    /// The HTTP call to the store for a lease request.
    pub(super) fn http_call(&self, request: &LeaseRequest) -> HttpCall {
        let timeout_ms = self.lease.ttl_ms / REQUEST_TIMEOUT_DIVISOR;
        match request {
            LeaseRequest::Grant => HttpCall::create_grant(self.lease.ttl_ms, timeout_ms),
            LeaseRequest::Renew(grant) => HttpCall::renew_grant(*grant, timeout_ms),
            LeaseRequest::Revoke(grant) => HttpCall::revoke_grant(*grant, timeout_ms),
            LeaseRequest::Elect(election) => {
                let transaction = election_transaction(election, &self.member);
                HttpCall::transaction(&transaction, timeout_ms)
            }
        }
    }

    /// Processes the outcome of a lease request.
    pub(super) fn on_outcome(
        &mut self,
        request: &LeaseRequest,
        outcome: &Outcome,
        now: u64,
    ) -> LeadershipChange {
        let response = response_to(request, outcome);
        if self.lease.on_response(now, response).is_none() {
            return LeadershipChange::Unchanged;
        }
        match (request, response) {
            (LeaseRequest::Elect(election), LeaseResponse::Elected { epoch, version }) => {
                LeadershipChange::Won(WonElection {
                    epoch,
                    version,
                    fence: election.fence,
                })
            }
            _ => LeadershipChange::Lost,
        }
    }

    /// Handles a change of the leadership keys in the watch cache. Returns whether it ended
    /// this controller's lease.
    pub(super) fn on_keys_changed(&mut self, watch_cache: &WatchCache) -> bool {
        self.lease.on_cache_event(watch_cache) == Some(LeadershipTransition::Ended)
    }

    /// Prepares the term that a won election begins.
    pub(super) fn prepare_term(&mut self, election: WonElection, now: Timestamp) {
        self.pending_term = Some(LeaderTerm {
            member: self.member.clone(),
            epoch: election.epoch,
            key: election.fence.leader_key(),
            key_version: election.version,
            began_wall_ms: now.wall,
        });
    }

    /// Whether a term that was won still waits for the watch cache.
    pub(super) fn has_pending_term(&self) -> bool {
        self.pending_term.is_some()
    }

    /// Takes the pending term if the watch cache, complete up to `revision`, holds its election.
    pub(super) fn take_ready_term(&mut self, revision: u64) -> Option<LeaderTerm> {
        self.pending_term
            .take_if(|term| term.key_version <= revision)
    }

    /// Discards a term that was won but has not begun.
    pub(super) fn drop_pending_term(&mut self) {
        self.pending_term = None;
    }

    /// Gives up the lease and does not campaign for `standby_ms`. Returns the request that
    /// revokes the grant, if this controller held the lease.
    pub(super) fn resign(&mut self, standby_ms: u64, now: u64) -> Option<LeaseRequest> {
        self.lease.resign(now, standby_ms)
    }

    /// Gives up a lease that another controller has already acquired, so no grant is revoked.
    pub(super) fn abandon(&mut self, now: u64) {
        let _ = self.lease.resign(now, 0);
    }
}

/// The transaction that takes the leader key and reserves the epochs of the new term.
fn election_transaction(election: &Election, member: &str) -> Transaction {
    let key = LeaderKey {
        member: member.to_string(),
        epoch: election.epoch,
    };
    let mut writes = Vec::new();
    if election.fence == VersionFence::Raise {
        writes.push(Write::leader(LEADER_KEY, &LeaderKey::superseded(), None));
    }
    let own_key = election.fence.leader_key();
    writes.push(Write::leader(own_key, &key, Some(election.grant)));
    let last_epoch = election.epoch.last_of_term();
    writes.push(Write::set(EPOCH_KEY.into(), last_epoch.get().into()));
    Transaction {
        conditions: vec![
            Condition::new(LEADER_KEY, election.leader_version),
            Condition::new(LEASE_KEY, election.lease_version),
            Condition::new(EPOCH_KEY, election.epoch_version),
        ],
        writes,
    }
}

fn response_to(request: &LeaseRequest, outcome: &Outcome) -> LeaseResponse {
    match request {
        LeaseRequest::Grant => match responses::decode_success::<wire::Grant>(outcome) {
            Ok(reply) => LeaseResponse::Granted(reply.grant),
            Err(_) => LeaseResponse::Unknown,
        },
        LeaseRequest::Renew(_) => match responses::success(outcome) {
            Ok(_) => LeaseResponse::Renewed,
            Err(CallError::Status(status::NOT_FOUND)) => LeaseResponse::Lost,
            Err(_) => LeaseResponse::Unknown,
        },
        LeaseRequest::Elect(election) => {
            match responses::decode_success::<wire::TransactionReply>(outcome) {
                Ok(reply) => LeaseResponse::Elected {
                    epoch: election.epoch,
                    version: reply.revision,
                },
                Err(CallError::Status(_)) => LeaseResponse::Lost,
                Err(_) => LeaseResponse::Unknown,
            }
        }
        LeaseRequest::Revoke(_) => LeaseResponse::Unknown,
    }
}
