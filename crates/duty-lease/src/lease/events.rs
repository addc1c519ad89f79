//! What a lease reports to its owner: changes of the holder, and interruptions of a holder.

use crate::Token;

/// Why a holder may not give orders for the moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuspensionReason {
    /// The gap since it last read the clock is long: the process may have been paused.
    Paused,
    /// The clock went back.
    ClockWentBack,
    /// The lease is new: its time counts from the grant, whose age only a renewal confirms.
    NotRenewedYet,
}

/// Why a duty was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LossReason {
    /// The grant has ended.
    GrantEnded,
    /// The lease key is another controller's, or was removed.
    Replaced,
    /// The provider has seen a higher token.
    Fenced,
}

/// A change of the holder, or an interruption of a holder. Each has the holder's token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseEvent {
    /// This controller holds the duty.
    Gained(Token),
    /// It holds the duty, and may not give orders until the lease is confirmed.
    Suspended(Token, SuspensionReason),
    /// The lease was confirmed.
    Resumed(Token),
    /// It does not hold the duty any more.
    Lost(Token, LossReason),
    /// It has released the duty.
    Released(Token),
}
