//! The gang cycle: a pure function from a snapshot to placements, victims and
//! held room. Nothing here knows of sockets, clocks or records.

use std::collections::{BTreeMap, HashMap, HashSet};
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
    pub fn fits(&self, need: Room) -> bool {
        self.cpus + EPS >= need.cpus && self.gpus + EPS >= need.gpus && self.mem + EPS >= need.mem
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
    pub job: String,
    pub task: u32,
    pub room: Room,
    pub urgency: Urgency,
    pub team: String,
    /// Not already being stopped, and known to the worker.
    pub stoppable: bool,
    /// What stopping it throws away, in seconds of work and saving.
    pub cost_s: f64,
}

#[derive(Debug, Clone)]
pub struct MachineView {
    pub name: String,
    pub flavor: String,
    pub zone: String,
    pub spot: bool,
    pub total: Room,
    pub free: Room,
    pub images: Vec<String>,
    pub fetch: f64,
    pub tasks: Vec<TaskView>,
    /// Room kept for a gang whose victims are still leaving.
    pub held: Vec<HeldView>,
}

/// Room that a gang holds on a machine.
#[derive(Debug, Clone)]
pub struct HeldView {
    pub job: String,
    pub room: Room,
    pub urgency: Urgency,
}

#[derive(Debug, Clone)]
pub struct JobView {
    pub id: String,
    pub spec: Arc<Spec>,
    /// Tasks without a place.
    pub want: Vec<u32>,
    /// When it was submitted, in seconds on the planner's clock.
    pub at_s: f64,
    /// When it should have started to meet the next of its aims; `None` if
    /// all are missed.
    pub start_by: Option<f64>,
    /// Where its tasks are, those of an old attempt included.
    pub zones: BTreeMap<String, u32>,
    /// Machines on which it failed.
    pub shun: HashSet<String>,
    /// Backing off: takes no part, but its held room stays.
    pub resting: bool,
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

#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    pub machines: Vec<MachineView>,
    pub jobs: Vec<JobView>,
    pub teams: HashMap<String, TeamView>,
    pub now_s: f64,
    /// Seconds that running on a dear machine counts for, against a spot one.
    pub spot_worth_s: f64,
}

#[derive(Debug, Clone, PartialEq)]
pub struct Place {
    pub job: String,
    pub tasks: Vec<(u32, String)>,
}

#[derive(Debug, Clone, PartialEq)]
pub struct Stop {
    pub job: String,
    pub task: u32,
    pub host: String,
    pub by: String,
}

#[derive(Debug, Clone, PartialEq)]
pub struct Hold {
    pub job: String,
    pub host: String,
    pub room: Room,
}

/// What the cycle decided.
#[derive(Debug, Clone, Default)]
pub struct Decision {
    pub places: Vec<Place>,
    pub stops: Vec<Stop>,
    pub holds: Vec<Hold>,
    /// Gangs without room: they back off.
    pub failed: Vec<String>,
    /// Tasks for which machines would have to be had, in queue order.
    pub unmet: Vec<Unmet>,
}

