//! Rate limits by token buckets.

/// Tokens that come at a steady rate; one second's worth may be taken at once.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    rate: f64,
    tokens: f64,
    refilled_at: u64,
}

impl TokenBucket {
    /// A full bucket with so many tokens a second.
    pub fn new(rate: f64) -> TokenBucket {
        TokenBucket {
            rate,
            tokens: rate,
            refilled_at: 0,
        }
    }

    fn refill(&mut self, now: u64) {
        let elapsed_s = now.saturating_sub(self.refilled_at) as f64 / 1000.0;
        self.refilled_at = self.refilled_at.max(now);
        self.tokens = (self.tokens + elapsed_s * self.rate).min(self.rate);
    }

    /// Takes `count` tokens if afterwards a share of `reserve` of the rate is left.
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

    /// Sets another rate from now on.
    pub fn set_rate(&mut self, now: u64, rate: f64) {
        self.refill(now);
        self.rate = rate;
        self.tokens = self.tokens.min(rate);
    }

    /// How many tokens could be taken so that a share of `reserve` of the rate is left.
    pub fn available(&mut self, now: u64, reserve: f64) -> usize {
        self.refill(now);
        (self.tokens - reserve * self.rate).max(0.0) as usize
    }

    /// The other side says that the limit has been reached.
    pub fn drain(&mut self) {
        self.tokens = self.tokens.min(0.0);
    }
}
