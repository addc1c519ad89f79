//! A stand-in of the store.

use std::collections::BTreeMap;

use duty_lease::{HolderKey, Intent, ScalingRequest};

#[derive(Debug, Clone, PartialEq)]
pub enum Value {
    Holder(HolderKey),
    Number(u64),
    ScalingRequest(ScalingRequest),
    Intent(Intent),
    /// A machine that somebody owns, or a task on one.
    Mark,
}

#[derive(Debug, Clone)]
pub enum Write {
    Set(String, Value, Option<u64>),
    Delete(String),
}

#[derive(Debug, Clone)]
pub struct Transaction {
    pub conditions: Vec<(String, u64)>,
    pub writes: Vec<Write>,
}

#[derive(Debug, Default)]
pub struct Store {
    pub keys: BTreeMap<String, (Value, u64, Option<u64>)>,
    pub revision: u64,
    /// Grants with their end and life.
    grants: BTreeMap<u64, (u64, u64)>,
    next_grant: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TransactionOutcome {
    Written(u64),
    Conflict,
    NoSuchGrant,
}

impl Store {
    pub fn version(&self, key: &str) -> u64 {
        self.keys.get(key).map_or(0, |entry| entry.1)
    }

    pub fn under(&self, prefix: &str) -> impl Iterator<Item = (&String, &Value, u64)> {
        let prefix = prefix.to_string();
        self.keys
            .range(prefix.clone()..)
            .take_while(move |(key, _)| key.starts_with(&prefix))
            .map(|(key, (value, version, _))| (key, value, *version))
    }

    pub fn expire(&mut self, now: u64) {
        let ended = self.grants.iter().filter(|(_, grant)| now >= grant.0);
        let ended: Vec<u64> = ended.map(|(id, _)| *id).collect();
        for id in ended {
            self.end_grant(id);
        }
    }

    /// After an outage every grant has its full time again.
    pub fn refresh(&mut self, now: u64) {
        for grant in self.grants.values_mut() {
            grant.0 = now + grant.1;
        }
    }

    pub fn create_grant(&mut self, ttl_ms: u64, now: u64) -> u64 {
        self.next_grant += 1;
        self.grants.insert(self.next_grant, (now + ttl_ms, ttl_ms));
        self.next_grant
    }

    pub fn renew(&mut self, id: u64, now: u64) -> bool {
        let Some(grant) = self.grants.get_mut(&id) else {
            return false;
        };
        grant.0 = now + grant.1;
        true
    }

    pub fn end_grant(&mut self, id: u64) -> bool {
        let attached = self.keys.iter().filter(|(_, entry)| entry.2 == Some(id));
        let attached: Vec<String> = attached.map(|(key, _)| key.clone()).collect();
        for key in attached {
            self.revision += 1;
            self.keys.remove(&key);
        }
        self.grants.remove(&id).is_some()
    }

    pub fn commit(&mut self, transaction: &Transaction) -> TransactionOutcome {
        let holds = |(key, version): &(String, u64)| self.version(key) == *version;
        if !transaction.conditions.iter().all(holds) {
            return TransactionOutcome::Conflict;
        }
        let lacks_grant = |write: &Write| match write {
            Write::Set(_, _, Some(grant)) => !self.grants.contains_key(grant),
            _ => false,
        };
        if transaction.writes.iter().any(lacks_grant) {
            return TransactionOutcome::NoSuchGrant;
        }
        self.revision += 1;
        for write in &transaction.writes {
            match write {
                Write::Set(key, value, grant) => {
                    let entry = (value.clone(), self.revision, *grant);
                    self.keys.insert(key.clone(), entry);
                }
                Write::Delete(key) => {
                    self.keys.remove(key);
                }
            }
        }
        TransactionOutcome::Written(self.revision)
    }
}
