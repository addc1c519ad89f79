//! The gang cycle: a pure function from a snapshot to placements, victims and
//! held room. Nothing here knows of sockets, clocks or records.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet};
use std::sync::Arc;

use crate::job::{Shape, Spec, Urgency};

/// What a task takes, or what a machine has.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Room {
    pub cpus: f64,
    pub gpus: f64,
    pub mem: f64,
}

const EPS: f64 = 1e-6;

impl Room {
    pub fn of(spec: &Spec) -> Room {
        Room {
            cpus: spec.cpus,
            gpus: spec.gpus,
            mem: spec.mem,
        }
    }
    pub fn add(&mut self, o: Room) {
        self.cpus += o.cpus;
        self.gpus += o.gpus;
        self.mem += o.mem;
    }
    pub fn sub(&mut self, o: Room) {
        self.cpus -= o.cpus;
        self.gpus -= o.gpus;
        self.mem -= o.mem;
    }
    pub fn scaled(self, n: f64) -> Room {
        Room {
            cpus: self.cpus * n,
            gpus: self.gpus * n,
            mem: self.mem * n,
        }
    }
    pub fn fits(&self, need: Room) -> bool {
        self.cpus + EPS >= need.cpus && self.gpus + EPS >= need.gpus && self.mem + EPS >= need.mem
    }
    /// The lesser of each.
    fn least(self, o: Room) -> Room {
        Room {
            cpus: self.cpus.min(o.cpus),
            gpus: self.gpus.min(o.gpus),
            mem: self.mem.min(o.mem),
        }
    }
    /// How many such tasks fit.
    pub fn times(&self, need: Room) -> u32 {
        let part = |have: f64, need: f64| {
            if need <= EPS {
                f64::INFINITY
            } else {
                ((have + EPS) / need).floor()
            }
        };
        let n = part(self.cpus, need.cpus)
            .min(part(self.gpus, need.gpus))
            .min(part(self.mem, need.mem));
        n.clamp(0.0, 100_000.0) as u32
    }
    /// The largest share of `total` that is in use when this much is free.
    fn left_share(&self, total: Room) -> f64 {
        let part = |a: f64, b: f64| if b > EPS { a / b } else { 0.0 };
        (part(self.cpus, total.cpus)
            + 2.0 * part(self.gpus, total.gpus)
            + part(self.mem, total.mem))
            / 4.0
    }
}

/// A task that may be on a machine.
#[derive(Debug, Clone)]
pub struct TaskView {
    pub job: Arc<str>,
    pub task: u32,
    pub room: Room,
    pub urgency: Urgency,
    pub team: Arc<str>,
    /// Not already being stopped, and known to the worker.
    pub stoppable: bool,
    /// What stopping it throws away, in seconds of work and saving.
    pub cost_s: f64,
    /// For a task that can't save: since when it has run, on the planner's
    /// clock. All of that is thrown away, too.
    pub since_s: Option<f64>,
}

#[derive(Debug, Clone)]
pub struct MachineView {
    pub name: Arc<str>,
    pub flavor: Arc<str>,
    pub zone: Arc<str>,
    pub spot: bool,
    pub total: Room,
    pub free: Room,
    pub images: Vec<Arc<str>>,
    pub fetch: f64,
    pub tasks: Vec<TaskView>,
    /// The least urgent of them that could be stopped.
    pub lowest: Option<Urgency>,
    /// Room kept for gangs whose victims are still leaving.
    pub held: Vec<HeldView>,
}

/// The least urgent of these tasks that could be stopped.
pub fn lowest(tasks: &[TaskView]) -> Option<Urgency> {
    let able = tasks.iter().filter(|t| t.stoppable);
    able.map(|t| t.urgency).min()
}

/// Room that a gang holds on a machine.
#[derive(Debug, Clone)]
pub struct HeldView {
    pub job: Arc<str>,
    pub room: Room,
    pub urgency: Urgency,
}

/// How many tasks are in which zone.
pub type Zones = BTreeMap<Arc<str>, u32>;

