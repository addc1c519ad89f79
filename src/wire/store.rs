//! Requests to the store and its replies.

use ciborium::Value;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::{decode, DecodeError};
use crate::job::FinalState;
use crate::leadership_keys::LeaderKey;

/// A key with its value.
#[derive(Debug, Deserialize)]
pub struct KeyValue {
    /// The key.
    pub key: String,
    /// Its value.
    #[serde(rename = "data")]
    pub value: Value,
    /// The revision of its last change.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// A page of keys with a common prefix.
#[derive(Debug, Deserialize)]
pub struct Page {
    /// In the order of their keys.
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
    /// The key.
    pub key: String,
    /// The version that it must have; 0 if it must not exist.
    #[serde(rename = "stamp")]
    pub version: u64,
}

impl Condition {
    /// The key must have this version; 0 if it must not exist.
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
    /// The key that is set.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub set: Option<String>,
    /// Its value.
    #[serde(rename = "data", skip_serializing_if = "Option::is_none", default)]
    pub value: Option<Value>,
    /// The grant that the key is attached to: it is removed when the grant ends.
    #[serde(rename = "permit", skip_serializing_if = "Option::is_none", default)]
    pub grant: Option<u64>,
    /// The key that is deleted.
    #[serde(rename = "drop", skip_serializing_if = "Option::is_none", default)]
    pub delete: Option<String>,
}

impl Write {
    /// Sets a key.
    pub fn set(key: String, value: Value) -> Write {
        Write {
            set: Some(key),
            value: Some(value),
            ..Write::default()
        }
    }

    /// Sets a key to a record.
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

    /// Records who leads, attached to a grant if there is one.
    pub fn leader(key: &str, leader: &LeaderKey, grant: Option<u64>) -> Write {
        Write {
            grant,
            ..Write::serialized(key.into(), leader)
        }
    }

    /// Deletes a key.
    pub fn delete(key: String) -> Write {
        Write {
            delete: Some(key),
            ..Write::default()
        }
    }

    /// The key that it changes.
    pub fn key(&self) -> &str {
        let key = self.set.as_ref().or(self.delete.as_ref());
        key.map_or("", String::as_str)
    }
}

/// A compare-and-swap of several keys: all writes are carried out if all conditions hold, else none.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Transaction {
    /// All have to hold.
    #[serde(rename = "if")]
    pub conditions: Vec<Condition>,
    /// The changes.
    pub writes: Vec<Write>,
}

/// The result of a transaction.
#[derive(Debug, Deserialize, Serialize)]
pub struct TransactionReply {
    /// Keys whose conditions did not hold.
    #[serde(default)]
    pub failed: Vec<String>,
    /// The revision of the changes, or the present one.
    #[serde(rename = "ledgerRev", default)]
    pub revision: u64,
}

/// A request for a grant.
#[derive(Debug, Serialize, Deserialize)]
pub struct GrantRequest {
    /// Its time to live without a renewal, in milliseconds.
    #[serde(rename = "lifeMs")]
    pub ttl_ms: u64,
}

/// A grant to which keys may be attached.
#[derive(Debug, Serialize, Deserialize)]
pub struct Grant {
    /// Its id.
    #[serde(rename = "permit")]
    pub grant: u64,
}

/// The response to a watch.
#[derive(Debug, Serialize, Deserialize)]
pub struct WatchReply {
    /// Complete up to this revision.
    #[serde(rename = "ledgerRev")]
    pub revision: u64,
    /// In the order in which they were made.
    #[serde(rename = "news", default)]
    pub changes: Vec<KeyChange>,
}

/// A change that was made.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct KeyChange {
    /// The key that was set.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub set: Option<String>,
    /// Its value.
    #[serde(rename = "data", default, skip_serializing_if = "Option::is_none")]
    pub value: Option<Value>,
    /// The key that was deleted.
    #[serde(rename = "drop", default, skip_serializing_if = "Option::is_none")]
    pub delete: Option<String>,
    /// The revision of the change.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// Why a final state can't be read.
#[derive(Debug, Error)]
pub enum FinalStateError {
    /// The reply is malformed.
    #[error(transparent)]
    Decode(#[from] DecodeError),
    /// The value is no final state that this version knows.
    #[error("unknown final state: {0:?}")]
    Unknown(Value),
}

/// How a job ended, from the reply to a read of its final key.
///
/// # Errors
///
/// If the reply is malformed, or the state is not known.
pub fn final_state_reply(body: &[u8]) -> Result<FinalState, FinalStateError> {
    #[derive(Deserialize)]
    struct ValueOnly {
        #[serde(rename = "data")]
        value: Value,
    }
    let value = decode::<ValueOnly>(body)?.value;
    FinalState::from_value(&value).ok_or(FinalStateError::Unknown(value))
}
