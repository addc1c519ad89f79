//! Jobs' records: what the watch cache shows of them, and writing what has changed.

use std::sync::Arc;

use tracing::debug;

use super::arrivals::ArrivalRate;
use super::{to_ms, Effect, Job, Placement, Scheduler};
use crate::dependencies::DependencyGraph;
use crate::job::FinalState;
use crate::watch_cache::{final_key, job_key, LiveJob};
use crate::wire::{Condition, Write};
use crate::write_queue::CommitResult;

/// How long a change that nobody waits for may stay off the record, so that others go with
/// it, as a share of the time in which the tasks of a gang miss one another.
const DEFERRED_WRITE_SHARE: f64 = 0.25;
/// Pauses before a change is written again, after a rejection and without an answer.
const REJECTED_PAUSE_MS: u64 = 150;
const UNKNOWN_PAUSE_MS: u64 = 50;

impl Scheduler {
    /// The watch cache shows a job's record and how it stands with its dependencies; if they
    /// are done, it counts as ready since `ready_at`.
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
            self.dependencies_done(id, ready_at);
        }
        if dependencies.is_cancelled(id) {
            self.mark_cancelled(id, now);
        }
    }

    /// The watch cache shows a job's record.
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
        job.key_version = job.key_version.max(live.version);
        let writer = record.writer;
        if writer.epoch == self.term.epoch {
            let newer = writer.change > job.committed_change;
            if newer {
                job.committed_change = writer.change;
                job.committed_done = record.done.clone();
            }
            if job.writing_change == Some(writer.change) {
                job.writing_change = None;
            }
            self.update_write_state(id);
            if newer {
                self.mark_startable_machines(id);
            }
        }
        if record.cancelled {
            self.mark_cancelled(id, now);
        }
    }

    fn add_from_record(&mut self, id: &str, live: &LiveJob, now: u64) {
        let record = &live.record;
        debug!("{id} is new: {:?}", record.spec);
        let mut job = Job::new(id, live, now);
        if record.runs.is_empty() && job.final_state().is_some() {
            job.record_change(now);
        }
        if !record.spec.spot && !record.cancelled {
            self.record_arrival(&job, now);
        }
        self.jobs.insert(id.to_string(), job);
        self.quota_cache.on_change();
        self.update_write_state(id);
        self.link_dependencies(id);
        for run in &record.runs {
            let machine: Arc<str> = run.machine.as_str().into();
            let end = run.first.saturating_add(run.count).min(record.spec.tasks);
            for task in run.first..end {
                let placement = Placement::new(task, run.attempt, machine.clone(), 0, now);
                self.add_placement(id, placement, now);
            }
        }
        if record.cancelled {
            self.stop_cancelled(id, now);
        }
        self.needs_planning = true;
    }

    /// Counts an arrival by when it was submitted: a successor sees all at once.
    fn record_arrival(&mut self, job: &Job, now: u64) {
        let wall = self.term.began_wall_ms + now.saturating_sub(self.began_at);
        let age_ms = (wall as i64 - job.submitted_at as i64).max(0);
        let at = now as i64 - age_ms;
        let boot_s = self.boot_s();
        self.arrivals
            .entry(job.spec.class.clone())
            .or_insert_with(|| ArrivalRate::new(job.spec.clone(), at))
            .record(&job.spec, at, boot_s);
    }

    /// A job's cancellation is on record, whether its record was read or not.
    pub fn mark_cancelled(&mut self, id: &str, now: u64) {
        if let Some(job) = self.jobs.get_mut(id).filter(|job| !job.cancelled) {
            job.cancelled = true;
            self.stop_cancelled(id, now);
        }
    }

    /// A job is not live any more.
    pub fn remove_job(&mut self, id: &str) {
        self.release_reservations(id);
        self.quota_cache.on_change();
        if let Some(job) = self.jobs.remove(id) {
            self.dependency_links.remove(&job);
            self.dirty_jobs.remove(&job.id, job.write_state);
            for placement in &job.placements {
                if let Some(machine) = self.machines.get_mut(&*placement.machine) {
                    machine.unbind(id, None);
                }
            }
        }
        self.needs_planning = true;
    }

    /// The store has answered a change of a job's record.
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
        let was_writing = job.writing_change == Some(change);
        if was_writing {
            job.writing_change = None;
        }
        match result {
            CommitResult::Committed { revision } => {
                job.key_version = job.key_version.max(*revision);
                if final_state.is_some() {
                    self.remove_job(id);
                    return;
                }
                if change > job.committed_change {
                    job.committed_change = change;
                    if was_writing {
                        job.committed_done = std::mem::take(&mut job.writing_done);
                    }
                    job.changed_at = now;
                }
                job.write_after = now;
                self.mark_startable_machines(id);
            }
            CommitResult::Conflict { revision, .. } => job.write_after_revision = *revision,
            CommitResult::Rejected => job.write_after = now + REJECTED_PAUSE_MS,
            // The same change under the same condition: if the first one did
            // get through, this one fails and the watch cache tells.
            CommitResult::Unknown => job.write_after = now + UNKNOWN_PAUSE_MS,
        }
        self.update_write_state(id);
    }

    /// Writes what has changed. Placements and ends go at once; of the rest, those that
    /// have waited the longest go as far as `spare_writes` changes allow.
    pub(super) fn write_changes(&mut self, now: u64, revision: u64, spare_writes: usize) {
        let mut considered = 0;
        let mut may_write = |id: &&Arc<str>| {
            considered += 1;
            self.jobs
                .get(&***id)
                .is_some_and(|job| now >= job.write_after && revision >= job.write_after_revision)
        };
        let urgent = self.dirty_jobs.urgent.iter();
        let mut due: Vec<Arc<str>> = urgent.filter(&mut may_write).cloned().collect();
        let wait_ms = to_ms(self.cluster.workers.gang_peer_s * DEFERRED_WRITE_SHARE);
        let deferred = self.dirty_jobs.deferred.iter();
        let waited = deferred.take_while(|(since, _)| now >= since + wait_ms);
        let waited = waited.map(|(_, id)| id).filter(&mut may_write);
        due.extend(waited.take(spare_writes).cloned());
        self.work.records_considered += considered;
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
        let conditions = vec![term_condition, Condition::new(job_key(id), job.key_version)];
        let writes = match final_state {
            Some(state) => vec![
                Write::delete(job_key(id)),
                Write::set(final_key(id), state.to_value()),
            ],
            None => {
                let record = job.to_record(self.term.epoch).to_value(self.format);
                vec![Write::set(job_key(id), record)]
            }
        };
        job.writing_change = Some(job.change);
        job.writing_done = job.done.clone();
        self.effects.push(Effect::Write {
            job: id.to_string(),
            change: job.change,
            final_state,
            conditions,
            writes,
        });
        self.update_write_state(id);
    }
}
