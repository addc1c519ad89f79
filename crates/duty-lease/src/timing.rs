//! The times of a lease, as ratios to its life.

use thiserror::Error;

/// How far two steady clocks may drift apart, as a share of the time that passes.
pub const DRIFT: f64 = 0.0005;
/// Shortest life that the store gives a grant.
const TTL_MIN_MS: u64 = 100;
/// Longest life that the store gives a grant.
const TTL_MAX_MS: u64 = 600_000;

/// The times of a lease.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LeaseTiming {
    /// How long a grant lives without a renewal.
    pub ttl_ms: u64,
    /// The share of the life in which no orders are given any more, so that those on
    /// their way are mostly carried out before another controller can hold the duty.
    pub safety_share: f64,
    /// A gap between two looks at the clock that is longer than this share of the life
    /// counts as a pause, after which the lease has to be confirmed.
    pub pause_share: f64,
}

/// Why a timing can't be used.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum TimingError {
    /// The store gives no grant of such a life.
    #[error("life_ms: must be from {TTL_MIN_MS} to {TTL_MAX_MS}, not {0}")]
    Ttl(u64),
    /// Not a share that leaves time for orders.
    #[error("{field}: must be above 0 and below 0.75, not {value}")]
    Share {
        /// The field.
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
            safety_share: 0.25,
            pause_share: 0.1,
        }
    }

    /// Whether it can be used.
    pub fn check(&self) -> Result<(), TimingError> {
        if !(TTL_MIN_MS..=TTL_MAX_MS).contains(&self.ttl_ms) {
            return Err(TimingError::Ttl(self.ttl_ms));
        }
        let shares = [
            ("safety_share", self.safety_share),
            ("pause_share", self.pause_share),
        ];
        for (field, value) in shares {
            if !(value > 0.0 && value < 0.75) {
                return Err(TimingError::Share { field, value });
            }
        }
        Ok(())
    }

    /// For how long orders may be given, from the moment in which the last confirmed
    /// renewal was sent, on the holder's own clock. That clock may be slow against the
    /// store's.
    pub fn order_window_ms(&self) -> u64 {
        let safe_ttl_ms = self.ttl_ms as f64 * (1.0 - DRIFT);
        (safe_ttl_ms - self.ttl_ms as f64 * self.safety_share).max(0.0) as u64
    }

    /// How often the grant is renewed.
    pub fn renewal_interval_ms(&self) -> u64 {
        self.ttl_ms / 4
    }

    /// How long an answer of the store is waited for.
    pub fn answer_timeout_ms(&self) -> u64 {
        self.ttl_ms / 4
    }

    /// Pause before another try.
    pub fn retry_ms(&self) -> u64 {
        self.ttl_ms / 20
    }

    /// A gap between two looks at the clock that counts as a pause.
    pub fn pause_ms(&self) -> u64 {
        (self.ttl_ms as f64 * self.pause_share) as u64
    }
}
