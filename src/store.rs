//! The picture of the state service: live jobs, the leader key and the epoch
//! counter, fed by a watch, and a bounded memory of how jobs ended.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;

use ciborium::Value;
use serde::{Deserialize, Serialize};

use crate::deps::{Deps, Known, Then};
use crate::job::{Final, Record, PACKED};
use crate::wire::{Change, Page};

pub const ROOT: &str = "g/";
pub const JOBS: &str = "g/j/";
pub const LEAD: &str = "g/l/";
/// The format that all controllers know, a number that only rises. The version before
/// this one passes over what it does not know below `g/l/`.
pub const FORMAT: &str = "g/l/format";
/// Controllers that run this version, or a later one.
const MEMBERS: &str = "g/l/m/";
/// Held by the leader as long as its grant lives, before format 1. From then on it stays
/// for good and names [`SUPERSEDED`].
pub const LEADER: &str = "g/l/leader";
/// Held by the leader as long as its grant lives, from format 1 on.
pub const LEASE: &str = "g/l/lease";
/// The leader that the version in production sees from format 1 on. It is never a member,
/// so a controller which comes back with that version follows and can't be elected: it
/// could not read the records.
pub const SUPERSEDED: &str = "superseded by format 1";
pub const EPOCH: &str = "g/l/epoch";
const FINALS: &str = "g/f/";
/// How many ended jobs are remembered; others are read again when asked for.
const FINALS_MAX: usize = 50_000;

pub fn job_key(id: &str) -> String {
    format!("{JOBS}{id}")
}
pub fn member_key(member: &str) -> String {
    format!("{MEMBERS}{member}")
}
pub fn final_key(id: &str) -> String {
    format!("{FINALS}{id}")
}

fn number(data: &Value) -> u64 {
    let n = data.as_integer();
    n.and_then(|i| u64::try_from(i128::from(i)).ok())
        .unwrap_or(0)
}

fn known(jobs: &BTreeMap<String, Live>, finals: &HashMap<String, Final>, id: &str) -> Known {
    match (finals.get(id), jobs.get(id)) {
        (Some(f), _) => Known::Over(*f),
        (_, Some(l)) => Known::Live(l.record.cancelled),
        _ => Known::Unknown,
    }
}

/// The leader key's value.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaderKey {
    pub member: String,
    pub epoch: u64,
}

impl LeaderKey {
    /// What [`LEADER`] holds from format 1 on.
    pub fn superseded() -> LeaderKey {
        LeaderKey {
            member: SUPERSEDED.into(),
            epoch: 0,
        }
    }
}

/// A live job as committed.
#[derive(Debug, Clone)]
pub struct Live {
    pub record: Arc<Record>,
    pub stamp: u64,
}

/// What a change of the picture means to the rest of the program.
#[derive(Debug, Clone, PartialEq)]
pub enum Seen {
    Job(String),
    Gone(String),
    Leader,
}

#[derive(Debug, Default)]
pub struct Picture {
    pub loaded: bool,
    pub rev: u64,
    pub jobs: BTreeMap<String, Live>,
    /// The value of [`LEADER`] and its stamp.
    pub leader_key: Option<(LeaderKey, u64)>,
    /// The value of [`LEASE`] and its stamp.
    pub lease_key: Option<(LeaderKey, u64)>,
    pub epoch: u64,
    pub epoch_stamp: u64,
    pub format: u64,
    pub format_stamp: u64,
    /// Controllers that have made themselves known as running this version.
    pub members: BTreeSet<String>,
    /// What waits for what among the live jobs.
    pub deps: Deps,
    /// What followed for them from changes, to be fetched.
    then: Vec<Then>,
    finals: HashMap<String, Final>,
    order: VecDeque<String>,
}

impl Picture {
    /// Forgets everything but the ended jobs, before reading anew.
    pub fn restart(&mut self) {
        self.loaded = false;
        self.rev = 0;
        self.jobs.clear();
        self.leader_key = None;
        self.lease_key = None;
        self.epoch = 0;
        self.epoch_stamp = 0;
        self.deps = Deps::default();
        self.then.clear();
    }

    /// Who leads, and the stamp of the key that says so.
    pub fn leader(&self) -> Option<&(LeaderKey, u64)> {
        let unfenced = self.leader_key.as_ref();
        self.lease_key
            .as_ref()
            .or(unfenced.filter(|l| l.0.member != SUPERSEDED))
    }

    /// Leaders are elected by [`LEASE`], out of reach of the version in production.
    pub fn fenced(&self) -> bool {
        let superseded = self.leader_key.as_ref();
        self.format >= PACKED || superseded.is_some_and(|l| l.0.member == SUPERSEDED)
    }

    /// An election of ours was carried out.
    pub fn elected(&mut self, key: LeaderKey, stamp: u64, fenced: bool) {
        self.epoch = key.epoch;
        self.epoch_stamp = stamp;
        if fenced {
            self.leader_key = Some((LeaderKey::superseded(), stamp));
            self.lease_key = Some((key, stamp));
        } else {
            self.leader_key = Some((key, stamp));
        }
    }

