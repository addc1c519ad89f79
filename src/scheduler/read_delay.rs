//! How far this controller is behind with reading what it receives.
//!
//! A controller that is behind must not blame the machines: that they look silent, or show
//! no effect of its answers, may be its own delay.

use crate::time_units::to_ms;

/// Messages wait longer than this before they are read: the controller is overloaded and
/// requests nothing that may arrive unasked.
const OVERLOADED_MS: u64 = 400;
/// An agent drops an answer after 4 s. With such a wait before a heartbeat is even read, an
/// answer without effect says nothing about the machine.
const LAGGING_MS: u64 = 1500;
/// For how many heartbeat intervals the controller counts as lagging after such a delay.
const LAGGING_INTERVALS: f64 = 2.0;

/// The latest long read delays of this controller, by the steady clock in milliseconds.
#[derive(Debug, Default)]
pub(super) struct ReadDelay {
    /// When the delay last exceeded [`LAGGING_MS`].
    lagging_at: Option<u64>,
    /// When the delay last exceeded [`OVERLOADED_MS`].
    overloaded_at: Option<u64>,
}

impl ReadDelay {
    /// Records that a message waited `delay_ms` before it was read.
    pub(super) fn record(&mut self, delay_ms: u64, now: u64) {
        if delay_ms > LAGGING_MS {
            self.lagging_at = Some(now);
        }
        if delay_ms > OVERLOADED_MS {
            self.overloaded_at = Some(now);
        }
    }

    /// Whether this controller was seconds behind within the last heartbeat intervals.
    pub(super) fn is_lagging(&self, heartbeat_interval_s: f64, now: u64) -> bool {
        let counts_ms = to_ms(heartbeat_interval_s * LAGGING_INTERVALS);
        self.lagging_at.is_some_and(|at| now < at + counts_ms)
    }

    /// Whether more is currently waiting to be read than can be read.
    pub(super) fn is_overloaded(&self, now: u64) -> bool {
        self.overloaded_at
            .is_some_and(|at| now < at + 2 * OVERLOADED_MS)
    }
}
