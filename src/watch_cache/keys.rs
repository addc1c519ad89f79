//! The key space of the store: the prefixes, the names and the kinds of keys.

use crate::duties::DUTIES_PREFIX;
use crate::leadership_keys::{EPOCH_KEY, FORMAT_KEY, LEADER_KEY, LEASE_KEY, REQUESTS_KEY};

/// Prefix of all keys of this service.
pub const ROOT_PREFIX: &str = "g/";
/// Prefix of the records of live jobs.
pub const JOBS_PREFIX: &str = "g/j/";
/// Prefix of the final states of jobs. They are not read at start, so the cost of a start depends
/// only on the number of live jobs.
const FINAL_STATES_PREFIX: &str = "g/f/";
/// Prefix of the announcements of controllers that have run this version, or a later one.
const MEMBERS_PREFIX: &str = "g/l/m/";

/// Returns the key of a live job's record.
pub fn job_key(id: &str) -> String {
    format!("{JOBS_PREFIX}{id}")
}

/// Returns the key by which a controller announces that it runs this version.
pub fn member_key(member: &str) -> String {
    format!("{MEMBERS_PREFIX}{member}")
}

/// Returns the key of a job's final state.
pub fn final_state_key(id: &str) -> String {
    format!("{FINAL_STATES_PREFIX}{id}")
}

/// A key that names the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LeaderKeyName {
    /// [`LEADER_KEY`]
    Leader,
    /// [`LEASE_KEY`]
    Lease,
}

/// What a key holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum KeyKind<'a> {
    /// The record of a live job.
    Job {
        /// The job's id.
        id: &'a str,
    },
    /// The final state of a job.
    FinalState {
        /// The job's id.
        id: &'a str,
    },
    /// A record of duties, which [`crate::duties::DutyRecords`] reads.
    Duties,
    /// The id and epoch of the leader.
    LeaderKey(LeaderKeyName),
    /// The announcement of a controller that runs this version.
    Member {
        /// The controller's name.
        member: &'a str,
    },
    /// [`FORMAT_KEY`]
    Format,
    /// [`EPOCH_KEY`]
    Epoch,
    /// [`REQUESTS_KEY`]
    Requests,
    /// A key that this version does not know.
    Other,
}

impl KeyKind<'_> {
    /// Classifies a key.
    pub(super) fn of(key: &str) -> KeyKind<'_> {
        if let Some(id) = key.strip_prefix(JOBS_PREFIX) {
            KeyKind::Job { id }
        } else if key.starts_with(DUTIES_PREFIX) {
            KeyKind::Duties
        } else if let Some(id) = key.strip_prefix(FINAL_STATES_PREFIX) {
            KeyKind::FinalState { id }
        } else if let Some(member) = key.strip_prefix(MEMBERS_PREFIX) {
            KeyKind::Member { member }
        } else {
            KeyKind::of_exact(key)
        }
    }

    /// Classifies a key that is not matched by prefix.
    fn of_exact(key: &str) -> KeyKind<'static> {
        match key {
            LEADER_KEY => KeyKind::LeaderKey(LeaderKeyName::Leader),
            LEASE_KEY => KeyKind::LeaderKey(LeaderKeyName::Lease),
            FORMAT_KEY => KeyKind::Format,
            EPOCH_KEY => KeyKind::Epoch,
            REQUESTS_KEY => KeyKind::Requests,
            _ => KeyKind::Other,
        }
    }
}