#[derive(Debug, Clone)]
pub struct JobView {
    pub id: Arc<str>,
    pub spec: Arc<Spec>,
    /// Tasks without a place.
    pub want: Vec<u32>,
    /// When it was submitted, in seconds on the planner's clock.
    pub at_s: f64,
    /// When it should have started to meet the next of its aims; `None` if
    /// all are missed.
    pub start_by: Option<f64>,
    /// Where its tasks are, those of an old attempt included.
    pub zones: Zones,
    /// Machines on which it failed.
    pub shun: HashSet<Arc<str>>,
    /// Backing off: takes no part, but its held room stays.
    pub resting: bool,
    /// A gang of which some places are not proven empty yet: it takes no part,
    /// either, but will come back with victims if it has to.
    pub broken: bool,
    /// Has waited so long without a single start that its turn has come.
    pub overdue: bool,
    /// May still pass over a machine without its image in favour of another
    /// job that has its own there.
    pub patient: bool,
}

#[derive(Debug, Clone, Default)]
pub struct TeamView {
    pub cpus: f64,
    pub gpus: f64,
    pub cpus_max: f64,
    pub gpus_max: f64,
    pub cpus_own: f64,
    pub gpus_own: f64,
    /// What all of its unfinished jobs ask for.
    pub ask_cpus: f64,
    pub ask_gpus: f64,
}

impl TeamView {
    /// How many more such tasks the limit allows.
    fn allows(&self, need: Room) -> u32 {
        let part = |max: f64, used: f64, need: f64| {
            if max <= 0.0 || need <= EPS {
                100_000.0
            } else {
                ((max - used + EPS) / need).floor().clamp(0.0, 100_000.0)
            }
        };
        part(self.cpus_max, self.cpus, need.cpus).min(part(self.gpus_max, self.gpus, need.gpus))
            as u32
    }
    /// All unfinished work fits into the guarantee.
    fn within(&self) -> bool {
        (self.cpus_own > 0.0 || self.gpus_own > 0.0)
            && self.ask_cpus <= self.cpus_own + EPS
            && self.ask_gpus <= self.gpus_own + EPS
    }
    /// Uses no more than its limit.
    pub fn within_limit(&self) -> bool {
        let ok = |max: f64, used: f64| max <= 0.0 || used <= max + EPS;
        ok(self.cpus_max, self.cpus) && ok(self.gpus_max, self.gpus)
    }
    /// Uses more than its guarantee.
    fn borrows(&self) -> bool {
        self.cpus > self.cpus_own + EPS || self.gpus > self.gpus_own + EPS
    }
    /// One more such task stays within the limit.
    pub fn room_for(&self, need: Room) -> bool {
        self.allows(need) > 0
    }
    pub fn grow(&mut self, need: Room) {
        self.take(need, 1.0);
    }
    fn take(&mut self, need: Room, n: f64) {
        self.cpus += need.cpus * n;
        self.gpus += need.gpus * n;
    }
}

/// A picture to plan on. Machines are shared with whoever took it: nothing
/// that did not change since the last one is copied.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    pub machines: Vec<Arc<MachineView>>,
    pub jobs: Vec<JobView>,
    pub teams: HashMap<String, TeamView>,
    pub now_s: f64,
    /// Seconds that running on a dear machine counts for, against a spot one.
    pub spot_worth_s: f64,
}

#[derive(Debug, Clone, PartialEq)]
pub struct Place {
    pub job: Arc<str>,
    pub tasks: Vec<(u32, Arc<str>)>,
}

#[derive(Debug, Clone, PartialEq)]
pub struct Stop {
    pub job: Arc<str>,
    pub task: u32,
    pub host: Arc<str>,
    pub by: Arc<str>,
}

#[derive(Debug, Clone, PartialEq)]
pub struct Hold {
    pub job: Arc<str>,
    pub host: Arc<str>,
    pub room: Room,
}

