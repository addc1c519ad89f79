//! Which tasks a preemptor may preempt on a machine, and which of them cost the least.

use std::collections::HashSet;

use super::preemptor::Preemptor;
use crate::plan::fleet::{Fleet, FleetView, TaskIndex};
use crate::plan::resources::Resources;
use crate::plan::snapshot::MachineView;

/// The victims that make capacity for one more task on a machine.
#[derive(Debug)]
pub(in crate::plan) struct VictimChoice {
    /// What their preemption wastes and what is left over, in seconds; fetches aside.
    pub cost_s: f64,
    /// Their indexes on the machine; empty if the task fits without.
    pub victims: Vec<usize>,
}

/// Victims with the capacity of their machine once they are stopped.
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

    /// How many tasks of the preemptor a machine would hold if all that it may preempt there
    /// were stopped.
    pub(crate) fn tasks_if_preempted(&self, machine: usize) -> u32 {
        self.fleet.note_examined();
        let preemptor = self.preemptor;
        let mut capacity = self
            .view
            .free_for(machine, &preemptor.job, preemptor.spec.priority);
        if !self.has_no_victims(machine) {
            let tasks = &self.fleet.machine(machine).tasks;
            for (task, view) in tasks.iter().enumerate() {
                if self.may_preempt(TaskIndex { machine, task }) {
                    capacity.add(view.resources);
                }
            }
        }
        capacity.count_of(Resources::of(&preemptor.spec))
    }

    /// The victims that make capacity for one more task on a machine with this free capacity,
    /// and what that costs; `None` if no victims make enough. `already_chosen`: victims
    /// that the same search has chosen for other tasks.
    pub(crate) fn choose(
        &self,
        machine: usize,
        free: Resources,
        already_chosen: &HashSet<TaskIndex>,
    ) -> Option<VictimChoice> {
        self.fleet.note_examined();
        let demand = Resources::of(&self.preemptor.spec);
        if !free.fits(demand) && self.has_no_victims(machine) {
            return None;
        }
        let view = self.fleet.machine(machine);
        let chosen = self.cheapest_victims(machine, free, already_chosen)?;
        let wasted_s = self.weighted_waste_s(view, &chosen.victims);
        let spec = &self.preemptor.spec;
        let placement_cost_s = self
            .fleet
            .costs
            .placement_cost_s(view, spec, chosen.capacity);
        Some(VictimChoice {
            cost_s: wasted_s + placement_cost_s,
            victims: chosen.victims,
        })
    }

    /// Takes victims in their order until the demand fits.
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
        for index in self.possible_victims(machine, already_chosen) {
            chosen.capacity.add(view.tasks[index].resources);
            chosen.victims.push(index);
            if chosen.capacity.fits(demand) {
                return Some(chosen);
            }
        }
        None
    }

    /// The tasks on a machine that may be preempted, by priority and then by what is wasted.
    fn possible_victims(&self, machine: usize, already_chosen: &HashSet<TaskIndex>) -> Vec<usize> {
        let tasks = &self.fleet.machine(machine).tasks;
        let mut possible: Vec<usize> = (0..tasks.len())
            .filter(|task| {
                let task = TaskIndex {
                    machine,
                    task: *task,
                };
                !already_chosen.contains(&task) && self.may_preempt(task)
            })
            .collect();
        let waste_s = |index: usize| self.fleet.costs.preemption_waste_s(&tasks[index]);
        possible.sort_by(|a, b| {
            let priorities = tasks[*a].priority.cmp(&tasks[*b].priority);
            priorities.then_with(|| waste_s(*a).total_cmp(&waste_s(*b)))
        });
        possible
    }

    /// What preempting the victims wastes, weighted by the share of the machine that each uses.
    fn weighted_waste_s(&self, view: &MachineView, victims: &[usize]) -> f64 {
        let weighted_waste_s = |index: &usize| {
            let task = &view.tasks[*index];
            let share = task.resources.share_of(view.total);
            (self.fleet.costs.preemption_waste_s(task) + 1.0) * share
        };
        victims.iter().map(weighted_waste_s).sum::<f64>()
    }

    /// Whether a task may be preempted: it has a lower priority, or it runs on capacity that
    /// its team borrows from the preemptor's.
    fn may_preempt(&self, task: TaskIndex) -> bool {
        let view = &self.fleet.machine(task.machine).tasks[task.task];
        let preemptor = self.preemptor;
        let is_borrowing =
            || *view.team != *preemptor.spec.team && self.fleet.quotas.borrows_quota(&view.team);
        view.stoppable
            && view.job != preemptor.job
            && (view.priority < preemptor.spec.priority
                || (preemptor.is_within_nominal_quota && is_borrowing()))
            && !self.view.is_victim(task)
    }

    /// Whether nothing on a machine may be preempted; quick to see.
    fn has_no_victims(&self, machine: usize) -> bool {
        let lowest = self.fleet.machine(machine).lowest_priority;
        let none_lower = lowest.is_none_or(|lowest| lowest >= self.preemptor.spec.priority);
        !self.preemptor.is_within_nominal_quota && none_lower
    }
}
