//! Eviction of the least recently used connection when there is no capacity for another one.
//!
//! A scan of all connections collects a batch of candidates, so that its cost is shared by the
//! evictions that follow.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::connection::{Connection, ConnectionId};
use super::connection_table::ConnectionTable;

/// Candidates that a scan collects: the larger of this number and a part of all that it finds.
const BATCH_MIN: usize = 4;
/// The part of all found candidates, as a divisor.
const BATCH_DIVISOR: usize = 32;
/// Pause after a scan without result.
const EMPTY_SCAN_PAUSE: Duration = Duration::from_millis(50);

/// The order in which connections are evicted, before the time of their last use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum EvictionTier {
    /// Evicted first.
    Preferred,
    /// Evicted only if no other connection may be.
    LastResort,
}

/// A connection that may be evicted, as it was found by the scan. Candidates are evicted in
/// ascending order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    tier: EvictionTier,
    last_used: Instant,
    id: ConnectionId,
}

/// Candidates of one kind.
#[derive(Debug, Default)]
struct Candidates {
    queue: VecDeque<Candidate>,
    /// No scan takes place before this time.
    next_scan_at: Option<Instant>,
}

impl Candidates {
    /// The connection to evict next, if there is one.
    fn next(
        &mut self,
        connections: &ConnectionTable,
        now: Instant,
        tier: impl Fn(&Connection) -> Option<EvictionTier>,
    ) -> Option<ConnectionId> {
        if let Some(id) = self.pop_unused(connections, &tier) {
            return Some(id);
        }
        if self.next_scan_at.is_some_and(|at| now < at) {
            return None;
        }
        self.scan(connections, now, &tier);
        self.pop_unused(connections, &tier)
    }

    /// Removes the first candidate that has not been used since it was found.
    fn pop_unused(
        &mut self,
        connections: &ConnectionTable,
        tier: &impl Fn(&Connection) -> Option<EvictionTier>,
    ) -> Option<ConnectionId> {
        while let Some(candidate) = self.queue.pop_front() {
            let is_unused = |connection: &Connection| {
                connection.last_used() == candidate.last_used && tier(connection).is_some()
            };
            if connections.get(candidate.id).is_some_and(is_unused) {
                return Some(candidate.id);
            }
        }
        None
    }

    fn scan(
        &mut self,
        connections: &ConnectionTable,
        now: Instant,
        tier: &impl Fn(&Connection) -> Option<EvictionTier>,
    ) {
        let found = connections.iter().filter_map(|(id, connection)| {
            Some(Candidate {
                tier: tier(connection)?,
                last_used: connection.last_used(),
                id,
            })
        });
        let mut found: Vec<Candidate> = found.collect();
        self.next_scan_at = found.is_empty().then(|| now + EMPTY_SCAN_PAUSE);
        found.sort_unstable();
        found.truncate(BATCH_MIN.max(found.len() / BATCH_DIVISOR));
        self.queue = found.into();
    }
}

/// Chooses connections to evict, among server connections and among calls to agents.
#[derive(Debug, Default)]
pub(super) struct Evictions {
    servers: Candidates,
    clients: Candidates,
}

impl Evictions {
    /// The server connection to evict next; one of an agent only if there is no other.
    pub(super) fn next_server(
        &mut self,
        connections: &ConnectionTable,
        now: Instant,
    ) -> Option<ConnectionId> {
        self.servers
            .next(connections, now, Connection::server_eviction_tier)
    }

    /// The idle connection to an agent to evict next.
    pub(super) fn next_client(
        &mut self,
        connections: &ConnectionTable,
        now: Instant,
    ) -> Option<ConnectionId> {
        self.clients
            .next(connections, now, Connection::client_eviction_tier)
    }
}
