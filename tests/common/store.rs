//! A simulated key-value store with versioned keys, grants, transactions and watches.

use ciborium::{cbor, Value};
use gaugesill::job::{json_length, JobRecord};
use gaugesill::wire::{self, Grant, GrantRequest, KeyChange, Transaction, WatchReply, Write};
use std::collections::{BTreeMap, HashMap};

/// Default page size of a list of keys.
const PAGE_SIZE: usize = 200;

/// A key's value.
pub(crate) struct StoredValue {
    pub value: Value,
    /// The revision of the key's last change.
    pub version: u64,
    /// The grant that the key is attached to.
    pub grant: Option<u64>,
}

struct GrantState {
    ends_at: u64,
    ttl_ms: u64,
}

/// Limits that the store enforces although the controllers' settings allow more.
#[derive(Clone, Copy)]
pub(crate) struct ReducedLimits {
    /// Maximum length of a value's JSON form.
    pub value_bytes: usize,
    /// Maximum number of writes in a transaction.
    pub transaction_writes: usize,
    /// Maximum rate of writes, which is also the burst size.
    pub writes_per_s: f64,
}

/// The number of writes that the rate limit allowed at a time.
#[derive(Default)]
struct WriteBudget {
    writes: f64,
    as_of: u64,
}

/// Why a transaction is refused before its conditions are checked.
enum LimitExceeded {
    Size,
    Rate,
}

/// The keys, the grants and the log of all writes.
#[derive(Default)]
pub(crate) struct Store {
    pub keys: BTreeMap<String, StoredValue>,
    pub revision: u64,
    pub(super) log: Vec<KeyChange>,
    grants: HashMap<u64, GrantState>,
    last_grant: u64,
    /// How many requests were received.
    pub requests: u64,
    /// Writes in the form of the trace, since they were last taken.
    pub commits: Vec<String>,
    /// Whether `commits` includes writes of the format.
    pub logs_format: bool,
    /// The reduced limits; `None` if nothing is limited.
    pub reduced_limits: Option<ReducedLimits>,
    budget: WriteBudget,
    /// How many transactions were refused for their size.
    pub refused_by_size: u64,
    /// How many transactions were refused by the rate limit.
    pub refused_by_rate: u64,
}

/// The result of a request to the store.
pub(crate) enum StoreResponse {
    /// Status and body of the answer.
    Now(u16, Vec<u8>),
    /// A watch that is answered on the next change, or at `run_until`.
    Wait {
        prefix: String,
        from_revision: u64,
        until: u64,
    },
}

impl Store {
    /// Ends expired grants, and deletes the keys attached to them.
    pub(crate) fn expire(&mut self, now: u64) {
        let expired = self.grants.iter().filter(|(_, grant)| now > grant.ends_at);
        let expired: Vec<u64> = expired.map(|(id, _)| *id).collect();
        for id in expired {
            self.end_grant(id);
        }
    }

    /// Renews every grant for its full time to live, as after an outage.
    pub(crate) fn refresh(&mut self, now: u64) {
        for grant in self.grants.values_mut() {
            grant.ends_at = now + grant.ttl_ms;
        }
    }

    fn end_grant(&mut self, id: u64) {
        self.grants.remove(&id);
        let attached = self
            .keys
            .iter()
            .filter(|(_, stored)| stored.grant == Some(id));
        let attached: Vec<String> = attached.map(|(key, _)| key.clone()).collect();
        for key in attached {
            self.revision += 1;
            self.delete_key(&key);
        }
    }

    /// Writes a key without a transaction.
    pub(crate) fn put(&mut self, key: &str, value: Value) {
        self.revision += 1;
        self.set_key(key.to_string(), value, None);
    }

    fn set_key(&mut self, key: String, value: Value, grant: Option<u64>) {
        let stored = StoredValue {
            value: value.clone(),
            version: self.revision,
            grant,
        };
        self.keys.insert(key.clone(), stored);
        self.log.push(KeyChange {
            set: Some(key),
            value: Some(value),
            delete: None,
            version: self.revision,
        });
    }

    fn delete_key(&mut self, key: &str) {
        self.keys.remove(key);
        self.log.push(KeyChange {
            set: None,
            value: None,
            delete: Some(key.to_string()),
            version: self.revision,
        });
    }