/// What the cycle decided.
#[derive(Debug, Clone, Default)]
pub struct Decision {
    pub places: Vec<Place>,
    pub stops: Vec<Stop>,
    pub holds: Vec<Hold>,
    /// Gangs without room: they back off.
    pub failed: Vec<Arc<str>>,
    /// Arrays that passed over free machines for want of their image.
    pub passed: Vec<Arc<str>>,
    /// Tasks for which machines would have to be had, in queue order.
    pub unmet: Vec<Unmet>,
}

/// Tasks of a job that found no room, and where the others are or would be.
#[derive(Debug, Clone, PartialEq)]
pub struct Unmet {
    pub job: Arc<str>,
    pub count: u32,
    pub zones: Zones,
    /// Where the others would go: not to be given back meanwhile.
    pub hosts: Vec<Arc<str>>,
}

impl Unmet {
    /// Tasks of an array, each for itself.
    fn alone(job: &JobView, count: usize) -> Unmet {
        Unmet {
            job: job.id.clone(),
            count: count as u32,
            zones: job.zones.clone(),
            hosts: vec![],
        }
    }
}

/// Whether a machine is one that the job allows, other tasks aside.
pub fn allowed(spec: &Spec, flavor: &str, zone: &str, spot: bool) -> bool {
    (spec.spot || !spot)
        && spec
            .types
            .as_ref()
            .is_none_or(|t| t.iter().any(|x| x == flavor))
        && spec.zone.as_ref().is_none_or(|z| z == zone)
}

/// How many of a job's tasks may be in one zone.
pub fn zone_cap(spec: &Spec) -> u32 {
    if spec.spread {
        spec.tasks.div_ceil(2)
    } else {
        u32::MAX
    }
}

fn within(teams: &HashMap<String, TeamView>, team: &str) -> bool {
    teams.get(team).is_some_and(TeamView::within)
}

/// The order of the queue: teams within their guarantee, then urgency, then
/// what has been overtaken for too long, then the least slack and work, then
/// age.
fn order(s: &Snapshot) -> Vec<usize> {
    let key = |j: &JobView| {
        // What has missed all aims has nothing to lose by waiting. Of the rest,
        // jobs with little left to do go first: more of them are in time.
        let lost = j.start_by.is_none();
        let work = j.want.len() as f64;
        let slack = j.start_by.unwrap_or(j.at_s) - s.now_s + work * j.spec.expected_s;
        (
            !within(&s.teams, &j.spec.team),
            std::cmp::Reverse(j.spec.urgency),
            lost && !j.overdue,
            if j.overdue { f64::NEG_INFINITY } else { slack },
            j.at_s,
        )
    };
    let mut idx: Vec<_> = s.jobs.iter().map(key).enumerate().collect();
    idx.sort_by(|(a, x), (b, y)| {
        (x.0, x.1, x.2)
            .cmp(&(y.0, y.1, y.2))
            .then(x.3.total_cmp(&y.3))
            .then(x.4.total_cmp(&y.4))
            .then(s.jobs[*a].id.cmp(&s.jobs[*b].id))
    });
    idx.into_iter().map(|x| x.0).collect()
}

/// A machine that could take a task, at a price in seconds; the lowest first
/// out of a heap.
struct Bid {
    cost: f64,
    machine: usize,
    /// The room that the price was made for.
    free: Room,
    /// Tasks that would have to go.
    victims: Vec<usize>,
}

impl PartialEq for Bid {
    fn eq(&self, o: &Bid) -> bool {
        self.cmp(o) == Ordering::Equal
    }
}
impl Eq for Bid {}
impl PartialOrd for Bid {
    fn partial_cmp(&self, o: &Bid) -> Option<Ordering> {
        Some(self.cmp(o))
    }
}
impl Ord for Bid {
    fn cmp(&self, o: &Bid) -> Ordering {
        o.cost
            .total_cmp(&self.cost)
            .then(o.machine.cmp(&self.machine))
    }
}

