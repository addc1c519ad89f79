//! A connection: its buffered stream, and its state as the server's or the client's side.

use std::io;
use std::time::Instant;

use mio::net::TcpStream;
use mio::Registry;

use super::buffered_stream::{BufferedStream, WriteProgress};
use super::client_state::{Callee, ClientState, ParsedReply};
use super::eviction::EvictionTier;
use super::http::{response_head, RequestError, REQUEST_HEAD_MAX_BYTES, RESPONSE_HEAD_MAX_BYTES};
use super::read_queue::ReadClass;
use super::server_state::{AgentOccupancy, ServerState};
use super::{Listener, Outcome, Request, BODY_MAX_BYTES};

/// Identifies a connection; also its token in the poll. Never reused.
pub(super) type ConnectionId = usize;

/// Which side of a connection this process is.
pub(super) enum Role {
    /// The peer has opened the connection.
    Server(ServerState),
    /// This process has opened the connection.
    Client(ClientState),
}

/// Whether a connection stays open.
#[must_use]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Disposition {
    /// The connection stays open.
    Keep,
    /// The connection has to be closed.
    Close,
}

/// The activity of a connection, which decides its idle timeout.
pub(super) enum Activity {
    /// A request or a call is in progress.
    InUse,
    /// The first bytes of an incomplete request were received at this time.
    ReceivingRequest(Instant),
    /// Kept open by an agent for its next heartbeat.
    AgentIdle,
    /// A response has not been sent completely.
    SendingResponse,
    /// Kept open by any other client for its next request.
    ServerIdle,
    /// Kept open by this process for its next call.
    ClientIdle,
}

/// A request with the listener that accepted its connection.
pub(super) struct ReceivedRequest {
    pub listener: Listener,
    pub request: Request,
}

/// A response to a request.
pub(super) struct Response<'a> {
    pub status: u16,
    /// Value of the `Retry-After` header, in seconds.
    pub retry_after_s: Option<u32>,
    pub body: &'a [u8],
}

/// An open connection.
pub(super) struct Connection {
    stream: BufferedStream,
    role: Role,
    last_used: Instant,
    /// The connection is in the read queue.
    is_queued: bool,
}

impl Connection {
    /// A connection that was accepted by `listener`.
    pub(super) fn accepted(socket: TcpStream, listener: Listener, now: Instant) -> Connection {
        Connection {
            stream: BufferedStream::accepted(socket),
            role: Role::Server(ServerState::new(listener)),
            last_used: now,
            is_queued: false,
        }
    }

    /// A connection that is being opened to send `message`.
    pub(super) fn connecting(
        socket: TcpStream,
        state: ClientState,
        message: Vec<u8>,
        now: Instant,
    ) -> Connection {
        Connection {
            stream: BufferedStream::connecting(socket, message),
            role: Role::Client(state),
            last_used: now,
            is_queued: false,
        }
    }

    pub(super) fn role(&self) -> &Role {
        &self.role
    }

    pub(super) fn last_used(&self) -> Instant {
        self.last_used
    }

    /// Whether the last request on a server connection was a heartbeat.
    pub(super) fn is_agent(&self) -> bool {
        matches!(&self.role, Role::Server(state) if state.is_agent())
    }

    /// Whether input is read immediately: replies from critical callees, and requests from other
    /// controllers.
    pub(super) fn is_urgent(&self) -> bool {
        match &self.role {
            Role::Server(state) => state.listener() == Listener::Peers,
            Role::Client(state) => state.callee() == Callee::Critical,
        }
    }

    /// Marks the connection as queued for reading. Returns its class, or `None` if it was queued
    /// already.
    pub(super) fn enqueue(&mut self) -> Option<ReadClass> {
        if self.is_queued {
            return None;
        }
        self.is_queued = true;
        match &self.role {
            Role::Server(state) if state.was_served() => Some(ReadClass::Served),
            Role::Server(_) | Role::Client(_) => Some(ReadClass::New),
        }
    }

    /// Marks the connection as no longer queued for reading.
    pub(super) fn dequeue(&mut self) {
        self.is_queued = false;
    }

    /// Reads the received bytes into the input. `buffer` is scratch space; replies have at most
    /// `reply_max_bytes` bytes.
    ///
    /// # Errors
    ///
    /// If the connection is broken.
    pub(super) fn read_available(
        &mut self,
        buffer: &mut [u8],
        reply_max_bytes: usize,
        now: Instant,
    ) -> io::Result<()> {
        let input_max = match self.role {
            Role::Server(_) => BODY_MAX_BYTES + REQUEST_HEAD_MAX_BYTES,
            Role::Client(_) => reply_max_bytes + RESPONSE_HEAD_MAX_BYTES,
        };
        if self.stream.read_available(buffer, input_max)? > 0 {
            self.last_used = now;
        }
        Ok(())
    }

    /// Whether input remains that has not been parsed.
    pub(super) fn has_input(&self) -> bool {
        !self.stream.input().is_empty()
    }

    /// Whether the peer has closed its sending direction, so that this side closes, too. A request
    /// that awaits its response while earlier output is pending keeps the connection open.
    pub(super) fn is_finished(&self) -> bool {
        let awaits_response = matches!(&self.role, Role::Server(state) if state.awaits_response());
        self.stream.is_read_closed() && (!awaits_response || !self.stream.has_output())
    }

