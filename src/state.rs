//! The state service's client: rate budgets and grouped transactions. What is
//! asked for waits here until the budget allows; the most urgent goes first.

use std::collections::{BTreeMap, HashMap, VecDeque};

use crate::net::Outcome;
use crate::wire::{self, Cond, Txn, TxnReply, Write};

/// A budget per second that allows one second's worth at once.
#[derive(Debug, Clone)]
pub struct Budget {
    rate: f64,
    tokens: f64,
    at: u64,
}

impl Budget {
    pub fn new(rate: f64) -> Budget {
        Budget {
            rate,
            tokens: rate,
            at: 0,
        }
    }
    fn fill(&mut self, now: u64) {
        let dt = now.saturating_sub(self.at) as f64 / 1000.0;
        self.at = self.at.max(now);
        self.tokens = (self.tokens + dt * self.rate).min(self.rate);
    }
    /// Takes `n` if at least that and `spare` are there.
    pub fn take(&mut self, now: u64, n: f64, spare: f64) -> bool {
        self.fill(now);
        if self.tokens >= n + spare * self.rate {
            self.tokens -= n;
            true
        } else {
            false
        }
    }
    /// Gives back what was taken and not used.
    pub fn refund(&mut self, n: f64) {
        self.tokens = (self.tokens + n).min(self.rate);
    }
    /// Another rate from now on.
    pub fn set_rate(&mut self, now: u64, rate: f64) {
        self.fill(now);
        self.rate = rate;
        self.tokens = self.tokens.min(rate);
    }
    /// How many could be taken that leave `spare` of the rate.
    pub fn over(&mut self, now: u64, spare: f64) -> usize {
        self.fill(now);
        (self.tokens - spare * self.rate).max(0.0) as usize
    }
    /// The other side says that it is used up.
    pub fn empty(&mut self) {
        self.tokens = self.tokens.min(0.0);
    }
}

/// What became of a group of changes.
#[derive(Debug, Clone, PartialEq)]
pub enum Commit {
    Done {
        rev: u64,
    },
    Conflict {
        failed: Vec<String>,
        rev: u64,
    },
    /// Not carried out.
    Refused,
    /// May have been carried out, or may yet be.
    Unknown,
}

/// Changes that go together.
#[derive(Debug, Clone)]
pub struct Item<W> {
    pub who: W,
    pub conds: Vec<Cond>,
    pub writes: Vec<Write>,
    /// 0 is the most urgent.
    pub rank: u8,
}

/// The queue of changes on their way to the state service.
#[derive(Debug)]
pub struct Queue<W> {
    /// By rank, each with its size, which is measured once.
    waiting: BTreeMap<u8, VecDeque<(usize, Item<W>)>>,
    flying: HashMap<u64, Vec<(usize, Item<W>)>>,
    ops_max: usize,
    budget: Budget,
    /// What of it may go to users' changes.
    users: Budget,
    tally: Tally,
}

/// Users' changes go first, so that no user waits for the leader's many, but
/// they have a budget of their own, so that they don't starve it either.
pub const USERS: u8 = 0;
pub const LEADERS: u8 = 1;

/// What became of the changes since the last look, for the log.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Tally {
    pub txns: u64,
    pub changes: u64,
    /// Transactions that the state service turned away for their number.
    pub throttled: u64,
    pub conflicts: u64,
    pub unknown: u64,
}

const BYTES_MAX: usize = 56 * 1024;
const FLYING_MAX: usize = 3;

fn size(w: &Write) -> usize {
    // An upper estimate of the JSON form; CBOR of these values is shorter by
    // at most the quotes and the digits of numbers.
    wire::encode(w).len() * 3 / 2 + 32
}

impl<W: Clone> Queue<W> {
    pub fn new(write_rate: f64, users_rate: f64, ops_max: usize) -> Queue<W> {
        Queue {
            waiting: BTreeMap::new(),
            flying: HashMap::new(),
            ops_max,
            budget: Budget::new(write_rate),
            users: Budget::new(users_rate),
            tally: Tally::default(),
        }
    }

    pub fn take_tally(&mut self) -> Tally {
        std::mem::take(&mut self.tally)
    }

    pub fn push(&mut self, item: Item<W>) {
        let bytes = item.writes.iter().map(size).sum::<usize>() + 64 * item.conds.len();
        let list = self.waiting.entry(item.rank).or_default();
        list.push_back((bytes, item));
    }

    /// Another number of changes that a transaction may hold.
    pub fn set_ops_max(&mut self, ops_max: usize) {
        self.ops_max = ops_max;
    }

    /// Another share of the changes that the state service takes.
    pub fn set_rate(&mut self, now: u64, write_rate: f64) {
        self.budget.set_rate(now, write_rate);
    }

