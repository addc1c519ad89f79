//! The status that agents send, and the commands that they receive.

use serde::{Deserialize, Serialize};

use super::incarnation::Incarnation;
use super::optional_number;
use super::words::{ExitReason, TaskState};
use crate::epoch::Epoch;
use crate::machine::{ExitCause, TaskPhase};

/// Where controllers receive heartbeats.
pub const HEARTBEAT_PATH: &str = "/checkin";
/// Where agents take commands.
pub const COMMANDS_PATH: &str = "/orders";
/// Where agents are asked for their status.
pub const INSPECT_PATH: &str = "/inspect";

/// An agent's status, in a heartbeat or in the response to a request.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct AgentStatus {
    /// The machine's name.
    #[serde(rename = "host")]
    pub machine: String,
    /// The address at which the agent takes commands.
    pub endpoint: String,
    /// The name of the machine's type.
    #[serde(rename = "flavor")]
    pub machine_type: String,
    /// The machine's zone.
    #[serde(rename = "hall")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "loaner", default)]
    pub spot: bool,
    /// The agent's incarnation, which increases each time its lease expires.
    #[serde(rename = "tenure")]
    pub incarnation: Incarnation,
    /// Increases with every status of an incarnation: the one with the larger pair of
    /// incarnation and serial is newer.
    pub serial: u64,
    /// The highest epoch that the agent has seen.
    #[serde(default)]
    pub epoch: Epoch,
    /// Seconds until the cloud takes the spot machine back, if it gave notice.
    #[serde(default, rename = "reclaimInS", deserialize_with = "optional_number")]
    pub interruption_in_s: Option<f64>,
    /// All tasks on the machine, exited ones included until they are cleared.
    #[serde(rename = "pieces", default)]
    pub tasks: Vec<TaskStatus>,
}

/// A task in an agent's status.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct TaskStatus {
    /// The task's name, see [`crate::job::task_name`].
    #[serde(rename = "piece")]
    pub task: String,
    /// The attempt under which it was started.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// Its state.
    pub status: TaskState,
    /// Why it exited.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<ExitReason>,
    /// Whether it saved a checkpoint when it was stopped.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kept: Option<bool>,
}

/// What a command asks an agent to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CommandVerb {
    /// Start a task.
    Start,
    /// Stop a task.
    Stop,
    /// Remove an exited task from the status.
    Clear,
}

/// A command to an agent.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct Command {
    /// What is to be done.
    pub verb: CommandVerb,
    /// The task's name.
    #[serde(rename = "piece")]
    pub task: String,
    /// The task's attempt.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// How long a stopped task may take to save a checkpoint, in seconds.
    #[serde(
        rename = "windDownS",
        default,
        skip_serializing_if = "Option::is_none",
        deserialize_with = "optional_number"
    )]
    pub grace_s: Option<f64>,
}

/// Commands that go together, in a direct request or in the response to a heartbeat.
#[derive(Debug, Serialize, Deserialize)]
pub struct CommandBatch {
    /// The leader's fencing token.
    pub epoch: Epoch,
    /// The incarnation that the commands are for; only in direct requests.
    #[serde(rename = "tenure", skip_serializing_if = "Option::is_none", default)]
    pub incarnation: Option<Incarnation>,
    /// To be executed in this order.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// Tells an agent to report to another controller.
#[derive(Debug, Serialize, Deserialize)]
pub struct Redirect {
    /// The leader, if it is known.
    #[serde(rename = "reportsTo", skip_serializing_if = "Option::is_none")]
    pub reports_to: Option<String>,
}

impl TaskStatus {
    /// The state of the task with the reason of its exit.
    pub fn phase(&self) -> TaskPhase {
        match self.status {
            TaskState::PullingImage => TaskPhase::PullingImage,
            TaskState::AwaitingGang => TaskPhase::AwaitingGang,
            TaskState::Checkpointing => TaskPhase::Checkpointing,
            TaskState::Running => TaskPhase::Running,
            TaskState::Exited => TaskPhase::Exited(self.exit_cause()),
        }
    }

    fn exit_cause(&self) -> ExitCause {
        match self.cause.unwrap_or(ExitReason::Error) {
            ExitReason::Done => ExitCause::Done,
            ExitReason::Stopped => ExitCause::Stopped {
                checkpointed: self.kept.unwrap_or(false),
            },
            ExitReason::GangMemberLost => ExitCause::GangMemberLost,
            ExitReason::GangTimeout => ExitCause::GangTimeout,
            ExitReason::InsufficientCapacity => ExitCause::InsufficientCapacity,
            ExitReason::InUse => ExitCause::InUse,
            ExitReason::UnknownTask => ExitCause::UnknownTask,
            ExitReason::Error => ExitCause::Error,
        }
    }
}

/// Starts a task.
pub fn start_command(task: String, attempt: u64) -> Command {
    Command {
        verb: CommandVerb::Start,
        task,
        attempt,
        grace_s: None,
    }
}

/// Stops a task, which may save a checkpoint if the grace period is long enough for it.
pub fn stop_command(task: String, attempt: u64, grace_s: f64) -> Command {
    Command {
        verb: CommandVerb::Stop,
        task,
        attempt,
        grace_s: Some(grace_s),
    }
}

/// Removes an exited task from the agent's status.
pub fn clear_command(task: String, attempt: u64) -> Command {
    Command {
        verb: CommandVerb::Clear,
        task,
        attempt,
        grace_s: None,
    }
}
