//! The cloud, the machines with their workers, and the rules that are checked on them.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crate::random;
use crate::wire::{encode, map, read_message, serve, write_request, Message, Value};

/// The settings that workers and the platform share.
#[derive(Clone)]
pub struct Times {
    pub report_s: f64,
    pub lease_s: f64,
    pub gang_wait_s: f64,
    pub gang_peer_s: f64,
    pub cancel_s: f64,
    pub list_lag_s: f64,
}

/// A machine type, and how many machines of each zone and kind there are.
#[derive(Clone)]
pub struct Flavor {
    pub name: &'static str,
    pub cores: f64,
    pub gpus: f64,
    pub mem: f64,
    pub hourly: f64,
    pub spot: f64,
    /// The nominal boot time, as published.
    pub boot_s: f64,
    pub halls: Vec<&'static str>,
}

/// A job as its user submits it.
#[derive(Clone)]
pub struct Spec {
    pub id: String,
    pub gang: bool,
    pub urgency: &'static str,
    pub owner: &'static str,
    pub pieces: u64,
    pub cores: f64,
    pub gpus: f64,
    pub mem: f64,
    pub image: String,
    pub image_gb: f64,
    pub flavors: Option<Vec<&'static str>>,
    pub hall: Option<&'static str>,
    pub same_place: bool,
    pub scatter: bool,
    pub loaner: bool,
    pub run_s: f64,
    pub snapshot_every_s: f64,
    pub snapshot_s: f64,
    pub waits_on: Vec<String>,
}

impl Spec {
    /// An array of single tasks that runs anywhere.
    pub fn sweep(id: &str, pieces: u64, cores: f64, run_s: f64) -> Spec {
        Spec {
            id: id.into(),
            gang: false,
            urgency: "normal",
            owner: "line-vision",
            pieces,
            cores,
            gpus: 0.0,
            mem: 1.0,
            image: "img-01".into(),
            image_gb: 0.2,
            flavors: None,
            hall: None,
            same_place: false,
            scatter: false,
            loaner: false,
            run_s,
            snapshot_every_s: 0.0,
            snapshot_s: 0.0,
            waits_on: vec![],
        }
    }

    pub fn body(&self) -> Value {
        let names = |list: &[&str]| Value::Array(list.iter().map(|n| (*n).into()).collect());
        let waits: Vec<Value> = self.waits_on.iter().map(|id| id.as_str().into()).collect();
        let mut body = map([
            ("nameId", self.id.as_str().into()),
            ("jobclass", "train".into()),
            ("owner", self.owner.into()),
            ("shape", if self.gang { "group" } else { "sweep" }.into()),
            ("urgency", self.urgency.into()),
            ("pieces", self.pieces.into()),
            ("cores", self.cores.into()),
            ("gpus", self.gpus.into()),
            ("memGb", self.mem.into()),
            ("bundle", self.image.as_str().into()),
            ("imageGb", self.image_gb.into()),
            (
                "flavors",
                self.flavors.as_deref().map_or(Value::Null, names),
            ),
            ("hall", self.hall.map_or(Value::Null, Value::from)),
            ("samePlace", self.same_place.into()),
            ("scatter", self.scatter.into()),
            ("loaner", self.loaner.into()),
            ("expectedS", self.run_s.into()),
            ("snapshotEveryS", self.snapshot_every_s.into()),
            ("snapshotS", self.snapshot_s.into()),
            ("dueS", Value::Null),
        ]);
        if let (Value::Map(fields), false) = (&mut body, waits.is_empty()) {
            fields.push(("waitsOn".into(), waits.into()));
        }
        body
    }
}

