//! The client of the store: this controller's share of its rate limits, and the writes on
//! their way to it. Owns when the store was last reachable.

use super::calls::PendingCall;
use super::commits::WriteOwner;
use super::http::HttpCall;
use super::outbox::Outbox;
use crate::net::{status, Outcome};
use crate::rate_limit::TokenBucket;
use crate::settings::StoreLimits;
use crate::write_queue::{CommitResult, WriteClass, WriteQueue, WriteRequest, WriteStats};

/// Default timeout of a call to the store.
pub(super) const STORE_TIMEOUT_MS: u64 = 1500;
/// How long a watch waits for changes.
pub(super) const WATCH_HOLD_MS: u64 = 1000;
/// For how long an answer of the store shows that it is reachable: a watch is answered
/// within this time if it is.
pub(super) const REACHABLE_MS: u64 = WATCH_HOLD_MS + STORE_TIMEOUT_MS;
/// Statuses from here on say that the store has failed.
const SERVER_ERRORS: u16 = 500;

/// Shares of the store's limits on requests and changes a second: the leader's and each other
/// controller's, whose bursts rarely coincide. Of the requests, a follower uses a little less
/// than an even share, and the leader, with a transaction for each group of records, what the
/// followers leave.
const FOLLOWER_REQUESTS: f64 = 0.7;
const LEADER_WRITES: f64 = 0.75;
const FOLLOWER_WRITES: f64 = 0.4;
/// Each controller's share for records of duties, beside these: the other controllers' users
/// rarely use all of theirs. A transaction of two changes fits in any case.
const DUTY_WRITES: f64 = 0.08;
const DUTY_WRITES_MIN: f64 = 2.0;

/// Whose share of the store's limits a controller may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StoreRole {
    Leader,
    Follower,
}

/// The client of the store.
#[derive(Debug)]
pub(super) struct StoreClient {
    /// How many other controllers there are.
    peers: usize,
    request_limit: TokenBucket,
    writes: WriteQueue<WriteOwner>,
    /// When the store last answered with something other than a refusal.
    answered_at: Option<u64>,
}

impl StoreClient {
    /// A client with a follower's share.
    pub(super) fn new(limits: &StoreLimits, peers: usize) -> StoreClient {
        let write_rate = limits.write_rps * FOLLOWER_WRITES;
        let mut writes = WriteQueue::new(write_rate, write_rate, limits.txn_ops);
        writes.set_duty_rate(0, duty_write_rate(limits));
        StoreClient {
            peers,
            request_limit: TokenBucket::new(follower_request_rate(limits, peers)),
            writes,
            answered_at: None,
        }
    }

    /// Uses the leader's or a follower's share of limits from now on.
    pub(super) fn set_share(&mut self, role: StoreRole, limits: &StoreLimits, now: u64) {
        let follower_rate = follower_request_rate(limits, self.peers);
        let (request_rate, write_share) = match role {
            StoreRole::Leader => {
                let others = self.peers as f64 * follower_rate;
                (limits.rps - others, LEADER_WRITES)
            }
            StoreRole::Follower => (follower_rate, FOLLOWER_WRITES),
        };
        self.request_limit.set_rate(now, request_rate);
        self.writes.set_rate(now, limits.write_rps * write_share);
        self.writes.set_duty_rate(now, duty_write_rate(limits));
        self.writes.set_writes_max(limits.txn_ops);
    }

    /// Whether a request may be sent now, so that a share of the limit is left to others.
    pub(super) fn try_request(&mut self, now: u64, reserve: f64) -> bool {
        self.request_limit.try_take(now, 1.0, reserve)
    }

    /// Counts a request that is sent whether the limit allows it or not.
    pub(super) fn count_request(&mut self, now: u64) {
        let _ = self.request_limit.try_take(now, 1.0, 0.0);
    }

    /// Whether the store has answered lately.
    pub(super) fn is_reachable(&self, now: u64) -> bool {
        self.answered_at.is_some_and(|at| now < at + REACHABLE_MS)
    }

    /// Learns from the outcome of any call to the store.
    pub(super) fn record_outcome(&mut self, outcome: &Outcome, now: u64) {
        match outcome {
            Outcome::Answer {
                status: status::TOO_MANY_REQUESTS,
                ..
            } => self.request_limit.drain(),
            Outcome::Answer { status, .. } if *status < SERVER_ERRORS => {
                self.answered_at = Some(now);
            }
            _ => {}
        }
    }

    /// Queues a write.
    pub(super) fn push_write(&mut self, request: WriteRequest<WriteOwner>) {
        self.writes.push(request);
    }

    /// Drops writes that were not sent yet.
    pub(super) fn cancel_writes(&mut self, matches: impl Fn(&WriteOwner) -> bool) {
        self.writes.remove_waiting(matches);
    }

    /// Sends the transactions that the rate limits allow.
    pub(super) fn send_writes(&mut self, outbox: &mut Outbox, now: u64) {
        loop {
            let tag = outbox.next_tag();
            let next = self.writes.next(now, tag, &mut self.request_limit);
            let Some(transaction) = next else {
                return;
            };
            let call = HttpCall::transaction(&transaction, STORE_TIMEOUT_MS);
            outbox.call_store(PendingCall::Transaction, call);
        }
    }

    /// The outcome of the transaction with a tag. Returns that of each write in it.
    pub(super) fn on_transaction_outcome(
        &mut self,
        tag: u64,
        outcome: &Outcome,
    ) -> Vec<(WriteOwner, CommitResult)> {
        self.writes.on_outcome(tag, outcome)
    }

    /// Whether the leader's writes wait for the rate limit.
    pub(super) fn has_waiting_leader_writes(&self) -> bool {
        self.writes.has_waiting(WriteClass::Leader)
    }

    /// How many writes that nobody waits for may be queued now.
    pub(super) fn spare_writes(&mut self, now: u64) -> usize {
        self.writes.spare_writes(now)
    }

    /// How many writes wait for the rate limit.
    pub(super) fn waiting_writes(&self) -> usize {
        self.writes.waiting_count()
    }

    /// The statistics of writes since the last call.
    pub(super) fn take_write_stats(&mut self) -> WriteStats {
        self.writes.take_stats()
    }
}

/// Requests that a follower may send in a second.
fn follower_request_rate(limits: &StoreLimits, peers: usize) -> f64 {
    let controllers = (peers + 1) as f64;
    limits.rps / controllers * FOLLOWER_REQUESTS
}

/// Changes of duties' records that a controller may make in a second.
fn duty_write_rate(limits: &StoreLimits) -> f64 {
    (limits.write_rps * DUTY_WRITES).max(DUTY_WRITES_MIN)
}
