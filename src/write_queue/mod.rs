//! The queue of writes to the store.
//!
//! The queue owns the waiting requests, the requests in flight, and the rate limits of writes. It
//! groups the requests that the limits admit into transactions, most urgent class first, and
//! reports the result of each request to its owner.
//!
//! Invariants:
//!
//! - At most `IN_FLIGHT_MAX` transactions are in flight at a time.
//! - Within a class, requests are sent in the order in which they were queued, unless a
//!   conflict of another request in the same transaction has put them back.
//! - All writes of a request go into the same transaction.
//! - No two requests of a transaction write the same key, see `batch`.

mod batch;
mod limits;
mod request;
mod result;
mod stats;

use std::collections::{BTreeMap, HashMap, VecDeque};

use crate::net::Outcome;
use crate::rate_limit::TokenBucket;
use crate::wire::Transaction;
use batch::Batch;
use limits::{DutyShare, WriteLimits, NO_RESERVE};
use request::QueuedRequest;

pub use request::{WriteClass, WriteRequest};
pub use result::CommitResult;
pub use stats::WriteStats;

/// Maximum number of transactions in flight.
const IN_FLIGHT_MAX: usize = 3;

/// Writes that wait to be sent to the store or are in flight. `Owner` identifies the recipient of
/// a request's result.
#[derive(Debug)]
pub struct WriteQueue<Owner> {
    waiting: BTreeMap<WriteClass, VecDeque<QueuedRequest<Owner>>>,
    /// The requests of each transaction in flight, by the transaction's tag.
    in_flight: HashMap<u64, Vec<QueuedRequest<Owner>>>,
    /// Maximum number of writes in a transaction.
    writes_max: usize,
    limits: WriteLimits,
    stats: WriteStats,
}

impl<Owner> WriteQueue<Owner> {
    /// Creates an empty queue. `rate` and `user_rate` limit the writes of users and the leader
    /// together, and those of users alone, in writes per second. `writes_max` is the maximum
    /// number of writes in a transaction.
    pub fn new(rate: f64, user_rate: f64, writes_max: usize) -> WriteQueue<Owner> {
        WriteQueue {
            waiting: BTreeMap::new(),
            in_flight: HashMap::new(),
            writes_max,
            limits: WriteLimits::new(rate, user_rate),
            stats: WriteStats::default(),
        }
    }

    /// Returns the statistics since the last call and resets them.
    pub fn take_stats(&mut self) -> WriteStats {
        std::mem::take(&mut self.stats)
    }

    /// Appends a request to the queue of its class.
    pub fn push(&mut self, request: WriteRequest<Owner>) {
        let queue = self.waiting.entry(request.class).or_default();
        queue.push_back(QueuedRequest::new(request));
    }

    /// Sets the maximum number of writes in a transaction.
    pub fn set_writes_max(&mut self, writes_max: usize) {
        self.writes_max = writes_max;
    }

    /// Sets the common rate of users' and the leader's writes, in writes per second.
    pub fn set_rate(&mut self, now: u64, rate: f64) {
        self.limits.set_rate(now, rate);
    }

    /// Sets the rate of the duties' own limit, in writes per second.
    pub fn set_duty_rate(&mut self, now: u64, rate: f64) {
        self.limits.set_duty_rate(now, rate);
    }

    /// Returns whether requests of this class are waiting to be sent.
    pub fn has_waiting(&self, class: WriteClass) -> bool {
        self.waiting
            .get(&class)
            .is_some_and(|queue| !queue.is_empty())
    }

    /// Returns the number of requests that are waiting to be sent.
    pub fn waiting_count(&self) -> usize {
        self.waiting.values().map(VecDeque::len).sum()
    }

    /// Returns how many deferrable writes may be queued now. Zero while requests are waiting; a
    /// reserve is kept for future requests.
    pub fn deferrable_write_budget(&mut self, now: u64) -> usize {
        if self.waiting_count() > 0 {
            return 0;
        }
        self.limits.tokens_above_reserve(now)
    }

