//! Jobs, and the compact record of each that the store keeps.

use ciborium::Value;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::packed_record::{self, UnpackError};
pub use crate::task_runs::{TaskRun, TaskSet};

/// How the tasks of a job belong together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Shape {
    /// Independent tasks.
    #[serde(rename = "a")]
    Array,
    /// All tasks run at the same time, or none does.
    #[serde(rename = "g")]
    Gang,
    /// Placed like an array; its tasks run until the job is cancelled.
    #[serde(rename = "s")]
    Service,
}

/// The priority of a job, in rising order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Priority {
    /// Takes what is left over.
    #[serde(rename = "l")]
    Low,
    /// The usual one.
    #[serde(rename = "n")]
    Normal,
    /// Before the usual ones.
    #[serde(rename = "h")]
    High,
    /// Before all others.
    #[serde(rename = "p")]
    Production,
}

/// What the user asked for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The class that the job belongs to.
    #[serde(rename = "c")]
    pub class: String,
    /// The team whose nominal quota and limit apply.
    #[serde(rename = "t")]
    pub team: String,
    /// How its tasks belong together.
    #[serde(rename = "s")]
    pub shape: Shape,
    /// Its priority.
    #[serde(rename = "u")]
    pub priority: Priority,
    /// The number of tasks.
    #[serde(rename = "n")]
    pub tasks: u32,
    /// CPUs of each task.
    #[serde(rename = "cp", deserialize_with = "crate::wire::number")]
    pub cpus: f64,
    /// GPUs of each task.
    #[serde(rename = "gp", deserialize_with = "crate::wire::number")]
    pub gpus: f64,
    /// Memory of each task.
    #[serde(rename = "me", deserialize_with = "crate::wire::number")]
    pub memory_gb: f64,
    /// The machine types that are allowed; `None` for any.
    #[serde(rename = "ty", default, skip_serializing_if = "Option::is_none")]
    pub machine_types: Option<Vec<String>>,
    /// The only zone that is allowed; `None` for any.
    #[serde(rename = "z", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// All tasks must be in the same zone.
    #[serde(rename = "oz", default)]
    pub single_zone: bool,
    /// At most half of the tasks may be in one zone.
    #[serde(rename = "sp", default)]
    pub spread: bool,
    /// The job may use spot machines.
    #[serde(rename = "so", default)]
    pub spot: bool,
    /// The image that a machine must have first.
    #[serde(rename = "i")]
    pub image: String,
    /// The image's size.
    #[serde(rename = "ig", deserialize_with = "crate::wire::number")]
    pub image_gb: f64,
    /// The owner's estimate of a task's run time.
    #[serde(rename = "ex", deserialize_with = "crate::wire::number")]
    pub expected_s: f64,
    /// Progress between two checkpoints; 0 if tasks never save.
    #[serde(rename = "ck", deserialize_with = "crate::wire::number")]
    pub checkpoint_interval_s: f64,
    /// Time that a task needs to save when it is stopped.
    #[serde(rename = "sv", deserialize_with = "crate::wire::number")]
    pub checkpoint_grace_s: f64,
    /// When the job should be done, from its submission.
    #[serde(rename = "d", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
    /// Jobs that have to be done before any task of this one starts.
    #[serde(rename = "dp", default, skip_serializing_if = "Vec::is_empty")]
    pub dependencies: Vec<String>,
}

/// Which leader wrote a record last. Stored as a list of two.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct RecordWriter {
    /// The leader's epoch; 0 if no leader has written it.
    pub epoch: u64,
    /// The leader's count of changes of the job.
    pub change: u64,
}

impl From<(u64, u64)> for RecordWriter {
    fn from((epoch, change): (u64, u64)) -> RecordWriter {
        RecordWriter { epoch, change }
    }
}

impl From<RecordWriter> for (u64, u64) {
    fn from(writer: RecordWriter) -> Self {
        (writer.epoch, writer.change)
    }
}

/// The record of a job that is not over.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// What was asked for.
    #[serde(rename = "j")]
    pub spec: JobSpec,
    /// Time of day of the first submission, in milliseconds.
    #[serde(rename = "at")]
    pub submitted_at: u64,
    /// Its user has cancelled it.
    #[serde(rename = "x", default)]
    pub cancelled: bool,
    /// The next attempt; lower numbers have been used.
    #[serde(rename = "a")]
    pub next_attempt: u64,
    /// The tasks that are done.
    #[serde(rename = "f", default)]
    pub done: TaskSet,
    /// The tasks that may be on a machine.
    #[serde(rename = "r", default)]
    pub runs: Vec<TaskRun>,
    /// Who wrote it last.
    #[serde(rename = "w", default)]
    pub writer: RecordWriter,
}