    /// Whether changes of this rank wait for the budget.
    pub fn holds_back(&self, rank: u8) -> bool {
        self.waiting.get(&rank).is_some_and(|l| !l.is_empty())
    }

    /// How many changes that nobody waits for may go out now: none while
    /// others wait, and some are left for what may come.
    pub fn spare(&mut self, now: u64) -> usize {
        if self.waits() > 0 {
            return 0;
        }
        self.budget.over(now, 0.5)
    }

    pub fn waits(&self) -> usize {
        self.waiting.values().map(VecDeque::len).sum()
    }

    /// The next transaction to send, if there is one and the budgets allow.
    pub fn next(&mut self, now: u64, tag: u64, requests: &mut Budget) -> Option<Txn> {
        if self.flying.len() >= FLYING_MAX || self.waits() == 0 {
            return None;
        }
        let mut conds: BTreeMap<String, u64> = BTreeMap::new();
        let mut writes: Vec<Write> = Vec::new();
        let mut bytes = 0;
        let mut group = Vec::new();
        for (rank, list) in self.waiting.iter_mut() {
            while let Some((b, item)) = list.front() {
                let b = *b;
                let ops = writes.len() + item.writes.len();
                // All conditions are looked at before the writes: two changes of
                // one key would both pass in a transaction, and the latter undo
                // the first, although both were told to have been made. Each
                // change has a condition on the key that it writes.
                let clash = item
                    .conds
                    .iter()
                    .any(|c| conds.get(&c.key).is_some_and(|s| *s != c.stamp))
                    || item.writes.iter().any(|w| conds.contains_key(w.key()));
                let many = conds.len() + item.conds.len() > 4 * self.ops_max;
                if !group.is_empty()
                    && (ops > self.ops_max || bytes + b > BYTES_MAX || clash || many)
                {
                    break;
                }
                let n = item.writes.len().max(1) as f64;
                if *rank == USERS && !self.users.take(now, n, 0.0) {
                    break;
                }
                if !self.budget.take(now, n, 0.0) {
                    if *rank == USERS {
                        self.users.refund(n);
                    }
                    break;
                }
                let Some((b, item)) = list.pop_front() else {
                    break;
                };
                for c in &item.conds {
                    conds.insert(c.key.clone(), c.stamp);
                }
                writes.extend(item.writes.iter().cloned());
                bytes += b;
                group.push((b, item));
            }
        }
        if group.is_empty() {
            return None;
        }
        if !requests.take(now, 1.0, 0.0) {
            self.budget.refund(writes.len() as f64);
            for (b, item) in group.into_iter().rev() {
                let list = self.waiting.entry(item.rank).or_default();
                list.push_front((b, item));
            }
            return None;
        }
        self.tally.txns += 1;
        self.tally.changes += writes.len() as u64;
        self.flying.insert(tag, group);
        Some(Txn {
            conds: conds
                .into_iter()
                .map(|(key, stamp)| Cond { key, stamp })
                .collect(),
            writes,
        })
    }

    /// An outcome came in: what it means for each member of the group. Those
    /// whose own conditions held go back into the queue.
    pub fn settle(&mut self, tag: u64, outcome: &Outcome) -> Vec<(W, Commit)> {
        let Some(group) = self.flying.remove(&tag) else {
            return vec![];
        };
        let mut out = Vec::new();
        let verdict = match outcome {
            Outcome::Answer { status: 200, body } => match wire::decode::<TxnReply>(body) {
                Some(r) => Commit::Done { rev: r.rev },
                None => Commit::Unknown,
            },
            Outcome::Answer { status: 409, body } => match wire::decode::<TxnReply>(body) {
                Some(r) => Commit::Conflict {
                    failed: r.failed,
                    rev: r.rev,
                },
                None => Commit::Refused,
            },
            Outcome::Answer { status: 429, .. } => {
                self.tally.throttled += 1;
                self.budget.empty();
                Commit::Refused
            }
            Outcome::Answer { .. } | Outcome::Unsent => Commit::Refused,
            Outcome::Silence => Commit::Unknown,
        };
        match &verdict {
            Commit::Conflict { .. } => self.tally.conflicts += 1,
            Commit::Unknown => self.tally.unknown += 1,
            _ => {}
        }
        let alone = group.len() == 1;
        for (b, item) in group {
            if let Commit::Conflict { failed, .. } = &verdict {
                let mine = item.conds.iter().any(|c| failed.contains(&c.key));
                if !mine && !alone {
                    let list = self.waiting.entry(item.rank).or_default();
                    list.push_front((b, item));
                    continue;
                }
            }
            out.push((item.who, verdict.clone()));
        }
        out
    }

    /// Takes back what still waits and matches.
    pub fn withdraw(&mut self, f: impl Fn(&W) -> bool) {
        for list in self.waiting.values_mut() {
            list.retain(|i| !f(&i.1.who));
        }
    }
}
