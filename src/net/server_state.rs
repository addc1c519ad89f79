//! The state of a connection that a peer has opened: its requests and their responses.

use std::time::Instant;

use super::http::{Persistence, RequestError, RequestHead};
use super::{status, Listener, Request};
use crate::wire::HEARTBEAT_PATH;

/// The share of server connections that agents hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AgentOccupancy {
    /// The connections of further agents are kept open.
    Normal,
    /// Agents hold nearly all connections: those of further agents are closed after one request.
    High,
}

/// The server's side of a connection.
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent flags; any combination occurs"
)]
pub(super) struct ServerState {
    listener: Listener,
    /// The last request was a heartbeat.
    is_agent: bool,
    /// A request was reported to the controller, which has not responded yet.
    awaits_response: bool,
    closes_after_response: bool,
    /// This connection has served a request.
    was_served: bool,
    /// When the first byte of an incomplete request was received.
    request_started_at: Option<Instant>,
}

impl ServerState {
    pub(super) fn new(listener: Listener) -> ServerState {
        ServerState {
            listener,
            is_agent: false,
            awaits_response: false,
            closes_after_response: false,
            was_served: false,
            request_started_at: None,
        }
    }

    pub(super) fn listener(&self) -> Listener {
        self.listener
    }

    /// Whether the last request was a heartbeat.
    pub(super) fn is_agent(&self) -> bool {
        self.is_agent
    }

    /// Whether a request was reported to the controller, which has not responded yet.
    pub(super) fn awaits_response(&self) -> bool {
        self.awaits_response
    }

    /// Whether this connection has served a request.
    pub(super) fn was_served(&self) -> bool {
        self.was_served
    }

    /// When the first byte of an incomplete request was received.
    pub(super) fn request_started_at(&self) -> Option<Instant> {
        self.request_started_at
    }

    /// Whether the last response on this connection is in the output or sent.
    pub(super) fn is_complete(&self) -> bool {
        self.closes_after_response && !self.awaits_response
    }

    /// Removes the next complete request from `input`. `None` if there is none, or while another
    /// request awaits its response.
    ///
    /// # Errors
    ///
    /// If the request has to be refused.
    pub(super) fn next_request(
        &mut self,
        input: &mut Vec<u8>,
    ) -> Result<Option<Request>, RequestError> {
        if self.awaits_response || input.is_empty() {
            return Ok(None);
        }
        self.request_started_at.get_or_insert_with(Instant::now);
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
        self.awaits_response = true;
        self.closes_after_response = head.closes;
        self.request_started_at = None;
        Ok(Some(Request {
            method: head.method,
            path: head.path,
            body,
        }))
    }

    /// Prepares the refusal of an invalid request: its response is the last on this connection.
    pub(super) fn reject_request(&mut self) {
        self.awaits_response = true;
        self.closes_after_response = true;
    }

    /// Records the response to the request, with `response_status`. Returns whether the connection
    /// is kept, or `None` if no request awaits a response.
    pub(super) fn finish_request(
        &mut self,
        response_status: u16,
        is_read_closed: bool,
        agent_occupancy: AgentOccupancy,
    ) -> Option<Persistence> {
        if !self.awaits_response {
            return None;
        }
        self.awaits_response = false;
        let is_first_response = !self.was_served;
        self.was_served = true;
        // A redirected agent closes the connection anyway; closing it here saves a socket event.
        let is_redirected = response_status == status::MISDIRECTED_REQUEST;
        let exceeds_capacity =
            agent_occupancy == AgentOccupancy::High && self.is_agent && is_first_response;
        self.closes_after_response |= is_read_closed || is_redirected || exceeds_capacity;
        Some(if self.closes_after_response {
            Persistence::Close
        } else {
            Persistence::KeepAlive
        })
    }
}
