//! Which tasks a preemptor may preempt on a machine, and which victims have the lowest cost.

use std::collections::HashSet;

use super::preemptor::Preemptor;
use crate::plan::fleet::{Fleet, FleetView, TaskIndex};
use crate::plan::resources::Resources;
use crate::plan::snapshot::MachineView;

/// The victims whose preemption frees capacity for one more task on a machine.
#[derive(Debug)]
pub(in crate::plan) struct VictimChoice {
    /// The cost of preempting the victims and of the placement, without image fetches.
    pub cost_s: f64,
    /// The victims' indexes among the tasks of the machine; empty if the task fits without
    /// preemption.
    pub victims: Vec<usize>,
}

/// Victims and the free capacity of their machine once they are stopped.
struct VictimSet {
    victims: Vec<usize>,
    capacity: Resources,
}

/// Selects victims for one preemptor.
#[derive(Clone, Copy)]
pub(in crate::plan) struct VictimSelector<'a> {
    view: FleetView<'a>,
    fleet: &'a Fleet,
    preemptor: &'a Preemptor,
}

impl<'a> VictimSelector<'a> {
    /// A selector for a preemptor in a view of the fleet.
    pub(crate) fn new(view: FleetView<'a>, preemptor: &'a Preemptor) -> VictimSelector<'a> {
        VictimSelector {
            view,
            fleet: view.fleet,
            preemptor,
        }
    }

    /// How many tasks of the preemptor a machine would hold if every task that it may preempt
    /// there were stopped.
    pub(crate) fn tasks_if_preempted(&self, machine: usize) -> u32 {
        self.fleet.count_examined_machine();
        let preemptor = self.preemptor;
        let mut capacity = self
            .view
            .free_for(machine, &preemptor.job, preemptor.precedence);
        if !self.has_no_victims(machine) {
            let tasks = &self.fleet.machine(machine).tasks;
            for (task, view) in tasks.iter().enumerate() {
                if self.may_preempt(TaskIndex { machine, task }) {
                    capacity.add(view.resources);
                }
            }
        }
        capacity.max_task_count(Resources::of(&preemptor.spec))
    }

    /// Chooses the victims that free capacity for one more task on a machine with this free
    /// capacity; `None` if preemption cannot free enough. `already_chosen`: victims that the same
    /// search has chosen for other tasks.
    pub(crate) fn choose(
        &self,
        machine: usize,
        free: Resources,
        already_chosen: &HashSet<TaskIndex>,
    ) -> Option<VictimChoice> {
        self.fleet.count_examined_machine();
        let demand = Resources::of(&self.preemptor.spec);
        if !free.fits(demand) && self.has_no_victims(machine) {
            return None;
        }
        let view = self.fleet.machine(machine);
        let chosen = self.cheapest_victims(machine, free, already_chosen)?;
        let preemption_cost_s = self.weighted_preemption_cost_s(view, &chosen.victims);
        let spec = &self.preemptor.spec;
        let placement_cost_s = self
            .fleet
            .costs
            .placement_cost_s(view, spec, chosen.capacity);
        Some(VictimChoice {
            cost_s: preemption_cost_s + placement_cost_s,
            victims: chosen.victims,
        })
    }

    /// Adds eligible victims, the cheapest first, until the demand fits.
    fn cheapest_victims(
        &self,
        machine: usize,
        free: Resources,
        already_chosen: &HashSet<TaskIndex>,
    ) -> Option<VictimSet> {
        let demand = Resources::of(&self.preemptor.spec);
        let mut chosen = VictimSet {
            victims: Vec::new(),
            capacity: free,
        };
        if free.fits(demand) {
            return Some(chosen);
        }
        let view = self.fleet.machine(machine);
        for index in self.eligible_victims(machine, already_chosen) {
            chosen.capacity.add(view.tasks[index].resources);
            chosen.victims.push(index);
            if chosen.capacity.fits(demand) {
                return Some(chosen);
            }
        }
        None
    }

    /// The tasks on a machine that may be preempted, by priority and then by lost work.
    fn eligible_victims(&self, machine: usize, already_chosen: &HashSet<TaskIndex>) -> Vec<usize> {
        let tasks = &self.fleet.machine(machine).tasks;
        let mut eligible: Vec<usize> = (0..tasks.len())
            .filter(|task| {
                let task = TaskIndex {
                    machine,
                    task: *task,
                };
                !already_chosen.contains(&task) && self.may_preempt(task)
            })
            .collect();
        let cost_s = |index: usize| self.fleet.costs.preemption_cost_s(&tasks[index]);
        eligible.sort_by(|a, b| {
            let priorities = tasks[*a].priority.cmp(&tasks[*b].priority);
            priorities.then_with(|| cost_s(*a).total_cmp(&cost_s(*b)))
        });
        eligible
    }

    /// The cost of preempting the victims in seconds, weighted by the share of the machine that
    /// each uses.
    fn weighted_preemption_cost_s(&self, view: &MachineView, victims: &[usize]) -> f64 {
        let weighted_preemption_cost_s = |index: &usize| {
            let task = &view.tasks[*index];
            let share = task.resources.share_of(view.total);
            (self.fleet.costs.preemption_cost_s(task) + 1.0) * share
        };
        victims.iter().map(weighted_preemption_cost_s).sum::<f64>()
    }

    /// Whether a task may be preempted: it has a lower precedence, and also a lower priority unless
    /// its team borrows quota. So work within a nominal quota is preempted only for such work of a
    /// higher priority.
    fn may_preempt(&self, task: TaskIndex) -> bool {
        let view = &self.fleet.machine(task.machine).tasks[task.task];
        let preemptor = self.preemptor;
        let quotas = &self.fleet.quotas;
        let has_lower_precedence =
            || quotas.precedence(&view.team, view.priority) < preemptor.precedence;
        let is_borrowing = || quotas.borrows_quota(&view.team);
        view.preemptable
            && has_lower_precedence()
            && (view.priority < preemptor.precedence.priority || is_borrowing())
            && !self.view.is_victim(task)
    }

    /// A cheap check whether no task on a machine may be preempted. May return false even if none
    /// may.
    fn has_no_victims(&self, machine: usize) -> bool {
        let lowest = self.fleet.machine(machine).lowest_preemptable_priority;
        let precedence = self.preemptor.precedence;
        let none_lower = lowest.is_none_or(|lowest| lowest >= precedence.priority);
        !precedence.is_within_nominal_quota && none_lower
    }
}
