//! The search for places for a job's tasks.

use std::cmp::Ordering;
use std::collections::{BinaryHeap, HashMap, HashSet};

use super::cycle_state::{CycleState, TaskIndex};
use super::resources::{fetch_s, Resources};
use super::snapshot::{is_allowed, tasks_per_zone_max, JobView, ZoneCounts};

/// Which machines a job is tried on.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum SearchMode {
    /// Where its image is, or is on its way.
    Cached,
    /// Where there is room.
    Free,
    /// Also where others would have to go.
    WithVictims,
}

/// What a search found.
#[derive(Default)]
pub(super) struct Assignment {
    /// Tasks, each with the index of its machine.
    pub tasks: Vec<(u32, usize)>,
    /// Tasks that would have to go.
    pub victims: Vec<TaskIndex>,
    /// A machine with room was skipped, as it lacks the image.
    pub skipped_machines: bool,
}

/// A machine that could take a task, at a cost in seconds; the lowest first out of a heap.
struct Candidate {
    cost_s: f64,
    machine: usize,
    /// The free room that the cost was calculated for.
    free: Resources,
    /// Indexes of tasks that would have to go.
    victims: Vec<usize>,
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

/// What a first look at all machines found.
struct FirstLook {
    /// Machines with room for a task.
    free: BinaryHeap<Candidate>,
    /// Machines that would have room for a task if others went.
    with_victims: Vec<usize>,
    /// How many tasks could be placed at most.
    tasks_max: u64,
    skipped_machines: bool,
}

/// A search in progress.
struct Search<'a> {
    state: &'a CycleState,
    job: &'a JobView,
    demand: Resources,
    within_guarantee: bool,
    /// Free room on machines that have been given tasks.
    free: HashMap<usize, Resources>,
    /// Victims chosen so far.
    taken: HashSet<TaskIndex>,
    zones: ZoneCounts,
    zone_max: u32,
}

impl CycleState {
    /// Tries to place `pending` tasks of a job, at least `min_count` of them or none, in
    /// the best zone if the job must be in one.
    pub fn search(
        &self,
        job: &JobView,
        pending: &[u32],
        mode: SearchMode,
        min_count: usize,
    ) -> Option<Assignment> {
        if !job.spec.single_zone {
            return self.search_zone(job, pending, None, mode, min_count);
        }
        let mut best: Option<(Assignment, f64)> = None;
        for zone in self.possible_zones(job) {
            let found = self.search_zone(job, pending, Some(zone), mode, min_count);
            let Some(found) = found else { continue };
            let cost_s = self.placement_cost_s(job, &found);
            let better = best.as_ref().is_none_or(|(other, other_cost_s)| {
                let most_tasks = other.tasks.len().cmp(&found.tasks.len());
                most_tasks
                    .then(found.victims.len().cmp(&other.victims.len()))
                    .then(cost_s.total_cmp(other_cost_s))
                    .is_lt()
            });
            if better {
                best = Some((found, cost_s));
            }
        }
        best.map(|(assignment, _)| assignment)
    }

    fn possible_zones<'a>(&'a self, job: &'a JobView) -> Vec<&'a str> {
        // Tasks that remain of an old attempt keep the job in their zone.
        if let Some((zone, _)) = job.zones.iter().find(|(_, count)| **count > 0) {
            return vec![zone];
        }
        let kinds = self.kinds.iter();
        let mut zones: Vec<&str> = kinds.map(|kind| &*self.machines[*kind].zone).collect();
        zones.sort_unstable();
        zones.dedup();
        zones
    }

    fn placement_cost_s(&self, job: &JobView, assignment: &Assignment) -> f64 {
        let machines = assignment.tasks.iter().map(|(_, machine)| *machine);
        let costs =
            machines.map(|machine| self.cost_s(machine, job, self.machines[machine].total, false));
        costs.sum()
    }

