//! The leader's mind: jobs, machines, what may be running where, and what to
//! do about it. Takes events and the time, gives effects.

mod fleet_changes;
mod planning;
mod reports;
mod upkeep;

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

use tracing::{debug, info, warn};

use crate::cloud::{self, Coming, Kind, Need};
use crate::fleet::{Cause, Listed, Machine, OnMachine, Phase};
use crate::job::{task_name, Final, Ranges, Record, Run, Shape, Spec};
use crate::plan::{
    self, Decision, HeldView, JobView, MachineView, Room, Snapshot, TaskView, TeamView,
};
use crate::settings::{Cluster, Operator};
use crate::state::Commit;
use crate::store::{final_key, job_key, Live, Picture, LEADER};
use crate::wire::{self, Cond, Flavor, Order, Report, Write};

/// What the leader wants done outside.
#[derive(Debug, Clone)]
pub enum Effect {
    Write {
        job: String,
        ver: u64,
        end: Option<Final>,
        conds: Vec<Cond>,
        writes: Vec<Write>,
    },
    Direct {
        host: String,
        to: SocketAddr,
        tenure: u64,
        orders: Vec<Order>,
    },
    Inspect {
        host: String,
        to: SocketAddr,
    },
    Rent {
        booking: String,
        kind: Kind,
        count: u64,
    },
    Delete {
        hosts: Vec<String>,
    },
}

#[derive(Debug, Clone)]
struct Stopping {
    grace_s: f64,
    since: u64,
    sent: Option<u64>,
}

/// A task that may be on a machine.
#[derive(Debug, Clone)]
pub struct Placed {
    pub task: u32,
    pub attempt: u64,
    pub host: String,
    /// The job's count of changes that brought it; 0 for an earlier leader's.
    ver: u64,
    /// The check-in whose answer carried the start.
    sent: Option<(u64, u64)>,
    sends: u32,
    pub phase: Option<Phase>,
    since: u64,
    running_since: Option<u64>,
    stop: Option<Stopping>,
}

#[derive(Debug)]
pub struct Job {
    pub spec: Arc<Spec>,
    pub at: u64,
    pub cancelled: bool,
    next: u64,
    pub done: Ranges,
    pub placed: Vec<Placed>,
    stamp: u64,
    ver: u64,
    committed: u64,
    done_committed: Ranges,
    flying: Option<u64>,
    retry_at: u64,
    wait_rev: u64,
    rest_until: u64,
    tries: u32,
    /// Cycles in a row that found no room.
    misses: u32,
    miss_until: u64,
    shun: HashSet<String>,
}

impl Placed {
    /// A place given at the job's change `ver`; 0 for an earlier leader's.
    fn new(task: u32, attempt: u64, host: String, ver: u64, now: u64) -> Placed {
        Placed {
            task,
            attempt,
            host,
            ver,
            sent: None,
            sends: 0,
            phase: None,
            since: now,
            running_since: None,
            stop: None,
        }
    }

    /// Its start has not gone out: the machine can't know of it.
    fn unsent(&self) -> bool {
        self.ver > 0 && self.sent.is_none() && self.phase.is_none()
    }
}

impl Job {
    fn over(&self) -> Option<Final> {
        // A cancellation on record came before the end, whatever the last
        // tasks did meanwhile: its user has been told.
        if self.cancelled {
            self.placed.is_empty().then_some(Final::Withdrawn)
        } else {
            (self.done.len() == u64::from(self.spec.tasks)).then_some(Final::Done)
        }
    }

    /// Whether what a machine reports is a place on record.
    fn has(&self, t: &OnMachine, host: &str) -> bool {
        self.placed
            .iter()
            .any(|p| p.task == t.task && p.attempt == t.attempt && p.host == host)
    }

    fn touch(&mut self) -> u64 {
        self.ver += 1;
        self.ver
    }

