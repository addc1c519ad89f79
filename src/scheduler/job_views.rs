//! What the planner sees of jobs.

use std::collections::HashSet;
use std::sync::Arc;

use super::snapshots::SnapshotContext;
use super::{to_ms, Job, Placement, Scheduler};
use crate::job::PACKED_FORMAT;
use crate::plan::{fetch_s, JobView, ZoneCounts};
use crate::settings::ObjectiveKind;

/// Most tasks of an array that one plan looks at.
const PENDING_MAX: usize = 256;
/// Boot times after which a job of which nothing has begun is not overtaken any
/// more: many small jobs in time must not starve the largest.
const OVERDUE_BOOTS: f64 = 3.0;
/// However slowly machines boot: the users' rule is that the largest jobs begin
/// within four minutes, and capacity has yet to come free.
const OVERDUE_MAX_S: f64 = 0.75 * 240.0;
/// An array's turn then is for this part of its tasks, one in so many.
const OVERDUE_SHARE_PARTS: u32 = 4;
/// For how many fetches of its image an array skips machines without it.
const CACHE_WAIT_FETCHES: f64 = 1.0;
/// A run's numbers and separators in a record that is not packed, and all of the record
/// that is not runs.
const RUN_BYTES: f64 = 26.0;
const OTHER_BYTES: f64 = 2000.0;
/// The least that a packed run takes.
const PACKED_RUN_BYTES: f64 = 4.0;
/// Length of a machine's name before any is known.
const NAME_BYTES: usize = 16;
/// Of a record that is not packed, so many runs always fit.
const RUNS_MIN: f64 = 4.0;

