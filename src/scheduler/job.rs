//! A live job as the leader knows it.

use std::collections::{BTreeSet, HashSet};
use std::sync::Arc;

use super::placement::{Placement, TaskKey};
use super::record_state::{RecordState, WriteState};
use super::retry_state::RetryState;
use crate::epoch::Epoch;
use crate::job::{FinalState, JobRecord, JobSpec, Priority, RecordWriter, Shape, TaskRun, TaskSet};
use crate::watch_cache::LiveJob;

/// A live job as the leader knows it.
#[derive(Debug)]
pub struct Job {
    pub(super) id: Arc<str>,
    /// As submitted, but with the priority of the most urgent job that depends on it.
    pub spec: Arc<JobSpec>,
    /// The priority as submitted.
    pub(super) own_priority: Priority,
    /// Time of day of its submission, in milliseconds.
    pub submitted_at: u64,
    /// Not all of its dependencies are known to be done: it holds and requests no capacity.
    pub(super) is_waiting: bool,
    /// Time of day from which its objectives count: since when it could have started, in
    /// milliseconds.
    pub(super) ready_at: u64,
    /// When it has to be done for its dependents to meet their deadlines, in seconds of
    /// the time of day.
    pub(super) due_at_s: Option<f64>,
    /// Its user, or that of a dependency, has cancelled it.
    pub cancelled: bool,
    pub(super) next_attempt: u64,
    /// The tasks that are done.
    pub done: TaskSet,
    /// Its tasks that may be on a machine.
    pub placements: Vec<Placement>,
    /// Which of its changes are recorded.
    pub(super) record: RecordState,
    /// Where [`super::dirty_jobs::DirtyJobs`] has it.
    pub(super) write_state: WriteState,
    /// Its failures.
    pub(super) retry: RetryState,
    /// Machines with capacity reserved for it.
    pub(super) reserved_machines: BTreeSet<Arc<str>>,
    /// When capacity was last reserved for it.
    pub(super) reserved_at: u64,
    /// When its latest placements were made, or found recorded.
    pub(super) placed_at: u64,
    /// Since when it has skipped machines without its image.
    pub(super) waiting_for_cache_since: Option<u64>,
    /// How often the gang was not complete in time.
    pub(super) failed_formations: u32,
}

impl Job {
    /// A job as its record describes it, without placements.
    pub(super) fn new(id: &str, live: &LiveJob, now: u64) -> Job {
        let record = &live.record;
        let begun = !record.runs.is_empty() || !record.done.is_empty();
        Job {
            id: id.into(),
            spec: Arc::new(record.spec.clone()),
            own_priority: record.spec.priority,
            submitted_at: record.submitted_at,
            // A job that has begun had all its dependencies done.
            is_waiting: !record.spec.dependencies.is_empty() && !begun,
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

    /// Whether each of its tasks has a placement.
    pub(super) fn is_whole(&self) -> bool {
        self.placements.len() as u64 == u64::from(self.spec.tasks)
    }

    /// The tasks that have a placement.
    pub(super) fn placed_tasks(&self) -> Vec<TaskKey> {
        let placements = self.placements.iter();
        placements
            .map(|placement| TaskKey::new(&self.id, placement.task))
            .collect()
    }

    /// How it has ended, if it has.
    pub(super) fn final_state(&self) -> Option<FinalState> {
        // A recorded cancellation came before the end, whatever the last tasks did meanwhile:
        // its user has been told.
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

    /// Whether, and how soon, its record has to be written.
    pub(super) fn required_write_state(&self) -> WriteState {
        match self.record.required_write() {
            WriteState::Deferred(_) if self.final_state().is_some() => WriteState::Urgent,
            state => state,
        }
    }

    /// How many of its tasks have no placement and may have one.
    pub(super) fn pending_count(&self) -> u64 {
        if self.cancelled || self.is_waiting {
            return 0;
        }
        let settled = self.done.len() + self.placements.len() as u64;
        u64::from(self.spec.tasks).saturating_sub(settled)
    }

    /// The first `max` tasks without a placement.
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

    /// Its placements as runs of consecutive tasks in the same attempt on the same machine.
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

    /// Its present state as a record.
    pub(super) fn to_record(&self, epoch: Epoch) -> JobRecord {
        let mut spec = (*self.spec).clone();
        spec.priority = self.own_priority;
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
