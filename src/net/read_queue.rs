//! The queue of connections with input that is not urgent, and the rules by which they are read
//! when there are more than can be served in time.
//!
//! - Connections that have been served before come first, so that they stay. A connection that is
//!   opened for each request costs three times as much as one that is kept, and all agents
//!   connecting at once exceed a small share of a processor; they move to a new leader
//!   gradually.
//! - The queue is first in, first out until a connection has waited for [`FAIR_MS`]. From then on
//!   the latest is read first, and a connection that has waited for [`PATIENCE_MS`] is closed
//!   unread. If all were served in order, each would be served too late once the queue is
//!   that long, and would come back with another connection: none would be in time again.

use std::collections::VecDeque;
use std::time::Instant;

use super::connection::ConnectionId;

/// Connections that are read, or accepted, in one turn. On a small share of a processor a few
/// hundred at once take longer than the time to live of a leader's grant, so urgent input has to
/// be reviewed in between.
pub(super) const TURN_BATCH: usize = 24;
/// Newcomers that are read in one turn at least, and accepted in one turn while the queue is
/// long.
pub(super) const NEWCOMER_BATCH: usize = TURN_BATCH / 4;
/// A connection that has waited longer is read after later ones, in milliseconds.
const FAIR_MS: u64 = 1000;
/// A connection that has waited longer is closed unread, in milliseconds: agents give up after
/// 4 s.
const PATIENCE_MS: u64 = 3900;

/// Which of the two queues a connection waits in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ReadClass {
    /// A request has been answered on the connection.
    Served,
    /// Any other connection.
    Newcomer,
}

/// What to do with the next connection of the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum NextRead {
    /// It is read. It may have been closed meanwhile.
    Read(ConnectionId),
    /// It has waited too long and is closed unread.
    TimedOut(ConnectionId),
}

/// A connection in the queue.
#[derive(Debug, Clone, Copy)]
struct QueuedRead {
    id: ConnectionId,
    since: Instant,
}

/// Connections with input to be read. Those that are closed stay until their turn comes.
#[derive(Debug, Default)]
pub(super) struct ReadQueue {
    served: VecDeque<QueuedRead>,
    newcomers: VecDeque<QueuedRead>,
    /// The longest observed wait since it was last taken, in milliseconds.
    longest_wait_ms: u64,
}

impl ReadQueue {
    pub(super) fn is_empty(&self) -> bool {
        self.served.is_empty() && self.newcomers.is_empty()
    }

    /// Whether more connections wait than are read in one turn.
    pub(super) fn is_backlogged(&self) -> bool {
        self.served.len() + self.newcomers.len() > TURN_BATCH
    }

    /// Appends a connection, which must not be in the queue.
    pub(super) fn push(&mut self, id: ConnectionId, class: ReadClass, now: Instant) {
        let queued = QueuedRead { id, since: now };
        match class {
            ReadClass::Served => self.served.push_back(queued),
            ReadClass::Newcomer => self.newcomers.push_back(queued),
        }
    }

    /// Removes the next connection of a class. `is_open` tells which connections are still open.
    pub(super) fn next(
        &mut self,
        class: ReadClass,
        now: Instant,
        is_open: impl Fn(ConnectionId) -> bool,
    ) -> Option<NextRead> {
        let queue = match class {
            ReadClass::Served => &mut self.served,
            ReadClass::Newcomer => &mut self.newcomers,
        };
        while queue.front().is_some_and(|queued| !is_open(queued.id)) {
            queue.pop_front();
        }
        let first = *queue.front()?;
        let wait_ms = now.duration_since(first.since).as_millis() as u64;
        self.longest_wait_ms = self.longest_wait_ms.max(wait_ms);
        if wait_ms > PATIENCE_MS {
            queue.pop_front();
            return Some(NextRead::TimedOut(first.id));
        }
        let next = if wait_ms > FAIR_MS {
            queue.pop_back()
        } else {
            queue.pop_front()
        };
        next.map(|queued| NextRead::Read(queued.id))
    }

    /// The longest wait that was observed since the last call, in milliseconds.
    pub(super) fn take_longest_wait_ms(&mut self) -> u64 {
        std::mem::take(&mut self.longest_wait_ms)
    }
}
