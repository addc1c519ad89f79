//! One cycle over the whole queue, each gang in one go.

use super::cycle_state::CycleState;
use super::decision::{Decision, UnmetDemand};
use super::order::queue_order;
use super::resources::Resources;
use super::search::SearchMode;
use super::snapshot::{JobView, Snapshot};
use crate::job::{Priority, Shape};

/// A cycle in progress.
struct Cycle<'a> {
    state: CycleState,
    decision: Decision,
    /// Arrays that skipped machines without their image, with the tasks that are left.
    skipped: Vec<(&'a JobView, Vec<u32>)>,
}

/// Runs one cycle over the whole queue.
pub fn cycle(mut snapshot: Snapshot) -> Decision {
    let queue = queue_order(&snapshot);
    let jobs = std::mem::take(&mut snapshot.jobs);
    let demands = queue.iter().map(|index| Resources::of(&jobs[*index].spec));
    let smallest_demand = demands.reduce(Resources::min).unwrap_or_default();
    let mut cycle = Cycle {
        state: CycleState::new(snapshot, smallest_demand),
        decision: Decision::default(),
        skipped: vec![],
    };
    for job in queue.into_iter().map(|index| &jobs[index]) {
        if !job.pending.is_empty() {
            cycle.schedule(job);
        }
    }
    cycle.place_skipped();
    cycle.decision.machines_examined = cycle.state.machines_examined.get();
    cycle.decision
}

impl<'a> Cycle<'a> {
    fn schedule(&mut self, job: &'a JobView) {
        let allowed = self.state.allowed_tasks(job);
        let is_gang = job.spec.shape == Shape::Gang;
        let takes_part = !(job.backing_off || job.incomplete);
        if is_gang && allowed < job.pending.len() {
            if takes_part {
                self.decision.failed.push(job.id.clone());
            }
            // What its team has left is not for later jobs to nibble at, or a
            // large gang never starts.
            self.state.charge_team(job, job.pending.len());
            return;
        }
        if !takes_part {
            // What it lacks is bought all the same: else the machines on their way would
            // count for others.
            let missing = self.state.unmet_demand(job);
            self.decision.unmet.push(missing);
            return;
        }
        let mut pending = job.pending.clone();
        pending.truncate(allowed);
        if pending.is_empty() {
            return;
        }
        if is_gang {
            self.schedule_gang(job, pending);
        } else {
            self.schedule_array(job, pending);
        }
    }

    fn schedule_gang(&mut self, job: &JobView, mut pending: Vec<u32>) {
        let min_count = pending.len();
        // Asked before placing, which gives up what is held.
        let has_reservation = self.state.has_reservation(job);
        let found = self
            .state
            .search(job, &pending, SearchMode::Free, min_count);
        if let Some(found) = found {
            self.state
                .place(job, &found, &mut pending, &mut self.decision);
            return;
        }
        // A gang whose victims are still leaving waits for them.
        if has_reservation {
            return;
        }
        let found = self
            .state
            .search(job, &pending, SearchMode::WithVictims, min_count);
        if let Some(found) = found {
            self.state.preempt(job, &found, &mut self.decision);
            return;
        }
        self.decision.failed.push(job.id.clone());
        let missing = self.state.unmet_demand(job);
        self.decision.unmet.push(missing);
    }

    fn schedule_array(&mut self, job: &'a JobView, mut pending: Vec<u32>) {
        let is_within_nominal_quota = self.state.is_within_nominal_quota(&job.spec.team);
        let has_reservation = self.state.has_reservation(job);
        let mut left = pending.len();
        // An array goes where its image is; what else is free is for those
        // behind it that have theirs there, and only then for it.
        let prefers_cached = job.prefers_cached
            && job.spec.priority == Priority::Low
            && !(job.spec.single_zone || job.spec.spread)
            && !is_within_nominal_quota;
        let mode = if prefers_cached {
            SearchMode::Cached
        } else {
            SearchMode::Free
        };
        if let Some(found) = self.state.search(job, &pending, mode, 0) {
            left -= self
                .state
                .place(job, &found, &mut pending, &mut self.decision);
            if prefers_cached && found.skipped_uncached_machines && left > 0 {
                self.decision.skipped_uncached_machines.push(job.id.clone());
                let rest = pending.split_off(pending.len() - left);
                self.skipped.push((job, rest));
                return;
            }
        }
        // One whose victims are still leaving waits for them.
        if left == 0 || has_reservation {
            return;
        }
        // Tasks of an array are gangs of one: each may have victims. The team's standing
        // may have changed with what was placed.
        let is_within_nominal_quota = self.state.is_within_nominal_quota(&job.spec.team);
        if is_within_nominal_quota || job.spec.priority > Priority::Low {
            let rest = &pending[pending.len() - left..];
            let found = self.state.search(job, rest, SearchMode::WithVictims, 0);
            if let Some(found) = found {
                left -= found.tasks.len();
                self.state.preempt(job, &found, &mut self.decision);
            }
        }
        if left > 0 {
            let unmet = UnmetDemand::of_array(job, left);
            self.decision.unmet.push(unmet);
        }
    }

    /// Machines that nobody wanted for their image go to those that skipped them.
    fn place_skipped(&mut self) {
        for (job, mut pending) in std::mem::take(&mut self.skipped) {
            pending.truncate(self.state.allowed_tasks(job));
            let mut left = pending.len();
            if let Some(found) = self.state.search(job, &pending, SearchMode::Free, 0) {
                left -= self
                    .state
                    .place(job, &found, &mut pending, &mut self.decision);
            }
            if left > 0 {
                let unmet = UnmetDemand::of_array(job, left);
                self.decision.unmet.push(unmet);
            }
        }
    }
}
