//! Finding the least recently used connection, without a look at all of them each
//! time that capacity is needed.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// One look finds so many at the least, and a share of all: the cost of a look is shared by
/// those who then need capacity.
const BATCH_MIN: usize = 4;
const BATCH_PARTS: usize = 32;
/// After a look that found nothing there is none for so long.
const EMPTY_SCAN_PAUSE: Duration = Duration::from_millis(50);

/// A connection that could be closed, as it was when it was looked at.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct IdleConnection {
    /// Those of agents are closed only if there is no other.
    pub agent: bool,
    pub used_at: Instant,
    pub id: usize,
}

/// Connections that could be closed, the least recently used first.
#[derive(Debug, Default)]
pub(super) struct LruConnections {
    found: VecDeque<IdleConnection>,
    empty_until: Option<Instant>,
}

impl LruConnections {
    /// The next one, which may have been used meanwhile.
    pub fn pop(&mut self) -> Option<IdleConnection> {
        self.found.pop_front()
    }

    /// Whether another look may find any.
    pub fn may_scan(&self, now: Instant) -> bool {
        self.empty_until.is_none_or(|until| now >= until)
    }

    /// Takes in what a look at all connections found.
    pub fn refill(&mut self, mut idle: Vec<IdleConnection>, now: Instant) {
        self.empty_until = idle.is_empty().then(|| now + EMPTY_SCAN_PAUSE);
        idle.sort_unstable();
        idle.truncate(BATCH_MIN.max(idle.len() / BATCH_PARTS));
        self.found = idle.into();
    }
}
