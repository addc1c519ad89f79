//! Parses users' requests into a job id and an operation.

use thiserror::Error;

use super::http::HttpResponse;
use super::user_types::UserRequest;
use crate::net::status;
use crate::wire::{self, MalformedSubmission};

/// Why a request can't be parsed. Users get the text as the response's body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub(super) enum RequestError {
    #[error("no such path")]
    NoSuchPath,
    #[error("not this method here")]
    WrongMethod,
    #[error("only POST here")]
    OnlyPost,
    #[error("no such job")]
    NoSuchJob,
    #[error(transparent)]
    Malformed(#[from] MalformedSubmission),
}

impl RequestError {
    /// The response to the user.
    pub(super) fn response(self) -> HttpResponse {
        let status = match self {
            RequestError::NoSuchPath | RequestError::NoSuchJob => status::NOT_FOUND,
            RequestError::WrongMethod | RequestError::OnlyPost => status::METHOD_NOT_ALLOWED,
            RequestError::Malformed(_) => status::BAD_REQUEST,
        };
        HttpResponse::error(status, &self.to_string())
    }
}

/// A request that was parsed.
#[derive(Debug, Clone)]
pub(super) struct ParsedRequest {
    /// The job's id.
    pub job: String,
    pub request: UserRequest,
}

/// Parses a request.
///
/// # Errors
///
/// If the service has no such path, job or method, or a submission is malformed.
pub(super) fn parse_request(
    method: &str,
    path: &str,
    body: &[u8],
) -> Result<ParsedRequest, RequestError> {
    let rest = path.strip_prefix(wire::JOBS_PATH);
    let rest = rest.ok_or(RequestError::NoSuchPath)?;
    if rest.is_empty() {
        return parse_submission(method, body);
    }
    let name = rest.strip_prefix('/').ok_or(RequestError::NoSuchPath)?;
    let (job, request) = match name.strip_suffix(wire::CANCELLATION_SUFFIX) {
        Some(job) if method == "POST" => (job, UserRequest::Cancel),
        None if method == "GET" && !name.contains('/') => (name, UserRequest::Poll),
        None if name.contains('/') => return Err(RequestError::NoSuchPath),
        _ => return Err(RequestError::WrongMethod),
    };
    if !wire::is_job_id(job) {
        return Err(RequestError::NoSuchJob);
    }
    let job = job.to_string();
    Ok(ParsedRequest { job, request })
}

fn parse_submission(method: &str, body: &[u8]) -> Result<ParsedRequest, RequestError> {
    if method != "POST" {
        return Err(RequestError::OnlyPost);
    }
    let (job, spec) = wire::parse_submission(body)?;
    let request = UserRequest::Submit(Box::new(spec));
    Ok(ParsedRequest { job, request })
}
