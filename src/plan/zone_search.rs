//! The search for places for one job in one zone, or in all: machines come lazily, in the
//! order of what a place on them costs.

use std::cmp::Ordering;
use std::collections::{BTreeSet, BinaryHeap, HashMap, HashSet};
use std::iter::Peekable;

use super::capacity_index::{BucketIter, CapacityIndex};
use super::cycle_state::{CycleState, TaskIndex};
use super::image_map::ImageMachines;
use super::resources::Resources;
use super::search::{Assignment, Query, SearchMode};
use super::snapshot::{is_allowed, tasks_per_zone_max, JobView, ZoneCounts};
use super::victims::{CandidateIter, Preemptor};

/// A machine that could take a task, at a cost in seconds; the lowest first out of a heap.
pub(super) struct Candidate {
    cost_s: f64,
    machine: usize,
    /// The free capacity that the cost was calculated for.
    free: Resources,
    /// Indexes of tasks that would have to go.
    victims: Vec<usize>,
    origin: Origin,
}

/// Where a candidate comes from.
#[derive(Clone, Copy, PartialEq)]
enum Origin {
    /// From a source of machines with capacity, which then gives its next.
    Source(usize),
    /// From an offer: its victims have yet to be chosen.
    Preemption,
    /// It was looked at by itself.
    Examined,
}

impl PartialEq for Candidate {
    fn eq(&self, other: &Candidate) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Candidate {}

impl PartialOrd for Candidate {
    fn partial_cmp(&self, other: &Candidate) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Candidate {
    fn cmp(&self, other: &Candidate) -> Ordering {
        other
            .cost_s
            .total_cmp(&self.cost_s)
            .then(other.machine.cmp(&self.machine))
    }
}

/// Machines in the order of what a place on them costs.
struct Source<'a> {
    machines: BucketIter<'a>,
    /// All of them have the image.
    has_image: bool,
}

/// Machines with capacity, the cheapest first.
pub(super) struct FreeMachines<'a> {
    sources: Vec<Source<'a>>,
    heap: BinaryHeap<Candidate>,
}

/// Machines on which others would have to go, the cheapest first.
pub(super) struct VictimMachines<'a> {
    /// What those with the image offer.
    with_image: Option<Peekable<CandidateIter<'a>>>,
    /// What all offer, fetches not counted.
    all: Option<Peekable<CandidateIter<'a>>>,
    /// What a fetch of the image costs at least.
    fetch_min_s: f64,
    heap: BinaryHeap<Candidate>,
}

/// A search in progress.
pub(super) struct Search<'a> {
    state: &'a CycleState,
    job: &'a JobView,
    preemptor: &'a Preemptor,
    image_machines: Option<&'a ImageMachines>,
    demand: Resources,
    mode: SearchMode,
    kind_allowed: Vec<bool>,
    /// Machines on which the job has capacity that the indexes don't know of: what is held for
    /// itself, or for less urgent ones.
    extra_capacity: BTreeSet<usize>,
    /// Free capacity on machines that have been given tasks.
    free: HashMap<usize, Resources>,
    /// Victims chosen so far.
    taken: HashSet<TaskIndex>,
    zones: ZoneCounts,
    zone_max: u32,
}

