//! One planning cycle over the whole queue: a gang is placed completely or not at all, an array
//! task by task.

mod decision_builder;
mod state;

use super::decision::Decision;
use super::fleet::Fleet;
use super::queue_order::queue_order;
use super::resources::Resources;
use super::search::{Assignment, SearchMode, SearchRequest};
use super::snapshot::{JobView, Snapshot};
use crate::job::{Priority, Shape};
use decision_builder::DecisionBuilder;
use state::CycleState;

/// An array that skipped machines because they lack its image.
struct SkippedArray<'a> {
    job: &'a JobView,
    /// Its tasks that are still without a placement.
    pending: &'a [u32],
}

/// A cycle in progress.
struct Cycle<'a> {
    state: CycleState,
    decision: DecisionBuilder,
    /// Arrays to retry at the end of the cycle, in queue order.
    skipped: Vec<SkippedArray<'a>>,
}

/// Runs one planning cycle over the whole queue. Deterministic: the same snapshot always gives
/// the same decision.
pub fn run_cycle(mut snapshot: Snapshot) -> Decision {
    let queue = queue_order(&snapshot);
    let jobs = std::mem::take(&mut snapshot.jobs);
    let demands = queue.iter().map(|index| Resources::of(&jobs[*index].spec));
    let smallest_demand = demands.reduce(Resources::min).unwrap_or_default();
    let mut cycle = Cycle {
        state: CycleState::new(snapshot, smallest_demand),
        decision: DecisionBuilder::default(),
        skipped: vec![],
    };
    for job in queue.into_iter().map(|index| &jobs[index]) {
        if !job.pending.is_empty() {
            cycle.schedule(job);
        }
    }
    cycle.place_skipped_arrays();
    let machines_examined = cycle.state.fleet().machines_examined();
    cycle.decision.finish(machines_examined)
}

impl<'a> Cycle<'a> {
    fn schedule(&mut self, job: &'a JobView) {
        if job.spec.shape == Shape::Gang {
            self.schedule_gang(job);
        } else {
            self.schedule_array(job);
        }
    }

    fn schedule_gang(&mut self, job: &JobView) {
        let count = job.pending.len();
        if self.remaining_tasks(job) < count {
            if is_schedulable(job) {
                self.decision.add_unplaced_gang(job);
            }
            // Charge the waiting gang's demand as well: if later jobs used up the team's remaining
            // quota, a large gang would never start.
            self.state.charge_team(job, count);
            return;
        }
        if !is_schedulable(job) {
            self.add_unmet_demand(job);
            return;
        }
        if let Some(found) = self.search(job, &job.pending, SearchMode::Free, count) {
            self.place(job, &found);
            return;
        }
        // The gang's victims are still being stopped; it starts in the reserved capacity.
        if self.state.has_reservation(job) {
            return;
        }
        if let Some(found) = self.search(job, &job.pending, SearchMode::WithVictims, count) {
            self.preempt(job, &found);
            return;
        }
        self.decision.add_unplaced_gang(job);
        self.add_unmet_demand(job);
    }

    fn schedule_array(&mut self, job: &'a JobView) {
        if !is_schedulable(job) {
            self.add_unmet_demand(job);
            return;
        }
        let pending = self.within_team_limit(job, &job.pending);
        if pending.is_empty() {
            return;
        }
        // Checked before placing, because placing releases the job's reservations.
        let has_reservation = self.state.has_reservation(job);
        let found = self.search(job, pending, self.array_search_mode(job), 0);
        let found = found.unwrap_or_default();
        self.place(job, &found);
        let rest = &pending[found.tasks.len()..];
        if found.skipped_uncached_machines {
            self.decision.add_skipped_array(job);
            self.skipped.push(SkippedArray { job, pending: rest });
            return;
        }
        // The array's victims are still being stopped; the rest starts in the reserved capacity.
        if rest.is_empty() || has_reservation {
            return;
        }
        let preempting_count = self.preempt_for_array(job, rest);
        let unmet_count = rest.len() - preempting_count;
        self.decision.add_unmet_array(job, unmet_count);
    }

    /// A low-priority array is first placed only on machines that have its image. Other free
    /// machines are left to later jobs whose image is there, and used for the array afterwards.
    fn array_search_mode(&self, job: &JobView) -> SearchMode {
        let prefers_cached_image = job.prefers_cached_image
            && job.spec.priority == Priority::Low
            && !(job.spec.single_zone || job.spec.spread)
            && !self.is_within_nominal_quota(job);
        if prefers_cached_image {
            SearchMode::Cached
        } else {
            SearchMode::Free
        }
    }

    /// Chooses victims for pending tasks of an array, for each task independently of the others.
    /// Returns the number of tasks that victims were found for.
    fn preempt_for_array(&mut self, job: &JobView, pending: &[u32]) -> usize {
        if job.spec.priority == Priority::Low && !self.is_within_nominal_quota(job) {
            return 0;
        }
        let Some(found) = self.search(job, pending, SearchMode::WithVictims, 0) else {
            return 0;
        };
        self.preempt(job, &found);
        found.tasks.len()
    }

    /// Retries the skipped arrays on the machines that no job with a cached image has used.
    fn place_skipped_arrays(&mut self) {
        for SkippedArray { job, pending } in std::mem::take(&mut self.skipped) {
            let pending = self.within_team_limit(job, pending);
            let found = self.search(job, pending, SearchMode::Free, 0);
            let found = found.unwrap_or_default();
            self.place(job, &found);
            let unmet_count = pending.len() - found.tasks.len();
            self.decision.add_unmet_array(job, unmet_count);
        }
    }

    fn search(
        &mut self,
        job: &JobView,
        pending: &[u32],
        mode: SearchMode,
        min_count: usize,
    ) -> Option<Assignment> {
        self.state.search(SearchRequest {
            job,
            pending,
            mode,
            min_count,
        })
    }

    fn place(&mut self, job: &JobView, found: &Assignment) {
        if found.tasks.is_empty() {
            return;
        }
        self.state.place(job, found);
        self.decision.add_placements(job, found, self.state.fleet());
    }

    fn preempt(&mut self, job: &JobView, found: &Assignment) {
        self.state.preempt(job, found);
        self.decision.add_preemption(job, found, self.state.fleet());
    }

    /// Adds the unmet demand of a job that is not placed in this cycle. Machines are rented for
    /// it while it backs off, too: otherwise other jobs would count on the machines in
    /// provisioning for it.
    fn add_unmet_demand(&mut self, job: &JobView) {
        let found = self.state.earmark(job).unwrap_or_default();
        self.decision.add_unmet(job, &found, self.state.fleet());
    }

    /// Returns the first of the pending tasks, as many as the limit of the job's team allows.
    fn within_team_limit<'t>(&self, job: &JobView, pending: &'t [u32]) -> &'t [u32] {
        let allowed = self.remaining_tasks(job);
        &pending[..allowed.min(pending.len())]
    }

    fn remaining_tasks(&self, job: &JobView) -> usize {
        self.fleet().quotas.remaining_tasks(job)
    }

    fn is_within_nominal_quota(&self, job: &JobView) -> bool {
        let quotas = &self.fleet().quotas;
        quotas.is_within_nominal_quota(&job.spec.team)
    }

    fn fleet(&self) -> &Fleet {
        self.state.fleet()
    }
}

/// Whether a job may be placed in this cycle.
fn is_schedulable(job: &JobView) -> bool {
    !(job.backing_off || job.awaiting_task_exits)
}
