//! The snapshot with what the cycle has decided so far.

use std::cell::Cell;
use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::Arc;

use super::capacity_tracker::CapacityTracker;
use super::decision::{Decision, PlannedPlacement, PlannedReservation, PlannedStop, UnmetDemand};
use super::image_map::{ImageMachines, ImageMap};
use super::resources::Resources;
use super::search::{Assignment, SearchMode};
use super::snapshot::{JobView, MachineView, Reservation, Snapshot, TeamView};
use crate::job::Priority;

/// A task by the index of its machine and its index there.
pub(super) type TaskIndex = (usize, usize);

/// The snapshot with what the cycle has decided so far. Machines go by their index.
pub(super) struct CycleState {
    pub machines: Vec<Arc<MachineView>>,
    pub teams: HashMap<String, TeamView>,
    pub now_s: f64,
    pub on_demand_penalty_s: f64,
    pub free: Vec<Resources>,
    reservations: Vec<Vec<Reservation>>,
    /// Jobs with reservations, and the machines of these.
    reservation_holders: HashMap<Arc<str>, Vec<usize>>,
    /// Victims chosen in this cycle, by machine: no job sees them again.
    victims: Vec<Vec<usize>>,
    /// Capacity that gangs without a place would use, by machine. It is free for whoever can
    /// start now, but counts only once when asking what is missing.
    earmarked: Vec<Resources>,
    /// Tasks that would make capacity for those gangs, by machine.
    prospective_victims: Vec<Vec<usize>>,
    /// The search is for what is missing.
    is_counting_unmet: bool,
    /// One machine of each kind: machines of a kind are alike to a job's demands.
    pub kinds: Vec<usize>,
    /// What a machine of each kind has.
    pub kind_totals: Vec<Resources>,
    /// Each machine's kind.
    pub kind_of: Vec<usize>,
    /// No job of the queue asks for less of anything: capacity only shrinks within a cycle, so
    /// machines without capacity for it can't take a task as they are.
    smallest_demand: Resources,
    /// Who has or fetches which image.
    images: ImageMap,
    /// How often a machine was looked at for a job.
    pub machines_examined: Cell<u64>,
    /// Capacity as it is.
    capacity: CapacityTracker,
    /// Capacity less what is promised, once somebody asked what is missing.
    unearmarked_capacity: Option<CapacityTracker>,
}

impl CycleState {
    /// `smallest_demand`: no job of the queue asks for less of anything.
    pub fn new(snapshot: Snapshot, smallest_demand: Resources) -> CycleState {
        let machines = snapshot.machines;
        let (kinds, kind_of) = group_by_kind(&machines);
        let mut reservation_holders: HashMap<Arc<str>, Vec<usize>> = HashMap::new();
        for (index, machine) in machines.iter().enumerate() {
            for held in &machine.reservations {
                reservation_holders
                    .entry(held.job.clone())
                    .or_default()
                    .push(index);
            }
        }
        let reservations = machines.iter().map(|machine| machine.reservations.clone());
        let mut state = CycleState {
            free: machines.iter().map(|machine| machine.free).collect(),
            reservations: reservations.collect(),
            reservation_holders,
            victims: vec![vec![]; machines.len()],
            earmarked: vec![Resources::default(); machines.len()],
            prospective_victims: vec![vec![]; machines.len()],
            is_counting_unmet: false,
            kind_totals: kinds.iter().map(|kind| machines[*kind].total).collect(),
            machines,
            teams: snapshot.teams,
            now_s: snapshot.now_s,
            on_demand_penalty_s: snapshot.on_demand_penalty_s,
            kinds,
            kind_of,
            smallest_demand,
            images: ImageMap::default(),
            machines_examined: Cell::new(0),
            capacity: CapacityTracker::default(),
            unearmarked_capacity: None,
        };
        state.capacity = CapacityTracker::new(&state);
        state
    }

    /// A machine is looked at for a job.
    pub fn note_examined(&self) {
        self.machines_examined.set(self.machines_examined.get() + 1);
    }

    /// Whether a team's unfinished work fits into its nominal quota.
    pub fn is_within_nominal_quota(&self, team: &str) -> bool {
        self.teams
            .get(team)
            .is_some_and(TeamView::is_within_nominal_quota)
    }

    /// How many more tasks a job's team may have.
    pub fn allowed_tasks(&self, job: &JobView) -> usize {
        let team = self.teams.get(&job.spec.team);
        let demand = Resources::of(&job.spec);
        team.map_or(0, |team| team.allowed_tasks(demand)) as usize
    }

    /// Counts tasks as in use by the job's team.
    pub fn charge_team(&mut self, job: &JobView, count: usize) {
        if let Some(team) = self.teams.get_mut(&job.spec.team) {
            team.add_tasks(Resources::of(&job.spec), count);
        }
    }

