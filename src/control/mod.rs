//! The leader's mind: jobs, machines, what may be running where, and what to
//! do about it. Takes events and the time, gives effects.

mod fleet_changes;
mod planning;
mod reports;
mod upkeep;

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

use tracing::{debug, info, warn};

use crate::cloud::{self, Coming, Kind, Need};
use crate::deps::Deps;
use crate::fleet::{Cause, Expect, Listed, Machine, OnRecord, Phase, Told};
use crate::job::{json_len, task_name, Final, Ranges, Record, Run, Shape, Spec, Urgency, PACKED};
use crate::plan::{
    self, Decision, HeldView, JobView, MachineView, Room, Snapshot, TaskView, TeamView, Zones,
};
use crate::settings::{Cluster, Operator, StateLimits};
use crate::state::{Budget, Commit};
use crate::store::{final_key, job_key, Live, Picture};
use crate::wire::{self, Cond, Flavor, Order, Report, Write};

/// One start that went straight to a worker.
#[derive(Debug, Clone, PartialEq)]
pub struct Start {
    pub job: Arc<str>,
    pub task: u32,
    pub attempt: u64,
}

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
        host: Arc<str>,
        to: SocketAddr,
        tenure: u64,
        orders: Vec<Order>,
        /// Which of them are starts.
        starts: Vec<Start>,
    },
    Inspect {
        host: Arc<str>,
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

/// How a start went out.
#[derive(Debug, Clone, Copy)]
enum Sent {
    /// In the answer to this check-in. Such an answer is taken at once or
    /// never, so a later check-in tells.
    Answer { tenure: u64, serial: u64 },
    /// Straight to the worker, once only. Unless the worker says what became
    /// of it, it may yet be carried out until the worker's session ends.
    Direct { tenure: u64, at: u64 },
}

/// A task that may be on a machine.
#[derive(Debug, Clone)]
pub struct Placed {
    pub task: u32,
    pub attempt: u64,
    pub host: Arc<str>,
    /// The job's count of changes that brought it; 0 for an earlier leader's.
    ver: u64,
    sent: Option<Sent>,
    sends: u32,
    /// On record and proven not to be there: to be started in its place under
    /// the attempt that it has.
    again: bool,
    pub phase: Option<Phase>,
    since: u64,
    running_since: Option<u64>,
    stop: Option<Stopping>,
}

#[derive(Debug)]
pub struct Job {
    id: Arc<str>,
    /// As asked for, but with the urgency of the most urgent job that needs it.
    pub spec: Arc<Spec>,
    own_urgency: Urgency,
    pub at: u64,
    /// Not all that it needs is known to be done: it holds nothing and asks for
    /// nothing.
    waits: bool,
    /// Time of day from which its aims count: since when it could have started.
    ready_at: u64,
    /// When it has to be done for those that need it to meet their deadlines, in
    /// seconds of the time of day.
    due_at: Option<f64>,
    pub cancelled: bool,
    next: u64,
    pub done: Ranges,
    pub placed: Vec<Placed>,
    stamp: u64,
    ver: u64,
    /// Changes up to this one are wanted on record at once; later ones may
    /// wait for others to go with them.
    prompt: u64,
    committed: u64,
    /// Since when a change waits.
    changed_at: u64,
    done_committed: Ranges,
    flying: Option<u64>,
    /// What was done as of the change on its way.
    flying_done: Ranges,
    retry_at: u64,
    wait_rev: u64,
    rest_until: u64,
    tries: u32,
    /// Cycles in a row that found no room.
    misses: u32,
    miss_until: u64,
    shun: HashSet<Arc<str>>,
    /// Machines with room held for it, and since when.
    holds: BTreeSet<Arc<str>>,
    held_at: u64,
    /// When its latest places were given, or found on record.
    placed_at: u64,
    /// Since when it has passed over machines without its image.
    passed_at: Option<u64>,
    /// How often it did not come together within its wait.
    scattered: u32,
}

impl Placed {
    /// A place given at the job's change `ver`; 0 for an earlier leader's.
    fn new(task: u32, attempt: u64, host: Arc<str>, ver: u64, now: u64) -> Placed {
        Placed {
            task,
            attempt,
            host,
            ver,
            sent: None,
            sends: 0,
            again: false,
            phase: None,
            since: now,
            running_since: None,
            stop: None,
        }
    }

    /// Its start has not gone out: the machine can't know of it.
    fn unsent(&self) -> bool {
        (self.ver > 0 || self.again) && self.sent.is_none() && self.phase.is_none()
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

    fn place(&self, task: u32) -> Option<&Placed> {
        self.placed.iter().find(|p| p.task == task)
    }

    fn place_mut(&mut self, task: u32) -> Option<&mut Placed> {
        self.placed.iter_mut().find(|p| p.task == task)
    }

    fn touch(&mut self, now: u64) -> u64 {
        if self.ver <= self.committed {
            self.changed_at = now;
        }
        self.ver += 1;
        self.ver
    }

    fn open(&self) -> u64 {
        if self.cancelled || self.waits {
            return 0;
        }
        u64::from(self.spec.tasks).saturating_sub(self.done.len() + self.placed.len() as u64)
    }

    /// Tasks without a place, the first `most`.
    fn want(&self, most: usize) -> Vec<u32> {
        let most = most.min(self.open() as usize);
        if most == 0 {
            return vec![];
        }
        let placed: HashSet<u32> = self.placed.iter().map(|p| p.task).collect();
        let mut out = Vec::with_capacity(most);
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
                Some(r) if r.0 + r.1 == p.task && r.2 == p.attempt && *r.3 == *p.host => r.1 += 1,
                _ => runs.push(Run(p.task, 1, p.attempt, p.host.to_string())),
            }
        }
        let mut spec = (*self.spec).clone();
        spec.urgency = self.own_urgency;
        Record {
            spec,
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

/// The leadership that a [`Control`] acts under.
#[derive(Debug, Clone)]
pub struct Seat {
    pub member: String,
    pub epoch: u64,
    /// The key that is ours as long as we lead.
    pub key: &'static str,
    /// Its stamp.
    pub stamp: u64,
    /// Time of day when it began, in milliseconds.
    pub wall: u64,
}

/// What the leader keeps in mind. Made anew with each leadership.
///
/// Jobs know their places, machines what is on record for them; both change
/// together, in `put_on` and `unplace` only.
#[derive(Debug)]
pub struct Control {
    me: String,
    pub epoch: u64,
    leader_key: &'static str,
    leader_stamp: u64,
    /// Time of day when this leadership began.
    wall: u64,
    cl: Cluster,
    op: Operator,
    since: u64,
    pub jobs: BTreeMap<String, Job>,
    /// Live jobs that need another one, by that.
    needed_by: HashMap<String, Vec<Arc<str>>>,
    /// The form in which records are written.
    format: u64,
    pub fleet: BTreeMap<String, Machine>,
    flavors: Arc<Vec<Flavor>>,
    /// The names of kinds and zones, one copy for all machines.
    names: Vec<Arc<str>>,
    blocked: HashMap<Kind, u64>,
    bookings: Vec<Booking>,
    next_booking: u64,
    direct: BTreeMap<Arc<str>, Vec<Order>>,
    /// Machines with starts on record that have not gone out.
    startable: BTreeSet<Arc<str>>,
    effects: Vec<Effect>,
    /// Something changed that the planner should look at.
    pub dirty: bool,
    /// The next snapshot ends all backoffs.
    woken: bool,
    /// Starts that may go straight to workers.
    straight: Budget,
    /// Tasks waited for a place when the last snapshot was taken.
    waiting: bool,
    listed_once: bool,
    deletes: HashMap<String, u64>,
    /// How often work came that needs ordinary machines, by class.
    arrivals: BTreeMap<String, Arrivals>,
    upkeep_next: u64,
    /// Machines that can't be reached were given back.
    gave_up: bool,
    /// Workers that other controllers turned away lately, if most are heard.
    elsewhere: Option<u32>,
    /// When any machine told something new.
    heard_at: u64,
    /// When this controller was last seconds behind with what comes in.
    behind_at: Option<u64>,
    swamped_at: Option<u64>,
}

/// How often tasks of a class come, the older the less they count.
#[derive(Debug)]
struct Arrivals {
    spec: Arc<Spec>,
    weight: f64,
    at: i64,
    /// When the first came. What comes with it was there before us, and says
    /// nothing about how often work comes.
    first: i64,
}

impl Arrivals {
    fn new(spec: Arc<Spec>, at: i64) -> Arrivals {
        Arrivals {
            spec,
            weight: 0.0,
            at,
            first: at,
        }
    }

    fn came(&mut self, spec: &Arc<Spec>, at: i64, boot_s: f64) {
        self.first = self.first.min(at);
        if (at - self.first) as f64 <= START_BOOTS * boot_s * 1000.0 {
            return;
        }
        let fade = FADE_BOOTS * boot_s * 1000.0;
        let n = f64::from(spec.tasks);
        if at >= self.at {
            self.weight = self.weight * (-(at - self.at) as f64 / fade).exp() + n;
            self.at = at;
        } else {
            self.weight += n * (-(self.at - at) as f64 / fade).exp();
        }
        self.spec = spec.clone();
    }

    /// Tasks a second.
    fn rate(&self, now: u64, boot_s: f64) -> f64 {
        let now = now as i64;
        let fade = FADE_BOOTS * boot_s;
        let age = (now - self.at).max(0) as f64 / 1000.0;
        let known = (now - self.first) as f64 / 1000.0 - START_BOOTS * boot_s;
        let known = known.max(2.0 * START_BOOTS * boot_s);
        // Not yet seen for as long as it would take to fade.
        let seen = 1.0 - (-known / fade).exp();
        self.weight * (-age / fade).exp() / (fade * seen)
    }
}

/// How far back arrivals count, in boot times.
const FADE_BOOTS: f64 = 3.0;
/// How long after the first job of a class others count as having been there
/// with it, in boot times.
const START_BOOTS: f64 = 0.25;

const ORDERS_MAX: usize = 300;
const WANT_MAX: usize = 256;
/// Boot times after which a job of which nothing has begun is not overtaken any
/// more: many small jobs in time must not starve the largest.
const OVERTAKEN_BOOTS: f64 = 3.0;
/// However slowly machines boot: the users' rule is that the largest jobs begin
/// within four minutes, and room has yet to come free.
const OVERTAKEN_MAX_S: f64 = 0.75 * 240.0;
/// An array's turn then is for this part of its tasks, one in so many.
const TURN_PART: u32 = 4;
/// Boot times after which a machine is not waited for any more.
const LATE_BOOTS: f64 = 1.6;
/// How often machines and gangs are looked over, as a share of the time in
/// which the tasks of a gang miss one another.
const UPKEEP_SHARE: f64 = 0.1;
/// When a new leader begins to ask machines that have not come, in the same
/// unit, and in how many parts.
const PROBE_SHARE: f64 = 0.5;
const PROBE_PARTS: usize = 12;
/// Machines that a whole core asks in a second, and those that it sends starts to
/// that have no check-in to go with; a part of one accordingly fewer. Each is a
/// connection made for it.
const PROBES_A_CORE: f64 = 250.0;
const STARTS_A_CORE: f64 = 600.0;
/// How long a change that nobody waits for may stay off the record, in the
/// same unit, so that others go with it.
const LAZY_SHARE: f64 = 0.25;

fn names(flavors: &[Flavor]) -> Vec<Arc<str>> {
    let all = flavors.iter().flat_map(|f| f.halls.iter().chain([&f.sku]));
    let all: BTreeSet<&String> = all.collect();
    all.into_iter().map(|n| n.as_str().into()).collect()
}

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
            leader_key: seat.key,
            leader_stamp: seat.stamp,
            wall: seat.wall,
            cl: cl.clone(),
            op: op.clone(),
            since: now,
            jobs: BTreeMap::new(),
            needed_by: HashMap::new(),
            format: 0,
            fleet: BTreeMap::new(),
            names: names(&flavors),
            flavors,
            blocked: HashMap::new(),
            bookings: vec![],
            next_booking: 1,
            direct: BTreeMap::new(),
            startable: BTreeSet::new(),
            effects: vec![],
            dirty: true,
            woken: false,
            straight: Budget::new((cl.limits.cpu_share * STARTS_A_CORE).max(1.0)),
            waiting: true,
            listed_once: false,
            deletes: HashMap::new(),
            arrivals: BTreeMap::new(),
            upkeep_next: 0,
            gave_up: false,
            elsewhere: None,
            heard_at: 0,
            behind_at: None,
            swamped_at: None,
        };
        for (id, live) in &picture.jobs {
            // Since when it is ready is not on record.
            c.job_shown(id, live, &picture.deps, c.wall, now);
        }
        c
    }

    /// Records are written in another form, within other limits.
    pub fn set_format(&mut self, format: u64, limits: &StateLimits) {
        self.format = format;
        self.cl.state = limits.clone();
    }

    /// All that a job needs is done, and that is on record.
    pub fn needs_met(&mut self, id: &str, at: u64) {
        if let Some(j) = self.jobs.get_mut(id).filter(|j| j.waits) {
            debug!("{id} is ready");
            j.waits = false;
            j.ready_at = j.at.max(at);
            self.wake();
        }
    }

    /// A job takes its place among those that need one another. What a job needs is as
    /// urgent as itself, and due in time for its own run: so the deadline of a chain's
    /// last job, whenever it comes, orders all before it by what is left of the
    /// critical path.
    fn link(&mut self, id: &str) {
        let Some(j) = self.jobs.get(id) else { return };
        let mut todo: Vec<Arc<str>> = self.needed_by.get(id).cloned().unwrap_or_default();
        if !j.spec.needs.is_empty() {
            todo.push(j.id.clone());
            for n in &j.spec.needs {
                let list = self.needed_by.entry(n.clone()).or_default();
                list.push(j.id.clone());
            }
        }
        while let Some(x) = todo.pop() {
            let Some(j) = self.jobs.get(&*x) else {
                continue;
            };
            let spec = j.spec.clone();
            let own = spec.due_s.map(|d| j.at as f64 / 1000.0 + d);
            let due = [own, j.due_at].into_iter().flatten().reduce(f64::min);
            let due = due.map(|d| d - spec.expected_s);
            for n in &spec.needs {
                let Some(a) = self.jobs.get_mut(n) else {
                    continue;
                };
                let sooner = due.is_some_and(|d| a.due_at.is_none_or(|x| d < x));
                if sooner {
                    a.due_at = due;
                }
                if a.spec.urgency < spec.urgency {
                    Arc::make_mut(&mut a.spec).urgency = spec.urgency;
                    for p in &a.placed {
                        if let Some(m) = self.fleet.get_mut(&*p.host) {
                            m.view = None;
                        }
                    }
                } else if !sooner {
                    continue;
                }
                todo.push(a.id.clone());
                self.dirty = true;
            }
        }
    }

    fn unlink(&mut self, j: &Job) {
        for n in &j.spec.needs {
            if let Some(list) = self.needed_by.get_mut(n) {
                list.retain(|x| *x != j.id);
                if list.is_empty() {
                    self.needed_by.remove(n);
                }
            }
        }
    }

    pub fn set_flavors(&mut self, f: Arc<Vec<Flavor>>) {
        self.names = names(&f);
        self.flavors = f;
        for m in self.fleet.values_mut() {
            m.view = None;
        }
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

    /// The picture shows a job's record, and how it stands with what it needs; if that
    /// is done, it counts as ready since `ready_at`.
    pub fn job_shown(&mut self, id: &str, live: &Live, deps: &Deps, ready_at: u64, now: u64) {
        self.job_seen(id, live, now);
        if !deps.waits(id) {
            self.needs_met(id, ready_at);
        }
        if deps.has_fallen(id) {
            self.called_off(id, now);
        }
    }

    /// The picture shows a job's record.
    pub fn job_seen(&mut self, id: &str, live: &Live, now: u64) {
        let r = &live.record;
        if let Some(j) = self.jobs.get_mut(id) {
            j.stamp = j.stamp.max(live.stamp);
            if r.writer.0 == self.epoch {
                if r.writer.1 > j.committed {
                    j.committed = r.writer.1;
                    j.done_committed = r.done.clone();
                    self.note_startable(id);
                }
                if let Some(j) = self.jobs.get_mut(id) {
                    if j.flying == Some(r.writer.1) {
                        j.flying = None;
                    }
                }
            }
            if r.cancelled {
                self.called_off(id, now);
            }
            return;
        }
        debug!("{id} is new: {:?}", r.spec);
        let spec = Arc::new(r.spec.clone());
        if !r.spec.spot && !r.cancelled {
            // By when it was submitted: a successor sees all at once.
            let wall = self.wall + now.saturating_sub(self.since);
            let came = now as i64 - (wall as i64 - r.at as i64).max(0);
            let boot = self.boot_s();
            self.arrivals
                .entry(r.spec.class.clone())
                .or_insert_with(|| Arrivals::new(spec.clone(), came))
                .came(&spec, came, boot);
        }
        let mut j = Job {
            id: id.into(),
            spec,
            own_urgency: r.spec.urgency,
            at: r.at,
            // What has begun had all that it needs.
            waits: !r.spec.needs.is_empty() && r.runs.is_empty() && r.done.is_empty(),
            ready_at: r.at,
            due_at: None,
            cancelled: r.cancelled,
            next: r.next,
            done: r.done.clone(),
            placed: vec![],
            stamp: live.stamp,
            ver: 0,
            prompt: 0,
            committed: 0,
            changed_at: now,
            done_committed: r.done.clone(),
            flying: None,
            flying_done: Ranges::default(),
            retry_at: 0,
            wait_rev: 0,
            rest_until: 0,
            tries: 0,
            misses: 0,
            miss_until: 0,
            shun: HashSet::new(),
            holds: BTreeSet::new(),
            held_at: 0,
            placed_at: now,
            passed_at: None,
            scattered: 0,
        };
        if r.runs.is_empty() && j.over().is_some() {
            j.touch(now);
        }
        self.jobs.insert(id.to_string(), j);
        self.link(id);
        for Run(first, count, attempt, host) in &r.runs {
            let host: Arc<str> = host.as_str().into();
            for task in *first..first.saturating_add(*count).min(r.spec.tasks) {
                let p = Placed::new(task, *attempt, host.clone(), 0, now);
                self.put_on(id, p, now);
            }
        }
        if r.cancelled {
            self.cancel(id, now);
        }
        self.dirty = true;
    }

    /// A job's cancellation is on record, whether its record was read or not.
    pub fn called_off(&mut self, id: &str, now: u64) {
        if let Some(j) = self.jobs.get_mut(id).filter(|j| !j.cancelled) {
            j.cancelled = true;
            self.cancel(id, now);
        }
    }

    pub fn job_gone(&mut self, id: &str) {
        self.drop_holds(id);
        if let Some(j) = self.jobs.remove(id) {
            self.unlink(&j);
            for p in &j.placed {
                if let Some(m) = self.fleet.get_mut(&*p.host) {
                    m.strike(id, None);
                }
            }
        }
        self.dirty = true;
    }

    /// A task gets a place: the job and the machine know of it from here on.
    fn put_on(&mut self, id: &str, p: Placed, now: u64) {
        let Some(j) = self.jobs.get_mut(id) else {
            return;
        };
        let m = self
            .fleet
            .entry(p.host.to_string())
            .or_insert_with(|| Machine::new(&p.host, "", "", false, now));
        m.on.push(OnRecord {
            job: j.id.clone(),
            task: p.task,
            attempt: p.attempt,
            room: Room::of(&j.spec),
            spot: j.spec.spot,
        });
        m.idle_since = None;
        m.view = None;
        j.placed.push(p);
    }

    /// The place is proven empty.
    fn unplace(&mut self, id: &str, task: u32, now: u64) {
        let Some(j) = self.jobs.get_mut(id) else {
            return;
        };
        let Some(k) = j.placed.iter().position(|p| p.task == task) else {
            return;
        };
        let p = j.placed.remove(k);
        j.touch(now);
        if let Some(m) = self.fleet.get_mut(&*p.host) {
            m.strike(id, Some(task));
        }
        self.wake();
    }

    /// Room came free somewhere: gangs that back off for want of it look
    /// again.
    fn wake(&mut self) {
        self.woken = true;
        self.dirty = true;
    }

    /// The job and the place behind what a machine has on record.
    fn behind(&self, o: &OnRecord) -> Option<(&Job, &Placed)> {
        let j = self.jobs.get(&*o.job)?;
        Some((j, j.place(o.task)?))
    }

    fn drop_holds(&mut self, id: &str) {
        let Some(j) = self.jobs.get_mut(id) else {
            return;
        };
        for host in std::mem::take(&mut j.holds) {
            if let Some(m) = self.fleet.get_mut(&*host) {
                m.held.retain(|h| *h.job != *id);
                m.view = None;
            }
        }
        self.dirty = true;
    }

    /// A cancelled job's tasks go at once; one whose start never went out
    /// needs no more than to be struck off.
    fn cancel(&mut self, id: &str, now: u64) {
        self.drop_holds(id);
        self.dirty = true;
        let Some(j) = self.jobs.get_mut(id) else {
            return;
        };
        if j.placed.is_empty() {
            j.touch(now);
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
        let Some(p) = j.place_mut(task) else {
            return;
        };
        if p.unsent() {
            // Its start has not gone out, and will not: no report can ever
            // prove the place empty, so it is struck off here.
            self.unplace(id, task, now);
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
        if let Some(m) = self.fleet.get_mut(&*host) {
            m.view = None;
        }
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
        let flown = j.flying == Some(ver);
        if flown {
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
                    if flown {
                        j.done_committed = std::mem::take(&mut j.flying_done);
                    }
                    j.changed_at = now;
                }
                j.retry_at = now;
                self.note_startable(id);
            }
            Commit::Conflict { rev, .. } => j.wait_rev = *rev,
            Commit::Refused => j.retry_at = now + 150,
            // The same change under the same condition: if the first one did
            // get through, this one fails and the picture tells.
            Commit::Unknown => j.retry_at = now + 50,
        }
    }

    /// A job's places are on record: their starts may go out.
    fn note_startable(&mut self, id: &str) {
        let Some(j) = self.jobs.get(id) else { return };
        for p in &j.placed {
            if p.unsent() && p.ver <= j.committed {
                self.startable.insert(p.host.clone());
            }
        }
    }

    /// Writes what changed. Placements and ends go at once; of the rest, those
    /// that have waited the longest go as far as `spare` changes allow.
    fn flush(&mut self, now: u64, rev: u64, mut spare: usize) {
        let lazy = Self::ms(self.cl.workers.gang_peer_s * LAZY_SHARE);
        let mut later: Vec<(u64, Arc<str>)> = Vec::new();
        let mut due: Vec<Arc<str>> = Vec::new();
        for j in self.jobs.values() {
            if j.ver <= j.committed || j.flying.is_some() || now < j.retry_at || rev < j.wait_rev {
                continue;
            }
            if j.prompt > j.committed || j.over().is_some() {
                due.push(j.id.clone());
            } else if now >= j.changed_at + lazy {
                later.push((j.changed_at, j.id.clone()));
            }
        }
        later.sort_unstable();
        for (_, id) in later {
            if spare == 0 {
                break;
            }
            spare -= 1;
            due.push(id);
        }
        for id in due {
            let Some(j) = self.jobs.get_mut(&*id) else {
                continue;
            };
            let end = j.over();
            let conds = vec![
                Cond::new(self.leader_key, self.leader_stamp),
                Cond::new(job_key(&id), j.stamp),
            ];
            let writes = match end {
                Some(f) => vec![
                    Write::drop(job_key(&id)),
                    Write::set(final_key(&id), f.to_value()),
                ],
                None => {
                    let record = j.record(self.epoch).to_value(self.format);
                    vec![Write::set(job_key(&id), record)]
                }
            };
            j.flying = Some(j.ver);
            j.flying_done = j.done.clone();
            self.effects.push(Effect::Write {
                job: id.to_string(),
                ver: j.ver,
                end,
                conds,
                writes,
            });
        }
    }
}
