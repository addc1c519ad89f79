//! A stand-in of the store.

use ciborium::{cbor, Value};
use gaugesill::wire::{self, Grant, GrantRequest, KeyChange, Transaction, WatchReply};
use std::collections::{BTreeMap, HashMap};

#[derive(Default)]
pub struct Store {
    pub keys: BTreeMap<String, (Value, u64, Option<u64>)>,
    pub revision: u64,
    pub(super) log: Vec<KeyChange>,
    pub(super) grants: HashMap<u64, (u64, u64)>,
    pub(super) next_grant: u64,
    /// How many requests came.
    pub requests: u64,
    pub commits: Vec<String>,
    pub tells_format: bool,
    /// The limits that hold now, if they have fallen.
    pub fallen_limits: Option<FallenLimits>,
    /// Changes left to make, and when that was.
    pub(super) left: (f64, u64),
    /// How often something was refused as too large, or as too much.
    pub too_large: u64,
    pub too_much: u64,
}

impl Store {
    pub fn expire(&mut self, now: u64) {
        let dead: Vec<u64> = self
            .grants
            .iter()
            .filter(|(_, g)| now > g.0)
            .map(|(id, _)| *id)
            .collect();
        for id in dead {
            self.end_grant(id);
        }
    }

    /// After an outage every grant has its full time again.
    pub fn refresh(&mut self, now: u64) {
        for g in self.grants.values_mut() {
            g.0 = now + g.1;
        }
    }

    pub(super) fn end_grant(&mut self, id: u64) {
        self.grants.remove(&id);
        let keys: Vec<String> = self
            .keys
            .iter()
            .filter(|(_, v)| v.2 == Some(id))
            .map(|(k, _)| k.clone())
            .collect();
        for k in keys {
            self.revision += 1;
            self.drop_key(&k);
        }
    }

    /// A change that none of the controllers made.
    pub fn put(&mut self, key: &str, value: Value) {
        self.revision += 1;
        self.set_key(key.to_string(), value, None);
    }

    pub(super) fn set_key(&mut self, key: String, value: Value, grant: Option<u64>) {
        self.keys
            .insert(key.clone(), (value.clone(), self.revision, grant));
        self.log.push(KeyChange {
            set: Some(key),
            value: Some(value),
            delete: None,
            version: self.revision,
        });
    }

    pub(super) fn drop_key(&mut self, k: &str) {
        self.keys.remove(k);
        self.log.push(KeyChange {
            set: None,
            value: None,
            delete: Some(k.to_string()),
            version: self.revision,
        });
    }

    pub fn changes(&self, under: &str, from: u64) -> WatchReply {
        WatchReply {
            revision: self.revision,
            changes: self.log[self.log.partition_point(|c| c.version <= from)..]
                .iter()
                .filter(|c| {
                    c.set
                        .as_ref()
                        .or(c.delete.as_ref())
                        .is_some_and(|k| k.starts_with(under))
                })
                .cloned()
                .collect(),
        }
    }

    pub fn handle(&mut self, method: &str, path: &str, body: &[u8], now: u64) -> Served {
        self.expire(now);
        self.requests += 1;
        let bare = path.split('?').next().unwrap_or("");
        match (method, bare) {
            ("GET", "/watch") => {
                let under = query(path, "under").unwrap_or("").to_string();
                let from: u64 = query(path, "from").unwrap_or("0").parse().unwrap_or(0);
                let hold: u64 = query(path, "holdMs").unwrap_or("0").parse().unwrap_or(0);
                let n = self.changes(&under, from);
                if n.changes.is_empty() && hold > 0 {
                    return Served::Wait(under, from, now + hold);
                }
                Served::Now(200, wire::encode(&n))
            }
            ("GET", "/kv") => {
                let under = query(path, "under").unwrap_or("");
                let from = query(path, "from").unwrap_or("");
                let most: usize = query(path, "most").unwrap_or("200").parse().unwrap_or(200);
                let all: Vec<_> = self
                    .keys
                    .iter()
                    .filter(|(k, _)| k.starts_with(under) && k.as_str() > from)
                    .collect();
                let pairs: Vec<Value> = all
                    .iter()
                    .take(most)
                    .map(|(k, v)| {
                        cbor!({"key" => k.as_str(), "data" => v.0, "stamp" => v.1}).expect("value")
                    })
                    .collect();
                let v = cbor!({
                    "pairs" => pairs, "truncated" => all.len() > most, "ledgerRev" => self.revision
                });
                Served::Now(200, wire::encode(&v.expect("value")))
            }
            ("GET", p) if p.starts_with("/kv/") => match self.keys.get(&p[4..]) {
                Some(v) => {
                    let v = cbor!({"key" => &p[4..], "data" => v.0, "stamp" => v.1});
                    Served::Now(200, wire::encode(&v.expect("value")))
                }
                None => Served::Now(404, vec![]),
            },
            ("POST", "/txn") => self.txn(body, now),
            ("POST", "/grants") => {
                let ask: GrantRequest = wire::decode(body).expect("a grant request");
                self.next_grant += 1;
                self.grants
                    .insert(self.next_grant, (now + ask.ttl_ms, ask.ttl_ms));
                Served::Now(
                    200,
                    wire::encode(&Grant {
                        grant: self.next_grant,
                    }),
                )
            }
            ("POST", p) if p.ends_with("/renew") => {
                let id: u64 = p
                    .split('/')
                    .nth(2)
                    .and_then(|s| s.parse().ok())
                    .unwrap_or(0);
                match self.grants.get_mut(&id) {
                    Some(g) => {
                        g.0 = now + g.1;
                        Served::Now(200, vec![])
                    }
                    None => Served::Now(404, vec![]),
                }
            }
            ("DELETE", p) => {
                let id: u64 = p
                    .split('/')
                    .nth(2)
                    .and_then(|s| s.parse().ok())
                    .unwrap_or(0);
                self.end_grant(id);
                Served::Now(200, vec![])
            }
            _ => Served::Now(400, vec![]),
        }
    }