    /// Returns the next transaction to send, if requests are waiting and the limits admit one.
    ///
    /// `tag` identifies the transaction in [`WriteQueue::on_outcome`]. `requests` is the rate
    /// limit of requests to the store, from which the transaction takes one token.
    pub fn next(&mut self, now: u64, tag: u64, requests: &mut TokenBucket) -> Option<Transaction> {
        if !self.may_send(now, requests) {
            return None;
        }
        let batch = self.next_batch(now);
        if batch.is_empty() {
            return None;
        }
        if !requests.try_take(now, 1.0, NO_RESERVE) {
            self.put_back_batch(batch);
            return None;
        }
        self.stats.transactions += 1;
        self.stats.writes += batch.write_count() as u64;
        let (transaction, group) = batch.into_transaction();
        self.in_flight.insert(tag, group);
        Some(transaction)
    }

    /// Checks the limits before a transaction is built, as building one is far more expensive.
    fn may_send(&mut self, now: u64, requests: &mut TokenBucket) -> bool {
        if self.in_flight.len() >= IN_FLIGHT_MAX || self.waiting_count() == 0 {
            return false;
        }
        let duties_wait = self.has_waiting(WriteClass::Duty);
        let may_write = self.limits.may_write(now, duties_wait);
        requests.available(now, NO_RESERVE) > 0 && may_write
    }

    /// Moves the waiting requests that the limits admit into a new transaction, most urgent
    /// class first. Each class stops at its first request that is not admitted.
    fn next_batch(&mut self, now: u64) -> Batch<Owner> {
        let mut batch = Batch::new();
        let mut duty_share = DutyShare::OwnAndSpare;
        for (class, queue) in &mut self.waiting {
            while let Some(queued) = pop_front_if(queue, |queued| {
                batch.admits(queued, self.writes_max)
                    && self
                        .limits
                        .try_take(now, *class, queued.tokens(), duty_share)
            }) {
                batch.push(queued);
            }
            if !queue.is_empty() {
                duty_share = DutyShare::OwnOnly;
            }
        }
        batch
    }

    /// Puts the requests of a transaction that is not sent back into the queue and refunds their
    /// tokens. Not expected to be needed, as [`WriteQueue::may_send`] has checked the limit of
    /// requests at the same time.
    fn put_back_batch(&mut self, batch: Batch<Owner>) {
        let group = batch.into_requests();
        for queued in &group {
            let request = &queued.request;
            self.limits.refund(request.class, request.writes.len());
        }
        for queued in group.into_iter().rev() {
            self.put_back(queued);
        }
    }

    /// Puts a request back at the front of the queue of its class.
    fn put_back(&mut self, queued: QueuedRequest<Owner>) {
        let queue = self.waiting.entry(queued.request.class).or_default();
        queue.push_front(queued);
    }

    /// Handles the outcome of a transaction and returns the results of its requests.
    ///
    /// Requests that failed only because of another request's condition have no result yet: they
    /// are put back. As each of them is put at the front of its class in turn, they are sent again
    /// in reverse order.
    pub fn on_outcome(&mut self, tag: u64, outcome: &Outcome) -> Vec<(Owner, CommitResult)> {
        let Some(group) = self.in_flight.remove(&tag) else {
            return vec![];
        };
        if result::is_throttled(outcome) {
            self.stats.throttled += 1;
            self.limits.drain();
        }
        let result = CommitResult::from_outcome(outcome);
        self.stats.record(&result);
        let is_alone = group.len() == 1;
        let mut results = Vec::new();
        for queued in group {
            if is_alone || queued.is_affected_by(&result) {
                results.push((queued.request.owner, result.clone()));
            } else {
                self.put_back(queued);
            }
        }
        results
    }

    /// Removes the waiting requests of matching owners. Requests in flight are kept.
    pub fn remove_waiting(&mut self, matches: impl Fn(&Owner) -> bool) {
        for queue in self.waiting.values_mut() {
            queue.retain(|queued| !matches(&queued.request.owner));
        }
    }
}

/// Removes the first element if it satisfies the predicate.
fn pop_front_if<T>(queue: &mut VecDeque<T>, predicate: impl FnOnce(&T) -> bool) -> Option<T> {
    let is_taken = queue.front().is_some_and(predicate);
    is_taken.then(|| queue.pop_front()).flatten()
}
