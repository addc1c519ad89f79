//! Cancellations that this controller has acknowledged to users, for a leader that can't read
//! them from the store.

use std::collections::BTreeMap;

/// Jobs whose cancellation was acknowledged, and when it first was.
#[derive(Debug, Default)]
pub(super) struct AcknowledgedCancellations {
    acknowledged_at: BTreeMap<String, u64>,
}

impl AcknowledgedCancellations {
    /// A user was told that a job is cancelled.
    pub(super) fn record(&mut self, job: &str, now: u64) {
        self.acknowledged_at.entry(job.to_string()).or_insert(now);
    }

    /// Drops those that are older than `memory_ms`.
    pub(super) fn expire(&mut self, memory_ms: u64, now: u64) {
        self.acknowledged_at.retain(|_, at| now < *at + memory_ms);
    }

    /// The jobs.
    pub(super) fn jobs(&self) -> Vec<String> {
        self.acknowledged_at.keys().cloned().collect()
    }
}
