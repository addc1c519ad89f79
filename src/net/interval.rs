//! A timer for periodic work.

use std::time::{Duration, Instant};

/// Tells when periodic work is due.
pub(super) struct Interval {
    length: Duration,
    last: Instant,
}

impl Interval {
    /// Due for the first time one interval after `now`.
    pub(super) fn new(length: Duration, now: Instant) -> Interval {
        Interval { length, last: now }
    }

    /// Whether the work is due; if so, the next interval begins.
    pub(super) fn is_due(&mut self, now: Instant) -> bool {
        let is_due = now.duration_since(self.last) >= self.length;
        if is_due {
            self.last = now;
        }
        is_due
    }
}
