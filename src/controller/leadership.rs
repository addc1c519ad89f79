//! This controller's part in the leader lease: requests for it, what their outcomes mean, and
//! a term that was won and has not begun. Owns the lease and the random numbers for its
//! pauses; what a change of leadership means for the other parts is in `terms`.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::clock::Timestamp;
use super::http::HttpCall;
use super::responses::{self, CallError};
use crate::epoch::Epoch;
use crate::leader_lease::{
    Election, LeaderLease, LeadershipTransition, LeaseRequest, LeaseResponse,
};
use crate::leadership_keys::{Fence, LeaderKey, EPOCH_KEY, LEADER_KEY, LEASE_KEY};
use crate::net::{status, Outcome};
use crate::scheduler::Term;
use crate::watch_cache::WatchCache;
use crate::wire::{self, Condition, Transaction, Write};

/// The timeout of a request for the lease, as a part of its time to live.
const TIMEOUT_PART: u64 = 3;

/// An election that was won.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct WonElection {
    pub epoch: Epoch,
    /// The version of the leader key.
    pub version: u64,
    pub fence: Fence,
}

/// What the outcome of a request for the lease has changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LeadershipChange {
    Unchanged,
    Won(WonElection),
    /// The lease was lost.
    Lost,
}

/// This controller's part in the leader lease.
#[derive(Debug)]
pub(super) struct Leadership {
    member: String,
    lease: LeaderLease,
    /// An election was won, but the watch cache does not hold it yet.
    pending_term: Option<Term>,
    rng: StdRng,
}

impl Leadership {
    /// A follower. `writes_max`: most changes of a transaction, now and under limits to come.
    pub(super) fn new(member: &str, ttl_ms: u64, writes_max: usize, seed: u64) -> Leadership {
        Leadership {
            member: member.to_string(),
            lease: LeaderLease::new(member, ttl_ms, writes_max),
            pending_term: None,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Whether the lease is ours as far as is known.
    pub(super) fn has_lease(&self) -> bool {
        self.lease.epoch().is_some()
    }

    /// Whether the lease is ours and can't have expired.
    pub(super) fn is_certain(&self, now: u64) -> bool {
        self.lease.is_certain(now)
    }

    /// The next request for the lease, if it is time for one.
    pub(super) fn tick(&mut self, watch_cache: &WatchCache, now: u64) -> Option<LeaseRequest> {
        let jitter = self.rng.random::<f64>();
        self.lease.tick(now, watch_cache, jitter)
    }

    /// The call that a request for the lease becomes.
    pub(super) fn http_call(&self, request: &LeaseRequest) -> HttpCall {
        let timeout_ms = self.lease.ttl_ms / TIMEOUT_PART;
        match request {
            LeaseRequest::Grant => HttpCall::create_grant(self.lease.ttl_ms, timeout_ms),
            LeaseRequest::Renew(grant) => HttpCall::renew_grant(*grant, timeout_ms),
            LeaseRequest::Revoke(grant) => HttpCall::end_grant(*grant, timeout_ms),
            LeaseRequest::Elect(election) => {
                let transaction = election_transaction(election, &self.member);
                HttpCall::transaction(&transaction, timeout_ms)
            }
        }
    }

    /// Processes the outcome of a request for the lease.
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

    /// The keys of leadership have changed in the watch cache. Returns whether the lease was
    /// lost by that.
    pub(super) fn on_keys_changed(&mut self, watch_cache: &WatchCache) -> bool {
        self.lease.on_cache_event(watch_cache) == Some(LeadershipTransition::Ended)
    }

    /// Prepares the term that a won election begins.
    pub(super) fn prepare_term(&mut self, election: WonElection, now: Timestamp) {
        self.pending_term = Some(Term {
            member: self.member.clone(),
            epoch: election.epoch,
            key: election.fence.leader_key(),
            key_version: election.version,
            began_wall_ms: now.wall,
        });
    }

    /// Whether a term waits for the watch cache.
    pub(super) fn has_pending_term(&self) -> bool {
        self.pending_term.is_some()
    }

    /// The term that may begin, as the watch cache holds all changes up to `revision`.
    pub(super) fn take_term(&mut self, revision: u64) -> Option<Term> {
        self.pending_term
            .take_if(|term| term.key_version <= revision)
    }

    /// Drops a term that has not begun.
    pub(super) fn drop_pending_term(&mut self) {
        self.pending_term = None;
    }

    /// Gives up the lease, and does not campaign for `standby_ms`. Returns the request that
    /// ends the grant, if the lease was ours.
    pub(super) fn resign(&mut self, standby_ms: u64, now: u64) -> Option<LeaseRequest> {
        self.lease.resign(now, standby_ms)
    }

    /// Gives up a lease that is another's already: there is no grant to end.
    pub(super) fn abandon(&mut self, now: u64) {
        let _ = self.lease.resign(now, 0);
    }
}

/// The transaction that takes the leader key and raises the epoch.
fn election_transaction(election: &Election, member: &str) -> Transaction {
    let key = LeaderKey {
        member: member.to_string(),
        epoch: election.epoch,
    };
    let mut writes = Vec::new();
    if election.fence == Fence::Raise {
        writes.push(Write::leader(LEADER_KEY, &LeaderKey::superseded(), None));
    }
    let own_key = election.fence.leader_key();
    writes.push(Write::leader(own_key, &key, Some(election.grant)));
    writes.push(Write::set(EPOCH_KEY.into(), election.epoch.get().into()));
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
