//! Assigns singleton duties to controllers under leases with fencing tokens.
//!
//! A *duty* is work on a resource that all controllers share, such as renting machines or
//! returning them; at most one controller does it at a time. Its holder has a lease: a key in
//! the store that exists while the holder renews its grant. Each change of the holder
//! increments the duty's *fencing token*, which is stored apart from the lease key and never
//! decreases.
//!
//! Three mechanisms keep a replaced holder from acting on shared resources:
//!
//! 1. It stops sending orders before its lease can have expired on any clock ([`DutyLease`]).
//! 2. Each order is recorded as an *intent* before it is sent, on condition that the sender
//!    still holds the lease ([`OrderBook`]).
//! 3. Late orders are harmless at the provider: one that checks tokens refuses lower ones;
//!    one that does not receives only idempotent orders.
//!
//! All types are deterministic state machines: they receive events and the current time,
//! return actions, and use no sockets and no clocks.

mod assignment;
mod intent;
mod lease;
mod order_book;
mod timing;

pub use assignment::{assign, AssignmentRules, LiveMember};
pub use intent::{Intent, Order, OrderId, OrderResult, ScalingRequest};
pub use lease::{
    Candidacy, DutyLease, HolderKey, LeaseEvent, LeaseRequest, LeaseResponse, LeaseView,
    LossReason, OutgoingLeaseRequest, SuspensionReason,
};
pub use order_book::{
    FencingStatus, OrderBook, OrderOutcome, OrderRequest, RecordOutcome, WriteGuard,
};
pub use timing::{LeaseTiming, TimingError};

use serde::{Deserialize, Serialize};

/// A fencing token; a newer holder has a higher one. 0 means that none was issued.
pub type Token = u64;

/// Work that one controller at a time does for the cluster. The variant names in kebab case
/// appear in stored records and in settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Duty {
    /// Rent machines.
    Rent,
    /// Return machines that were chosen for termination.
    Return,
    /// Find idle machines.
    ReclaimIdle,
    /// Remove order records that no leader will process.
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
