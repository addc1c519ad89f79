//! Client of the store. Owns this controller's share of the store's rate limits, the write
//! queue, and the time at which the store last responded.

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
/// How long the store holds a watch open while nothing changes.
pub(super) const WATCH_HOLD_MS: u64 = 1000;
/// The store counts as reachable for this long after a response: a reachable store responds to a
/// watch within it.
pub(super) const REACHABLE_TIMEOUT_MS: u64 = WATCH_HOLD_MS + STORE_TIMEOUT_MS;
/// HTTP statuses from this one on report a failure of the store itself.
const SERVER_ERROR_STATUS_MIN: u16 = 500;

/// Shares of the store's limits on requests and writes per second. The write shares of the
/// leader and the followers add up to more than 1, as their bursts rarely coincide. A follower
/// may use this fraction of an even share of the requests; the leader, which sends a transaction
/// for each group of records, may use what the followers leave.
const FOLLOWER_REQUEST_RATIO: f64 = 0.7;
const LEADER_WRITE_RATIO: f64 = 0.75;
const FOLLOWER_WRITE_RATIO: f64 = 0.4;
/// Additional share of the write limit for each controller's duty records: users of the other
/// controllers rarely exhaust their shares. The minimum always admits a transaction of two
/// writes.
const DUTY_WRITE_RATIO: f64 = 0.08;
const DUTY_WRITES_PER_S_MIN: f64 = 2.0;

/// Role that determines a controller's share of the store's limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StoreRole {
    Leader,
    Follower,
}

/// The client of the store.
#[derive(Debug)]
pub(super) struct StoreClient {
    /// Number of other controllers.
    peer_count: usize,
    request_limit: TokenBucket,
    writes: WriteQueue<WriteOwner>,
    /// When the store last responded with neither a rate-limit refusal nor a server error.
    last_response_at: Option<u64>,
}

impl StoreClient {
    /// A client with a follower's share.
    pub(super) fn new(limits: &StoreLimits, peer_count: usize) -> StoreClient {
        let write_rate = limits.write_rps * FOLLOWER_WRITE_RATIO;
        let mut writes = WriteQueue::new(write_rate, write_rate, limits.txn_ops);
        writes.set_duty_rate(0, duty_write_rate(limits));
        StoreClient {
            peer_count,
            request_limit: TokenBucket::new(follower_request_rate(limits, peer_count)),
            writes,
            last_response_at: None,
        }
    }

    /// Switches to the share of `limits` that belongs to a role.
    pub(super) fn apply_role_limits(&mut self, role: StoreRole, limits: &StoreLimits, now: u64) {
        let follower_rate = follower_request_rate(limits, self.peer_count);
        let (request_rate, write_share) = match role {
            StoreRole::Leader => {
                let others = self.peer_count as f64 * follower_rate;
                (limits.rps - others, LEADER_WRITE_RATIO)
            }
            StoreRole::Follower => (follower_rate, FOLLOWER_WRITE_RATIO),
        };
        self.request_limit.set_rate(now, request_rate);
        self.writes.set_rate(now, limits.write_rps * write_share);
        self.writes.set_duty_rate(now, duty_write_rate(limits));
        self.writes.set_writes_max(limits.txn_ops);
    }

    /// Takes a request from the rate limit if it leaves `reserve`, a share of the limit, to other
    /// requests. Returns whether the request may be sent.
    pub(super) fn try_request(&mut self, now: u64, reserve: f64) -> bool {
        self.request_limit.try_take(now, 1.0, reserve)
    }

    /// Counts a request that is sent even if the rate limit is exhausted.
    pub(super) fn count_request(&mut self, now: u64) {
        let _ = self.request_limit.try_take(now, 1.0, 0.0);
    }

    /// Whether the store has responded within the reachability timeout.
    pub(super) fn is_reachable(&self, now: u64) -> bool {
        self.last_response_at
            .is_some_and(|at| now < at + REACHABLE_TIMEOUT_MS)
    }

    /// Updates the rate limit and the reachability from the outcome of any call to the store.
    pub(super) fn record_outcome(&mut self, outcome: &Outcome, now: u64) {
        match outcome {
            Outcome::Response {
                status: status::TOO_MANY_REQUESTS,
                ..
            } => self.request_limit.drain(),
            Outcome::Response { status, .. } if *status < SERVER_ERROR_STATUS_MIN => {
                self.last_response_at = Some(now);
            }
            _ => {}
        }
    }

    /// Queues a write.
    pub(super) fn push_write(&mut self, request: WriteRequest<WriteOwner>) {
        self.writes.push(request);
    }

    /// Removes the matching writes that are not in flight yet.
    pub(super) fn cancel_writes(&mut self, matches: impl Fn(&WriteOwner) -> bool) {
        self.writes.remove_waiting(matches);
    }

    /// Sends as many transactions as the rate limits allow.
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

    /// Processes the outcome of the transaction with a tag. Returns the result of each of its
    /// writes.
    pub(super) fn on_transaction_outcome(
        &mut self,
        tag: u64,
        outcome: &Outcome,
    ) -> Vec<(WriteOwner, CommitResult)> {
        self.writes.on_outcome(tag, outcome)
    }

    /// Whether any of the leader's writes waits for the rate limit.
    pub(super) fn has_waiting_leader_writes(&self) -> bool {
        self.writes.has_waiting(WriteClass::Leader)
    }

    /// How many low-priority writes, for which nobody waits, may be queued now.
    pub(super) fn deferrable_write_budget(&mut self, now: u64) -> usize {
        self.writes.deferrable_write_budget(now)
    }

    /// The number of writes that wait for the rate limit.
    pub(super) fn waiting_writes(&self) -> usize {
        self.writes.waiting_count()
    }

    /// The statistics of writes since the last call.
    pub(super) fn take_write_stats(&mut self) -> WriteStats {
        self.writes.take_stats()
    }
}

/// Requests per second that a follower may send.
fn follower_request_rate(limits: &StoreLimits, peer_count: usize) -> f64 {
    let controllers = (peer_count + 1) as f64;
    limits.rps / controllers * FOLLOWER_REQUEST_RATIO
}

/// Writes per second that a controller may spend on duty records.
fn duty_write_rate(limits: &StoreLimits) -> f64 {
    (limits.write_rps * DUTY_WRITE_RATIO).max(DUTY_WRITES_PER_S_MIN)
}