#[derive(Default)]
struct Picked {
    tasks: Vec<(u32, usize)>,
    victims: Vec<(usize, usize)>,
    /// A machine with room was passed over, as it lacks the image.
    passed: bool,
}

/// Which machines a job is tried on.
#[derive(Clone, Copy, PartialEq)]
enum How {
    /// Where its image is, or is on its way.
    Cached,
    /// Where there is room.
    Free,
    /// Also where others would have to go.
    Victims,
}

/// The snapshot with what the cycle has decided so far.
struct Board {
    machines: Vec<Arc<MachineView>>,
    teams: HashMap<String, TeamView>,
    now_s: f64,
    spot_worth_s: f64,
    free: Vec<Room>,
    held: Vec<Vec<HeldView>>,
    holders: HashSet<Arc<str>>,
    /// Victims chosen in this cycle: no job sees them again.
    gone: HashSet<(usize, usize)>,
    /// Room that gangs without a place would use, by machine. It is free for
    /// whoever can start now, but counts only once when asking what is missing.
    promised: HashMap<usize, Room>,
    /// Tasks that would make room for them.
    doomed: HashSet<(usize, usize)>,
    /// Asking what is missing.
    counting: bool,
    /// Machines of one kind are alike to a job's demands.
    kinds: Vec<usize>,
    kind_of: Vec<usize>,
    /// Machines with room for the smallest demand in the queue: on a full fleet
    /// few. Room only shrinks within a cycle, so no other can take a task as
    /// it is.
    open: Vec<usize>,
}

impl Board {
    /// `least`: no job of the queue asks for less of anything.
    fn new(s: Snapshot, least: Room) -> Board {
        let mut kinds: Vec<usize> = Vec::new();
        let mut kind_of = Vec::with_capacity(s.machines.len());
        for (i, m) in s.machines.iter().enumerate() {
            let known = kinds.iter().position(|k| {
                // Their names are mostly shared, which is quick to see.
                let same = |a: &Arc<str>, b: &Arc<str>| Arc::ptr_eq(a, b) || a == b;
                let x = &s.machines[*k];
                x.spot == m.spot && same(&x.flavor, &m.flavor) && same(&x.zone, &m.zone)
            });
            kind_of.push(known.unwrap_or_else(|| {
                kinds.push(i);
                kinds.len() - 1
            }));
        }
        Board {
            free: s.machines.iter().map(|m| m.free).collect(),
            open: (0..s.machines.len())
                .filter(|i| s.machines[*i].free.fits(least))
                .collect(),
            held: s.machines.iter().map(|m| m.held.clone()).collect(),
            holders: s
                .machines
                .iter()
                .flat_map(|m| &m.held)
                .map(|h| h.job.clone())
                .collect(),
            gone: HashSet::new(),
            promised: HashMap::new(),
            doomed: HashSet::new(),
            counting: false,
            machines: s.machines,
            teams: s.teams,
            now_s: s.now_s,
            spot_worth_s: s.spot_worth_s,
            kinds,
            kind_of,
        }
    }

    /// Room for a job: what others hold is not for it, unless it is more
    /// urgent.
    fn free_for(&self, i: usize, job: &JobView) -> Room {
        let mut free = self.free[i];
        for h in &self.held[i] {
            if h.job != job.id && h.urgency >= job.spec.urgency {
                free.sub(h.room);
            }
        }
        if let Some(p) = self.promised.get(&i).filter(|_| self.counting) {
            free.sub(*p);
        }
        free
    }

    /// The machines that a look has to be taken at.
    fn candidates(&self, how: How) -> Vec<usize> {
        if how == How::Victims {
            return (0..self.machines.len()).collect();
        }
        let mut all = self.open.clone();
        if self.counting {
            // Victims of others may have made room.
            all.extend(self.promised.keys());
            all.sort_unstable();
            all.dedup();
        }
        all
    }

    /// Whether its image is on a machine, or being fetched.
    fn cached(&self, i: usize, job: &JobView) -> bool {
        let images = &self.machines[i].images;
        images.iter().any(|x| **x == *job.spec.image)
    }