    /// The changes of keys with a prefix after a revision.
    pub(crate) fn changes(&self, prefix: &str, from_revision: u64) -> WatchReply {
        let first = self
            .log
            .partition_point(|change| change.version <= from_revision);
        let has_prefix = |change: &&KeyChange| {
            let key = change.set.as_ref().or(change.delete.as_ref());
            key.is_some_and(|key| key.starts_with(prefix))
        };
        WatchReply {
            revision: self.revision,
            changes: self.log[first..]
                .iter()
                .filter(has_prefix)
                .cloned()
                .collect(),
        }
    }

    /// Executes a request.
    pub(crate) fn handle(
        &mut self,
        method: &str,
        path: &str,
        body: &[u8],
        now: u64,
    ) -> StoreResponse {
        self.expire(now);
        self.requests += 1;
        let route = path.split('?').next().unwrap_or("");
        match (method, route) {
            ("GET", "/watch") => self.watch(path, now),
            ("GET", "/kv") => self.list(path),
            ("GET", _) if route.starts_with("/kv/") => self.read(&route["/kv/".len()..]),
            ("POST", "/txn") => self.transact(body, now),
            ("POST", "/grants") => self.create_grant(body, now),
            ("POST", _) if route.ends_with("/renew") => self.renew_grant(grant_in(route), now),
            ("DELETE", _) => {
                self.end_grant(grant_in(route));
                StoreResponse::Now(200, vec![])
            }
            _ => StoreResponse::Now(400, vec![]),
        }
    }

    fn watch(&self, path: &str, now: u64) -> StoreResponse {
        let prefix = query(path, "under").unwrap_or("").to_string();
        let from_revision = query_number(path, "from").unwrap_or(0);
        let hold_ms = query_number(path, "holdMs").unwrap_or(0);
        let reply = self.changes(&prefix, from_revision);
        if reply.changes.is_empty() && hold_ms > 0 {
            return StoreResponse::Wait {
                prefix,
                from_revision,
                until: now + hold_ms,
            };
        }
        StoreResponse::Now(200, wire::encode(&reply))
    }

