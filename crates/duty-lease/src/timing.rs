//! Lease timing: every interval and timeout is derived from the time to live of the grant.
//!
//! Invariant: the order window ends before the store can expire the grant, even if the
//! holder's clock runs slow by [`CLOCK_DRIFT_RATIO`].

use thiserror::Error;

/// Maximum drift between two steady clocks, as a share of the elapsed time.
const CLOCK_DRIFT_RATIO: f64 = 0.0005;
/// Shortest time to live that the store accepts for a grant.
const TTL_MIN_MS: u64 = 100;
/// Longest time to live that the store accepts for a grant.
const TTL_MAX_MS: u64 = 600_000;
/// Shares must be lower than this, so that time for orders is left.
const SHARE_EXCLUSIVE_MAX: f64 = 0.75;
/// Default of [`LeaseTiming::safety_share`].
const DEFAULT_SAFETY_SHARE: f64 = 0.25;
/// Default of [`LeaseTiming::pause_share`].
const DEFAULT_PAUSE_SHARE: f64 = 0.1;
/// Renewals per time to live.
const RENEWALS_PER_TTL: u64 = 4;
/// Retries per time to live.
const RETRIES_PER_TTL: u64 = 20;

/// Timing parameters of a lease.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LeaseTiming {
    /// The grant's time to live without a renewal, in milliseconds.
    pub ttl_ms: u64,
    /// Share at the end of the time to live in which no orders are sent, so that most orders
    /// in flight are carried out before another controller can hold the duty.
    pub safety_share: f64,
    /// Share of the time to live. A longer gap between two clock readings counts as a pause
    /// of the process; no orders are sent until a later renewal is confirmed.
    pub pause_share: f64,
}

/// Why a timing is invalid.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum TimingError {
    /// The store accepts no grant with this time to live, in milliseconds.
    #[error("life_ms: must be from {TTL_MIN_MS} to {TTL_MAX_MS}, not {0}")]
    Ttl(u64),
    /// The share leaves no time for orders.
    #[error("{field}: must be above 0 and below {SHARE_EXCLUSIVE_MAX}, not {value}")]
    Share {
        /// The name of the field.
        field: &'static str,
        /// The rejected share, possibly NaN.
        value: f64,
    },
}

impl LeaseTiming {
    /// A timing with the default shares.
    pub fn new(ttl_ms: u64) -> LeaseTiming {
        LeaseTiming {
            ttl_ms,
            safety_share: DEFAULT_SAFETY_SHARE,
            pause_share: DEFAULT_PAUSE_SHARE,
        }
    }

    /// Validates the timing.
    ///
    /// # Errors
    ///
    /// [`TimingError`] if the store accepts no such grant, or no time for orders is left.
    pub fn check(&self) -> Result<(), TimingError> {
        if !(TTL_MIN_MS..=TTL_MAX_MS).contains(&self.ttl_ms) {
            return Err(TimingError::Ttl(self.ttl_ms));
        }
        let shares = [
            ("safety_share", self.safety_share),
            ("pause_share", self.pause_share),
        ];
        for (field, value) in shares {
            if !(value > 0.0 && value < SHARE_EXCLUSIVE_MAX) {
                return Err(TimingError::Share { field, value });
            }
        }
        Ok(())
    }

    /// Time for which orders may be sent, in milliseconds on the holder's own clock, counted
    /// from the sending of the last confirmed renewal. Allows for a holder's clock that runs
    /// slower than the store's.
    pub fn order_window_ms(&self) -> u64 {
        let ttl_ms = self.ttl_ms as f64;
        let safe_ttl_ms = ttl_ms * (1.0 - CLOCK_DRIFT_RATIO);
        let margin_ms = ttl_ms * self.safety_share;
        (safe_ttl_ms - margin_ms).max(0.0) as u64
    }

    /// Interval between two renewals of the grant, in milliseconds.
    pub fn renewal_interval_ms(&self) -> u64 {
        self.ttl_ms / RENEWALS_PER_TTL
    }

    /// Time to wait for a response of the store, in milliseconds. It equals the renewal
    /// interval, so that a request without a response does not delay the next renewal.
    pub fn response_timeout_ms(&self) -> u64 {
        self.renewal_interval_ms()
    }

    /// Delay before a retry, in milliseconds.
    pub fn retry_delay_ms(&self) -> u64 {
        self.ttl_ms / RETRIES_PER_TTL
    }

    /// Longest gap between two clock readings that does not count as a pause, in
    /// milliseconds.
    pub fn pause_threshold_ms(&self) -> u64 {
        (self.ttl_ms as f64 * self.pause_share) as u64
    }
}
