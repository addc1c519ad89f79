//! A simulated agent and the tasks on its machine.

use gaugesill::epoch::Epoch;
use gaugesill::wire::Incarnation;
use gaugesill::wire::{AgentStatus, CommandBatch, ExitReason, TaskState, TaskStatus};

use super::addresses::agent_address;
use super::agent_ticks::LEASE_MS;
use super::cloud::Rented;
use super::controller_processes::CONTROLLERS;

/// Delay before an agent sends its heartbeat to another controller.
const NEXT_CONTROLLER_MS: u64 = 1000;

/// A task on a machine.
#[derive(Clone, Debug)]
pub(crate) struct AgentTask {
    pub name: String,
    pub attempt: u64,
    pub state: TaskState,
    pub exit_reason: Option<ExitReason>,
    /// When its image is pulled or, while it runs, when it completes.
    pub(super) until: u64,
}

impl AgentTask {
    pub(super) fn pulling_image(name: &str, attempt: u64, until: u64) -> AgentTask {
        AgentTask {
            name: name.to_string(),
            attempt,
            state: TaskState::PullingImage,
            exit_reason: None,
            until,
        }
    }

    /// Whether the task has not exited.
    pub(crate) fn is_live(&self) -> bool {
        self.state != TaskState::Exited
    }

    pub(super) fn matches(&self, name: &str, attempt: u64) -> bool {
        self.name == name && self.attempt == attempt
    }

    pub(super) fn belongs_to(&self, job: &str) -> bool {
        self.name.rsplit_once('/').is_some_and(|(id, _)| id == job)
    }

    pub(super) fn exit(&mut self, reason: ExitReason) {
        self.state = TaskState::Exited;
        self.exit_reason = Some(reason);
    }

    fn status(&self) -> TaskStatus {
        TaskStatus {
            task: self.name.clone(),
            attempt: self.attempt,
            status: self.state,
            cause: self.exit_reason,
            kept: None,
        }
    }
}

/// A heartbeat that has not been answered yet.
#[derive(Clone, Copy)]
pub(super) struct PendingHeartbeat {
    pub(super) serial: u64,
    pub(super) sent_at: u64,
}

/// The agent of a machine.
pub(crate) struct Agent {
    pub machine: String,
    pub incarnation: Incarnation,
    pub serial: u64,
    /// The highest epoch that any controller has sent it.
    pub epoch: Epoch,
    /// When a higher epoch next counts as a change of the status.
    next_epoch_change_at: u64,
    pub tasks: Vec<AgentTask>,
    /// The controller that receives its heartbeats.
    pub reports_to: usize,
    pub(super) pending_heartbeat: Option<PendingHeartbeat>,
    /// When the last acknowledged heartbeat was sent; the lease is counted from then.
    pub(super) last_acknowledged_at: u64,
    pub(super) next_heartbeat_at: u64,
    /// Whether the status has changed since the last heartbeat.
    pub(super) has_changes: bool,
    /// How many live tasks were killed because the lease expired.
    pub killed_tasks: u64,
}

impl Agent {
    pub(super) fn new(machine: &str, now: u64) -> Agent {
        Agent {
            machine: machine.to_string(),
            incarnation: Incarnation::new(1),
            serial: 0,
            epoch: Epoch::NONE,
            next_epoch_change_at: 0,
            tasks: vec![],
            reports_to: 0,
            pending_heartbeat: None,
            last_acknowledged_at: now,
            next_heartbeat_at: now,
            has_changes: false,
            killed_tasks: 0,
        }
    }

    /// The tasks that have not exited.
    pub(crate) fn live_tasks(&self) -> impl Iterator<Item = &AgentTask> {
        self.tasks.iter().filter(|task| task.is_live())
    }

    pub(super) fn has(&self, name: &str, attempt: u64) -> bool {
        self.tasks.iter().any(|task| task.matches(name, attempt))
    }

    /// Whether a task is on the machine under any attempt and has not exited.
    pub(super) fn has_live(&self, name: &str) -> bool {
        self.live_tasks().any(|task| task.name == name)
    }

    /// Its current status under the next serial number.
    pub(super) fn next_status(&mut self, rented: &Rented) -> AgentStatus {
        self.serial += 1;
        AgentStatus {
            machine: self.machine.clone(),
            endpoint: agent_address(&self.machine).to_string(),
            machine_type: rented.machine_type.clone(),
            zone: rented.zone.clone(),
            spot: rented.spot,
            incarnation: self.incarnation,
            serial: self.serial,
            epoch: self.epoch,
            interruption_in_s: None,
            tasks: self.tasks.iter().map(AgentTask::status).collect(),
        }
    }

    /// Whether it executes direct commands: the epoch must not be older than the agent's, and the
    /// incarnation must match.
    pub(super) fn accepts(&self, batch: &CommandBatch) -> bool {
        batch.epoch >= self.epoch && batch.incarnation == Some(self.incarnation)
    }

    /// A higher epoch counts as a change of the status at most once in half a lease.
    pub(super) fn observe_epoch(&mut self, epoch: Epoch, now: u64) {
        if epoch <= self.epoch {
            return;
        }
        self.epoch = epoch;
        if now >= self.next_epoch_change_at {
            self.next_epoch_change_at = now + LEASE_MS / 2;
            self.has_changes = true;
        }
    }

    /// Stops a task; false if no live task matches.
    pub(super) fn stop(&mut self, name: &str, attempt: u64) -> bool {
        let mut tasks = self.tasks.iter_mut();
        let Some(task) = tasks.find(|task| task.matches(name, attempt) && task.is_live()) else {
            return false;
        };
        task.exit(ExitReason::Stopped);
        self.has_changes = true;
        true
    }

    /// Removes an exited task.
    pub(super) fn clear(&mut self, name: &str, attempt: u64) {
        self.tasks
            .retain(|task| !task.matches(name, attempt) || task.is_live());
    }

    pub(super) fn report_to(&mut self, controller: usize, at: u64) {
        self.reports_to = controller;
        self.next_heartbeat_at = at;
    }

    /// Sends its heartbeats to the controller after `controller` from now on.
    pub(super) fn report_to_next_after(&mut self, controller: usize, now: u64) {
        self.report_to((controller + 1) % CONTROLLERS, now + NEXT_CONTROLLER_MS);
    }

    /// Starts the next incarnation, without tasks.
    pub(super) fn begin_incarnation(&mut self, now: u64) {
        self.tasks.clear();
        self.incarnation = self.incarnation.next();
        self.last_acknowledged_at = now;
        self.has_changes = true;
        self.pending_heartbeat = None;
    }
}