    fn list(&self, path: &str) -> StoreResponse {
        let prefix = query(path, "under").unwrap_or("");
        let from = query(path, "from").unwrap_or("");
        let size = query_number(path, "most").map_or(PAGE_SIZE, |size| size as usize);
        let keys = self.keys.iter();
        let all: Vec<_> = keys
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > from)
            .collect();
        let page = all.iter().take(size);
        let pairs: Vec<Value> = page.map(|(key, stored)| key_value(key, stored)).collect();
        let reply = cbor!({
            "pairs" => pairs, "truncated" => all.len() > size, "ledgerRev" => self.revision
        });
        StoreResponse::Now(200, wire::encode(&reply.expect("value")))
    }

    fn read(&self, key: &str) -> StoreResponse {
        match self.keys.get(key) {
            Some(stored) => StoreResponse::Now(200, wire::encode(&key_value(key, stored))),
            None => StoreResponse::Now(404, vec![]),
        }
    }

    fn create_grant(&mut self, body: &[u8], now: u64) -> StoreResponse {
        let request: GrantRequest = wire::decode(body).expect("a grant request");
        self.last_grant += 1;
        let state = GrantState {
            ends_at: now + request.ttl_ms,
            ttl_ms: request.ttl_ms,
        };
        self.grants.insert(self.last_grant, state);
        let grant = Grant {
            grant: self.last_grant,
        };
        StoreResponse::Now(200, wire::encode(&grant))
    }

    fn renew_grant(&mut self, id: u64, now: u64) -> StoreResponse {
        let Some(grant) = self.grants.get_mut(&id) else {
            return StoreResponse::Now(404, vec![]);
        };
        grant.ends_at = now + grant.ttl_ms;
        StoreResponse::Now(200, vec![])
    }

    fn transact(&mut self, body: &[u8], now: u64) -> StoreResponse {
        let transaction: Transaction = wire::decode(body).expect("a transaction");
        match self.check_limits(&transaction, now) {
            Ok(()) => {}
            Err(LimitExceeded::Size) => {
                self.refused_by_size += 1;
                let error = cbor!({"error" => "too large"}).expect("value");
                return StoreResponse::Now(400, wire::encode(&error));
            }
            Err(LimitExceeded::Rate) => {
                self.refused_by_rate += 1;
                return StoreResponse::Now(429, vec![]);
            }
        }
        let failed = self.failed_conditions(&transaction);
        if !failed.is_empty() {
            let reply = cbor!({"failed" => failed, "ledgerRev" => self.revision});
            return StoreResponse::Now(409, wire::encode(&reply.expect("value")));
        }
        let has_expired = |grant| !self.grants.contains_key(&grant);
        let mut grants = transaction.writes.iter().filter_map(|write| write.grant);
        if grants.any(has_expired) {
            return StoreResponse::Now(400, vec![]);
        }
        self.revision += 1;
        for write in transaction.writes {
            self.apply(write);
        }
        let reply = cbor!({"ledgerRev" => self.revision}).expect("value");
        StoreResponse::Now(200, wire::encode(&reply))
    }

    /// Checks a transaction against the reduced limits and counts its writes.
    fn check_limits(&mut self, transaction: &Transaction, now: u64) -> Result<(), LimitExceeded> {
        let Some(limits) = self.reduced_limits else {
            return Ok(());
        };
        let writes = &transaction.writes;
        let is_too_long = |write: &Write| {
            let length = write.value.as_ref().map_or(0, json_length);
            length > limits.value_bytes
        };
        if writes.len() > limits.transaction_writes || writes.iter().any(is_too_long) {
            return Err(LimitExceeded::Size);
        }
        let elapsed_s = (now - self.budget.as_of) as f64 / 1000.0;
        let refilled = self.budget.writes + elapsed_s * limits.writes_per_s;
        self.budget.writes = refilled.min(limits.writes_per_s);
        self.budget.as_of = now;
        let count = writes.len() as f64;
        if count > self.budget.writes {
            return Err(LimitExceeded::Rate);
        }
        self.budget.writes -= count;
        Ok(())
    }

    /// The keys whose version differs from the one that a condition requires.
    fn failed_conditions(&self, transaction: &Transaction) -> Vec<String> {
        let version_of = |key: &String| self.keys.get(key).map_or(0, |stored| stored.version);
        let conditions = transaction.conditions.iter();
        let failed = conditions.filter(|condition| version_of(&condition.key) != condition.version);
        failed.map(|condition| condition.key.clone()).collect()
    }

    fn apply(&mut self, write: Write) {
        if let (Some(key), Some(value)) = (write.set, write.value) {
            // Most traces omit the keys through which versions negotiate the format.
            let is_version =
                key.starts_with("g/l/m/") || (key == "g/l/format" && !self.logs_format);
            let is_fence = key == "g/l/leader" && write.grant.is_none();
            if !is_version && !is_fence {
                self.commits.push(describe(&key, &value));
            }
            self.set_key(key, value, write.grant);
        } else if let Some(key) = write.delete {
            self.delete_key(&key);
        }
    }
}

fn key_value(key: &str, stored: &StoredValue) -> Value {
    cbor!({"key" => key, "data" => stored.value, "stamp" => stored.version}).expect("value")
}

/// The ID of the grant in a path; 0 if the path contains none.
fn grant_in(path: &str) -> u64 {
    let id = path.split('/').nth(2).and_then(|id| id.parse().ok());
    id.unwrap_or(0)
}

/// A parameter of a path's query string.
pub(super) fn query<'a>(path: &'a str, name: &str) -> Option<&'a str> {
    let (_, parameters) = path.split_once('?')?;
    parameters
        .split('&')
        .find_map(|parameter| parameter.strip_prefix(name)?.strip_prefix('='))
}

fn query_number(path: &str, name: &str) -> Option<u64> {
    query(path, name)?.parse().ok()
}

/// A write in the form of the trace.
fn describe(key: &str, value: &Value) -> String {
    if let Some(id) = key.strip_prefix("g/j/") {
        describe_record(id, value)
    } else if let Some(id) = key.strip_prefix("g/f/") {
        format!("final {id} {}", value.as_text().unwrap_or("?"))
    } else {
        key.to_string()
    }
}

fn describe_record(id: &str, value: &Value) -> String {
    let Ok(record) = JobRecord::from_value(value) else {
        return format!("{id}: unreadable");
    };
    let mut text = format!("record {id}");
    if record.cancelled {
        text += " cancelled";
    }
    if !record.done.is_empty() {
        text += &format!(" done {:?}", record.done.0);
    }
    for run in &record.runs {
        text += &format!(
            " [{}+{} try {} on {}]",
            run.first, run.count, run.attempt, run.machine
        );
    }
    text
}
