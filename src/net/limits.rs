//! How the process's sockets are divided.
//!
//! Connections that others open, and calls to agents, have a share of all sockets each, so that
//! neither can exhaust the other. The rest is for vital calls and for sockets that are being
//! closed.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

/// Limits of the event loop.
#[derive(Debug, Clone)]
pub struct ConnectionLimits {
    /// Most sockets of the process.
    pub fd_limit: usize,
    /// Addresses that calls must reach however many agents are called: the store, the cloud and
    /// the other controllers.
    pub vital: HashSet<SocketAddr>,
    /// Time without a heartbeat after which an agent's connection is closed.
    pub agent_idle: Duration,
    /// Largest reply to a call, in bytes: the store's watch has no limit of its own.
    pub reply_max: usize,
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

/// The part of all sockets for server connections.
const SERVER_SHARE: Fraction = Fraction {
    numerator: 12,
    denominator: 16,
};
/// The part of all sockets for calls to agents.
const CLIENT_SHARE: Fraction = Fraction {
    numerator: 3,
    denominator: 16,
};
/// The part of the places for server connections that lasting connections of agents may take;
/// the rest is for clients of few requests.
const CROWDED_SHARE: Fraction = Fraction {
    numerator: 7,
    denominator: 8,
};
const SERVERS_MIN: usize = 8;
const CLIENTS_MIN: usize = 4;

impl ConnectionLimits {
    /// Most server connections.
    pub(super) fn servers_max(&self) -> usize {
        SERVER_SHARE.of(self.fd_limit).max(SERVERS_MIN)
    }

    /// Most connections to agents that this process opens.
    pub(super) fn clients_max(&self) -> usize {
        CLIENT_SHARE.of(self.fd_limit).max(CLIENTS_MIN)
    }
}

/// Whether `agents` of at most `servers_max` server connections crowd out other clients.
pub(super) fn is_crowded(agents: usize, servers_max: usize) -> bool {
    CROWDED_SHARE.is_exceeded(agents, servers_max)
}
