//! The state of a connection that another side has opened: its requests and their answers.

use std::time::Instant;

use super::http::{Persistence, RequestError, RequestHead};
use super::{status, Listener, Request};
use crate::wire::HEARTBEAT_PATH;

/// Whether agents hold nearly all places for server connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Crowding {
    /// There is room.
    Normal,
    /// New agents are served on connections of one request.
    Crowded,
}

/// The server's side of a connection.
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent facts about a connection, of which any combination occurs"
)]
pub(super) struct ServerState {
    listener: Listener,
    /// The last request was a heartbeat.
    is_agent: bool,
    /// A request was passed on and is not answered yet.
    awaits_answer: bool,
    closes_after_answer: bool,
    /// A request has been answered on this connection.
    was_served: bool,
    /// When the first byte of an incomplete request was received.
    request_began: Option<Instant>,
}

impl ServerState {
    pub(super) fn new(listener: Listener) -> ServerState {
        ServerState {
            listener,
            is_agent: false,
            awaits_answer: false,
            closes_after_answer: false,
            was_served: false,
            request_began: None,
        }
    }

    pub(super) fn listener(&self) -> Listener {
        self.listener
    }

    /// Whether the last request was a heartbeat.
    pub(super) fn is_agent(&self) -> bool {
        self.is_agent
    }

    /// Whether a request was passed on and is not answered yet.
    pub(super) fn awaits_answer(&self) -> bool {
        self.awaits_answer
    }

    /// Whether a request has been answered on this connection.
    pub(super) fn was_served(&self) -> bool {
        self.was_served
    }

    /// When the first byte of an incomplete request was received.
    pub(super) fn request_began(&self) -> Option<Instant> {
        self.request_began
    }

    /// Whether the last answer of this connection has been given.
    pub(super) fn is_complete(&self) -> bool {
        self.closes_after_answer && !self.awaits_answer
    }

    /// Removes the next complete request from `input`. `None` if there is none, or while another
    /// request awaits its answer.
    ///
    /// # Errors
    ///
    /// If the request has to be refused.
    pub(super) fn next_request(
        &mut self,
        input: &mut Vec<u8>,
    ) -> Result<Option<Request>, RequestError> {
        if self.awaits_answer || input.is_empty() {
            return Ok(None);
        }
        self.request_began.get_or_insert_with(Instant::now);
        let Some(head) = RequestHead::parse(input)? else {
            return Ok(None);
        };
        let end = head.length + head.body_length;
        if input.len() < end {
            return Ok(None);
        }
        let body = input[head.length..end].to_vec();
        input.drain(..end);
        self.is_agent = head.path == HEARTBEAT_PATH;
        self.awaits_answer = true;
        self.closes_after_answer = head.closes;
        self.request_began = None;
        Ok(Some(Request {
            method: head.method,
            path: head.path,
            body,
        }))
    }

    /// Prepares the refusal of an invalid request: its answer is the last on this connection.
    pub(super) fn reject_request(&mut self) {
        self.awaits_answer = true;
        self.closes_after_answer = true;
    }

    /// Marks the request as answered with `answer_status`. Returns whether the connection is kept,
    /// or `None` if no request awaits an answer.
    pub(super) fn finish_request(
        &mut self,
        answer_status: u16,
        is_read_closed: bool,
        crowding: Crowding,
    ) -> Option<Persistence> {
        if !self.awaits_answer {
            return None;
        }
        self.awaits_answer = false;
        let is_newcomer = !self.was_served;
        self.was_served = true;
        // A redirected agent closes the connection in any case; closing it here saves the event.
        let is_redirected = answer_status == status::MISDIRECTED_REQUEST;
        let is_surplus = crowding == Crowding::Crowded && self.is_agent && is_newcomer;
        self.closes_after_answer |= is_read_closed || is_redirected || is_surplus;
        Some(if self.closes_after_answer {
            Persistence::Close
        } else {
            Persistence::KeepAlive
        })
    }
}