    /// Lower is better: seconds of fetching, of dearness, and a tight fit.
    /// `fetches`: another task of the job is to go there, and its image.
    fn score(&self, i: usize, job: &JobView, free: Room, fetches: bool) -> f64 {
        let m = &self.machines[i];
        let spec = &job.spec;
        let fetch = if fetches || self.cached(i, job) {
            0.0
        } else {
            spec.image_gb / m.fetch.max(0.01)
        };
        let dear = if spec.spot && !m.spot {
            self.spot_worth_s
        } else {
            0.0
        };
        let mut left = free;
        left.sub(Room::of(spec));
        // A nearly empty machine may soon be given back: fill the others first.
        fetch + dear + self.spot_worth_s * left.left_share(m.total)
    }

    fn may_stop(&self, i: usize, k: usize, job: &JobView, within: bool) -> bool {
        let t = &self.machines[i].tasks[k];
        t.stoppable
            && t.job != job.id
            && !self.gone.contains(&(i, k))
            && !(self.counting && self.doomed.contains(&(i, k)))
            && (t.urgency < job.spec.urgency
                || (within
                    && *t.team != *job.spec.team
                    && self.teams.get(&*t.team).is_some_and(TeamView::borrows)))
    }

    /// The room there would be with all that may be stopped.
    fn most_room(&self, i: usize, job: &JobView, free: Room, within: bool) -> Room {
        let mut room = free;
        if !within
            && self.machines[i]
                .lowest
                .is_none_or(|u| u >= job.spec.urgency)
        {
            return room;
        }
        for k in 0..self.machines[i].tasks.len() {
            if self.may_stop(i, k, job, within) {
                room.add(self.machines[i].tasks[k].room);
            }
        }
        room
    }

    /// The victims that make room for one task on a machine, and their price.
    fn victims(
        &self,
        i: usize,
        job: &JobView,
        free: Room,
        within: bool,
        taken: &HashSet<(usize, usize)>,
    ) -> Option<Bid> {
        let need = Room::of(&job.spec);
        let m = &self.machines[i];
        let loses = |k: usize| {
            let t = &m.tasks[k];
            t.cost_s + t.since_s.map_or(0.0, |s| (self.now_s - s).max(0.0))
        };
        let mut cands: Vec<usize> = (0..m.tasks.len())
            .filter(|k| !taken.contains(&(i, *k)) && self.may_stop(i, *k, job, within))
            .collect();
        cands.sort_by(|a, b| {
            let (x, y) = (&m.tasks[*a], &m.tasks[*b]);
            x.urgency
                .cmp(&y.urgency)
                .then(loses(*a).total_cmp(&loses(*b)))
        });
        let mut room = free;
        let mut chosen = Vec::new();
        for k in cands {
            if room.fits(need) {
                break;
            }
            room.add(m.tasks[k].room);
            chosen.push(k);
        }
        if !room.fits(need) {
            return None;
        }
        // What stopping throws away counts by the share of the machine.
        let cost: f64 = chosen
            .iter()
            .map(|k| (loses(*k) + 1.0) * m.tasks[*k].room.left_share(m.total))
            .sum::<f64>()
            + self.score(i, job, room, false);
        Some(Bid {
            cost,
            machine: i,
            free,
            victims: chosen,
        })
    }

