//! Types of users' requests: origin, operation, stage, and reasons for rejection.

use thiserror::Error;

use super::http::HttpResponse;
use crate::job::{JobRecord, JobSpec};
use crate::net::status;
use crate::wire;

/// Where a user's request came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RequestOrigin {
    /// Directly from the user.
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

/// The operation that a user requests on a job.
#[derive(Debug, Clone)]
pub(super) enum UserRequest {
    Submit(Box<JobSpec>),
    Poll,
    Cancel,
}

/// What a request in progress waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RequestStage {
    /// A watch cache read after the event with this sequence number, and of at least this
    /// revision.
    AwaitCache { after_event: u64, revision: u64 },
    /// The outcome of a write to the store.
    Commit,
    /// The direct read of a key of the store.
    Read,
    /// Another controller's response.
    Forwarded,
    /// A delay before the request is retried, until this time in milliseconds of the steady
    /// clock.
    Pause { until: u64 },
}

/// How many tasks of a live job are done, and how many are running.
pub(super) struct TaskCounts {
    pub done: u64,
    pub running: u64,
}

/// The state of a job as reported to users.
pub(super) struct JobStatus {
    /// The state's name in the protocol.
    pub status: &'static str,
    /// Task counts of a live job; `None` if it has ended, was cancelled or was just created.
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

    /// A state without task counts.
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
    /// When the request arrived, in milliseconds of the steady clock.
    pub since: u64,
    pub stage: RequestStage,
    /// The body as it was received, for forwarding.
    pub body: Vec<u8>,
    /// Dependencies of a submission that were found in the store although the watch cache does
    /// not have them yet.
    pub found_dependencies: Vec<String>,
    /// Whether a submission depends on a job that was never accepted. If the submission itself
    /// was accepted earlier, the response still reports its state.
    pub has_unknown_dependency: bool,
}

/// Why a submission is rejected. Users get the text as the response's body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub(super) enum RejectionReason {
    #[error("unknown team")]
    UnknownTeam,
    #[error("more than the team's limit")]
    ExceedsTeamLimit,
    #[error("the machine types are not known yet")]
    MachineTypesNotLoaded,
    #[error("fits no allowed machine type")]
    NoFittingMachineType,
    #[error("its names and lists are too long to be kept")]
    RecordTooLarge,
    #[error("a gang of so many tasks is too large to be kept")]
    GangRecordTooLarge,
    #[error("names a job that was never accepted")]
    UnknownDependency,
}

impl RejectionReason {
    fn status(self) -> u16 {
        match self {
            RejectionReason::MachineTypesNotLoaded => status::UNAVAILABLE,
            RejectionReason::RecordTooLarge => status::BAD_REQUEST,
            _ => status::UNPROCESSABLE,
        }
    }

    /// The response to the user; it has a retry time if a retry may succeed.
    pub(super) fn response(self) -> HttpResponse {
        let response = HttpResponse::error(self.status(), &self.to_string());
        match self {
            RejectionReason::MachineTypesNotLoaded => response.with_retry_after(),
            _ => response,
        }
    }
}
