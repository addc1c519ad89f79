//! Jobs and their stored forms.
//!
//! A job is described by its [`JobSpec`]. While it is live, the store keeps its [`JobRecord`]
//! (the spec, which tasks are done, and which machines the others may be on). Once the job is
//! over, only its [`FinalState`] is kept. Other versions of this service read all stored forms,
//! so their bytes must not change within a format.

mod final_state;
mod record;
mod spec;

use ciborium::Value;

pub use crate::task_runs::{TaskRun, TaskSet};
pub use final_state::FinalState;
pub use record::{JobRecord, RecordError, RecordWriter, PACKED_FORMAT};
pub use spec::{JobSpec, Priority, Shape};

/// Returns a value's size as the store counts it: the length of its JSON form in bytes.
pub fn json_length(value: &Value) -> usize {
    serde_json::to_vec(value).map_or(usize::MAX, |text| text.len())
}

/// Returns the name by which agents know a task, such as `run-000412/3`.
pub fn task_name(job: &str, task: u32) -> String {
    format!("{job}/{task}")
}

/// Splits a task's name into the job's id and the task's number; `None` if it is malformed.
pub fn parse_task_name(name: &str) -> Option<(&str, u32)> {
    let (job, number) = name.rsplit_once('/')?;
    Some((job, number.parse().ok()?))
}
