//! The snapshot with what the cycle has decided so far.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use super::decision::{Decision, PlannedPlacement, PlannedReservation, PlannedStop, UnmetDemand};
use super::resources::Resources;
use super::search::{Assignment, SearchMode};
use super::snapshot::{JobView, MachineView, Reservation, Snapshot, TeamView};

/// A task by the index of its machine and its index there.
pub(super) type TaskIndex = (usize, usize);

/// The snapshot with what the cycle has decided so far. Machines go by their index.
pub(super) struct CycleState {
    pub machines: Vec<Arc<MachineView>>,
    pub teams: HashMap<String, TeamView>,
    pub now_s: f64,
    pub ordinary_penalty_s: f64,
    pub free: Vec<Resources>,
    reservations: Vec<Vec<Reservation>>,
    /// Jobs with reservations.
    holders: HashSet<Arc<str>>,
    /// Victims chosen in this cycle: no job sees them again.
    victims: HashSet<TaskIndex>,
    /// Room that gangs without a place would use, by machine. It is free for whoever can
    /// start now, but counts only once when asking what is missing.
    promised: HashMap<usize, Resources>,
    /// Tasks that would make room for those gangs.
    prospective_victims: HashSet<TaskIndex>,
    /// The search is for what is missing.
    counting_missing: bool,
    /// One machine of each kind: machines of a kind are alike to a job's demands.
    pub kinds: Vec<usize>,
    /// Each machine's kind.
    pub kind_of: Vec<usize>,
    /// Machines with room for the smallest demand in the queue: on a full fleet few. Room
    /// only shrinks within a cycle, so no other can take a task as it is.
    open: Vec<usize>,
}

impl CycleState {
    /// `smallest_demand`: no job of the queue asks for less of anything.
    pub fn new(snapshot: Snapshot, smallest_demand: Resources) -> CycleState {
        let machines = snapshot.machines;
        let (kinds, kind_of) = group_by_kind(&machines);
        let reservations = machines.iter().flat_map(|machine| &machine.reservations);
        CycleState {
            free: machines.iter().map(|machine| machine.free).collect(),
            open: (0..machines.len())
                .filter(|index| machines[*index].free.fits(smallest_demand))
                .collect(),
            holders: reservations.map(|held| held.job.clone()).collect(),
            reservations: machines
                .iter()
                .map(|machine| machine.reservations.clone())
                .collect(),
            victims: HashSet::new(),
            promised: HashMap::new(),
            prospective_victims: HashSet::new(),
            counting_missing: false,
            machines,
            teams: snapshot.teams,
            now_s: snapshot.now_s,
            ordinary_penalty_s: snapshot.ordinary_penalty_s,
            kinds,
            kind_of,
        }
    }