    /// Writes pending output, and requests writability events from the poll while output remains.
    pub(super) fn flush(&mut self, id: ConnectionId, registry: &Registry) -> Disposition {
        let registered = match self.stream.write_pending() {
            WriteProgress::Broken => return Disposition::Close,
            WriteProgress::Connecting => return Disposition::Keep,
            WriteProgress::Blocked => self.stream.watch_writable(id, registry),
            WriteProgress::Complete if self.is_long_lived() => {
                self.stream.unwatch_writable(id, registry)
            }
            WriteProgress::Complete => Ok(()),
        };
        let final_response_sent = self.is_complete() && !self.stream.has_output();
        if registered.is_err() || final_response_sent {
            Disposition::Close
        } else {
            Disposition::Keep
        }
    }

    /// Whether the connection is expected to serve many exchanges, so that the cost of changing
    /// its poll registration pays off.
    fn is_long_lived(&self) -> bool {
        match &self.role {
            Role::Server(_) => true,
            Role::Client(state) => state.callee() == Callee::Critical,
        }
    }

    fn is_complete(&self) -> bool {
        matches!(&self.role, Role::Server(state) if state.is_complete())
    }

    /// Removes the next complete request from the input, if there is one.
    ///
    /// # Errors
    ///
    /// If the request has to be refused.
    pub(super) fn next_request(&mut self) -> Result<Option<ReceivedRequest>, RequestError> {
        let Role::Server(state) = &mut self.role else {
            return Ok(None);
        };
        let request = state.next_request(self.stream.input_mut())?;
        let listener = state.listener();
        Ok(request.map(|request| ReceivedRequest { listener, request }))
    }

    /// Discards the input after an invalid request; its response is the last on this connection.
    pub(super) fn reject_request(&mut self) {
        self.stream.input_mut().clear();
        if let Role::Server(state) = &mut self.role {
            state.reject_request();
        }
    }

    /// Appends the response to the request in progress to the output. Returns false if no request
    /// is in progress.
    pub(super) fn push_response(
        &mut self,
        response: &Response,
        agent_occupancy: AgentOccupancy,
        now: Instant,
    ) -> bool {
        let Role::Server(state) = &mut self.role else {
            return false;
        };
        let is_read_closed = self.stream.is_read_closed();
        let persistence = state.finish_request(response.status, is_read_closed, agent_occupancy);
        let Some(persistence) = persistence else {
            return false;
        };
        let body_length = response.body.len();
        let head = response_head(
            response.status,
            response.retry_after_s,
            body_length,
            persistence,
        );
        self.stream.push_output(head.as_bytes());
        self.stream.push_output(response.body);
        self.last_used = now;
        true
    }

    /// Begins the call `tag` on an idle client connection, with `message` as its request.
    pub(super) fn begin_call(&mut self, tag: u64, message: Vec<u8>, now: Instant) {
        if let Role::Client(state) = &mut self.role {
            state.begin_call(tag);
        }
        self.stream.set_output(message);
        self.last_used = now;
    }

    /// Removes the reply to the call in progress from the input.
    pub(super) fn next_reply(&mut self, reply_max_bytes: usize, now: Instant) -> ParsedReply {
        let Role::Client(state) = &mut self.role else {
            return ParsedReply::Incomplete;
        };
        let is_read_closed = self.stream.is_read_closed();
        let reply = state.next_reply(self.stream.input_mut(), is_read_closed, reply_max_bytes);
        if matches!(reply, ParsedReply::Complete(_)) {
            self.last_used = now;
        }
        reply
    }

    /// The outcome of a call whose connection is closed before the reply is received.
    pub(super) fn outcome_on_close(&self) -> Outcome {
        if self.stream.is_established() {
            Outcome::NoResponse
        } else {
            Outcome::NotSent
        }
    }

    /// The eviction tier of a server connection; `None` if it may not be evicted. Agents are
    /// evicted last: a user whose connection is closed opens another one with the next request,
    /// whereas an agent tries other controllers first.
    pub(super) fn server_eviction_tier(&self) -> Option<EvictionTier> {
        let Role::Server(state) = &self.role else {
            return None;
        };
        let has_queued_heartbeat = state.is_agent() && self.is_queued;
        if state.awaits_response() || has_queued_heartbeat {
            return None;
        }
        Some(if state.is_agent() {
            EvictionTier::LastResort
        } else {
            EvictionTier::Preferred
        })
    }

    /// The eviction tier of a connection to an agent; `None` if it may not be evicted.
    pub(super) fn client_eviction_tier(&self) -> Option<EvictionTier> {
        match &self.role {
            Role::Client(state)
                if state.callee() == Callee::Agent && state.call_tag().is_none() =>
            {
                Some(EvictionTier::Preferred)
            }
            _ => None,
        }
    }

    pub(super) fn activity(&self) -> Activity {
        let state = match &self.role {
            Role::Client(state) if state.call_tag().is_some() => return Activity::InUse,
            Role::Client(_) => return Activity::ClientIdle,
            Role::Server(state) => state,
        };
        if state.awaits_response() {
            return Activity::InUse;
        }
        if let Some(started_at) = state.request_started_at() {
            return Activity::ReceivingRequest(started_at);
        }
        if state.is_agent() {
            return Activity::AgentIdle;
        }
        if self.stream.has_output() {
            Activity::SendingResponse
        } else {
            Activity::ServerIdle
        }
    }
}
