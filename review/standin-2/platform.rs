//! Stand-ins for the state service, the cloud and the workers, by the protocol page, with the
//! troubles that a case asks for. What happens is written to the record.

use super::wire::*;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

pub const S: fn(f64) -> Duration = Duration::from_secs_f64;

/// How a link between two sides behaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Link {
    Open,
    /// Every request gets 503; it is not executed.
    Refused,
    /// Packets are held back. Requests on connections that stood before are executed when the link
    /// opens again; connections opened meanwhile never come about.
    Held,
}

pub struct Machine {
    pub name: String,
    pub flavor: String,
    pub hall: String,
    pub spot: bool,
    pub rented_at: Instant,
    pub up_at: Instant,
    pub gone_at: Option<Instant>,
    /// When it stopped on its own, with all that was on it. It is listed as running for 30 s more,
    /// then as failed, until it is deleted.
    pub died_at: Option<Instant>,
    /// Its own rate of image fetches in GB a second.
    pub fetch: f64,
    pub endpoint: Option<SocketAddr>,
    pub tenure: u64,
    pub serial: u64,
    pub epoch: u64,
    /// When the last answered report was sent, or the session began.
    pub answered_at: Instant,
    pub hung_until: Option<Instant>,
    /// Reports and their answers pass, or not.
    pub reports: Link,
    /// Direct commands pass, or not.
    pub commands: Link,
    pub images: BTreeSet<String>,
    pub tasks: BTreeMap<(String, u64), Task>,
    pub dirty: bool,
}

#[derive(Clone, Debug)]
pub struct Task {
    pub job: String,
    pub number: u64,
    pub attempt: u64,
    pub state: &'static str,
    pub cause: &'static str,
    pub kept: bool,
    pub image_at: Instant,
    pub since: Instant,
    pub on_machine: bool,
    pub left_s: f64,
    pub flush_until: Instant,
}

#[derive(Clone, Debug)]
pub struct Job {
    pub spec: V,
    /// True run time of a task in seconds.
    pub run_s: f64,
    pub done: BTreeSet<u64>,
    pub progress_s: f64,
    pub told_accepted: Option<Instant>,
    pub told_cancelled: Option<Instant>,
    pub asked_cancel: bool,
    pub told_done: Option<Instant>,
    pub starts: u32,
}

impl Job {
    pub fn pieces(&self) -> u64 {
        self.spec.get("pieces").int()
    }
    pub fn is_gang(&self) -> bool {
        self.spec.get("shape").text() == "group"
    }
    pub fn over(&self) -> bool {
        self.told_done.is_some() || self.told_cancelled.is_some()
    }
}

#[derive(Clone, Debug)]
pub struct Flavor {
    pub sku: &'static str,
    pub cores: f64,
    pub gpus: f64,
    pub mem: f64,
    pub boot_s: f64,
    pub fetch: f64,
    pub hourly: f64,
    pub spot_price: f64,
    pub halls: Vec<&'static str>,
    /// Machines of each hall that can be rented, ordinary and spot.
    pub count: u64,
    pub spot: u64,
}

