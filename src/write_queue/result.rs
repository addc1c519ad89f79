//! The results of write requests, derived from the outcomes of transactions.

use crate::net::{status, Outcome};
use crate::wire::{self, TransactionReply};

/// The result of a write request.
#[derive(Debug, Clone, PartialEq)]
pub enum CommitResult {
    /// The writes were applied.
    Committed {
        /// The revision of the writes.
        revision: u64,
    },
    /// The writes were not applied, as conditions did not hold.
    Conflict {
        /// The keys of the conditions that did not hold.
        failed: Vec<String>,
        /// The revision at which the conditions were checked.
        revision: u64,
    },
    /// The writes were not applied, as the transaction was refused or never sent.
    Rejected,
    /// The outcome is unknown: the writes may have been applied, or may still be applied later.
    Unknown,
}

impl CommitResult {
    /// Classifies the outcome of a transaction. Only a received reply that says so, or a request
    /// that was never sent, proves that the writes were not applied.
    pub(super) fn from_outcome(outcome: &Outcome) -> CommitResult {
        match outcome {
            Outcome::Response { status, body } => CommitResult::from_reply(*status, body),
            Outcome::NotSent => CommitResult::Rejected,
            Outcome::NoResponse | Outcome::TooLarge => CommitResult::Unknown,
        }
    }

    fn from_reply(status: u16, body: &[u8]) -> CommitResult {
        match status {
            status::OK => committed(body),
            status::CONFLICT => conflict(body),
            _ => CommitResult::Rejected,
        }
    }
}

/// If the body is malformed, the revision of the writes is not known, so the result is unknown.
fn committed(body: &[u8]) -> CommitResult {
    match wire::decode::<TransactionReply>(body) {
        Ok(reply) => CommitResult::Committed {
            revision: reply.revision,
        },
        Err(_) => CommitResult::Unknown,
    }
}

fn conflict(body: &[u8]) -> CommitResult {
    match wire::decode::<TransactionReply>(body) {
        Ok(reply) => CommitResult::Conflict {
            failed: reply.failed,
            revision: reply.revision,
        },
        Err(_) => CommitResult::Rejected,
    }
}

/// Returns whether the store throttled the transaction.
pub(super) fn is_throttled(outcome: &Outcome) -> bool {
    matches!(
        outcome,
        Outcome::Response {
            status: status::TOO_MANY_REQUESTS,
            ..
        }
    )
}
