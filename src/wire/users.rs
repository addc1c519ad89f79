//! Responses to users.

use serde::{Deserialize, Serialize};

use super::decode;

/// Path at which jobs are submitted; the path of each job is below it.
pub const JOBS_PATH: &str = "/work";
/// Path at which the load balancer checks whether the controller can serve requests.
pub const HEALTH_PATH: &str = "/up";

/// Status of a job of which no task is running.
pub const PENDING: &str = "pending";
/// Status of a job of which some tasks are running.
pub const RUNNING: &str = "running";
/// Status of a job whose tasks are all done.
pub const DONE: &str = "done";
/// Status of a cancelled job.
pub const CANCELLED: &str = "withdrawn";

/// The state of a job.
#[derive(Serialize)]
pub struct JobStatusReply<'a> {
    /// The job's id.
    #[serde(rename = "nameId")]
    pub id: &'a str,
    /// One of [`PENDING`], [`RUNNING`], [`DONE`] and [`CANCELLED`].
    pub status: &'a str,
    /// Number of tasks that are done, for display.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub done: Option<u64>,
    /// Number of running tasks, for display.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub running: Option<u64>,
}

/// The response to a request that failed or was refused.
#[derive(Serialize)]
pub struct ErrorReply<'a> {
    /// The reason, as a human-readable text.
    pub error: &'a str,
}

/// Whether a response to a user reports the job as cancelled.
pub fn is_cancelled_reply(body: &[u8]) -> bool {
    #[derive(Deserialize)]
    struct StatusOnly {
        #[serde(default)]
        status: String,
    }
    decode::<StatusOnly>(body).is_ok_and(|reply| reply.status == CANCELLED)
}