#[derive(Clone, Debug)]
pub struct Config {
    pub nodes: usize,
    pub halls: Vec<&'static str>,
    pub flavors: Vec<Flavor>,
    pub teams: Vec<(&'static str, f64, f64, f64, f64)>,
    pub report_s: f64,
    pub lease_s: f64,
    pub gang_wait_s: f64,
    pub gang_peer_s: f64,
    pub cancel_s: f64,
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: u64,
    pub cloud_rps: f64,
    pub list_lag_s: f64,
    pub cpu_share: f64,
    pub ram_mb: f64,
    /// Further fields of `cluster.state`, as JSON text.
    pub state_extra: String,
    /// Changes that the state service keeps for watches.
    pub history: usize,
    /// By how much the fetch rates of machines with even and odd numbers differ from the nominal one.
    pub fetch_spread: [f64; 2],
}

#[derive(Clone)]
struct Kv {
    data: V,
    stamp: u64,
    permit: Option<u64>,
}

struct Change {
    stamp: u64,
    key: String,
    data: Option<V>,
}

#[derive(Default)]
pub struct Store {
    keys: BTreeMap<String, Kv>,
    pub rev: u64,
    news: VecDeque<Change>,
    grants: BTreeMap<u64, (u64, Instant)>,
    next_grant: u64,
    requests: Bucket,
    writes: Bucket,
}

#[derive(Default)]
struct Bucket {
    tokens: f64,
    at: Option<Instant>,
}

impl Bucket {
    fn take(&mut self, rate: f64, count: f64) -> bool {
        let now = Instant::now();
        let passed = self
            .at
            .map_or(1.0, |at| now.duration_since(at).as_secs_f64());
        self.at = Some(now);
        self.tokens = (self.tokens + passed * rate).min(rate);
        let enough = self.tokens + 1e-9 >= count;
        if enough {
            self.tokens -= count;
        }
        enough
    }
}

/// All that the stand-ins share.
pub struct World {
    pub config: Config,
    pub began: Instant,
    pub store: Store,
    pub machines: BTreeMap<String, Machine>,
    pub next_machine: u64,
    bookings: HashMap<String, (u16, V)>,
    /// What the lists show: (time, machines) snapshots.
    lists: VecDeque<(Instant, Vec<(String, V)>)>,
    pub jobs: BTreeMap<String, Job>,
    pub record: Vec<String>,
    pub broken: Vec<(String, String)>,
    /// Link of each node to the state service and to the cloud.
    pub state_links: Vec<Link>,
    pub cloud_links: Vec<Link>,
    /// Link of each node to the workers (reports to it).
    pub worker_links: Vec<Link>,
    pub state_out: bool,
    pub cloud_out: bool,
    /// Share of transactions whose answer is lost, and how long after they are carried out.
    pub late_txn: Option<(f64, f64)>,
    /// Share of transactions that are carried out a second time, up to so many seconds later.
    pub repeat_txn: Option<(f64, f64)>,
    /// Share of direct commands that are held up on their way, unanswered, for up to so many seconds.
    pub late_commands: Option<(f64, f64)>,
    /// Share of direct commands that arrive a second time, up to so many seconds later.
    pub repeat_commands: Option<(f64, f64)>,
    /// Share of reports of which a copy arrives again at some node, up to so many seconds later.
    pub repeat_reports: Option<(f64, f64)>,
    pub fronts: Vec<SocketAddr>,
    pub names: Vec<String>,
    pub ended: bool,
    pub seed: u64,
    /// Answers of nodes to reports: (node, time, status, token).
    pub report_answers: Vec<(usize, Instant, u16, u64)>,
    pub elections: Vec<(Instant, String)>,
    pub log_reports: bool,
    pub tokens: HashMap<String, u64>,
}

#[derive(Clone)]
pub struct Platform {
    pub world: Arc<Mutex<World>>,
    changed: Arc<Condvar>,
}

impl World {
    pub fn ms(&self) -> u128 {
        self.began.elapsed().as_millis()
    }
    pub fn note(&mut self, text: String) {
        let line = format!("{:>7} {text}", self.ms());
        self.record.push(line);
    }
    pub fn breaks(&mut self, rule: &str, text: String) {
        self.note(format!("BROKEN {rule}: {text}"));
        self.broken.push((rule.to_string(), text));
    }
    /// The delay in seconds if the chance strikes.
    pub fn chance(&mut self, share: Option<(f64, f64)>) -> Option<f64> {
        let (share, most_s) = share?;
        if self.random() >= share {
            return None;
        }
        Some(most_s * (0.1 + 0.9 * self.random()))
    }
    pub fn random(&mut self) -> f64 {
        self.seed ^= self.seed << 13;
        self.seed ^= self.seed >> 7;
        self.seed ^= self.seed << 17;
        (self.seed % 1_000_000) as f64 / 1_000_000.0
    }
    pub fn flavor(&self, sku: &str) -> Flavor {
        self.config
            .flavors
            .iter()
            .find(|flavor| flavor.sku == sku)
            .expect("a flavor")
            .clone()
    }
    /// The member that the state service has as leader.
    pub fn leader(&self) -> Option<usize> {
        let key = ["g/l/lease", "g/l/leader"]
            .iter()
            .find_map(|key| self.store.keys.get(*key))?;
        let member = key.data.get("member").text().to_string();
        self.names.iter().position(|name| *name == member)
    }
    /// Tasks of a job that are on a machine: (machine, number).
    pub fn on_machines(&self, job: &str) -> Vec<(String, u64)> {
        let mut found = Vec::new();
        for machine in self
            .machines
            .values()
            .filter(|machine| machine.gone_at.is_none())
        {
            for task in machine
                .tasks
                .values()
                .filter(|task| task.on_machine && task.job == job)
            {
                found.push((machine.name.clone(), task.number));
            }
        }
        found
    }
}

impl Platform {
    pub fn new(config: Config, seed: u64) -> Platform {
        let nodes = config.nodes;
        let world = World {
            config,
            began: Instant::now(),
            store: Store {
                rev: 1,
                ..Store::default()
            },
            machines: BTreeMap::new(),
            next_machine: 1,
            bookings: HashMap::new(),
            lists: VecDeque::new(),
            jobs: BTreeMap::new(),
            record: vec![],
            broken: vec![],
            state_links: vec![Link::Open; nodes],
            cloud_links: vec![Link::Open; nodes],
            worker_links: vec![Link::Open; nodes],
            state_out: false,
            cloud_out: false,
            late_txn: None,
            repeat_txn: None,
            late_commands: None,
            repeat_commands: None,
            repeat_reports: None,
            fronts: vec![],
            names: (0..nodes).map(|node| format!("worker-{node}")).collect(),
            ended: false,
            seed: seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1,
            report_answers: vec![],
            elections: vec![],
            log_reports: false,
            tokens: HashMap::new(),
        };
        let platform = Platform {
            world: Arc::new(Mutex::new(world)),
            changed: Arc::new(Condvar::new()),
        };
        let ticking = platform.clone();
        std::thread::spawn(move || loop {
            std::thread::sleep(Duration::from_millis(20));
            if !ticking.tick() {
                return;
            }
        });
        platform
    }

