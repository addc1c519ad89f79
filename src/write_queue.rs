//! Changes on their way to the store: they wait until the rate limits allow,
//! and are grouped into transactions, the most urgent first.

use std::collections::{BTreeMap, HashMap, VecDeque};

use crate::net::{status, Outcome};
use crate::rate_limit::TokenBucket;
use crate::wire::{self, Condition, Transaction, TransactionReply, Write};

/// Most bytes of a transaction, below the store's 64 KiB.
const TRANSACTION_BYTES_MAX: usize = 56 * 1024;
/// Most transactions in flight at a time.
const IN_FLIGHT_MAX: usize = 3;
/// Conditions that a transaction may have for each change that it may have.
const CONDITIONS_PER_WRITE: usize = 4;
/// Allowed for a condition, in bytes.
const CONDITION_BYTES: usize = 64;
/// Share of the rate that is left for what may come, before changes that nobody waits
/// for go out.
const SPARE_RESERVE: f64 = 0.5;

/// Whose changes go first. Users' do, so that no user waits for the leader's many; they
/// have a rate limit of their own, so that they don't starve it either.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum WriteClass {
    /// Users' changes.
    User,
    /// The leader's changes.
    Leader,
    /// Records of duties. They have a rate limit of their own, so that they neither delay
    /// the leader's changes nor starve under them.
    Duty,
}

/// What became of a request.
#[derive(Debug, Clone, PartialEq)]
pub enum CommitResult {
    /// Carried out.
    Committed {
        /// At this revision.
        revision: u64,
    },
    /// Not carried out, as conditions did not hold.
    Conflict {
        /// The keys of these conditions.
        failed: Vec<String>,
        /// The revision at which they were looked at.
        revision: u64,
    },
    /// Not carried out.
    Rejected,
    /// May have been carried out, or may yet be.
    Unknown,
}

/// Changes that have to go together.
#[derive(Debug, Clone)]
pub struct WriteRequest<W> {
    /// Who is told of the result.
    pub owner: W,
    /// All have to hold.
    pub conditions: Vec<Condition>,
    /// The changes.
    pub writes: Vec<Write>,
    /// Whose they are.
    pub class: WriteClass,
}

#[derive(Debug)]
struct QueuedRequest<W> {
    /// Its size, which is measured once.
    bytes: usize,
    request: WriteRequest<W>,
}

/// What became of the changes since the last look, for the log.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct WriteStats {
    /// Transactions sent.
    pub transactions: u64,
    /// Changes sent.
    pub changes: u64,
    /// Transactions that the store refused for their number.
    pub throttled: u64,
    /// Transactions with a condition that did not hold.
    pub conflicts: u64,
    /// Transactions without an answer.
    pub unknown: u64,
}

/// The queue of changes on their way to the store.
#[derive(Debug)]
pub struct WriteQueue<W> {
    waiting: BTreeMap<WriteClass, VecDeque<QueuedRequest<W>>>,
    in_flight: HashMap<u64, Vec<QueuedRequest<W>>>,
    /// Most changes of a transaction.
    writes_max: usize,
    limit: TokenBucket,
    /// The part of it that users' changes may take.
    user_limit: TokenBucket,
    /// What records of duties may take beside it.
    duty_limit: TokenBucket,
    stats: WriteStats,
}

/// The transaction that is being put together.
#[derive(Debug)]
struct Batch<W> {
    conditions: BTreeMap<String, u64>,
    writes: Vec<Write>,
    bytes: usize,
    requests: Vec<QueuedRequest<W>>,
}

impl<W> Batch<W> {
    fn new() -> Batch<W> {
        Batch {
            conditions: BTreeMap::new(),
            writes: vec![],
            bytes: 0,
            requests: vec![],
        }
    }

    /// Whether a request may join the others.
    fn admits(&self, queued: &QueuedRequest<W>, writes_max: usize) -> bool {
        if self.requests.is_empty() {
            return true;
        }
        let request = &queued.request;
        let writes = self.writes.len() + request.writes.len();
        let conditions = self.conditions.len() + request.conditions.len();
        writes <= writes_max
            && conditions <= CONDITIONS_PER_WRITE * writes_max
            && self.bytes + queued.bytes <= TRANSACTION_BYTES_MAX
            && !self.clashes(request)
    }

