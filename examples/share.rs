//! What a controller's processor time goes to: a leader and a follower, whole
//! nodes without sockets, beside stand-ins of a fleet in steady work. Counts are
//! the same every time; times are of this machine.
//!
//! `cargo run --release --example share [MACHINES [SECONDS [failover or steady [LOAD]]]]`: a failover
//! takes the leader away first, and the follower is its successor.

use std::collections::{BTreeMap, HashMap};
use std::time::Instant;

use ciborium::{cbor, Value};
use gaugesill::net::{Action, Event, Listener, Outcome, Request};
use gaugesill::node::{Node, Timestamp};
use gaugesill::plan;
use gaugesill::settings::{OperatorSettings, Settings};
use gaugesill::wire::{self, CommandBatch, KeyChange, Report, TaskReport, Transaction, WatchReply};

const NODES: usize = 5;
const REPORT_MS: u64 = 8000;
const POLL_MS: u64 = 5000;

fn settings(member: usize) -> Option<Settings> {
    let known: Vec<String> = (0..NODES)
        .filter(|i| *i != member)
        .map(|i| format!(r#"{{"member":"c{i}","zone":"a","address":"10.0.0.{i}:81"}}"#))
        .collect();
    serde_json::from_str(&format!(
        r#"{{"member":"c{member}","zone":"a","front":"10.0.0.{member}:80",
        "mesh_addr":"10.0.0.{member}:81","known":[{}],
        "endpoints":{{"cloud":"10.2.0.2:1","state":"10.2.0.1:1"}},
        "cluster":{{"zones":["a"],"teams":[{{"name":"t"}}],
        "workers":{{"report_s":8.0,"lease_s":36.0,"gang_wait_s":35.0,"gang_peer_s":4.0,"cancel_s":66.0}},
        "state":{{"rps":100.0,"write_rps":25.0,"value_kb":16.0,"txn_ops":20}},
        "cloud":{{"rps":5.0,"list_lag_s":3.0}},
        "limits":{{"cpu_share":0.04,"ram_mb":123.0,"fd_limit":4000}},"clock_off_ms":100.0}}}}"#,
        known.join(",")
    ))
    .ok()
}

/// What came of one sort of event, and how long the node took for it.
#[derive(Default)]
struct Spent {
    count: u64,
    us: f64,
    bytes: u64,
}

struct Worker {
    tasks: Vec<(TaskReport, u64)>,
    serial: u64,
    epoch: u64,
    next: u64,
    spot: bool,
}

struct Job {
    gang: bool,
    run_ms: u64,
}

