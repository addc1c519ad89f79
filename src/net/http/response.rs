//! Parses the heads of received responses, and formats the heads of responses to send.

use thiserror::Error;

use super::{is_connection_close, parse_content_length, HEADERS_MAX, RESPONSE_HEAD_MAX_BYTES};

/// Statuses whose responses have no body.
const STATUSES_WITHOUT_BODY: [u16; 2] = [204, 304];

/// The head of a received response.
pub(crate) struct ResponseHead {
    /// Length of the head, in bytes.
    pub length: usize,
    pub status: u16,
    /// Declared length of the body, in bytes; `None` if the body ends with the connection.
    pub body_length: Option<usize>,
    /// The server closes the connection after the response.
    pub closes: bool,
}

/// A response that is malformed or whose head is too large.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the response is malformed")]
pub(crate) struct MalformedResponse;

/// Whether a connection is kept for further requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Persistence {
    /// The connection is kept open.
    KeepAlive,
    /// The connection is closed after the response.
    Close,
}

impl ResponseHead {
    /// Parses the head at the start of `input`; `None` while it is incomplete.
    ///
    /// # Errors
    ///
    /// If the head is malformed or too large.
    pub(crate) fn parse(input: &[u8]) -> Result<Option<ResponseHead>, MalformedResponse> {
        let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
        let mut response = httparse::Response::new(&mut headers);
        let length = match response.parse(input) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) if input.len() > RESPONSE_HEAD_MAX_BYTES => {
                return Err(MalformedResponse);
            }
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(MalformedResponse),
        };
        let mut head = ResponseHead {
            length,
            status: response.code.unwrap_or(0),
            body_length: None,
            closes: false,
        };
        for header in response.headers.iter() {
            if header.name.eq_ignore_ascii_case("content-length") {
                head.body_length = parse_content_length(header.value);
            } else if is_connection_close(header) {
                head.closes = true;
            }
        }
        Ok(Some(head))
    }

    /// Whether the status excludes a body.
    pub(crate) fn excludes_body(&self) -> bool {
        STATUSES_WITHOUT_BODY.contains(&self.status)
    }
}

/// Formats the head of a response.
pub(crate) fn response_head(
    status: u16,
    retry_after_s: Option<u32>,
    body_length: usize,
    persistence: Persistence,
) -> String {
    let reason = reason_phrase(status);
    let mut head = format!("HTTP/1.1 {status} {reason}\r\nContent-Length: {body_length}\r\n");
    if body_length > 0 {
        head.push_str("Content-Type: application/cbor\r\n");
    }
    if let Some(seconds) = retry_after_s {
        head.push_str(&format!("Retry-After: {seconds}\r\n"));
    }
    if persistence == Persistence::Close {
        head.push_str("Connection: close\r\n");
    }
    head.push_str("\r\n");
    head
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        400 => "Bad Request",
        404 => "Not Found",
        421 => "Misdirected Request",
        429 => "Too Many Requests",
        503 => "Service Unavailable",
        _ => "Answer",
    }
}
