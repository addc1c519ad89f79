//! Statistics of the write queue, for the periodic log event.

use super::result::CommitResult;

/// Counts since the last [`super::WriteQueue::take_stats`].
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct WriteStats {
    /// Transactions sent.
    pub transactions: u64,
    /// Writes sent.
    pub writes: u64,
    /// Transactions that the store throttled, because of its rate limits.
    pub throttled: u64,
    /// Transactions with a condition that did not hold.
    pub conflicts: u64,
    /// Transactions with an unknown outcome.
    pub unknown: u64,
}

impl WriteStats {
    pub(super) fn record(&mut self, result: &CommitResult) {
        match result {
            CommitResult::Conflict { .. } => self.conflicts += 1,
            CommitResult::Unknown => self.unknown += 1,
            CommitResult::Committed { .. } | CommitResult::Rejected => {}
        }
    }
}