    /// What changes since the last call mean for jobs that need others.
    pub fn take_then(&mut self) -> Vec<Then> {
        std::mem::take(&mut self.then)
    }

    /// What is known of a job.
    pub fn known(&self, id: &str) -> Known {
        known(&self.jobs, &self.finals, id)
    }

    /// A live job that users are told is cancelled: by its own record, or because one
    /// that it needs is.
    pub fn called_off(&self, id: &str) -> bool {
        self.deps.has_fallen(id) || self.jobs.get(id).is_some_and(|l| l.record.cancelled)
    }

    pub fn page(&mut self, page: &Page) {
        for p in &page.pairs {
            self.set(&p.key, &p.data, p.stamp, &mut vec![]);
        }
    }

    /// Takes in what a watch told, complete from `from` up to `rev`.
    pub fn news(&mut self, rev: u64, from: u64, news: &[Change]) -> Vec<Seen> {
        let mut seen = Vec::new();
        if from > self.rev {
            // There would be a hole; can't happen as reads start from `rev`.
            return seen;
        }
        for c in news {
            if c.stamp <= self.rev {
                continue;
            }
            if let (Some(key), Some(data)) = (&c.set, &c.data) {
                self.set(key, data, c.stamp, &mut seen);
            } else if let Some(key) = &c.drop {
                self.drop(key, c.stamp, &mut seen);
            }
        }
        self.rev = self.rev.max(rev);
        seen
    }

    fn set(&mut self, key: &str, data: &Value, stamp: u64, seen: &mut Vec<Seen>) {
        if let Some(id) = key.strip_prefix(JOBS) {
            // The answer to an own change may be ahead of the watch: what is
            // over does not come back to life.
            if self.finals.contains_key(id) {
                return;
            }
            if self.jobs.get(id).is_some_and(|l| l.stamp >= stamp) {
                return;
            }
            match Record::from_value(data) {
                Some(r) => {
                    let was = self.jobs.get(id).map(|l| l.record.cancelled);
                    if was.is_none() {
                        let known = |n: &str| known(&self.jobs, &self.finals, n);
                        let then = &mut self.then;
                        self.deps.add(id, &r.spec.needs, known, then);
                    }
                    if r.cancelled && was != Some(true) {
                        self.deps.cancelled(id, &mut self.then);
                    }
                    self.jobs.insert(
                        id.to_string(),
                        Live {
                            record: Arc::new(r),
                            stamp,
                        },
                    );
                    seen.push(Seen::Job(id.to_string()));
                }
                None => tracing::error!("the record of {id} can't be read"),
            }
        } else if let Some(id) = key.strip_prefix(FINALS) {
            if let Some(f) = Final::from_value(data) {
                self.jobs.remove(id);
                self.ended(id, f);
                seen.push(Seen::Gone(id.to_string()));
            }
        } else if let Some(known) = self.leadership_key(key) {
            if let Ok(l) = data.deserialized::<LeaderKey>() {
                if known.as_ref().is_none_or(|x| x.1 < stamp) {
                    *known = Some((l, stamp));
                    seen.push(Seen::Leader);
                }
            }
        } else if let Some(member) = key.strip_prefix(MEMBERS) {
            self.members.insert(member.to_string());
        } else if key == FORMAT && stamp > self.format_stamp {
            // What can't be read is of a version to come.
            let format = data.as_integer().map_or(u64::MAX, |_| number(data));
            self.format = format.max(self.format);
            self.format_stamp = stamp;
        } else if key == EPOCH && stamp > self.epoch_stamp {
            self.epoch = number(data).max(self.epoch);
            self.epoch_stamp = stamp;
        }
    }

    fn drop(&mut self, key: &str, stamp: u64, seen: &mut Vec<Seen>) {
        if let Some(id) = key.strip_prefix(JOBS) {
            self.jobs.remove(id);
            seen.push(Seen::Gone(id.to_string()));
        } else if let Some(known) = self.leadership_key(key) {
            // An own election may be ahead of the watch, which tells of the
            // old key's end only now.
            if known.as_ref().is_some_and(|l| l.1 < stamp) {
                *known = None;
                seen.push(Seen::Leader);
            }
        }
    }

    fn leadership_key(&mut self, key: &str) -> Option<&mut Option<(LeaderKey, u64)>> {
        match key {
            LEADER => Some(&mut self.leader_key),
            LEASE => Some(&mut self.lease_key),
            _ => None,
        }
    }

    /// How a job ended is on record.
    pub fn ended(&mut self, id: &str, f: Final) {
        match f {
            Final::Done => self.deps.done(id, &mut self.then),
            Final::Withdrawn => self.deps.cancelled(id, &mut self.then),
        }
        self.deps.remove(id);
        if self.finals.insert(id.to_string(), f).is_none() {
            self.order.push_back(id.to_string());
            if self.order.len() > FINALS_MAX {
                if let Some(old) = self.order.pop_front() {
                    self.finals.remove(&old);
                }
            }
        }
    }

    pub fn end_of(&self, id: &str) -> Option<Final> {
        self.finals.get(id).copied()
    }
}