    /// Tries to place `want` on the machines of `zone`, with victims if
    /// allowed.
    fn fit(
        &self,
        job: &JobView,
        want: &[u32],
        zone: Option<&str>,
        how: How,
        least: usize,
    ) -> Option<Picked> {
        let victims = how == How::Victims;
        let mut passed = false;
        let need = Room::of(&job.spec);
        let within = within(&self.teams, &job.spec.team);
        let kind_ok: Vec<bool> = self
            .kinds
            .iter()
            .map(|k| {
                let m = &self.machines[*k];
                allowed(&job.spec, &m.flavor, &m.zone, m.spot) && zone.is_none_or(|z| *z == *m.zone)
            })
            .collect();
        // A look at all: what fits, and whether the minimum count can be had.
        let mut free: HashMap<usize, Room> = HashMap::new();
        let mut bids: BinaryHeap<Bid> = BinaryHeap::new();
        let mut others: Vec<usize> = Vec::new();
        let mut most = 0u64;
        for i in self.candidates(how) {
            if !kind_ok[self.kind_of[i]] || job.shun.contains(&self.machines[i].name) {
                continue;
            }
            let f = self.free_for(i, job);
            let fits = f.fits(need);
            if how == How::Cached && fits && !self.cached(i, job) {
                passed = true;
                continue;
            }
            if fits {
                bids.push(Bid {
                    cost: self.score(i, job, f, false),
                    machine: i,
                    free: f,
                    victims: vec![],
                });
            }
            if victims {
                let room = self.most_room(i, job, f, within);
                let n = room.times(need);
                if n > 0 {
                    most += u64::from(n);
                    others.push(i);
                }
            } else if fits {
                most += u64::from(f.times(need));
            }
        }
        if most < least as u64 || most == 0 {
            return (least == 0).then_some(Picked {
                passed,
                ..Picked::default()
            });
        }
        let cap = zone_cap(&job.spec);
        let mut zones = job.zones.clone();
        let mut out = Picked {
            passed,
            ..Picked::default()
        };
        let mut taken: HashSet<(usize, usize)> = HashSet::new();
        let mut raids: Option<BinaryHeap<Bid>> = None;
        for (done, task) in want.iter().enumerate() {
            // The cycle ends once the minimum count is out of reach.
            if out.tasks.len() + (want.len() - done) < least {
                return None;
            }
            let mut got: Option<Bid> = None;
            let zone_ok = |zones: &Zones, i: usize| {
                cap == u32::MAX || zones.get(&self.machines[i].zone).copied().unwrap_or(0) < cap
            };
            while let Some(b) = bids.pop() {
                let now = free.get(&b.machine).copied().unwrap_or(b.free);
                if now == b.free && zone_ok(&zones, b.machine) {
                    got = Some(b);
                    break;
                }
            }
            if got.is_none() && victims {
                let heap = raids.get_or_insert_with(|| {
                    others
                        .iter()
                        .filter_map(|i| {
                            let f = free
                                .get(i)
                                .copied()
                                .unwrap_or_else(|| self.free_for(*i, job));
                            self.victims(*i, job, f, within, &taken)
                        })
                        .collect()
                });
                while let Some(b) = heap.pop() {
                    if !zone_ok(&zones, b.machine) {
                        continue;
                    }
                    let now = free.get(&b.machine).copied().unwrap_or(b.free);
                    if now == b.free {
                        got = Some(b);
                        break;
                    }
                    // Its room has changed since: a new price.
                    heap.extend(self.victims(b.machine, job, now, within, &taken));
                }
            }
            // Tasks are alike: where one finds nothing, none does.
            let Some(b) = got else { break };
            let i = b.machine;
            let mut f = b.free;
            for k in &b.victims {
                f.add(self.machines[i].tasks[*k].room);
                taken.insert((i, *k));
                out.victims.push((i, *k));
            }
            f.sub(need);
            free.insert(i, f);
            if f.fits(need) {
                bids.push(Bid {
                    cost: self.score(i, job, f, true),
                    machine: i,
                    free: f,
                    victims: vec![],
                });
            } else if let Some(heap) = &mut raids {
                heap.extend(self.victims(i, job, f, within, &taken));
            }
            *zones.entry(self.machines[i].zone.clone()).or_insert(0) += 1;
            out.tasks.push((*task, i));
        }
        (out.tasks.len() >= least).then_some(out)
    }

