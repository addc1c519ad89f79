//! The state service of the protocol's page.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crate::wire::{encode, map, serve, Message, Value};

/// How long a lease may outlast its end.
const LEASE_SLACK: Duration = Duration::from_millis(50);

struct Stored {
    data: Value,
    stamp: u64,
    permit: Option<u64>,
}

struct Lease {
    life: Duration,
    ends: Instant,
}

struct Bucket {
    rate: f64,
    tokens: f64,
    at: Instant,
}

impl Bucket {
    fn new(rate: f64) -> Bucket {
        Bucket {
            rate,
            tokens: rate,
            at: Instant::now(),
        }
    }
    fn take(&mut self, count: f64) -> bool {
        let gained = self.at.elapsed().as_secs_f64() * self.rate;
        self.at = Instant::now();
        self.tokens = (self.tokens + gained).min(self.rate);
        let enough = self.tokens >= count;
        if enough {
            self.tokens -= count;
        }
        enough
    }
}

/// What is wrong with the service.
#[derive(Clone, Default)]
pub struct StoreFaults {
    /// Every controller gets 503.
    pub outage: bool,
    /// These controllers get 503.
    pub refused: Vec<usize>,
    /// Requests of these controllers get no answer and are not executed.
    pub held: Vec<usize>,
    /// Share of transactions that get no answer and are executed late.
    pub late: f64,
    /// Share of transactions that are executed and whose answer is lost.
    pub lost: f64,
    /// Added to the time that an answer takes.
    pub slow_ms: u64,
}

struct State {
    keys: BTreeMap<String, Stored>,
    log: Vec<(u64, Value, String)>,
    revision: u64,
    leases: HashMap<u64, Lease>,
    last_lease: u64,
    requests: Bucket,
    writes: Bucket,
    value_bytes: usize,
    txn_ops: usize,
    faults: StoreFaults,
    /// Requests that were refused for a rate or size: a sound client stays below the limits.
    pub refusals: u64,
}

#[derive(Clone)]
pub struct Store(Arc<Mutex<State>>);

impl Store {
    pub fn new(rps: f64, write_rps: f64, value_kb: f64, txn_ops: usize) -> Store {
        let store = Store(Arc::new(Mutex::new(State {
            keys: BTreeMap::new(),
            log: vec![],
            revision: 0,
            leases: HashMap::new(),
            last_lease: 0,
            requests: Bucket::new(rps),
            writes: Bucket::new(write_rps),
            value_bytes: (value_kb * 1024.0) as usize,
            txn_ops,
            faults: StoreFaults::default(),
            refusals: 0,
        })));
        let own = store.clone();
        std::thread::spawn(move || loop {
            std::thread::sleep(Duration::from_millis(10));
            own.lock().expire();
        });
        store
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().expect("lock")
    }

    /// Changes the faults. After an outage every lease has its full time again.
    pub fn set_faults(&self, change: impl FnOnce(&mut StoreFaults)) {
        let mut state = self.lock();
        let was_out = state.faults.outage;
        change(&mut state.faults);
        if was_out && !state.faults.outage {
            let now = Instant::now();
            state
                .leases
                .values_mut()
                .for_each(|lease| lease.ends = now + lease.life);
        }
    }

    /// The name of the member that leads, by the leader keys.
    pub fn leader(&self) -> Option<String> {
        let state = self.lock();
        let named = |key: &str| {
            let stored = state.keys.get(key)?;
            stored.permit?;
            Some(stored.data.str_of("member"))
        };
        named("g/l/lease").or_else(|| named("g/l/leader"))
    }

    /// An address for one controller.
    pub fn serve_for(&self, controller: usize) -> SocketAddr {
        let store = self.clone();
        serve(move |request| store.handle(controller, request))
    }