    /// Tasks without a place, the first `most`.
    fn want(&self, most: usize) -> Vec<u32> {
        if self.cancelled {
            return vec![];
        }
        let placed: HashSet<u32> = self.placed.iter().map(|p| p.task).collect();
        let mut out = Vec::new();
        let mut n = 0;
        let mut ranges = self.done.0.iter();
        let mut next = ranges.next();
        while n < self.spec.tasks && out.len() < most {
            if let Some(r) = next {
                if n >= r.0 {
                    n = r.1 + 1;
                    next = ranges.next();
                    continue;
                }
            }
            if !placed.contains(&n) {
                out.push(n);
            }
            n += 1;
        }
        out
    }

    fn record(&self, epoch: u64) -> Record {
        let mut placed: Vec<&Placed> = self.placed.iter().collect();
        placed.sort_by_key(|p| p.task);
        let mut runs: Vec<Run> = Vec::new();
        for p in placed {
            match runs.last_mut() {
                Some(r) if r.0 + r.1 == p.task && r.2 == p.attempt && r.3 == p.host => r.1 += 1,
                _ => runs.push(Run(p.task, 1, p.attempt, p.host.clone())),
            }
        }
        Record {
            spec: (*self.spec).clone(),
            at: self.at,
            cancelled: self.cancelled,
            next: self.next,
            done: self.done.clone(),
            runs,
            writer: (epoch, self.ver),
        }
    }
}

#[derive(Debug, Clone)]
struct Booking {
    name: String,
    kind: Kind,
    count: u64,
    next_try: u64,
    flying: bool,
    tries: u32,
}

#[derive(Debug, Clone)]
struct Hold {
    job: String,
    host: String,
    room: Room,
    since: u64,
}

/// The leadership that a [`Control`] acts under.
#[derive(Debug, Clone)]
pub struct Seat {
    pub member: String,
    pub epoch: u64,
    /// Of the leader key.
    pub stamp: u64,
}

/// What the leader keeps in mind. Made anew with each leadership.
#[derive(Debug)]
pub struct Control {
    me: String,
    pub epoch: u64,
    leader_stamp: u64,
    cl: Cluster,
    op: Operator,
    since: u64,
    pub jobs: BTreeMap<String, Job>,
    pub fleet: BTreeMap<String, Machine>,
    flavors: Arc<Vec<Flavor>>,
    holds: Vec<Hold>,
    blocked: HashMap<Kind, u64>,
    bookings: Vec<Booking>,
    next_booking: u64,
    direct: BTreeMap<String, Vec<Order>>,
    effects: Vec<Effect>,
    /// Something changed that the planner should look at.
    pub dirty: bool,
    listed_once: bool,
    deletes: HashMap<String, u64>,
    /// How often work came that needs ordinary machines, by class.
    arrivals: BTreeMap<String, Arrivals>,
}

/// How often jobs of a class come, the older the less it counts.
#[derive(Debug)]
struct Arrivals {
    spec: Arc<Spec>,
    weight: f64,
    at: u64,
}

impl Arrivals {
    fn fade(&self, now: u64, boot_s: f64) -> f64 {
        let dt = now.saturating_sub(self.at) as f64 / 1000.0;
        self.weight * (-dt / (FADE_BOOTS * boot_s)).exp()
    }
    fn rate(&self, now: u64, boot_s: f64) -> f64 {
        self.fade(now, boot_s) / (FADE_BOOTS * boot_s)
    }
}

/// How far back arrivals count, in boot times.
const FADE_BOOTS: f64 = 3.0;

const ORDERS_MAX: usize = 300;
const WANT_MAX: usize = 256;
/// Boot times after which work that can't use spot machines, and has missed all
/// its aims, is not overtaken any more.
const OVERTAKEN_BOOTS: f64 = 3.0;
/// Boot times after which a machine is not waited for any more.
const LATE_BOOTS: f64 = 1.6;

