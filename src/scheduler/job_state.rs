//! A live job as the leader knows it, and its placements.

use std::collections::{BTreeSet, HashSet};
use std::fmt;
use std::sync::Arc;

use super::DirectStart;
use crate::job::{
    task_name, FinalState, JobRecord, JobSpec, Priority, RecordWriter, Shape, TaskRun, TaskSet,
};
use crate::machine::TaskPhase;
use crate::watch_cache::LiveJob;

/// Names a task: its job and its number.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct TaskKey {
    pub job: Arc<str>,
    pub task: u32,
}

impl TaskKey {
    pub fn new(job: &Arc<str>, task: u32) -> TaskKey {
        TaskKey {
            job: job.clone(),
            task,
        }
    }
}

impl fmt::Display for TaskKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&task_name(&self.job, self.task))
    }
}

/// The request to stop a task.
#[derive(Debug, Clone)]
pub(super) struct StopRequest {
    /// The checkpoint grace period.
    pub grace_s: f64,
    /// Since when the task is being stopped.
    pub since: u64,
    /// When the command was last sent.
    pub sent_at: Option<u64>,
}

/// How a start was sent.
#[derive(Debug, Clone, Copy)]
pub(super) enum StartDelivery {
    /// In the answer to this heartbeat. Such an answer is accepted at once or never, so a
    /// later heartbeat shows the outcome.
    Answer { incarnation: u64, serial: u64 },
    /// Straight to the agent, once only. Unless the agent shows the outcome, it may still be
    /// executed until the agent's incarnation ends.
    Direct { incarnation: u64, at: u64 },
}

/// A task that is bound to a machine: it may be there.
#[derive(Debug, Clone)]
pub struct Placement {
    /// The task's number.
    pub task: u32,
    /// The task's attempt.
    pub attempt: u64,
    /// The machine's name.
    pub machine: Arc<str>,
    /// The job's change that added it; 0 if an earlier leader did.
    pub(super) change: u64,
    /// How its start was last sent, unless that is known to have had no effect.
    pub(super) delivery: Option<StartDelivery>,
    /// How often its start was sent.
    pub(super) start_attempts: u32,
    /// It is recorded and certainly not on its machine: it is to be started there under the
    /// attempt that it has.
    pub(super) restarts_in_place: bool,
    /// Its phase by the last status that shows it.
    pub phase: Option<TaskPhase>,
    /// When its start was last sent, or when it was placed.
    pub(super) since: u64,
    pub(super) running_since: Option<u64>,
    /// Set once it is being stopped.
    pub(super) stop: Option<StopRequest>,
}

impl Placement {
    /// A placement that the job's change `change` added; 0 if an earlier leader did.
    pub(super) fn new(
        task: u32,
        attempt: u64,
        machine: Arc<str>,
        change: u64,
        now: u64,
    ) -> Placement {
        Placement {
            task,
            attempt,
            machine,
            change,
            delivery: None,
            start_attempts: 0,
            restarts_in_place: false,
            phase: None,
            since: now,
            running_since: None,
            stop: None,
        }
    }

    /// Its start has not been sent: the machine cannot know of it.
    pub(super) fn is_start_pending(&self) -> bool {
        (self.change > 0 || self.restarts_in_place)
            && self.delivery.is_none()
            && self.phase.is_none()
    }

    /// Whether its start may be sent this way, once the job's change `committed_change` is
    /// recorded. A restart under the same attempt must not be sent directly: it could be
    /// executed late, after the task has exited and was cleared again.
    pub(super) fn may_start(&self, committed_change: u64, delivery: StartDelivery) -> bool {
        let is_direct = matches!(delivery, StartDelivery::Direct { .. });
        self.is_start_pending()
            && self.change <= committed_change
            && self.stop.is_none()
            && !(is_direct && self.restarts_in_place)
    }

    pub(super) fn on_start_sent(&mut self, delivery: StartDelivery, now: u64) {
        self.delivery = Some(delivery);
        self.start_attempts += 1;
        self.since = now;
    }

    /// Whether this direct start is its own and no status has shown an outcome yet.
    pub(super) fn awaits_direct_start(&self, start: &DirectStart) -> bool {
        self.task == start.task
            && self.attempt == start.attempt
            && self.phase.is_none()
            && matches!(self.delivery, Some(StartDelivery::Direct { .. }))
    }
}

/// Whether, and how soon, a job's record is to be written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WriteState {
    /// All changes are recorded, or one is being written.
    None,
    /// A change has to be recorded before something else can happen.
    Urgent,
    /// A change may wait for others; the time since when it does.
    Deferred(u64),
}

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
    /// The version of its record's key.
    pub(super) key_version: u64,
    /// Number of its changes in this term.
    pub(super) change: u64,
    /// Changes up to this one are to be recorded at once; later ones may wait and be written
    /// together.
    pub(super) urgent_change: u64,
    /// The last change that is recorded.
    pub(super) committed_change: u64,
    /// Since when a change waits to be recorded.
    pub(super) changed_at: u64,
    /// The tasks that were done as of the last recorded change.
    pub(super) committed_done: TaskSet,
    /// The change that is being written.
    pub(super) writing_change: Option<u64>,
    /// The tasks that were done as of that change.
    pub(super) writing_done: TaskSet,
    /// Its record is not written before this time.
    pub(super) write_after: u64,
    /// Its record is not written before the watch cache has reached this revision.
    pub(super) write_after_revision: u64,
    /// Where [`super::dirty_jobs::DirtyJobs`] has it.
    pub(super) write_state: WriteState,
    /// It rests until then after a failure.
    pub(super) retry_after: u64,
    /// Failures in a row.
    pub(super) failures: u32,
    /// Planning cycles in a row that found no capacity for it.
    pub(super) failed_cycles: u32,
    /// The planner passes it over until then, for lack of capacity.
    pub(super) backoff_until: u64,
    /// Machines on which it failed.
    pub(super) avoided_machines: HashSet<Arc<str>>,
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
            key_version: live.version,
            change: 0,
            urgent_change: 0,
            committed_change: 0,
            changed_at: now,
            committed_done: record.done.clone(),
            writing_change: None,
            writing_done: TaskSet::default(),
            write_after: 0,
            write_after_revision: 0,
            write_state: WriteState::None,
            retry_after: 0,
            failures: 0,
            failed_cycles: 0,
            backoff_until: 0,
            avoided_machines: HashSet::new(),
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

    /// Counts a change, which is to be written.
    pub(super) fn record_change(&mut self, now: u64) -> u64 {
        if self.change <= self.committed_change {
            self.changed_at = now;
        }
        self.change += 1;
        self.change
    }

    /// Whether, and how soon, its record has to be written.
    pub(super) fn required_write_state(&self) -> WriteState {
        if self.change <= self.committed_change || self.writing_change.is_some() {
            WriteState::None
        } else if self.urgent_change > self.committed_change || self.final_state().is_some() {
            WriteState::Urgent
        } else {
            WriteState::Deferred(self.changed_at)
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
    pub(super) fn to_record(&self, epoch: u64) -> JobRecord {
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
                change: self.change,
            },
        }
    }
}
