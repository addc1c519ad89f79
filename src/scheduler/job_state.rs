//! A live job as the leader knows it.

use std::collections::{BTreeSet, HashSet};
use std::sync::Arc;

use crate::job::{FinalState, JobRecord, JobSpec, Priority, RecordWriter, Shape, TaskRun, TaskSet};
use crate::machine::TaskPhase;
use crate::watch_cache::LiveJob;

/// A task that is being stopped.
#[derive(Debug, Clone)]
pub(super) struct StopRequest {
    pub grace_s: f64,
    pub since: u64,
    /// When the command last went out.
    pub sent_at: Option<u64>,
}

/// How a start went out.
#[derive(Debug, Clone, Copy)]
pub(super) enum StartDelivery {
    /// In the answer to this heartbeat. Such an answer is taken at once or
    /// never, so a later heartbeat tells.
    Answer { incarnation: u64, serial: u64 },
    /// Straight to the agent, once only. Unless the agent says what became
    /// of it, it may yet be carried out until the agent's incarnation ends.
    Direct { incarnation: u64, at: u64 },
}

/// A task that may be on a machine.
#[derive(Debug, Clone)]
pub struct Placement {
    /// The task's number.
    pub task: u32,
    /// The task's attempt.
    pub attempt: u64,
    /// The machine's name.
    pub machine: Arc<str>,
    /// The job's count of changes that brought it; 0 for an earlier leader's.
    pub(super) change: u64,
    pub(super) delivery: Option<StartDelivery>,
    /// How often its start went out.
    pub(super) start_attempts: u32,
    /// On record and proven not to be there: to be started in its place under
    /// the attempt that it has.
    pub(super) restarts_in_place: bool,
    /// Its state by the last report that shows it.
    pub phase: Option<TaskPhase>,
    /// When its start last went out, or when it was placed.
    pub(super) since: u64,
    pub(super) running_since: Option<u64>,
    pub(super) stop: Option<StopRequest>,
}

impl Placement {
    /// A placement by the job's change `change`; 0 for an earlier leader's.
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

    /// Its start has not gone out: the machine can't know of it.
    pub(super) fn is_start_pending(&self) -> bool {
        (self.change > 0 || self.restarts_in_place)
            && self.delivery.is_none()
            && self.phase.is_none()
    }
}

/// Where a job stands among the records that are to be written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WriteState {
    /// Nothing is to be written, or a change is being written.
    None,
    /// A change waits that has to be on record before something else can happen.
    Urgent,
    /// A change waits since then that may wait for others.
    Deferred(u64),
}

/// A live job as the leader knows it.
#[derive(Debug)]
pub struct Job {
    pub(super) id: Arc<str>,
    /// As asked for, but with the priority of the most urgent job that depends on it.
    pub spec: Arc<JobSpec>,
    pub(super) own_priority: Priority,
    /// Time of day of its submission, in milliseconds.
    pub submitted_at: u64,
    /// Not all of its dependencies are known to be done: it holds nothing and asks for
    /// nothing.
    pub(super) is_waiting: bool,
    /// Time of day from which its objectives count: since when it could have started.
    pub(super) ready_at: u64,
    /// When it has to be done for its dependents to meet their deadlines, in seconds of
    /// the time of day.
    pub(super) due_at_s: Option<f64>,
    /// Its user, or that of a dependency, has cancelled it.
    pub cancelled: bool,
    pub(super) next_attempt: u64,
    /// The tasks that are done.
    pub done: TaskSet,
    /// The tasks that may be on a machine.
    pub placements: Vec<Placement>,
    /// The version of its record's key.
    pub(super) key_version: u64,
    /// Its count of changes.
    pub(super) change: u64,
    /// Changes up to this one are wanted on record at once; later ones may
    /// wait for others to go with them.
    pub(super) urgent_change: u64,
    /// The last change that is on record.
    pub(super) committed_change: u64,
    /// Since when a change waits.
    pub(super) changed_at: u64,
    /// What was done as of the last change on record.
    pub(super) committed_done: TaskSet,
    /// The change that is being written.
    pub(super) writing_change: Option<u64>,
    /// What was done as of that change.
    pub(super) writing_done: TaskSet,
    pub(super) write_after: u64,
    pub(super) write_after_revision: u64,
    /// Where it stands among the records that are to be written.
    pub(super) write_state: WriteState,
    /// It rests until then after a failure.
    pub(super) retry_after: u64,
    /// Failures in a row.
    pub(super) failures: u32,
    /// Cycles in a row that found no capacity.
    pub(super) failed_cycles: u32,
    pub(super) backoff_until: u64,
    /// Machines on which it failed.
    pub(super) avoided_machines: HashSet<Arc<str>>,
    /// Machines with capacity held for it.
    pub(super) reserved_machines: BTreeSet<Arc<str>>,
    pub(super) reserved_at: u64,
    /// When its latest places were given, or found on record.
    pub(super) placed_at: u64,
    /// Since when it has skipped machines without its image.
    pub(super) waiting_for_cache_since: Option<u64>,
    /// How often it did not come together within its wait.
    pub(super) failed_formations: u32,
}

