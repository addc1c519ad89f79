//! The assignments of a search so far.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use super::candidate::Candidate;
use super::request::{Assignment, TaskAssignment};
use crate::plan::fleet::TaskIndex;
use crate::plan::resources::Resources;
use crate::plan::snapshot::{tasks_per_zone_max, JobView, MachineView, ZoneCounts};

/// The tasks assigned so far, and the capacity that remains for the next.
pub(super) struct SearchProgress {
    /// The tasks and victims so far.
    pub assignment: Assignment,
    /// Free capacity of the machines with assigned tasks.
    free: HashMap<usize, Resources>,
    /// Victims chosen so far.
    chosen_victims: HashSet<TaskIndex>,
    zones: ZoneCounts,
    zone_max: u32,
}

impl SearchProgress {
    /// A search that has assigned nothing.
    pub(super) fn new(job: &JobView) -> SearchProgress {
        SearchProgress {
            assignment: Assignment::default(),
            free: HashMap::new(),
            chosen_victims: HashSet::new(),
            zones: job.zones.clone(),
            zone_max: tasks_per_zone_max(&job.spec),
        }
    }

    /// The free capacity of a machine with assigned tasks; `None` for others.
    pub(super) fn free_on(&self, machine: usize) -> Option<Resources> {
        self.free.get(&machine).copied()
    }

    /// The machines with assigned tasks, in no particular order.
    pub(super) fn machines(&self) -> impl Iterator<Item = usize> + '_ {
        self.free.keys().copied()
    }

    /// The victims chosen so far.
    pub(super) fn chosen_victims(&self) -> &HashSet<TaskIndex> {
        &self.chosen_victims
    }

    /// Whether the spread limit allows one more task in a zone.
    pub(super) fn zone_has_capacity(&self, zone: &Arc<str>) -> bool {
        self.zone_max == u32::MAX || self.zones.get(zone).copied().unwrap_or(0) < self.zone_max
    }

    /// Whether a candidate's machine was assigned no task since its cost was calculated.
    pub(super) fn is_current(&self, candidate: &Candidate) -> bool {
        let free = self.free.get(&candidate.machine);
        free.is_none_or(|free| *free == candidate.free)
    }

    /// Assigns a task to a candidate's machine, and returns the machine's remaining capacity.
    pub(super) fn assign(
        &mut self,
        task: u32,
        demand: Resources,
        candidate: Candidate,
        view: &MachineView,
    ) -> Resources {
        let machine = candidate.machine;
        let mut free = candidate.free;
        for index in candidate.victims {
            free.add(view.tasks[index].resources);
            let victim = TaskIndex {
                machine,
                task: index,
            };
            self.chosen_victims.insert(victim);
            self.assignment.victims.push(victim);
        }
        free.sub(demand);
        self.free.insert(machine, free);
        *self.zones.entry(view.zone.clone()).or_insert(0) += 1;
        self.assignment.tasks.push(TaskAssignment { task, machine });
        free
    }
}
