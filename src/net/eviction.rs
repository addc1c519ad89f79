//! Eviction of the least recently used connection when a connection limit is reached.
//!
//! A scan of all connections collects a batch of candidates, so that its cost is amortized over
//! several evictions.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::connection::{Connection, ConnectionId};
use super::connection_table::ConnectionTable;

/// Minimum size of the batch that a scan collects, if it finds as many candidates.
const CANDIDATES_MIN: usize = 4;
/// The batch is the number of found candidates divided by this, if that is more than the minimum.
const CANDIDATES_DIVISOR: usize = 32;
/// Time after a scan without candidates before the next one.
const EMPTY_SCAN_BACKOFF: Duration = Duration::from_millis(50);

/// Primary order of eviction; within a tier the least recently used connection comes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum EvictionTier {
    /// Evicted first.
    Preferred,
    /// Evicted only if no preferred candidate was found.
    LastResort,
}

/// A connection that may be evicted, with its state at the time of the scan. Candidates are
/// evicted in ascending order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    tier: EvictionTier,
    last_used: Instant,
    id: ConnectionId,
}

/// Candidates among the server connections, or among the client connections.
#[derive(Debug, Default)]
struct Candidates {
    queue: VecDeque<Candidate>,
    /// Earliest time of the next scan; `None` if the last one found candidates.
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
        self.next_scan_at = found.is_empty().then(|| now + EMPTY_SCAN_BACKOFF);
        found.sort_unstable();
        found.truncate(CANDIDATES_MIN.max(found.len() / CANDIDATES_DIVISOR));
        self.queue = found.into();
    }
}

/// Chooses connections to evict, among server connections and among client connections to agents.
#[derive(Debug, Default)]
pub(super) struct Evictions {
    server_connections: Candidates,
    client_connections: Candidates,
}

impl Evictions {
    /// The server connection to evict next; an agent's only if there is no other.
    pub(super) fn next_server(
        &mut self,
        connections: &ConnectionTable,
        now: Instant,
    ) -> Option<ConnectionId> {
        self.server_connections
            .next(connections, now, Connection::server_eviction_tier)
    }

    /// The idle connection to an agent to evict next.
    pub(super) fn next_client(
        &mut self,
        connections: &ConnectionTable,
        now: Instant,
    ) -> Option<ConnectionId> {
        self.client_connections
            .next(connections, now, Connection::client_eviction_tier)
    }
}