    fn handle(&self, controller: usize, request: &Message) -> Option<(u16, Vec<u8>)> {
        let faults = {
            let mut state = self.lock();
            if !state.requests.take(1.0) && !state.faults.outage {
                state.refusals += 1;
                return Some((429, vec![]));
            }
            state.faults.clone()
        };
        std::thread::sleep(Duration::from_millis(3 + faults.slow_ms));
        if faults.held.contains(&controller) {
            std::thread::sleep(Duration::from_secs(5));
            return None;
        }
        if faults.outage || faults.refused.contains(&controller) {
            return Some((503, vec![]));
        }
        if request.route() == "/txn" {
            let dice = crate::random();
            if dice < faults.late {
                let (store, request) = (self.clone(), request.clone());
                std::thread::spawn(move || {
                    std::thread::sleep(Duration::from_secs_f64(2.0 + 10.0 * crate::random()));
                    while store.lock().faults.outage {
                        std::thread::sleep(Duration::from_millis(100));
                    }
                    store.lock().txn(&request.value());
                });
                std::thread::sleep(Duration::from_secs(2));
                return None;
            }
            let reply = self.lock().txn(&request.value());
            if dice < faults.late + faults.lost {
                std::thread::sleep(Duration::from_secs(2));
                return None;
            }
            return Some(reply);
        }
        if request.route() == "/watch" {
            return self.watch(controller, request);
        }
        Some(self.lock().simple(request))
    }

    fn watch(&self, controller: usize, request: &Message) -> Option<(u16, Vec<u8>)> {
        let under = request.query("under").unwrap_or("").to_string();
        let from: u64 = request.query("from").and_then(|v| v.parse().ok())?;
        let hold: u64 = request
            .query("holdMs")
            .and_then(|v| v.parse().ok())
            .unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(hold);
        loop {
            {
                let state = self.lock();
                let is_out = state.faults.outage
                    || state.faults.refused.contains(&controller)
                    || state.faults.held.contains(&controller);
                let changes = state.changes(&under, from);
                if !is_out && (!changes.is_empty() || Instant::now() >= until) {
                    let reply = map([
                        ("ledgerRev", state.revision.into()),
                        ("news", changes.into()),
                    ]);
                    return Some((200, encode(&reply)));
                }
                if is_out && Instant::now() >= until + Duration::from_secs(60) {
                    return None;
                }
            }
            std::thread::sleep(Duration::from_millis(2));
        }
    }
}

impl State {
    fn expire(&mut self) {
        if self.faults.outage {
            return;
        }
        let now = Instant::now();
        let ended = self
            .leases
            .iter()
            .filter(|(_, lease)| now > lease.ends + LEASE_SLACK);
        let ended: Vec<u64> = ended.map(|(id, _)| *id).collect();
        ended.into_iter().for_each(|id| self.end_lease(id));
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let attached = self
            .keys
            .iter()
            .filter(|(_, stored)| stored.permit == Some(id));
        let attached: Vec<String> = attached.map(|(key, _)| key.clone()).collect();
        for key in attached {
            self.revision += 1;
            self.drop_key(&key);
        }
    }

    fn drop_key(&mut self, key: &str) {
        if self.keys.remove(key).is_some() {
            let change = map([("drop", key.into()), ("stamp", self.revision.into())]);
            self.log.push((self.revision, change, key.into()));
        }
    }

    fn set_key(&mut self, key: &str, data: Value, permit: Option<u64>) {
        let change = map([
            ("set", key.into()),
            ("data", data.clone()),
            ("stamp", self.revision.into()),
        ]);
        self.log.push((self.revision, change, key.into()));
        let stored = Stored {
            data,
            stamp: self.revision,
            permit,
        };
        self.keys.insert(key.into(), stored);
    }

    fn changes(&self, under: &str, from: u64) -> Vec<Value> {
        let first = self.log.partition_point(|(revision, ..)| *revision <= from);
        let news = self.log[first..]
            .iter()
            .filter(|(_, _, key)| key.starts_with(under));
        news.map(|(_, change, _)| change.clone()).collect()
    }

