//! A simulated store with versioned keys, grants and conditional transactions.
//!
//! Shared by the simulation, the exhaustive model and the example.

pub(crate) mod keys;
mod lease_requests;

use std::collections::BTreeMap;

use duty_lease::{HolderKey, Intent, ScalingRequest, Token};

#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Value {
    Holder(HolderKey),
    Token(Token),
    ScalingRequest(ScalingRequest),
    Intent(Intent),
    /// A machine that the controllers own, a task on one, or a termination of one.
    Marker,
}

/// Requires that a key has this version, or does not exist if it is 0.
#[derive(Debug, Clone)]
pub(crate) struct Condition {
    key: String,
    version: u64,
}

impl Condition {
    pub(crate) fn new(key: String, version: u64) -> Condition {
        Condition { key, version }
    }
}

#[derive(Debug, Clone)]
pub(crate) enum Write {
    Set {
        key: String,
        value: Value,
        grant: Option<u64>,
    },
    Delete {
        key: String,
    },
}

impl Write {
    pub(crate) fn set(key: String, value: Value) -> Write {
        Write::Set {
            key,
            value,
            grant: None,
        }
    }

    /// Sets a key that is deleted when the grant ends.
    pub(crate) fn set_attached(key: String, value: Value, grant: u64) -> Write {
        Write::Set {
            key,
            value,
            grant: Some(grant),
        }
    }

    pub(crate) fn delete(key: String) -> Write {
        Write::Delete { key }
    }
}

#[derive(Debug, Clone)]
pub(crate) struct Transaction {
    pub conditions: Vec<Condition>,
    pub writes: Vec<Write>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TransactionOutcome {
    /// Committed at this revision.
    Written(u64),
    Conflict,
    NoSuchGrant,
}

/// A key's value and version.
#[derive(Debug, Clone)]
pub(crate) struct Entry {
    pub value: Value,
    pub version: u64,
    /// The grant that the key is attached to.
    grant: Option<u64>,
}

#[derive(Debug, Clone)]
struct Grant {
    expires_at: u64,
    ttl_ms: u64,
}

impl Grant {
    fn renew(&mut self, now: u64) {
        self.expires_at = now + self.ttl_ms;
    }
}

#[derive(Debug, Clone, Default)]
pub(crate) struct Store {
    entries: BTreeMap<String, Entry>,
    revision: u64,
    grants: BTreeMap<u64, Grant>,
    last_grant: u64,
}

impl Store {
    /// The version of a key; 0 if it does not exist.
    pub(crate) fn version(&self, key: &str) -> u64 {
        self.entries.get(key).map_or(0, |entry| entry.version)
    }

    pub(crate) fn value(&self, key: &str) -> Option<&Value> {
        self.entries.get(key).map(|entry| &entry.value)
    }

    pub(crate) fn entries(&self) -> impl Iterator<Item = (&str, &Entry)> {
        let entries = self.entries.iter();
        entries.map(|(key, entry)| (key.as_str(), entry))
    }

    /// Ends expired grants.
    pub(crate) fn expire(&mut self, now: u64) {
        let grants = self.grants.iter();
        let ended = grants.filter(|(_, grant)| now >= grant.expires_at);
        let ended: Vec<u64> = ended.map(|(id, _)| *id).collect();
        for id in ended {
            self.end_grant(id);
        }
    }

    /// Renews every grant for its full time to live, as after an outage.
    pub(crate) fn refresh(&mut self, now: u64) {
        for grant in self.grants.values_mut() {
            grant.renew(now);
        }
    }

    pub(crate) fn create_grant(&mut self, ttl_ms: u64, now: u64) -> u64 {
        self.last_grant += 1;
        let expires_at = now + ttl_ms;
        self.grants
            .insert(self.last_grant, Grant { expires_at, ttl_ms });
        self.last_grant
    }

    /// Returns false if there is no such grant.
    pub(crate) fn renew(&mut self, id: u64, now: u64) -> bool {
        let Some(grant) = self.grants.get_mut(&id) else {
            return false;
        };
        grant.renew(now);
        true
    }

    /// Returns false if there is no such grant.
    pub(crate) fn end_grant(&mut self, id: u64) -> bool {
        let attached = self.entries().filter(|(_, entry)| entry.grant == Some(id));
        let attached: Vec<String> = attached.map(|(key, _)| key.to_string()).collect();
        for key in attached {
            self.revision += 1;
            self.entries.remove(&key);
        }
        self.grants.remove(&id).is_some()
    }

    pub(crate) fn commit(&mut self, transaction: &Transaction) -> TransactionOutcome {
        let holds = |condition: &Condition| self.version(&condition.key) == condition.version;
        if !transaction.conditions.iter().all(holds) {
            return TransactionOutcome::Conflict;
        }
        if transaction
            .writes
            .iter()
            .any(|write| self.lacks_grant(write))
        {
            return TransactionOutcome::NoSuchGrant;
        }
        self.revision += 1;
        for write in &transaction.writes {
            self.apply(write);
        }
        TransactionOutcome::Written(self.revision)
    }

    fn lacks_grant(&self, write: &Write) -> bool {
        match write {
            Write::Set {
                grant: Some(grant), ..
            } => !self.grants.contains_key(grant),
            Write::Set { grant: None, .. } | Write::Delete { .. } => false,
        }
    }

    fn apply(&mut self, write: &Write) {
        match write {
            Write::Set { key, value, grant } => {
                let entry = Entry {
                    value: value.clone(),
                    version: self.revision,
                    grant: *grant,
                };
                self.entries.insert(key.clone(), entry);
            }
            Write::Delete { key } => {
                self.entries.remove(key);
            }
        }
    }
}