/// What is true of a job, and what its user was told.
pub struct Job {
    pub spec: Spec,
    pub done: BTreeSet<u64>,
    pub done_at: Option<Instant>,
    pub started: BTreeSet<u64>,
    /// How often a task of it was started.
    pub starts: u64,
    pub cancel_asked: bool,
    pub told_accepted: Option<Instant>,
    pub told_withdrawn: Option<Instant>,
    pub told_done: Option<Instant>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum TaskState {
    Pulling(Instant),
    Gathering(Instant),
    Running { since: Instant, left: f64 },
    Flushing(Instant),
    Ended(&'static str, bool),
}

#[derive(Clone, Debug)]
pub struct Task {
    pub job: String,
    pub piece: u64,
    pub attempt: u64,
    pub state: TaskState,
}

impl Task {
    pub fn name(&self) -> String {
        format!("{}/{}", self.job, self.piece)
    }
    fn is_live(&self) -> bool {
        !matches!(self.state, TaskState::Ended(..))
    }
    /// Whether the task has its image and has not exited.
    fn is_on(&self) -> bool {
        self.is_live() && !matches!(self.state, TaskState::Pulling(_))
    }
}

pub struct Machine {
    pub endpoint: SocketAddr,
    pub flavor: String,
    pub hall: String,
    pub loaner: bool,
    pub rented: Instant,
    pub up_at: Instant,
    pub is_up: bool,
    pub is_gone: bool,
    pub gone_at: Option<Instant>,
    pub tenure: u64,
    pub serial: u64,
    pub epoch: u64,
    pub lease_from: Instant,
    pub tasks: Vec<Task>,
    pub images: BTreeSet<String>,
    pub changed: bool,
    pub hung_until: Option<Instant>,
    /// Reports reach no controller.
    pub mute: bool,
    /// Whatever goes to or from the machine is held until then, and then delivered.
    pub cut_until: Option<Instant>,
    /// When the cloud takes the machine away, and whether the worker knows.
    pub taken_at: Option<(Instant, bool)>,
    /// Answers to reports and direct commands are lost.
    pub deaf_until: Option<Instant>,
    /// Every task that starts fails.
    pub sick: bool,
}

/// What is wrong with the platform.
#[derive(Clone, Default)]
pub struct WorldFaults {
    pub cloud_down: bool,
    /// Share of direct commands that are carried out late and not answered.
    pub late_orders: f64,
    /// Share of reports of which a copy arrives again later.
    pub late_reports: f64,
}

pub struct State {
    pub times: Times,
    pub flavors: Vec<Flavor>,
    pub capacity: usize,
    /// Machines of each type, zone and kind (spot or ordinary); `None` if only their sum is limited.
    pub capacity_of: Option<Vec<(&'static str, &'static str, bool, usize)>>,
    pub actual_boot_s: (f64, f64),
    pub machines: BTreeMap<String, Machine>,
    pub bookings: HashMap<String, Vec<String>>,
    pub jobs: BTreeMap<String, Job>,
    /// The limits of teams: cores and GPUs.
    pub limits: HashMap<String, (f64, f64)>,
    pub violations: Vec<String>,
    pub faults: WorldFaults,
    /// Direct starts: the machine, its address and the request's body.
    pub starts: Vec<(String, SocketAddr, Vec<u8>, Value)>,
    pub rentals: Vec<Value>,
    fronts: Vec<SocketAddr>,
    members: Vec<String>,
    incomplete: HashMap<(String, u64), Instant>,
}

#[derive(Clone)]
pub struct World(Arc<Mutex<State>>);

fn is_hung(machine: &Machine) -> bool {
    machine
        .hung_until
        .is_some_and(|until| Instant::now() < until)
}

impl World {
    pub fn new(times: Times, flavors: Vec<Flavor>, capacity: usize) -> World {
        let world = World(Arc::new(Mutex::new(State {
            times,
            flavors,
            capacity,
            capacity_of: None,
            actual_boot_s: (1.0, 2.0),
            machines: BTreeMap::new(),
            bookings: HashMap::new(),
            jobs: BTreeMap::new(),
            limits: HashMap::new(),
            violations: vec![],
            faults: WorldFaults::default(),
            starts: vec![],
            rentals: vec![],
            fronts: vec![],
            members: vec![],
            incomplete: HashMap::new(),
        })));
        let own = world.clone();
        std::thread::spawn(move || loop {
            std::thread::sleep(Duration::from_millis(10));
            own.tick();
        });
        world
    }

    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().expect("lock")
    }

    pub fn set_fronts(&self, members: Vec<String>, fronts: Vec<SocketAddr>) {
        let mut state = self.lock();
        state.members = members;
        state.fronts = fronts;
    }

    pub fn serve_cloud(&self) -> SocketAddr {
        let world = self.clone();
        serve(move |request| {
            std::thread::sleep(Duration::from_millis(30));
            Some(world.cloud(request))
        })
    }

    fn cloud(&self, request: &Message) -> (u16, Vec<u8>) {
        let mut state = self.lock();
        if state.faults.cloud_down {
            return (503, encode(&map([("error", "trouble".into())])));
        }
        match (request.method.as_str(), request.route()) {
            ("GET", "/flavors") => {
                let names = |l: &[&str]| Value::Array(l.iter().map(|n| (*n).into()).collect());
                let all = state.flavors.iter().map(|f| {
                    map([
                        ("sku", f.name.into()),
                        ("cores", f.cores.into()),
                        ("gpus", f.gpus.into()),
                        ("memGb", f.mem.into()),
                        ("cacheGb", 100.0.into()),
                        ("fetchGbPerS", 0.4.into()),
                        ("hourly", f.hourly.into()),
                        ("spotPrice", f.spot.into()),
                        ("bootS", f.boot_s.into()),
                        ("halls", names(&f.halls)),
                    ])
                });
                let all: Vec<Value> = all.collect();
                (200, encode(&map([("flavors", all.into())])))
            }
            ("GET", "/machines") => (200, encode(&state.list(request))),
            ("POST", "/machines") => {
                let order = request.value();
                let key = order.str_of("booking");
                if !state.bookings.contains_key(&key) {
                    let names = self.rent(&mut state, &order);
                    if names.is_empty() {
                        crate::log(format!("cloud: {} -> 503 no capacity", order.show()));
                        return (503, encode(&map([("error", "no capacity".into())])));
                    }
                    crate::log(format!("cloud: {} -> 200 {names:?}", order.show()));
                    state.bookings.insert(key.clone(), names);
                }
                let names: Vec<Value> = state.bookings[&key]
                    .iter()
                    .map(|n| n.as_str().into())
                    .collect();
                (200, encode(&map([("hosts", names.into())])))
            }
            ("POST", "/machines/delete") => {
                let names = request.value();
                crate::log(format!("cloud: delete {}", names.show()));
                let empty = Value::Array(vec![]);
                for name in names.get("hosts").unwrap_or(&empty).list() {
                    state.remove(name.text().unwrap_or(""));
                }
                (200, vec![])
            }
            _ => (400, vec![]),
        }
    }

    fn rent(&self, state: &mut State, order: &Value) -> Vec<String> {
        state.rentals.push(order.clone());
        let loaner = order.get("loaner") == Some(&Value::Bool(true));
        let (flavor, hall) = (order.str_of("flavor"), order.str_of("hall"));
        let most = state.capacity_of.as_ref().map(|capacity| {
            capacity
                .iter()
                .find(|c| c.0 == flavor && c.1 == hall && c.2 == loaner)
                .map_or(0, |c| c.3)
        });
        let mut names = Vec::new();
        for _ in 0..order.int_of("howMany").min(50) {
            let present = state.machines.values().filter(|m| !m.is_gone).count();
            let is_same = |m: &&Machine| {
                !m.is_gone && m.flavor == flavor && m.hall == hall && m.loaner == loaner
            };
            let same = state.machines.values().filter(is_same).count();
            if present >= state.capacity || most.is_some_and(|most| same >= most) {
                break;
            }
            let name = format!("m-{:06}", state.machines.len());
            let world = self.clone();
            let own = name.clone();
            let endpoint = serve(move |request| world.direct(&own, request));
            let (least, most) = state.actual_boot_s;
            let boot = Duration::from_secs_f64(least + (most - least) * random());
            let now = Instant::now();
            let machine = Machine {
                endpoint,
                flavor: order.str_of("flavor"),
                hall: order.str_of("hall"),
                loaner,
                rented: now,
                up_at: now + boot,
                is_up: false,
                is_gone: false,
                gone_at: None,
                tenure: 1,
                serial: 0,
                epoch: 0,
                lease_from: now + boot,
                tasks: vec![],
                images: BTreeSet::new(),
                changed: false,
                hung_until: None,
                mute: false,
                deaf_until: None,
                cut_until: None,
                taken_at: None,
                sick: false,
            };
            state.machines.insert(name.clone(), machine);
            let (world, own) = (self.clone(), name.clone());
            std::thread::spawn(move || world.report_loop(&own));
            names.push(name);
        }
        names
    }

    /// Handles a request on the worker's own address. A hanging machine answers when it goes on.
    fn direct(&self, name: &str, request: &Message) -> Option<(u16, Vec<u8>)> {
        if self.is_deaf(name) {
            std::thread::sleep(Duration::from_secs(3));
            return None;
        }
        if request.route() == "/orders" {
            let late = self.lock().faults.late_orders;
            let is_late = random() < late;
            let has_start = request.value().show().contains("\"start\"");
            if has_start {
                let mut state = self.lock();
                let endpoint = state.machines[name].endpoint;
                state
                    .starts
                    .push((name.into(), endpoint, request.body.clone(), request.value()));
            }
            if is_late {
                let wait = 2.0 + 14.0 * random();
                crate::log(format!(
                    "{name}: held for {wait:.1}s: {}",
                    request.value().show()
                ));
                std::thread::sleep(Duration::from_secs_f64(wait));
            }
            let is_late = self.wait_while_cut(name) || is_late;
            self.wait_while_hung(name)?;
            let reply = self.lock().orders(name, &request.value())?;
            return (!is_late).then_some(reply);
        }
        self.wait_while_hung(name)?;
        let mut state = self.lock();
        let report = state.report(name)?;
        Some((200, encode(&report)))
    }

    fn cut_for(&self, name: &str) -> Duration {
        let state = self.lock();
        let until = state.machines.get(name).and_then(|m| m.cut_until);
        until.map_or(Duration::ZERO, |until| {
            until.saturating_duration_since(Instant::now())
        })
    }

    /// Waits until the machine is no longer cut off; returns whether it was.
    fn wait_while_cut(&self, name: &str) -> bool {
        let span = self.cut_for(name);
        std::thread::sleep(span);
        !span.is_zero()
    }

    fn is_deaf(&self, name: &str) -> bool {
        let state = self.lock();
        let until = state.machines.get(name).and_then(|m| m.deaf_until);
        until.is_some_and(|until| Instant::now() < until)
    }

    /// `None` once the machine is gone, or if it is not up.
    fn wait_while_hung(&self, name: &str) -> Option<()> {
        loop {
            {
                let state = self.lock();
                let machine = state.machines.get(name).filter(|m| m.is_up && !m.is_gone)?;
                if !is_hung(machine) {
                    return Some(());
                }
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    fn report_loop(&self, name: &str) {
        let (report_s, fronts, members) = {
            let state = self.lock();
            (
                state.times.report_s,
                state.fronts.clone(),
                state.members.clone(),
            )
        };
        let mut to = (random() * fronts.len() as f64) as usize;
        let mut socket: Option<TcpStream> = None;
        let mut last = Instant::now() - Duration::from_secs(60);
        let mut interval = Duration::ZERO;
        loop {
            std::thread::sleep(Duration::from_millis(10));
            let (body, mute, tenure, copies) = {
                let mut state = self.lock();
                let Some(machine) = state.machines.get_mut(name) else {
                    return;
                };
                if machine.is_gone {
                    return;
                }
                let is_due = last.elapsed() >= interval
                    || (machine.changed && last.elapsed() >= Duration::from_millis(500));
                if !machine.is_up || is_hung(machine) || !is_due {
                    continue;
                }
                machine.changed = false;
                let (mute, tenure) = (machine.mute, machine.tenure);
                let copies = random() < state.faults.late_reports;
                let Some(report) = state.report(name) else {
                    return;
                };
                (encode(&report), mute, tenure, copies)
            };
            if copies {
                let (body, fronts) = (body.clone(), fronts.clone());
                let wait = 2.0 + 30.0 * random();
                std::thread::spawn(move || {
                    std::thread::sleep(Duration::from_secs_f64(wait));
                    for front in fronts {
                        let _ = crate::wire::call(
                            front,
                            "POST",
                            "/checkin",
                            &body,
                            Duration::from_secs(1),
                        );
                    }
                });
            }
            let sent = Instant::now();
            last = sent;
            interval = Duration::from_secs_f64(report_s * (0.75 + 0.5 * random()));
            let cut = self.cut_for(name);
            let reply = if !cut.is_zero() {
                let (body, front) = (body.clone(), fronts[to]);
                std::thread::spawn(move || {
                    std::thread::sleep(cut);
                    let _ =
                        crate::wire::call(front, "POST", "/checkin", &body, Duration::from_secs(1));
                });
                std::thread::sleep(Duration::from_secs(4));
                None
            } else if mute {
                std::thread::sleep(Duration::from_secs(4));
                None
            } else {
                exchange(&mut socket, fronts[to], &body)
            };
            // A machine that hung meanwhile looks at the answer when it goes on.
            if self.wait_while_hung(name).is_none() {
                return;
            }
            if self.is_deaf(name) {
                std::thread::sleep(Duration::from_secs(4).saturating_sub(sent.elapsed()));
            }
            let reply = reply.filter(|_| sent.elapsed() < Duration::from_secs(4));
            match reply {
                Some(reply) if reply.status == 200 => {
                    let mut state = self.lock();
                    state.apply_reply(name, &reply.value(), sent, tenure);
                }
                Some(reply) if reply.status == 421 => {
                    socket = None;
                    let named = reply.value().str_of("reportsTo");
                    match members.iter().position(|member| *member == named) {
                        Some(other) if other != to => {
                            to = other;
                            std::thread::sleep(Duration::from_secs_f64(0.3 * random()));
                            interval = Duration::ZERO;
                        }
                        _ => {
                            std::thread::sleep(Duration::from_secs(1));
                            to = (to + 1) % fronts.len();
                            interval = Duration::ZERO;
                        }
                    }
                }
                _ => {
                    socket = None;
                    std::thread::sleep(Duration::from_secs(1));
                    to = (to + 1) % fronts.len();
                    interval = Duration::ZERO;
                }
            }
        }
    }

    fn tick(&self) {
        let mut state = self.lock();
        let names: Vec<String> = state.machines.keys().cloned().collect();
        let now = Instant::now();
        state.find_incomplete(now);
        for name in names {
            state.tick_machine(&name, now);
        }
        state.check_gangs(now);
        state.check_cancelled(now);
    }
}

/// Sends a report on a kept connection; waits 4 s for the answer.
fn exchange(socket: &mut Option<TcpStream>, to: SocketAddr, body: &[u8]) -> Option<Message> {
    let deadline = Instant::now() + Duration::from_secs(4);
    if socket.is_none() {
        let new = TcpStream::connect_timeout(&to, Duration::from_secs(4)).ok()?;
        let _ = new.set_nodelay(true);
        *socket = Some(new);
    }
    let stream = socket.as_mut()?;
    write_request(stream, "POST", "/checkin", body)?;
    let reply = read_message(stream, Some(deadline))?;
    if reply.closes {
        *socket = None;
    }
    Some(reply)
}

impl State {
    pub fn violate(&mut self, text: String) {
        if !self.violations.contains(&text) {
            crate::log(format!("RULE BROKEN: {text}"));
            self.violations.push(text);
        }
    }

    fn list(&self, request: &Message) -> Value {
        let from = request.query("from").unwrap_or("");
        let most: usize = request
            .query("most")
            .and_then(|v| v.parse().ok())
            .unwrap_or(500);
        let lag = Duration::from_secs_f64(self.times.list_lag_s);
        let as_of = Instant::now().checked_sub(lag).unwrap_or(Instant::now());
        let shown = self.machines.iter().filter(|(name, machine)| {
            name.as_str() > from
                && machine.rented <= as_of
                && machine.gone_at.is_none_or(|at| at > as_of)
        });
        let all: Vec<Value> = shown
            .map(|(name, m)| {
                map([
                    ("nameId", name.as_str().into()),
                    ("endpoint", m.endpoint.to_string().into()),
                    ("flavor", m.flavor.as_str().into()),
                    ("hall", m.hall.as_str().into()),
                    ("loaner", m.loaner.into()),
                    (
                        "status",
                        if m.up_at <= as_of {
                            "running"
                        } else {
                            "starting"
                        }
                        .into(),
                    ),
                    ("heldS", as_of.duration_since(m.rented).as_secs_f64().into()),
                ])
            })
            .collect();
        let truncated = all.len() > most;
        let page: Vec<Value> = all.into_iter().take(most).collect();
        map([("hosts", page.into()), ("truncated", truncated.into())])
    }

    /// The machine and everything on it are gone.
    pub fn remove(&mut self, name: &str) {
        if let Some(machine) = self.machines.get_mut(name) {
            machine.is_gone = true;
            machine.gone_at.get_or_insert(Instant::now());
            machine.tasks.clear();
        }
    }

    fn report(&mut self, name: &str) -> Option<Value> {
        let machine = self.machines.get_mut(name)?;
        machine.serial += 1;
        let tasks = machine.tasks.iter().map(|task| {
            let (status, cause, kept) = match &task.state {
                TaskState::Pulling(_) => ("pulling", None, false),
                TaskState::Gathering(_) => ("gathering", None, false),
                TaskState::Running { .. } => ("running", None, false),
                TaskState::Flushing(_) => ("flushing", None, false),
                TaskState::Ended(cause, kept) => ("ended", Some(*cause), *kept),
            };
            let mut fields = vec![
                ("piece".into(), task.name().into()),
                ("try".into(), task.attempt.into()),
                ("status".into(), status.into()),
            ];
            if let Some(cause) = cause {
                fields.push(("cause".into(), cause.into()));
                if kept {
                    fields.push(("kept".into(), true.into()));
                }
            }
            Value::Map(fields)
        });
        let tasks: Vec<Value> = tasks.collect();
        let reclaim = match machine.taken_at {
            Some((at, true)) => at
                .saturating_duration_since(Instant::now())
                .as_secs_f64()
                .into(),
            _ => Value::Null,
        };
        Some(map([
            ("host", name.into()),
            ("endpoint", machine.endpoint.to_string().into()),
            ("flavor", machine.flavor.as_str().into()),
            ("hall", machine.hall.as_str().into()),
            ("loaner", machine.loaner.into()),
            ("tenure", machine.tenure.into()),
            ("serial", machine.serial.into()),
            ("epoch", machine.epoch.into()),
            ("reclaimInS", reclaim),
            ("pieces", tasks.into()),
        ]))
    }

    /// An answer to a report: dropped with a lower token or from an earlier session.
    fn apply_reply(&mut self, name: &str, reply: &Value, sent: Instant, tenure: u64) {
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        let epoch = reply.get("epoch").and_then(Value::int);
        let Some(epoch) = epoch.filter(|e| *e >= machine.epoch && machine.tenure == tenure) else {
            return;
        };
        machine.lease_from = machine.lease_from.max(sent);
        if epoch > machine.epoch {
            machine.epoch = epoch;
            machine.changed = true;
        }
        let empty = Value::Array(vec![]);
        for order in reply.get("orders").unwrap_or(&empty).list() {
            self.execute(name, order, "answer");
        }
    }

    /// Direct commands.
    pub fn orders(&mut self, name: &str, request: &Value) -> Option<(u16, Vec<u8>)> {
        let machine = self
            .machines
            .get_mut(name)
            .filter(|m| m.is_up && !m.is_gone)?;
        let epoch = request.get("epoch").and_then(Value::int);
        let tenure = request.get("tenure").and_then(Value::int);
        let (Some(epoch), Some(tenure)) = (epoch, tenure) else {
            return Some((400, vec![]));
        };
        if epoch < machine.epoch || tenure != machine.tenure {
            crate::log(format!("{name}: refused with 409: {}", request.show()));
            let report = self.report(name)?;
            return Some((409, encode(&report)));
        }
        if epoch > machine.epoch {
            machine.epoch = epoch;
            machine.changed = true;
        }
        let empty = Value::Array(vec![]);
        for order in request.get("orders").unwrap_or(&empty).list() {
            self.execute(name, order, "direct");
        }
        let report = self.report(name)?;
        Some((200, encode(&report)))
    }

    fn execute(&mut self, name: &str, order: &Value, by: &str) {
        let piece = order.str_of("piece");
        let attempt = order.int_of("try");
        let Some((job, number)) = piece.rsplit_once('/') else {
            return;
        };
        let number: u64 = number.parse().unwrap_or(u64::MAX);
        crate::log(format!("{name}: {by}: {}", order.show()));
        let now = Instant::now();
        let spec = self.jobs.get(job).map(|job| job.spec.clone());
        let total = self
            .flavors
            .iter()
            .find(|f| f.name == self.machines[name].flavor)
            .cloned();
        let jobs = &self.jobs;
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        let same = machine
            .tasks
            .iter()
            .position(|t| t.name() == piece && t.attempt == attempt);
        match order.str_of("verb").as_str() {
            "start" => {
                if same.is_some() {
                    return;
                }
                machine.changed = true;
                let used = |f: fn(&Spec) -> f64| -> f64 {
                    let live = machine.tasks.iter().filter(|t| t.is_live());
                    live.filter_map(|t| jobs.get(&t.job))
                        .map(|j| f(&j.spec))
                        .sum()
                };
                let refusal = match (&spec, &total) {
                    (None, _) => Some("no_such"),
                    (Some(spec), _) if number >= spec.pieces => Some("no_such"),
                    _ if machine
                        .tasks
                        .iter()
                        .any(|t| t.name() == piece && t.is_live()) =>
                    {
                        Some("in_use")
                    }
                    (Some(spec), Some(total))
                        if used(|s| s.cores) + spec.cores > total.cores + 1e-6
                            || used(|s| s.gpus) + spec.gpus > total.gpus + 1e-6
                            || used(|s| s.mem) + spec.mem > total.mem + 1e-6 =>
                    {
                        Some("full")
                    }
                    _ => None,
                };
                let state = match (refusal, spec) {
                    (Some(cause), _) => TaskState::Ended(cause, false),
                    (None, Some(spec)) if machine.images.contains(&spec.image) => {
                        TaskState::Pulling(now)
                    }
                    (None, spec) => {
                        let gb = spec.map_or(0.0, |spec| spec.image_gb);
                        TaskState::Pulling(now + Duration::from_secs_f64(gb / 0.4))
                    }
                };
                machine.tasks.push(Task {
                    job: job.into(),
                    piece: number,
                    attempt,
                    state,
                });
            }
            "stop" => {
                let Some(index) = same else { return };
                let grace = order.get("windDownS").and_then(Value::num).unwrap_or(0.0);
                let spec = spec.as_ref();
                let task = &mut machine.tasks[index];
                machine.changed = true;
                let saves = spec.is_some_and(|s| s.snapshot_every_s > 0.0 && grace >= s.snapshot_s);
                task.state = match (&task.state, spec) {
                    (TaskState::Running { .. }, Some(spec)) if saves => {
                        TaskState::Flushing(now + Duration::from_secs_f64(spec.snapshot_s))
                    }
                    (TaskState::Flushing(until), _) if grace > 0.0 => TaskState::Flushing(*until),
                    (TaskState::Ended(cause, kept), _) => TaskState::Ended(cause, *kept),
                    _ => TaskState::Ended("stopped", false),
                };
            }
            "clear" => {
                machine
                    .tasks
                    .retain(|t| !(t.name() == piece && t.attempt == attempt) || t.is_live());
            }
            _ => {}
        }
    }

    /// Gangs that run and lack a task, and since when.
    fn find_incomplete(&mut self, now: Instant) {
        let mut running: HashMap<(String, u64), u64> = HashMap::new();
        for machine in self.machines.values().filter(|m| !is_hung(m)) {
            for task in &machine.tasks {
                if matches!(
                    task.state,
                    TaskState::Running { .. } | TaskState::Flushing(_)
                ) {
                    *running.entry((task.job.clone(), task.attempt)).or_insert(0) += 1;
                }
            }
        }
        running.retain(|(job, _), count| {
            self.jobs
                .get(job)
                .is_some_and(|j| j.spec.gang && *count < j.spec.pieces)
        });
        self.incomplete.retain(|gang, _| running.contains_key(gang));
        for gang in running.into_keys() {
            self.incomplete.entry(gang).or_insert(now);
        }
    }

    /// Starts gangs of which every task waits.
    fn check_gangs(&mut self, now: Instant) {
        let mut waiting: HashMap<(String, u64), u64> = HashMap::new();
        for machine in self.machines.values() {
            for task in &machine.tasks {
                if matches!(task.state, TaskState::Gathering(_)) {
                    *waiting.entry((task.job.clone(), task.attempt)).or_insert(0) += 1;
                }
            }
        }
        for ((id, attempt), count) in waiting {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            if count < job.spec.pieces {
                continue;
            }
            let left = job.spec.run_s;
            for machine in self.machines.values_mut() {
                for task in &mut machine.tasks {
                    let waits = matches!(task.state, TaskState::Gathering(_));
                    if task.job == id && task.attempt == attempt && waits {
                        task.state = TaskState::Running { since: now, left };
                        machine.changed = true;
                    }
                }
            }
        }
    }

    fn tick_machine(&mut self, name: &str, now: Instant) {
        let lease = Duration::from_secs_f64(self.times.lease_s);
        let (gang_wait, gang_peer) = (self.times.gang_wait_s, self.times.gang_peer_s);
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        if machine.is_gone || is_hung(machine) {
            return;
        }
        if !machine.is_up {
            machine.is_up = now >= machine.up_at;
            return;
        }
        if now > machine.lease_from + lease {
            crate::log(format!(
                "{name}: lease over, {} tasks killed",
                machine.tasks.len()
            ));
            machine.tasks.clear();
            machine.tenure += 1;
            machine.lease_from = now;
            machine.changed = true;
        }
        if machine.taken_at.is_some_and(|(at, _)| now >= at) {
            crate::log(format!("{name}: taken by the cloud"));
            self.remove(name);
            return;
        }
        let sick = machine.sick;
        let mut begun = Vec::new();
        let mut done = Vec::new();
        for task in &mut machine.tasks {
            let Some(job) = self.jobs.get(&task.job) else {
                continue;
            };
            let lost = self.incomplete.get(&(task.job.clone(), task.attempt));
            let lost = lost.is_some_and(|at| at.elapsed().as_secs_f64() > gang_peer);
            let was_done = job.done.contains(&task.piece);
            let next = match &task.state {
                TaskState::Pulling(until) if now >= *until => {
                    machine.images.insert(job.spec.image.clone());
                    if was_done {
                        TaskState::Ended("done", false)
                    } else if job.spec.gang {
                        begun.push(task.clone());
                        TaskState::Gathering(now)
                    } else {
                        begun.push(task.clone());
                        TaskState::Running {
                            since: now,
                            left: job.spec.run_s,
                        }
                    }
                }
                TaskState::Gathering(since) if since.elapsed().as_secs_f64() > gang_wait => {
                    TaskState::Ended("alone", false)
                }
                TaskState::Running { .. } if sick => TaskState::Ended("error", false),
                TaskState::Running { .. } if lost => TaskState::Ended("mates_gone", false),
                TaskState::Running { since, left } if since.elapsed().as_secs_f64() > *left => {
                    done.push(task.clone());
                    TaskState::Ended("done", false)
                }
                TaskState::Flushing(until) if now >= *until => TaskState::Ended("stopped", true),
                _ => continue,
            };
            machine.changed = true;
            task.state = next;
        }
        for task in begun {
            self.check_start(name, &task);
        }
        for task in done {
            self.finish(&task, now);
        }
    }

    fn finish(&mut self, task: &Task, now: Instant) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        crate::log(format!("done: {} try {}", task.name(), task.attempt));
        if job.spec.gang {
            job.done = (0..job.spec.pieces).collect();
            // They complete together.
            for machine in self.machines.values_mut() {
                for other in &mut machine.tasks {
                    if other.job == task.job && other.attempt == task.attempt && other.is_live() {
                        other.state = TaskState::Ended("done", false);
                        machine.changed = true;
                    }
                }
            }
        } else {
            job.done.insert(task.piece);
        }
        if job.done.len() as u64 == job.spec.pieces {
            job.done_at.get_or_insert(now);
        }
    }

    /// The rules for a task that has its image now on a machine.
    fn check_start(&mut self, name: &str, task: &Task) {
        crate::log(format!(
            "on machine: {} try {} on {name}",
            task.name(),
            task.attempt
        ));
        let elsewhere: Vec<String> = self
            .machines
            .iter()
            .filter(|(other, m)| other.as_str() != name && !m.is_gone)
            .flat_map(|(other, m)| m.tasks.iter().map(move |t| (other, t)))
            .filter(|(_, t)| t.job == task.job && t.piece == task.piece && t.is_on())
            .map(|(other, t)| format!("try {} on {other}", t.attempt))
            .collect();
        if !elsewhere.is_empty() {
            let text = format!(
                "ran_twice: {} try {} starts on {name} while {elsewhere:?}",
                task.name(),
                task.attempt
            );
            self.violate(text);
        }
        let (flavor, hall, loaner) = {
            let m = &self.machines[name];
            (m.flavor.clone(), m.hall.clone(), m.loaner)
        };
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        job.started.insert(task.piece);
        job.starts += 1;
        let spec = job.spec.clone();
        let wrong = (loaner && !spec.loaner)
            || spec.hall.is_some_and(|h| h != hall)
            || spec
                .flavors
                .as_ref()
                .is_some_and(|f| !f.contains(&flavor.as_str()));
        let waits: Vec<String> = spec.waits_on.clone();
        let cancel = job.told_withdrawn;
        if wrong {
            self.violate(format!(
                "wrong_place: {} on {name} {flavor} {hall} loaner {loaner}",
                task.name()
            ));
        }
        let mut zones: BTreeMap<String, u64> = BTreeMap::new();
        for machine in self.machines.values().filter(|m| !m.is_gone) {
            let on = machine
                .tasks
                .iter()
                .filter(|t| t.job == task.job && t.is_on());
            *zones.entry(machine.hall.clone()).or_insert(0) += on.count() as u64;
        }
        zones.retain(|_, count| *count > 0);
        if spec.same_place && zones.len() > 1 {
            self.violate(format!(
                "wrong_place: {} on {name}: zones {zones:?}",
                task.name()
            ));
        }
        if spec.scatter && zones.values().any(|c| *c > spec.pieces.div_ceil(2)) {
            self.violate(format!(
                "wrong_place: {} on {name}: scatter {zones:?}",
                task.name()
            ));
        }
        for id in waits {
            let job = self.jobs.get(&id);
            if job.is_some_and(|job| (job.done.len() as u64) < job.spec.pieces) {
                self.violate(format!("too_early: {} before {id}", task.name()));
            }
        }
        if let Some(at) = cancel {
            let after = at.elapsed().as_secs_f64();
            crate::log(format!(
                "start {after:.1}s after a confirmed cancellation: {}",
                task.name()
            ));
        }
        let mut used: HashMap<String, (f64, f64)> = HashMap::new();
        for machine in self.machines.values().filter(|m| !m.is_gone) {
            for task in machine.tasks.iter().filter(|t| t.is_on()) {
                let Some(job) = self.jobs.get(&task.job) else {
                    continue;
                };
                let entry = used.entry(job.spec.owner.into()).or_insert((0.0, 0.0));
                entry.0 += job.spec.cores;
                entry.1 += job.spec.gpus;
            }
        }
        for (team, (cores, gpus)) in used {
            let (most_cores, most_gpus) = self.limits.get(&team).copied().unwrap_or((0.0, 0.0));
            let over = |most: f64, used: f64| most > 0.0 && used > most + 1e-6;
            if over(most_cores, cores) || over(most_gpus, gpus) {
                self.violate(format!(
                    "quota: {team} uses {cores} cores {gpus} gpus after {} on {name}",
                    task.name()
                ));
            }
        }
    }

    fn check_cancelled(&mut self, now: Instant) {
        let cancel = Duration::from_secs_f64(self.times.cancel_s);
        let mut late = Vec::new();
        for (name, machine) in self.machines.iter().filter(|(_, m)| !m.is_gone) {
            for task in machine.tasks.iter().filter(|t| t.is_on()) {
                let told = self.jobs.get(&task.job).and_then(|job| job.told_withdrawn);
                if told.is_some_and(|at| now > at + cancel) {
                    late.push(format!(
                        "ran_cancelled: {} try {} on {name}",
                        task.name(),
                        task.attempt
                    ));
                }
            }
        }
        late.into_iter().for_each(|text| self.violate(text));
    }
}
