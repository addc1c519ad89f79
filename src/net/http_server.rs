//! Requests that come in, and their answers.

use std::time::Instant;

use super::connection::Role;
use super::event_loop::EventLoop;
use super::{Event, Request, BODY_MAX, HEAD_MAX};
use crate::wire::HEARTBEAT_PATH;

const HEADERS_MAX: usize = 48;

/// The head of a request.
struct RequestHead {
    length: usize,
    body_length: usize,
    method: String,
    path: String,
    /// The other side closes the connection after the answer.
    close: bool,
}

/// What the input holds.
enum Parsed {
    Head(RequestHead),
    Incomplete,
    /// To be refused with this status.
    Invalid(u16),
}

impl EventLoop {
    pub(super) fn parse_request(&mut self, id: usize) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let Role::Server(state) = &mut connection.role else {
            return;
        };
        if state.busy || connection.input.is_empty() {
            return;
        }
        state.request_began.get_or_insert_with(Instant::now);
        let head = match parse_head(&connection.input) {
            Parsed::Head(head) => head,
            Parsed::Incomplete => return,
            Parsed::Invalid(status) => return self.refuse(id, status),
        };
        let end = head.length + head.body_length;
        if connection.input.len() < end {
            return;
        }
        let body = connection.input[head.length..end].to_vec();
        connection.input.drain(..end);
        let agent = head.path == HEARTBEAT_PATH;
        self.agents += usize::from(agent);
        self.agents -= usize::from(state.agent);
        state.agent = agent;
        state.busy = true;
        state.close = head.close;
        state.request_began = None;
        let listener = state.listener;
        let request = Request {
            method: head.method,
            path: head.path,
            body,
        };
        self.ready.push(Event::Request {
            connection: id,
            listener,
            request,
        });
    }

    fn refuse(&mut self, id: usize, status: u16) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.input.clear();
            if let Role::Server(state) = &mut connection.role {
                state.busy = true;
                state.close = true;
            }
        }
        self.answer(id, status, None, &[]);
    }

    /// Answers a request that was passed on.
    pub fn answer(&mut self, id: usize, status: u16, retry_after: Option<u32>, body: &[u8]) {
        let crowded = self.is_crowded();
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let Role::Server(state) = &mut connection.role else {
            return;
        };
        if !state.busy {
            return;
        }
        state.busy = false;
        let is_newcomer = !connection.was_served;
        connection.was_served = true;
        // Whoever is sent elsewhere hangs up: one look less at who has gone.
        state.close |= connection.eof || status == 421;
        state.close |= crowded && state.agent && is_newcomer;
        let head = response_head(status, retry_after, body.len(), state.close);
        connection.output.extend_from_slice(head.as_bytes());
        connection.output.extend_from_slice(body);
        connection.used_at = self.now;
        self.flush(id);
        // A further request may have come in behind the first.
        let connection = self.connections.get(&id);
        if connection.is_some_and(|c| !c.input.is_empty()) {
            self.parse_request(id);
        }
    }
}

fn parse_head(input: &[u8]) -> Parsed {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut request = httparse::Request::new(&mut headers);
    let length = match request.parse(input) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if input.len() > HEAD_MAX => return Parsed::Invalid(431),
        Ok(httparse::Status::Partial) => return Parsed::Incomplete,
        Err(_) => return Parsed::Invalid(400),
    };
    let mut head = RequestHead {
        length,
        body_length: 0,
        method: request.method.unwrap_or("").to_string(),
        path: request.path.unwrap_or("").to_string(),
        close: request.version == Some(0),
    };
    let mut invalid = None;
    for header in request.headers.iter() {
        if header.name.eq_ignore_ascii_case("content-length") {
            match parse_length(header.value) {
                Some(length) => head.body_length = length,
                None => invalid = Some(400),
            }
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            invalid = Some(411);
        } else if is_connection_close(header) {
            head.close = true;
        }
    }
    if head.body_length > BODY_MAX {
        invalid = Some(413);
    }
    match invalid {
        Some(status) => Parsed::Invalid(status),
        None => Parsed::Head(head),
    }
}

/// The value of a `Content-Length`.
pub(super) fn parse_length(value: &[u8]) -> Option<usize> {
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}

/// Whether a header says that the connection is closed.
pub(super) fn is_connection_close(header: &httparse::Header) -> bool {
    header.name.eq_ignore_ascii_case("connection") && header.value.eq_ignore_ascii_case(b"close")
}

fn response_head(status: u16, retry_after: Option<u32>, body_length: usize, close: bool) -> String {
    let reason = match status {
        200 => "OK",
        201 => "Created",
        400 => "Bad Request",
        404 => "Not Found",
        421 => "Misdirected Request",
        429 => "Too Many Requests",
        503 => "Service Unavailable",
        _ => "Answer",
    };
    let mut head = format!("HTTP/1.1 {status} {reason}\r\nContent-Length: {body_length}\r\n");
    if body_length > 0 {
        head.push_str("Content-Type: application/cbor\r\n");
    }
    if let Some(seconds) = retry_after {
        head.push_str(&format!("Retry-After: {seconds}\r\n"));
    }
    if close {
        head.push_str("Connection: close\r\n");
    }
    head.push_str("\r\n");
    head
}
