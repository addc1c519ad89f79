//! Converts the HTTP statuses and bodies of responses to typed results. No other module of the
//! controller interprets them.

use prost::Message;
use serde::de::DeserializeOwned;
use thiserror::Error;

use crate::net::{status, Outcome};
use crate::scheduler::StartFailure;
use crate::wire::{self, AgentStatus, DecodeError, MachineNames};

/// Why a call has no usable response.
#[derive(Debug, Error)]
pub(super) enum CallError {
    /// No connection was established, so nothing was sent.
    #[error("could not connect")]
    NotSent,
    /// The request may have been executed.
    #[error("no response in time")]
    NoResponse,
    /// The response exceeds the size limit.
    #[error("the response exceeds the size limit")]
    TooLarge,
    /// The status is not 200 (OK).
    #[error("unexpected status {0}")]
    Status(u16),
    /// The body of a successful response can't be decoded.
    #[error(transparent)]
    Malformed(#[from] DecodeError),
}

/// The body of a successful response.
pub(super) fn success(outcome: &Outcome) -> Result<&[u8], CallError> {
    match outcome {
        Outcome::Response {
            status: status::OK,
            body,
        } => Ok(body),
        Outcome::Response { status, .. } => Err(CallError::Status(*status)),
        Outcome::TooLarge => Err(CallError::TooLarge),
        Outcome::NoResponse => Err(CallError::NoResponse),
        Outcome::NotSent => Err(CallError::NotSent),
    }
}

/// Decodes the message in a successful response.
pub(super) fn decode_success<T: DeserializeOwned>(outcome: &Outcome) -> Result<T, CallError> {
    Ok(wire::decode(success(outcome)?)?)
}

/// Decodes the message of a peer in a successful response; `None` if there is no valid one.
pub(super) fn decode_peer<T: Message + Default>(outcome: &Outcome) -> Option<T> {
    T::decode(success(outcome).ok()?).ok()
}

/// The result of reading a single key of the store.
pub(super) enum KeyRead<'a> {
    /// The key exists. Holds the response's body.
    Found(&'a [u8]),
    /// The key does not exist.
    NotFound,
    /// The read failed; whether the key exists is unknown.
    Failed,
}

/// Interprets the response to a read of a single key of the store.
pub(super) fn key_read(outcome: &Outcome) -> KeyRead<'_> {
    match success(outcome) {
        Ok(body) => KeyRead::Found(body),
        Err(CallError::Status(status::NOT_FOUND)) => KeyRead::NotFound,
        Err(_) => KeyRead::Failed,
    }
}

/// Why the provider did not execute a request, as far as is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ProviderError {
    /// The provider has no capacity for this kind of machine.
    NoCapacity,
    /// The provider rejects the request as malformed.
    Malformed,
    /// The provider has seen a higher fencing token.
    Fenced,
    /// The provider's rate limit is exceeded.
    Throttled,
    /// The provider fails, or the outcome is unknown.
    Unknown,
}

impl ProviderError {
    fn of(outcome: &Outcome) -> ProviderError {
        let Outcome::Response { status, body } = outcome else {
            return ProviderError::Unknown;
        };
        match *status {
            status::BAD_REQUEST => ProviderError::Malformed,
            status::CONFLICT => ProviderError::Fenced,
            status::TOO_MANY_REQUESTS => ProviderError::Throttled,
            status::UNAVAILABLE if wire::reports_no_capacity(body) => ProviderError::NoCapacity,
            _ => ProviderError::Unknown,
        }
    }
}

/// The names of the machines that a provisioning request yielded.
pub(super) fn provisioned_machines(outcome: &Outcome) -> Result<Vec<String>, ProviderError> {
    let machines = decode_success::<MachineNames>(outcome);
    machines
        .map(|machines| machines.names)
        .map_err(|_| ProviderError::of(outcome))
}

/// Whether a request to terminate machines was executed.
pub(super) fn termination(outcome: &Outcome) -> Result<(), ProviderError> {
    match success(outcome) {
        Ok(_) => Ok(()),
        Err(_) => Err(ProviderError::of(outcome)),
    }
}

/// An agent's response to commands or to a request for its status.
pub(super) struct AgentResponse {
    /// The agent's status; `None` if the response has none, or that of another machine.
    pub status: Option<AgentStatus>,
    /// Why the commands were certainly not executed; `None` if they may have been.
    pub failure: Option<StartFailure>,
}

impl AgentResponse {
    /// Interprets the response of the agent on a machine.
    pub(super) fn new(outcome: &Outcome, machine: &str) -> AgentResponse {
        let failure = match outcome {
            Outcome::NotSent => Some(StartFailure::NotSent),
            Outcome::Response {
                status: status::BAD_REQUEST | status::CONFLICT,
                ..
            } => Some(StartFailure::Rejected),
            _ => None,
        };
        let body = match outcome {
            Outcome::Response {
                status: status::OK | status::CONFLICT,
                body,
            } => Some(body),
            _ => None,
        };
        let agent_status = body.and_then(|body| wire::decode::<AgentStatus>(body).ok());
        AgentResponse {
            status: agent_status.filter(|status| *status.machine == *machine),
            failure,
        }
    }
}