impl Control {
    pub fn new(
        seat: Seat,
        cl: &Cluster,
        op: &Operator,
        flavors: Arc<Vec<Flavor>>,
        picture: &Picture,
        now: u64,
    ) -> Control {
        let mut c = Control {
            me: seat.member,
            epoch: seat.epoch,
            leader_stamp: seat.stamp,
            cl: cl.clone(),
            op: op.clone(),
            since: now,
            jobs: BTreeMap::new(),
            fleet: BTreeMap::new(),
            flavors,
            holds: vec![],
            blocked: HashMap::new(),
            bookings: vec![],
            next_booking: 1,
            direct: BTreeMap::new(),
            effects: vec![],
            dirty: true,
            listed_once: false,
            deletes: HashMap::new(),
            arrivals: BTreeMap::new(),
        };
        for (id, live) in &picture.jobs {
            c.job_seen(id, live, now);
        }
        c
    }

    pub fn set_flavors(&mut self, f: Arc<Vec<Flavor>>) {
        self.flavors = f;
        self.dirty = true;
    }

    fn flavor(&self, sku: &str) -> Option<&Flavor> {
        self.flavors.iter().find(|f| f.sku == sku)
    }

    fn ms(s: f64) -> u64 {
        (s.max(0.0) * 1000.0) as u64
    }

    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    // ---- records

    /// The picture shows a job's record.
    pub fn job_seen(&mut self, id: &str, live: &Live, now: u64) {
        let r = &live.record;
        if let Some(j) = self.jobs.get_mut(id) {
            j.stamp = j.stamp.max(live.stamp);
            if r.writer.0 == self.epoch {
                if r.writer.1 > j.committed {
                    j.committed = r.writer.1;
                    j.done_committed = r.done.clone();
                }
                if j.flying == Some(r.writer.1) {
                    j.flying = None;
                }
            }
            if r.cancelled && !j.cancelled {
                j.cancelled = true;
                self.cancel(id, now);
            }
            return;
        }
        debug!("{id} is new: {:?}", r.spec);
        if !r.spec.spot && !r.cancelled {
            let boot = self.boot_s();
            let spec = Arc::new(r.spec.clone());
            let n = f64::from(r.spec.tasks);
            let a = self
                .arrivals
                .entry(r.spec.class.clone())
                .or_insert(Arrivals {
                    spec: spec.clone(),
                    weight: 0.0,
                    at: now,
                });
            a.weight = a.fade(now, boot) + n;
            a.at = now;
            a.spec = spec;
        }
        let mut placed = Vec::new();
        for Run(first, count, attempt, host) in &r.runs {
            for task in *first..first.saturating_add(*count).min(r.spec.tasks) {
                placed.push(Placed::new(task, *attempt, host.clone(), 0, now));
            }
        }
        for p in &placed {
            if !self.fleet.contains_key(&p.host) {
                self.fleet
                    .insert(p.host.clone(), Machine::new(&p.host, "", "", false, now));
            }
        }
        self.jobs.insert(
            id.to_string(),
            Job {
                spec: Arc::new(r.spec.clone()),
                at: r.at,
                cancelled: r.cancelled,
                next: r.next,
                done: r.done.clone(),
                placed,
                stamp: live.stamp,
                ver: 0,
                committed: 0,
                done_committed: r.done.clone(),
                flying: None,
                retry_at: 0,
                wait_rev: 0,
                rest_until: 0,
                tries: 0,
                misses: 0,
                miss_until: 0,
                shun: HashSet::new(),
            },
        );
        if r.cancelled {
            self.cancel(id, now);
        }
        self.dirty = true;
    }

    pub fn job_gone(&mut self, id: &str) {
        self.jobs.remove(id);
        self.holds.retain(|h| h.job != id);
        self.dirty = true;
    }