/// Tasks of a job that found no room, and where the others are or would be.
#[derive(Debug, Clone, PartialEq)]
pub struct Unmet {
    pub job: String,
    pub count: u32,
    pub zones: BTreeMap<String, u32>,
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

/// The order of the queue: teams within their guarantee, then urgency, then
/// the least slack and work, then age.
fn order(s: &Snapshot) -> Vec<usize> {
    let mut idx: Vec<usize> = (0..s.jobs.len()).collect();
    let key = |i: usize| {
        let j = &s.jobs[i];
        let within = s.teams.get(&j.spec.team).is_some_and(TeamView::within);
        // What has missed all aims has nothing to lose by waiting. Of the rest,
        // jobs with little left to do go first: more of them are in time.
        let lost = j.start_by.is_none();
        let work = match j.spec.shape {
            Shape::Gang => 1.0,
            _ => j.want.len() as f64,
        };
        let slack = j.start_by.unwrap_or(j.at_s) - s.now_s + work * j.spec.expected_s;
        (
            !within,
            std::cmp::Reverse(j.spec.urgency),
            lost,
            slack,
            j.at_s,
        )
    };
    idx.sort_by(|a, b| {
        let (x, y) = (key(*a), key(*b));
        (x.0, x.1, x.2)
            .cmp(&(y.0, y.1, y.2))
            .then(x.3.total_cmp(&y.3))
            .then(x.4.total_cmp(&y.4))
            .then(s.jobs[*a].id.cmp(&s.jobs[*b].id))
    });
    idx
}

/// Room for a job: what others hold is not for it, unless it is more urgent.
fn free_for(m: &MachineView, job: &JobView) -> Room {
    let mut free = m.free;
    for h in &m.held {
        if h.job != job.id && h.urgency >= job.spec.urgency {
            free.sub(h.room);
        }
    }
    free
}

/// Lower is better: seconds of fetching, of dearness, and a tight fit.
fn score(s: &Snapshot, m: &MachineView, job: &JobView, free: Room) -> f64 {
    let spec = &job.spec;
    let fetch = if m.images.contains(&spec.image) {
        0.0
    } else {
        spec.image_gb / m.fetch.max(0.01)
    };
    let dear = if spec.spot && !m.spot {
        s.spot_worth_s
    } else {
        0.0
    };
    let mut left = free;
    left.sub(Room::of(spec));
    // A nearly empty machine may soon be given back: fill the others first.
    fetch + dear + s.spot_worth_s * left.left_share(m.total)
}

struct Picked {
    tasks: Vec<(u32, usize)>,
    victims: Vec<(usize, usize)>,
}

/// Tries to place `want` on the machines of `zones`, with victims if allowed.
fn fit(
    s: &Snapshot,
    job: &JobView,
    want: &[u32],
    zone: Option<&str>,
    victims: bool,
    least: usize,
) -> Option<Picked> {
    let need = Room::of(&job.spec);
    let within = s.teams.get(&job.spec.team).is_some_and(TeamView::within);
    let mut free: Vec<Option<Room>> = s
        .machines
        .iter()
        .map(|m| {
            (allowed(&job.spec, &m.flavor, &m.zone, m.spot)
                && zone.is_none_or(|z| z == m.zone)
                && !job.shun.contains(&m.name))
            .then(|| free_for(m, job))
        })
        .collect();
    let cap = zone_cap(&job.spec);
    let mut zones = job.zones.clone();
    let mut out = Picked {
        tasks: vec![],
        victims: vec![],
    };
    let mut taken: HashSet<(usize, usize)> = HashSet::new();
    for (done, task) in want.iter().enumerate() {
        // The cycle ends once the minimum count is out of reach.
        if out.tasks.len() + (want.len() - done) < least {
            return None;
        }
        let zone_ok =
            |zones: &BTreeMap<String, u32>, z: &str| zones.get(z).copied().unwrap_or(0) < cap;
        let best = (0..s.machines.len())
            .filter_map(|i| {
                let f = free[i]?;
                let m = &s.machines[i];
                (f.fits(need) && zone_ok(&zones, &m.zone)).then(|| (score(s, m, job, f), i))
            })
            .min_by(|a, b| a.0.total_cmp(&b.0));
        if let Some((_, i)) = best {
            if let Some(f) = free[i].as_mut() {
                f.sub(need);
            }
            *zones.entry(s.machines[i].zone.clone()).or_insert(0) += 1;
            out.tasks.push((*task, i));
            continue;
        }
        if !victims {
            continue;
        }
        let mut choice: Option<(f64, usize, Vec<usize>)> = None;
        for (i, m) in s.machines.iter().enumerate() {
            let Some(f) = free[i] else { continue };
            if !zone_ok(&zones, &m.zone) {
                continue;
            }
            let mut cands: Vec<usize> = (0..m.tasks.len())
                .filter(|k| {
                    let t = &m.tasks[*k];
                    let lower = t.urgency < job.spec.urgency;
                    let owed = within
                        && t.team != job.spec.team
                        && s.teams.get(&t.team).is_some_and(TeamView::borrows);
                    t.stoppable && t.job != job.id && !taken.contains(&(i, *k)) && (lower || owed)
                })
                .collect();
            cands.sort_by(|a, b| {
                let (x, y) = (&m.tasks[*a], &m.tasks[*b]);
                x.urgency
                    .cmp(&y.urgency)
                    .then(x.cost_s.total_cmp(&y.cost_s))
            });
            let mut room = f;
            let mut chosen = Vec::new();
            for k in cands {
                if room.fits(need) {
                    break;
                }
                room.add(m.tasks[k].room);
                chosen.push(k);
            }
            if !room.fits(need) {
                continue;
            }
            // What stopping throws away counts by the share of the machine.
            let cost: f64 = chosen
                .iter()
                .map(|k| (m.tasks[*k].cost_s + 1.0) * m.tasks[*k].room.left_share(m.total))
                .sum::<f64>()
                + score(s, m, job, room);
            if choice.as_ref().is_none_or(|c| cost < c.0) {
                choice = Some((cost, i, chosen));
            }
        }
        if let Some((_, i, chosen)) = choice {
            if let Some(f) = free[i].as_mut() {
                for k in &chosen {
                    f.add(s.machines[i].tasks[*k].room);
                    taken.insert((i, *k));
                    out.victims.push((i, *k));
                }
                f.sub(need);
            }
            *zones.entry(s.machines[i].zone.clone()).or_insert(0) += 1;
            out.tasks.push((*task, i));
        }
    }
    (out.tasks.len() >= least).then_some(out)
}

fn best_fit(
    s: &Snapshot,
    job: &JobView,
    want: &[u32],
    victims: bool,
    least: usize,
) -> Option<Picked> {
    if !job.spec.one_zone {
        return fit(s, job, want, None, victims, least);
    }
    // Tasks that remain of an old attempt keep the job in their zone.
    let mut zones: Vec<&str> = match job.zones.iter().find(|z| *z.1 > 0) {
        Some((z, _)) => vec![z.as_str()],
        None => s.machines.iter().map(|m| m.zone.as_str()).collect(),
    };
    zones.sort_unstable();
    zones.dedup();
    let mut best: Option<(usize, usize, f64, Picked)> = None;
    for z in zones {
        let Some(p) = fit(s, job, want, Some(z), victims, least) else {
            continue;
        };
        let cost: f64 = p
            .tasks
            .iter()
            .map(|(_, i)| score(s, &s.machines[*i], job, s.machines[*i].total))
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

fn apply(s: &mut Snapshot, job: &JobView, p: &Picked) {
    let need = Room::of(&job.spec);
    for (task, i) in &p.tasks {
        let m = &mut s.machines[*i];
        m.free.sub(need);
        m.tasks.push(TaskView {
            job: job.id.clone(),
            task: *task,
            room: need,
            urgency: job.spec.urgency,
            team: job.spec.team.clone(),
            stoppable: false,
            cost_s: 0.0,
        });
    }
    if let Some(t) = s.teams.get_mut(&job.spec.team) {
        t.take(need, p.tasks.len() as f64);
    }
}

/// What a gang lacks: part of it may have room already.
fn missing(s: &Snapshot, job: &JobView) -> Unmet {
    let mut zones = job.zones.clone();
    let mut count = job.want.len();
    if let Some(p) = best_fit(s, job, &job.want, false, 0) {
        count -= p.tasks.len();
        for (_, i) in &p.tasks {
            *zones.entry(s.machines[*i].zone.clone()).or_insert(0) += 1;
        }
    }
    Unmet {
        job: job.id.clone(),
        count: count as u32,
        zones,
    }
}

/// Runs one cycle over the whole queue, each gang in one go.
pub fn cycle(mut s: Snapshot) -> Decision {
    let mut d = Decision::default();
    for i in order(&s) {
        let job = s.jobs[i].clone();
        if job.want.is_empty() {
            continue;
        }
        let need = Room::of(&job.spec);
        let room = s.teams.get(&job.spec.team).map_or(0, |t| t.allows(need));
        let gang = job.spec.shape == Shape::Gang;
        if gang && (room as usize) < job.want.len() {
            if !job.resting {
                d.failed.push(job.id.clone());
            }
            // What its team has left is not for later jobs to nibble at, or a
            // large gang never starts.
            if let Some(t) = s.teams.get_mut(&job.spec.team) {
                t.take(need, job.want.len() as f64);
            }
            continue;
        }
        if job.resting {
            // It takes no part, but what it lacks is bought all the same: else
            // the machines on their way would count for others.
            let m = missing(&s, &job);
            d.unmet.push(m);
            continue;
        }
        let mut want = job.want.clone();
        want.truncate(room as usize);
        if want.is_empty() {
            continue;
        }
        let least = if gang { want.len() } else { 0 };
        let holds = s
            .machines
            .iter()
            .any(|m| m.held.iter().any(|h| h.job == job.id));
        let mut left = want.len();
        if let Some(p) = best_fit(&s, &job, &want, false, least) {
            if !p.tasks.is_empty() {
                // Those placed go to the front, the others stay behind them.
                want.sort_by_key(|t| !p.tasks.iter().any(|x| x.0 == *t));
                apply(&mut s, &job, &p);
                for m in &mut s.machines {
                    m.held.retain(|h| h.job != job.id);
                }
                left -= p.tasks.len();
                d.places.push(Place {
                    job: job.id.clone(),
                    tasks: p
                        .tasks
                        .iter()
                        .map(|(t, i)| (*t, s.machines[*i].name.clone()))
                        .collect(),
                });
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
        let within = s.teams.get(&job.spec.team).is_some_and(TeamView::within);
        let rest: Vec<u32> = want[want.len() - left..].to_vec();
        if gang || within || job.spec.urgency > Urgency::Low {
            if let Some(p) = best_fit(&s, &job, &rest, true, least) {
                left -= p.tasks.len();
                for (i, k) in &p.victims {
                    let t = &mut s.machines[*i].tasks[*k];
                    t.stoppable = false;
                    d.stops.push(Stop {
                        job: t.job.clone(),
                        task: t.task,
                        host: s.machines[*i].name.clone(),
                        by: job.id.clone(),
                    });
                }
                for (_, i) in &p.tasks {
                    s.machines[*i].held.push(HeldView {
                        job: job.id.clone(),
                        room: need,
                        urgency: job.spec.urgency,
                    });
                    d.holds.push(Hold {
                        job: job.id.clone(),
                        host: s.machines[*i].name.clone(),
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
            missing(&s, &job)
        } else {
            Unmet {
                job: job.id.clone(),
                count: left as u32,
                zones: job.zones.clone(),
            }
        });
    }
    d
}
