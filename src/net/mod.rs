//! Sockets over `mio` and HTTP/1.1 over `httparse`: a server with two listeners, and a
//! client with kept-open connections, on one event loop.

mod connection;
mod event_loop;
mod http_client;
mod http_server;
mod idle;
mod lru_connections;
pub mod status;

use std::net::SocketAddr;

pub use event_loop::{ConnectionLimits, EventLoop};

/// Largest body that a user, agent or controller may send.
pub const BODY_MAX: usize = 64 * 1024;
/// Largest head of a request.
const HEAD_MAX: usize = 8 * 1024;
/// Largest head of a reply.
const REPLY_HEAD_MAX: usize = 4 * HEAD_MAX;

/// Where a request came in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Listener {
    /// For users, agents and health checks.
    Front,
    /// For other controllers.
    Peers,
}

/// A request that came in.
#[derive(Debug)]
pub struct Request {
    /// The HTTP method.
    pub method: String,
    /// The path with its query.
    pub path: String,
    /// The body.
    pub body: Vec<u8>,
}

/// What a call came to.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// An answer.
    Answer {
        /// The HTTP status.
        status: u16,
        /// The body.
        body: Vec<u8>,
    },
    /// An answer that is larger than what may be held.
    TooLarge,
    /// No answer: it may have been carried out.
    NoAnswer,
    /// No connection: nothing was sent.
    NotSent,
}

/// What came in.
#[derive(Debug)]
pub enum Event {
    /// A request, to be answered on this connection.
    Request {
        /// The connection.
        connection: usize,
        /// Where it came in.
        listener: Listener,
        /// The request.
        request: Request,
    },
    /// What a call came to.
    Reply {
        /// The call's tag.
        tag: u64,
        /// What it came to.
        outcome: Outcome,
    },
}

/// What the core wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Answer a request.
    Answer {
        /// The connection that it came on.
        connection: usize,
        /// The HTTP status.
        status: u16,
        /// When the sender is to come back, in seconds.
        retry_after: Option<u32>,
        /// The body.
        body: Vec<u8>,
    },
    /// Send a request.
    Call {
        /// Comes back with the outcome.
        tag: u64,
        /// Where it goes.
        address: SocketAddr,
        /// The HTTP method.
        method: &'static str,
        /// The path with its query.
        path: String,
        /// The body.
        body: Vec<u8>,
        /// When to give up.
        timeout_ms: u64,
    },
}
