//! Messages exchanged with agents: the status that they send, and the commands they receive.

use serde::{Deserialize, Serialize};

use super::incarnation::Incarnation;
use super::optional_number;
use super::protocol_enums::{ExitReason, TaskState};
use crate::epoch::Epoch;
use crate::machine::{ExitCause, TaskPhase};

/// Path at which controllers receive heartbeats.
pub const HEARTBEAT_PATH: &str = "/checkin";
/// Path at which agents receive commands.
pub const COMMANDS_PATH: &str = "/orders";
/// Path at which agents return their status.
pub const INSPECT_PATH: &str = "/inspect";

/// An agent's status, in a heartbeat or in the response to a status request.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct AgentStatus {
    /// The machine's name.
    #[serde(rename = "host")]
    pub machine: String,
    /// The address at which the agent receives commands.
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
    /// Sequence number of the status in its incarnation. Of two statuses, the one with the larger
    /// pair of incarnation and serial is newer.
    pub serial: u64,
    /// The highest epoch that the agent has seen.
    #[serde(default)]
    pub epoch: Epoch,
    /// Seconds until the cloud reclaims the spot machine, if it gave an interruption notice.
    #[serde(default, rename = "reclaimInS", deserialize_with = "optional_number")]
    pub interruption_in_s: Option<f64>,
    /// All tasks on the machine, including exited ones that are not cleared yet.
    #[serde(rename = "pieces", default)]
    pub tasks: Vec<TaskStatus>,
}

/// A task in an agent's status.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct TaskStatus {
    /// The task's name, see [`crate::job::task_name`].
    #[serde(rename = "piece")]
    pub task: String,
    /// The attempt that it was started with.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// The state of the task.
    pub status: TaskState,
    /// Why the task exited; only for exited tasks.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<ExitReason>,
    /// Whether the task saved a checkpoint when it was stopped; only for stopped tasks.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kept: Option<bool>,
}

/// The operation that a command requests.
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
    /// What the agent does with the task.
    pub verb: CommandVerb,
    /// The task's name.
    #[serde(rename = "piece")]
    pub task: String,
    /// The task's attempt.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// Grace period in which a stopped task may save a checkpoint, in seconds; only in stop
    /// commands.
    #[serde(
        rename = "windDownS",
        default,
        skip_serializing_if = "Option::is_none",
        deserialize_with = "optional_number"
    )]
    pub grace_s: Option<f64>,
}

/// Commands that are sent together, in a direct request or in the response to a heartbeat.
#[derive(Debug, Serialize, Deserialize)]
pub struct CommandBatch {
    /// The leader's fencing token.
    pub epoch: Epoch,
    /// The agent's incarnation that the commands are addressed to; only in direct requests.
    #[serde(rename = "tenure", skip_serializing_if = "Option::is_none", default)]
    pub incarnation: Option<Incarnation>,
    /// The commands, which the agent executes in this order.
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
    /// The phase of the task, including the reason of its exit.
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

/// A command that starts a task.
pub fn start_command(task: String, attempt: u64) -> Command {
    Command {
        verb: CommandVerb::Start,
        task,
        attempt,
        grace_s: None,
    }
}

/// A command that stops a task, which may save a checkpoint if the grace period suffices.
pub fn stop_command(task: String, attempt: u64, grace_s: f64) -> Command {
    Command {
        verb: CommandVerb::Stop,
        task,
        attempt,
        grace_s: Some(grace_s),
    }
}

/// A command that removes an exited task from the agent's status.
pub fn clear_command(task: String, attempt: u64) -> Command {
    Command {
        verb: CommandVerb::Clear,
        task,
        attempt,
        grace_s: None,
    }
}