    pub(super) fn txn(&mut self, body: &[u8], now: u64) -> Served {
        let t: Transaction = wire::decode(body).expect("a transaction");
        if let Some(fallen_limits) = self.fallen_limits {
            let size = |w: &wire::Write| w.value.as_ref().map_or(0, gaugesill::job::json_length);
            if t.writes.len() > fallen_limits.ops
                || t.writes.iter().any(|w| size(w) > fallen_limits.value)
            {
                self.too_large += 1;
                let e = cbor!({"error" => "too large"}).expect("value");
                return Served::Now(400, wire::encode(&e));
            }
            let (left, at) = self.left;
            let since = (now - at) as f64 / 1000.0;
            let left = (left + since * fallen_limits.rate).min(fallen_limits.rate);
            self.left = (left, now);
            if (t.writes.len() as f64) > left {
                self.too_much += 1;
                return Served::Now(429, vec![]);
            }
            self.left.0 -= t.writes.len() as f64;
        }
        let failed: Vec<String> = t
            .conditions
            .iter()
            .filter(|c| self.keys.get(&c.key).map_or(0, |v| v.1) != c.version)
            .map(|c| c.key.clone())
            .collect();
        if !failed.is_empty() {
            let r = cbor!({"failed" => failed, "ledgerRev" => self.revision}).expect("value");
            return Served::Now(409, wire::encode(&r));
        }
        if t.writes
            .iter()
            .any(|w| w.grant.is_some_and(|p| !self.grants.contains_key(&p)))
        {
            return Served::Now(400, vec![]);
        }
        self.revision += 1;
        for w in t.writes {
            if let (Some(k), Some(d)) = (w.set, w.value) {
                // What versions tell one another is of no interest to most traces.
                let version = k.starts_with("g/l/m/") || (k == "g/l/format" && !self.tells_format);
                let fence = k == "g/l/leader" && w.grant.is_none();
                if !version && !fence {
                    self.commits.push(describe(&k, &d));
                }
                self.set_key(k, d, w.grant);
            } else if let Some(k) = w.delete {
                self.drop_key(&k);
            }
        }
        let r = cbor!({"ledgerRev" => self.revision}).expect("value");
        Served::Now(200, wire::encode(&r))
    }
}

/// Lower limits: bytes of a value, changes of a transaction, changes a second.
#[derive(Clone, Copy)]
pub struct FallenLimits {
    pub value: usize,
    pub ops: usize,
    pub rate: f64,
}

pub enum Served {
    Now(u16, Vec<u8>),
    /// A watch: prefix, revision, until when.
    Wait(String, u64, u64),
}

pub(super) fn query<'a>(path: &'a str, key: &str) -> Option<&'a str> {
    let q = path.split_once('?')?.1;
    q.split('&')
        .find_map(|p| p.strip_prefix(key).and_then(|r| r.strip_prefix('=')))
}

/// A change as people read it in a trace.
pub(super) fn describe(key: &str, value: &Value) -> String {
    if let Some(id) = key.strip_prefix("g/j/") {
        let Ok(r) = gaugesill::job::JobRecord::from_value(value) else {
            return format!("{id}: unreadable");
        };
        let mut s = format!("record {id}");
        if r.cancelled {
            s += " cancelled";
        }
        if !r.done.is_empty() {
            s += &format!(" done {:?}", r.done.0);
        }
        for x in &r.runs {
            s += &format!(
                " [{}+{} try {} on {}]",
                x.first, x.count, x.attempt, x.machine
            );
        }
        s
    } else if let Some(id) = key.strip_prefix("g/f/") {
        format!("final {id} {}", value.as_text().unwrap_or("?"))
    } else {
        key.to_string()
    }
}
