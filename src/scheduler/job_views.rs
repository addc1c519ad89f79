//! The planner's view of jobs.

use std::collections::HashSet;

use super::snapshots::SnapshotContext;
use super::{objectives, to_ms, Job, Placement, Scheduler};
use crate::plan::{JobView, ZoneCounts};

/// At most how many tasks of an array one plan considers.
const PENDING_MAX: usize = 256;
/// Boot times after which a job that has not begun is no longer overtaken by others: many
/// small jobs that arrive in time must not starve the largest.
const OVERDUE_BOOTS: f64 = 3.0;
/// The same, however slowly machines boot: the users' rule is that the largest jobs begin
/// within four minutes, and capacity has yet to become free.
const OVERDUE_MAX_S: f64 = 0.75 * 240.0;
/// An overdue array is planned with one part of its tasks in this many.
const OVERDUE_SHARE_PARTS: u32 = 4;
/// For how many fetches of its image an array skips machines without it.
const CACHE_WAIT_FETCHES: f64 = 1.0;

impl Scheduler {
    /// How many of a job's tasks are in each zone, orphans included, if its constraints depend
    /// on that. `None` while a task may be on a machine of which a new leader knows only the
    /// name: it could be in any zone.
    fn zones_of(&self, job: &Job, context: &SnapshotContext) -> Option<ZoneCounts> {
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

    /// The view of a job with pending tasks. `None` if it has none, or none may be placed.
    pub(super) fn view_of_job(&self, job: &Job, context: &SnapshotContext) -> Option<JobView> {
        let is_gang = job.is_gang();
        if is_gang && !job.placements.is_empty() {
            // Present in part: all of it has to exit before it starts again.
            return self.incomplete_gang(job, context);
        }
        let mut pending = job.pending_tasks(plannable_tasks_max(job, context));
        if pending.is_empty() {
            return None;
        }
        let is_overdue = self.is_overdue(job, context.time.now_s());
        if is_overdue && !is_gang {
            // Its turn is to begin, not to displace all other jobs.
            pending.truncate(job.spec.tasks.div_ceil(OVERDUE_SHARE_PARTS) as usize);
        }
        let zones = self.zones_of(job, context)?;
        let now = context.time.now;
        let cache_wait_ended = |since: u64| now > since + self.cache_wait_ms(job);
        Some(JobView {
            backing_off: job.retry.is_backing_off(now),
            overdue: is_overdue,
            prefers_cached: !is_overdue
                && !job.waiting_for_cache_since.is_some_and(cache_wait_ended),
            ..self.plain_view(job, pending, zones, context)
        })
    }

    /// A gang that has lost a task, or is being stopped, is not placed until all its tasks have
    /// certainly exited. Machines for the tasks that it will lack then are already sought, and
    /// the capacity that its other tasks leave is not given to other jobs meanwhile: otherwise
    /// one machine that falls silent would empty all the others of its gang, only to rent them
    /// again.
    fn incomplete_gang(&self, job: &Job, context: &SnapshotContext) -> Option<JobView> {
        // Silence alone says nothing: this controller may be the cause.
        let is_sound = |placement: &&Placement| {
            placement.stop.is_none() && !context.unreliable.contains(&placement.machine)
        };
        let sound: Vec<&Placement> = job.placements.iter().filter(is_sound).collect();
        let all_sound = sound.len() == job.placements.len();
        if job.cancelled || (job.is_fully_placed() && all_sound) {
            return None;
        }
        let mut zones = ZoneCounts::new();
        let mut present = HashSet::new();
        for placement in sound {
            if let Some(machine) = self.machines.get(&*placement.machine) {
                *zones.entry(machine.zone.clone()).or_insert(0) += 1;
                present.insert(placement.task);
            }
        }
        let tasks = 0..job.spec.tasks;
        let pending: Vec<u32> = tasks.filter(|task| !present.contains(task)).collect();
        (!pending.is_empty()).then(|| JobView {
            incomplete: true,
            ..self.plain_view(job, pending, zones, context)
        })
    }

    /// The view of a job in the usual state.
    fn plain_view(
        &self,
        job: &Job,
        pending: Vec<u32>,
        zones: ZoneCounts,
        context: &SnapshotContext,
    ) -> JobView {
        let stated = &self.cluster.objectives;
        let boot_s = self.catalog.longest_boot_s();
        let lease_s = self.cluster.workers.lease_s;
        JobView {
            id: job.id.clone(),
            spec: job.spec.clone(),
            pending,
            ready_at_s: job.ready_at as f64 / 1000.0,
            start_by_s: objectives::start_by_s(job, stated, boot_s, context.time.now_s()),
            zones,
            avoided_machines: job.retry.avoided_machines(lease_s, context.time.now),
            backing_off: false,
            incomplete: false,
            overdue: false,
            prefers_cached: false,
        }
    }

    /// Whether a job that has not begun has waited so long that its turn has come.
    fn is_overdue(&self, job: &Job, now_s: f64) -> bool {
        let wait_s = (OVERDUE_BOOTS * self.catalog.longest_boot_s()).min(OVERDUE_MAX_S);
        let not_begun = job.placements.is_empty() && job.done.is_empty();
        not_begun && now_s > job.ready_at as f64 / 1000.0 + wait_s
    }

    /// How long an array skips machines without its image.
    fn cache_wait_ms(&self, job: &Job) -> u64 {
        to_ms(CACHE_WAIT_FETCHES * self.catalog.longest_fetch_s(job.spec.image_gb))
    }
}

/// At most how many of a job's tasks one plan considers: all of a gang, of an array as many as
/// its record may hold.
fn plannable_tasks_max(job: &Job, context: &SnapshotContext) -> usize {
    if job.is_gang() {
        return job.spec.tasks as usize;
    }
    let runs = job.placements.len() + job.done.0.len() / 2;
    PENDING_MAX.min(context.runs_max.saturating_sub(runs))
}
