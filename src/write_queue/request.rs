//! Requests to the write queue, and their size.

use super::result::CommitResult;
use crate::wire::{self, Condition, Write};

/// Bytes that are counted for a condition.
const CONDITION_BYTES: usize = 64;
/// Bytes that are counted for a write beside its encoded form.
const WRITE_OVERHEAD_BYTES: usize = 32;

/// The class of a request, most urgent first.
///
/// Users' writes are sent before the leader's, so that users don't wait behind the leader's
/// many writes; they have a rate limit of their own, so that they don't starve the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum WriteClass {
    /// Writes that a user waits for.
    User,
    /// The leader's writes.
    Leader,
    /// Records of duties. They have a rate limit of their own, so that they neither delay the
    /// leader's writes nor starve behind them.
    Duty,
}

/// Writes that are made together, or not at all.
#[derive(Debug, Clone)]
pub struct WriteRequest<Owner> {
    /// Identifies the recipient of the result.
    pub owner: Owner,
    /// Conditions that must all hold.
    pub conditions: Vec<Condition>,
    /// The writes, in order.
    pub writes: Vec<Write>,
    /// The class, which determines order and rate limit.
    pub class: WriteClass,
}

/// A request with its size, which is measured once.
#[derive(Debug)]
pub(super) struct QueuedRequest<Owner> {
    /// Upper estimate of the size in a transaction, in bytes.
    pub(super) bytes: usize,
    pub(super) request: WriteRequest<Owner>,
}

impl<Owner> QueuedRequest<Owner> {
    pub(super) fn new(request: WriteRequest<Owner>) -> QueuedRequest<Owner> {
        let writes: usize = request.writes.iter().map(write_bytes).sum();
        QueuedRequest {
            bytes: writes + CONDITION_BYTES * request.conditions.len(),
            request,
        }
    }

    /// Returns the number of tokens that the request takes from its rate limit: one for each
    /// write, and one if it only has conditions.
    pub(super) fn tokens(&self) -> f64 {
        self.request.writes.len().max(1) as f64
    }

    /// Returns whether a result of the transaction is this request's own result. A conflict is
    /// only if one of the request's own conditions did not hold.
    pub(super) fn is_affected_by(&self, result: &CommitResult) -> bool {
        let CommitResult::Conflict { failed, .. } = result else {
            return true;
        };
        let conditions = &self.request.conditions;
        conditions
            .iter()
            .any(|condition| failed.contains(&condition.key))
    }
}

/// Returns an upper estimate of a write's size in JSON, in which the store counts; CBOR of
/// these values is shorter by at most the quotes and the digits of numbers.
fn write_bytes(write: &Write) -> usize {
    wire::encode(write).len() * 3 / 2 + WRITE_OVERHEAD_BYTES
}