    fn best_fit(&self, job: &JobView, want: &[u32], how: How, least: usize) -> Option<Picked> {
        if !job.spec.one_zone {
            return self.fit(job, want, None, how, least);
        }
        // Tasks that remain of an old attempt keep the job in their zone.
        let mut zones: Vec<&str> = match job.zones.iter().find(|z| *z.1 > 0) {
            Some((z, _)) => vec![z],
            None => self
                .kinds
                .iter()
                .map(|k| &*self.machines[*k].zone)
                .collect(),
        };
        zones.sort_unstable();
        zones.dedup();
        let mut best: Option<(usize, usize, f64, Picked)> = None;
        for z in zones {
            let Some(p) = self.fit(job, want, Some(z), how, least) else {
                continue;
            };
            let cost: f64 = p
                .tasks
                .iter()
                .map(|(_, i)| self.score(*i, job, self.machines[*i].total, false))
                .sum();
            let better = best.as_ref().is_none_or(|b| {
                (usize::MAX - p.tasks.len(), p.victims.len())
                    .cmp(&(usize::MAX - b.0, b.1))
                    .then(cost.total_cmp(&b.2))
                    .is_lt()
            });
            if better {
                best = Some((p.tasks.len(), p.victims.len(), cost, p));
            }
        }
        best.map(|b| b.3)
    }

    fn apply(&mut self, job: &JobView, p: &Picked) {
        let need = Room::of(&job.spec);
        for (_, i) in &p.tasks {
            self.free[*i].sub(need);
        }
        if let Some(t) = self.teams.get_mut(&job.spec.team) {
            t.take(need, p.tasks.len() as f64);
        }
        if self.holders.remove(&job.id) {
            for h in &mut self.held {
                h.retain(|h| h.job != job.id);
            }
        }
    }

    /// Tasks of a job get their places; those without one move to the end of
    /// `want`. Tells how many have one.
    fn settle(&mut self, job: &JobView, p: &Picked, want: &mut [u32], d: &mut Decision) -> usize {
        if p.tasks.is_empty() {
            return 0;
        }
        let placed: HashSet<u32> = p.tasks.iter().map(|x| x.0).collect();
        want.sort_by_key(|t| !placed.contains(t));
        self.apply(job, p);
        let name = |i: usize| self.machines[i].name.clone();
        let tasks = p.tasks.iter().map(|(t, i)| (*t, name(*i)));
        // One record holds all places that a plan gives a job.
        match d.places.iter_mut().find(|x| x.job == job.id) {
            Some(x) => x.tasks.extend(tasks),
            None => d.places.push(Place {
                job: job.id.clone(),
                tasks: tasks.collect(),
            }),
        }
        p.tasks.len()
    }

    /// What a gang lacks: part of it may have room already, which then is not
    /// there for the next one that asks.
    fn missing(&mut self, job: &JobView) -> Unmet {
        let need = Room::of(&job.spec);
        let mut zones = job.zones.clone();
        let mut count = job.want.len();
        let mut hosts = Vec::new();
        self.counting = true;
        let mut found = self.best_fit(job, &job.want, How::Free, 0);
        let short = |p: &Picked| p.tasks.len() < job.want.len();
        if job.broken && found.as_ref().is_none_or(short) {
            found = self.best_fit(job, &job.want, How::Victims, 0);
        }
        self.counting = false;
        if let Some(p) = found {
            count -= p.tasks.len();
            for (i, k) in &p.victims {
                let mut room = self.promised.get(i).copied().unwrap_or_default();
                room.sub(self.machines[*i].tasks[*k].room);
                self.promised.insert(*i, room);
                self.doomed.insert((*i, *k));
            }
            for (_, i) in &p.tasks {
                *zones.entry(self.machines[*i].zone.clone()).or_insert(0) += 1;
                hosts.push(self.machines[*i].name.clone());
                self.promised.entry(*i).or_default().add(need);
            }
        }
        Unmet {
            job: job.id.clone(),
            count: count as u32,
            zones,
            hosts,
        }
    }
}