    pub fn lock(&self) -> MutexGuard<'_, World> {
        self.world
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Waits while a link is held. `false`: the connection was opened while it was held, so it
    /// never came about.
    fn pass(
        &self,
        link: impl Fn(&World) -> Link,
        accepted: Instant,
        held_since: &Mutex<Option<Instant>>,
    ) -> bool {
        loop {
            let is_held = link(&self.lock()) == Link::Held;
            let never_came_about = {
                let mut since = held_since.lock().unwrap();
                if !is_held {
                    *since = None;
                    return true;
                }
                accepted >= *since.get_or_insert(Instant::now())
            };
            if never_came_about {
                std::thread::sleep(Duration::from_secs(30));
                return false;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// The address at which a node reaches the state service.
    pub fn state_address(&self, node: usize) -> SocketAddr {
        let platform = self.clone();
        let held = Mutex::new(None);
        serve(move |request, accepted| {
            if !platform.pass(|world| world.state_links[node], accepted, &held) {
                return None;
            }
            platform.serve_state(node, request)
        })
    }

    /// The address at which a node reaches the cloud.
    pub fn cloud_address(&self, node: usize) -> SocketAddr {
        let platform = self.clone();
        let held = Mutex::new(None);
        serve(move |request, accepted| {
            if !platform.pass(|world| world.cloud_links[node], accepted, &held) {
                return None;
            }
            std::thread::sleep(Duration::from_millis(60));
            Some(platform.lock().serve_cloud(node, request))
        })
    }

    fn serve_state(&self, node: usize, request: &Message) -> Answer {
        let path = request.path.split('?').next().unwrap_or("");
        let query = |name: &str| {
            let rest = request.path.split_once('?').map_or("", |parts| parts.1);
            let prefix = format!("{name}=");
            rest.split('&')
                .find_map(|part| part.strip_prefix(&prefix))
                .unwrap_or("")
                .to_string()
        };
        if path == "/watch" {
            let (under, from): (String, u64) = (query("under"), query("from").parse().unwrap_or(0));
            let until =
                Instant::now() + Duration::from_millis(query("holdMs").parse().unwrap_or(0));
            let mut world = self.lock();
            if world.is_refused(node) {
                return Some((503, V::Null));
            }
            if !world.take_request() {
                return Some((429, V::Null));
            }
            loop {
                let refused = world.is_refused(node);
                if !refused && from < world.store.oldest() {
                    return Some((410, V::Null));
                }
                let news = world.store.changes(&under, from);
                let now = Instant::now();
                if !refused && (!news.is_empty() || now >= until) {
                    let body = map(&[("ledgerRev", i(world.store.rev)), ("news", V::List(news))]);
                    return Some((200, body));
                }
                // In an outage, open watches stay open.
                let wait = if now >= until {
                    Duration::from_millis(50)
                } else {
                    until - now
                };
                let wait = wait.min(Duration::from_millis(50));
                world = self
                    .changed
                    .wait_timeout(world, wait)
                    .unwrap_or_else(std::sync::PoisonError::into_inner)
                    .0;
                if world.ended {
                    return None;
                }
            }
        }
        let mut world = self.lock();
        if world.is_refused(node) {
            return Some((503, V::Null));
        }
        if !world.take_request() {
            return Some((429, V::Null));
        }
        if (request.method.as_str(), path) == ("POST", "/txn") {
            if let Some((share, max_s)) = world.late_txn {
                if world.random() < share {
                    let wait = max_s * (0.2 + 0.8 * world.random());
                    drop(world);
                    std::thread::sleep(S(wait));
                    let mut world = self.lock();
                    if world.is_refused(node) {
                        return None;
                    }
                    let (status, _) =
                        world.transaction(node, &decode(&request.body).unwrap_or(V::Null));
                    world.note(format!("node {node}: transaction carried out {wait:.1} s late, without an answer: {status}"));
                    self.changed.notify_all();
                    return None;
                }
            }
            let answer = world.transaction(node, &decode(&request.body).unwrap_or(V::Null));
            self.changed.notify_all();
            let strikes = world.repeat_txn;
            if let Some(wait) = world.chance(strikes) {
                let (platform, body) = (self.clone(), request.body.clone());
                std::thread::spawn(move || {
                    std::thread::sleep(S(wait));
                    let mut world = platform.lock();
                    if !world.state_out {
                        let (status, _) =
                            world.transaction(node, &decode(&body).unwrap_or(V::Null));
                        world.note(format!(
                            "node {node}: a transaction arrives again after {wait:.1} s: {status}"
                        ));
                        platform.changed.notify_all();
                    }
                });
            }
            return Some(answer);
        }
        if request.method == "POST" && path == "/grants" {
            let life = decode(&request.body).unwrap_or(V::Null).get("lifeMs").int();
            world.store.next_grant += 1;
            let id = world.store.next_grant;
            world
                .store
                .grants
                .insert(id, (life, Instant::now() + Duration::from_millis(life)));
            return Some((200, map(&[("permit", i(id))])));
        }
        if let Some(rest) = path.strip_prefix("/grants/") {
            let id: u64 = rest.trim_end_matches("/renew").parse().unwrap_or(0);
            let now = Instant::now();
            let Some((life, deadline)) = world.store.grants.get_mut(&id) else {
                return Some((404, V::Null));
            };
            if request.method == "DELETE" {
                *deadline = now;
                world.expire_grants();
                self.changed.notify_all();
                return Some((200, V::Map(vec![])));
            }
            *deadline = now + Duration::from_millis(*life);
            return Some((200, map(&[("permit", i(id))])));
        }
        if path == "/kv" {
            let (under, from) = (query("under"), query("from"));
            let most: usize = query("most").parse().unwrap_or(1000);
            let mut pairs = Vec::new();
            let mut bytes = 0;
            let mut truncated = false;
            for (key, kv) in &world.store.keys {
                if !key.starts_with(&under) || (!from.is_empty() && *key <= from) {
                    continue;
                }
                bytes += kv.data.json().len() + key.len() + 30;
                if pairs.len() >= most.min(1000) || bytes > 512 * 1024 {
                    truncated = true;
                    break;
                }
                pairs.push(map(&[
                    ("key", t(key)),
                    ("data", kv.data.clone()),
                    ("stamp", i(kv.stamp)),
                ]));
            }
            let rev = world.store.rev;
            let body = [
                ("pairs", V::List(pairs)),
                ("truncated", V::Bool(truncated)),
                ("ledgerRev", i(rev)),
            ];
            return Some((200, map(&body)));
        }
        if let Some(key) = path.strip_prefix("/kv/") {
            return Some(match world.store.keys.get(key) {
                Some(kv) => {
                    let permit = kv.permit.map_or(V::Null, i);
                    (
                        200,
                        map(&[
                            ("key", t(key)),
                            ("data", kv.data.clone()),
                            ("stamp", i(kv.stamp)),
                            ("permit", permit),
                        ]),
                    )
                }
                None => (404, map(&[("ledgerRev", i(world.store.rev))])),
            });
        }
        Some((400, V::Null))
    }

    /// Moves machines and tasks on. `false` once the case has ended.
    fn tick(&self) -> bool {
        let mut up = Vec::new();
        {
            let mut world = self.lock();
            if world.ended {
                return false;
            }
            if !world.state_out {
                let before = world.store.rev;
                world.expire_grants();
                if world.store.rev != before {
                    self.changed.notify_all();
                }
            }
            let now = Instant::now();
            let names: Vec<String> = world.machines.keys().cloned().collect();
            for name in &names {
                let machine = &world.machines[name];
                if machine.gone_at.is_none() && machine.endpoint.is_none() && now >= machine.up_at {
                    up.push(name.clone());
                }
            }
            world.tick_tasks(now);
            world.check_cancelled(now);
            let list = world.list_now();
            world.lists.push_back((now, list));
            while world.lists.len() > 1500 {
                world.lists.pop_front();
            }
        }
        for name in up {
            self.start_worker(name);
        }
        true
    }

    fn start_worker(&self, name: String) {
        let platform = self.clone();
        let own = name.clone();
        let held = Mutex::new(None);
        let endpoint = serve(move |request, accepted| {
            // A machine that hangs reads nothing until it goes on.
            loop {
                let world = platform.lock();
                let Some(machine) = world.machines.get(&own) else {
                    return None;
                };
                if machine.gone_at.is_some() || world.ended {
                    return None;
                }
                if machine.hung_until.is_none() {
                    break;
                }
                drop(world);
                std::thread::sleep(Duration::from_millis(10));
            }
            let link = |world: &World| {
                world
                    .machines
                    .get(&own)
                    .map_or(Link::Open, |machine| machine.commands)
            };
            if !platform.pass(link, accepted, &held) {
                return None;
            }
            let mut world = platform.lock();
            if world
                .machines
                .get(&own)
                .is_none_or(|machine| machine.gone_at.is_some())
            {
                return None;
            }
            if request.path == "/inspect" {
                return Some((200, world.report(&own)));
            }
            let body = decode(&request.body).unwrap_or(V::Null);
            if body.get("epoch").is_null() || body.get("tenure").is_null() {
                return Some((400, V::Null));
            }
            let (epoch, tenure) = (body.get("epoch").int(), body.get("tenure").int());
            let strikes = world.late_commands;
            if let Some(wait) = world.chance(strikes) {
                drop(world);
                std::thread::sleep(S(wait));
                platform.late_command(&own, &body, wait);
                return None;
            }
            let strikes = world.repeat_commands;
            if let Some(wait) = world.chance(strikes) {
                let (platform, own, body) = (platform.clone(), own.clone(), body.clone());
                std::thread::spawn(move || {
                    std::thread::sleep(S(wait));
                    platform.late_command(&own, &body, wait);
                });
            }
            let machine = world.machines.get_mut(&own)?;
            if epoch < machine.epoch || tenure != machine.tenure {
                world.note(format!(
                    "{own}: 409 to a direct command with token {epoch}, session {tenure}: {}",
                    body.get("orders").json()
                ));
                return Some((409, world.report(&own)));
            }
            machine.dirty |= epoch > machine.epoch;
            machine.epoch = epoch;
            let orders = body.get("orders").list().to_vec();
            world.execute(&own, &orders, "direct");
            Some((200, world.report(&own)))
        });
        {
            let mut world = self.lock();
            let Some(machine) = world.machines.get_mut(&name) else {
                return;
            };
            machine.endpoint = Some(endpoint);
            machine.answered_at = Instant::now();
            world.note(format!("{name} is up"));
        }
        let platform = self.clone();
        let _ = std::thread::Builder::new()
            .stack_size(256 * 1024)
            .spawn(move || platform.run_worker(&name));
    }

    /// A direct command that arrives late: it is executed if token and session still match.
    fn late_command(&self, name: &str, body: &V, wait: f64) {
        loop {
            let world = self.lock();
            let Some(machine) = world.machines.get(name) else {
                return;
            };
            if machine.gone_at.is_some() || world.ended {
                return;
            }
            if machine.hung_until.is_none() && machine.commands == Link::Open {
                break;
            }
            drop(world);
            std::thread::sleep(Duration::from_millis(20));
        }
        let mut world = self.lock();
        let (epoch, tenure) = (body.get("epoch").int(), body.get("tenure").int());
        let Some(machine) = world.machines.get_mut(name) else {
            return;
        };
        if epoch < machine.epoch || tenure != machine.tenure {
            return;
        }
        machine.dirty |= epoch > machine.epoch;
        machine.epoch = epoch;
        let orders = body.get("orders").list().to_vec();
        if !orders.is_empty() {
            world.note(format!("{name}: a direct command arrives {wait:.1} s late"));
            world.execute(name, &orders, "late");
        }
    }

    /// The reports of one worker.
    fn run_worker(&self, name: &str) {
        let mut kept = Kept::default();
        let mut node = {
            let mut world = self.lock();
            let nodes = world.config.nodes as f64;
            (world.random() * nodes) as usize
        };
        let mut next_at = Instant::now();
        // A change is reported at once, though not more often than every half second.
        let mut changes_from = next_at;
        loop {
            let now = Instant::now();
            let (body, to, nodes, link, sent) = {
                let mut world = self.lock();
                let lease_s = world.config.lease_s;
                if world.ended {
                    return;
                }
                let Some(machine) = world.machines.get_mut(name) else {
                    return;
                };
                if machine.gone_at.is_some() {
                    return;
                }
                let hung = machine.hung_until.is_some();
                if !hung && machine.answered_at.elapsed() > S(lease_s) {
                    machine.tenure += 1;
                    machine.serial = 0;
                    machine.answered_at = now;
                    machine.dirty = true;
                    let killed = std::mem::take(&mut machine.tasks);
                    let tenure = machine.tenure;
                    let killed: Vec<String> = killed
                        .keys()
                        .map(|key| format!("{}#{}", key.0, key.1))
                        .collect();
                    world.note(format!(
                        "{name}: lease over, session {tenure} begins; killed {killed:?}"
                    ));
                }
                let machine = world.machines.get_mut(name).expect("the machine");
                let due = now >= next_at || (machine.dirty && now >= changes_from);
                if hung || !due {
                    drop(world);
                    std::thread::sleep(Duration::from_millis(10));
                    continue;
                }
                machine.dirty = false;
                let link = machine.reports;
                let spread = 0.75 + 0.5 * world.random();
                next_at = now + S(world.config.report_s * spread);
                changes_from = now + S(0.5);
                let body = world.report(name);
                let node_link = world.worker_links[node];
                let link = if link == Link::Open { node_link } else { link };
                (body, world.fronts[node], world.config.nodes, link, now)
            };
            if link != Link::Open {
                // Nothing comes back within 4 s.
                std::thread::sleep(Duration::from_secs(4));
                kept.close();
                node = (node + 1) % nodes;
                std::thread::sleep(Duration::from_secs(1));
                next_at = Instant::now();
                continue;
            }
            let answer = kept.call(
                to,
                "POST",
                "/checkin",
                &body.encode(),
                Duration::from_secs(4),
            );
            let mut world = self.lock();
            let strikes = world.repeat_reports;
            if let Some(wait) = world.chance(strikes) {
                let copy = body.encode();
                let fronts = world.fronts.clone();
                let to = fronts[(world.random() * fronts.len() as f64) as usize];
                std::thread::spawn(move || {
                    std::thread::sleep(S(wait));
                    let _ = call(to, "POST", "/checkin", &copy, Duration::from_secs(4));
                });
            }
            let still_open = world.machines.get(name).is_some_and(|machine| {
                machine.reports == Link::Open && machine.hung_until.is_none()
            }) && world.worker_links[node] == Link::Open;
            let answer = answer.filter(|_| still_open);
            let (status, body) = match &answer {
                Some(answer) => (answer.status, decode(&answer.body).unwrap_or(V::Null)),
                None => (0, V::Null),
            };
            let token = body.get("epoch").int();
            world
                .report_answers
                .push((node, Instant::now(), status, token));
            if world.log_reports {
                world.note(format!("{name} -> node {node}: {status} {}", body.json()));
            }
            match status {
                200 => {
                    let Some(machine) = world.machines.get_mut(name) else {
                        return;
                    };
                    if sent.elapsed() < Duration::from_secs(4)
                        && token >= machine.epoch
                        && !body.get("epoch").is_null()
                    {
                        machine.dirty |= token > machine.epoch;
                        machine.epoch = token;
                        machine.answered_at = machine.answered_at.max(sent);
                        let orders = body.get("orders").list().to_vec();
                        world.execute(name, &orders, "answer");
                    }
                }
                421 => {
                    kept.close();
                    let target = body.get("reportsTo").text().to_string();
                    let target = world.names.iter().position(|other| *other == target);
                    match target.filter(|target| *target != node) {
                        Some(target) => {
                            node = target;
                            next_at = Instant::now() + S(0.2);
                        }
                        None => {
                            node = (node + 1) % nodes;
                            next_at = Instant::now() + S(1.0);
                        }
                    }
                }
                _ => {
                    kept.close();
                    node = (node + 1) % nodes;
                    next_at = Instant::now() + S(1.0);
                }
            }
            if status != 200 {
                changes_from = next_at;
            }
        }
    }
}

impl Store {
    fn oldest(&self) -> u64 {
        self.news
            .front()
            .map_or(0, |change| change.stamp.saturating_sub(1))
    }
    fn changes(&self, under: &str, from: u64) -> Vec<V> {
        let news = self
            .news
            .iter()
            .filter(|change| change.stamp > from && change.key.starts_with(under));
        news.map(|change| match &change.data {
            Some(data) => map(&[
                ("set", t(&change.key)),
                ("data", data.clone()),
                ("stamp", i(change.stamp)),
            ]),
            None => map(&[("drop", t(&change.key)), ("stamp", i(change.stamp))]),
        })
        .collect()
    }
}

impl World {
    fn is_refused(&self, node: usize) -> bool {
        self.state_out || self.state_links[node] == Link::Refused
    }
    fn take_request(&mut self) -> bool {
        let rps = self.config.rps;
        self.store.requests.take(rps, 1.0)
    }

    fn push_change(&mut self, key: &str, data: Option<V>) {
        let stamp = self.store.rev;
        self.store.news.push_back(Change {
            stamp,
            key: key.to_string(),
            data,
        });
        while self.store.news.len() > self.config.history {
            self.store.news.pop_front();
        }
    }

    fn expire_grants(&mut self) {
        let now = Instant::now();
        let over: Vec<u64> = self
            .store
            .grants
            .iter()
            .filter(|(_, (_, at))| now >= *at)
            .map(|(id, _)| *id)
            .collect();
        for id in over {
            self.store.grants.remove(&id);
            let keys: Vec<String> = self
                .store
                .keys
                .iter()
                .filter(|(_, kv)| kv.permit == Some(id))
                .map(|(key, _)| key.clone())
                .collect();
            for key in keys {
                self.store.rev += 1;
                self.store.keys.remove(&key);
                self.push_change(&key, None);
                self.note(format!("state: lease {id} is over, {key} removed"));
            }
        }
    }

    /// All leases get their full time again, as after an outage.
    pub fn end_outage(&mut self) {
        self.state_out = false;
        let now = Instant::now();
        for (life, at) in self.store.grants.values_mut() {
            *at = now + Duration::from_millis(*life);
        }
    }

    fn transaction(&mut self, node: usize, body: &V) -> (u16, V) {
        let writes = body.get("writes").list().to_vec();
        let rate = self.config.write_rps;
        if !self.store.writes.take(rate, writes.len() as f64) {
            return (429, V::Null);
        }
        let limit = self.config.value_kb * 1024.0;
        let conditions = body.get("if").list().to_vec();
        let too_large = writes.len() as u64 > self.config.txn_ops
            || conditions.len() as u64 > 4 * self.config.txn_ops
            || body.json().len() > 64 * 1024
            || writes
                .iter()
                .any(|write| write.get("data").json().len() as f64 > limit);
        if too_large {
            self.note(format!(
                "state: node {node} gets 400, transaction too large"
            ));
            return (400, map(&[("error", t("too large"))]));
        }
        for write in &writes {
            let permit = write.get("permit");
            if !permit.is_null() && !self.store.grants.contains_key(&permit.int()) {
                return (400, map(&[("error", t("no such lease"))]));
            }
        }
        let failed: Vec<V> = conditions
            .iter()
            .filter(|condition| {
                let key = condition.get("key").text();
                self.store.keys.get(key).map_or(0, |kv| kv.stamp) != condition.get("stamp").int()
            })
            .map(|condition| condition.get("key").clone())
            .collect();
        if !failed.is_empty() {
            return (
                409,
                map(&[
                    ("failed", V::List(failed)),
                    ("ledgerRev", i(self.store.rev)),
                ]),
            );
        }
        if !writes.is_empty() {
            self.store.rev += 1;
        }
        for write in &writes {
            let drop = write.get("drop");
            if !drop.is_null() {
                if self.store.keys.remove(drop.text()).is_some() {
                    self.push_change(drop.text(), None);
                }
                continue;
            }
            let key = write.get("set").text().to_string();
            let permit = write.get("permit");
            let permit = (!permit.is_null()).then(|| permit.int());
            let (data, stamp) = (write.get("data").clone(), self.store.rev);
            if key == "g/l/lease" || key == "g/l/leader" {
                let member = data.get("member").text().to_string();
                self.note(format!("state: {key} = {}", data.json()));
                if self.names.contains(&member) {
                    self.elections.push((Instant::now(), member.clone()));
                    self.tokens.insert(member, data.get("epoch").int());
                }
            }
            self.store.keys.insert(
                key.clone(),
                Kv {
                    data: data.clone(),
                    stamp,
                    permit,
                },
            );
            self.push_change(&key, Some(data));
        }
        (200, map(&[("ledgerRev", i(self.store.rev))]))
    }

    /// A machine stops with all that is on it.
    pub fn die(&mut self, name: &str) {
        if let Some(machine) = self.machines.get_mut(name) {
            machine.gone_at = Some(Instant::now());
            machine.died_at = Some(Instant::now());
            machine.tasks.clear();
        }
        self.note(format!("{name} dies"));
    }

    fn list_now(&self) -> Vec<(String, V)> {
        let now = Instant::now();
        let machines = self
            .machines
            .values()
            .filter(|machine| machine.gone_at.is_none() || machine.died_at.is_some());
        machines
            .map(|machine| {
                let has_failed = machine.died_at.is_some_and(|at| at.elapsed() > S(30.0));
                let status = match machine.endpoint {
                    _ if has_failed => "failed",
                    Some(_) => "running",
                    None => "starting",
                };
                let endpoint = machine
                    .endpoint
                    .map_or(V::Null, |endpoint| t(&endpoint.to_string()));
                let age = now.duration_since(machine.rented_at).as_secs_f64();
                let entry = map(&[
                    ("nameId", t(&machine.name)),
                    ("endpoint", endpoint),
                    ("flavor", t(&machine.flavor)),
                    ("hall", t(&machine.hall)),
                    ("loaner", V::Bool(machine.spot)),
                    ("status", t(status)),
                    ("heldS", V::Num(age)),
                ]);
                (machine.name.clone(), entry)
            })
            .collect()
    }

    fn serve_cloud(&mut self, node: usize, request: &Message) -> (u16, V) {
        if self.cloud_out {
            return (503, map(&[("error", t("trouble"))]));
        }
        let path = request.path.split('?').next().unwrap_or("");
        if path == "/flavors" {
            let flavors = self.config.flavors.iter().map(|flavor| {
                map(&[
                    ("sku", t(flavor.sku)),
                    ("cores", V::Num(flavor.cores)),
                    ("gpus", V::Num(flavor.gpus)),
                    ("memGb", V::Num(flavor.mem)),
                    ("cacheGb", V::Num(100.0)),
                    ("fetchGbPerS", V::Num(flavor.fetch)),
                    ("hourly", V::Num(flavor.hourly)),
                    ("spotPrice", V::Num(flavor.spot_price)),
                    ("bootS", V::Num(flavor.boot_s)),
                    (
                        "halls",
                        V::List(flavor.halls.iter().map(|hall| t(hall)).collect()),
                    ),
                ])
            });
            return (200, map(&[("flavors", V::List(flavors.collect()))]));
        }
        if request.method == "GET" {
            let lag = S(self.config.list_lag_s);
            let shown = self.lists.iter().rev().find(|(at, _)| at.elapsed() >= lag);
            let from = request
                .path
                .split_once("from=")
                .map_or("", |parts| parts.1.split('&').next().unwrap_or(""));
            let machines = shown.map_or(vec![], |(_, list)| list.clone());
            let machines = machines
                .into_iter()
                .filter(|(name, _)| from.is_empty() || name.as_str() > from);
            let hosts = machines.map(|(_, entry)| entry).collect();
            return (
                200,
                map(&[("hosts", V::List(hosts)), ("truncated", V::Bool(false))]),
            );
        }
        let body = decode(&request.body).unwrap_or(V::Null);
        if path == "/machines/delete" {
            let names: Vec<String> = body
                .get("hosts")
                .list()
                .iter()
                .map(|name| name.text().to_string())
                .collect();
            self.note(format!("cloud: node {node} deletes {names:?}"));
            for name in names {
                if let Some(machine) = self.machines.get_mut(&name) {
                    machine.gone_at.get_or_insert(Instant::now());
                    machine.died_at = None;
                    machine.tasks.clear();
                }
            }
            return (200, V::Map(vec![]));
        }
        let booking = body.get("booking").text().to_string();
        if let Some(answer) = self.bookings.get(&booking) {
            return answer.clone();
        }
        let (sku, hall) = (
            body.get("flavor").text().to_string(),
            body.get("hall").text().to_string(),
        );
        let spot = *body.get("loaner") == V::Bool(true);
        let Some(index) = self
            .config
            .flavors
            .iter()
            .position(|flavor| flavor.sku == sku)
        else {
            return (400, V::Null);
        };
        let flavor = self.config.flavors[index].clone();
        let used = self.machines.values().filter(|machine| {
            machine.gone_at.is_none()
                && machine.flavor == sku
                && machine.hall == hall
                && machine.spot == spot
        });
        let most = if spot { flavor.spot } else { flavor.count };
        let free = most.saturating_sub(used.count() as u64);
        let count = body.get("howMany").int().min(free);
        if count == 0 {
            return (503, map(&[("error", t("no capacity"))]));
        }
        let mut hosts = Vec::new();
        for _ in 0..count {
            let name = format!("m-{:06}", self.next_machine);
            self.next_machine += 1;
            let boot = flavor.boot_s * (0.6 + 0.9 * self.random());
            let now = Instant::now();
            hosts.push(t(&name));
            let machine = Machine {
                name: name.clone(),
                flavor: sku.clone(),
                hall: hall.clone(),
                spot,
                rented_at: now,
                up_at: now + S(boot),
                gone_at: None,
                died_at: None,
                fetch: flavor.fetch * self.config.fetch_spread[self.next_machine as usize % 2],
                endpoint: None,
                tenure: 1,
                serial: 0,
                epoch: 0,
                answered_at: now,
                hung_until: None,
                reports: Link::Open,
                commands: Link::Open,
                images: BTreeSet::new(),
                tasks: BTreeMap::new(),
                dirty: false,
            };
            self.machines.insert(name, machine);
        }
        self.note(format!(
            "cloud: node {node} rents {count} {sku} in {hall}, spot {spot}, {booking}: {}",
            V::List(hosts.clone()).json()
        ));
        let answer = (200, map(&[("hosts", V::List(hosts))]));
        self.bookings.insert(booking, answer.clone());
        answer
    }

    /// The report of a worker, with the next serial number.
    pub fn report(&mut self, name: &str) -> V {
        let Some(machine) = self.machines.get_mut(name) else {
            return V::Null;
        };
        machine.serial += 1;
        let pieces = machine.tasks.values().map(|task| {
            let mut fields = vec![
                ("piece", t(&format!("{}/{}", task.job, task.number))),
                ("try", i(task.attempt)),
                ("status", t(task.state)),
            ];
            if task.state == "ended" {
                fields.push(("cause", t(task.cause)));
                if task.cause == "stopped" {
                    fields.push(("kept", V::Bool(task.kept)));
                }
            }
            map(&fields)
        });
        let endpoint = machine
            .endpoint
            .map_or(String::new(), |endpoint| endpoint.to_string());
        map(&[
            ("host", t(&machine.name)),
            ("endpoint", t(&endpoint)),
            ("flavor", t(&machine.flavor)),
            ("hall", t(&machine.hall)),
            ("loaner", V::Bool(machine.spot)),
            ("tenure", i(machine.tenure)),
            ("serial", i(machine.serial)),
            ("epoch", i(machine.epoch)),
            ("reclaimInS", V::Null),
            ("pieces", V::List(pieces.collect())),
        ])
    }

    fn execute(&mut self, name: &str, orders: &[V], how: &str) {
        for order in orders {
            let (verb, piece) = (
                order.get("verb").text().to_string(),
                order.get("piece").text().to_string(),
            );
            let attempt = order.get("try").int();
            let Some((job, number)) = piece.rsplit_once('/') else {
                continue;
            };
            let number: u64 = number.parse().unwrap_or(0);
            let epoch = self.machines[name].epoch;
            self.note(format!(
                "{name}: {verb} {piece} try {attempt} ({how}, token {epoch}) {}",
                order.get("windDownS").json()
            ));
            match verb.as_str() {
                "start" => self.start_task(name, job, number, &piece, attempt),
                "clear" => {
                    let machine = self.machines.get_mut(name).expect("the machine");
                    let key = (piece, attempt);
                    if machine
                        .tasks
                        .get(&key)
                        .is_some_and(|task| task.state == "ended")
                    {
                        machine.tasks.remove(&key);
                        machine.dirty = true;
                    }
                }
                _ => {
                    let grace = order.get("windDownS").num();
                    let saves = self
                        .jobs
                        .get(job)
                        .is_some_and(|job| job.spec.get("snapshotEveryS").num() > 0.0);
                    let save_s = self
                        .jobs
                        .get(job)
                        .map_or(0.0, |job| job.spec.get("snapshotS").num());
                    let machine = self.machines.get_mut(name).expect("the machine");
                    if let Some(task) = machine.tasks.get_mut(&(piece, attempt)) {
                        if task.state == "running" && saves && grace >= save_s {
                            task.state = "flushing";
                            task.flush_until = Instant::now() + S(save_s);
                        } else if task.state == "ended" || (task.state == "flushing" && grace > 0.0)
                        {
                            // Nothing to do.
                        } else {
                            task.state = "ended";
                            task.cause = "stopped";
                            task.on_machine = false;
                        }
                        machine.dirty = true;
                    }
                }
            }
        }
    }

    fn start_task(&mut self, name: &str, job: &str, number: u64, piece: &str, attempt: u64) {
        let now = Instant::now();
        let known = self
            .jobs
            .get(job)
            .filter(|known| number < known.pieces())
            .cloned();
        let flavor = self.flavor(&self.machines[name].flavor.clone());
        let machine = &self.machines[name];
        if machine.tasks.contains_key(&(piece.to_string(), attempt)) {
            return;
        }
        let need = |job: &Job| {
            let spec = &job.spec;
            (
                spec.get("cores").num(),
                spec.get("gpus").num(),
                spec.get("memGb").num(),
            )
        };
        let mut free = (flavor.cores, flavor.gpus, flavor.mem);
        for task in machine.tasks.values().filter(|task| task.state != "ended") {
            if let Some(other) = self.jobs.get(&task.job) {
                let used = need(other);
                free = (free.0 - used.0, free.1 - used.1, free.2 - used.2);
            }
        }
        let mut task = Task {
            job: job.to_string(),
            number,
            attempt,
            state: "ended",
            cause: "no_such",
            kept: false,
            image_at: now,
            since: now,
            on_machine: false,
            left_s: 0.0,
            flush_until: now,
        };
        let busy = machine
            .tasks
            .values()
            .any(|task| task.job == job && task.number == number && task.state != "ended");
        if let Some(known) = &known {
            let used = need(known);
            if busy {
                task.cause = "in_use";
            } else if used.0 > free.0 + 1e-6 || used.1 > free.1 + 1e-6 || used.2 > free.2 + 1e-6 {
                task.cause = "full";
            } else {
                let bundle = known.spec.get("bundle").text();
                let fetch = if machine.images.contains(bundle) {
                    0.0
                } else {
                    known.spec.get("imageGb").num() / machine.fetch
                };
                task.state = "pulling";
                task.cause = "";
                task.image_at = now + S(fetch);
                task.left_s = (known.run_s - known.progress_s).max(0.0);
            }
        }
        if task.state == "ended" {
            self.note(format!(
                "{name}: start of {piece} try {attempt} refused: {}",
                task.cause
            ));
        }
        let machine = self.machines.get_mut(name).expect("the machine");
        machine.tasks.insert((piece.to_string(), attempt), task);
        machine.dirty = true;
    }

    fn tick_tasks(&mut self, now: Instant) {
        let names: Vec<String> = self.machines.keys().cloned().collect();
        for name in names {
            let Some(machine) = self.machines.get_mut(&name) else {
                continue;
            };
            if machine.gone_at.is_some() {
                continue;
            }
            if machine.hung_until.is_some_and(|until| now >= until) {
                machine.hung_until = None;
                machine.dirty = true;
                self.note(format!("{name} goes on"));
            }
            let machine = &self.machines[&name];
            if machine.hung_until.is_some()
                || machine.answered_at.elapsed() > S(self.config.lease_s)
            {
                continue;
            }
            let keys: Vec<(String, u64)> = machine.tasks.keys().cloned().collect();
            for key in keys {
                self.tick_task(&name, &key, now);
            }
        }
    }

    fn tick_task(&mut self, name: &str, key: &(String, u64), now: Instant) {
        let Some(task) = self
            .machines
            .get(name)
            .and_then(|machine| machine.tasks.get(key))
            .cloned()
        else {
            return;
        };
        let Some(job) = self.jobs.get(&task.job).cloned() else {
            return;
        };
        let mut next = task.clone();
        match task.state {
            "pulling" if now >= task.image_at => {
                let machine = self.machines.get_mut(name).expect("the machine");
                machine
                    .images
                    .insert(job.spec.get("bundle").text().to_string());
                next.on_machine = true;
                next.since = now;
                self.check_start(name, &task, &job);
                if job.done.contains(&task.number) {
                    (next.state, next.cause, next.on_machine) = ("ended", "done", false);
                } else if job.is_gang() && job.pieces() > 1 {
                    next.state = "gathering";
                } else {
                    next.state = "running";
                }
            }
            "gathering" => {
                let mates = self.mates(&task);
                let ready = mates
                    .iter()
                    .filter(|mate| mate.1 == "gathering" || mate.1 == "running")
                    .count() as u64;
                if ready == job.pieces() {
                    next.state = "running";
                    next.since = now;
                } else if now.duration_since(task.since) > S(self.config.gang_wait_s) {
                    (next.state, next.cause, next.on_machine) = ("ended", "alone", false);
                }
            }
            "running" => {
                let passed = now.duration_since(task.since).as_secs_f64();
                if job.done.contains(&task.number) || passed >= task.left_s {
                    (next.state, next.cause, next.on_machine) = ("ended", "done", false);
                    let known = self.jobs.get_mut(&task.job).expect("the job");
                    if job.is_gang() {
                        known.done.extend(0..job.pieces());
                    } else {
                        known.done.insert(task.number);
                    }
                    self.note(format!("{name}: {} try {} done", key.0, key.1));
                } else if job.is_gang() && (self.mates(&task).len() as u64) < job.pieces() {
                    if next.flush_until <= next.since {
                        next.flush_until = now + S(self.config.gang_peer_s);
                    } else if now >= next.flush_until {
                        (next.state, next.cause, next.on_machine) = ("ended", "mates_gone", false);
                    }
                }
            }
            "flushing" if now >= task.flush_until => {
                let passed = now.duration_since(task.since).as_secs_f64();
                (next.state, next.cause, next.on_machine) = ("ended", "stopped", false);
                next.kept = true;
                if job.pieces() == 1 {
                    let known = self.jobs.get_mut(&task.job).expect("the job");
                    known.progress_s = (known.progress_s + passed).min(known.run_s);
                }
            }
            _ => return,
        }
        let machine = self.machines.get_mut(name).expect("the machine");
        machine.dirty |= next.state != task.state;
        machine.tasks.insert(key.clone(), next);
    }

    /// The live tasks of a gang's attempt on all machines: (machine, state).
    fn mates(&self, task: &Task) -> Vec<(String, &'static str)> {
        let mut mates = Vec::new();
        for machine in self
            .machines
            .values()
            .filter(|machine| machine.gone_at.is_none())
        {
            for other in machine.tasks.values() {
                if other.job == task.job
                    && other.attempt == task.attempt
                    && other.on_machine
                    && machine.hung_until.is_none()
                {
                    mates.push((machine.name.clone(), other.state));
                }
            }
        }
        mates
    }

    /// The rules that hold when a task starts, that is, when it has its image.
    fn check_start(&mut self, name: &str, task: &Task, job: &Job) {
        let piece = format!("{}/{}", task.job, task.number);
        let machine = &self.machines[name];
        let (flavor, hall, spot) = (machine.flavor.clone(), machine.hall.clone(), machine.spot);
        self.note(format!("{name}: {piece} try {} starts", task.attempt));
        if let Some(known) = self.jobs.get_mut(&task.job) {
            known.starts += 1;
        }
        let others = self.on_machines(&task.job);
        for (other, number) in &others {
            if *number == task.number && other != name {
                self.breaks(
                    "ran_twice",
                    format!("{piece} starts on {name} while it is on {other}"),
                );
            }
        }
        let spec = &job.spec;
        let flavors = spec.get("flavors");
        let allowed = flavors.is_null() || flavors.list().iter().any(|item| item.text() == flavor);
        let hall_fits = spec.get("hall").is_null() || spec.get("hall").text() == hall;
        let kind_fits = !spot || *spec.get("loaner") == V::Bool(true);
        let halls: Vec<String> = others
            .iter()
            .filter(|(other, number)| !(other == name && *number == task.number))
            .map(|(other, _)| self.machines[other].hall.clone())
            .collect();
        let together =
            *spec.get("samePlace") != V::Bool(true) || halls.iter().all(|other| *other == hall);
        let same = halls.iter().filter(|other| **other == hall).count() as u64 + 1;
        let spread = *spec.get("scatter") != V::Bool(true) || same <= job.pieces().div_ceil(2);
        if !(allowed && hall_fits && kind_fits && together && spread) {
            self.breaks(
                "wrong_place",
                format!(
                    "{piece} starts on {name} ({flavor}, {hall}, spot {spot}); others in {halls:?}"
                ),
            );
        }
        for needed in spec.get("waitsOn").list() {
            let all_done = self
                .jobs
                .get(needed.text())
                .is_some_and(|other| other.done.len() as u64 == other.pieces());
            if !all_done {
                self.breaks(
                    "too_early",
                    format!("{piece} starts before {} is done", needed.text()),
                );
            }
        }
        if let Some(told) = job.told_cancelled {
            if told.elapsed() > S(self.config.cancel_s) {
                self.breaks(
                    "ran_cancelled",
                    format!(
                        "{piece} starts {:.1} s after its user was told that it is cancelled",
                        told.elapsed().as_secs_f64()
                    ),
                );
            } else if told.elapsed() > S(3.0) {
                self.note(format!(
                    "NOTE {piece} starts {:.1} s after the confirmed cancellation",
                    told.elapsed().as_secs_f64()
                ));
            }
        }
        self.check_quota(
            spec.get("owner").text().to_string(),
            (spec.get("cores").num(), spec.get("gpus").num()),
            &piece,
        );
    }

    fn check_quota(&mut self, team: String, own: (f64, f64), piece: &str) {
        let Some((_, _, cpus_max, _, gpus_max)) = self
            .config
            .teams
            .iter()
            .find(|known| known.0 == team)
            .copied()
        else {
            return;
        };
        let (mut cores, mut gpus) = own;
        for machine in self
            .machines
            .values()
            .filter(|machine| machine.gone_at.is_none())
        {
            for task in machine.tasks.values().filter(|task| task.on_machine) {
                if let Some(job) = self
                    .jobs
                    .get(&task.job)
                    .filter(|job| job.spec.get("owner").text() == team)
                {
                    cores += job.spec.get("cores").num();
                    gpus += job.spec.get("gpus").num();
                }
            }
        }
        if (cpus_max > 0.0 && cores > cpus_max + 1e-6) || (gpus_max > 0.0 && gpus > gpus_max + 1e-6)
        {
            self.breaks(
                "quota",
                format!("team {team} uses {cores} cores and {gpus} gpus with {piece}"),
            );
        }
    }

    fn check_cancelled(&mut self, _now: Instant) {
        let limit = S(self.config.cancel_s);
        let late: Vec<String> = self
            .jobs
            .iter()
            .filter(|(_, job)| {
                job.told_cancelled
                    .is_some_and(|told| told.elapsed() > limit)
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in late {
            let left = self.on_machines(&id);
            if !left.is_empty()
                && !self
                    .broken
                    .iter()
                    .any(|(rule, text)| rule == "ran_cancelled" && text.contains(&id))
            {
                self.breaks("ran_cancelled", format!("{id}: tasks {left:?} are on machines more than cancel_s after the user was told"));
            }
        }
    }
}
