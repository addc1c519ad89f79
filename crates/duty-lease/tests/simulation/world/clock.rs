//! A controller's steady clock, and its faults.

use rand::rngs::StdRng;
use rand::Rng;

/// Maximum drift; stays within the allowed one.
const DRIFT_MAX_PPM: i64 = 240;
const OFFSET_MAX_MS: i64 = 100_000;

#[derive(Debug, Clone, Copy)]
pub(super) struct Clock {
    offset_ms: i64,
    /// Runs fast, or slow, by this many parts in a million.
    drift_ppm: i64,
    stopped_at: Option<u64>,
}

impl Clock {
    pub(super) fn random(rng: &mut StdRng) -> Clock {
        Clock {
            offset_ms: rng.random_range(0..OFFSET_MAX_MS),
            drift_ppm: rng.random_range(-DRIFT_MAX_PPM..=DRIFT_MAX_PPM),
            stopped_at: None,
        }
    }

    pub(super) fn read(&self, now: u64) -> u64 {
        let drift_ms = now as i64 * self.drift_ppm / 1_000_000;
        let reading = (now as i64 + self.offset_ms + drift_ms).max(0) as u64;
        self.stopped_at.unwrap_or(reading)
    }

    /// Jumps forward or back.
    pub(super) fn jump(&mut self, by_ms: i64) {
        self.offset_ms += by_ms;
    }

    pub(super) fn stop(&mut self, now: u64) {
        self.stopped_at = Some(self.read(now));
    }

    /// Continues from the reading at which it stopped, if it did.
    pub(super) fn resume(&mut self, now: u64) {
        if let Some(stopped_at) = self.stopped_at.take() {
            let missed_ms = self.read(now) as i64 - stopped_at as i64;
            self.offset_ms -= missed_ms;
        }
    }
}