    fn simple(&mut self, request: &Message) -> (u16, Vec<u8>) {
        let parts: Vec<&str> = request.route().split('/').collect();
        match (request.method.as_str(), parts.get(1).copied().unwrap_or("")) {
            ("GET", "kv") if parts.len() == 2 => self.page(request),
            ("GET", "kv") => match self.keys.get(&request.route()[4..]) {
                Some(stored) => (200, encode(&pair(&request.route()[4..], stored))),
                None => (404, encode(&map([("ledgerRev", self.revision.into())]))),
            },
            ("POST", "grants") if parts.len() == 2 => {
                let life = Duration::from_millis(request.value().int_of("lifeMs"));
                self.last_lease += 1;
                let lease = Lease {
                    life,
                    ends: Instant::now() + life,
                };
                self.leases.insert(self.last_lease, lease);
                (200, encode(&map([("permit", self.last_lease.into())])))
            }
            ("POST", "grants") => {
                let id = parts[2].parse().unwrap_or(0);
                match self.leases.get_mut(&id) {
                    Some(lease) => {
                        lease.ends = Instant::now() + lease.life;
                        (200, vec![])
                    }
                    None => (404, vec![]),
                }
            }
            ("DELETE", "grants") => {
                self.end_lease(parts[2].parse().unwrap_or(0));
                (200, vec![])
            }
            _ => (400, vec![]),
        }
    }

    fn page(&self, request: &Message) -> (u16, Vec<u8>) {
        let under = request.query("under").unwrap_or("");
        let from = request.query("from").unwrap_or("");
        let most: usize = request
            .query("most")
            .and_then(|v| v.parse().ok())
            .unwrap_or(1000);
        let all = self
            .keys
            .iter()
            .filter(|(key, _)| key.starts_with(under) && key.as_str() > from);
        let all: Vec<Value> = all.map(|(key, stored)| pair(key, stored)).collect();
        let truncated = all.len() > most;
        let pairs: Vec<Value> = all.into_iter().take(most).collect();
        let reply = map([
            ("pairs", pairs.into()),
            ("truncated", truncated.into()),
            ("ledgerRev", self.revision.into()),
        ]);
        (200, encode(&reply))
    }

    fn txn(&mut self, txn: &Value) -> (u16, Vec<u8>) {
        let empty = Value::Array(vec![]);
        let conditions = txn.get("if").unwrap_or(&empty).list();
        let writes = txn.get("writes").unwrap_or(&empty).list();
        let is_large = |write: &Value| {
            write
                .get("data")
                .is_some_and(|data| data.show().len() > self.value_bytes)
        };
        if writes.len() > self.txn_ops
            || conditions.len() > 4 * self.txn_ops
            || writes.iter().any(is_large)
        {
            self.refusals += 1;
            return (400, encode(&map([("error", "too large".into())])));
        }
        if !self.writes.take(writes.len() as f64) {
            self.refusals += 1;
            return (429, vec![]);
        }
        let ended = |write: &Value| {
            let permit = write.get("permit").and_then(Value::int);
            permit.is_some_and(|permit| !self.leases.contains_key(&permit))
        };
        if writes.iter().any(ended) {
            return (400, encode(&map([("error", "no such lease".into())])));
        }
        let failed = conditions.iter().filter(|condition| {
            let stored = self.keys.get(&condition.str_of("key"));
            stored.map_or(0, |stored| stored.stamp) != condition.int_of("stamp")
        });
        let failed: Vec<Value> = failed
            .map(|condition| condition.str_of("key").into())
            .collect();
        if !failed.is_empty() {
            let reply = map([
                ("failed", failed.into()),
                ("ledgerRev", self.revision.into()),
            ]);
            return (409, encode(&reply));
        }
        if !writes.is_empty() {
            self.revision += 1;
        }
        for write in writes {
            match (write.get("set"), write.get("drop")) {
                (Some(key), _) => {
                    let data = write.get("data").cloned().unwrap_or(Value::Null);
                    let permit = write.get("permit").and_then(Value::int);
                    self.set_key(key.text().unwrap_or(""), data, permit);
                }
                (_, Some(key)) => self.drop_key(key.text().unwrap_or("")),
                _ => {}
            }
        }
        (200, encode(&map([("ledgerRev", self.revision.into())])))
    }
}

fn pair(key: &str, stored: &Stored) -> Value {
    let mut fields = vec![
        ("key".into(), key.into()),
        ("data".into(), stored.data.clone()),
        ("stamp".into(), stored.stamp.into()),
    ];
    if let Some(permit) = stored.permit {
        fields.push(("permit".into(), permit.into()));
    }
    Value::Map(fields)
}
