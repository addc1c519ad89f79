//! Timeouts of idle connections and of slow requests.

use std::time::{Duration, Instant};

use super::connection::{Activity, Connection, ConnectionId};
use super::connection_table::ConnectionTable;
use super::interval::Interval;

/// Time within which a request must be received completely, and its response be sent.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest time without a request on a server connection.
const SERVER_IDLE_TIMEOUT: Duration = Duration::from_secs(120);
/// Longest time without a call on a client connection: short, as agents are many and called
/// rarely.
const CLIENT_IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval between checks, which iterate over all connections.
const REVIEW_INTERVAL: Duration = Duration::from_millis(1000);

/// Finds idle connections periodically.
pub(super) struct IdleTimeouts {
    review: Interval,
    /// Longest time without a heartbeat on an agent's connection.
    agent_idle_timeout: Duration,
}

impl IdleTimeouts {
    pub(super) fn new(agent_idle_timeout: Duration, now: Instant) -> IdleTimeouts {
        IdleTimeouts {
            review: Interval::new(REVIEW_INTERVAL, now),
            agent_idle_timeout,
        }
    }

    /// The connections to close, in no particular order. Empty until the next check is due.
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
            Activity::ReceivingRequest(started_at) => {
                now.duration_since(started_at) >= REQUEST_TIMEOUT
            }
            Activity::AgentIdle => idle >= self.agent_idle_timeout,
            Activity::SendingResponse => idle >= REQUEST_TIMEOUT,
            Activity::ServerIdle => idle >= SERVER_IDLE_TIMEOUT,
            Activity::ClientIdle => idle >= CLIENT_IDLE_TIMEOUT,
        }
    }
}