impl Job {
    /// A job as its record has it, without placements.
    pub(super) fn new(id: &str, live: &LiveJob, now: u64) -> Job {
        let record = &live.record;
        let begun = !record.runs.is_empty() || !record.done.is_empty();
        Job {
            id: id.into(),
            spec: Arc::new(record.spec.clone()),
            own_priority: record.spec.priority,
            submitted_at: record.submitted_at,
            // What has begun had all its dependencies done.
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

    /// Whether each of its tasks that are not done has a place.
    pub(super) fn is_whole(&self) -> bool {
        self.placements.len() as u64 == u64::from(self.spec.tasks)
    }

    /// How it has ended, if it has.
    pub(super) fn final_state(&self) -> Option<FinalState> {
        // A cancellation on record came before the end, whatever the last
        // tasks did meanwhile: its user has been told.
        if self.cancelled {
            self.placements.is_empty().then_some(FinalState::Cancelled)
        } else {
            let all_done = self.done.len() == u64::from(self.spec.tasks);
            all_done.then_some(FinalState::Done)
        }
    }

    pub(super) fn placement(&self, task: u32) -> Option<&Placement> {
        self.placements.iter().find(|p| p.task == task)
    }

    pub(super) fn placement_mut(&mut self, task: u32) -> Option<&mut Placement> {
        self.placements.iter_mut().find(|p| p.task == task)
    }

    /// Counts a change, which is to be written.
    pub(super) fn record_change(&mut self, now: u64) -> u64 {
        if self.change <= self.committed_change {
            self.changed_at = now;
        }
        self.change += 1;
        self.change
    }

    /// Where it belongs among the records that are to be written.
    pub(super) fn required_write_state(&self) -> WriteState {
        if self.change <= self.committed_change || self.writing_change.is_some() {
            WriteState::None
        } else if self.urgent_change > self.committed_change || self.final_state().is_some() {
            WriteState::Urgent
        } else {
            WriteState::Deferred(self.changed_at)
        }
    }

    /// How many of its tasks have no place and may have one.
    pub(super) fn pending_count(&self) -> u64 {
        if self.cancelled || self.is_waiting {
            return 0;
        }
        let settled = self.done.len() + self.placements.len() as u64;
        u64::from(self.spec.tasks).saturating_sub(settled)
    }

    /// The first `max` tasks without a place.
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

    /// Its present state as a record.
    pub(super) fn to_record(&self, epoch: u64) -> JobRecord {
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
        let mut spec = (*self.spec).clone();
        spec.priority = self.own_priority;
        JobRecord {
            spec,
            submitted_at: self.submitted_at,
            cancelled: self.cancelled,
            next_attempt: self.next_attempt,
            done: self.done.clone(),
            runs,
            writer: RecordWriter {
                epoch,
                change: self.change,
            },
        }
    }
}
