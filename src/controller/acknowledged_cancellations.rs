//! Cancellations that this controller has acknowledged to users. They are reported to the
//! leader, which may be unable to read them from the store.

use std::collections::BTreeMap;

/// Jobs whose cancellation was acknowledged, with the time of the first acknowledgement in
/// milliseconds of the steady clock.
#[derive(Debug, Default)]
pub(super) struct AcknowledgedCancellations {
    acknowledged_at: BTreeMap<String, u64>,
}

impl AcknowledgedCancellations {
    /// Records that a user was told that a job is cancelled.
    pub(super) fn record(&mut self, job: &str, now: u64) {
        self.acknowledged_at.entry(job.to_string()).or_insert(now);
    }

    /// Drops cancellations that were acknowledged at least `retention_ms` ago.
    pub(super) fn expire(&mut self, retention_ms: u64, now: u64) {
        self.acknowledged_at
            .retain(|_, at| now < *at + retention_ms);
    }

    /// The ids of the jobs.
    pub(super) fn jobs(&self) -> Vec<String> {
        self.acknowledged_at.keys().cloned().collect()
    }
}