/// An answer on its way: to which node, for which call, of what sort.
type Answer = (usize, u64, &'static str, Vec<u8>);

struct World {
    now: u64,
    nodes: Vec<Node>,
    spent: Vec<BTreeMap<&'static str, Spent>>,
    keys: BTreeMap<String, (Value, u64)>,
    revision: u64,
    log: Vec<KeyChange>,
    watches: Vec<(usize, u64, u64, u64)>,
    replies: BTreeMap<(u64, u64), Answer>,
    seq: u64,
    conns: HashMap<usize, usize>,
    next_conn: usize,
    workers: Vec<Worker>,
    most: usize,
    jobs: HashMap<String, Job>,
    polls: BTreeMap<(u64, String), usize>,
    next_job: u32,
    measured: bool,
    /// Whom the workers report to.
    lead: usize,
}

impl World {
    fn clock(&self) -> Timestamp {
        Timestamp {
            steady: self.now,
            wall: 1_000_000 + self.now,
        }
    }

    fn event(&mut self, node: usize, sort: &'static str, ev: Event) {
        let bytes = match &ev {
            Event::Request { request, .. } => request.body.len(),
            Event::Reply {
                outcome: Outcome::Answer { body, .. },
                ..
            } => body.len(),
            Event::Reply { .. } => 0,
        };
        let now = self.clock();
        let t = Instant::now();
        self.nodes[node].event(now, ev);
        self.took(node, sort, t, bytes);
        self.drain(node);
    }

    fn took(&mut self, node: usize, sort: &'static str, t: Instant, bytes: usize) {
        let us = t.elapsed().as_secs_f64() * 1e6;
        if self.measured {
            let s = self.spent[node].entry(sort).or_default();
            s.count += 1;
            s.us += us;
            s.bytes += bytes as u64;
        }
    }

    fn drain(&mut self, node: usize) {
        let actions = self.nodes[node].take_actions();
        for a in actions {
            match a {
                Action::Answer {
                    connection, body, ..
                } => {
                    if self.measured {
                        let s = self.spent[node].entry("answers").or_default();
                        s.count += 1;
                        s.bytes += body.len() as u64;
                    }
                    if let Some(w) = self.conns.remove(&connection) {
                        self.answered(w, &body);
                    }
                }
                Action::Call {
                    tag,
                    address,
                    method,
                    path,
                    body,
                    ..
                } => {
                    if self.measured {
                        let s = self.spent[node].entry("calls").or_default();
                        s.count += 1;
                        s.bytes += (body.len() + path.len()) as u64;
                    }
                    self.call(node, tag, &address.to_string(), method, &path, &body);
                }
            }
        }
    }

    fn reply(&mut self, after: u64, node: usize, tag: u64, sort: &'static str, body: Vec<u8>) {
        self.seq += 1;
        self.replies
            .insert((self.now + after, self.seq), (node, tag, sort, body));
    }

    fn call(&mut self, node: usize, tag: u64, to: &str, method: &str, path: &str, body: &[u8]) {
        let bare = path.split('?').next().unwrap_or("");
        let arg = |k: &str| {
            let q = path.split_once('?').map_or("", |x| x.1);
            q.split('&')
                .find_map(|p| p.strip_prefix(k)?.strip_prefix('='))
                .and_then(|v| v.parse::<u64>().ok())
                .unwrap_or(0)
        };
        match to {
            "10.2.0.1:1" => match (method, bare) {
                ("GET", "/kv") => {
                    let under = path.split("under=").nth(1).unwrap_or("");
                    let under = under.split('&').next().unwrap_or("");
                    let of = self.keys.iter().filter(|k| k.0.starts_with(under));
                    let pairs: Vec<Value> = of
                        .filter_map(|(k, v)| {
                            cbor!({"key" => k.as_str(), "data" => v.0, "stamp" => v.1}).ok()
                        })
                        .collect();
                    let v = cbor!({"pairs" => pairs, "truncated" => false, "ledgerRev" => self.revision});
                    let body = wire::encode(&v.unwrap_or(Value::Null));
                    self.reply(5, node, tag, "load", body);
                }
                ("GET", "/watch") => {
                    let (from, hold) = (arg("from"), arg("holdMs"));
                    self.watches.push((node, tag, from, self.now + hold));
                }
                ("POST", "/txn") => {
                    let Some(t) = wire::decode::<Transaction>(body) else {
                        return;
                    };
                    self.revision += 1;
                    for w in t.writes {
                        let version = self.revision;
                        if let (Some(k), Some(d)) = (&w.set, &w.value) {
                            self.keys.insert(k.clone(), (d.clone(), version));
                        } else if let Some(k) = &w.delete {
                            self.keys.remove(k);
                        }
                        self.log.push(KeyChange {
                            set: w.set,
                            value: w.value,
                            delete: w.delete,
                            version,
                        });
                    }
                    let v = cbor!({"ledgerRev" => self.revision}).unwrap_or(Value::Null);
                    self.reply(5, node, tag, "commit", wire::encode(&v));
                }
                ("POST", "/grants") => {
                    let v = cbor!({"permit" => 7}).unwrap_or(Value::Null);
                    self.reply(5, node, tag, "grant", wire::encode(&v));
                }
                _ => self.reply(5, node, tag, "renewal", vec![]),
            },
            "10.2.0.2:1" => match (method, bare) {
                ("GET", "/flavors") => {
                    let f = cbor!({"flavors" => [{
                    "sku" => "v32", "cores" => 32, "gpus" => 4, "memGb" => 256, "cacheGb" => 120,
                    "fetchGbPerS" => 0.4, "hourly" => 13.88, "spotPrice" => 4.84, "bootS" => 45,
                    "halls" => ["a"]}]});
                    let body = wire::encode(&f.unwrap_or(Value::Null));
                    self.reply(100, node, tag, "flavors", body);
                }
                ("GET", _) => {
                    let from = path
                        .split("from=m-")
                        .nth(1)
                        .map_or(0, |x| x[..6].parse::<usize>().map_or(0, |n| n + 1));
                    let to = (from + 500).min(self.workers.len());
                    let machines: Vec<Value> = (from..to)
                        .filter_map(|i| {
                            cbor!({"nameId" => format!("m-{i:06}"),
                            "endpoint" => "10.1.0.1:9000", "flavor" => "v32", "hall" => "a",
                            "loaner" => self.workers[i].spot, "status" => "running", "heldS" => 50.0})
                            .ok()
                        })
                        .collect();
                    let more = to < self.workers.len();
                    let v = cbor!({"hosts" => machines, "truncated" => more});
                    let body = wire::encode(&v.unwrap_or(Value::Null));
                    self.reply(150, node, tag, "list", body);
                }
                ("POST", "/machines") => {
                    let Ok(v) = ciborium::from_reader::<Value, _>(body) else {
                        return;
                    };
                    let get = |k: &str| {
                        v.as_map()
                            .and_then(|m| m.iter().find(|x| x.0.as_text() == Some(k)))
                            .map(|x| x.1.clone())
                    };
                    let n = get("howMany")
                        .and_then(|n| n.as_integer())
                        .and_then(|n| usize::try_from(n).ok())
                        .unwrap_or(0);
                    let spot = get("loaner").and_then(|b| b.as_bool()).unwrap_or(false);
                    let mut machines = Vec::new();
                    while machines.len() < n && self.workers.len() < self.most {
                        machines.push(format!("m-{:06}", self.workers.len()));
                        let at = self.workers.len() as u64 * 7919 % REPORT_MS;
                        self.workers.push(Worker {
                            tasks: vec![],
                            serial: 0,
                            epoch: 0,
                            next: self.now + 5000 + at,
                            spot,
                        });
                    }
                    let body = wire::encode(&wire::MachineNames { names: machines });
                    self.reply(150, node, tag, "rental", body);
                }
                _ => self.reply(150, node, tag, "deletion", vec![]),
            },
            _ if bare == "/orders" => {
                // The address is one for all: starts go with check-ins.
                self.seq += 1;
                self.replies
                    .insert((self.now + 2, self.seq), (node, tag, "unsent", vec![]));
            }
            _ => {}
        }
    }

    fn answered(&mut self, w: usize, body: &[u8]) {
        let Some(o) = wire::decode::<CommandBatch>(body) else {
            return;
        };
        let now = self.now;
        let Some(worker) = self.workers.get_mut(w) else {
            return;
        };
        worker.epoch = worker.epoch.max(o.epoch);
        if worker.serial == 1 {
            worker.next = now + 500;
        }
        for o in o.commands {
            match o.verb.as_str() {
                "start" => {
                    worker.tasks.push((
                        TaskReport {
                            task: o.task,
                            attempt: o.attempt,
                            status: "pulling".into(),
                            cause: None,
                            kept: None,
                        },
                        now + 10_000,
                    ));
                    worker.next = worker.next.min(now + 500);
                }
                "clear" => worker.tasks.retain(|t| t.0.task != o.task),
                _ => {}
            }
        }
    }

    fn workers_turn(&mut self) {
        for w in 0..self.workers.len() {
            let now = self.now;
            let worker = &mut self.workers[w];
            let mut changed = false;
            for t in worker.tasks.iter_mut().filter(|t| now >= t.1) {
                let id = t.0.task.split('/').next().unwrap_or("");
                let Some(j) = self.jobs.get(id) else { continue };
                if t.0.status == "pulling" {
                    t.0.status = "running".into();
                    t.1 = now
                        + j.run_ms
                        + if j.gang {
                            0
                        } else {
                            w as u64 * 7919 % j.run_ms
                        };
                    changed = true;
                } else if t.0.status == "running" {
                    t.0.status = "ended".into();
                    t.0.cause = Some("done".into());
                    changed = true;
                }
            }
            if changed {
                worker.next = worker.next.min(now + 100);
            }
            if now < worker.next {
                continue;
            }
            worker.next = now + REPORT_MS;
            worker.serial += 1;
            let r = Report {
                machine: format!("m-{w:06}"),
                endpoint: "10.1.0.1:9000".into(),
                machine_type: "v32".into(),
                zone: "a".into(),
                spot: worker.spot,
                session: 1,
                serial: worker.serial,
                epoch: worker.epoch,
                reclaim_in_s: None,
                tasks: worker.tasks.iter().map(|t| t.0.clone()).collect(),
            };
            let connection = self.connection();
            self.conns.insert(connection, w);
            let ev = Event::Request {
                connection,
                listener: Listener::Front,
                request: Request {
                    method: "POST".into(),
                    path: "/checkin".into(),
                    body: wire::encode(&r),
                },
            };
            self.event(self.lead, "check-in", ev);
        }
    }

    fn connection(&mut self) -> usize {
        self.next_conn += 1;
        self.next_conn
    }

    fn user(&mut self, node: usize, sort: &'static str, method: &str, path: &str, body: Vec<u8>) {
        let connection = self.connection();
        let request = Request {
            method: method.into(),
            path: path.into(),
            body,
        };
        let listener = Listener::Front;
        self.event(
            node,
            sort,
            Event::Request {
                connection,
                listener,
                request,
            },
        );
    }

    fn submit(&mut self) {
        let n = self.next_job;
        self.next_job += 1;
        let id = format!("run-{n:06}");
        let gang = n % 3 == 0;
        let tasks = if gang { 1 << (n % 6) } else { 5 + (n * 7) % 60 };
        let amounts = if gang {
            (28.0, 4.0, 200.0)
        } else {
            (6.0, 1.0, 48.0)
        };
        let v = cbor!({
            "nameId" => id.as_str(), "jobclass" => if gang { "train" } else { "score" },
            "owner" => "t", "shape" => if gang { "group" } else { "sweep" },
            "urgency" => if gang { "normal" } else { "best_effort" }, "pieces" => tasks,
            "cores" => amounts.0, "gpus" => amounts.1, "memGb" => amounts.2,
            "bundle" => format!("img-{}", n % 20), "imageGb" => 5.0, "flavors" => null,
            "hall" => null, "samePlace" => gang, "scatter" => false, "loaner" => !gang,
            "expectedS" => if gang { 200.0 } else { 70.0 }, "snapshotEveryS" => 20.0,
            "snapshotS" => 3.0, "dueS" => if gang { Value::Null } else { Value::Float(125.0) }
        });
        let run_ms = if gang { 200_000 } else { 70_000 };
        self.jobs.insert(id.clone(), Job { gang, run_ms });
        self.polls
            .insert((self.now + POLL_MS, id), n as usize % NODES);
        let body = wire::encode(&v.unwrap_or(Value::Null));
        let node = self.lead.max(n as usize % 2);
        self.user(node, "submission", "POST", "/work", body);
    }

    fn step(&mut self) {
        self.now += 10;
        let now = self.now;
        while let Some(e) = self.replies.first_entry() {
            if e.key().0 > now {
                break;
            }
            let (node, tag, sort, body) = e.remove();
            if node < self.lead {
                continue;
            }
            let outcome = if sort == "unsent" {
                Outcome::NotSent
            } else {
                Outcome::Answer { status: 200, body }
            };
            self.event(node, sort, Event::Reply { tag, outcome });
        }
        for (node, tag, from, until) in std::mem::take(&mut self.watches) {
            let first = self.log.partition_point(|c| c.version <= from);
            if first == self.log.len() && now < until {
                self.watches.push((node, tag, from, until));
                continue;
            }
            let changes = WatchReply {
                revision: self.revision,
                changes: self.log[first..].to_vec(),
            };
            let body = wire::encode(&changes);
            self.reply(5, node, tag, "watch", body);
        }
        self.workers_turn();
        // Users ask all controllers alike; two of them are here.
        while let Some(e) = self.polls.first_entry() {
            if e.key().0 > now {
                break;
            }
            let ((_, id), node) = e.remove_entry();
            if self.keys.contains_key(&format!("g/f/{id}")) {
                continue;
            }
            if (self.lead..2).contains(&node) {
                self.user(node, "poll", "GET", &format!("/work/{id}"), vec![]);
            }
            self.polls.insert((now + POLL_MS, id), (node + 1) % NODES);
        }
        // The first is to lead.
        let up = if now < 2000 { 1 } else { 2 };
        for node in self.lead..up {
            let at = self.clock();
            let t = Instant::now();
            self.nodes[node].tick(at);
            self.took(node, "tick", t, 0);
            let t = Instant::now();
            let s = self.nodes[node].plan_due(at);
            if let Some(s) = s {
                self.took(node, "snapshot", t, 0);
                let epoch = self.nodes[node].epoch();
                let t = Instant::now();
                let d = plan::cycle(s);
                self.took(node, "plan", t, 0);
                let t = Instant::now();
                self.nodes[node].on_planned(at, epoch, d);
                self.took(node, "plan applied", t, 0);
            }
            self.drain(node);
        }
    }
}

fn main() {
    let arg = |n: usize, d: u64| {
        std::env::args()
            .nth(n)
            .and_then(|a| a.parse().ok())
            .unwrap_or(d)
    };
    let (machines, seconds) = (arg(1, 1300) as usize, arg(2, 60));
    let (Some(a), Some(b)) = (settings(0), settings(1)) else {
        eprintln!("the settings of this example can't be read");
        return;
    };
    let nodes = vec![
        Node::new(a, OperatorSettings::default(), 1),
        Node::new(b, OperatorSettings::default(), 2),
    ];
    let mut w = World {
        now: 0,
        nodes,
        spent: (0..2).map(|_| BTreeMap::new()).collect(),
        keys: BTreeMap::new(),
        revision: 1,
        log: vec![],
        watches: vec![],
        replies: BTreeMap::new(),
        seq: 0,
        conns: HashMap::new(),
        next_conn: 0,
        workers: vec![],
        most: machines,
        jobs: HashMap::new(),
        polls: BTreeMap::new(),
        next_job: 0,
        measured: false,
        lead: 0,
    };
    let failover = std::env::args().nth(3).is_some_and(|a| a == "failover");
    // Up to steady work, at a fixed rate of submissions, then measured.
    let load = arg(4, 1).max(1);
    let every = 1_000_000 / machines as u64 / load;
    let mut next = 0;
    let warm = 200_000;
    while w.now < warm + seconds * 1000 {
        w.step();
        w.measured = w.now > warm;
        if failover && w.now == warm {
            w.lead = 1;
            w.revision += 1;
            w.keys.remove("g/l/leader");
            w.log.push(KeyChange {
                set: None,
                value: None,
                delete: Some("g/l/leader".into()),
                version: w.revision,
            });
        }
        let queue = machines as u32 / 10;
        if w.now > 1000 && (w.next_job < queue || w.now >= next) {
            next = w.now + every;
            w.submit();
        }
    }
    for (n, name) in ["leader", "follower"].iter().enumerate() {
        println!(
            "{name}, a second:{:>22}{:>10}{:>12}",
            "times", "us", "bytes"
        );
        let mut all = 0.0;
        for (sort, s) in &w.spent[n] {
            let per = |x: f64| x / seconds as f64;
            all += per(s.us);
            println!(
                "  {sort:<20}{:>18.1}{:>10.0}{:>12.0}",
                per(s.count as f64),
                per(s.us),
                per(s.bytes as f64)
            );
        }
        println!(
            "  {:<20}{:>28.0} us, {:.2}% of a core",
            "all",
            all,
            all / 1e4
        );
    }
    let c = w.nodes[w.lead].scheduler.as_ref();
    println!("{}", c.map_or(String::new(), |c| c.summary()));
}
