//! The stored record of a live job.
//!
//! There are two stored forms with the same content. [`JobRecord`] is itself the plain form,
//! the only one that versions before [`PACKED_FORMAT`] can read. [`PackedRecord`] is the form in
//! use from that format on. It encodes done and placed tasks in one string, see
//! [`crate::packed_record`].

use std::borrow::Cow;

use ciborium::Value;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::{JobSpec, TaskRun, TaskSet};
use crate::epoch::Epoch;
use crate::packed_record::{self, UnpackError};

/// The first format in which records are packed. Versions that can't read the packed form must
/// not run under this format or a later one.
pub const PACKED_FORMAT: u64 = 1;

/// The last leader that wrote a record. Stored as a list of two numbers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(Epoch, u64)", into = "(Epoch, u64)")]
pub struct RecordWriter {
    /// The leader's epoch; [`Epoch::NONE`] if no leader has written the record.
    pub epoch: Epoch,
    /// The number of changes that the leader has made to the job.
    pub change: u64,
}

impl From<(Epoch, u64)> for RecordWriter {
    fn from((epoch, change): (Epoch, u64)) -> RecordWriter {
        RecordWriter { epoch, change }
    }
}

impl From<RecordWriter> for (Epoch, u64) {
    fn from(writer: RecordWriter) -> Self {
        (writer.epoch, writer.change)
    }
}

/// The record of a live job, and its plain stored form.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The job's specification, as submitted by the user.
    #[serde(rename = "j")]
    pub spec: JobSpec,
    /// Wall-clock time of the first submission, in milliseconds.
    #[serde(rename = "at")]
    pub submitted_at: u64,
    /// Whether the user has cancelled the job.
    #[serde(rename = "x", default)]
    pub cancelled: bool,
    /// The number of the next attempt; all lower numbers may have been used.
    #[serde(rename = "a")]
    pub next_attempt: u64,
    /// The tasks that are done.
    #[serde(rename = "f", default)]
    pub done: TaskSet,
    /// The tasks that may be on a machine, as runs of successive tasks on one machine.
    #[serde(rename = "r", default)]
    pub runs: Vec<TaskRun>,
    /// The last leader that wrote the record.
    #[serde(rename = "w", default)]
    pub writer: RecordWriter,
}

impl JobRecord {
    /// Creates the record of a newly submitted job. `submitted_at` is the wall-clock time in
    /// milliseconds.
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

    /// Returns the number of tasks that may be on a machine.
    pub fn placed_tasks(&self) -> u64 {
        self.runs.iter().map(|run| u64::from(run.count)).sum()
    }

    /// Returns the stored form under a format. Records that the packed form can't express are
    /// stored in the plain form under any format.
    pub fn to_value(&self, format: u64) -> Value {
        let packed = (format >= PACKED_FORMAT)
            .then(|| PackedRecord::pack(self))
            .flatten();
        let value = match packed {
            Some(packed) => Value::serialized(&packed),
            None => Value::serialized(self),
        };
        value.unwrap_or(Value::Null)
    }

    /// Decodes a stored record of either form.
    ///
    /// # Errors
    ///
    /// If the value is a record of neither form, or its packed body is malformed.
    pub fn from_value(value: &Value) -> Result<JobRecord, RecordError> {
        if let Ok(record) = value.deserialized() {
            return Ok(record);
        }
        let packed: PackedRecord = value.deserialized()?;
        Ok(packed.unpack()?)
    }
}

/// The stored form from [`PACKED_FORMAT`] on. The next attempt has another key than in the plain
/// form. A version that does not know this form therefore can't decode the record, which it
/// would otherwise take for one without tasks.
#[derive(Serialize, Deserialize)]
struct PackedRecord<'a> {
    #[serde(rename = "j")]
    spec: Cow<'a, JobSpec>,
    #[serde(rename = "at")]
    submitted_at: u64,
    #[serde(rename = "x", default, skip_serializing_if = "is_false")]
    cancelled: bool,
    #[serde(rename = "n")]
    next_attempt: u64,
    /// [`JobRecord::done`] and [`JobRecord::runs`] as [`packed_record::pack`] packs them.
    #[serde(rename = "p")]
    body: String,
    #[serde(rename = "w")]
    writer: RecordWriter,
}

impl PackedRecord<'_> {
    /// Packs a record; `None` if the packed form can't express it.
    fn pack(record: &JobRecord) -> Option<PackedRecord<'_>> {
        let body = packed_record::pack(record.spec.tasks, &record.done, &record.runs)?;
        Some(PackedRecord {
            spec: Cow::Borrowed(&record.spec),
            submitted_at: record.submitted_at,
            cancelled: record.cancelled,
            next_attempt: record.next_attempt,
            body,
            writer: record.writer,
        })
    }

    fn unpack(self) -> Result<JobRecord, UnpackError> {
        let (done, runs) = packed_record::unpack(self.spec.tasks, &self.body)?;
        Ok(JobRecord {
            spec: self.spec.into_owned(),
            submitted_at: self.submitted_at,
            cancelled: self.cancelled,
            next_attempt: self.next_attempt,
            done,
            runs,
            writer: self.writer,
        })
    }
}

fn is_false(flag: &bool) -> bool {
    !flag
}

/// Why a stored record can't be decoded.
#[derive(Debug, Error)]
pub enum RecordError {
    /// The value is not a record of a form that this version knows.
    #[error("not a job record: {0}")]
    NotARecord(#[from] ciborium::value::Error),
    /// The packed body is malformed.
    #[error("malformed packed body: {0}")]
    Body(#[from] UnpackError),
}
