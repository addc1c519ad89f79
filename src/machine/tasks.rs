//! Tasks on a machine: those that its agent reports, and those that the records place on it.

use std::sync::Arc;

use crate::job::parse_task_name;
use crate::plan::Resources;
use crate::wire::{AgentStatus, TaskStatus};

/// The phase of a task on its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskPhase {
    /// The task waits for its image.
    PullingImage,
    /// The task waits for the other tasks of its gang.
    AwaitingGang,
    /// The task is running.
    Running,
    /// The task is being stopped and saves a checkpoint.
    Checkpointing,
    /// The task has exited, and the agent has not been told to clear it yet.
    Exited(ExitCause),
}

/// Why a task exited, or was not started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitCause {
    /// The task completed its work; in a gang, so have all other tasks.
    Done,
    /// The task was stopped by a command.
    Stopped {
        /// Whether its progress was saved.
        checkpointed: bool,
    },
    /// Another task of its gang was lost.
    GangMemberLost,
    /// The other tasks of its gang were not ready in time.
    GangTimeout,
    /// The task failed, or the agent reported no cause or an unknown one.
    Error,
    /// The agent refused to start the task: not enough free resources.
    InsufficientCapacity,
    /// The agent refused to start the task: it is present with another attempt.
    InUse,
    /// The agent refused the command: it knows no such task.
    UnknownTask,
}

/// An attempt of a task, which is started at most once on each machine, replacements in a gang
/// excepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskAttempt {
    /// The id of the task's job.
    pub job: Arc<str>,
    /// The task's number within its job, from 0.
    pub task: u32,
    /// The attempt of the task.
    pub attempt: u64,
}

impl TaskAttempt {
    /// Whether a reported task is this attempt.
    pub(super) fn is(&self, reported: &ReportedTask) -> bool {
        self.task == reported.task && self.attempt == reported.attempt && *self.job == *reported.job
    }
}

impl From<&ReportedTask> for TaskAttempt {
    fn from(reported: &ReportedTask) -> TaskAttempt {
        TaskAttempt {
            job: reported.job.as_str().into(),
            task: reported.task,
            attempt: reported.attempt,
        }
    }
}

/// A task in an agent's status.
#[derive(Debug, Clone, PartialEq)]
pub struct ReportedTask {
    /// The id of the task's job.
    pub job: String,
    /// The task's number in its job.
    pub task: u32,
    /// The attempt of the task.
    pub attempt: u64,
    /// The phase of the task on the machine.
    pub phase: TaskPhase,
}

/// A task that its job's record places on a machine.
#[derive(Debug, Clone)]
pub struct BoundTask {
    /// The id of the task's job.
    pub job: Arc<str>,
    /// The task's number in its job.
    pub task: u32,
    /// The attempt of the task.
    pub attempt: u64,
    /// The resources that the task occupies.
    pub resources: Resources,
    /// Whether its job may use spot machines.
    pub spot: bool,
}

impl BoundTask {
    /// Whether a reported task is this task, in the same attempt.
    pub(super) fn matches(&self, reported: &ReportedTask) -> bool {
        self.task == reported.task && self.attempt == reported.attempt && *self.job == *reported.job
    }
}

/// A task of a status, with its parsed name.
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

/// Returns the tasks of a status, except those with a malformed name.
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

/// Returns the tasks that a status reports.
pub(super) fn reported_tasks(status: &AgentStatus) -> Vec<ReportedTask> {
    let tasks = parsed_tasks(status).map(|task| ReportedTask {
        job: task.job.to_string(),
        task: task.number,
        attempt: task.status.attempt,
        phase: task.status.phase(),
    });
    tasks.collect()
}

/// Whether a status has the same tasks as the last one. Most statuses do, and the comparison
/// allocates nothing.
pub(super) fn has_same_tasks(status: &AgentStatus, last: &[ReportedTask]) -> bool {
    let mut last = last.iter();
    let is_same =
        parsed_tasks(status).all(|task| last.next().is_some_and(|reported| task.equals(reported)));
    is_same && last.next().is_none()
}