    /// The cost of a place: seconds of fetching, a penalty for an ordinary machine where a
    /// spot one would do, and what is left over. `is_fetching`: another task of the job is
    /// to go there, and its image.
    fn cost_s(&self, machine: usize, job: &JobView, free: Resources, is_fetching: bool) -> f64 {
        let view = &self.machines[machine];
        let spec = &job.spec;
        let fetch_s = if is_fetching || self.has_image(machine, job) {
            0.0
        } else {
            fetch_s(spec.image_gb, view.fetch_gb_per_s)
        };
        let penalty_s = if spec.spot && !view.spot {
            self.ordinary_penalty_s
        } else {
            0.0
        };
        let mut left = free;
        left.sub(Resources::of(spec));
        // A nearly empty machine may soon be returned: fill the others first.
        fetch_s + penalty_s + self.ordinary_penalty_s * left.share_of(view.total)
    }

    /// Tries to place tasks on the machines of `zone`, or of all zones.
    fn search_zone(
        &self,
        job: &JobView,
        pending: &[u32],
        zone: Option<&str>,
        mode: SearchMode,
        min_count: usize,
    ) -> Option<Assignment> {
        let mut search = Search::new(self, job);
        let look = search.first_look(zone, mode);
        let mut found = Assignment {
            skipped_machines: look.skipped_machines,
            ..Assignment::default()
        };
        if look.tasks_max < min_count as u64 || look.tasks_max == 0 {
            return (min_count == 0).then_some(found);
        }
        let mut free = look.free;
        let mut with_victims: Option<BinaryHeap<Candidate>> = None;
        for (index, task) in pending.iter().enumerate() {
            // The cycle ends once the minimum count is out of reach.
            if found.tasks.len() + (pending.len() - index) < min_count {
                return None;
            }
            let mut candidate = search.next_free(&mut free);
            if candidate.is_none() && mode == SearchMode::WithVictims {
                let heap =
                    with_victims.get_or_insert_with(|| search.victim_heap(&look.with_victims));
                candidate = search.next_with_victims(heap);
            }
            // Tasks are alike: where one finds nothing, none does.
            let Some(candidate) = candidate else { break };
            search.take(*task, candidate, &mut found, &mut free, &mut with_victims);
        }
        (found.tasks.len() >= min_count).then_some(found)
    }
}

