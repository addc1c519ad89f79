//! Which connections are closed because of their time.

use std::time::{Duration, Instant};

use super::connection::{Connection, Role};
use super::event_loop::EventLoop;

/// A request must be complete, and its answer sent, within this time.
const REQUEST_MAX: Duration = Duration::from_secs(10);
/// Longest time without a request.
const IDLE_MAX: Duration = Duration::from_secs(120);
/// The same for connections that we have opened: agents are called rarely and are many.
const CLIENT_IDLE_MAX: Duration = Duration::from_secs(5);
/// How often idle connections, which are many, are looked for.
const IDLE_SWEEP_INTERVAL: Duration = Duration::from_millis(1000);

impl EventLoop {
    /// Connections with a call whose time is over.
    pub(super) fn overdue_calls(&self) -> Vec<usize> {
        let is_overdue = |id: &&usize| match self.connections.get(*id).map(|c| &c.role) {
            Some(Role::Client(state)) => self.now >= state.deadline,
            _ => false,
        };
        self.calling.iter().filter(is_overdue).copied().collect()
    }

    /// Connections that have been idle for too long; only now and then.
    pub(super) fn idle_connections(&mut self) -> Vec<usize> {
        if self.now.duration_since(self.idle_swept_at) < IDLE_SWEEP_INTERVAL {
            return vec![];
        }
        self.idle_swept_at = self.now;
        let idle = self
            .connections
            .iter()
            .filter(|(_, connection)| self.is_idle_for_too_long(connection, self.now));
        idle.map(|(id, _)| *id).collect()
    }

    fn is_idle_for_too_long(&self, connection: &Connection, now: Instant) -> bool {
        let idle = now.duration_since(connection.used_at);
        let state = match &connection.role {
            Role::Client(state) => return state.call.is_none() && idle >= CLIENT_IDLE_MAX,
            Role::Server(state) => state,
        };
        if state.busy {
            return false;
        }
        if let Some(began) = state.request_began {
            return now.duration_since(began) >= REQUEST_MAX;
        }
        if state.agent {
            return idle >= self.limits.agent_idle;
        }
        let max = if connection.output.is_empty() {
            IDLE_MAX
        } else {
            REQUEST_MAX
        };
        idle >= max
    }
}
