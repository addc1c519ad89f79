//! Rate limits by token buckets. Times are in milliseconds of the steady clock.

use crate::time_units::ms_to_s;

/// A token bucket. It refills at a constant rate and holds the tokens of one second.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    /// Tokens per second, and the capacity of the bucket.
    rate: f64,
    /// Tokens that are available; at most `rate`.
    tokens: f64,
    refilled_at: u64,
}

impl TokenBucket {
    /// Creates a full bucket. `rate` is in tokens per second.
    pub fn new(rate: f64) -> TokenBucket {
        TokenBucket {
            rate,
            tokens: rate,
            refilled_at: 0,
        }
    }

    fn refill(&mut self, now: u64) {
        let elapsed_s = ms_to_s(now.saturating_sub(self.refilled_at));
        self.refilled_at = self.refilled_at.max(now);
        self.tokens = (self.tokens + elapsed_s * self.rate).min(self.rate);
    }

    /// Takes `count` tokens if at least `reserve * rate` tokens are left afterwards. Returns
    /// whether they were taken.
    pub fn try_take(&mut self, now: u64, count: f64, reserve: f64) -> bool {
        self.refill(now);
        let enough = self.tokens >= count + reserve * self.rate;
        if enough {
            self.tokens -= count;
        }
        enough
    }

    /// Gives back tokens that were taken and not used.
    pub fn refund(&mut self, count: f64) {
        self.tokens = (self.tokens + count).min(self.rate);
    }

    /// Sets the rate, in tokens per second, from the time `now` on.
    pub fn set_rate(&mut self, now: u64, rate: f64) {
        self.refill(now);
        self.rate = rate;
        self.tokens = self.tokens.min(rate);
    }

    /// Returns how many whole tokens can be taken so that at least `reserve * rate` are left.
    pub fn available(&mut self, now: u64, reserve: f64) -> usize {
        self.refill(now);
        (self.tokens - reserve * self.rate).max(0.0) as usize
    }

    /// Empties the bucket, for use after the server has rejected a request for its own rate limit.
    pub fn drain(&mut self) {
        self.tokens = self.tokens.min(0.0);
    }
}
