//! Detects from clock readings that the process was paused or that the clock went back.
//!
//! A holder measures the age of its lease on its own steady clock. A paused process can't
//! observe that time passes, and a clock that went back hides elapsed time: in both cases the
//! time since the last renewal is unknown.

use super::events::SuspensionReason;

/// Checks successive readings of one clock.
#[derive(Debug, Clone)]
pub(super) struct PauseDetector {
    /// A longer gap between two readings counts as a pause.
    pause_threshold_ms: u64,
    last_reading: Option<u64>,
}

impl PauseDetector {
    pub(super) fn new(pause_threshold_ms: u64) -> PauseDetector {
        PauseDetector {
            pause_threshold_ms,
            last_reading: None,
        }
    }

    /// Records a clock reading. Returns the reason if the time since the previous reading is
    /// unreliable.
    pub(super) fn observe(&mut self, now: u64) -> Option<SuspensionReason> {
        let last_reading = self.last_reading.replace(now)?;
        if now < last_reading {
            return Some(SuspensionReason::ClockWentBack);
        }
        let gap_ms = now - last_reading;
        (gap_ms > self.pause_threshold_ms).then_some(SuspensionReason::Paused)
    }
}
