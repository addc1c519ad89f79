//! What workers report, and the commands that they get.

use serde::{Deserialize, Serialize};

use super::optional_number;
use crate::machine::{ExitCause, TaskPhase};

/// Where workers report, on the controllers.
pub const CHECKIN_PATH: &str = "/checkin";
/// Where workers take commands.
pub const COMMANDS_PATH: &str = "/orders";
/// Where workers are asked for a report.
pub const INSPECT_PATH: &str = "/inspect";

/// A worker's report.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Report {
    /// The machine's name.
    #[serde(rename = "host")]
    pub machine: String,
    /// The address at which the worker takes commands.
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
    /// The worker's session, which increases each time its lease expires.
    #[serde(rename = "tenure")]
    pub session: u64,
    /// Orders the reports of a session.
    pub serial: u64,
    /// The highest epoch that the worker has seen.
    #[serde(default)]
    pub epoch: u64,
    /// Seconds until the cloud takes the machine back, if it gave notice.
    #[serde(default, rename = "reclaimInS", deserialize_with = "optional_number")]
    pub reclaim_in_s: Option<f64>,
    /// All tasks on the machine.
    #[serde(rename = "pieces", default)]
    pub tasks: Vec<TaskReport>,
}

/// A task in a report.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct TaskReport {
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

/// A command to a worker.
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

/// Commands that go together, in a direct request or in the answer to a check-in.
#[derive(Debug, Serialize, Deserialize)]
pub struct CommandBatch {
    /// The leader's fencing token.
    pub epoch: u64,
    /// The session that the commands are for; only in direct requests.
    #[serde(rename = "tenure", skip_serializing_if = "Option::is_none", default)]
    pub session: Option<u64>,
    /// To be executed in this order.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// Tells a worker to report to another controller.
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
        "pulling" => TaskPhase::Fetching,
        "gathering" => TaskPhase::Waiting,
        "flushing" => TaskPhase::Saving,
        "ended" => TaskPhase::Exited(exit_cause(cause, kept)),
        _ => TaskPhase::Running,
    }
}

fn exit_cause(cause: Option<&str>, kept: Option<bool>) -> ExitCause {
    match cause {
        Some("done") => ExitCause::Done,
        Some("stopped") => ExitCause::Stopped {
            kept: kept.unwrap_or(false),
        },
        Some("mates_gone") => ExitCause::GangMemberLost,
        Some("alone") => ExitCause::GangTimeout,
        Some("full") => ExitCause::NoRoom,
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
