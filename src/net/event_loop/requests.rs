//! Accepting of connections, requests that are received on them, and their answers.

use mio::net::TcpStream;
use mio::{Interest, Token};

use super::EventLoop;
use crate::net::connection::{Answer, Connection, ConnectionId};
use crate::net::http::RequestError;
use crate::net::read_queue::{NEWCOMER_BATCH, TURN_BATCH};
use crate::net::{Event, Listener};

impl EventLoop {
    /// Answers a request on the connection `id`. `retry_after` is in seconds. Without effect if
    /// the connection is closed.
    pub fn answer(&mut self, id: usize, status: u16, retry_after: Option<u32>, body: &[u8]) {
        let crowding = self.connections.crowding();
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        let answer = Answer {
            status,
            retry_after_s: retry_after,
            body,
        };
        if !connection.push_answer(&answer, crowding, self.now) {
            return;
        }
        self.flush(id);
        // Another request may have been received behind the first.
        if self.connections.get(id).is_some_and(Connection::has_input) {
            self.handle_request(id);
        }
    }

    /// Accepts a bounded number of connections, those of other controllers first.
    pub(super) fn accept_pending(&mut self) {
        self.accept_batch(Listener::Peers, TURN_BATCH);
        let front_max = if self.read_queue.is_backlogged() {
            NEWCOMER_BATCH
        } else {
            TURN_BATCH
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

    /// Adds an accepted connection, or closes it if there is no place.
    fn add_accepted(&mut self, mut socket: TcpStream, listener: Listener) {
        if !self.make_room_for_server() {
            return;
        }
        // Nagle's algorithm stays on: an answer is sent in one piece, and the next request
        // acknowledges it.
        let id = self.connections.allocate_id();
        let registry = self.poll.registry();
        let registered = registry.register(&mut socket, Token(id), Interest::READABLE);
        if registered.is_ok() {
            let connection = Connection::accepted(socket, listener, self.now);
            self.connections.insert(id, connection);
        }
    }

    /// Evicts a server connection if all places are taken. False if none could be evicted.
    fn make_room_for_server(&mut self) -> bool {
        if self.connections.is_server_full() {
            if let Some(id) = self.evictions.next_server(&self.connections, self.now) {
                self.close(id);
            }
        }
        !self.connections.is_server_full()
    }

    /// Passes the next request on, if it is complete.
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
        self.answer(id, error.status(), None, &[]);
    }
}
