//! What the responses to calls mean: HTTP statuses and bodies become typed results here, and
//! nowhere else in the controller.

use prost::Message;
use serde::de::DeserializeOwned;
use thiserror::Error;

use crate::net::{status, Outcome};
use crate::scheduler::StartFailure;
use crate::wire::{self, AgentStatus, DecodeError, MachineNames};

/// Why a call brought no usable response.
#[derive(Debug, Error)]
pub(super) enum CallError {
    /// No connection came about: nothing was sent.
    #[error("no connection")]
    NotSent,
    /// The request may have been carried out.
    #[error("no response in time")]
    NoResponse,
    /// The response is larger than what may be held in memory.
    #[error("the response is too large")]
    TooLarge,
    /// Another status than success.
    #[error("status {0}")]
    Status(u16),
    /// The body of a successful response can't be read.
    #[error(transparent)]
    Malformed(#[from] DecodeError),
}

/// The body of a successful response.
pub(super) fn success(outcome: &Outcome) -> Result<&[u8], CallError> {
    match outcome {
        Outcome::Answer {
            status: status::OK,
            body,
        } => Ok(body),
        Outcome::Answer { status, .. } => Err(CallError::Status(*status)),
        Outcome::TooLarge => Err(CallError::TooLarge),
        Outcome::NoAnswer => Err(CallError::NoResponse),
        Outcome::NotSent => Err(CallError::NotSent),
    }
}

/// The message in a successful response.
pub(super) fn decode_success<T: DeserializeOwned>(outcome: &Outcome) -> Result<T, CallError> {
    Ok(wire::decode(success(outcome)?)?)
}

/// The message of another controller in a successful response.
pub(super) fn decode_peer<T: Message + Default>(outcome: &Outcome) -> Option<T> {
    T::decode(success(outcome).ok()?).ok()
}

/// What a read of a single key of the store brought.
pub(super) enum KeyRead<'a> {
    /// The key exists; the response's body.
    Found(&'a [u8]),
    /// The key does not exist.
    NotFound,
    /// The outcome is unknown.
    Failed,
}

/// What a read of a single key of the store brought.
pub(super) fn key_read(outcome: &Outcome) -> KeyRead<'_> {
    match success(outcome) {
        Ok(body) => KeyRead::Found(body),
        Err(CallError::Status(status::NOT_FOUND)) => KeyRead::NotFound,
        Err(_) => KeyRead::Failed,
    }
}

/// Why the provider did not carry out a request, as far as is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ProviderError {
    /// There is no capacity for this kind of machine.
    NoCapacity,
    /// The request is malformed.
    Malformed,
    /// The provider has seen a higher fencing token.
    Fenced,
    /// Above the provider's rate limit.
    Throttled,
    /// The provider is in trouble, or the outcome is unknown.
    Unknown,
}

impl ProviderError {
    fn of(outcome: &Outcome) -> ProviderError {
        let Outcome::Answer { status, body } = outcome else {
            return ProviderError::Unknown;
        };
        match *status {
            status::BAD_REQUEST => ProviderError::Malformed,
            status::CONFLICT => ProviderError::Fenced,
            status::TOO_MANY_REQUESTS => ProviderError::Throttled,
            status::UNAVAILABLE if wire::is_no_capacity(body) => ProviderError::NoCapacity,
            _ => ProviderError::Unknown,
        }
    }
}

/// The names of the machines that a provisioning request brought.
pub(super) fn provisioned_machines(outcome: &Outcome) -> Result<Vec<String>, ProviderError> {
    let machines = decode_success::<MachineNames>(outcome);
    machines
        .map(|machines| machines.names)
        .map_err(|_| ProviderError::of(outcome))
}

/// Whether a request to terminate machines was carried out.
pub(super) fn termination(outcome: &Outcome) -> Result<(), ProviderError> {
    match success(outcome) {
        Ok(_) => Ok(()),
        Err(_) => Err(ProviderError::of(outcome)),
    }
}

/// What an agent's response to commands, or to a request for its status, says.
pub(super) struct AgentResponse {
    /// The agent's status, if the response has one.
    pub status: Option<AgentStatus>,
    /// Why the commands were surely not executed; `None` if they may have been.
    pub failure: Option<StartFailure>,
}

impl AgentResponse {
    /// Reads the response of the agent of a machine.
    pub(super) fn new(outcome: &Outcome, machine: &str) -> AgentResponse {
        let failure = match outcome {
            Outcome::NotSent => Some(StartFailure::NotSent),
            Outcome::Answer {
                status: status::BAD_REQUEST | status::CONFLICT,
                ..
            } => Some(StartFailure::Rejected),
            _ => None,
        };
        let body = match outcome {
            Outcome::Answer {
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
