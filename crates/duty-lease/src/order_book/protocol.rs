//! The requests of an order book and their outcomes.

use crate::intent::{Intent, OrderId, OrderResult, ScalingRequest};
use crate::{Order, Token};

/// The condition of every write: the lease key has this version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WriteGuard {
    /// The version of the lease key.
    pub holder_version: u64,
}

/// A request of the order book.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderRequest {
    /// Record the intent, which must not exist, and remove the scaling request, which must
    /// have its version, in one transaction.
    Record {
        /// The intent.
        intent: Intent,
        /// The scaling request that it satisfies.
        request: ScalingRequest,
        /// The condition.
        guard: WriteGuard,
    },
    /// Send the order to the provider.
    Send {
        /// The order's name.
        id: OrderId,
        /// The order.
        order: Order,
        /// The sender's token.
        token: Token,
    },
    /// Remove the intent, which must have its version, and record its result, in one
    /// transaction.
    Complete {
        /// The intent.
        intent: Intent,
        /// The order's result.
        result: OrderResult,
        /// The condition.
        guard: WriteGuard,
    },
}

/// The outcome of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordOutcome {
    /// Carried out; the key now has this version.
    Written {
        /// The version.
        version: u64,
    },
    /// A condition did not hold.
    Conflict,
    /// Not carried out, or an unknown outcome.
    Unknown,
}

/// Whether the provider has refused an order of this holder for a newer holder's token.
#[must_use]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FencingStatus {
    /// It has not, as far as is known.
    NotFenced,
    /// It has: this holder has lost the duty.
    Fenced,
}

/// The outcome of an order that was sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderOutcome {
    /// Carried out, now or before.
    Done(OrderResult),
    /// Refused: the provider has seen a higher token.
    Fenced,
    /// Not carried out, or an unknown outcome.
    Unknown,
}
