//! Capacity that is earmarked while unmet demand is calculated.

use super::TaskIndex;
use crate::plan::resources::Resources;

/// The capacity that unplaced jobs would use.
///
/// Earmarked capacity stays free for any job that can start now. Only the calculation of unmet
/// demand respects earmarks, so that no two jobs count on the same capacity.
pub(in crate::plan) struct Earmarks {
    /// Earmarked capacity by machine, minus the capacity that prospective victims would free.
    capacity: Vec<Resources>,
    /// Tasks that would be preempted for those jobs, by machine.
    prospective_victims: Vec<Vec<usize>>,
}

impl Earmarks {
    /// Creates earmarks for `machine_count` machines, all empty.
    pub(crate) fn new(machine_count: usize) -> Earmarks {
        Earmarks {
            capacity: vec![Resources::default(); machine_count],
            prospective_victims: vec![vec![]; machine_count],
        }
    }

    /// The capacity earmarked on a machine; negative if prospective victims free more.
    pub(crate) fn capacity_on(&self, machine: usize) -> Resources {
        self.capacity[machine]
    }

    /// Whether a task would be preempted for one of the unplaced jobs.
    pub(crate) fn is_prospective_victim(&self, task: TaskIndex) -> bool {
        self.prospective_victims[task.machine].contains(&task.task)
    }

    /// Earmarks capacity for a task.
    pub(crate) fn add_task(&mut self, machine: usize, demand: Resources) {
        self.capacity[machine].add(demand);
    }

    /// Adds a prospective victim and the capacity that it would free.
    pub(crate) fn add_victim(&mut self, victim: TaskIndex, freed: Resources) {
        self.capacity[victim.machine].sub(freed);
        self.prospective_victims[victim.machine].push(victim.task);
    }
}
