//! The placement of a task: the machine that it is bound to, and how far its start and stop are.

use std::fmt;
use std::sync::Arc;

use super::DirectStart;
use crate::job::task_name;
use crate::machine::TaskPhase;
use crate::wire::Incarnation;

/// Names a task: its job and its number.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct TaskKey {
    pub job: Arc<str>,
    pub task: u32,
}

impl TaskKey {
    pub(super) fn new(job: &Arc<str>, task: u32) -> TaskKey {
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
    Answer {
        incarnation: Incarnation,
        serial: u64,
    },
    /// Straight to the agent, once only. Unless the agent shows the outcome, it may still be
    /// executed until the agent's incarnation ends.
    Direct { incarnation: Incarnation, at: u64 },
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

    /// Whether its start may be sent this way, once its change is recorded. A restart under the
    /// same attempt must not be sent directly: it could be executed late, after the task has
    /// exited and was cleared again.
    pub(super) fn may_start(&self, delivery: StartDelivery) -> bool {
        let is_direct = matches!(delivery, StartDelivery::Direct { .. });
        self.is_start_pending() && self.stop.is_none() && !(is_direct && self.restarts_in_place)
    }

    /// It is certainly not on its machine: its start may be sent again.
    pub(super) fn restart_in_place(&mut self) {
        self.restarts_in_place = true;
        self.delivery = None;
        self.phase = None;
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
