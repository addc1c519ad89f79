//! The planner's view of jobs.

use std::collections::HashSet;

use super::snapshots::SnapshotContext;
use super::{objectives, to_ms, Job, Placement, Scheduler};
use crate::plan::{JobView, ZoneCounts};

/// The highest number of an array's tasks that one plan considers.
const PLANNED_ARRAY_TASKS_MAX: usize = 256;
/// Boot times without a start after which a job is overdue and goes first in its priority:
/// otherwise a stream of small jobs would starve the largest.
const OVERDUE_BOOT_MULTIPLIER: f64 = 3.0;
/// Upper limit for the time until a job is overdue, however slowly machines boot. The largest
/// jobs must start within four minutes, and part of that time is needed to free capacity.
const OVERDUE_MAX_S: f64 = 0.75 * 240.0;
/// An overdue array is planned with at most one in this many of its tasks, rounded up.
const OVERDUE_ARRAY_DIVISOR: u32 = 4;
/// How long an array skips machines without its image, in multiples of the image's longest
/// nominal fetch.
const CACHE_WAIT_FETCH_MULTIPLIER: f64 = 1.0;

impl Scheduler {
    /// The number of a job's tasks in each zone, orphans included; empty if its constraints do
    /// not depend on zones. `None` while a task may be on a machine whose zone a new leader does
    /// not know yet.
    fn zone_counts(&self, job: &Job, context: &SnapshotContext) -> Option<ZoneCounts> {
        let mut zones = ZoneCounts::new();
        if !(job.spec.single_zone || job.spec.spread) {
            return Some(zones);
        }
        for placement in &job.placements {
            let machine = self.machines.get(&*placement.machine);
            let machine = machine.filter(|machine| !machine.zone.is_empty())?;
            *zones.entry(machine.zone.clone()).or_insert(0) += 1;
        }
        for zone in context.orphan_zones.get(&*job.id).into_iter().flatten() {
            *zones.entry(zone.clone()).or_insert(0) += 1;
        }
        Some(zones)
    }

    /// The view of a job with pending tasks. `None` if it has none or none may be placed now.
    pub(super) fn view_of_job(&self, job: &Job, context: &SnapshotContext) -> Option<JobView> {
        let is_gang = job.is_gang();
        if is_gang && !job.placements.is_empty() {
            // Every old task has to exit before the gang starts again.
            return self.view_of_incomplete_gang(job, context);
        }
        let mut pending = job.pending_tasks(plannable_tasks_max(job, context));
        if pending.is_empty() {
            return None;
        }
        let is_overdue = self.is_overdue(job, context.time.now_s());
        if is_overdue && !is_gang {
            // An overdue array goes first so that it starts at all; it must not displace all
            // other jobs.
            pending.truncate(job.spec.tasks.div_ceil(OVERDUE_ARRAY_DIVISOR) as usize);
        }
        let zones = self.zone_counts(job, context)?;
        let now = context.time.now;
        let cache_wait_ended = |since: u64| now > since + self.cache_wait_ms(job);
        Some(JobView {
            backing_off: job.retry.is_backing_off(now),
            overdue: is_overdue,
            prefers_cached_image: !is_overdue
                && !job.waiting_for_cache_since.is_some_and(cache_wait_ended),
            ..self.base_view(job, pending, zones, context)
        })
    }

    /// The view of a gang that has lost a task or is being stopped. It is not placed until all its
    /// tasks have provably exited, but replacement machines for the lost tasks are requested at
    /// once, and the capacity that its other tasks free is kept for it. Otherwise one silent
    /// machine would lead to all other machines of the gang being terminated and rented again.
    fn view_of_incomplete_gang(&self, job: &Job, context: &SnapshotContext) -> Option<JobView> {
        // A silent machine is not counted as lost: this controller's own network may be at fault.
        let is_unaffected = |placement: &&Placement| {
            placement.stop.is_none() && !context.unreliable.contains(&placement.machine)
        };
        let unaffected: Vec<&Placement> = job.placements.iter().filter(is_unaffected).collect();
        let all_unaffected = unaffected.len() == job.placements.len();
        if job.cancelled || (job.is_fully_placed() && all_unaffected) {
            return None;
        }
        let mut zones = ZoneCounts::new();
        let mut present = HashSet::new();
        for placement in unaffected {
            if let Some(machine) = self.machines.get(&*placement.machine) {
                *zones.entry(machine.zone.clone()).or_insert(0) += 1;
                present.insert(placement.task);
            }
        }
        let tasks = 0..job.spec.tasks;
        let pending: Vec<u32> = tasks.filter(|task| !present.contains(task)).collect();
        (!pending.is_empty()).then(|| JobView {
            awaiting_task_exits: true,
            ..self.base_view(job, pending, zones, context)
        })
    }

    /// The view of a job with all planning flags unset.
    fn base_view(
        &self,
        job: &Job,
        pending: Vec<u32>,
        zones: ZoneCounts,
        context: &SnapshotContext,
    ) -> JobView {
        let class_objectives = &self.cluster.objectives;
        let boot_s = self.catalog.longest_boot_s();
        let lease_s = self.cluster.workers.lease_s;
        JobView {
            id: job.id.clone(),
            spec: job.spec.clone(),
            pending,
            ready_at_s: job.ready_at as f64 / 1000.0,
            start_by_s: objectives::start_by_s(job, class_objectives, boot_s, context.time.now_s()),
            zones,
            avoided_machines: job.retry.avoided_machines(lease_s, context.time.now),
            backing_off: false,
            awaiting_task_exits: false,
            overdue: false,
            prefers_cached_image: false,
        }
    }

    /// Whether a job without any start has waited long enough to go first in its priority.
    fn is_overdue(&self, job: &Job, now_s: f64) -> bool {
        let wait_s = (OVERDUE_BOOT_MULTIPLIER * self.catalog.longest_boot_s()).min(OVERDUE_MAX_S);
        let is_unstarted = job.placements.is_empty() && job.done.is_empty();
        is_unstarted && now_s > job.ready_at as f64 / 1000.0 + wait_s
    }

    /// How long an array skips machines without its image, in milliseconds.
    fn cache_wait_ms(&self, job: &Job) -> u64 {
        to_ms(CACHE_WAIT_FETCH_MULTIPLIER * self.catalog.longest_fetch_s(job.spec.image_gb))
    }
}

/// The highest number of a job's tasks that one plan considers: for a gang all of them, for an
/// array at most as many as its record can hold.
fn plannable_tasks_max(job: &Job, context: &SnapshotContext) -> usize {
    if job.is_gang() {
        return job.spec.tasks as usize;
    }
    let runs = job.placements.len() + job.done.0.len() / 2;
    PLANNED_ARRAY_TASKS_MAX.min(context.runs_max.saturating_sub(runs))
}
