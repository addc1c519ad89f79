//! Job records: applies those in the watch cache to the jobs, and writes changes to the store.

use std::sync::Arc;

use tracing::debug;

use super::{to_ms, Effect, Job, Placement, Scheduler};
use crate::dependencies::DependencyGraph;
use crate::job::{FinalState, JobRecord};
use crate::watch_cache::{final_state_key, job_key, LiveJob};
use crate::wire::{Condition, Write};
use crate::write_queue::CommitResult;

/// How long a change that is not urgent is deferred, to be written together with later ones, as
/// a ratio of the time within which the tasks of a gang notice that one of them is gone.
const DEFERRED_WRITE_RATIO: f64 = 0.25;

impl Scheduler {
    /// Applies a job's record from the watch cache and the state of its dependencies; if they
    /// are done, the job counts as ready since `ready_at`.
    pub fn apply_job(
        &mut self,
        id: &str,
        live: &LiveJob,
        dependencies: &DependencyGraph,
        ready_at: u64,
        now: u64,
    ) {
        self.apply_record(id, live, now);
        if !dependencies.is_waiting(id) {
            self.on_dependencies_done(id, ready_at);
        }
        if dependencies.is_cancelled(id) {
            self.mark_cancelled(id, now);
        }
    }

    /// Adds or updates a job by its record in the watch cache.
    pub fn apply_record(&mut self, id: &str, live: &LiveJob, now: u64) {
        if self.jobs.contains_key(id) {
            self.update_from_record(id, live, now);
        } else {
            self.add_from_record(id, live, now);
        }
    }

    fn update_from_record(&mut self, id: &str, live: &LiveJob, now: u64) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let record = &live.record;
        job.record.on_version(live.version);
        let writer = record.writer;
        if writer.epoch == self.term.epoch {
            let is_newer = job.record.on_own_record(writer.change, &record.done);
            self.dirty_jobs.update(job);
            if is_newer {
                self.queue_committed_starts(id);
            }
        }
        if record.cancelled {
            self.mark_cancelled(id, now);
        }
    }

    fn add_from_record(&mut self, id: &str, live: &LiveJob, now: u64) {
        let record = &live.record;
        debug!(job = id, spec = ?record.spec, "added job from its record");
        let mut job = Job::new(id, live, now);
        if record.runs.is_empty() && job.final_state().is_some() {
            job.record.add_change(now);
        }
        if !record.spec.spot && !record.cancelled {
            self.record_arrival(&job, now);
        }
        self.dirty_jobs.update(&mut job);
        self.jobs.insert(id.to_string(), job);
        self.quota_cache.invalidate();
        self.link_dependencies(id);
        self.add_recorded_placements(id, record, now);
        if record.cancelled {
            self.stop_cancelled(id, now);
        }
        self.needs_planning = true;
    }

    fn add_recorded_placements(&mut self, id: &str, record: &JobRecord, now: u64) {
        for run in &record.runs {
            let machine: Arc<str> = run.machine.as_str().into();
            let end = run.first.saturating_add(run.count).min(record.spec.tasks);
            for task in run.first..end {
                let placement = Placement::new(task, run.attempt, machine.clone(), 0, now);
                self.add_placement(id, placement, now);
            }
        }
    }

    /// Counts an arrival at the time of its submission, because a new leader reads the records
    /// of all jobs at once.
    fn record_arrival(&mut self, job: &Job, now: u64) {
        let wall_ms = self.term.began_wall_ms + now.saturating_sub(self.began_at);
        let age_ms = (wall_ms as i64 - job.submitted_at as i64).max(0);
        let at = now as i64 - age_ms;
        let boot_s = self.catalog.longest_boot_s();
        self.arrivals.record(&job.spec, at, boot_s);
    }

    /// Cancels a job whose cancellation is committed; its own record may not show that yet.
    pub fn mark_cancelled(&mut self, id: &str, now: u64) {
        if let Some(job) = self.jobs.get_mut(id).filter(|job| !job.cancelled) {
            job.cancelled = true;
            self.stop_cancelled(id, now);
        }
    }

    /// Removes a job that is no longer live.
    pub fn remove_job(&mut self, id: &str) {
        self.release_reservations(id);
        self.preemptions.forget_job(id);
        self.quota_cache.invalidate();
        if let Some(job) = self.jobs.remove(id) {
            self.dependency_links.remove(&job);
            self.dirty_jobs.remove(&job);
            for placement in &job.placements {
                if let Some(machine) = self.machines.get_mut(&*placement.machine) {
                    machine.unbind(id, None);
                }
            }
        }
        self.needs_planning = true;
    }

    /// Handles the store's response to the write of a job's change. `final_state` is the state
    /// that was written with it, if the job has ended.
    pub fn on_commit(
        &mut self,
        id: &str,
        change: u64,
        final_state: Option<FinalState>,
        result: &CommitResult,
        now: u64,
    ) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let is_committed = matches!(result, CommitResult::Committed { .. });
        job.record.on_write_result(change, result, now);
        if is_committed && final_state.is_some() {
            self.remove_job(id);
            return;
        }
        self.dirty_jobs.update(job);
        if is_committed {
            self.queue_committed_starts(id);
        }
    }

    /// Writes changes: all urgent ones, and up to `deferrable_write_budget` deferred ones,
    /// longest deferred first.
    pub(super) fn write_changes(
        &mut self,
        now: u64,
        revision: u64,
        deferrable_write_budget: usize,
    ) {
        let jobs = &self.jobs;
        let may_write = |id: &str| {
            jobs.get(id)
                .is_some_and(|job| job.record.may_write(now, revision))
        };
        let max_wait_ms = to_ms(self.cluster.workers.gang_peer_s * DEFERRED_WRITE_RATIO);
        let due = self
            .dirty_jobs
            .due(may_write, deferrable_write_budget, max_wait_ms, now);
        for id in due {
            self.write_record(&id);
        }
    }

    fn write_record(&mut self, id: &str) {
        let term_condition = self.term_condition();
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let final_state = job.final_state();
        let conditions = vec![
            term_condition,
            Condition::new(job_key(id), job.record.key_version()),
        ];
        let writes = match final_state {
            Some(state) => vec![
                Write::delete(job_key(id)),
                Write::set(final_state_key(id), state.to_value()),
            ],
            None => {
                let format = self.record_capacity.format();
                let record = job.to_record(self.term.epoch).to_value(format);
                vec![Write::set(job_key(id), record)]
            }
        };
        job.record.begin_write(&job.done);
        self.effects.push(Effect::Write {
            job: id.to_string(),
            change: job.record.change(),
            final_state,
            conditions,
            writes,
        });
        self.dirty_jobs.update(job);
    }
}
