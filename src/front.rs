//! Users' requests: what waits for what, and how many may be in progress.

use hdrhistogram::Histogram;

use crate::job::Spec;

/// Who waits for an answer: a user's connection, or another controller's that
/// handed a user's request on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Caller {
    pub conn: usize,
    pub handed: bool,
}

#[derive(Debug, Clone)]
pub enum Ask {
    Submit(Box<Spec>),
    Poll,
    Cancel,
}

/// What a request in progress waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// A picture read after this moment and at least this revision.
    Fresh { after: u64, rev: u64 },
    /// The outcome of a change.
    Commit,
    /// The direct read of an ended job.
    Read,
    /// Another controller's answer.
    Handed,
    /// A short pause before trying again.
    Pause { until: u64 },
}

#[derive(Debug, Clone)]
pub struct Pending {
    pub caller: Caller,
    pub id: String,
    pub ask: Ask,
    pub since: u64,
    pub stage: Stage,
    /// As it came, to hand it on.
    pub body: Vec<u8>,
    /// What a submission names: found on record, though not in the picture yet.
    pub found: Vec<String>,
    /// It names a job that was never accepted. If it was accepted itself, it gets its
    /// state all the same.
    pub astray: bool,
}

/// A limit on requests in progress that adjusts itself to measured times: it
/// rises by one for each full window answered in good time and falls by a
/// tenth when answers are slow.
#[derive(Debug)]
pub struct Admission {
    limit: f64,
    least: f64,
    most: f64,
    good_ms: u64,
    cut_at: u64,
    times: Histogram<u64>,
}

impl Admission {
    /// `good_ms`: what an answer may take. `most`: a bound by sockets.
    pub fn new(good_ms: u64, most: usize) -> Admission {
        let most = (most as f64).max(16.0);
        Admission {
            limit: (most / 8.0).max(16.0),
            least: 8.0,
            most,
            good_ms,
            cut_at: 0,
            times: Histogram::new_with_bounds(1, 60_000, 2)
                .unwrap_or_else(|_| unreachable!("fixed bounds are valid")),
        }
    }

    pub fn admits(&self, in_progress: usize) -> bool {
        (in_progress as f64) < self.limit
    }

    pub fn limit(&self) -> usize {
        self.limit as usize
    }

    /// A request took this long, with so many others in progress.
    pub fn took(&mut self, ms: u64, in_progress: usize, now: u64) {
        self.times.saturating_record(ms.max(1));
        if ms > self.good_ms {
            // One cut per answer time: what is in progress was let in before.
            if now >= self.cut_at + self.good_ms {
                self.cut_at = now;
                self.limit = (self.limit * 0.9).max(self.least);
            }
        } else if in_progress as f64 * 2.0 >= self.limit {
            // Rises only while it is made use of.
            self.limit = (self.limit + 1.0 / self.limit.max(1.0)).min(self.most);
        }
    }

    /// Median and 99th percentile since the last call, with the count.
    pub fn times(&mut self) -> Option<(u64, u64, u64)> {
        let n = self.times.len();
        if n == 0 {
            return None;
        }
        let out = (
            n,
            self.times.value_at_quantile(0.5),
            self.times.value_at_quantile(0.99),
        );
        self.times.reset();
        Some(out)
    }
}
