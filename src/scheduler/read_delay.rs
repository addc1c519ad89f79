//! Tracks the delay with which this controller reads the messages that it receives.
//!
//! While this delay is long, machines may look silent, or show no effect of heartbeat responses,
//! through no fault of theirs; they must not be treated as unreachable for that.

use crate::time_units::to_ms;

/// A read delay above this marks the controller as overloaded: it sends no requests whose outcome
/// heartbeats bring anyway.
const OVERLOADED_READ_DELAY_MS: u64 = 400;
/// A read delay above this marks the controller as lagging. An agent drops a response that takes
/// longer than 4 s; with such a delay before the heartbeat is even read, a response without effect
/// is no evidence against the machine.
const LAGGING_READ_DELAY_MS: u64 = 1500;
/// Number of heartbeat intervals for which the controller counts as lagging after such a delay.
const LAGGING_HEARTBEAT_INTERVALS: f64 = 2.0;

/// When this controller last had long read delays, by the steady clock in milliseconds.
#[derive(Debug, Default)]
pub(super) struct ReadDelay {
    /// When the delay last exceeded [`LAGGING_READ_DELAY_MS`].
    lagging_at: Option<u64>,
    /// When the delay last exceeded [`OVERLOADED_READ_DELAY_MS`].
    overloaded_at: Option<u64>,
}

impl ReadDelay {
    /// Records that a message waited `delay_ms` before it was read.
    pub(super) fn record(&mut self, delay_ms: u64, now: u64) {
        if delay_ms > LAGGING_READ_DELAY_MS {
            self.lagging_at = Some(now);
        }
        if delay_ms > OVERLOADED_READ_DELAY_MS {
            self.overloaded_at = Some(now);
        }
    }

    /// Whether the read delay exceeded [`LAGGING_READ_DELAY_MS`] within the last heartbeat
    /// intervals.
    pub(super) fn is_lagging(&self, heartbeat_interval_s: f64, now: u64) -> bool {
        let lagging_ms = to_ms(heartbeat_interval_s * LAGGING_HEARTBEAT_INTERVALS);
        self.lagging_at.is_some_and(|at| now < at + lagging_ms)
    }

    /// Whether the read delay recently exceeded [`OVERLOADED_READ_DELAY_MS`].
    pub(super) fn is_overloaded(&self, now: u64) -> bool {
        self.overloaded_at
            .is_some_and(|at| now < at + 2 * OVERLOADED_READ_DELAY_MS)
    }
}
