//! Accepts connections, receives requests on them and sends the responses.

use mio::net::TcpStream;
use mio::{Interest, Token};

use super::EventLoop;
use crate::net::connection::{Connection, ConnectionId, Response};
use crate::net::http::RequestError;
use crate::net::read_queue::{CONNECTIONS_PER_TURN_MAX, NEW_CONNECTIONS_PER_TURN};
use crate::net::{Event, Listener};

impl EventLoop {
    /// Responds to a request on the connection `id`. `retry_after_s` is in seconds. Has no effect
    /// if the connection is closed.
    pub fn respond(&mut self, id: usize, status: u16, retry_after_s: Option<u32>, body: &[u8]) {
        let agent_occupancy = self.connections.agent_occupancy();
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        let response = Response {
            status,
            retry_after_s,
            body,
        };
        if !connection.push_response(&response, agent_occupancy, self.now) {
            return;
        }
        self.flush(id);
        // A pipelined request may already be in the input buffer.
        if self.connections.get(id).is_some_and(Connection::has_input) {
            self.handle_request(id);
        }
    }

    /// Accepts a bounded number of connections, those from other controllers first.
    pub(super) fn accept_pending(&mut self) {
        self.accept_batch(Listener::Peers, CONNECTIONS_PER_TURN_MAX);
        let front_max = if self.read_queue.is_backlogged() {
            NEW_CONNECTIONS_PER_TURN
        } else {
            CONNECTIONS_PER_TURN_MAX
        };
        self.accept_batch(Listener::Front, front_max);
    }

    /// Tries to accept at most `max` connections.
    fn accept_batch(&mut self, listener: Listener, max: usize) {
        for _ in 0..max {
            if !self.listeners.is_pending(listener) {
                return;
            }
            if let Some(socket) = self.listeners.accept(listener) {
                self.add_accepted(socket, listener);
            }
        }
    }

    /// Adds an accepted connection, or closes it if the connection limit is reached.
    fn add_accepted(&mut self, mut socket: TcpStream, listener: Listener) {
        if !self.make_room_for_server() {
            return;
        }
        // Nagle's algorithm stays on: a response is sent in one write, and the next request
        // acknowledges it.
        let id = self.connections.allocate_id();
        let registry = self.poll.registry();
        let registered = registry.register(&mut socket, Token(id), Interest::READABLE);
        if registered.is_ok() {
            let connection = Connection::accepted(socket, listener, self.now);
            self.connections.insert(id, connection);
        }
    }

    /// Evicts a server connection if the limit is reached. Returns false if the limit is still
    /// reached afterwards.
    fn make_room_for_server(&mut self) -> bool {
        if self.connections.is_server_limit_reached() {
            if let Some(id) = self.evictions.next_server(&self.connections, self.now) {
                self.close(id);
            }
        }
        !self.connections.is_server_limit_reached()
    }

    /// Reports the next request if it is complete; refuses it if it is invalid.
    pub(super) fn handle_request(&mut self, id: ConnectionId) {
        match self.connections.next_request(id) {
            Ok(Some(received)) => self.ready.push(Event::Request {
                connection: id,
                listener: received.listener,
                request: received.request,
            }),
            Ok(None) => {}
            Err(error) => self.refuse(id, error),
        }
    }

    fn refuse(&mut self, id: ConnectionId, error: RequestError) {
        if let Some(connection) = self.connections.get_mut(id) {
            connection.reject_request();
        }
        self.respond(id, error.status(), None, &[]);
    }
}
