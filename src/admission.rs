//! The limit on users' requests in progress, which adjusts itself to measured times.

use hdrhistogram::Histogram;

/// Longest time that is told from longer ones.
const RECORDED_MS_MAX: u64 = 60_000;
const SIGNIFICANT_DIGITS: u8 = 2;
/// The limit never falls below this, and starts from this share of its maximum.
const LIMIT_MIN: f64 = 8.0;
const START_SHARE: f64 = 1.0 / 8.0;
const START_MIN: f64 = 16.0;
/// What is left of the limit after a slow answer.
const REDUCTION: f64 = 0.9;

/// A limit on requests in progress: it rises by one for each full window answered in good
/// time and falls by a tenth when answers are slow.
#[derive(Debug)]
pub struct AdmissionLimit {
    limit: f64,
    max: f64,
    target_ms: u64,
    reduced_at: u64,
    times: Histogram<u64>,
}

/// Times of answers since the last look.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerTimes {
    /// How many answers.
    pub count: u64,
    /// Half of them took no longer.
    pub median_ms: u64,
    /// 99 in a hundred took no longer.
    pub p99_ms: u64,
}

impl AdmissionLimit {
    /// `target_ms`: what an answer may take. `max`: a bound by sockets.
    pub fn new(target_ms: u64, max: usize) -> AdmissionLimit {
        let max = (max as f64).max(START_MIN);
        let times = Histogram::new_with_bounds(1, RECORDED_MS_MAX, SIGNIFICANT_DIGITS);
        AdmissionLimit {
            limit: (max * START_SHARE).max(START_MIN),
            max,
            target_ms,
            reduced_at: 0,
            times: times.unwrap_or_else(|_| unreachable!("fixed bounds are valid")),
        }
    }

    /// Whether another request may begin beside so many in progress.
    pub fn admits(&self, in_progress: usize) -> bool {
        (in_progress as f64) < self.limit
    }

    /// The present limit.
    pub fn limit(&self) -> usize {
        self.limit as usize
    }

    /// A request took this long, with so many in progress.
    pub fn record(&mut self, took_ms: u64, in_progress: usize, now: u64) {
        self.times.saturating_record(took_ms.max(1));
        if took_ms > self.target_ms {
            // One cut per answer time: what is in progress was let in before.
            if now >= self.reduced_at + self.target_ms {
                self.reduced_at = now;
                self.limit = (self.limit * REDUCTION).max(LIMIT_MIN);
            }
        } else if in_progress as f64 * 2.0 >= self.limit {
            // Rises only while it is made use of.
            self.limit = (self.limit + 1.0 / self.limit.max(1.0)).min(self.max);
        }
    }

    /// Times since the last call; `None` if there were no answers.
    pub fn take_times(&mut self) -> Option<AnswerTimes> {
        let count = self.times.len();
        if count == 0 {
            return None;
        }
        let times = AnswerTimes {
            count,
            median_ms: self.times.value_at_quantile(0.5),
            p99_ms: self.times.value_at_quantile(0.99),
        };
        self.times.reset();
        Some(times)
    }
}
