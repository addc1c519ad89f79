//! Sockets over `mio` and HTTP/1.1 over `httparse`: a server with two listeners, and a client that
//! keeps its connections open, on one event loop.
//!
//! [`EventLoop`] coordinates parts that each own their state:
//!
//! | module | responsibility |
//! | --- | --- |
//! | `listeners` | listening sockets, and whether connections wait to be accepted |
//! | `connection_table` | all open connections, their counts and limits |
//! | `connection` | one connection: a `buffered_stream` in the role of a server (`server_state`) or of a client (`client_state`) |
//! | `read_queue` | which connection is read next under overload |
//! | `client_pool` | idle client connections, and calls in progress |
//! | `eviction` | least recently used connections, closed when places are short |
//! | `idle_timeouts` | connections that have been idle for too long |
//! | `http` | parsing and formatting of messages, without I/O |

mod buffered_stream;
mod client_pool;
mod client_state;
mod connection;
mod connection_table;
mod event_loop;
mod eviction;
mod http;
mod idle_timeouts;
mod interval;
mod limits;
mod listeners;
mod read_queue;
mod server_state;
pub mod status;

use std::net::SocketAddr;

pub use event_loop::EventLoop;
pub use limits::ConnectionLimits;

/// Largest body of a request, in bytes.
pub const BODY_MAX: usize = 64 * 1024;

/// The listener that has accepted a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Listener {
    /// For users, agents and health checks.
    Front,
    /// For other controllers.
    Peers,
}

/// A received request.
#[derive(Debug)]
pub struct Request {
    /// The HTTP method.
    pub method: String,
    /// The path with its query.
    pub path: String,
    /// The body.
    pub body: Vec<u8>,
}

/// The outcome of a call.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// The other side has answered.
    Answer {
        /// The HTTP status.
        status: u16,
        /// The body.
        body: Vec<u8>,
    },
    /// The answer is larger than allowed and was discarded.
    TooLarge,
    /// There was no answer; the request may have been carried out.
    NoAnswer,
    /// No connection was established; the request was not sent.
    NotSent,
}

/// An event that a turn of the event loop returns.
#[derive(Debug)]
pub enum Event {
    /// A request was received.
    Request {
        /// The connection, on which the answer has to be given.
        connection: usize,
        /// The listener that has accepted the connection.
        listener: Listener,
        /// The request.
        request: Request,
    },
    /// A call has ended.
    Reply {
        /// The tag of the call.
        tag: u64,
        /// The outcome.
        outcome: Outcome,
    },
}

/// An action that the controller requests.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Answer a request.
    Answer {
        /// The connection on which the request was received.
        connection: usize,
        /// The HTTP status.
        status: u16,
        /// When the client should retry, in seconds.
        retry_after: Option<u32>,
        /// The body.
        body: Vec<u8>,
    },
    /// Send a request.
    Call {
        /// The tag that the outcome is returned with.
        tag: u64,
        /// The address to call.
        address: SocketAddr,
        /// The HTTP method.
        method: &'static str,
        /// The path with its query.
        path: String,
        /// The body.
        body: Vec<u8>,
        /// The timeout, in milliseconds.
        timeout_ms: u64,
    },
}