impl Scheduler {
    /// Where a job's tasks are, orphans included, if its places depend on that. `None`
    /// while one may be on a machine of which a successor knows no more than its name: it
    /// could be in any zone.
    pub(super) fn zones_of(&self, job: &Job, context: &SnapshotContext) -> Option<ZoneCounts> {
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

    /// How many runs a record may hold: a run in JSON takes the name of its machine, three
    /// numbers and what is between them. Packed ones are as short as they happen to be;
    /// what fits is measured when it is placed.
    pub(super) fn runs_max(&self) -> usize {
        let value_bytes = self.cluster.state.value_kb * 1024.0;
        if self.format >= PACKED_FORMAT {
            return (value_bytes / PACKED_RUN_BYTES) as usize;
        }
        let longest_name = self.machines.keys().map(String::len).max();
        let run_bytes = longest_name.unwrap_or(NAME_BYTES) as f64 + RUN_BYTES;
        ((value_bytes - OTHER_BYTES) / run_bytes).max(RUNS_MIN) as usize
    }

    pub(super) fn view_of_job(&self, job: &Job, context: &SnapshotContext) -> Option<JobView> {
        let is_gang = job.is_gang();
        if is_gang && !job.placements.is_empty() {
            // Still there in part: the whole of it goes, then starts anew.
            return self.incomplete_gang(job, context);
        }
        let max = if is_gang {
            job.spec.tasks as usize
        } else {
            let runs = job.placements.len() + job.done.0.len() / 2;
            PENDING_MAX.min(context.runs_max.saturating_sub(runs))
        };
        let mut pending = job.pending_tasks(max);
        if pending.is_empty() {
            return None;
        }
        let overdue = self.is_overdue(job, context.now_s);
        if overdue && !is_gang {
            // Its turn is to begin, not to push all others aside.
            pending.truncate(job.spec.tasks.div_ceil(OVERDUE_SHARE_PARTS) as usize);
        }
        let zones = self.zones_of(job, context)?;
        let cache_wait_ended = |since: u64| context.now > since + self.cache_wait_ms(job);
        Some(JobView {
            backing_off: context.now < job.retry_after.max(job.backoff_until),
            overdue,
            prefers_cached: !overdue && !job.waiting_for_cache_since.is_some_and(cache_wait_ended),
            ..self.plain_view(job, pending, zones, context)
        })
    }

    /// A gang that has lost a member, or is being stopped, takes no part until all its
    /// places are proven empty. What it will lack then is looked for now, and the capacity that
    /// its others leave is not given away meanwhile: one machine that falls silent would
    /// else empty all the others of its gang, just to rent them anew.
    pub(super) fn incomplete_gang(&self, job: &Job, context: &SnapshotContext) -> Option<JobView> {
        // Silence alone says nothing: it may be ours.
        let is_sound =
            |p: &&Placement| p.stop.is_none() && !context.unreliable.contains(&p.machine);
        let sound = job.placements.iter().filter(is_sound);
        let sound: Vec<&Placement> = sound.collect();
        let all_sound = sound.len() == job.placements.len();
        if job.cancelled || (job.is_whole() && all_sound) {
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

    /// What the planner sees of a job that has nothing special about it.
    pub(super) fn plain_view(
        &self,
        job: &Job,
        pending: Vec<u32>,
        zones: ZoneCounts,
        context: &SnapshotContext,
    ) -> JobView {
        JobView {
            id: job.id.clone(),
            spec: job.spec.clone(),
            pending,
            ready_at_s: job.ready_at as f64 / 1000.0,
            start_by_s: self.start_by_s(job, context.now_s),
            zones,
            avoided_machines: self.avoided_machines(job, context.now),
            backing_off: false,
            incomplete: false,
            overdue: false,
            prefers_cached: false,
        }
    }

    /// Whether a job of which nothing has begun has waited so long that its turn has come.
    pub(super) fn is_overdue(&self, job: &Job, now_s: f64) -> bool {
        let wait_s = (OVERDUE_BOOTS * self.boot_s()).min(OVERDUE_MAX_S);
        let not_begun = job.placements.is_empty() && job.done.is_empty();
        not_begun && now_s > job.ready_at as f64 / 1000.0 + wait_s
    }

    /// Machines that a job is not tried on again, as it failed there. The faulty
    /// ones are returned meanwhile, and for its own fault it rests: after that
    /// it must not wait beside machines with capacity.
    pub(super) fn avoided_machines(&self, job: &Job, now: u64) -> HashSet<Arc<str>> {
        if now > job.retry_after + to_ms(self.cluster.workers.lease_s) {
            return HashSet::new();
        }
        job.avoided_machines.clone()
    }

    /// How long an array skips machines without its image.
    pub(super) fn cache_wait_ms(&self, job: &Job) -> u64 {
        let fetch_times = self
            .machine_types
            .iter()
            .map(|t| fetch_s(job.spec.image_gb, t.fetch_gb_per_s));
        to_ms(CACHE_WAIT_FETCHES * fetch_times.fold(0.0, f64::max))
    }

    /// When a job should start to meet the next of the objectives that the settings state for
    /// its class. Estimates are rough: half a run time late is not yet lost.
    pub(super) fn start_by_s(&self, job: &Job, now_s: f64) -> Option<f64> {
        let objectives = self.start_objectives(job);
        if objectives.is_empty() {
            // No objective is stated: first come, first served among the others.
            return Some(job.ready_at as f64 / 1000.0 + self.boot_s());
        }
        let reachable = objectives
            .into_iter()
            .filter(|objective| objective.0 + objective.1 >= now_s);
        reachable
            .map(|objective| objective.0)
            .min_by(f64::total_cmp)
    }

    /// When a job should start for each of its objectives, and how late it may be.
    pub(super) fn start_objectives(&self, job: &Job) -> Vec<(f64, f64)> {
        let submitted_s = job.submitted_at as f64 / 1000.0;
        let ready_s = job.ready_at as f64 / 1000.0;
        let run_s = job.spec.expected_s;
        let to_be_done_by = |at_s: f64| (at_s - run_s, run_s / 2.0);
        let mut objectives: Vec<(f64, f64)> = Vec::new();
        if let Some(deadline_s) = job.spec.deadline_s {
            objectives.push(to_be_done_by(submitted_s + deadline_s));
        }
        objectives.extend(job.due_at_s.map(to_be_done_by));
        for objective in &self.cluster.objectives {
            let class = objective.class.as_ref();
            if class.is_some_and(|class| *class != job.spec.class) {
                continue;
            }
            match (objective.kind, objective.within_s, job.spec.deadline_s) {
                (ObjectiveKind::Wait, Some(within_s), _) => {
                    objectives.push((ready_s + within_s, 0.0))
                }
                (ObjectiveKind::Finished, Some(within_s), _) => {
                    objectives.push(to_be_done_by(ready_s + within_s))
                }
                (ObjectiveKind::Deadline, _, Some(deadline_s)) => {
                    let times = objective.times.unwrap_or(1.0);
                    objectives.push(to_be_done_by(submitted_s + deadline_s * times));
                }
                _ => {}
            }
        }
        objectives
    }
}
