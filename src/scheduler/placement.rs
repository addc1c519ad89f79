//! The placement of a task: the machine that it is bound to, and the progress of its start and
//! stop.

use std::fmt;
use std::sync::Arc;

use crate::epoch::Epoch;
use crate::job::task_name;
use crate::machine::{TaskAttempt, TaskPhase};
use crate::wire::Incarnation;

/// Identifies a task by its job and its number.
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

/// A request to stop a task.
#[derive(Debug, Clone)]
pub(super) struct StopRequest {
    /// The checkpoint grace period that the stop command carries.
    pub grace_s: f64,
    /// When the stop with this grace period was first sent.
    pub requested_at: u64,
    /// When the stop command was last sent.
    pub sent_at: Option<u64>,
}

/// How a start command was sent.
#[derive(Debug, Clone, Copy)]
pub(super) enum StartDelivery {
    /// In the response to this heartbeat. The agent accepts such a response on arrival or never, so
    /// a later heartbeat shows the outcome.
    HeartbeatResponse {
        incarnation: Incarnation,
        serial: u64,
    },
    /// Directly to the agent, and not repeated while the outcome is unknown. Until a status shows
    /// the outcome, the command may still be executed, for as long as the agent's incarnation
    /// lasts and it has seen no higher epoch.
    Direct {
        incarnation: Incarnation,
        epoch: Epoch,
        at: u64,
    },
}

/// A task that is bound to a machine: it may be on that machine, or may be started there.
#[derive(Debug, Clone)]
pub struct Placement {
    /// The task's number within its job, from 0.
    pub task: u32,
    /// The task's attempt.
    pub attempt: u64,
    /// The machine's name.
    pub machine: Arc<str>,
    /// The number of the job's change that added the placement; 0 if an earlier leader added it.
    pub(super) change: u64,
    /// How the start was last sent; `None` if it was not, or is known to have had no effect.
    pub(super) delivery: Option<StartDelivery>,
    /// How often the start was sent.
    pub(super) start_attempts: u32,
    /// The placement is committed and the task is certainly not on its machine: it is to be
    /// started there again with the same attempt number.
    pub(super) restarts_in_place: bool,
    /// The task's phase in the last status that contains the task.
    pub phase: Option<TaskPhase>,
    /// When the start was last sent; before that, when the task was placed.
    pub(super) placed_or_sent_at: u64,
    /// When a status first showed the task as running.
    pub(super) running_since: Option<u64>,
    /// Set once the task is being stopped.
    pub(super) stop: Option<StopRequest>,
}

impl Placement {
    /// A placement that the job's change number `change` adds; 0 if an earlier leader added it.
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
            placed_or_sent_at: now,
            running_since: None,
            stop: None,
        }
    }

    /// Whether the start has not been sent, so that the agent cannot know of the task.
    pub(super) fn is_start_pending(&self) -> bool {
        (self.change > 0 || self.restarts_in_place)
            && self.delivery.is_none()
            && self.phase.is_none()
    }

    /// Whether the start may be sent this way, once its change is committed. A restart with the
    /// same attempt number must not be sent directly: it could be executed late, after the task
    /// has exited again and was cleared.
    pub(super) fn may_start(&self, delivery: StartDelivery) -> bool {
        let is_direct = matches!(delivery, StartDelivery::Direct { .. });
        self.is_start_pending() && self.stop.is_none() && !(is_direct && self.restarts_in_place)
    }

    /// Lets the start be sent again with the same attempt number; the task is certainly not on
    /// its machine.
    pub(super) fn restart_in_place(&mut self) {
        self.restarts_in_place = true;
        self.delivery = None;
        self.phase = None;
    }

    pub(super) fn on_start_sent(&mut self, delivery: StartDelivery, now: u64) {
        self.delivery = Some(delivery);
        self.start_attempts += 1;
        self.placed_or_sent_at = now;
    }

    /// Whether `start` is this placement's direct start and no status has shown its outcome yet.
    pub(super) fn awaits_direct_start(&self, start: &TaskAttempt) -> bool {
        self.task == start.task
            && self.attempt == start.attempt
            && self.phase.is_none()
            && matches!(self.delivery, Some(StartDelivery::Direct { .. }))
    }
}
