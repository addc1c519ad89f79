//! Which tasks would have to go to make capacity for a job, and what that costs.

use std::collections::{btree_set, BTreeSet, HashMap, HashSet};
use std::sync::Arc;

use super::cycle_state::{CycleState, TaskIndex};
use super::resources::Resources;
use super::snapshot::{JobView, TeamView};
use crate::job::JobSpec;

/// A job that may have others stopped.
#[derive(Debug, Clone)]
pub(super) struct Preemptor {
    pub job: Arc<str>,
    pub spec: Arc<JobSpec>,
    /// All unfinished work of its team fits into the nominal quota.
    pub is_within_nominal_quota: bool,
}

impl Preemptor {
    pub fn new(state: &CycleState, job: &JobView) -> Preemptor {
        Preemptor {
            job: job.id.clone(),
            spec: job.spec.clone(),
            is_within_nominal_quota: state.is_within_nominal_quota(&job.spec.team),
        }
    }

    /// Whether machines offer the same to both.
    fn is_like(&self, other: &Preemptor) -> bool {
        let alike = Resources::of(&self.spec) == Resources::of(&other.spec)
            && self.spec.priority == other.spec.priority
            && self.spec.spot == other.spec.spot;
        // What is borrowed from a nominal quota is the team's own matter.
        let same_quota = !self.is_within_nominal_quota || self.job == other.job;
        alike && self.is_within_nominal_quota == other.is_within_nominal_quota && same_quota
    }
}

/// The tasks that make capacity for one more task on a machine.
#[derive(Debug)]
pub(super) struct VictimChoice {
    /// What stopping them wastes and what is left over, in seconds; fetches aside.
    pub cost_s: f64,
    /// Their indexes on the machine.
    pub victims: Vec<usize>,
}

impl CycleState {
    /// Whether a task may be stopped to make capacity for a job: it has a lower priority, or
    /// it runs on capacity that its team borrows from the job's.
    pub fn may_preempt(&self, task: TaskIndex, preemptor: &Preemptor) -> bool {
        let view = &self.machines[task.0].tasks[task.1];
        let borrowed = || {
            let team = self.teams.get(&*view.team);
            *view.team != *preemptor.spec.team && team.is_some_and(TeamView::borrows_quota)
        };
        view.stoppable
            && view.job != preemptor.job
            && (view.priority < preemptor.spec.priority
                || (preemptor.is_within_nominal_quota && borrowed()))
            && !self.is_victim(task)
    }

    /// Whether nothing on a machine may be stopped for a job; quick to see.
    fn has_no_victims(&self, machine: usize, preemptor: &Preemptor) -> bool {
        let lowest = self.machines[machine].lowest_priority;
        let none_lower = lowest.is_none_or(|lowest| lowest >= preemptor.spec.priority);
        !preemptor.is_within_nominal_quota && none_lower
    }

    /// How many tasks of a job a machine would hold with all gone that may be stopped.
    pub fn tasks_if_preempted(&self, machine: usize, preemptor: &Preemptor) -> u32 {
        self.note_examined();
        let mut capacity = self.free_for(machine, &preemptor.job, preemptor.spec.priority);
        if !self.has_no_victims(machine, preemptor) {
            for (index, task) in self.machines[machine].tasks.iter().enumerate() {
                if self.may_preempt((machine, index), preemptor) {
                    capacity.add(task.resources);
                }
            }
        }
        capacity.count_of(Resources::of(&preemptor.spec))
    }

    /// The victims that make capacity for one task on a machine with this free capacity, and what
    /// that costs. `taken`: victims that the search has chosen already.
    pub fn choose_victims(
        &self,
        machine: usize,
        preemptor: &Preemptor,
        free: Resources,
        taken: &HashSet<TaskIndex>,
    ) -> Option<VictimChoice> {
        self.note_examined();
        let demand = Resources::of(&preemptor.spec);
        if !free.fits(demand) && self.has_no_victims(machine, preemptor) {
            return None;
        }
        let view = &self.machines[machine];
        let waste_s = |index: usize| {
            let task = &view.tasks[index];
            let ran_s = |since_s: f64| (self.now_s - since_s).max(0.0);
            task.stop_cost_s + task.running_since_s.map_or(0.0, ran_s)
        };
        let mut possible: Vec<usize> = (0..view.tasks.len())
            .filter(|index| {
                let task = (machine, *index);
                !taken.contains(&task) && self.may_preempt(task, preemptor)
            })
            .collect();
        possible.sort_by(|a, b| {
            let priorities = view.tasks[*a].priority.cmp(&view.tasks[*b].priority);
            priorities.then(waste_s(*a).total_cmp(&waste_s(*b)))
        });
        let mut capacity = free;
        let mut victims = Vec::new();
        for index in possible {
            if capacity.fits(demand) {
                break;
            }
            capacity.add(view.tasks[index].resources);
            victims.push(index);
        }
        if !capacity.fits(demand) {
            return None;
        }
        // What stopping wastes counts by the share of the machine.
        let weighted_waste_s = |index: &usize| {
            let share = view.tasks[*index].resources.share_of(view.total);
            (waste_s(*index) + 1.0) * share
        };
        let wasted_s = victims.iter().map(weighted_waste_s).sum::<f64>();
        Some(VictimChoice {
            cost_s: wasted_s + self.placement_cost_s(machine, &preemptor.spec, capacity),
            victims,
        })
    }
}