impl<'a> Search<'a> {
    fn new(state: &'a CycleState, job: &'a JobView) -> Search<'a> {
        Search {
            state,
            job,
            demand: Resources::of(&job.spec),
            within_guarantee: state.within_guarantee(&job.spec.team),
            free: HashMap::new(),
            taken: HashSet::new(),
            zones: job.zones.clone(),
            zone_max: tasks_per_zone_max(&job.spec),
        }
    }

    /// Looks at all machines: what fits, and whether the minimum count can be had.
    fn first_look(&self, zone: Option<&str>, mode: SearchMode) -> FirstLook {
        let (state, job) = (self.state, self.job);
        let kind_allowed = self.allowed_kinds(zone);
        let mut look = FirstLook {
            free: BinaryHeap::new(),
            with_victims: vec![],
            tasks_max: 0,
            skipped_machines: false,
        };
        for machine in state.candidates(mode) {
            let name = &state.machines[machine].name;
            if !kind_allowed[state.kind_of[machine]] || job.avoided_machines.contains(name) {
                continue;
            }
            let free = state.free_for(machine, job);
            let fits = free.fits(self.demand);
            if mode == SearchMode::Cached && fits && !state.has_image(machine, job) {
                look.skipped_machines = true;
                continue;
            }
            if fits {
                look.free.push(self.free_candidate(machine, free, false));
            }
            if mode == SearchMode::WithVictims {
                let room = state.most_room(machine, job, free, self.within_guarantee);
                let tasks = room.count_of(self.demand);
                if tasks > 0 {
                    look.tasks_max += u64::from(tasks);
                    look.with_victims.push(machine);
                }
            } else if fits {
                look.tasks_max += u64::from(free.count_of(self.demand));
            }
        }
        look
    }

    fn allowed_kinds(&self, zone: Option<&str>) -> Vec<bool> {
        let allowed = |kind: &usize| {
            let view = &self.state.machines[*kind];
            is_allowed(&self.job.spec, &view.machine_type, &view.zone, view.spot)
                && zone.is_none_or(|zone| *zone == *view.zone)
        };
        self.state.kinds.iter().map(allowed).collect()
    }

    fn free_candidate(&self, machine: usize, free: Resources, is_fetching: bool) -> Candidate {
        Candidate {
            cost_s: self.state.cost_s(machine, self.job, free, is_fetching),
            machine,
            free,
            victims: vec![],
        }
    }

    fn zone_has_room(&self, machine: usize) -> bool {
        let used = || {
            let zone = &self.state.machines[machine].zone;
            self.zones.get(zone).copied().unwrap_or(0)
        };
        self.zone_max == u32::MAX || used() < self.zone_max
    }

    /// The cheapest machine with room as it is.
    fn next_free(&self, heap: &mut BinaryHeap<Candidate>) -> Option<Candidate> {
        while let Some(candidate) = heap.pop() {
            if self.is_current(&candidate) && self.zone_has_room(candidate.machine) {
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

    fn victim_heap(&self, machines: &[usize]) -> BinaryHeap<Candidate> {
        let candidate = |machine: &usize| {
            let free = self.free.get(machine).copied();
            let free = free.unwrap_or_else(|| self.state.free_for(*machine, self.job));
            self.victim_candidate(*machine, free)
        };
        machines.iter().filter_map(candidate).collect()
    }

    /// The cheapest machine on which others would have to go.
    fn next_with_victims(&self, heap: &mut BinaryHeap<Candidate>) -> Option<Candidate> {
        while let Some(candidate) = heap.pop() {
            if !self.zone_has_room(candidate.machine) {
                continue;
            }
            if self.is_current(&candidate) {
                return Some(candidate);
            }
            let free = self.free.get(&candidate.machine).copied();
            let free = free.unwrap_or(candidate.free);
            heap.extend(self.victim_candidate(candidate.machine, free));
        }
        None
    }

    /// The victims that make room for one task on a machine, and the cost.
    fn victim_candidate(&self, machine: usize, free: Resources) -> Option<Candidate> {
        let view = &self.state.machines[machine];
        let lost_s = |index: usize| {
            let task = &view.tasks[index];
            let ran_s = |since_s: f64| (self.state.now_s - since_s).max(0.0);
            task.stop_cost_s + task.running_since_s.map_or(0.0, ran_s)
        };
        let mut possible: Vec<usize> = (0..view.tasks.len())
            .filter(|index| {
                let task = (machine, *index);
                !self.taken.contains(&task)
                    && self.state.may_stop(task, self.job, self.within_guarantee)
            })
            .collect();
        possible.sort_by(|a, b| {
            let priorities = view.tasks[*a].priority.cmp(&view.tasks[*b].priority);
            priorities.then(lost_s(*a).total_cmp(&lost_s(*b)))
        });
        let mut room = free;
        let mut victims = Vec::new();
        for index in possible {
            if room.fits(self.demand) {
                break;
            }
            room.add(view.tasks[index].resources);
            victims.push(index);
        }
        if !room.fits(self.demand) {
            return None;
        }
        // What stopping wastes counts by the share of the machine.
        let waste_s = |index: &usize| {
            let share = view.tasks[*index].resources.share_of(view.total);
            (lost_s(*index) + 1.0) * share
        };
        let cost_s = victims.iter().map(waste_s).sum::<f64>()
            + self.state.cost_s(machine, self.job, room, false);
        Some(Candidate {
            cost_s,
            machine,
            free,
            victims,
        })
    }

    /// Gives a task its place, and puts the machine back with what room is left.
    fn take(
        &mut self,
        task: u32,
        candidate: Candidate,
        found: &mut Assignment,
        free_heap: &mut BinaryHeap<Candidate>,
        victim_heap: &mut Option<BinaryHeap<Candidate>>,
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
            free_heap.push(self.free_candidate(machine, free, true));
        } else if let Some(heap) = victim_heap {
            heap.extend(self.victim_candidate(machine, free));
        }
        *self.zones.entry(view.zone.clone()).or_insert(0) += 1;
        found.tasks.push((task, machine));
    }
}
