//! Parses the heads of received requests, and formats requests to send.

use std::net::SocketAddr;

use thiserror::Error;

use super::{is_connection_close, parse_content_length, HEADERS_MAX, REQUEST_HEAD_MAX_BYTES};
use crate::net::{status, BODY_MAX_BYTES};

/// The head of a received request.
pub(crate) struct RequestHead {
    /// Length of the head, in bytes.
    pub length: usize,
    /// Length of the body that follows, in bytes.
    pub body_length: usize,
    pub method: String,
    pub path: String,
    /// The client closes the connection after the response.
    pub closes: bool,
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub(crate) enum RequestError {
    #[error("the request is malformed")]
    Malformed,
    #[error("the head is larger than {REQUEST_HEAD_MAX_BYTES} bytes")]
    HeadTooLarge,
    #[error("the body has no declared length")]
    LengthRequired,
    #[error("the body is larger than {BODY_MAX_BYTES} bytes")]
    BodyTooLarge,
}

impl RequestError {
    /// The HTTP status of the response.
    pub(crate) fn status(self) -> u16 {
        match self {
            RequestError::Malformed => status::BAD_REQUEST,
            RequestError::HeadTooLarge => status::HEAD_TOO_LARGE,
            RequestError::LengthRequired => status::LENGTH_REQUIRED,
            RequestError::BodyTooLarge => status::BODY_TOO_LARGE,
        }
    }
}

impl RequestHead {
    /// Parses the head at the start of `input`; `None` while it is incomplete.
    ///
    /// # Errors
    ///
    /// If the request has to be refused.
    pub(crate) fn parse(input: &[u8]) -> Result<Option<RequestHead>, RequestError> {
        let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
        let mut request = httparse::Request::new(&mut headers);
        let length = match request.parse(input) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) if input.len() > REQUEST_HEAD_MAX_BYTES => {
                return Err(RequestError::HeadTooLarge);
            }
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(RequestError::Malformed),
        };
        let mut head = RequestHead {
            length,
            body_length: 0,
            method: request.method.unwrap_or("").to_string(),
            path: request.path.unwrap_or("").to_string(),
            closes: request.version == Some(0),
        };
        head.apply_headers(request.headers)?;
        Ok(Some(head))
    }

    /// Applies the headers that determine the body's length and whether the connection is kept.
    /// All headers are read before the request is refused. The last error is returned, except
    /// that a body that is too large takes precedence.
    fn apply_headers(&mut self, headers: &[httparse::Header]) -> Result<(), RequestError> {
        let mut result = Ok(());
        for header in headers {
            if header.name.eq_ignore_ascii_case("content-length") {
                match parse_content_length(header.value) {
                    Some(length) => self.body_length = length,
                    None => result = Err(RequestError::Malformed),
                }
            } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
                result = Err(RequestError::LengthRequired);
            } else if is_connection_close(header) {
                self.closes = true;
            }
        }
        if self.body_length > BODY_MAX_BYTES {
            return Err(RequestError::BodyTooLarge);
        }
        result
    }
}

/// Formats a complete request.
pub(crate) fn request_message(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &[u8],
) -> Vec<u8> {
    let mut head = format!("{method} {path} HTTP/1.1\r\nHost: {address}\r\n");
    if !body.is_empty() || method == "POST" {
        let length = body.len();
        head.push_str("Content-Type: application/cbor\r\n");
        head.push_str(&format!("Content-Length: {length}\r\n"));
    }
    head.push_str("\r\n");
    let mut message = head.into_bytes();
    message.extend_from_slice(body);
    message
}
