//! Capacity that is spoken for in the calculation of unmet demand.

use super::TaskIndex;
use crate::plan::resources::Resources;

/// The capacity that gangs without a placement would use.
///
/// It stays free for any job that can start now. Only the calculation of unmet demand goes by
/// it, so that no two gangs count on the same capacity.
pub(in crate::plan) struct Earmarks {
    /// Earmarked capacity by machine, less what prospective victims would free.
    capacity: Vec<Resources>,
    /// Tasks that would be preempted for those gangs, by machine.
    prospective_victims: Vec<Vec<usize>>,
}

impl Earmarks {
    /// No earmarks on any machine.
    pub(crate) fn new(machine_count: usize) -> Earmarks {
        Earmarks {
            capacity: vec![Resources::default(); machine_count],
            prospective_victims: vec![vec![]; machine_count],
        }
    }

    /// The capacity that is earmarked on a machine.
    pub(crate) fn capacity_on(&self, machine: usize) -> Resources {
        self.capacity[machine]
    }

    /// Whether a task would be preempted for one of the gangs.
    pub(crate) fn is_prospective_victim(&self, task: TaskIndex) -> bool {
        self.prospective_victims[task.machine].contains(&task.task)
    }

    /// Earmarks capacity for a task.
    pub(crate) fn add_task(&mut self, machine: usize, demand: Resources) {
        self.capacity[machine].add(demand);
    }

    /// Notes a prospective victim and the capacity that it would free.
    pub(crate) fn add_victim(&mut self, victim: TaskIndex, freed: Resources) {
        self.capacity[victim.machine].sub(freed);
        self.prospective_victims[victim.machine].push(victim.task);
    }
}
