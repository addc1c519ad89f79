//! The queue of connections with input that is not urgent, and the order in which they are read
//! under overload.
//!
//! - Connections that have been served before come first, so that their clients keep them open. A
//!   new connection for each request costs three times as much as a persistent one, and all
//!   agents connecting at once would overload a process with a small share of a processor; they
//!   move to a new leader gradually.
//! - The queue is first in, first out until its oldest connection has waited for
//!   [`FIFO_WAIT_MAX_MS`]. From then on the newest is read first, and a connection that has
//!   waited for [`READ_QUEUE_TIMEOUT_MS`] is closed unread. With a queue of that length, strict
//!   order would serve every connection after its client has timed out and reconnected, and the
//!   queue would never recover.

use std::collections::VecDeque;
use std::time::Instant;

use super::connection::ConnectionId;

/// Limit per turn on the queued connections that are read, which only the guaranteed number of new
/// ones may exceed, and on the connections accepted from each listener. On a small share of a
/// processor a few hundred at once take longer than the time to live of a leader's grant, so
/// urgent input is handled in between.
pub(super) const CONNECTIONS_PER_TURN_MAX: usize = 24;
/// New connections that are read in one turn at least if they are queued, and maximum number that
/// is accepted from users and agents in one turn while the queue is backlogged.
pub(super) const NEW_CONNECTIONS_PER_TURN: usize = CONNECTIONS_PER_TURN_MAX / 4;
/// Wait of the oldest connection, in milliseconds, above which the newest is read first.
const FIFO_WAIT_MAX_MS: u64 = 1000;
/// Wait in milliseconds above which a connection is closed unread: agents time out after 4 s.
const READ_QUEUE_TIMEOUT_MS: u64 = 3900;

/// Which of the two queues a connection waits in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ReadClass {
    /// A server connection that has already served a request.
    Served,
    /// Any other connection, client connections to agents included.
    New,
}

/// How to handle the next connection of the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum NextRead {
    /// Read the connection, which may have been closed since it was queued.
    Read(ConnectionId),
    /// The connection has waited too long: close it unread.
    TimedOut(ConnectionId),
}

/// A connection in the queue.
#[derive(Debug, Clone, Copy)]
struct QueuedRead {
    id: ConnectionId,
    since: Instant,
}

/// Connections with input to be read. Closed ones stay until they are dequeued.
#[derive(Debug, Default)]
pub(super) struct ReadQueue {
    served: VecDeque<QueuedRead>,
    new_connections: VecDeque<QueuedRead>,
    /// The longest wait since the last [`ReadQueue::take_longest_read_delay_ms`], in milliseconds.
    longest_wait_ms: u64,
}

impl ReadQueue {
    pub(super) fn is_empty(&self) -> bool {
        self.served.is_empty() && self.new_connections.is_empty()
    }

    /// Whether more connections are queued than are read in one turn.
    pub(super) fn is_backlogged(&self) -> bool {
        self.served.len() + self.new_connections.len() > CONNECTIONS_PER_TURN_MAX
    }

    /// Appends a connection, which must not be in the queue: it would be read twice.
    pub(super) fn push(&mut self, id: ConnectionId, class: ReadClass, now: Instant) {
        let queued = QueuedRead { id, since: now };
        match class {
            ReadClass::Served => self.served.push_back(queued),
            ReadClass::New => self.new_connections.push_back(queued),
        }
    }

    /// Removes the next connection of a class, skipping closed ones, which `is_open` tells.
    pub(super) fn next(
        &mut self,
        class: ReadClass,
        now: Instant,
        is_open: impl Fn(ConnectionId) -> bool,
    ) -> Option<NextRead> {
        let queue = match class {
            ReadClass::Served => &mut self.served,
            ReadClass::New => &mut self.new_connections,
        };
        while queue.front().is_some_and(|queued| !is_open(queued.id)) {
            queue.pop_front();
        }
        let first = *queue.front()?;
        let wait_ms = now.duration_since(first.since).as_millis() as u64;
        self.longest_wait_ms = self.longest_wait_ms.max(wait_ms);
        if wait_ms > READ_QUEUE_TIMEOUT_MS {
            queue.pop_front();
            return Some(NextRead::TimedOut(first.id));
        }
        let next = if wait_ms > FIFO_WAIT_MAX_MS {
            queue.pop_back()
        } else {
            queue.pop_front()
        };
        next.map(|queued| NextRead::Read(queued.id))
    }

    /// Returns the longest wait since the last call, in milliseconds, and resets it.
    pub(super) fn take_longest_read_delay_ms(&mut self) -> u64 {
        std::mem::take(&mut self.longest_wait_ms)
    }
}
