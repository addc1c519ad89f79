//! Closing of connections that have been idle for too long.

use std::time::{Duration, Instant};

use super::connection::{Activity, Connection, ConnectionId};
use super::connection_table::ConnectionTable;
use super::interval::Interval;

/// Time within which a request must be complete, and within which its answer must be sent.
const REQUEST_MAX: Duration = Duration::from_secs(10);
/// Longest time without a request on a server connection.
const SERVER_IDLE_MAX: Duration = Duration::from_secs(120);
/// Longest time without a call on a client connection: agents are many and called rarely.
const CLIENT_IDLE_MAX: Duration = Duration::from_secs(5);
/// Interval at which all connections, which are many, are reviewed.
const REVIEW_INTERVAL: Duration = Duration::from_millis(1000);

/// Finds idle connections, in intervals.
pub(super) struct IdleTimeouts {
    review: Interval,
    /// Longest time without a heartbeat on an agent's connection.
    agent_idle_max: Duration,
}

impl IdleTimeouts {
    pub(super) fn new(agent_idle_max: Duration, now: Instant) -> IdleTimeouts {
        IdleTimeouts {
            review: Interval::new(REVIEW_INTERVAL, now),
            agent_idle_max,
        }
    }

    /// The connections to close, in no particular order. Empty between two reviews.
    pub(super) fn expired(
        &mut self,
        connections: &ConnectionTable,
        now: Instant,
    ) -> Vec<ConnectionId> {
        if !self.review.is_due(now) {
            return vec![];
        }
        let all = connections.iter();
        let expired = all.filter(|(_, connection)| self.is_expired(connection, now));
        expired.map(|(id, _)| id).collect()
    }

    fn is_expired(&self, connection: &Connection, now: Instant) -> bool {
        let idle = now.duration_since(connection.last_used());
        match connection.activity() {
            Activity::InUse => false,
            Activity::ReceivingRequest(began) => now.duration_since(began) >= REQUEST_MAX,
            Activity::AgentIdle => idle >= self.agent_idle_max,
            Activity::SendingAnswer => idle >= REQUEST_MAX,
            Activity::ServerIdle => idle >= SERVER_IDLE_MAX,
            Activity::ClientIdle => idle >= CLIENT_IDLE_MAX,
        }
    }
}
