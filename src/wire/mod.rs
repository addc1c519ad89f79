//! Messages exchanged with users, agents, the cloud and the store, and the paths of requests.
//!
//! The field names and values of the published protocol appear only here. Each type maps them to
//! the terms of the rest of the program; `docs/architecture.md` has a table of both.

mod agents;
mod cloud;
mod incarnation;
mod paths;
mod protocol_enums;
mod store;
mod submission;
mod users;

pub use agents::{
    clear_command, start_command, stop_command, AgentStatus, Command, CommandBatch, CommandVerb,
    Redirect, TaskStatus, COMMANDS_PATH, HEARTBEAT_PATH, INSPECT_PATH,
};
pub use cloud::{
    reports_no_capacity, FencingToken, ListedMachine, MachineList, MachineNames, MachineType,
    MachineTypes, ProvisionRequest, TerminateRequest, PROVISION_PATH, TERMINATE_PATH,
};
pub use incarnation::Incarnation;
pub use paths::{
    cancellation_path, grant_path, grants_path, job_path, key_path, keys_path, machine_list_path,
    machine_types_path, renewal_path, transaction_path, watch_path, CANCELLATION_SUFFIX,
};
pub use protocol_enums::{ExitReason, ListedState, TaskState};
pub use store::{
    parse_final_state_reply, Condition, FinalStateError, Grant, GrantRequest, KeyChange, KeyValue,
    Page, Transaction, TransactionReply, WatchReply, Write,
};
pub use submission::{is_job_id, parse_submission, MalformedSubmission};
pub use users::{
    is_cancelled_reply, ErrorReply, JobStatusReply, CANCELLED, DONE, HEALTH_PATH, JOBS_PATH,
    PENDING, RUNNING,
};

use std::io;

use ciborium::Value;
use serde::de::{self, DeserializeOwned, Deserializer, Visitor};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Maximum length of a text returned by [`format_for_log`], in characters.
const LOG_TEXT_MAX_CHARS: usize = 2000;

/// Encodes a message as CBOR. On failure, logs an error and returns the incomplete encoding.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    let mut out = Vec::with_capacity(128);
    if let Err(e) = ciborium::into_writer(message, &mut out) {
        tracing::error!(error = %e, "cannot encode message as CBOR; its body is incomplete");
    }
    out
}

/// A message that cannot be decoded, with the name of its type.
#[derive(Debug, Error)]
#[error("not a valid {message}: {source}")]
pub struct DecodeError {
    message: &'static str,
    source: ciborium::de::Error<io::Error>,
}

impl DecodeError {
    fn new<T>(source: ciborium::de::Error<io::Error>) -> DecodeError {
        let path = std::any::type_name::<T>();
        DecodeError {
            message: path.rsplit("::").next().unwrap_or(path),
            source,
        }
    }
}

/// Decodes a message.
///
/// # Errors
///
/// If the body is not CBOR, or not a message of this type.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, DecodeError> {
    ciborium::from_reader(body).map_err(DecodeError::new::<T>)
}

/// Formats a body for the log: the decoded CBOR value, truncated, or the length of other data.
pub fn format_for_log(body: &[u8]) -> String {
    match ciborium::from_reader::<Value, _>(body) {
        Ok(value) => format!("{value:?}")
            .chars()
            .take(LOG_TEXT_MAX_CHARS)
            .collect(),
        Err(_) => format!("{} bytes, not CBOR", body.len()),
    }
}

struct NumberVisitor;

impl Visitor<'_> for NumberVisitor {
    type Value = f64;

    fn expecting(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str("a number")
    }

    fn visit_f64<E: de::Error>(self, value: f64) -> Result<f64, E> {
        Ok(value)
    }

    fn visit_u64<E: de::Error>(self, value: u64) -> Result<f64, E> {
        Ok(value as f64)
    }

    fn visit_i64<E: de::Error>(self, value: i64) -> Result<f64, E> {
        Ok(value as f64)
    }
}

/// Deserializes a decimal number, which senders may encode as an integer.
///
/// # Errors
///
/// If the value is not a number.
pub fn number<'de, D: Deserializer<'de>>(deserializer: D) -> Result<f64, D::Error> {
    deserializer.deserialize_any(NumberVisitor)
}

/// Like [`number`], for a field that may be null, or missing if it also has `default`.
fn optional_number<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<f64>, D::Error> {
    #[derive(Deserialize)]
    struct Number(#[serde(deserialize_with = "number")] f64);
    let value = Option::<Number>::deserialize(deserializer)?;
    Ok(value.map(|number| number.0))
}
