//! One cycle over the whole queue: each gang is placed as a whole, each array task by task.

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

/// An array that skipped machines without its image.
struct SkippedArray<'a> {
    job: &'a JobView,
    /// Its tasks without a placement.
    pending: &'a [u32],
}

/// A cycle in progress.
struct Cycle<'a> {
    state: CycleState,
    decision: DecisionBuilder,
    /// Arrays to be tried once more at the end, in queue order.
    skipped: Vec<SkippedArray<'a>>,
}

/// Runs one cycle over the whole queue.
pub fn cycle(mut snapshot: Snapshot) -> Decision {
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
    cycle.place_skipped();
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
        if self.allowed_tasks(job) < count {
            if takes_part(job) {
                self.decision.add_failed(job);
            }
            // Later jobs must not use up what its team has left, or a large gang never starts.
            self.state.charge_team(job, count);
            return;
        }
        if !takes_part(job) {
            self.add_unmet_demand(job);
            return;
        }
        if let Some(found) = self.search(job, &job.pending, SearchMode::Free, count) {
            self.place(job, &found);
            return;
        }
        // A gang whose victims are still being stopped waits for them.
        if self.state.has_reservation(job) {
            return;
        }
        if let Some(found) = self.search(job, &job.pending, SearchMode::WithVictims, count) {
            self.preempt(job, &found);
            return;
        }
        self.decision.add_failed(job);
        self.add_unmet_demand(job);
    }

    fn schedule_array(&mut self, job: &'a JobView) {
        if !takes_part(job) {
            self.add_unmet_demand(job);
            return;
        }
        let pending = self.within_limit(job, &job.pending);
        if pending.is_empty() {
            return;
        }
        // Asked before placing, which releases what is reserved.
        let has_reservation = self.state.has_reservation(job);
        let found = self.search(job, pending, self.array_search_mode(job), 0);
        let found = found.unwrap_or_default();
        self.place(job, &found);
        let rest = &pending[found.tasks.len()..];
        if found.skipped_uncached_machines {
            self.decision.add_skipped(job);
            self.skipped.push(SkippedArray { job, pending: rest });
            return;
        }
        // An array whose victims are still being stopped waits for them.
        if rest.is_empty() || has_reservation {
            return;
        }
        let preempting_count = self.preempt_for_array(job, rest);
        let unmet_count = rest.len() - preempting_count;
        self.decision.add_unmet_array(job, unmet_count);
    }

    /// An array of low priority goes where its image is. Other free machines are for those
    /// behind it that have their image there, and only then for it.
    fn array_search_mode(&self, job: &JobView) -> SearchMode {
        let prefers_cached = job.prefers_cached
            && job.spec.priority == Priority::Low
            && !(job.spec.single_zone || job.spec.spread)
            && !self.is_within_nominal_quota(job);
        if prefers_cached {
            SearchMode::Cached
        } else {
            SearchMode::Free
        }
    }

    /// Chooses victims for tasks of an array, which are gangs of one: each may have its own.
    /// Returns how many tasks have them.
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

    /// Machines that no other job used for its image go to the arrays that skipped them.
    fn place_skipped(&mut self) {
        for SkippedArray { job, pending } in std::mem::take(&mut self.skipped) {
            let pending = self.within_limit(job, pending);
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

    /// Machines are rented for what a job lacks, also while it backs off: else the machines on
    /// their way would count for others.
    fn add_unmet_demand(&mut self, job: &JobView) {
        let found = self.state.earmark(job).unwrap_or_default();
        self.decision.add_unmet(job, &found, self.state.fleet());
    }

    /// The tasks that the limit of the job's team allows.
    fn within_limit<'t>(&self, job: &JobView, pending: &'t [u32]) -> &'t [u32] {
        let allowed = self.allowed_tasks(job);
        &pending[..allowed.min(pending.len())]
    }

    fn allowed_tasks(&self, job: &JobView) -> usize {
        self.fleet().quotas.allowed_tasks(job)
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
fn takes_part(job: &JobView) -> bool {
    !(job.backing_off || job.incomplete)
}
