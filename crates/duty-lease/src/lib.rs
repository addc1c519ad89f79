//! Duties that exactly one controller has at a time, under fenced leases.
//!
//! A *duty* is work on something that all controllers share, such as renting machines or
//! returning them. Its holder has a lease: a key in the store that exists while the holder
//! renews its grant. Each change of the holder raises the duty's *fencing token*, which is
//! kept apart from the lease and never goes down.
//!
//! Three mechanisms keep a holder that was replaced from doing harm:
//!
//! 1. It stops giving orders before its lease can have ended anywhere ([`DutyLease`]).
//! 2. Each order is recorded as an *intent* before it is sent, on condition that the lease
//!    is still the sender's ([`OrderBook`]).
//! 3. The provider makes late orders harmless: one that checks tokens refuses lower ones;
//!    one that does not gets only orders that may be carried out twice.
//!
//! All types receive events and the time and return actions. They use no sockets and no
//! clocks, and are deterministic.

mod assignment;
mod intent;
mod lease;
mod order_book;
mod timing;

pub use assignment::{assign, AssignmentRules, LiveMember};
pub use intent::{Intent, Order, OrderId, OrderResult, ScalingRequest};
pub use lease::{
    Candidacy, DutyLease, HolderKey, LeaseEvent, LeaseRequest, LeaseResponse, LeaseView,
    LossReason, NumberedRequest, SuspensionReason,
};
pub use order_book::{
    FencingStatus, OrderBook, OrderOutcome, OrderRequest, RecordOutcome, WriteGuard,
};
pub use timing::{LeaseTiming, TimingError};

use serde::{Deserialize, Serialize};

/// A fencing token: the higher one is the newer holder's. 0 means that none was issued.
pub type Token = u64;

/// Work that one controller at a time does for all. The variants' names in kebab case are
/// stored, and are used in settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Duty {
    /// Rent machines.
    Rent,
    /// Return machines that were chosen for termination.
    Return,
    /// Find idle machines.
    ReclaimIdle,
    /// Remove records without an owner.
    CleanState,
}

impl Duty {
    /// All duties.
    pub const ALL: [Duty; 4] = [
        Duty::Rent,
        Duty::Return,
        Duty::ReclaimIdle,
        Duty::CleanState,
    ];

    /// The duty's name in keys and settings.
    pub fn name(self) -> &'static str {
        match self {
            Duty::Rent => "rent",
            Duty::Return => "return",
            Duty::ReclaimIdle => "reclaim-idle",
            Duty::CleanState => "clean-state",
        }
    }
}
