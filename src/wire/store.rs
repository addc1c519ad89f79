//! Messages of the store: transactions, grants, pages of keys and watches.

use ciborium::Value;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::{decode, DecodeError};
use crate::job::FinalState;
use crate::leadership_keys::LeaderKey;

/// A key with its value.
#[derive(Debug, Deserialize)]
pub struct KeyValue {
    /// The complete key, including the prefix that a page was requested for.
    pub key: String,
    /// The value of the key.
    #[serde(rename = "data")]
    pub value: Value,
    /// The revision of the key's last change.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// A page of keys with a common prefix.
#[derive(Debug, Deserialize)]
pub struct Page {
    /// The pairs, ordered by key.
    pub pairs: Vec<KeyValue>,
    /// Whether there are further pages.
    #[serde(default)]
    pub truncated: bool,
    /// The revision that the page was read at.
    #[serde(rename = "ledgerRev")]
    pub revision: u64,
}

/// A condition of a transaction.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Condition {
    /// The key whose version is compared.
    pub key: String,
    /// The version that the key must have; 0 if it must not exist.
    #[serde(rename = "stamp")]
    pub version: u64,
}

impl Condition {
    /// Requires the key to have this version; 0 if it must not exist.
    pub fn new(key: impl Into<String>, version: u64) -> Condition {
        Condition {
            key: key.into(),
            version,
        }
    }
}

/// A change of one key.
#[derive(Debug, Clone, Serialize, Deserialize, Default)]
pub struct Write {
    /// The key to set; absent in a deletion.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub set: Option<String>,
    /// The value to set.
    #[serde(rename = "data", skip_serializing_if = "Option::is_none", default)]
    pub value: Option<Value>,
    /// The grant to attach the key to: the store deletes the key when the grant ends.
    #[serde(rename = "permit", skip_serializing_if = "Option::is_none", default)]
    pub grant: Option<u64>,
    /// The key to delete.
    #[serde(rename = "drop", skip_serializing_if = "Option::is_none", default)]
    pub delete: Option<String>,
}

impl Write {
    /// A write that sets a key.
    pub fn set(key: String, value: Value) -> Write {
        Write {
            set: Some(key),
            value: Some(value),
            ..Write::default()
        }
    }

    /// A write that sets a key to a serialized record.
    pub fn serialized<T: Serialize>(key: String, record: &T) -> Write {
        Write::set(key, Value::serialized(record).unwrap_or(Value::Null))
    }

    /// Attaches the key to a grant.
    pub fn attached_to(self, grant: u64) -> Write {
        Write {
            grant: Some(grant),
            ..self
        }
    }

    /// A write that records the leader, attached to a grant if one is given.
    pub fn leader(key: &str, leader: &LeaderKey, grant: Option<u64>) -> Write {
        Write {
            grant,
            ..Write::serialized(key.into(), leader)
        }
    }

    /// A write that deletes a key.
    pub fn delete(key: String) -> Write {
        Write {
            delete: Some(key),
            ..Write::default()
        }
    }

    /// The key that the write changes.
    pub fn key(&self) -> &str {
        let key = self.set.as_ref().or(self.delete.as_ref());
        key.map_or("", String::as_str)
    }
}

/// A compare-and-swap of several keys: applies all writes if all conditions hold, else none.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Transaction {
    /// The conditions, all of which have to hold.
    #[serde(rename = "if")]
    pub conditions: Vec<Condition>,
    /// The writes to apply.
    pub writes: Vec<Write>,
}

/// The result of a transaction.
#[derive(Debug, Deserialize, Serialize)]
pub struct TransactionReply {
    /// Keys whose conditions did not hold; empty if the transaction was committed.
    #[serde(default)]
    pub failed: Vec<String>,
    /// The revision of the writes, or the current one if the transaction was not committed.
    #[serde(rename = "ledgerRev", default)]
    pub revision: u64,
}

/// A request for a grant.
#[derive(Debug, Serialize, Deserialize)]
pub struct GrantRequest {
    /// The grant's time to live without a renewal, in milliseconds.
    #[serde(rename = "lifeMs")]
    pub ttl_ms: u64,
}

/// A grant to which keys may be attached.
#[derive(Debug, Serialize, Deserialize)]
pub struct Grant {
    /// The id of the grant.
    #[serde(rename = "permit")]
    pub grant: u64,
}

/// The response to a watch.
#[derive(Debug, Serialize, Deserialize)]
pub struct WatchReply {
    /// The revision up to which the changes are complete.
    #[serde(rename = "ledgerRev")]
    pub revision: u64,
    /// The changes, in the order of their revisions.
    #[serde(rename = "news", default)]
    pub changes: Vec<KeyChange>,
}

/// A change that a watch reports.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct KeyChange {
    /// The key that was set.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub set: Option<String>,
    /// The value that was set.
    #[serde(rename = "data", default, skip_serializing_if = "Option::is_none")]
    pub value: Option<Value>,
    /// The key that was deleted.
    #[serde(rename = "drop", default, skip_serializing_if = "Option::is_none")]
    pub delete: Option<String>,
    /// The revision of the change.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// A final state that cannot be read.
#[derive(Debug, Error)]
pub enum FinalStateError {
    /// The reply is malformed.
    #[error(transparent)]
    Decode(#[from] DecodeError),
    /// This version does not know the value.
    #[error("unknown final state: {0:?}")]
    Unknown(Value),
}

/// Parses a job's final state from the reply to a read of its key.
///
/// # Errors
///
/// If the reply is malformed, or the state is not known.
pub fn parse_final_state_reply(body: &[u8]) -> Result<FinalState, FinalStateError> {
    #[derive(Deserialize)]
    struct ValueOnly {
        #[serde(rename = "data")]
        value: Value,
    }
    let value = decode::<ValueOnly>(body)?.value;
    FinalState::from_value(&value).ok_or(FinalStateError::Unknown(value))
}
