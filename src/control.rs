//! The leader's mind: jobs, machines, what may be running where, and what to
//! do about it. Takes events and the time, gives effects.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

use tracing::{debug, info, warn};

use crate::cloud::{self, Coming, Kind, Need};
use crate::fleet::{Cause, Listed, Machine, Phase};
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
                placed.push(Placed {
                    task,
                    attempt: *attempt,
                    host: host.clone(),
                    ver: 0,
                    sent: None,
                    sends: 0,
                    phase: None,
                    since: now,
                    running_since: None,
                    stop: None,
                });
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
        if p.ver > 0 && p.sent.is_none() && p.phase.is_none() {
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

    // ---- reports

    /// Takes in a worker's report. `checkin` tells whether it came by itself
    /// or in answer to a direct command.
    pub fn report(&mut self, r: &Report, checkin: bool, now: u64) {
        let m = self
            .fleet
            .entry(r.host.clone())
            .or_insert_with(|| Machine::new(&r.host, &r.flavor, &r.hall, r.loaner, now));
        let was = (m.heard.is_some(), m.epoch);
        if !m.take(r, now) {
            return;
        }
        let woke = was != (true, m.epoch);
        if m.delete_sent.is_some() && m.leaving.is_none() {
            m.leaving = Some("its deletion was sent");
        }
        let host = r.host.clone();
        let fresh = r.epoch >= self.epoch;
        let mine: Vec<(String, u32)> = self
            .jobs
            .iter()
            .flat_map(|(id, j)| {
                j.placed
                    .iter()
                    .filter(|p| p.host == host)
                    .map(move |p| (id.clone(), p.task))
            })
            .collect();
        let on = self.fleet[&host].tasks.clone();
        for (id, task) in mine {
            let Some(j) = self.jobs.get_mut(&id) else {
                continue;
            };
            let Some(k) = j.placed.iter().position(|p| p.task == task) else {
                continue;
            };
            let p = &mut j.placed[k];
            let found = on
                .iter()
                .find(|t| t.task == task && t.attempt == p.attempt && t.job == id);
            match found.map(|t| t.phase) {
                Some(Phase::Ended(cause)) => self.ended(&id, task, &host, cause, now),
                Some(phase) => {
                    if phase == Phase::Running && p.running_since.is_none() {
                        debug!("{id}/{task} runs on {host}");
                        p.running_since = Some(now);
                    }
                    if p.phase.is_none_or(|x| x == Phase::Fetching) && phase != Phase::Fetching {
                        let (image, gb) = (j.spec.image.clone(), j.spec.image_gb);
                        let f = self.flavors.iter().find(|f| f.sku == r.flavor).cloned();
                        if let Some(m) = self.fleet.get_mut(&host) {
                            m.cached(&image, gb, f.as_ref());
                        }
                    }
                    if let Some(p) = self.jobs.get_mut(&id).and_then(|j| j.placed.get_mut(k)) {
                        p.phase = Some(phase);
                    }
                }
                None => {
                    let proven = if p.phase.is_some() {
                        true
                    } else if p.ver == 0 {
                        // An earlier leader's start can't be taken any more
                        // once the worker has seen this epoch.
                        fresh
                    } else {
                        // A start travels in the answer to a check-in only,
                        // and the next check-in comes after it was taken or
                        // dropped. Other bodies may overtake the answer.
                        checkin && p.sent.is_some_and(|s| (r.tenure, r.serial) > s)
                    };
                    if !proven {
                        continue;
                    }
                    let again = p.phase.is_none() && p.ver > 0 && p.sends < 3 && p.stop.is_none();
                    if again {
                        p.sent = None;
                    } else {
                        debug!("{id}/{task} is not on {host}");
                        self.unplace(&id, task);
                    }
                }
            }
        }
        // What has no place on record must not be there.
        for t in &on {
            let known = self.jobs.get(&t.job).is_some_and(|j| {
                j.placed
                    .iter()
                    .any(|p| p.task == t.task && p.attempt == t.attempt && p.host == host)
            });
            if !known && !matches!(t.phase, Phase::Ended(_)) {
                let order = wire::stop(task_name(&t.job, t.task), t.attempt, 0.0);
                self.direct.entry(host.clone()).or_default().push(order);
            }
        }
        self.settle_idle(&host, now);
        if woke {
            self.wake();
        }
    }

    fn settle_idle(&mut self, host: &str, now: u64) {
        let busy = self
            .jobs
            .values()
            .any(|j| j.placed.iter().any(|p| p.host == host))
            || self.holds.iter().any(|h| h.host == host);
        if let Some(m) = self.fleet.get_mut(host) {
            if busy || m.live().next().is_some() {
                m.idle_since = None;
            } else if m.idle_since.is_none() {
                m.idle_since = Some(now);
            }
        }
    }

    /// Room came free somewhere: gangs that back off for want of it look
    /// again.
    fn wake(&mut self) {
        for j in self.jobs.values_mut() {
            j.miss_until = 0;
        }
        self.dirty = true;
    }

    /// The place is proven empty.
    fn unplace(&mut self, id: &str, task: u32) {
        if let Some(j) = self.jobs.get_mut(id) {
            j.placed.retain(|p| p.task != task);
            j.touch();
            self.wake();
        }
    }

    fn ended(&mut self, id: &str, task: u32, host: &str, cause: Cause, now: u64) {
        let Some(j) = self.jobs.get_mut(id) else {
            return;
        };
        debug!("{id}/{task} on {host} ended: {cause:?}");
        match cause {
            Cause::Done => {
                if j.spec.shape == Shape::Gang {
                    // They complete together: if one is done, all are.
                    let n = j.spec.tasks;
                    j.done.fill(n);
                } else if j.spec.shape == Shape::Array {
                    j.done.insert(task);
                }
                j.tries = 0;
            }
            Cause::Error => {
                j.shun.insert(host.to_string());
                j.tries += 1;
                let elsewhere = j.shun.len() > 1;
                // On a second machine the job itself is to blame: it rests,
                // and machines are not condemned for it.
                let wait = if elsewhere {
                    self.cl.workers.report_s * f64::from(1u32 << j.tries.min(5))
                } else {
                    0.0
                };
                j.rest_until = now + Self::ms(wait);
                if let Some(m) = self.fleet.get_mut(host) {
                    if !elsewhere && m.leaving.is_none() {
                        warn!("{host} failed {id}/{task}: it is drained and given back");
                        m.leaving = Some("a task failed on it");
                    }
                }
            }
            Cause::NoRoom | Cause::InUse | Cause::Unknown => {
                debug!("{host} refused {id}/{task}: {cause:?}");
                j.tries += 1;
                let wait = self.cl.workers.report_s * f64::from(1u32 << j.tries.min(4)) / 4.0;
                j.rest_until = now + Self::ms(wait);
            }
            Cause::Alone => {
                j.tries += 1;
                let wait = f64::from(1u32 << j.tries.min(4)).min(self.op.backoff_max_s);
                j.rest_until = now + Self::ms(wait);
            }
            Cause::Stopped { .. } | Cause::MatesGone => {}
        }
        self.unplace(id, task);
    }

    /// Whether a report tells of room that waiting tasks could have: an answer
    /// that waits a moment can carry their starts, instead of the next one a
    /// report interval later.
    pub fn may_fill(&self, r: &Report) -> bool {
        let ended = r.pieces.iter().any(|p| {
            matches!(
                wire::phase(&p.status, p.cause.as_deref(), p.kept),
                Phase::Ended(_)
            )
        });
        (ended || r.pieces.is_empty()) && self.jobs.values().any(|j| !j.want(1).is_empty())
    }

    /// Starts for a machine are on record, and none is on its way there.
    pub fn may_start(&self, host: &str) -> bool {
        let mut some = false;
        for j in self.jobs.values().filter(|j| !j.cancelled) {
            for p in j.placed.iter().filter(|p| p.host == host && p.ver > 0) {
                if p.ver > j.committed {
                    return false;
                }
                some |= p.sent.is_none() && p.phase.is_none() && p.stop.is_none();
            }
        }
        some
    }

    /// Orders for a machine whose check-in is being answered.
    pub fn orders(&mut self, r: &Report, may_start: bool, now: u64) -> Vec<Order> {
        let mut out = Vec::new();
        let Some(m) = self.fleet.get(&r.host) else {
            return out;
        };
        if (r.tenure, r.serial) != (m.tenure, m.serial) {
            // An old report that arrives late: nobody waits for the answer.
            return out;
        }
        for t in &m.tasks {
            let name = task_name(&t.job, t.task);
            if let Phase::Ended(cause) = t.phase {
                // `done` is on record before the worker forgets it.
                let safe = cause != Cause::Done
                    || self
                        .jobs
                        .get(&t.job)
                        .is_none_or(|j| j.done_committed.contains(t.task));
                if safe && out.len() < ORDERS_MAX {
                    out.push(wire::clear(name, t.attempt));
                }
            }
        }
        out.extend(self.direct.remove(&r.host).unwrap_or_default());
        let placeable = m.leaving.is_none() && m.reclaim_at.is_none();
        for (id, j) in self.jobs.iter_mut() {
            for p in j.placed.iter_mut().filter(|p| p.host == r.host) {
                if out.len() >= ORDERS_MAX {
                    return out;
                }
                let name = task_name(id, p.task);
                if let Some(s) = &mut p.stop {
                    let stuck =
                        now > s.since + Self::ms(s.grace_s + 2.0 * self.cl.workers.gang_peer_s);
                    let grace = if stuck { 0.0 } else { s.grace_s };
                    let told = s.sent.is_some_and(|t| now < t + 500);
                    if !told && (stuck || p.phase != Some(Phase::Saving)) {
                        s.sent = Some(now);
                        out.push(wire::stop(name, p.attempt, grace));
                    }
                } else if may_start
                    && placeable
                    && !j.cancelled
                    && p.ver > 0
                    && p.ver <= j.committed
                    && p.phase.is_none()
                    && p.sent.is_none()
                {
                    p.sent = Some((r.tenure, r.serial));
                    p.sends += 1;
                    p.since = now;
                    out.push(wire::start(name, p.attempt));
                }
            }
        }
        out
    }

    // ---- the cloud

    /// Takes in a whole list, asked for at `asked`.
    pub fn listed(&mut self, list: &[wire::Listed], asked: u64, now: u64) {
        let lag = 2 * Self::ms(self.cl.cloud.list_lag_s) + 1000;
        self.listed_once = true;
        let mut names = HashSet::new();
        for l in list {
            names.insert(l.name.as_str());
            if self.deletes.contains_key(&l.name) {
                continue; // deleted for good; the list lags
            }
            let age = Self::ms(l.held_s.unwrap_or(0.0));
            let m = self.fleet.entry(l.name.clone()).or_insert_with(|| {
                Machine::new(
                    &l.name,
                    &l.flavor,
                    &l.hall,
                    l.loaner,
                    now.saturating_sub(age),
                )
            });
            if m.flavor.is_empty() {
                m.flavor.clone_from(&l.flavor);
                m.zone.clone_from(&l.hall);
                m.spot = l.loaner;
            }
            if m.addr.is_none() {
                m.addr = l.endpoint.as_ref().and_then(|e| e.parse().ok());
            }
            m.listed = match (m.listed, wire::standing(&l.status)) {
                (Listed::Failed, _) => Listed::Failed,
                (Listed::Running, Listed::Starting) => Listed::Running,
                (_, s) => s,
            };
        }
        for m in self.fleet.values_mut() {
            let was = !matches!(m.listed, Listed::Never | Listed::Gone);
            let old = m.known_since + 2 * lag < asked || m.listed == Listed::Running;
            if !names.contains(m.name.as_str()) && was && old && m.known_since + lag < asked {
                m.listed = Listed::Gone;
            }
        }
        self.deletes.retain(|_, t| now < *t + 4 * lag);
        self.dirty = true;
    }

    pub fn rented(&mut self, booking: &str, hosts: Option<Vec<String>>, refused: bool, now: u64) {
        let Some(k) = self.bookings.iter().position(|b| b.name == booking) else {
            return;
        };
        if let Some(hosts) = hosts {
            let b = self.bookings.remove(k);
            info!("rented {:?} {}: {:?}", b.kind, b.name, hosts);
            if (hosts.len() as u64) < b.count {
                self.block(&b.kind, now);
            }
            for h in hosts {
                self.fleet.entry(h.clone()).or_insert_with(|| {
                    Machine::new(&h, &b.kind.flavor, &b.kind.zone, b.kind.spot, now)
                });
            }
            self.dirty = true;
        } else if refused {
            let b = self.bookings.remove(k);
            self.block(&b.kind, now);
            self.dirty = true;
        } else {
            let b = &mut self.bookings[k];
            b.flying = false;
            b.tries += 1;
            b.next_try = now + 1000 * u64::from(b.tries.min(4));
            if b.tries > 8 {
                // It may yet be carried out: the machines then show up in the
                // list and are taken in.
                self.bookings.remove(k);
            }
        }
    }

    fn block(&mut self, kind: &Kind, now: u64) {
        let wait = self.flavor(&kind.flavor).map_or(10.0, |f| f.boot_s / 4.0);
        info!("no capacity for {kind:?}");
        self.blocked.insert(kind.clone(), now + Self::ms(wait));
    }

    /// The cloud has deleted these: the machines and all on them are gone.
    pub fn deleted(&mut self, hosts: &[String], ok: bool, now: u64) {
        for h in hosts {
            if !ok {
                if let Some(m) = self.fleet.get_mut(h) {
                    m.delete_sent = Some(now);
                }
                continue;
            }
            self.fleet.remove(h);
            self.direct.remove(h);
            self.holds.retain(|x| x.host != *h);
            self.deletes.insert(h.clone(), now);
            for j in self.jobs.values_mut() {
                let before = j.placed.len();
                j.placed.retain(|p| p.host != *h);
                if j.placed.len() != before {
                    j.touch();
                }
            }
            self.dirty = true;
        }
    }

    // ---- time

    fn silent_ms(&self, m: &Machine, now: u64) -> u64 {
        let last = m.heard.unwrap_or(m.known_since).max(self.since);
        now.saturating_sub(last)
    }

    fn up(m: &Machine) -> bool {
        m.heard.is_some() || m.listed == Listed::Running
    }

    /// Machines that can't be reached, and all that should be.
    pub fn reach(&self, now: u64) -> (usize, usize) {
        let quiet = Self::ms(self.cl.workers.report_s * 2.5);
        let up: Vec<&Machine> = self.fleet.values().filter(|m| Self::up(m)).collect();
        let silent = up.iter().filter(|m| self.silent_ms(m, now) > quiet).count();
        (silent, up.len())
    }

    pub fn tick(&mut self, now: u64, rev: u64) {
        self.notices(now);
        self.gangs(now);
        self.reap(now);
        self.probe(now);
        self.book(now);
        self.flush(now, rev);
        self.flush_direct(now);
    }

    /// Sends out what is urgent between ticks.
    pub fn push(&mut self, now: u64, rev: u64) {
        self.flush(now, rev);
        self.flush_direct(now);
    }

    fn flush_direct(&mut self, _now: u64) {
        for (host, mut orders) in std::mem::take(&mut self.direct) {
            let Some(m) = self.fleet.get(&host) else {
                continue;
            };
            let Some(to) = m.addr else { continue };
            if m.tenure == 0 {
                continue;
            }
            orders.truncate(ORDERS_MAX);
            self.effects.push(Effect::Direct {
                host,
                to,
                tenure: m.tenure,
                orders,
            });
        }
    }

    /// Machines that the cloud takes back: tasks save as late as is safe.
    fn notices(&mut self, now: u64) {
        let slack = Self::ms(self.cl.workers.report_s / 2.0);
        let mut stops = Vec::new();
        for m in self.fleet.values() {
            let Some(at) = m.reclaim_at else { continue };
            for (id, j) in &self.jobs {
                for p in j.placed.iter().filter(|p| p.host == m.name) {
                    let lead = Self::ms(j.spec.save_s) + slack + 500;
                    let fetching = p.phase != Some(Phase::Running);
                    if p.stop.is_none() && (fetching || now + lead >= at) {
                        stops.push((id.clone(), p.task));
                    }
                }
            }
        }
        for (id, t) in stops {
            let unsent = self.jobs.get(&id).is_some_and(|j| {
                j.placed
                    .iter()
                    .any(|p| p.task == t && p.ver > 0 && p.sent.is_none() && p.phase.is_none())
            });
            if unsent {
                self.unplace(&id, t);
            } else {
                self.stop_saving(&id, t, now);
            }
        }
    }

    /// How long a gang may take until all of it has its images.
    fn gang_wait_ms(&self, spec: &Spec, hosts: &[&str]) -> u64 {
        let slowest = hosts
            .iter()
            .filter_map(|h| self.fleet.get(*h))
            .filter_map(|m| self.flavor(&m.flavor))
            .map(|f| spec.image_gb / f.fetch.max(0.01))
            .fold(0.0, f64::max);
        Self::ms(4.0 * self.cl.workers.report_s + 3.0 * slowest)
    }

    /// A gang that does not come together within its wait is stopped and
    /// queued again; so is one that lost a member before it began.
    fn gangs(&mut self, now: u64) {
        let mut stops: Vec<(String, u32)> = Vec::new();
        let mut drops: Vec<(String, u32)> = Vec::new();
        for (id, j) in &self.jobs {
            if j.spec.shape != Shape::Gang || j.cancelled || j.placed.is_empty() {
                continue;
            }
            let hosts: Vec<&str> = j.placed.iter().map(|p| p.host.as_str()).collect();
            let started = j.placed.iter().any(|p| p.phase == Some(Phase::Running));
            let whole = j.placed.len() as u64 == u64::from(j.spec.tasks);
            let since = j.placed.iter().map(|p| p.since).max().unwrap_or(now);
            let late = now > since + self.gang_wait_ms(&j.spec, &hosts);
            if whole && (started || !late) {
                continue;
            }
            if !whole && started {
                // The others notice by themselves.
                if now < since + Self::ms(2.0 * self.cl.workers.gang_peer_s) {
                    continue;
                }
            }
            for p in &j.placed {
                if p.ver > 0 && p.sent.is_none() && p.phase.is_none() {
                    drops.push((id.clone(), p.task));
                } else if p.stop.is_none() {
                    stops.push((id.clone(), p.task));
                }
            }
        }
        for (id, t) in drops {
            self.unplace(&id, t);
        }
        for (id, t) in stops {
            self.stop_task(&id, t, 0.0, now);
        }
        // Places whose start never went out are given up when their machine
        // falls silent or leaves.
        let quiet = Self::ms(self.cl.workers.report_s * self.op.silent_reports);
        let mut lost = Vec::new();
        for (id, j) in &self.jobs {
            for p in &j.placed {
                if p.ver == 0 || p.sent.is_some() || p.phase.is_some() {
                    continue;
                }
                let gone = self.fleet.get(&p.host).is_none_or(|m| {
                    m.leaving.is_some() || m.reclaim_at.is_some() || self.silent_ms(m, now) > quiet
                });
                if gone {
                    lost.push((id.clone(), p.task));
                }
            }
        }
        for (id, t) in lost {
            self.unplace(&id, t);
        }
        self.release_holds(now);
    }

    /// Held room is given up once it can't serve any more: a machine of it
    /// is gone, or all victims have left and the gang still has no place.
    /// The gang may then choose victims anew.
    fn release_holds(&mut self, now: u64) {
        let settle = Self::ms(2.0 * self.cl.workers.report_s);
        let lost: HashSet<String> = self
            .holds
            .iter()
            .filter(|h| {
                let there = self
                    .fleet
                    .get(&h.host)
                    .is_some_and(|m| m.leaving.is_none() && m.reclaim_at.is_none());
                let leaving = self.jobs.values().any(|j| {
                    j.placed
                        .iter()
                        .any(|p| p.host == h.host && p.stop.is_some())
                });
                !there || (!leaving && now > h.since + settle)
            })
            .map(|h| h.job.clone())
            .collect();
        if !lost.is_empty() {
            self.holds.retain(|h| !lost.contains(&h.job));
            self.dirty = true;
        }
    }

    fn reap(&mut self, now: u64) {
        let quiet = Self::ms(self.cl.workers.report_s * 2.5);
        let lost = Self::ms(self.cl.workers.lease_s * self.op.lost_lease_share);
        let (silent, up) = self.reach(now);
        // So many at once: it is rather this controller that is cut off.
        let cut = up >= 3 && silent * 2 > up;
        let again = 4000;
        let mut delete = Vec::new();
        let names: Vec<String> = self.fleet.keys().cloned().collect();
        let kept = self.kept(now).0;
        for n in names {
            self.settle_idle(&n, now);
            let m = &self.fleet[&n];
            let silent = self.silent_ms(m, now);
            let boot = self.flavor(&m.flavor).map_or(60.0, |f| f.boot_s);
            let why = if m.listed == Listed::Failed {
                Some("it failed")
            } else if m.listed == Listed::Gone && silent > quiet {
                Some("it is not listed any more")
            } else if m.leaving.is_some() && m.idle_since.is_some() {
                m.leaving
            } else if Self::up(m) {
                let idle = if m.spot {
                    self.op.idle_boots_spot
                } else {
                    self.op.idle_boots
                };
                if silent > lost && !cut {
                    Some("it is silent")
                } else if m
                    .idle_since
                    .is_some_and(|t| now > t + Self::ms(idle * boot))
                    && m.heard.is_some()
                    && !kept.contains(&n)
                {
                    Some("it is idle")
                } else {
                    None
                }
            } else if m.listed == Listed::Never && m.flavor.is_empty() {
                // On record only: nobody has seen it since this leader began.
                (self.listed_once && silent > lost && !cut).then_some("nobody knows it")
            } else if now > m.known_since + Self::ms(boot * 3.5) {
                Some("it never came up")
            } else {
                None
            };
            let Some(why) = why else { continue };
            let Some(m) = self.fleet.get_mut(&n) else {
                continue;
            };
            if m.leaving.is_none() {
                m.leaving = Some(why);
                self.dirty = true;
            }
            if m.delete_sent.is_none_or(|t| now > t + again) {
                if m.delete_sent.is_none() {
                    info!("giving back {n}: {why}");
                }
                m.delete_sent = Some(now);
                delete.push(n);
            }
        }
        for part in delete.chunks(100) {
            self.effects.push(Effect::Delete {
                hosts: part.to_vec(),
            });
        }
    }

    /// Machines that should report and don't are asked directly, which also
    /// raises the token of those that another controller still answers.
    fn probe(&mut self, now: u64) {
        let quiet = Self::ms(self.cl.workers.report_s * self.op.silent_reports);
        for m in self.fleet.values_mut() {
            let last = m.heard.unwrap_or(m.known_since).max(self.since);
            let due = now > last + quiet || (m.epoch < self.epoch && now > self.since + quiet / 2);
            if !due
                || now < m.probed + quiet / 2
                || (m.heard.is_none() && m.listed != Listed::Running)
            {
                continue;
            }
            let Some(to) = m.addr else { continue };
            m.probed = now;
            if m.tenure > 0 && m.epoch < self.epoch {
                self.effects.push(Effect::Direct {
                    host: m.name.clone(),
                    to,
                    tenure: m.tenure,
                    orders: vec![],
                });
            } else {
                self.effects.push(Effect::Inspect {
                    host: m.name.clone(),
                    to,
                });
            }
        }
    }

    fn book(&mut self, now: u64) {
        for b in self.bookings.iter_mut() {
            if !b.flying && now >= b.next_try {
                b.flying = true;
                self.effects.push(Effect::Rent {
                    booking: b.name.clone(),
                    kind: b.kind.clone(),
                    count: b.count,
                });
            }
        }
    }

    // ---- planning

    fn placeable(&self, m: &Machine, now: u64) -> bool {
        m.leaving.is_none()
            && m.reclaim_at.is_none()
            && !matches!(m.listed, Listed::Failed | Listed::Gone)
            && self.silent_ms(m, now) <= Self::ms(self.cl.workers.report_s * self.op.silent_reports)
            && m.heard.is_some()
    }

    /// Room on a machine, everything counted that may be on it.
    fn free(&self, m: &Machine) -> Room {
        let Some(f) = self.flavor(&m.flavor) else {
            return Room::default();
        };
        let mut free = cloud::room(f);
        for j in self.jobs.values() {
            let need = Room::of(&j.spec);
            for _ in j.placed.iter().filter(|p| p.host == m.name) {
                free.sub(need);
            }
        }
        for t in m.live() {
            let placed = self.jobs.get(&t.job).map(|j| {
                j.placed
                    .iter()
                    .any(|p| p.task == t.task && p.host == m.name && p.attempt == t.attempt)
            });
            match placed {
                Some(true) => {}
                Some(false) => free.sub(Room::of(&self.jobs[&t.job].spec)),
                // Its size is not known any more: nothing fits beside it.
                None => free = Room::default(),
            }
        }
        free
    }

    fn teams(&self) -> HashMap<String, TeamView> {
        let mut out: HashMap<String, TeamView> = self
            .cl
            .teams
            .iter()
            .map(|t| {
                (
                    t.name.clone(),
                    TeamView {
                        cpus_max: t.cpus_max,
                        gpus_max: t.gpus_max,
                        cpus_own: t.cpus,
                        gpus_own: t.gpus,
                        ..TeamView::default()
                    },
                )
            })
            .collect();
        for j in self.jobs.values() {
            let Some(t) = out.get_mut(&j.spec.team) else {
                continue;
            };
            let n = j.placed.len() as f64;
            t.cpus += j.spec.cpus * n;
            t.gpus += j.spec.gpus * n;
            let left = (u64::from(j.spec.tasks) - j.done.len()) as f64;
            t.ask_cpus += j.spec.cpus * left;
            t.ask_gpus += j.spec.gpus * left;
        }
        for m in self.fleet.values() {
            for t in m.live() {
                let Some(j) = self.jobs.get(&t.job) else {
                    continue;
                };
                let placed = j
                    .placed
                    .iter()
                    .any(|p| p.task == t.task && p.host == m.name && p.attempt == t.attempt);
                if let (false, Some(team)) = (placed, out.get_mut(&j.spec.team)) {
                    team.cpus += j.spec.cpus;
                    team.gpus += j.spec.gpus;
                }
            }
        }
        out
    }

    fn zones_of(&self, id: &str, j: &Job) -> BTreeMap<String, u32> {
        let mut zones = BTreeMap::new();
        for p in &j.placed {
            if let Some(m) = self.fleet.get(&p.host) {
                *zones.entry(m.zone.clone()).or_insert(0) += 1;
            }
        }
        for m in self.fleet.values() {
            for t in m.live().filter(|t| t.job == id) {
                if !j
                    .placed
                    .iter()
                    .any(|p| p.task == t.task && p.host == m.name)
                {
                    *zones.entry(m.zone.clone()).or_insert(0) += 1;
                }
            }
        }
        zones
    }

    /// Whether the planner may run: the picture is rebuilt as far as needed.
    pub fn ready(&self) -> bool {
        !self.flavors.is_empty() && self.listed_once
    }

    /// How many runs a record may hold.
    fn runs_max(&self) -> usize {
        ((self.cl.state.value_kb * 1024.0 - 1500.0) / 80.0).max(4.0) as usize
    }

    /// Jobs for spot machines that are worth an ordinary one: at the rate at
    /// which the machines that are there work off the queue, they would wait
    /// very long.
    fn dear(&self, wall: u64) -> HashSet<String> {
        let mut slots = 0.0;
        let mut work = 0.0;
        let mut queue = Vec::new();
        let jobs = self
            .jobs
            .iter()
            .filter(|(_, j)| j.spec.spot && !j.cancelled);
        for (id, j) in jobs {
            let n = j.placed.len() as f64;
            slots += n;
            work += n * j.spec.expected_s;
            let open = f64::from(j.spec.tasks) - j.done.len() as f64 - n;
            if open > 0.0 {
                let left = j
                    .spec
                    .due_s
                    .map_or(f64::INFINITY, |d| d + (j.at as f64 - wall as f64) / 1000.0);
                queue.push((left - j.spec.expected_s, open, id));
            }
        }
        if slots == 0.0 {
            // Nothing runs yet: what is on its way will work off the queue.
            let coming = self.fleet.values().filter(|m| m.spot).count() as u64
                + self.bookings.iter().map(|b| b.count).sum::<u64>();
            slots = coming as f64;
        }
        let mean_s = if slots > 0.0 { work / slots } else { 0.0 };
        let longest = self.op.dear_wait_boots * self.boot_s();
        queue.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut ahead = 0.0;
        let mut out = HashSet::new();
        for (_, open, id) in queue {
            ahead += open;
            let stuck = slots == 0.0 && self.spot_is_out();
            if stuck || (slots > 0.0 && ahead / slots * mean_s > longest) {
                out.insert(id.clone());
            }
        }
        out
    }

    /// Every kind of spot machine was refused lately.
    fn spot_is_out(&self) -> bool {
        self.flavors.iter().all(|f| {
            f.halls.iter().all(|h| {
                self.blocked.contains_key(&Kind {
                    flavor: f.sku.clone(),
                    zone: h.clone(),
                    spot: true,
                })
            })
        })
    }

    /// Ordinary machines to hold ready for work that spot machines must not
    /// take, by how often such work came lately; and what of that is missing.
    fn kept(&self, now: u64) -> (HashSet<String>, Vec<Need>) {
        let mut kept = HashSet::new();
        let mut missing = Vec::new();
        let boot = self.boot_s();
        for c in self.arrivals.values() {
            let rate = c.rate(now, boot);
            let want = (rate * boot * self.op.reserve_boots).round() as usize;
            let need = Room::of(&c.spec);
            let mut able: Vec<(usize, &Machine)> = self
                .fleet
                .values()
                .filter(|m| {
                    !m.spot
                        && m.leaving.is_none()
                        && !kept.contains(&m.name)
                        && plan::allowed(&c.spec, &m.flavor, &m.zone, false)
                        && self
                            .flavor(&m.flavor)
                            .is_some_and(|f| cloud::room(f).fits(need))
                        && !self
                            .jobs
                            .values()
                            .any(|j| !j.spec.spot && j.placed.iter().any(|p| p.host == m.name))
                })
                .map(|m| (m.images.len(), m))
                .collect();
            // The more images are there already, the sooner work begins.
            able.sort_by(|a, b| b.0.cmp(&a.0).then(a.1.name.cmp(&b.1.name)));
            if want > able.len() {
                missing.push(Need {
                    spec: c.spec.clone(),
                    count: (want - able.len()) as u32,
                    zones: BTreeMap::new(),
                    dear: 0.0,
                });
            }
            let want = want.min(able.len());
            kept.extend(able[..want].iter().map(|m| m.1.name.clone()));
        }
        (kept, missing)
    }

    fn boot_s(&self) -> f64 {
        self.flavors.iter().map(|f| f.boot_s).fold(1.0, f64::max)
    }

    /// When a job should start to meet the next of the aims that the settings
    /// state for its class. Estimates are rough: half a run time late is not
    /// yet lost.
    fn start_by(&self, j: &Job, now_s: f64) -> Option<f64> {
        let at = j.at as f64 / 1000.0;
        let run = j.spec.expected_s;
        let mut aims: Vec<(f64, f64)> = Vec::new();
        if let Some(d) = j.spec.due_s {
            aims.push((at + d - run, run / 2.0));
        }
        for o in &self.cl.objectives {
            if o.class.as_ref().is_some_and(|c| *c != j.spec.class) {
                continue;
            }
            match (o.kind.as_str(), o.within_s, j.spec.due_s) {
                ("wait", Some(w), _) => aims.push((at + w, 0.0)),
                ("finished", Some(w), _) => aims.push((at + w - run, run / 2.0)),
                ("deadline", _, Some(d)) => {
                    aims.push((at + d * o.times.unwrap_or(1.0) - run, run / 2.0));
                }
                _ => {}
            }
        }
        if aims.is_empty() {
            // No aim is stated: first come, first served among the others.
            return Some(at + self.boot_s());
        }
        aims.into_iter()
            .filter(|a| a.0 + a.1 >= now_s)
            .map(|a| a.0)
            .min_by(f64::total_cmp)
    }

    /// `wall` is the time of day in milliseconds, as job records hold it.
    pub fn snapshot(&mut self, now: u64, wall: u64) -> Snapshot {
        self.dirty = false;
        let now_s = wall as f64 / 1000.0;
        let mut machines = Vec::new();
        for m in self.fleet.values() {
            if !self.placeable(m, now) {
                continue;
            }
            let Some(f) = self.flavor(&m.flavor) else {
                continue;
            };
            let mut tasks = Vec::new();
            for (id, j) in &self.jobs {
                for p in j.placed.iter().filter(|p| p.host == m.name) {
                    let ran = p.running_since.map_or(0.0, |t| (now - t) as f64 / 1000.0);
                    let lost = if j.spec.checkpoint_s > 0.0 {
                        j.spec.save_s
                    } else {
                        ran + 1.0
                    };
                    tasks.push(TaskView {
                        job: id.clone(),
                        task: p.task,
                        room: Room::of(&j.spec),
                        urgency: j.spec.urgency,
                        team: j.spec.team.clone(),
                        stoppable: p.stop.is_none(),
                        cost_s: lost,
                    });
                }
            }
            machines.push(MachineView {
                name: m.name.clone(),
                flavor: m.flavor.clone(),
                zone: m.zone.clone(),
                spot: m.spot,
                total: cloud::room(f),
                free: self.free(m),
                images: m.images.iter().map(|i| i.0.clone()).collect(),
                fetch: f.fetch,
                tasks,
                held: self
                    .holds
                    .iter()
                    .filter(|h| h.host == m.name)
                    .filter_map(|h| {
                        Some(HeldView {
                            job: h.job.clone(),
                            room: h.room,
                            urgency: self.jobs.get(&h.job)?.spec.urgency,
                        })
                    })
                    .collect(),
            });
        }
        let runs_max = self.runs_max();
        let mut jobs = Vec::new();
        for (id, j) in &self.jobs {
            let mut want = j.want(if j.spec.shape == Shape::Gang {
                j.spec.tasks as usize
            } else {
                WANT_MAX.min(runs_max.saturating_sub(j.placed.len() + j.done.0.len() / 2))
            });
            if j.spec.shape == Shape::Gang && !j.placed.is_empty() {
                // Still there in part: the whole of it goes, then starts anew.
                want.clear();
            }
            if want.is_empty() {
                continue;
            }
            jobs.push(JobView {
                id: id.clone(),
                spec: j.spec.clone(),
                want,
                at_s: j.at as f64 / 1000.0,
                start_by: self.start_by(j, now_s),
                zones: self.zones_of(id, j),
                shun: j.shun.clone(),
                resting: now < j.rest_until.max(j.miss_until),
            });
        }
        Snapshot {
            machines,
            jobs,
            teams: self.teams(),
            now_s,
            spot_worth_s: self.cl.workers.lease_s,
        }
    }

    /// Carries out what was planned, as far as it still holds.
    pub fn apply(&mut self, d: Decision, now: u64, wall: u64) {
        for p in d.places {
            self.place(&p, now);
        }
        for s in &d.stops {
            info!("{}/{} makes room for {}", s.job, s.task, s.by);
            self.stop_saving(&s.job, s.task, now);
        }
        for h in d.holds {
            self.holds.push(Hold {
                job: h.job,
                host: h.host,
                room: h.room,
                since: now,
            });
        }
        for id in &d.failed {
            let max = self.op.backoff_max_s;
            if let Some(j) = self.jobs.get_mut(id) {
                // The KEP's standard backoff: from a second on it doubles up
                // to a cap.
                j.misses = (j.misses + 1).min(8);
                let wait = f64::from(1u32 << (j.misses - 1)).min(max);
                j.miss_until = now + Self::ms(wait);
            }
        }
        self.buy(&d.unmet, now, wall);
    }

    fn place(&mut self, p: &plan::Place, now: u64) {
        let Some(j) = self.jobs.get(&p.job) else {
            return;
        };
        if j.cancelled {
            return;
        }
        let need = Room::of(&j.spec);
        let gang = j.spec.shape == Shape::Gang;
        if gang && !j.placed.is_empty() {
            return;
        }
        let mut left: HashMap<&str, Room> = HashMap::new();
        let mut team = self.teams().remove(&j.spec.team).unwrap_or_default();
        let mut ok: Vec<(u32, String)> = Vec::new();
        for (task, host) in &p.tasks {
            let fits = self.fleet.get(host).is_some_and(|m| {
                self.placeable(m, now) && plan::allowed(&j.spec, &m.flavor, &m.zone, m.spot) && {
                    let free = left.entry(host).or_insert_with(|| self.free(m));
                    let f = free.fits(need);
                    if f {
                        free.sub(need);
                    }
                    f
                }
            });
            let new = !j.done.contains(*task) && !j.placed.iter().any(|x| x.task == *task);
            let room = team.room_for(need);
            if fits && new && room {
                team.grow(need);
                ok.push((*task, host.clone()));
            } else if gang {
                return;
            }
        }
        if ok.is_empty() {
            return;
        }
        let Some(j) = self.jobs.get_mut(&p.job) else {
            return;
        };
        j.misses = 0;
        let attempt = j.next;
        j.next += 1;
        let ver = j.touch();
        debug!("placing {} attempt {attempt}: {ok:?}", p.job);
        for (task, host) in ok {
            if let Some(m) = self.fleet.get_mut(&host) {
                m.idle_since = None;
            }
            j.placed.push(Placed {
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
            });
        }
        self.holds.retain(|h| h.job != p.job);
    }

    fn buy(&mut self, unmet: &[plan::Unmet], now: u64, wall: u64) {
        let mut needs = Vec::new();
        let dear = self.dear(wall);
        for u in unmet {
            let Some(j) = self.jobs.get(&u.job) else {
                continue;
            };
            if j.cancelled {
                continue;
            }
            needs.push(Need {
                spec: j.spec.clone(),
                count: u.count,
                zones: u.zones.clone(),
                dear: if dear.contains(&u.job) {
                    self.op.dear_times
                } else {
                    0.0
                },
            });
        }
        needs.extend(self.kept(now).1);
        if needs.is_empty() {
            return;
        }
        let mut coming = Vec::new();
        for m in self.fleet.values() {
            let starting = m.leaving.is_none()
                && m.heard.is_none()
                && !matches!(m.listed, Listed::Failed | Listed::Gone);
            if let (true, Some(f)) = (starting, self.flavor(&m.flavor)) {
                coming.push(Coming {
                    kind: Kind {
                        flavor: m.flavor.clone(),
                        zone: m.zone.clone(),
                        spot: m.spot,
                    },
                    free: cloud::room(f),
                });
            }
        }
        for b in &self.bookings {
            if let Some(f) = self.flavor(&b.kind.flavor) {
                for _ in 0..b.count {
                    coming.push(Coming {
                        kind: b.kind.clone(),
                        free: cloud::room(f),
                    });
                }
            }
        }
        let blocked = |k: &Kind| self.blocked.get(k).is_some_and(|t| now < *t);
        let list = cloud::shop(&needs, coming, &self.flavors, &blocked, 50);
        for (kind, count) in list {
            let name = format!("{}-{}-{}", self.me, self.epoch, self.next_booking);
            self.next_booking += 1;
            self.bookings.push(Booking {
                name,
                kind,
                count: count.min(50),
                next_try: now,
                flying: false,
                tries: 0,
            });
        }
        self.book(now);
    }

    /// Everything that a report might be about, for the log.
    pub fn summary(&self) -> String {
        let placed: usize = self.jobs.values().map(|j| j.placed.len()).sum();
        let up = self.fleet.values().filter(|m| m.heard.is_some()).count();
        format!(
            "epoch {}: {} jobs, {} tasks placed, {} machines ({} up)",
            self.epoch,
            self.jobs.len(),
            placed,
            self.fleet.len(),
            up
        )
    }
}