    /// All conditions are looked at before the writes: two changes of one key would both
    /// pass in a transaction, and the latter undo the first, although both were told to
    /// have been made. Each change has a condition on the key that it writes.
    fn clashes(&self, request: &WriteRequest<W>) -> bool {
        let other_version = |condition: &Condition| {
            let version = self.conditions.get(&condition.key);
            version.is_some_and(|version| *version != condition.version)
        };
        let written = |write: &Write| self.conditions.contains_key(write.key());
        request.conditions.iter().any(other_version) || request.writes.iter().any(written)
    }

    fn push(&mut self, queued: QueuedRequest<W>) {
        for condition in &queued.request.conditions {
            self.conditions
                .insert(condition.key.clone(), condition.version);
        }
        self.writes.extend(queued.request.writes.iter().cloned());
        self.bytes += queued.bytes;
        self.requests.push(queued);
    }
}

impl<W: Clone> WriteQueue<W> {
    /// An empty queue. `rate` and `user_rate`: changes a second, of all and of users.
    pub fn new(rate: f64, user_rate: f64, writes_max: usize) -> WriteQueue<W> {
        WriteQueue {
            waiting: BTreeMap::new(),
            in_flight: HashMap::new(),
            writes_max,
            limit: TokenBucket::new(rate),
            user_limit: TokenBucket::new(user_rate),
            duty_limit: TokenBucket::new(0.0),
            stats: WriteStats::default(),
        }
    }

    /// What became of the changes since the last call.
    pub fn take_stats(&mut self) -> WriteStats {
        std::mem::take(&mut self.stats)
    }

    /// Adds a request.
    pub fn push(&mut self, request: WriteRequest<W>) {
        let writes: usize = request.writes.iter().map(write_bytes).sum();
        let bytes = writes + CONDITION_BYTES * request.conditions.len();
        let queue = self.waiting.entry(request.class).or_default();
        queue.push_back(QueuedRequest { bytes, request });
    }

    /// Sets another number of changes that a transaction may hold.
    pub fn set_writes_max(&mut self, writes_max: usize) {
        self.writes_max = writes_max;
    }

    /// Sets another number of changes a second.
    pub fn set_rate(&mut self, now: u64, rate: f64) {
        self.limit.set_rate(now, rate);
    }

    /// Sets how many changes of duties' records may be made in a second.
    pub fn set_duty_rate(&mut self, now: u64, rate: f64) {
        self.duty_limit.set_rate(now, rate);
    }

    /// Whether changes of this class wait for the rate limit.
    pub fn has_waiting(&self, class: WriteClass) -> bool {
        self.waiting
            .get(&class)
            .is_some_and(|queue| !queue.is_empty())
    }

    /// How many requests wait.
    pub fn waiting_count(&self) -> usize {
        self.waiting.values().map(VecDeque::len).sum()
    }

    /// How many changes that nobody waits for may go out now: none while others wait, and
    /// some are left for what may come.
    pub fn spare_writes(&mut self, now: u64) -> usize {
        if self.waiting_count() > 0 {
            return 0;
        }
        self.limit.available(now, SPARE_RESERVE)
    }

    /// The next transaction to send, if there is one and the rate limits allow.
    pub fn next(&mut self, now: u64, tag: u64, requests: &mut TokenBucket) -> Option<Transaction> {
        if self.in_flight.len() >= IN_FLIGHT_MAX || self.waiting_count() == 0 {
            return None;
        }
        // Asked before a transaction is put together, which costs far more.
        let duties_wait = self.has_waiting(WriteClass::Duty);
        let may_write = self.limit.available(now, 0.0) > 0
            || (duties_wait && self.duty_limit.available(now, 0.0) > 0);
        if requests.available(now, 0.0) == 0 || !may_write {
            return None;
        }
        let batch = self.next_batch(now);
        if batch.requests.is_empty() {
            return None;
        }
        if !requests.try_take(now, 1.0, 0.0) {
            for queued in &batch.requests {
                let writes = queued.request.writes.len() as f64;
                self.limit_of(queued.request.class).refund(writes);
            }
            self.put_back(batch.requests);
            return None;
        }
        self.stats.transactions += 1;
        self.stats.changes += batch.writes.len() as u64;
        self.in_flight.insert(tag, batch.requests);
        let conditions = batch.conditions.into_iter();
        Some(Transaction {
            conditions: conditions
                .map(|(key, version)| Condition { key, version })
                .collect(),
            writes: batch.writes,
        })
    }

