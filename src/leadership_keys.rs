//! The keys of the store that say who leads and which format holds.

use ciborium::Value;
use serde::{Deserialize, Serialize};

/// Leadership and versions.
pub const LEADERSHIP_PREFIX: &str = "g/l/";
/// The format that all controllers know, a number that only rises. The version in
/// production passes over what it does not know below [`LEADERSHIP_PREFIX`].
pub const FORMAT_KEY: &str = "g/l/format";
/// Held by the leader as long as its grant lives, before format 1. From then on it stays
/// for good and names [`SUPERSEDED`].
pub const LEADER_KEY: &str = "g/l/leader";
/// Held by the leader as long as its grant lives, from format 1 on.
pub const LEASE_KEY: &str = "g/l/lease";
/// The last epoch that was used.
pub const EPOCH_KEY: &str = "g/l/epoch";
/// The leader that the version in production sees from format 1 on. It is never a member,
/// so a controller that comes back with that version follows and can't be elected: it
/// could not read the records.
pub const SUPERSEDED: &str = "superseded by format 1";
/// The value of [`LEADER_KEY`] and [`LEASE_KEY`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaderKey {
    /// The leader's name.
    pub member: String,
    /// The epoch of its leadership.
    pub epoch: u64,
}

impl LeaderKey {
    /// What [`LEADER_KEY`] holds from format 1 on.
    pub fn superseded() -> LeaderKey {
        LeaderKey {
            member: SUPERSEDED.into(),
            epoch: 0,
        }
    }
}

/// How an election keeps the version in production from leading.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fence {
    /// Not at all: that version may run and lead.
    None,
    /// The lease is held by the key that it does not know, and the one that it knows is
    /// superseded in the same transaction.
    Raise,
    /// The lease is held by the key that it does not know; the other is superseded already.
    Raised,
}

impl Fence {
    /// The key that holds the lease.
    pub fn leader_key(self) -> &'static str {
        match self {
            Fence::None => LEADER_KEY,
            Fence::Raise | Fence::Raised => LEASE_KEY,
        }
    }
}

pub(crate) fn read_number(value: &Value) -> Option<u64> {
    let integer = value.as_integer()?;
    u64::try_from(i128::from(integer)).ok()
}