/// Runs one cycle over the whole queue, each gang in one go.
pub fn cycle(mut s: Snapshot) -> Decision {
    let mut d = Decision::default();
    let queue = order(&s);
    let jobs = std::mem::take(&mut s.jobs);
    let least = queue
        .iter()
        .map(|i| Room::of(&jobs[*i].spec))
        .reduce(Room::least)
        .unwrap_or_default();
    let mut b = Board::new(s, least);
    let mut passed: Vec<(&JobView, Vec<u32>)> = Vec::new();
    for job in queue.into_iter().map(|i| &jobs[i]) {
        if job.want.is_empty() {
            continue;
        }
        let need = Room::of(&job.spec);
        let room = b.teams.get(&job.spec.team).map_or(0, |t| t.allows(need));
        let gang = job.spec.shape == Shape::Gang;
        if gang && (room as usize) < job.want.len() {
            if !(job.resting || job.broken) {
                d.failed.push(job.id.clone());
            }
            // What its team has left is not for later jobs to nibble at, or a
            // large gang never starts.
            if let Some(t) = b.teams.get_mut(&job.spec.team) {
                t.take(need, job.want.len() as f64);
            }
            continue;
        }
        if job.resting || job.broken {
            // It takes no part, but what it lacks is bought all the same: else
            // the machines on their way would count for others.
            d.unmet.push(b.missing(job));
            continue;
        }
        let mut want = job.want.clone();
        want.truncate(room as usize);
        if want.is_empty() {
            continue;
        }
        let least = if gang { want.len() } else { 0 };
        let holds = b.holders.contains(&job.id);
        let mut left = want.len();
        // An array goes where its image is; what else is free is for those
        // behind it that have theirs there, and only then for it.
        let patient = job.patient
            && !gang
            && job.spec.urgency == Urgency::Low
            && !(job.spec.one_zone || job.spec.spread)
            && !within(&b.teams, &job.spec.team);
        let how = if patient { How::Cached } else { How::Free };
        if let Some(p) = b.best_fit(job, &want, how, least) {
            left -= b.settle(job, &p, &mut want, &mut d);
            if patient && p.passed && left > 0 {
                d.passed.push(job.id.clone());
                passed.push((job, want.split_off(want.len() - left)));
                continue;
            }
        }
        if left == 0 {
            continue;
        }
        // A gang whose victims are still leaving waits for them.
        if holds {
            continue;
        }
        // Tasks of an array are gangs of one: each may have victims.
        let rest = &want[want.len() - left..];
        if gang || within(&b.teams, &job.spec.team) || job.spec.urgency > Urgency::Low {
            if let Some(p) = b.best_fit(job, rest, How::Victims, least) {
                left -= p.tasks.len();
                for (i, k) in &p.victims {
                    b.gone.insert((*i, *k));
                    let t = &b.machines[*i].tasks[*k];
                    d.stops.push(Stop {
                        job: t.job.clone(),
                        task: t.task,
                        host: b.machines[*i].name.clone(),
                        by: job.id.clone(),
                    });
                }
                for (_, i) in &p.tasks {
                    b.held[*i].push(HeldView {
                        job: job.id.clone(),
                        room: need,
                        urgency: job.spec.urgency,
                    });
                    d.holds.push(Hold {
                        job: job.id.clone(),
                        host: b.machines[*i].name.clone(),
                        room: need,
                    });
                }
            } else if gang {
                d.failed.push(job.id.clone());
            }
        }
        if left == 0 {
            continue;
        }
        d.unmet.push(if gang {
            b.missing(job)
        } else {
            Unmet::alone(job, left)
        });
    }
    for (job, mut want) in passed {
        let room = b.teams.get(&job.spec.team);
        want.truncate(room.map_or(0, |t| t.allows(Room::of(&job.spec))) as usize);
        let mut left = want.len();
        if let Some(p) = b.best_fit(job, &want, How::Free, 0) {
            left -= b.settle(job, &p, &mut want, &mut d);
        }
        if left > 0 {
            d.unmet.push(Unmet::alone(job, left));
        }
    }
    d
}
