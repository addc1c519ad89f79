//! Requests of an order book and their outcomes.

use crate::intent::{Intent, OrderId, OrderResult, ScalingRequest};
use crate::{Order, Token};

/// The condition of every write: the lease key still has this version, so the lease is still
/// the writer's.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WriteGuard {
    /// The version of the lease key.
    pub holder_version: u64,
}

/// A request that the order book's caller executes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderRequest {
    /// Record the intent and remove the scaling request in one transaction, on condition that
    /// the intent does not exist and the request's key is unchanged.
    Record {
        /// The new intent; its `version` is 0 until it is recorded.
        intent: Intent,
        /// The scaling request that it satisfies.
        request: ScalingRequest,
        /// A further condition: the lease is still the writer's.
        guard: WriteGuard,
    },
    /// Send the order to the provider.
    Send {
        /// The order's name, the same in each retry.
        id: OrderId,
        /// The machines to rent or delete, the same in each retry.
        order: Order,
        /// The token of the sender's lease, which may be later than the one in `id`.
        token: Token,
    },
    /// Remove the intent and record its result in one transaction, on condition that the
    /// intent's key is unchanged.
    Complete {
        /// The recorded intent, with the `version` that its key must still have.
        intent: Intent,
        /// The order's result.
        result: OrderResult,
        /// A further condition: the lease is still the writer's.
        guard: WriteGuard,
    },
}

/// The outcome of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordOutcome {
    /// Carried out.
    Written {
        /// The new version of the key.
        version: u64,
    },
    /// A condition did not hold.
    Conflict,
    /// Not carried out, or the outcome is unknown.
    Unknown,
}

/// Whether the provider has refused an order because it has seen a newer holder's token.
#[must_use]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FencingStatus {
    /// No order is known to have been refused for its token.
    NotFenced,
    /// An order was refused: this holder has lost the duty.
    Fenced,
}

/// The outcome of an order that was sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderOutcome {
    /// Carried out, by this attempt or an earlier one.
    Done(OrderResult),
    /// Refused: the provider has seen a higher token.
    Fenced,
    /// Not carried out, or the outcome is unknown.
    Unknown,
}
