//! Tasks on a machine: those that its agent reports, and those that the records bind to it.

use std::sync::Arc;

use crate::job::parse_task_name;
use crate::plan::Resources;
use crate::wire::{AgentStatus, TaskStatus};

/// The phase of a task on its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskPhase {
    /// Waits for its image.
    PullingImage,
    /// Waits for the other tasks of its gang.
    AwaitingGang,
    /// Runs.
    Running,
    /// Was told to stop and saves a checkpoint.
    Checkpointing,
    /// Has exited and was not cleared yet.
    Exited(ExitCause),
}

/// Why a task exited, or was not started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitCause {
    /// Completed.
    Done,
    /// Stopped by a command.
    Stopped {
        /// Whether its progress was saved.
        checkpointed: bool,
    },
    /// Another task of its gang is gone.
    GangMemberLost,
    /// Its gang was not complete in time.
    GangTimeout,
    /// It failed.
    Error,
    /// Refused: not enough free resources.
    InsufficientCapacity,
    /// Refused: the task is present with another attempt.
    InUse,
    /// Refused: the agent knows no such task.
    UnknownTask,
}

/// A task in an agent's status.
#[derive(Debug, Clone, PartialEq)]
pub struct ReportedTask {
    /// The id of its job.
    pub job: String,
    /// Its number.
    pub task: u32,
    /// Its attempt.
    pub attempt: u64,
    /// Its phase.
    pub phase: TaskPhase,
}

/// A task that the records bind to a machine.
#[derive(Debug, Clone)]
pub struct BoundTask {
    /// The id of its job.
    pub job: Arc<str>,
    /// Its number.
    pub task: u32,
    /// Its attempt.
    pub attempt: u64,
    /// The resources that it takes.
    pub resources: Resources,
    /// Whether its job may use spot machines.
    pub spot: bool,
}

impl BoundTask {
    /// Whether a reported task is this task in the same attempt.
    pub(super) fn is(&self, reported: &ReportedTask) -> bool {
        self.task == reported.task && self.attempt == reported.attempt && *self.job == *reported.job
    }
}

/// A task of a status whose name could be parsed.
struct ParsedTask<'a> {
    job: &'a str,
    number: u32,
    status: &'a TaskStatus,
}

impl ParsedTask<'_> {
    fn equals(&self, reported: &ReportedTask) -> bool {
        reported.task == self.number
            && reported.attempt == self.status.attempt
            && reported.job == self.job
            && reported.phase == self.status.phase()
    }
}

/// The tasks of a status whose names can be parsed.
fn parsed_tasks(status: &AgentStatus) -> impl Iterator<Item = ParsedTask<'_>> {
    status.tasks.iter().filter_map(|status| {
        let (job, number) = parse_task_name(&status.task)?;
        Some(ParsedTask {
            job,
            number,
            status,
        })
    })
}

/// The tasks of a status.
pub(super) fn reported_tasks(status: &AgentStatus) -> Vec<ReportedTask> {
    let tasks = parsed_tasks(status).map(|task| ReportedTask {
        job: task.job.to_string(),
        task: task.number,
        attempt: task.status.attempt,
        phase: task.status.phase(),
    });
    tasks.collect()
}

/// Whether a status has the same tasks as the last one. Most do, and the comparison copies
/// nothing.
pub(super) fn has_same_tasks(status: &AgentStatus, last: &[ReportedTask]) -> bool {
    let mut last = last.iter();
    let is_same =
        parsed_tasks(status).all(|task| last.next().is_some_and(|reported| task.equals(reported)));
    is_same && last.next().is_none()
}
