//! HTTP/1.1: parses heads and formats messages, without I/O.

mod request;
mod response;

pub(super) use request::{request_message, RequestError, RequestHead};
pub(super) use response::{response_head, Persistence, ResponseHead};

/// Largest head of a request, in bytes.
pub(super) const REQUEST_HEAD_MAX_BYTES: usize = 8 * 1024;
/// Largest head of a response, in bytes.
pub(super) const RESPONSE_HEAD_MAX_BYTES: usize = 4 * REQUEST_HEAD_MAX_BYTES;
/// Maximum number of headers; a message with more of them is malformed.
const HEADERS_MAX: usize = 48;

/// The value of a `Content-Length` header; `None` if it is not a number.
fn parse_content_length(value: &[u8]) -> Option<usize> {
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}

/// Whether a header announces that its sender closes the connection after this exchange.
fn is_connection_close(header: &httparse::Header) -> bool {
    header.name.eq_ignore_ascii_case("connection") && header.value.eq_ignore_ascii_case(b"close")
}
