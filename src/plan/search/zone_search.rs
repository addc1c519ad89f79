//! The search for machines for one job in one zone, or in all.

use super::candidate::Candidate;
use super::free_machines::FreeMachines;
use super::preemptable_machines::PreemptableMachines;
use super::progress::SearchProgress;
use super::request::{Assignment, SearchMode};
use super::scope::SearchScope;

/// A search in progress. Machines with free capacity are used first; others only if preemption
/// is allowed.
pub(super) struct ZoneSearch<'s, 'a> {
    scope: &'s SearchScope<'a>,
    progress: SearchProgress,
    free_machines: FreeMachines<'s, 'a>,
    /// Created when no machine with free capacity is left.
    preemptable_machines: Option<PreemptableMachines<'s, 'a>>,
}

impl<'s, 'a> ZoneSearch<'s, 'a> {
    /// A search that has assigned nothing yet.
    pub(super) fn new(scope: &'s SearchScope<'a>) -> ZoneSearch<'s, 'a> {
        ZoneSearch {
            scope,
            progress: SearchProgress::new(scope.job),
            free_machines: FreeMachines::new(scope),
            preemptable_machines: None,
        }
    }

    /// Assigns machines to the pending tasks; `None` if fewer than `min_count` tasks get one.
    pub(super) fn run(mut self, pending: &[u32], min_count: usize) -> Option<Assignment> {
        for (index, task) in pending.iter().enumerate() {
            // Stops as soon as the minimum count is out of reach.
            if self.progress.assignment.tasks.len() + (pending.len() - index) < min_count {
                return None;
            }
            // All tasks have the same demand: if one finds no machine, none of the rest does.
            let Some(candidate) = self.next_candidate() else {
                break;
            };
            self.assign(*task, candidate);
        }
        let mut found = self.progress.assignment;
        found.skipped_uncached_machines = self.scope.mode == SearchMode::Cached
            && found.tasks.len() < pending.len()
            && self.scope.has_uncached_capacity();
        (found.tasks.len() >= min_count).then_some(found)
    }

    fn next_candidate(&mut self) -> Option<Candidate> {
        let free = self.free_machines.next(&self.progress);
        if free.is_some() || self.scope.mode != SearchMode::WithVictims {
            return free;
        }
        let (scope, progress) = (self.scope, &self.progress);
        let machines = self
            .preemptable_machines
            .get_or_insert_with(|| PreemptableMachines::new(scope, progress));
        machines.next(progress)
    }

    /// Assigns a task, and adds its machine back with the remaining capacity.
    fn assign(&mut self, task: u32, candidate: Candidate) {
        let machine = candidate.machine;
        let demand = self.scope.demand;
        let view = self.scope.fleet.machine(machine);
        let free = self.progress.assign(task, demand, candidate, view);
        if free.fits(demand) {
            self.free_machines.push_assigned(machine, free);
        } else if let Some(machines) = &mut self.preemptable_machines {
            machines.push_examined(machine, free, &self.progress);
        }
    }
}
