//! Admission control of users' requests.
//!
//! The limit on requests in progress follows their response times by additive increase and
//! multiplicative decrease. This module owns the limit and the statistics of response times; the
//! caller counts the requests in progress. Times are in milliseconds of the steady clock.

use hdrhistogram::Histogram;

/// Upper bound of the recorded response times; longer ones are recorded as this.
const RECORDED_MS_MAX: u64 = 60_000;
/// Precision of the recorded response times, in decimal digits.
const SIGNIFICANT_DIGITS: u8 = 2;
/// The limit never falls below this.
const LIMIT_MIN: f64 = 8.0;
/// Ratio of its maximum from which the limit starts, but not below [`START_LIMIT_MIN`].
const START_LIMIT_RATIO: f64 = 1.0 / 8.0;
/// Lower bound of the limit at start, and of its maximum.
const START_LIMIT_MIN: f64 = 16.0;
/// Factor that lowers the limit after a slow response.
const DECREASE_MULTIPLIER: f64 = 0.9;
/// The limit rises only while at least this ratio of it is in use.
const INCREASE_USAGE_RATIO: f64 = 0.5;

/// A limit on requests in progress. It rises by one for each full window of requests that got
/// their response in time, and falls by a tenth when responses are slow.
#[derive(Debug)]
pub struct AdmissionLimit {
    limit: f64,
    limit_max: f64,
    /// Longest response time that does not count as slow.
    target_ms: u64,
    decreased_at: u64,
    times: Histogram<u64>,
}

/// Statistics of response times.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResponseTimes {
    /// The number of responses.
    pub count: u64,
    /// The median in milliseconds.
    pub median_ms: u64,
    /// The 99th percentile in milliseconds.
    pub p99_ms: u64,
}

impl AdmissionLimit {
    /// Creates the limit. `target_ms` is the longest response time that does not count as slow.
    /// `max` is the maximum of the limit, which the caller derives from the number of sockets.
    pub fn new(target_ms: u64, max: usize) -> AdmissionLimit {
        let limit_max = (max as f64).max(START_LIMIT_MIN);
        let times = Histogram::new_with_bounds(1, RECORDED_MS_MAX, SIGNIFICANT_DIGITS);
        AdmissionLimit {
            limit: (limit_max * START_LIMIT_RATIO).max(START_LIMIT_MIN),
            limit_max,
            target_ms,
            decreased_at: 0,
            times: times.unwrap_or_else(|_| unreachable!("fixed bounds are valid")),
        }
    }

    /// Returns whether another request may begin in addition to those in progress.
    pub fn admits(&self, in_progress: usize) -> bool {
        (in_progress as f64) < self.limit
    }

    /// Returns the current limit, rounded down.
    pub fn limit(&self) -> usize {
        self.limit as usize
    }

    /// Records the response time of a request and adjusts the limit. `in_progress` is the number
    /// of requests in progress, including this one.
    pub fn record(&mut self, response_time_ms: u64, in_progress: usize, now: u64) {
        self.times.saturating_record(response_time_ms.max(1));
        if response_time_ms > self.target_ms {
            self.decrease(now);
        } else if in_progress as f64 >= self.limit * INCREASE_USAGE_RATIO {
            self.increase();
        }
    }

    /// Decreases the limit at most once per target time, since the requests in progress were
    /// admitted under the previous limit.
    fn decrease(&mut self, now: u64) {
        if now >= self.decreased_at + self.target_ms {
            self.decreased_at = now;
            self.limit = (self.limit * DECREASE_MULTIPLIER).max(LIMIT_MIN);
        }
    }

    fn increase(&mut self) {
        self.limit = (self.limit + 1.0 / self.limit.max(1.0)).min(self.limit_max);
    }

    /// Returns the statistics since the last call and resets them; `None` if there were no
    /// responses.
    pub fn take_response_times(&mut self) -> Option<ResponseTimes> {
        let count = self.times.len();
        if count == 0 {
            return None;
        }
        let times = ResponseTimes {
            count,
            median_ms: self.times.value_at_quantile(0.5),
            p99_ms: self.times.value_at_quantile(0.99),
        };
        self.times.reset();
        Some(times)
    }
}
