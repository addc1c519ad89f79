//! The times of a lease, all derived from its time to live.
//!
//! Invariant: the order window ends before the store can end the grant, even if the holder's
//! clock runs slow by [`DRIFT`].

use thiserror::Error;

/// How far two steady clocks may drift apart, as a share of the time that passes.
const DRIFT: f64 = 0.0005;
/// Shortest time to live that the store gives a grant.
const TTL_MIN_MS: u64 = 100;
/// Longest time to live that the store gives a grant.
const TTL_MAX_MS: u64 = 600_000;
/// A share has to be lower, so that time for orders is left.
const SHARE_LIMIT: f64 = 0.75;
/// Usual [`LeaseTiming::safety_share`].
const SAFETY_SHARE: f64 = 0.25;
/// Usual [`LeaseTiming::pause_share`].
const PAUSE_SHARE: f64 = 0.1;
/// Renewals within a time to live.
const RENEWALS_PER_TTL: u64 = 4;
/// Retries within a time to live.
const RETRIES_PER_TTL: u64 = 20;

/// The times of a lease.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LeaseTiming {
    /// The grant's time to live without a renewal, in milliseconds.
    pub ttl_ms: u64,
    /// The share at the end of the time to live in which no orders are given any more, so
    /// that those on their way are mostly carried out before another controller can hold
    /// the duty.
    pub safety_share: f64,
    /// A gap between two readings of the clock that is longer than this share of the time
    /// to live counts as a pause, after which the lease has to be confirmed.
    pub pause_share: f64,
}

/// Why a timing can't be used.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum TimingError {
    /// The store gives no grant with this time to live.
    #[error("life_ms: must be from {TTL_MIN_MS} to {TTL_MAX_MS}, not {0}")]
    Ttl(u64),
    /// The share leaves no time for orders.
    #[error("{field}: must be above 0 and below {SHARE_LIMIT}, not {value}")]
    Share {
        /// The name of the field.
        field: &'static str,
        /// Its value.
        value: f64,
    },
}

impl LeaseTiming {
    /// A timing with the usual shares.
    pub fn new(ttl_ms: u64) -> LeaseTiming {
        LeaseTiming {
            ttl_ms,
            safety_share: SAFETY_SHARE,
            pause_share: PAUSE_SHARE,
        }
    }

    /// Checks that the timing can be used.
    ///
    /// # Errors
    ///
    /// [`TimingError`] if the store gives no such grant, or no time for orders is left.
    pub fn check(&self) -> Result<(), TimingError> {
        if !(TTL_MIN_MS..=TTL_MAX_MS).contains(&self.ttl_ms) {
            return Err(TimingError::Ttl(self.ttl_ms));
        }
        let shares = [
            ("safety_share", self.safety_share),
            ("pause_share", self.pause_share),
        ];
        for (field, value) in shares {
            if !(value > 0.0 && value < SHARE_LIMIT) {
                return Err(TimingError::Share { field, value });
            }
        }
        Ok(())
    }

    /// For how many milliseconds orders may be given, from the moment in which the last
    /// confirmed renewal was sent, on the holder's own clock. That clock may be slow against
    /// the store's.
    pub fn order_window_ms(&self) -> u64 {
        let ttl_ms = self.ttl_ms as f64;
        let safe_ttl_ms = ttl_ms * (1.0 - DRIFT);
        let margin_ms = ttl_ms * self.safety_share;
        (safe_ttl_ms - margin_ms).max(0.0) as u64
    }

    /// The time between two renewals of the grant, in milliseconds.
    pub fn renewal_interval_ms(&self) -> u64 {
        self.ttl_ms / RENEWALS_PER_TTL
    }

    /// How long to wait for an answer of the store, in milliseconds. A request that is not
    /// answered in time does not delay the next renewal.
    pub fn answer_timeout_ms(&self) -> u64 {
        self.renewal_interval_ms()
    }

    /// The time before a retry, in milliseconds.
    pub fn retry_ms(&self) -> u64 {
        self.ttl_ms / RETRIES_PER_TTL
    }

    /// A longer gap between two readings of the clock counts as a pause; in milliseconds.
    pub fn pause_ms(&self) -> u64 {
        (self.ttl_ms as f64 * self.pause_share) as u64
    }
}