    /// A cancelled job's tasks go at once; one whose start never went out
    /// needs no more than to be struck off.
    fn cancel(&mut self, id: &str, now: u64) {
        self.holds.retain(|h| h.job != id);
        self.dirty = true;
        let Some(j) = self.jobs.get_mut(id) else {
            return;
        };
        let before = j.placed.len();
        j.placed.retain(|p| p.sent.is_some() || p.ver == 0);
        if j.placed.len() != before || j.placed.is_empty() {
            j.touch();
        }
        let tasks: Vec<u32> = j.placed.iter().map(|p| p.task).collect();
        for t in tasks {
            self.stop_task(id, t, 0.0, now);
        }
    }

    fn stop_task(&mut self, id: &str, task: u32, grace_s: f64, now: u64) {
        let Some(j) = self.jobs.get_mut(id) else {
            return;
        };
        let Some(p) = j.placed.iter_mut().find(|p| p.task == task) else {
            return;
        };
        if p.unsent() {
            // Its start has not gone out, and will not: no report can ever
            // prove the place empty, so it is struck off here.
            self.unplace(id, task);
            return;
        }
        match &mut p.stop {
            Some(s) if s.grace_s <= grace_s => return,
            _ => {
                p.stop = Some(Stopping {
                    grace_s,
                    since: now,
                    sent: Some(now),
                })
            }
        }
        let order = wire::stop(task_name(id, task), p.attempt, grace_s);
        let host = p.host.clone();
        self.direct.entry(host).or_default().push(order);
    }

    /// Stops a task so that it can save; a gang is always stopped as a whole.
    fn stop_saving(&mut self, id: &str, task: u32, now: u64) {
        let Some(j) = self.jobs.get(id) else { return };
        let grace = j.spec.save_s;
        let tasks: Vec<u32> = match j.spec.shape {
            Shape::Array | Shape::Service => vec![task],
            Shape::Gang => j.placed.iter().map(|p| p.task).collect(),
        };
        for t in tasks {
            self.stop_task(id, t, grace + 0.5, now);
        }
    }

    /// The state service answered a change of a job's record.
    pub fn committed(&mut self, id: &str, ver: u64, end: Option<Final>, c: &Commit, now: u64) {
        let Some(j) = self.jobs.get_mut(id) else {
            return;
        };
        if j.flying == Some(ver) {
            j.flying = None;
        }
        match c {
            Commit::Done { rev } => {
                j.stamp = j.stamp.max(*rev);
                if end.is_some() {
                    self.job_gone(id);
                    return;
                }
                if ver > j.committed {
                    j.committed = ver;
                    // What was done at that version: nothing has been taken
                    // back since, so the set sent is a subset of today's.
                    if ver == j.ver {
                        j.done_committed = j.done.clone();
                    }
                }
                j.retry_at = now;
            }
            Commit::Conflict { rev, .. } => j.wait_rev = *rev,
            Commit::Refused => j.retry_at = now + 150,
            // The same change under the same condition: if the first one did
            // get through, this one fails and the picture tells.
            Commit::Unknown => j.retry_at = now + 50,
        }
    }

    fn flush(&mut self, now: u64, rev: u64) {
        for (id, j) in self.jobs.iter_mut() {
            if j.flying.is_some() || now < j.retry_at || rev < j.wait_rev {
                continue;
            }
            let end = j.over();
            if j.ver <= j.committed && end.is_none() {
                continue;
            }
            let conds = vec![
                Cond {
                    key: LEADER.into(),
                    stamp: self.leader_stamp,
                },
                Cond {
                    key: job_key(id),
                    stamp: j.stamp,
                },
            ];
            let writes = match end {
                Some(f) => vec![
                    Write::drop(job_key(id)),
                    Write::set(final_key(id), f.to_value()),
                ],
                None => vec![Write::set(job_key(id), j.record(self.epoch).to_value())],
            };
            j.flying = Some(j.ver);
            self.effects.push(Effect::Write {
                job: id.clone(),
                ver: j.ver,
                end,
                conds,
                writes,
            });
        }
    }
}
