//! The final states of jobs.

use ciborium::Value;

use crate::wire;

const DONE: &str = "d";
const CANCELLED: &str = "w";

/// How a job ended. Stored as a string of one letter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FinalState {
    /// All tasks are done.
    Done,
    /// The job was cancelled.
    Cancelled,
}

impl FinalState {
    /// Returns the stored form.
    pub fn to_value(self) -> Value {
        let letter = match self {
            FinalState::Done => DONE,
            FinalState::Cancelled => CANCELLED,
        };
        Value::Text(letter.into())
    }

    /// Decodes the stored form; `None` if this version does not know it.
    pub fn from_value(value: &Value) -> Option<FinalState> {
        match value.as_text()? {
            DONE => Some(FinalState::Done),
            CANCELLED => Some(FinalState::Cancelled),
            _ => None,
        }
    }

    /// Returns the status that is reported to users.
    pub fn status(self) -> &'static str {
        match self {
            FinalState::Done => wire::DONE,
            FinalState::Cancelled => wire::CANCELLED,
        }
    }
}