    /// Whether capacity is held for a job.
    pub fn has_reservation(&self, job: &JobView) -> bool {
        self.reservation_holders.contains_key(&job.id)
    }

    /// Capacity for a job: what is held for others is not, unless it is more urgent.
    pub fn free_for(&self, machine: usize, job: &Arc<str>, priority: Priority) -> Resources {
        self.free_beside(machine, |held| {
            held.job != *job && held.priority >= priority
        })
    }

    /// Capacity for a job of a priority that holds none on the machine.
    pub fn free_for_priority(&self, machine: usize, priority: Priority) -> Resources {
        self.free_beside(machine, |held| held.priority >= priority)
    }

    /// The capacity beside all that is held, if it is enough for the smallest demand.
    pub fn unreserved_capacity(&self, machine: usize) -> Option<Resources> {
        let free = self.free_beside(machine, |_| true);
        free.fits(self.smallest_demand).then_some(free)
    }

    fn free_beside(&self, machine: usize, counts: impl Fn(&Reservation) -> bool) -> Resources {
        let mut free = self.free[machine];
        for held in &self.reservations[machine] {
            if counts(held) {
                free.sub(held.resources);
            }
        }
        if self.is_counting_unmet {
            free.sub(self.earmarked[machine]);
        }
        free
    }

    /// The capacity that is held on a machine.
    pub fn reservations_on(&self, machine: usize) -> &[Reservation] {
        &self.reservations[machine]
    }

    /// The machines with capacity that is held for a job.
    pub fn machines_held_for(&self, job: &JobView) -> &[usize] {
        self.reservation_holders
            .get(&job.id)
            .map_or(&[], Vec::as_slice)
    }

    /// Makes sure that it is known who has an image.
    pub fn prepare_image(&mut self, image: &str) {
        self.images.prepare(image, &self.machines);
    }

    /// Machines that have or fetch an image, once prepared.
    pub fn machines_with_image(&self, image: &str) -> &[usize] {
        self.images.get(image).map_or(&[], ImageMachines::machines)
    }

    /// Who has or fetches an image, once prepared.
    pub fn image_machines(&self, image: &str) -> Option<&ImageMachines> {
        self.images.get(image)
    }

    /// The capacity that a search goes by.
    pub fn capacity(&self) -> &CapacityTracker {
        let unearmarked = self.unearmarked_capacity.as_ref();
        let unearmarked = unearmarked.filter(|_| self.is_counting_unmet);
        unearmarked.unwrap_or(&self.capacity)
    }

    /// Makes sure that the capacity that a search goes by is known.
    pub fn ensure_capacity(&mut self) {
        if self.is_counting_unmet && self.unearmarked_capacity.is_none() {
            self.unearmarked_capacity = Some(CapacityTracker::new(self));
        }
    }

    /// Prepares the capacity that a search goes by.
    pub fn prepare_capacity(&mut self, prepare: impl FnOnce(&mut CapacityTracker, &CycleState)) {
        self.ensure_capacity();
        let mut tracker = if self.is_counting_unmet {
            self.unearmarked_capacity.take().unwrap_or_default()
        } else {
            std::mem::take(&mut self.capacity)
        };
        prepare(&mut tracker, self);
        if self.is_counting_unmet {
            self.unearmarked_capacity = Some(tracker);
        } else {
            self.capacity = tracker;
        }
    }

    /// Something about these machines has changed.
    fn update_capacity(&mut self, machines: &BTreeSet<usize>) {
        let update = |tracker: &mut CapacityTracker, state: &CycleState| {
            for machine in machines {
                tracker.update(state, *machine);
            }
        };
        self.prepare_capacity(update);
        if self.unearmarked_capacity.is_some() && !self.is_counting_unmet {
            self.is_counting_unmet = true;
            self.prepare_capacity(update);
            self.is_counting_unmet = false;
        }
    }

    /// Whether a task is to be stopped for another job already.
    pub fn is_victim(&self, task: TaskIndex) -> bool {
        let (machine, index) = task;
        self.victims[machine].contains(&index)
            || (self.is_counting_unmet && self.prospective_victims[machine].contains(&index))
    }

    /// Takes the capacity of an assignment, in place of what was held for the job.
    fn apply(&mut self, job: &JobView, assignment: &Assignment) {
        let demand = Resources::of(&job.spec);
        let mut changed = BTreeSet::new();
        for (_, machine) in &assignment.tasks {
            self.free[*machine].sub(demand);
            changed.insert(*machine);
        }
        self.charge_team(job, assignment.tasks.len());
        for machine in self.reservation_holders.remove(&job.id).unwrap_or_default() {
            self.reservations[machine].retain(|held| held.job != job.id);
            changed.insert(machine);
        }
        self.update_capacity(&changed);
    }

