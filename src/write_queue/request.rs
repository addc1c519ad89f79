//! Requests to the write queue, and their size.

use super::result::CommitResult;
use crate::wire::{self, Condition, Write};

/// Estimated size of a condition in a transaction.
const CONDITION_BYTES: usize = 64;
/// Estimated size of a write in addition to its encoded form.
const WRITE_OVERHEAD_BYTES: usize = 32;

/// The class of a request, most urgent first.
///
/// Users' writes are sent before the leader's, so that users don't wait for the many writes of
/// the leader. They also have a rate limit of their own, so that they don't starve the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum WriteClass {
    /// Writes that a user is waiting for.
    User,
    /// The leader's writes.
    Leader,
    /// Writes of duty records. They have a rate limit of their own, so that they neither delay
    /// the leader's writes nor are starved by them.
    Duty,
}

/// Writes that are applied atomically.
#[derive(Debug, Clone)]
pub struct WriteRequest<Owner> {
    /// Identifies the recipient of the result.
    pub owner: Owner,
    /// The conditions, all of which must hold for the writes to be applied.
    pub conditions: Vec<Condition>,
    /// The writes, in order.
    pub writes: Vec<Write>,
    /// The class, which determines the order and the rate limit.
    pub class: WriteClass,
}

/// A request in the queue, with its size, which is estimated once.
#[derive(Debug)]
pub(super) struct QueuedRequest<Owner> {
    /// Upper estimate of the request's size in a transaction, in bytes.
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

    /// Returns whether the result of the transaction is also the result of this request. A conflict
    /// is only if one of the request's own conditions did not hold.
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

/// Returns an upper estimate of a write's size in JSON, by which the store applies its limits. The
/// CBOR encoding of these values is shorter by at most the quotes and the digits of numbers.
fn write_bytes(write: &Write) -> usize {
    wire::encode(write).len() * 3 / 2 + WRITE_OVERHEAD_BYTES
}