impl<'a> Search<'a> {
    pub fn new(state: &'a CycleState, query: &Query<'a>, zone: Option<&str>) -> Search<'a> {
        let job = query.job;
        let allowed = |kind: &usize| {
            let view = &state.machines[*kind];
            is_allowed(&job.spec, &view.machine_type, &view.zone, view.spot)
                && zone.is_none_or(|zone| *zone == *view.zone)
        };
        let kind_allowed: Vec<bool> = state.kinds.iter().map(allowed).collect();
        let held = state.machines_held_for(job).iter().copied();
        let less_urgent = state.capacity().reserved_below(job.spec.priority);
        let extra_capacity = held.chain(less_urgent);
        let extra_capacity = extra_capacity.filter(|machine| kind_allowed[state.kind_of[*machine]]);
        Search {
            extra_capacity: extra_capacity.collect(),
            state,
            job,
            preemptor: query.preemptor,
            image_machines: state.image_machines(&job.spec.image),
            demand: Resources::of(&job.spec),
            mode: query.mode,
            kind_allowed,
            free: HashMap::new(),
            taken: HashSet::new(),
            zones: job.zones.clone(),
            zone_max: tasks_per_zone_max(&job.spec),
        }
    }

    fn has_image(&self, machine: usize) -> bool {
        let known = self.image_machines;
        known.is_some_and(|known| known.contains(machine))
    }

    /// The cost of a place: seconds of fetching, and of what else
    /// [`CycleState::placement_cost_s`] counts. `is_fetching`: another task of the job is to go
    /// there, and its image.
    fn cost_s(&self, machine: usize, free: Resources, is_fetching: bool) -> f64 {
        let has_image = is_fetching || self.has_image(machine);
        let placement_cost_s = self.state.placement_cost_s(machine, &self.job.spec, free);
        self.state.fetch_cost_s(machine, self.job, has_image) + placement_cost_s
    }

    fn is_allowed(&self, machine: usize) -> bool {
        let name = &self.state.machines[machine].name;
        self.kind_allowed[self.state.kind_of[machine]] && !self.job.avoided_machines.contains(name)
    }

    fn free_for(&self, machine: usize) -> Resources {
        let job = self.job;
        self.state.free_for(machine, &job.id, job.spec.priority)
    }

    /// Whether all machines together hold so many tasks, with all gone that may be stopped.
    pub fn can_hold(&self, count: usize) -> bool {
        let candidates = self.state.capacity().candidates_for(self.preemptor);
        let preemptable = candidates
            .into_iter()
            .flat_map(|candidates| candidates.iter());
        let preemptable = preemptable.map(|(_, machine)| machine);
        let preemptable = preemptable.filter(|machine| !self.extra_capacity.contains(machine));
        let mut held = 0;
        for machine in self.extra_capacity.iter().copied().chain(preemptable) {
            if held >= count as u64 {
                break;
            }
            if !self.is_allowed(machine) {
                continue;
            }
            held += u64::from(self.state.tasks_if_preempted(machine, self.preemptor));
        }
        held >= count as u64
    }

    /// The machines with capacity for a task.
    pub fn free_machines(&self) -> FreeMachines<'a> {
        let tracker = self.state.capacity();
        let totals = &self.state.kind_totals;
        let buckets = |index: &'a CapacityIndex, has_image| {
            let buckets = index.buckets_for(self.demand, &self.kind_allowed, totals);
            buckets.into_iter().map(move |machines| Source {
                machines,
                has_image,
            })
        };
        let with_image = tracker.with_image(self.job).into_iter();
        let mut sources: Vec<Source> = with_image.flat_map(|index| buckets(index, true)).collect();
        if self.mode != SearchMode::Cached {
            sources.extend(buckets(&tracker.all, false));
        }
        let mut free = FreeMachines {
            heap: BinaryHeap::new(),
            sources,
        };
        for source in 0..free.sources.len() {
            self.advance(&mut free, source);
        }
        for machine in self.extra_capacity.iter().copied() {
            let capacity = self.free_for(machine);
            if !self.is_allowed(machine) {
                continue;
            }
            let cached = self.mode != SearchMode::Cached || self.has_image(machine);
            if capacity.fits(self.demand) && cached {
                free.heap
                    .push(self.free_candidate(machine, capacity, false));
            }
        }
        free
    }

    /// Takes the next machine with capacity out of a source.
    fn advance(&self, free: &mut FreeMachines, source: usize) {
        let Source {
            machines,
            has_image,
        } = &mut free.sources[source];
        for machine in machines {
            self.state.note_examined();
            let capacity = self.free_for(machine);
            let name = &self.state.machines[machine].name;
            let avoided = self.job.avoided_machines.contains(name);
            if !capacity.fits(self.demand) || avoided || self.extra_capacity.contains(&machine) {
                continue;
            }
            let fetch_cost_s = self.state.fetch_cost_s(machine, self.job, *has_image);
            let placement_cost_s = self
                .state
                .placement_cost_s(machine, &self.job.spec, capacity);
            free.heap.push(Candidate {
                cost_s: fetch_cost_s + placement_cost_s,
                machine,
                free: capacity,
                victims: vec![],
                origin: Origin::Source(source),
            });
            return;
        }
    }

    /// Whether a machine without the image has capacity for a task.
    pub fn has_uncached_capacity(&self) -> bool {
        let totals = &self.state.kind_totals;
        let all = &self.state.capacity().all;
        let buckets = all.buckets_for(self.demand, &self.kind_allowed, totals);
        let machines = buckets.into_iter().flatten();
        let machines = machines.chain(self.extra_capacity.iter().copied());
        let mut without_image = machines.filter(|machine| {
            self.is_allowed(*machine)
                && !self.has_image(*machine)
                && self.free_for(*machine).fits(self.demand)
        });
        without_image.next().is_some()
    }

    fn free_candidate(&self, machine: usize, free: Resources, is_fetching: bool) -> Candidate {
        Candidate {
            cost_s: self.cost_s(machine, free, is_fetching),
            machine,
            free,
            victims: vec![],
            origin: Origin::Examined,
        }
    }

    fn zone_has_capacity(&self, machine: usize) -> bool {
        let used = || {
            let zone = &self.state.machines[machine].zone;
            self.zones.get(zone).copied().unwrap_or(0)
        };
        self.zone_max == u32::MAX || used() < self.zone_max
    }

    /// The cheapest machine with capacity as it is.
    pub fn next_free(&self, free: &mut FreeMachines) -> Option<Candidate> {
        while let Some(candidate) = free.heap.pop() {
            let mut has_image = true;
            if let Origin::Source(source) = candidate.origin {
                has_image = free.sources[source].has_image;
                self.advance(free, source);
            }
            // What has the image comes, or came, from a source of those that do.
            let is_other = !has_image && self.has_image(candidate.machine);
            if !is_other && self.is_current(&candidate) && self.zone_has_capacity(candidate.machine)
            {
                return Some(candidate);
            }
        }
        None
    }

    /// Whether a candidate's machine has not been given tasks since its cost was
    /// calculated.
    fn is_current(&self, candidate: &Candidate) -> bool {
        let free = self.free.get(&candidate.machine);
        free.is_none_or(|free| *free == candidate.free)
    }

    /// The machines that would have capacity if others went. Those that were given tasks, and
    /// those with more capacity than the offers know of, are looked at one by one.
    pub fn victim_machines(&self) -> VictimMachines<'a> {
        let state = self.state;
        let candidates = state.capacity().candidates_for(self.preemptor);
        let given = self.free.keys().copied();
        let extra_capacity = self.extra_capacity.iter().copied();
        let extra_capacity = extra_capacity.filter(|machine| self.is_allowed(*machine));
        let examined: HashSet<usize> = given.chain(extra_capacity).collect();
        let candidate = |machine: usize| {
            let free = self.free.get(&machine).copied();
            let free = free.unwrap_or_else(|| self.free_for(machine));
            self.victim_candidate(machine, free)
        };
        let kinds = state.kinds.iter();
        let fetch_times = kinds.map(|machine| state.fetch_cost_s(*machine, self.job, false));
        let with_image =
            candidates.and_then(|candidates| candidates.iter_with_image(&self.job.spec.image));
        VictimMachines {
            with_image: with_image.map(Iterator::peekable),
            all: candidates.map(|candidates| candidates.iter().peekable()),
            fetch_min_s: fetch_times.fold(f64::INFINITY, f64::min),
            heap: examined.into_iter().filter_map(candidate).collect(),
        }
    }

    /// The cheapest machine on which others would have to go.
    pub fn next_with_victims(&self, machines: &mut VictimMachines) -> Option<Candidate> {
        loop {
            self.take_candidates(machines);
            let mut candidate = machines.heap.pop()?;
            if !self.zone_has_capacity(candidate.machine) {
                continue;
            }
            let free = self.free.get(&candidate.machine).copied();
            if candidate.origin == Origin::Preemption && free.is_none() {
                match self.victim_candidate(candidate.machine, candidate.free) {
                    Some(checked) => candidate = checked,
                    None => continue,
                }
            }
            if self.is_current(&candidate) {
                return Some(candidate);
            }
            let free = free.unwrap_or(candidate.free);
            let renewed = self.victim_candidate(candidate.machine, free);
            machines.heap.extend(renewed);
        }
    }

    /// Takes in offers that may be cheaper than all known.
    fn take_candidates(&self, machines: &mut VictimMachines) {
        let VictimMachines {
            with_image,
            all,
            fetch_min_s,
            heap,
        } = machines;
        loop {
            let best = heap.peek();
            // Of machines at the same cost the first is taken: the rest of an order can wait.
            let may_be_first = |cost_s: f64, machine: usize| {
                best.is_none_or(|best| {
                    let by_cost = cost_s.total_cmp(&best.cost_s);
                    by_cost.then(machine.cmp(&best.machine)).is_lt()
                })
            };
            let cached = with_image.as_mut().and_then(|candidates| {
                candidates.next_if(|(cost_s, machine)| may_be_first(*cost_s, *machine))
            });
            if let Some((cost_s, machine)) = cached {
                heap.extend(self.candidate(machine, cost_s, true));
                continue;
            }
            let uncached = all.as_mut().and_then(|candidates| {
                candidates
                    .next_if(|(cost_s, machine)| may_be_first(cost_s + *fetch_min_s, *machine))
            });
            let Some((cost_s, machine)) = uncached else {
                return;
            };
            if !self.has_image(machine) {
                heap.extend(self.candidate(machine, cost_s, false));
            }
        }
    }

    /// The offer of a machine that is as it was when the search began.
    fn candidate(&self, machine: usize, cost_s: f64, has_image: bool) -> Option<Candidate> {
        self.state.note_examined();
        let examined = self.free.contains_key(&machine) || self.extra_capacity.contains(&machine);
        if examined || !self.is_allowed(machine) {
            return None;
        }
        Some(Candidate {
            cost_s: cost_s + self.state.fetch_cost_s(machine, self.job, has_image),
            machine,
            free: self.free_for(machine),
            victims: vec![],
            origin: Origin::Preemption,
        })
    }

    /// The victims that make capacity for one task on a machine, and the cost.
    fn victim_candidate(&self, machine: usize, free: Resources) -> Option<Candidate> {
        let choice = self
            .state
            .choose_victims(machine, self.preemptor, free, &self.taken)?;
        let has_image = self.has_image(machine);
        Some(Candidate {
            cost_s: choice.cost_s + self.state.fetch_cost_s(machine, self.job, has_image),
            machine,
            free,
            victims: choice.victims,
            origin: Origin::Examined,
        })
    }

    /// Gives a task its place, and puts the machine back with what capacity is left.
    pub fn take(
        &mut self,
        task: u32,
        candidate: Candidate,
        found: &mut Assignment,
        free_machines: &mut FreeMachines,
        victim_machines: &mut Option<VictimMachines>,
    ) {
        let machine = candidate.machine;
        let view = &self.state.machines[machine];
        let mut free = candidate.free;
        for index in candidate.victims {
            free.add(view.tasks[index].resources);
            self.taken.insert((machine, index));
            found.victims.push((machine, index));
        }
        free.sub(self.demand);
        self.free.insert(machine, free);
        if free.fits(self.demand) {
            let candidate = self.free_candidate(machine, free, true);
            free_machines.heap.push(candidate);
        } else if let Some(machines) = victim_machines {
            machines.heap.extend(self.victim_candidate(machine, free));
        }
        *self.zones.entry(view.zone.clone()).or_insert(0) += 1;
        found.tasks.push((task, machine));
    }
}