    /// Whether a team's unfinished work fits into its guarantee.
    pub fn within_guarantee(&self, team: &str) -> bool {
        self.teams.get(team).is_some_and(TeamView::within_guarantee)
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

    /// Whether room is held for a job.
    pub fn holds_room(&self, job: &JobView) -> bool {
        self.holders.contains(&job.id)
    }

    /// Room for a job: what is held for others is not, unless it is more urgent.
    pub fn free_for(&self, machine: usize, job: &JobView) -> Resources {
        let mut free = self.free[machine];
        for held in &self.reservations[machine] {
            if held.job != job.id && held.priority >= job.spec.priority {
                free.sub(held.resources);
            }
        }
        let promised = self.promised.get(&machine);
        if let Some(promised) = promised.filter(|_| self.counting_missing) {
            free.sub(*promised);
        }
        free
    }

    /// The machines that a search has to look at.
    pub fn candidates(&self, mode: SearchMode) -> Vec<usize> {
        if mode == SearchMode::WithVictims {
            return (0..self.machines.len()).collect();
        }
        let mut candidates = self.open.clone();
        if self.counting_missing {
            // Victims of others may have made room.
            candidates.extend(self.promised.keys());
            candidates.sort_unstable();
            candidates.dedup();
        }
        candidates
    }

    /// Whether a job's image is on a machine, or being fetched.
    pub fn has_image(&self, machine: usize, job: &JobView) -> bool {
        let images = &self.machines[machine].images;
        images.iter().any(|image| **image == *job.spec.image)
    }

    /// Whether a task may be stopped to make room for a job: it has a lower priority, or
    /// it runs on room that its team borrows from the job's.
    pub fn may_stop(&self, task: TaskIndex, job: &JobView, within_guarantee: bool) -> bool {
        let view = &self.machines[task.0].tasks[task.1];
        let taken = self.victims.contains(&task)
            || (self.counting_missing && self.prospective_victims.contains(&task));
        let borrowed = || {
            let team = self.teams.get(&*view.team);
            *view.team != *job.spec.team && team.is_some_and(TeamView::borrows)
        };
        view.stoppable
            && view.job != job.id
            && !taken
            && (view.priority < job.spec.priority || (within_guarantee && borrowed()))
    }

    /// The room there would be with all that may be stopped.
    pub fn most_room(
        &self,
        machine: usize,
        job: &JobView,
        free: Resources,
        within_guarantee: bool,
    ) -> Resources {
        let view = &self.machines[machine];
        let mut room = free;
        let lowest = view.lowest_priority;
        if !within_guarantee && lowest.is_none_or(|lowest| lowest >= job.spec.priority) {
            return room;
        }
        for (index, task) in view.tasks.iter().enumerate() {
            if self.may_stop((machine, index), job, within_guarantee) {
                room.add(task.resources);
            }
        }
        room
    }

    /// Takes the room of an assignment, in place of what was held for the job.
    fn apply(&mut self, job: &JobView, assignment: &Assignment) {
        let demand = Resources::of(&job.spec);
        for (_, machine) in &assignment.tasks {
            self.free[*machine].sub(demand);
        }
        self.charge_team(job, assignment.tasks.len());
        if self.holders.remove(&job.id) {
            for reservations in &mut self.reservations {
                reservations.retain(|held| held.job != job.id);
            }
        }
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

    /// Chooses the victims of an assignment and holds room for the job's tasks.
    pub fn preempt(&mut self, job: &JobView, assignment: &Assignment, decision: &mut Decision) {
        for (machine, index) in &assignment.victims {
            self.victims.insert((*machine, *index));
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
        }
    }

    /// What a gang lacks: part of it may have room already, which then is not there for
    /// the next one that asks.
    pub fn missing(&mut self, job: &JobView) -> UnmetDemand {
        let mut unmet = UnmetDemand {
            job: job.id.clone(),
            count: job.pending.len() as u32,
            zones: job.zones.clone(),
            machines: vec![],
        };
        let Some(assignment) = self.search_missing(job) else {
            return unmet;
        };
        unmet.count -= assignment.tasks.len() as u32;
        for (machine, index) in &assignment.victims {
            let freed = self.machines[*machine].tasks[*index].resources;
            self.promised.entry(*machine).or_default().sub(freed);
            self.prospective_victims.insert((*machine, *index));
        }
        let demand = Resources::of(&job.spec);
        for (_, machine) in &assignment.tasks {
            let view = &self.machines[*machine];
            *unmet.zones.entry(view.zone.clone()).or_insert(0) += 1;
            unmet.machines.push(view.name.clone());
            self.promised.entry(*machine).or_default().add(demand);
        }
        unmet
    }

    fn search_missing(&mut self, job: &JobView) -> Option<Assignment> {
        self.counting_missing = true;
        let mut found = self.search(job, &job.pending, SearchMode::Free, 0);
        let short = |found: &Assignment| found.tasks.len() < job.pending.len();
        if job.incomplete && found.as_ref().is_none_or(short) {
            found = self.search(job, &job.pending, SearchMode::WithVictims, 0);
        }
        self.counting_missing = false;
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
