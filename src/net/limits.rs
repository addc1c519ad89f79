//! Division of the process's sockets among kinds of connections.
//!
//! Accepted connections and calls to agents have separate shares of all sockets, so that neither
//! kind can exhaust the sockets of the other. The rest is for calls to critical addresses and for
//! sockets that are being closed.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

/// Limits of the event loop.
#[derive(Debug, Clone)]
pub struct ConnectionLimits {
    /// Maximum number of open sockets of the process.
    pub fd_limit: usize,
    /// Addresses to which calls are urgent and not limited in number: the store, the cloud and the
    /// other controllers.
    pub critical: HashSet<SocketAddr>,
    /// Time without a heartbeat after which an agent's connection is closed.
    pub agent_idle_timeout: Duration,
    /// Largest reply to a call, in bytes. Needed because the store's watch replies are unbounded.
    pub reply_max_bytes: usize,
}

/// A fraction of a number of sockets.
struct Fraction {
    numerator: usize,
    denominator: usize,
}

impl Fraction {
    /// This fraction of `whole`, rounded down.
    const fn of(&self, whole: usize) -> usize {
        whole * self.numerator / self.denominator
    }

    /// Whether `part` is more than this fraction of `whole`.
    const fn is_exceeded(&self, part: usize, whole: usize) -> bool {
        part * self.denominator > whole * self.numerator
    }
}

/// The share of all sockets for server connections.
const SERVER_SOCKET_RATIO: Fraction = Fraction {
    numerator: 12,
    denominator: 16,
};
/// The share of all sockets for calls to agents.
const CLIENT_SOCKET_RATIO: Fraction = Fraction {
    numerator: 3,
    denominator: 16,
};
/// The share of server connections that persistent connections of agents may take; the rest is
/// for short-lived connections of other clients.
const HIGH_AGENT_OCCUPANCY: Fraction = Fraction {
    numerator: 7,
    denominator: 8,
};
const SERVER_CONNECTIONS_MIN: usize = 8;
const CLIENT_CONNECTIONS_MIN: usize = 4;

impl ConnectionLimits {
    /// Maximum number of server connections.
    pub(super) fn server_connections_max(&self) -> usize {
        SERVER_SOCKET_RATIO
            .of(self.fd_limit)
            .max(SERVER_CONNECTIONS_MIN)
    }

    /// Maximum number of connections that this process opens to agents.
    pub(super) fn client_connections_max(&self) -> usize {
        CLIENT_SOCKET_RATIO
            .of(self.fd_limit)
            .max(CLIENT_CONNECTIONS_MIN)
    }
}

/// Whether `agent_connections` of at most `server_connections_max` server connections leave too
/// few for other clients.
pub(super) fn is_agent_occupancy_high(
    agent_connections: usize,
    server_connections_max: usize,
) -> bool {
    HIGH_AGENT_OCCUPANCY.is_exceeded(agent_connections, server_connections_max)
}
