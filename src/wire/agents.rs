//! What agents report, and the commands that they get.

use serde::{Deserialize, Serialize};

use super::optional_number;
use crate::machine::{ExitCause, TaskPhase};

/// Where agents report, on the controllers.
pub const HEARTBEAT_PATH: &str = "/checkin";
/// Where agents take commands.
pub const COMMANDS_PATH: &str = "/orders";
/// Where agents are asked for a report.
pub const INSPECT_PATH: &str = "/inspect";

/// An agent's report.
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
    pub incarnation: u64,
    /// Orders the reports of an incarnation.
    pub serial: u64,
    /// The highest epoch that the agent has seen.
    #[serde(default)]
    pub epoch: u64,
    /// Seconds until the cloud takes the machine back, if it gave notice.
    #[serde(default, rename = "reclaimInS", deserialize_with = "optional_number")]
    pub interruption_in_s: Option<f64>,
    /// All tasks on the machine.
    #[serde(rename = "pieces", default)]
    pub tasks: Vec<TaskStatus>,
}

/// A task in a report.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct TaskStatus {
    /// The task's name, see [`crate::job::task_name`].
    #[serde(rename = "piece")]
    pub task: String,
    /// The attempt under which it was started.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// Its state, see [`task_phase`].
    pub status: String,
    /// Why it exited.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<String>,
    /// Whether its progress was saved as it was stopped.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kept: Option<bool>,
}

/// A command to an agent.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct Command {
    /// `start`, `stop` or `clear`.
    pub verb: String,
    /// The task's name.
    #[serde(rename = "piece")]
    pub task: String,
    /// The task's attempt.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// How long a stopped task may take to save.
    #[serde(
        rename = "windDownS",
        default,
        skip_serializing_if = "Option::is_none",
        deserialize_with = "optional_number"
    )]
    pub grace_s: Option<f64>,
}

/// Commands that go together, in a direct request or in the answer to a heartbeat.
#[derive(Debug, Serialize, Deserialize)]
pub struct CommandBatch {
    /// The leader's fencing token.
    pub epoch: u64,
    /// The incarnation that the commands are for; only in direct requests.
    #[serde(rename = "tenure", skip_serializing_if = "Option::is_none", default)]
    pub incarnation: Option<u64>,
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

/// Reads a task's state. One that is not known counts as running: it keeps
/// its place until a report shows otherwise.
pub fn task_phase(status: &str, cause: Option<&str>, kept: Option<bool>) -> TaskPhase {
    match status {
        "pulling" => TaskPhase::PullingImage,
        "gathering" => TaskPhase::AwaitingGang,
        "flushing" => TaskPhase::Checkpointing,
        "ended" => TaskPhase::Exited(exit_cause(cause, kept)),
        _ => TaskPhase::Running,
    }
}

fn exit_cause(cause: Option<&str>, kept: Option<bool>) -> ExitCause {
    match cause {
        Some("done") => ExitCause::Done,
        Some("stopped") => ExitCause::Stopped {
            checkpointed: kept.unwrap_or(false),
        },
        Some("mates_gone") => ExitCause::GangMemberLost,
        Some("alone") => ExitCause::GangTimeout,
        Some("full") => ExitCause::InsufficientCapacity,
        Some("in_use") => ExitCause::InUse,
        Some("no_such") => ExitCause::UnknownTask,
        _ => ExitCause::Error,
    }
}

/// Starts a task.
pub fn start_command(task: String, attempt: u64) -> Command {
    Command {
        verb: "start".into(),
        task,
        attempt,
        grace_s: None,
    }
}

/// Stops a task, which may save if the grace is long enough for it.
pub fn stop_command(task: String, attempt: u64, grace_s: f64) -> Command {
    Command {
        verb: "stop".into(),
        task,
        attempt,
        grace_s: Some(grace_s),
    }
}

/// Removes an exited task from the reports.
pub fn clear_command(task: String, attempt: u64) -> Command {
    Command {
        verb: "clear".into(),
        task,
        attempt,
        grace_s: None,
    }
}
