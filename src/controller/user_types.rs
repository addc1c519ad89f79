//! The types of users' requests in progress.

use thiserror::Error;

use super::http::HttpResponse;
use crate::job::{JobRecord, JobSpec};
use crate::net::status;
use crate::wire;

/// Where a user's request came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RequestOrigin {
    /// From the user.
    User,
    /// From another controller, which forwarded it. It is not forwarded again.
    Peer,
}

/// The connection on which a response is awaited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Caller {
    pub connection: usize,
    pub origin: RequestOrigin,
}

/// What a user wants.
#[derive(Debug, Clone)]
pub(super) enum UserRequest {
    Submit(Box<JobSpec>),
    Poll,
    Cancel,
}

/// What a request in progress waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RequestStage {
    /// A watch cache read after this event and of at least this revision.
    AwaitCache { after: u64, revision: u64 },
    /// The outcome of a change.
    Commit,
    /// The direct read of a key.
    Read,
    /// Another controller's response.
    Forwarded,
    /// A short pause before trying again.
    Pause { until: u64 },
}

/// How many tasks of a live job are done, and how many are running.
pub(super) struct TaskCounts {
    pub done: u64,
    pub running: u64,
}

/// The state of a job as users see it.
pub(super) struct JobStatus {
    /// The word for it in the protocol.
    pub status: &'static str,
    /// Its tasks, if it is live.
    pub tasks: Option<TaskCounts>,
}

impl JobStatus {
    /// The state of a live job that is not cancelled.
    pub(super) fn of_live(record: &JobRecord) -> JobStatus {
        let tasks = TaskCounts {
            done: record.done.len(),
            running: record.placed_tasks(),
        };
        let status = if tasks.running > 0 {
            wire::RUNNING
        } else {
            wire::PENDING
        };
        JobStatus {
            status,
            tasks: Some(tasks),
        }
    }

    /// A state that says nothing of tasks.
    pub(super) fn new(status: &'static str) -> JobStatus {
        JobStatus {
            status,
            tasks: None,
        }
    }
}

/// A request in progress.
#[derive(Debug, Clone)]
pub(super) struct PendingRequest {
    pub caller: Caller,
    /// The job's id.
    pub job: String,
    pub request: UserRequest,
    pub since: u64,
    pub stage: RequestStage,
    /// As it was received, to forward it.
    pub body: Vec<u8>,
    /// Jobs that a submission names, found on record though not in the watch cache yet.
    pub found_dependencies: Vec<String>,
    /// A submission names a job that was never accepted. If it was accepted itself, the
    /// response has its state all the same.
    pub names_unknown_job: bool,
}

/// Why a job is not accepted. The texts go to users.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub(super) enum Refusal {
    #[error("unknown team")]
    UnknownTeam,
    #[error("more than the team's limit")]
    BeyondTeamLimit,
    #[error("the machine types are not known yet")]
    MachineTypesUnknown,
    #[error("fits no allowed machine type")]
    FitsNoMachineType,
    #[error("its names and lists are too long to be kept")]
    TooLongToKeep,
    #[error("a gang of so many tasks is too large to be kept")]
    GangTooLargeToKeep,
    #[error("names a job that was never accepted")]
    NamesUnknownJob,
}

impl Refusal {
    fn status(self) -> u16 {
        match self {
            Refusal::MachineTypesUnknown => status::UNAVAILABLE,
            Refusal::TooLongToKeep => status::BAD_REQUEST,
            _ => status::UNPROCESSABLE,
        }
    }

    /// The response to the user, who is asked to try again if that may help.
    pub(super) fn response(self) -> HttpResponse {
        let response = HttpResponse::error(self.status(), &self.to_string());
        match self {
            Refusal::MachineTypesUnknown => response.with_retry_after(),
            _ => response,
        }
    }
}