    fn next_batch(&mut self, now: u64) -> Batch<W> {
        let mut batch = Batch::new();
        let mut others_wait = false;
        for (class, queue) in self.waiting.iter_mut() {
            while let Some(queued) = queue.front() {
                if !batch.admits(queued, self.writes_max) {
                    break;
                }
                let writes = queued.request.writes.len().max(1) as f64;
                let by_user = *class == WriteClass::User;
                if by_user && !self.user_limit.try_take(now, writes, 0.0) {
                    break;
                }
                let taken = match class {
                    // What the others leave, too, as long as none of them waits.
                    WriteClass::Duty if !others_wait => {
                        self.duty_limit.try_take(now, writes, 0.0)
                            || self.limit.try_take(now, writes, SPARE_RESERVE)
                    }
                    WriteClass::Duty => self.duty_limit.try_take(now, writes, 0.0),
                    WriteClass::User | WriteClass::Leader => self.limit.try_take(now, writes, 0.0),
                };
                if !taken {
                    if by_user {
                        self.user_limit.refund(writes);
                    }
                    break;
                }
                let Some(queued) = queue.pop_front() else {
                    break;
                };
                batch.push(queued);
            }
            others_wait |= !queue.is_empty();
        }
        batch
    }

    fn limit_of(&mut self, class: WriteClass) -> &mut TokenBucket {
        match class {
            WriteClass::Duty => &mut self.duty_limit,
            WriteClass::User | WriteClass::Leader => &mut self.limit,
        }
    }

    fn put_back(&mut self, requests: Vec<QueuedRequest<W>>) {
        for queued in requests.into_iter().rev() {
            let queue = self.waiting.entry(queued.request.class).or_default();
            queue.push_front(queued);
        }
    }

    /// Takes in the outcome of a transaction and tells what it means for each of its
    /// requests. Those whose own conditions held go back into the queue.
    pub fn on_outcome(&mut self, tag: u64, outcome: &Outcome) -> Vec<(W, CommitResult)> {
        let Some(group) = self.in_flight.remove(&tag) else {
            return vec![];
        };
        let result = self.result_of(outcome);
        let alone = group.len() == 1;
        let mut results = Vec::new();
        for queued in group {
            if let CommitResult::Conflict { failed, .. } = &result {
                let conditions = &queued.request.conditions;
                let own = conditions.iter().any(|c| failed.contains(&c.key));
                if !own && !alone {
                    self.put_back(vec![queued]);
                    continue;
                }
            }
            results.push((queued.request.owner, result.clone()));
        }
        results
    }

    fn result_of(&mut self, outcome: &Outcome) -> CommitResult {
        let result = match outcome {
            Outcome::Answer { status, body } => self.result_of_status(*status, body),
            Outcome::NotSent => CommitResult::Rejected,
            Outcome::NoAnswer | Outcome::TooLarge => CommitResult::Unknown,
        };
        match &result {
            CommitResult::Conflict { .. } => self.stats.conflicts += 1,
            CommitResult::Unknown => self.stats.unknown += 1,
            _ => {}
        }
        result
    }

    fn result_of_status(&mut self, status: u16, body: &[u8]) -> CommitResult {
        let reply = wire::decode::<TransactionReply>(body);
        match (status, reply) {
            (status::OK, Ok(reply)) => CommitResult::Committed {
                revision: reply.revision,
            },
            (status::OK, Err(_)) => CommitResult::Unknown,
            (status::CONFLICT, Ok(reply)) => CommitResult::Conflict {
                failed: reply.failed,
                revision: reply.revision,
            },
            (status::TOO_MANY_REQUESTS, _) => {
                self.stats.throttled += 1;
                self.limit.drain();
                self.duty_limit.drain();
                CommitResult::Rejected
            }
            _ => CommitResult::Rejected,
        }
    }

    /// Removes what still waits and matches.
    pub fn remove_waiting(&mut self, matches: impl Fn(&W) -> bool) {
        for queue in self.waiting.values_mut() {
            queue.retain(|queued| !matches(&queued.request.owner));
        }
    }
}

/// An upper estimate of a change's size in JSON; CBOR of these values is shorter by at
/// most the quotes and the digits of numbers.
fn write_bytes(write: &Write) -> usize {
    wire::encode(write).len() * 3 / 2 + 32
}
