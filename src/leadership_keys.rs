//! The keys of the store that hold the leadership, the epoch and the format version.
//!
//! Versions before format 1 can't read packed records, and a rollback may start one after the
//! format was raised. From format 1 on, leaders are therefore elected by a key that those
//! versions don't know, and the key that they know is fenced: it names a leader that never
//! resigns.

use crate::epoch::Epoch;
use ciborium::Value;
use serde::{Deserialize, Serialize};

/// Prefix of the keys of the leadership, the epoch and the format version.
pub const LEADERSHIP_PREFIX: &str = "g/l/";
/// The format that all controllers support, a number that only increases. Versions before format 1
/// ignore this key, as they do all unknown keys below [`LEADERSHIP_PREFIX`].
pub const FORMAT_KEY: &str = "g/l/format";
/// The leader key before format 1, held by the leader while its grant is valid. From format 1 on
/// it is never deleted and names [`SUPERSEDED_LEADER`].
pub const LEADER_KEY: &str = "g/l/leader";
/// The leader key from format 1 on, held by the leader while its grant is valid.
pub const LEASE_KEY: &str = "g/l/lease";
/// The last epoch that is reserved for a term.
pub const EPOCH_KEY: &str = "g/l/epoch";
/// Changed by each transaction in which the leader creates scaling requests, on condition that it
/// has its last version: a repeat of the transaction fails, even if the requests have been removed
/// since. The value is the name of the last request.
pub const REQUESTS_KEY: &str = "g/l/requests";
/// The leader that versions before format 1 see from format 1 on. No controller has this id, so a
/// controller that is rolled back to such a version follows and can't be elected: it could not read
/// the records.
pub const SUPERSEDED_LEADER: &str = "superseded by format 1";

/// The value of [`LEADER_KEY`] and [`LEASE_KEY`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaderKey {
    /// The leader's id in the cluster.
    pub member: String,
    /// The first epoch of its term.
    pub epoch: Epoch,
}

impl LeaderKey {
    /// Returns the value of [`LEADER_KEY`] from format 1 on.
    pub fn superseded() -> LeaderKey {
        LeaderKey {
            member: SUPERSEDED_LEADER.into(),
            epoch: Epoch::NONE,
        }
    }
}

/// How an election keeps versions before format 1 from leading.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VersionFence {
    /// Not at all: such versions may run and lead. The election acquires [`LEADER_KEY`].
    None,
    /// The election acquires [`LEASE_KEY`], and the same transaction sets [`LEADER_KEY`] to
    /// [`LeaderKey::superseded`].
    Raise,
    /// The election acquires [`LEASE_KEY`]; [`LEADER_KEY`] is superseded already.
    Raised,
}

impl VersionFence {
    /// Returns the key that the election acquires.
    pub fn leader_key(self) -> &'static str {
        match self {
            VersionFence::None => LEADER_KEY,
            VersionFence::Raise | VersionFence::Raised => LEASE_KEY,
        }
    }
}

/// Decodes a whole number; `None` if the value is anything else or out of range.
pub(crate) fn decode_u64(value: &Value) -> Option<u64> {
    let integer = value.as_integer()?;
    u64::try_from(i128::from(integer)).ok()
}
