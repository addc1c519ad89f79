//! What users are answered.

use serde::{Deserialize, Serialize};

use super::decode;

/// Where jobs are submitted; below it each job has its own path.
pub const JOBS_PATH: &str = "/work";
/// Where the load balancer asks whether the controller can take requests.
pub const HEALTH_PATH: &str = "/up";

/// No task of the job runs.
pub const PENDING: &str = "pending";
/// Some tasks of the job run.
pub const RUNNING: &str = "running";
/// All tasks of the job are done.
pub const DONE: &str = "done";
/// The job is cancelled.
pub const WITHDRAWN: &str = "withdrawn";

/// The state of a job.
#[derive(Serialize)]
pub struct JobStatusReply<'a> {
    /// The job's id.
    #[serde(rename = "nameId")]
    pub id: &'a str,
    /// One of [`PENDING`], [`RUNNING`], [`DONE`] and [`WITHDRAWN`].
    pub status: &'a str,
    /// Tasks that are done, for display.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub done: Option<u64>,
    /// Tasks that run, for display.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub running: Option<u64>,
}

/// Why a request was not carried out.
#[derive(Serialize)]
pub struct ErrorReply<'a> {
    /// The reason, for people.
    pub error: &'a str,
}

/// Whether an answer to a user calls the job cancelled.
pub fn is_cancelled_reply(body: &[u8]) -> bool {
    #[derive(Deserialize)]
    struct StatusOnly {
        #[serde(default)]
        status: String,
    }
    decode::<StatusOnly>(body).is_ok_and(|reply| reply.status == WITHDRAWN)
}
