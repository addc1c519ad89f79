//! Cancellations that users were told of by this controller, for a leader that can't read
//! them from the store.

use std::collections::BTreeMap;

/// Jobs that users were told to be cancelled, and when they were first told.
#[derive(Debug, Default)]
pub(super) struct AcknowledgedCancellations {
    acknowledged_at: BTreeMap<String, u64>,
}

impl AcknowledgedCancellations {
    /// A user was told that a job is cancelled.
    pub fn record(&mut self, job: &str, now: u64) {
        self.acknowledged_at.entry(job.to_string()).or_insert(now);
    }

    /// Drops those that are older than `memory_ms`.
    pub fn expire(&mut self, memory_ms: u64, now: u64) {
        self.acknowledged_at.retain(|_, at| now < *at + memory_ms);
    }

    /// The jobs.
    pub fn jobs(&self) -> Vec<String> {
        self.acknowledged_at.keys().cloned().collect()
    }
}
