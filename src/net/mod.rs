//! Sockets over `mio` and HTTP/1.1 over `httparse`: a server with two listeners, and a client that
//! keeps its connections open, on one event loop.
//!
//! [`EventLoop`] coordinates parts that each own their state:
//!
//! | module | responsibility |
//! | --- | --- |
//! | `listeners` | listening sockets, and whether connections are waiting to be accepted |
//! | `connection_table` | all open connections, their counts and limits |
//! | `connection` | one connection: a `buffered_stream` in the role of a server (`server_state`) or of a client (`client_state`) |
//! | `read_queue` | which connection is read next under overload |
//! | `client_pool` | idle client connections, and calls in progress |
//! | `eviction` | least recently used connections, closed when a connection limit is reached |
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
pub const BODY_MAX_BYTES: usize = 64 * 1024;

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
    /// The HTTP method as received, not checked against the known ones.
    pub method: String,
    /// The path with its query.
    pub path: String,
    /// The body, of at most [`BODY_MAX_BYTES`]; empty if the request has none.
    pub body: Vec<u8>,
}

/// The outcome of an outgoing call.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// The callee sent a complete response.
    Response {
        /// The HTTP status; an error status is a response, too.
        status: u16,
        /// The body; empty if the response has none.
        body: Vec<u8>,
    },
    /// The response exceeds [`ConnectionLimits::reply_max_bytes`] and was discarded.
    TooLarge,
    /// No complete response was received; the callee may have carried out the request.
    NoResponse,
    /// No connection was established; the request was not sent.
    NotSent,
}

/// An event returned by [`EventLoop::turn`].
#[derive(Debug)]
pub enum Event {
    /// A request was received.
    Request {
        /// The connection on which the response is sent.
        connection: usize,
        /// The listener that has accepted the connection.
        listener: Listener,
        /// The request, received completely.
        request: Request,
    },
    /// An outgoing call has ended, with or without a response.
    CallFinished {
        /// The tag that the call was made with.
        tag: u64,
        /// The response, or why there is none.
        outcome: Outcome,
    },
}

/// A network operation that the controller requests from the event loop.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Respond to a request.
    Response {
        /// The connection on which the request was received.
        connection: usize,
        /// The HTTP status; for a forwarded request, the one that the peer returned.
        status: u16,
        /// Value of the `Retry-After` header, in seconds; `None` to omit the header.
        retry_after_s: Option<u32>,
        /// The encoded body; empty to send none.
        body: Vec<u8>,
    },
    /// Send a request.
    Call {
        /// Identifies the call in [`Event::CallFinished`].
        tag: u64,
        /// The address to call.
        address: SocketAddr,
        /// The HTTP method: `GET`, `POST` or `DELETE`.
        method: &'static str,
        /// The path with its query.
        path: String,
        /// The encoded body; empty to send none.
        body: Vec<u8>,
        /// Time until the call fails without a response, in milliseconds.
        timeout_ms: u64,
    },
}
