//! Parsing and validation of job submissions.

use std::collections::HashSet;

use ciborium::Value;
use thiserror::Error;

use crate::job::{JobSpec, Priority, Shape};

/// Maximum number of tasks of a job.
const TASKS_MAX: u32 = 100_000;
const JOB_ID_PREFIX: &str = "run-";
const JOB_ID_DIGITS_MAX: usize = 24;
const ID_MAX_BYTES: usize = 64;
const KEYWORD_MAX_BYTES: usize = 16;
const NAME_MAX_BYTES: usize = 256;
const IMAGE_MAX_BYTES: usize = 512;

/// An invalid submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum MalformedSubmission {
    /// The body is not a CBOR map.
    #[error("malformed submission: not a CBOR map")]
    NotAMap,
    /// A field is missing, or its value is invalid.
    #[error("malformed submission: {0} is missing or invalid")]
    Field(&'static str),
}

use MalformedSubmission::Field;

/// Whether a text is a valid job id: a prefix and decimal digits.
pub fn is_job_id(id: &str) -> bool {
    let digits = id.strip_prefix(JOB_ID_PREFIX).unwrap_or("");
    !digits.is_empty()
        && digits.len() <= JOB_ID_DIGITS_MAX
        && digits.bytes().all(|b| b.is_ascii_digit())
}

/// Parses a submission into the job's id and its specification.
///
/// # Errors
///
/// If the body is not a CBOR map, or a field is missing or invalid.
pub fn parse_submission(body: &[u8]) -> Result<(String, JobSpec), MalformedSubmission> {
    let value: Value = ciborium::from_reader(body).map_err(|_| MalformedSubmission::NotAMap)?;
    let fields = SubmissionFields(value.as_map().ok_or(MalformedSubmission::NotAMap)?);
    let id = fields.text("nameId", ID_MAX_BYTES)?;
    if !is_job_id(&id) {
        return Err(Field("nameId"));
    }
    let spec = JobSpec {
        class: fields.text("jobclass", NAME_MAX_BYTES)?,
        team: fields.text("owner", NAME_MAX_BYTES)?,
        shape: fields.shape()?,
        priority: fields.priority()?,
        tasks: fields.tasks()?,
        cpus: fields.amount("cores")?,
        gpus: fields.amount("gpus")?,
        memory_gb: fields.amount("memGb")?,
        machine_types: fields.machine_types()?,
        zone: fields.zone()?,
        single_zone: fields.flag("samePlace")?,
        spread: fields.flag("scatter")?,
        spot: fields.flag("loaner")?,
        image: fields.text("bundle", IMAGE_MAX_BYTES)?,
        image_gb: fields.amount("imageGb")?,
        expected_s: fields.amount("expectedS")?,
        checkpoint_interval_s: fields.amount("snapshotEveryS")?,
        checkpoint_grace_s: fields.amount("snapshotS")?,
        deadline_s: fields.optional_amount("dueS")?,
        dependencies: fields.dependencies()?,
    };
    Ok((id, spec))
}

/// The fields of a submission; null counts as missing.
struct SubmissionFields<'a>(&'a [(Value, Value)]);

impl<'a> SubmissionFields<'a> {
    fn get(&self, name: &str) -> Option<&'a Value> {
        self.0
            .iter()
            .find(|(key, _)| key.as_text() == Some(name))
            .map(|(_, value)| value)
            .filter(|value| !value.is_null())
    }

    fn text(&self, name: &'static str, max: usize) -> Result<String, MalformedSubmission> {
        let text = self.get(name).and_then(Value::as_text);
        text.filter(|t| !t.is_empty() && t.len() <= max)
            .map(str::to_string)
            .ok_or(Field(name))
    }

    fn flag(&self, name: &'static str) -> Result<bool, MalformedSubmission> {
        let flag = self.get(name).and_then(Value::as_bool);
        flag.ok_or(Field(name))
    }

    fn optional_amount(&self, name: &'static str) -> Result<Option<f64>, MalformedSubmission> {
        let amount = match self.get(name) {
            None => return Ok(None),
            Some(Value::Float(float)) => *float,
            Some(Value::Integer(integer)) => i128::from(*integer) as f64,
            Some(_) => return Err(Field(name)),
        };
        if amount.is_finite() && amount >= 0.0 {
            Ok(Some(amount))
        } else {
            Err(Field(name))
        }
    }

    fn amount(&self, name: &'static str) -> Result<f64, MalformedSubmission> {
        self.optional_amount(name)?.ok_or(Field(name))
    }

    fn shape(&self) -> Result<Shape, MalformedSubmission> {
        match self.text("shape", KEYWORD_MAX_BYTES)?.as_str() {
            "sweep" => Ok(Shape::Array),
            "group" => Ok(Shape::Gang),
            "service" => Ok(Shape::Service),
            _ => Err(Field("shape")),
        }
    }

    fn priority(&self) -> Result<Priority, MalformedSubmission> {
        match self.text("urgency", KEYWORD_MAX_BYTES)?.as_str() {
            "prod" => Ok(Priority::Production),
            "high" => Ok(Priority::High),
            "normal" => Ok(Priority::Normal),
            "best_effort" => Ok(Priority::Low),
            _ => Err(Field("urgency")),
        }
    }

    fn tasks(&self) -> Result<u32, MalformedSubmission> {
        let tasks = match self.get("pieces") {
            Some(Value::Integer(integer)) => u32::try_from(i128::from(*integer)).ok(),
            _ => None,
        };
        tasks
            .filter(|n| (1..=TASKS_MAX).contains(n))
            .ok_or(Field("pieces"))
    }

    fn machine_types(&self) -> Result<Option<Vec<String>>, MalformedSubmission> {
        let Some(value) = self.get("flavors") else {
            return Ok(None);
        };
        let list = value.as_array().ok_or(Field("flavors"))?;
        let names: Option<Vec<String>> = list
            .iter()
            .map(|name| name.as_text().map(str::to_string))
            .collect();
        names.map(Some).ok_or(Field("flavors"))
    }

    fn zone(&self) -> Result<Option<String>, MalformedSubmission> {
        let Some(value) = self.get("hall") else {
            return Ok(None);
        };
        let zone = value.as_text().ok_or(Field("hall"))?;
        Ok(Some(zone.to_string()))
    }

    /// The ids of the jobs that the job depends on, without duplicates.
    fn dependencies(&self) -> Result<Vec<String>, MalformedSubmission> {
        let Some(value) = self.get("waitsOn") else {
            return Ok(vec![]);
        };
        let list = value.as_array().ok_or(Field("waitsOn"))?;
        let mut seen = HashSet::new();
        let mut names = Vec::new();
        for name in list {
            let name = name.as_text().filter(|id| is_job_id(id));
            let name = name.ok_or(Field("waitsOn"))?;
            if seen.insert(name) {
                names.push(name.to_string());
            }
        }
        Ok(names)
    }
}
