//! The keys of the store that hold the leadership, the epoch and the format version.

use crate::epoch::Epoch;
use ciborium::Value;
use serde::{Deserialize, Serialize};

/// Prefix of the keys of leadership and versions.
pub const LEADERSHIP_PREFIX: &str = "g/l/";
/// The format that all controllers know, a number that only rises. The version in production
/// ignores keys below [`LEADERSHIP_PREFIX`] that it does not know.
pub const FORMAT_KEY: &str = "g/l/format";
/// The leader key before format 1: held by the leader while its grant is valid. From format 1
/// on it is never deleted and names [`SUPERSEDED`].
pub const LEADER_KEY: &str = "g/l/leader";
/// The leader key from format 1 on: held by the leader while its grant is valid.
pub const LEASE_KEY: &str = "g/l/lease";
/// The last epoch that was used.
pub const EPOCH_KEY: &str = "g/l/epoch";
/// The leader that the version in production sees from format 1 on. It is never a member, so a
/// controller that is rolled back to that version follows and can't be elected: it could not
/// read the records.
pub const SUPERSEDED: &str = "superseded by format 1";

/// The value of [`LEADER_KEY`] and [`LEASE_KEY`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaderKey {
    /// The leader's id in the cluster.
    pub member: String,
    /// The epoch of its leadership.
    pub epoch: Epoch,
}

impl LeaderKey {
    /// Returns the value of [`LEADER_KEY`] from format 1 on.
    pub fn superseded() -> LeaderKey {
        LeaderKey {
            member: SUPERSEDED.into(),
            epoch: Epoch::NONE,
        }
    }
}

/// How an election keeps the version in production from leading.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fence {
    /// Not at all: that version may run and lead. The lease is held by [`LEADER_KEY`].
    None,
    /// The lease is held by [`LEASE_KEY`], and the same transaction sets [`LEADER_KEY`] to
    /// [`LeaderKey::superseded`].
    Raise,
    /// The lease is held by [`LEASE_KEY`]; [`LEADER_KEY`] is superseded already.
    Raised,
}

impl Fence {
    /// Returns the key that holds the lease.
    pub fn leader_key(self) -> &'static str {
        match self {
            Fence::None => LEADER_KEY,
            Fence::Raise | Fence::Raised => LEASE_KEY,
        }
    }
}

/// Reads a whole number; `None` if the value is anything else or out of range.
pub(crate) fn read_number(value: &Value) -> Option<u64> {
    let integer = value.as_integer()?;
    u64::try_from(i128::from(integer)).ok()
}