impl JobRecord {
    /// The record of a job that was just submitted.
    pub fn new(spec: JobSpec, submitted_at: u64) -> JobRecord {
        JobRecord {
            spec,
            submitted_at,
            cancelled: false,
            next_attempt: 1,
            done: TaskSet::default(),
            runs: vec![],
            writer: RecordWriter::default(),
        }
    }

    /// How many tasks may be on a machine.
    pub fn placed_tasks(&self) -> u64 {
        self.runs.iter().map(|run| u64::from(run.count)).sum()
    }

    /// As it is stored: before [`PACKED_FORMAT`] so that the version in production can
    /// read it, from then on with its body packed.
    pub fn to_value(&self, format: u64) -> Value {
        let packed = (format >= PACKED_FORMAT)
            .then(|| packed_record::pack(self.spec.tasks, &self.done, &self.runs))
            .flatten();
        match packed {
            Some(body) => Value::serialized(&PackedRecord {
                spec: self.spec.clone(),
                submitted_at: self.submitted_at,
                cancelled: self.cancelled,
                next_attempt: self.next_attempt,
                body,
                writer: self.writer,
            }),
            None => Value::serialized(self),
        }
        .unwrap_or(Value::Null)
    }

    /// Reads a stored record of either form.
    ///
    /// # Errors
    ///
    /// If the value is a record of neither form, or its packed body is malformed.
    pub fn from_value(value: &Value) -> Result<JobRecord, RecordError> {
        if let Ok(record) = value.deserialized() {
            return Ok(record);
        }
        let packed: PackedRecord = value.deserialized()?;
        let (done, runs) = packed_record::unpack(packed.spec.tasks, &packed.body)?;
        Ok(JobRecord {
            spec: packed.spec,
            submitted_at: packed.submitted_at,
            cancelled: packed.cancelled,
            next_attempt: packed.next_attempt,
            done,
            runs,
            writer: packed.writer,
        })
    }
}

/// The format from which on records are packed and no version that does not know them
/// runs any more.
pub const PACKED_FORMAT: u64 = 1;

/// A record in [`PACKED_FORMAT`]. The next attempt has another name than before, so
/// that a version which does not know the form can't take the record for an empty one.
#[derive(Serialize, Deserialize)]
struct PackedRecord {
    #[serde(rename = "j")]
    spec: JobSpec,
    #[serde(rename = "at")]
    submitted_at: u64,
    #[serde(rename = "x", default, skip_serializing_if = "is_false")]
    cancelled: bool,
    #[serde(rename = "n")]
    next_attempt: u64,
    #[serde(rename = "p")]
    body: String,
    #[serde(rename = "w")]
    writer: RecordWriter,
}

fn is_false(flag: &bool) -> bool {
    !flag
}

/// A value's size as the store counts it, in bytes.
pub fn json_length(value: &Value) -> usize {
    serde_json::to_vec(value).map_or(usize::MAX, |text| text.len())
}

/// Why a stored record can't be read.
#[derive(Debug, Error)]
pub enum RecordError {
    /// It is not a record of a form that this version knows.
    #[error("not a job record: {0}")]
    NotARecord(#[from] ciborium::value::Error),
    /// Its packed body is malformed.
    #[error("malformed packed body: {0}")]
    Body(#[from] UnpackError),
}

/// How a job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FinalState {
    /// All tasks are done.
    Done,
    /// It was cancelled.
    Cancelled,
}

impl FinalState {
    /// As it is stored.
    pub fn to_value(self) -> Value {
        Value::Text(match self {
            FinalState::Done => "d".into(),
            FinalState::Cancelled => "w".into(),
        })
    }

    /// Reads a stored final state.
    pub fn from_value(value: &Value) -> Option<FinalState> {
        match value.as_text()? {
            "d" => Some(FinalState::Done),
            "w" => Some(FinalState::Cancelled),
            _ => None,
        }
    }

    /// As users are told.
    pub fn status(self) -> &'static str {
        match self {
            FinalState::Done => crate::wire::DONE,
            FinalState::Cancelled => crate::wire::WITHDRAWN,
        }
    }
}

/// A task's name as agents know it, such as `run-000412/3`.
pub fn task_name(job: &str, task: u32) -> String {
    format!("{job}/{task}")
}

/// The job and number behind a task's name.
pub fn parse_task_name(name: &str) -> Option<(&str, u32)> {
    let (job, number) = name.rsplit_once('/')?;
    Some((job, number.parse().ok()?))
}
