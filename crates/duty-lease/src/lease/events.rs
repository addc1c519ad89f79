//! Events that a lease reports to its caller: changes of the holder, and suspensions of its
//! orders.

use crate::Token;

/// Why a holder's orders are suspended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuspensionReason {
    /// The gap between two clock readings was long: the process may have been paused.
    Paused,
    /// The clock went back.
    ClockWentBack,
    /// The lease is new: it expires with its grant, whose age only a renewal confirms.
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

/// A change of the holder, or of whether it may send orders. Each carries the holder's token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseEvent {
    /// This controller has acquired the duty.
    Gained(Token),
    /// It holds the duty, but may not send orders until the lease is confirmed.
    Suspended(Token, SuspensionReason),
    /// The lease was confirmed; orders may be sent again.
    Resumed(Token),
    /// It lost the duty without releasing it.
    Lost(Token, LossReason),
    /// It has released the duty.
    Released(Token),
}
