//! Users' requests in progress.

use thiserror::Error;

use crate::job::JobSpec;

/// Who waits for an answer: a user's connection, or another controller's that
/// forwarded a user's request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Caller {
    pub connection: usize,
    pub forwarded: bool,
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
    /// Another controller's answer.
    Forwarded,
    /// A short pause before trying again.
    Pause { until: u64 },
}

/// Tasks of a job, for display.
pub(super) struct TaskCounts {
    pub done: u64,
    pub running: u64,
}

/// A request in progress.
#[derive(Debug, Clone)]
pub(super) struct PendingRequest {
    pub caller: Caller,
    /// The job's id.
    pub id: String,
    pub request: UserRequest,
    pub since: u64,
    pub stage: RequestStage,
    /// As it came, to forward it.
    pub body: Vec<u8>,
    /// What a submission names: found on record, though not in the watch cache yet.
    pub found_dependencies: Vec<String>,
    /// It names a job that was never accepted. If it was accepted itself, it gets its
    /// state all the same.
    pub names_unknown_job: bool,
}

/// Why a job is not accepted.
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
    /// The HTTP status.
    pub fn status(self) -> u16 {
        match self {
            Refusal::MachineTypesUnknown => 503,
            Refusal::TooLongToKeep => 400,
            _ => 422,
        }
    }

    /// When the user is to come back, in seconds; `None` if it is of no use.
    pub fn retry_after(self) -> Option<u32> {
        (self.status() == 503).then_some(1)
    }
}