/// Costs, which are not negative, so that their bits are in the order of their values, with
/// machines.
type CandidateOrder = BTreeSet<(u64, usize)>;

/// What machines offer to jobs that may stop others: on which there would be capacity for one
/// more task, the cheapest first, fetches aside.
#[derive(Debug, Clone)]
pub(super) struct PreemptionCandidates {
    preemptor: Preemptor,
    ordered: CandidateOrder,
    /// Of these the ones that have an image, for the images that were asked for.
    by_image: HashMap<Arc<str>, CandidateOrder>,
    cost_of: HashMap<usize, u64>,
}

impl PreemptionCandidates {
    /// What all machines offer to those who hold no capacity there.
    pub fn new(state: &CycleState, preemptor: Preemptor) -> PreemptionCandidates {
        let mut candidates = PreemptionCandidates {
            preemptor,
            ordered: CandidateOrder::new(),
            by_image: HashMap::new(),
            cost_of: HashMap::new(),
        };
        for machine in 0..state.machines.len() {
            candidates.update(state, machine);
        }
        candidates
    }

    /// Whether they hold for another job, too.
    pub fn is_for(&self, preemptor: &Preemptor) -> bool {
        self.preemptor.is_like(preemptor)
    }

    /// Makes sure that the offers of machines with an image are known by themselves.
    pub fn prepare_image(&mut self, state: &CycleState, image: &str) {
        if self.by_image.contains_key(image) {
            return;
        }
        let machines = state.machines_with_image(image).iter();
        let candidate =
            machines.filter_map(|machine| Some((*self.cost_of.get(machine)?, *machine)));
        let candidate = candidate.collect();
        self.by_image.insert(image.into(), candidate);
    }

    /// Something about a machine has changed.
    pub fn update(&mut self, state: &CycleState, machine: usize) {
        let cost = self.cost_on(state, machine).map(|s| s.max(0.0).to_bits());
        let known = match cost {
            Some(cost) => self.cost_of.insert(machine, cost),
            None => self.cost_of.remove(&machine),
        };
        if known == cost {
            return;
        }
        let images = state.machines[machine].images.iter();
        let by_image = &mut self.by_image;
        let replace = |order: &mut CandidateOrder| {
            if let Some(known) = known {
                order.remove(&(known, machine));
            }
            order.extend(cost.map(|cost| (cost, machine)));
        };
        replace(&mut self.ordered);
        for image in images {
            if let Some(order) = by_image.get_mut(image) {
                replace(order);
            }
        }
    }

    fn cost_on(&self, state: &CycleState, machine: usize) -> Option<f64> {
        let preemptor = &self.preemptor;
        let free = state.free_for_priority(machine, preemptor.spec.priority);
        let choice = state.choose_victims(machine, preemptor, free, &HashSet::new())?;
        Some(choice.cost_s)
    }

    /// Machines with what a place costs on them, the cheapest first.
    pub fn iter(&self) -> CandidateIter<'_> {
        CandidateIter(self.ordered.iter())
    }

    /// The same for those that have an image, once prepared.
    pub fn iter_with_image(&self, image: &str) -> Option<CandidateIter<'_>> {
        let ordered = self.by_image.get(image)?;
        Some(CandidateIter(ordered.iter()))
    }
}

/// Preemption candidates, the cheapest first.
pub(super) struct CandidateIter<'a>(btree_set::Iter<'a, (u64, usize)>);

impl Iterator for CandidateIter<'_> {
    type Item = (f64, usize);

    fn next(&mut self) -> Option<(f64, usize)> {
        let (cost, machine) = self.0.next()?;
        Some((f64::from_bits(*cost), *machine))
    }
}