    /// Gives tasks of a job their places; those without one move to the end of `pending`.
    /// Returns how many have one.
    pub fn place(
        &mut self,
        job: &JobView,
        assignment: &Assignment,
        pending: &mut [u32],
        decision: &mut Decision,
    ) -> usize {
        if assignment.tasks.is_empty() {
            return 0;
        }
        let placed: HashSet<u32> = assignment.tasks.iter().map(|(task, _)| *task).collect();
        pending.sort_by_key(|task| !placed.contains(task));
        self.apply(job, assignment);
        let name = |machine: usize| self.machines[machine].name.clone();
        let tasks = assignment
            .tasks
            .iter()
            .map(|(task, machine)| (*task, name(*machine)));
        // One record holds all places that a plan gives a job.
        let earlier = decision.placements.iter_mut().find(|p| p.job == job.id);
        match earlier {
            Some(placement) => placement.tasks.extend(tasks),
            None => decision.placements.push(PlannedPlacement {
                job: job.id.clone(),
                tasks: tasks.collect(),
            }),
        }
        assignment.tasks.len()
    }

    /// Chooses the victims of an assignment and holds capacity for the job's tasks.
    pub fn preempt(&mut self, job: &JobView, assignment: &Assignment, decision: &mut Decision) {
        let mut changed = BTreeSet::new();
        for (machine, index) in &assignment.victims {
            self.victims[*machine].push(*index);
            changed.insert(*machine);
            let view = &self.machines[*machine];
            let victim = &view.tasks[*index];
            decision.stops.push(PlannedStop {
                job: victim.job.clone(),
                task: victim.task,
                machine: view.name.clone(),
                preemptor: job.id.clone(),
            });
        }
        let resources = Resources::of(&job.spec);
        for (_, machine) in &assignment.tasks {
            self.reservations[*machine].push(Reservation {
                job: job.id.clone(),
                resources,
                priority: job.spec.priority,
            });
            decision.reservations.push(PlannedReservation {
                job: job.id.clone(),
                machine: self.machines[*machine].name.clone(),
                resources,
            });
            changed.insert(*machine);
        }
        self.update_capacity(&changed);
    }

    /// What a gang lacks: part of it may have capacity already, which then is not there for
    /// the next one that asks.
    pub fn unmet_demand(&mut self, job: &JobView) -> UnmetDemand {
        let mut unmet = UnmetDemand {
            job: job.id.clone(),
            count: job.pending.len() as u32,
            zones: job.zones.clone(),
            machines: vec![],
        };
        let Some(assignment) = self.search_unmet(job) else {
            return unmet;
        };
        unmet.count -= assignment.tasks.len() as u32;
        for (machine, index) in &assignment.victims {
            let freed = self.machines[*machine].tasks[*index].resources;
            self.earmarked[*machine].sub(freed);
            self.prospective_victims[*machine].push(*index);
        }
        let with_victims = assignment.victims.iter().map(|(machine, _)| *machine);
        let with_tasks = assignment.tasks.iter().map(|(_, machine)| *machine);
        let changed: BTreeSet<usize> = with_victims.chain(with_tasks).collect();
        let demand = Resources::of(&job.spec);
        for (_, machine) in &assignment.tasks {
            let view = &self.machines[*machine];
            *unmet.zones.entry(view.zone.clone()).or_insert(0) += 1;
            unmet.machines.push(view.name.clone());
            self.earmarked[*machine].add(demand);
        }
        self.is_counting_unmet = true;
        self.update_capacity(&changed);
        self.is_counting_unmet = false;
        unmet
    }

    fn search_unmet(&mut self, job: &JobView) -> Option<Assignment> {
        self.is_counting_unmet = true;
        let mut found = self.search(job, &job.pending, SearchMode::Free, 0);
        let short = |found: &Assignment| found.tasks.len() < job.pending.len();
        if job.incomplete && found.as_ref().is_none_or(short) {
            found = self.search(job, &job.pending, SearchMode::WithVictims, 0);
        }
        self.is_counting_unmet = false;
        found
    }
}

/// One machine of each kind, and each machine's kind.
fn group_by_kind(machines: &[Arc<MachineView>]) -> (Vec<usize>, Vec<usize>) {
    // Their names are mostly shared, which is quick to see.
    let same = |a: &Arc<str>, b: &Arc<str>| Arc::ptr_eq(a, b) || a == b;
    let mut kinds: Vec<usize> = Vec::new();
    let mut kind_of = Vec::with_capacity(machines.len());
    for (index, machine) in machines.iter().enumerate() {
        let known = kinds.iter().position(|kind| {
            let other = &machines[*kind];
            other.spot == machine.spot
                && other.total == machine.total
                && same(&other.machine_type, &machine.machine_type)
                && same(&other.zone, &machine.zone)
        });
        kind_of.push(known.unwrap_or_else(|| {
            kinds.push(index);
            kinds.len() - 1
        }));
    }
    (kinds, kind_of)
}
