//! A connection and its part in requests.

use std::net::SocketAddr;
use std::time::Instant;

use mio::net::TcpStream;

use super::Listener;

/// The part of a connection that another side has opened.
pub(super) struct ServerState {
    pub listener: Listener,
    /// It has brought an agent's report.
    pub agent: bool,
    /// A request was passed on and not answered yet.
    pub busy: bool,
    /// It is to be closed after the answer.
    pub close: bool,
    /// When the first byte of a request came that is not complete.
    pub request_began: Option<Instant>,
}

/// The part of a connection that we have opened.
pub(super) struct ClientState {
    pub address: SocketAddr,
    /// The tag of the call in progress.
    pub call: Option<u64>,
    pub deadline: Instant,
}

/// Who opened a connection.
pub(super) enum Role {
    Server(ServerState),
    Client(ClientState),
}

/// A connection.
pub(super) struct Connection {
    pub socket: TcpStream,
    pub role: Role,
    pub input: Vec<u8>,
    pub output: Vec<u8>,
    /// Bytes of the output that have been sent.
    pub sent: usize,
    /// The connection has come about.
    pub open: bool,
    /// The poll tells when there is capacity to write.
    pub watches_writable: bool,
    /// Expected to serve many requests.
    pub lasting: bool,
    pub used_at: Instant,
    /// A request on it has been answered.
    pub was_served: bool,
    /// Has something to read, and waits for its turn since then.
    pub waits_since: Option<Instant>,
    /// The other side has closed it.
    pub eof: bool,
}

impl Connection {
    /// A connection that was accepted.
    pub fn accepted(socket: TcpStream, listener: Listener, now: Instant) -> Connection {
        let role = Role::Server(ServerState {
            listener,
            agent: false,
            busy: false,
            close: false,
            request_began: None,
        });
        Connection::new(socket, role, Vec::new(), true, now)
    }

    /// A connection that is being made, to send `output`.
    pub fn opening(
        socket: TcpStream,
        state: ClientState,
        output: Vec<u8>,
        lasting: bool,
        now: Instant,
    ) -> Connection {
        Connection {
            lasting,
            ..Connection::new(socket, Role::Client(state), output, false, now)
        }
    }

    fn new(socket: TcpStream, role: Role, output: Vec<u8>, open: bool, now: Instant) -> Connection {
        Connection {
            socket,
            role,
            input: Vec::new(),
            output,
            sent: 0,
            open,
            watches_writable: !open,
            lasting: open,
            used_at: now,
            was_served: false,
            waits_since: None,
            eof: false,
        }
    }

    /// A request that was passed on and not answered yet.
    pub fn is_busy(&self) -> bool {
        matches!(&self.role, Role::Server(state) if state.busy)
    }

    /// Its answer was its last.
    pub fn is_to_close(&self) -> bool {
        matches!(&self.role, Role::Server(state) if state.close && !state.busy)
    }
}
