//! Detects from the readings of a clock that the process was paused or the clock went back.
//!
//! A holder counts its lease's time on its own steady clock. While the process stands still
//! it can't see that time pass, and a clock that went back hides time that has passed:
//! either way the time since the last renewal is unknown.

use super::events::SuspensionReason;

/// Watches the readings of one clock.
#[derive(Debug, Clone)]
pub(super) struct PauseDetector {
    /// A longer gap between two readings counts as a pause.
    pause_ms: u64,
    last_reading: Option<u64>,
}

impl PauseDetector {
    pub(super) fn new(pause_ms: u64) -> PauseDetector {
        PauseDetector {
            pause_ms,
            last_reading: None,
        }
    }

    /// Records a reading of the clock. Returns why the time since the one before can't be
    /// relied upon, if it can't.
    pub(super) fn observe(&mut self, now: u64) -> Option<SuspensionReason> {
        let last_reading = self.last_reading.replace(now)?;
        if now < last_reading {
            return Some(SuspensionReason::ClockWentBack);
        }
        let gap_ms = now - last_reading;
        (gap_ms > self.pause_ms).then_some(SuspensionReason::Paused)
    }
}
