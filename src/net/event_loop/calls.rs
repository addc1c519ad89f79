//! Calls to other processes, and their replies.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use mio::net::TcpStream;
use mio::{Interest, Token};

use super::EventLoop;
use crate::net::client_state::{Callee, ClientState, ParsedReply, Reply};
use crate::net::connection::{Connection, ConnectionId};
use crate::net::http::request_message;
use crate::net::{Event, Outcome};

/// A request that is about to be sent.
struct OutboundCall {
    tag: u64,
    address: SocketAddr,
    message: Vec<u8>,
    started: Instant,
    deadline: Instant,
}

impl EventLoop {
    /// Sends a request. Its outcome is returned as an [`Event::CallFinished`] with the same tag.
    pub fn call(
        &mut self,
        tag: u64,
        address: SocketAddr,
        method: &str,
        path: &str,
        body: &[u8],
        timeout: Duration,
    ) {
        let message = request_message(address, method, path, body);
        let started = Instant::now();
        let call = OutboundCall {
            tag,
            address,
            message,
            started,
            deadline: started + timeout,
        };
        match self.client_pool.take_idle(address) {
            Some(id) => self.call_on_idle(id, call),
            None => self.call_on_new(call),
        }
    }

    fn call_on_idle(&mut self, id: ConnectionId, call: OutboundCall) {
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        connection.begin_call(call.tag, call.message, call.started);
        self.client_pool.begin_call(id, call.deadline);
        self.flush(id);
    }

    fn call_on_new(&mut self, call: OutboundCall) {
        let tag = call.tag;
        let callee = if self.limits.critical.contains(&call.address) {
            Callee::Critical
        } else {
            Callee::Agent
        };
        let has_room = callee == Callee::Critical || self.make_room_for_client();
        if !has_room || self.open(call, callee).is_err() {
            let outcome = Outcome::NotSent;
            self.ready.push(Event::CallFinished { tag, outcome });
        }
    }

    /// Opens a connection for a call, which is sent once the connection is established.
    fn open(&mut self, call: OutboundCall, callee: Callee) -> io::Result<()> {
        let mut socket = TcpStream::connect(call.address)?;
        if callee == Callee::Critical {
            // Critical calls are urgent. If setting the option fails, only latency suffers.
            let _ = socket.set_nodelay(true);
        }
        let id = self.connections.allocate_id();
        let interest = Interest::READABLE | Interest::WRITABLE;
        let registry = self.poll.registry();
        registry.register(&mut socket, Token(id), interest)?;
        self.client_pool.begin_call(id, call.deadline);
        let state = ClientState::new(call.address, callee, call.tag);
        let connection = Connection::connecting(socket, state, call.message, call.started);
        self.connections.insert(id, connection);
        Ok(())
    }

    /// Evicts an idle connection to an agent if the limit is reached. Returns false if the limit
    /// is still reached afterwards.
    fn make_room_for_client(&mut self) -> bool {
        if self.connections.is_client_limit_reached() {
            if let Some(id) = self.evictions.next_client(&self.connections, self.now) {
                self.close(id);
            }
        }
        !self.connections.is_client_limit_reached()
    }

    /// Reports the reply to the call in progress, if it is complete or invalid.
    pub(super) fn handle_reply(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        match connection.next_reply(self.limits.reply_max_bytes, self.now) {
            ParsedReply::Incomplete => {}
            ParsedReply::Invalid => self.close(id),
            ParsedReply::TooLarge { tag } => {
                let outcome = Outcome::TooLarge;
                self.ready.push(Event::CallFinished { tag, outcome });
                self.close(id);
            }
            ParsedReply::Complete(reply) => self.finish_call(id, reply),
        }
    }

    fn finish_call(&mut self, id: ConnectionId, reply: Reply) {
        self.client_pool.end_call(id);
        self.ready.push(Event::CallFinished {
            tag: reply.tag,
            outcome: reply.outcome,
        });
        match reply.reusable_for {
            Some(address) => self.client_pool.put_idle(address, id),
            None => self.close(id),
        }
    }
}
