//! The leader's state of a live job: its specification, placements, failures and record.

use std::collections::{BTreeSet, HashSet};
use std::sync::Arc;

use super::placement::{Placement, TaskKey};
use super::record_state::{RecordState, WriteState};
use super::retry_state::RetryState;
use crate::epoch::Epoch;
use crate::job::{FinalState, JobRecord, JobSpec, Priority, RecordWriter, Shape, TaskRun, TaskSet};
use crate::watch_cache::LiveJob;

/// The leader's state of a live job.
#[derive(Debug)]
pub struct Job {
    pub(super) id: Arc<str>,
    /// The submitted specification, with the priority raised to that of the most urgent job that
    /// depends on this one.
    pub spec: Arc<JobSpec>,
    /// The priority that the job's record keeps; that of `spec` may be higher.
    pub(super) submitted_priority: Priority,
    /// Wall-clock time of the submission, in milliseconds.
    pub submitted_at: u64,
    /// Whether some dependency may not be done yet: the job then holds and requests no capacity.
    pub(super) waits_for_dependencies: bool,
    /// Wall-clock time since when the job could have started, in milliseconds; its objectives
    /// count from then.
    pub(super) ready_at: u64,
    /// Wall-clock time in seconds by which the job has to be done for its dependents to meet their
    /// deadlines.
    pub(super) due_at_s: Option<f64>,
    /// Whether the job, or a dependency of it, was cancelled by its user.
    pub cancelled: bool,
    /// The attempt number of the next placement.
    pub(super) next_attempt: u64,
    /// The tasks that are done.
    pub done: TaskSet,
    /// The tasks that are bound to a machine.
    pub placements: Vec<Placement>,
    /// Which of the job's changes are committed to its record.
    pub(super) record: RecordState,
    /// Where the index [`super::dirty_jobs::DirtyJobs`] has the job.
    pub(super) write_state: WriteState,
    /// The job's failures, and until when it backs off.
    pub(super) retry: RetryState,
    /// Machines with capacity reserved for the job.
    pub(super) reserved_machines: BTreeSet<Arc<str>>,
    /// When capacity was last reserved for the job.
    pub(super) reserved_at: u64,
    /// When the latest placements were made, or read from the record.
    pub(super) placed_at: u64,
    /// Since when the planner has passed over machines that lack the job's image.
    pub(super) waiting_for_cache_since: Option<u64>,
    /// How often the gang was not completely started in time.
    pub(super) failed_formations: u32,
}

impl Job {
    /// The state of a job by its record, without placements.
    pub(super) fn new(id: &str, live: &LiveJob, now: u64) -> Job {
        let record = &live.record;
        let has_begun = !record.runs.is_empty() || !record.done.is_empty();
        Job {
            id: id.into(),
            spec: Arc::new(record.spec.clone()),
            submitted_priority: record.spec.priority,
            submitted_at: record.submitted_at,
            // A job only begins once all its dependencies are done.
            waits_for_dependencies: !record.spec.dependencies.is_empty() && !has_begun,
            ready_at: record.submitted_at,
            due_at_s: None,
            cancelled: record.cancelled,
            next_attempt: record.next_attempt,
            done: record.done.clone(),
            placements: vec![],
            record: RecordState::new(live.version, &record.done, now),
            write_state: WriteState::None,
            retry: RetryState::default(),
            reserved_machines: BTreeSet::new(),
            reserved_at: 0,
            placed_at: now,
            waiting_for_cache_since: None,
            failed_formations: 0,
        }
    }

    pub(super) fn is_gang(&self) -> bool {
        self.spec.shape == Shape::Gang
    }

    /// Whether each task has a placement.
    pub(super) fn is_fully_placed(&self) -> bool {
        self.placements.len() as u64 == u64::from(self.spec.tasks)
    }

    /// The tasks that have a placement.
    pub(super) fn placed_tasks(&self) -> Vec<TaskKey> {
        let placements = self.placements.iter();
        placements
            .map(|placement| TaskKey::new(&self.id, placement.task))
            .collect()
    }

    /// The job's final state, if it has ended.
    pub(super) fn final_state(&self) -> Option<FinalState> {
        // A committed cancellation has precedence over tasks that complete afterwards: the
        // user has already been told that the job is cancelled.
        if self.cancelled {
            self.placements.is_empty().then_some(FinalState::Cancelled)
        } else {
            let all_done = self.done.len() == u64::from(self.spec.tasks);
            all_done.then_some(FinalState::Done)
        }
    }

    pub(super) fn placement(&self, task: u32) -> Option<&Placement> {
        self.placements
            .iter()
            .find(|placement| placement.task == task)
    }

    pub(super) fn placement_mut(&mut self, task: u32) -> Option<&mut Placement> {
        self.placements
            .iter_mut()
            .find(|placement| placement.task == task)
    }

    /// Whether, and how urgently, the job's record has to be written.
    pub(super) fn required_write_state(&self) -> WriteState {
        match self.record.required_write() {
            WriteState::Deferred(_) if self.final_state().is_some() => WriteState::Urgent,
            state => state,
        }
    }

    /// How many tasks have no placement and may get one.
    pub(super) fn pending_count(&self) -> u64 {
        if self.cancelled || self.waits_for_dependencies {
            return 0;
        }
        let done_or_placed = self.done.len() + self.placements.len() as u64;
        u64::from(self.spec.tasks).saturating_sub(done_or_placed)
    }

    /// The first `max` tasks that have no placement and may get one.
    pub(super) fn pending_tasks(&self, max: usize) -> Vec<u32> {
        let max = max.min(self.pending_count() as usize);
        if max == 0 {
            return vec![];
        }
        let placed: HashSet<u32> = self.placements.iter().map(|p| p.task).collect();
        let mut pending = Vec::with_capacity(max);
        let mut task = 0;
        let mut ranges = self.done.0.iter();
        let mut next_range = ranges.next();
        while task < self.spec.tasks && pending.len() < max {
            if let Some((first, last)) = next_range {
                if task >= *first {
                    task = last + 1;
                    next_range = ranges.next();
                    continue;
                }
            }
            if !placed.contains(&task) {
                pending.push(task);
            }
            task += 1;
        }
        pending
    }

    /// The placements as runs: consecutive tasks with the same attempt number on the same machine.
    fn to_runs(&self) -> Vec<TaskRun> {
        let mut placements: Vec<&Placement> = self.placements.iter().collect();
        placements.sort_by_key(|p| p.task);
        let mut runs: Vec<TaskRun> = Vec::new();
        for placement in placements {
            match runs.last_mut() {
                Some(run)
                    if run.first + run.count == placement.task
                        && run.attempt == placement.attempt
                        && *run.machine == *placement.machine =>
                {
                    run.count += 1;
                }
                _ => runs.push(TaskRun::single(
                    placement.task,
                    placement.attempt,
                    &*placement.machine,
                )),
            }
        }
        runs
    }

    /// The current state as a record.
    pub(super) fn to_record(&self, epoch: Epoch) -> JobRecord {
        let mut spec = (*self.spec).clone();
        spec.priority = self.submitted_priority;
        JobRecord {
            spec,
            submitted_at: self.submitted_at,
            cancelled: self.cancelled,
            next_attempt: self.next_attempt,
            done: self.done.clone(),
            runs: self.to_runs(),
            writer: RecordWriter {
                epoch,
                change: self.record.change(),
            },
        }
    }
}
