//! The simulated store and cloud behind real sockets, agents on threads, and three processes of
//! the service.

use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use gaugesill::epoch::Epoch;
use gaugesill::wire::Incarnation;
use gaugesill::wire::{
    self, AgentStatus, CommandBatch, CommandVerb, ExitReason, TaskState, TaskStatus,
};

use crate::common::{submission, Cloud, Served, Store, TokenCheck};
use crate::http::{call, free_port, serve, Message};

/// How long tasks take.
const TASK_TIME: Duration = Duration::from_millis(300);
/// How many machines can be rented at the same time, and how long one boots.
const MACHINES_MAX: usize = 4;
const BOOT_MS: u64 = 100;
/// Bound on every wait, far more than any takes.
const WAIT_MAX: Duration = Duration::from_secs(120);
/// How many services were started: each has a folder of its own.
static WORLDS: AtomicU32 = AtomicU32::new(0);

/// The simulated store and cloud, which are shared behind one lock.
pub(crate) struct World {
    pub store: Store,
    pub cloud: Cloud,
    /// How often each task was started.
    pub starts: BTreeMap<String, u32>,
    /// Orders to the cloud in the sequence in which they were executed or refused.
    pub orders: Vec<TokenCheck>,
    /// Orders with this token are held back at the cloud.
    pub held_token: Option<u64>,
    /// How many orders are held back.
    pub waiting_orders: usize,
    started: Instant,
}

pub(crate) type Shared = Arc<Mutex<World>>;

impl World {
    fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }
}

/// Three processes of the service, which are killed when the value is dropped.
pub(crate) struct Service {
    pub world: Shared,
    pub fronts: Vec<SocketAddr>,
    pub settings: Vec<PathBuf>,
    pub folder: PathBuf,
    pub operator: Option<PathBuf>,
    pub processes: Vec<Child>,
}

impl Drop for Service {
    fn drop(&mut self) {
        for process in &mut self.processes {
            let _ = process.kill();
            let _ = process.wait();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// The program of the service.
pub(crate) fn program() -> Command {
    Command::new(env!("CARGO_BIN_EXE_gaugesill"))
}

impl Service {
    /// Starts the store, the cloud and three controllers; `operator`: the operators' settings.
    pub(crate) fn start(operator: Option<&str>) -> Service {
        let world: Shared = Arc::new(Mutex::new(World {
            store: Store::default(),
            cloud: Cloud {
                checks_tokens: true,
                ..Cloud::with_capacity(MACHINES_MAX, BOOT_MS)
            },
            starts: BTreeMap::new(),
            orders: vec![],
            held_token: None,
            waiting_orders: 0,
            started: Instant::now(),
        }));
        let number = WORLDS.fetch_add(1, Ordering::Relaxed);
        let folder = format!("gaugesill-{}-{number}", std::process::id());
        let folder = std::env::temp_dir().join(folder);
        std::fs::create_dir_all(&folder).expect("a folder");
        let (for_store, for_cloud) = (world.clone(), world.clone());
        let state = serve(move |request| serve_store(&for_store, request));
        let cloud = serve(move |request| serve_cloud(&for_cloud, request));
        let ports: Vec<(u16, u16)> = (0..3).map(|_| (free_port(), free_port())).collect();
        let settings = (0..3).map(|member| {
            let path = folder.join(format!("c{member}.json"));
            std::fs::write(&path, settings_text(member, &ports, state, cloud)).expect("written");
            path
        });
        let settings = settings.collect();
        let operator = operator.map(|text| {
            let path = folder.join("operator.toml");
            std::fs::write(&path, text).expect("written");
            path
        });
        let fronts = ports.iter().map(|port| ([127, 0, 0, 1], port.0).into());
        let mut service = Service {
            fronts: fronts.collect(),
            world,
            settings,
            folder,
            operator,
            processes: vec![],
        };
        service.processes = (0..3).map(|member| service.spawn(member)).collect();
        start_agents(service.world.clone(), service.fronts.clone());
        for front in &service.fronts {
            wait_for("a healthy controller", || {
                call(*front, "GET", "/up", b"").is_some_and(|answer| answer.0 == 200)
            });
        }
        service
    }

    pub(crate) fn spawn(&self, member: usize) -> Child {
        let mut command = program();
        if let Some(operator) = &self.operator {
            command.arg("--operator").arg(operator);
        }
        command.arg("--config").arg(&self.settings[member]);
        command.env("LOG_LEVEL", "error").stdout(Stdio::null());
        command.spawn().expect("it starts")
    }

    pub(crate) fn kill(&mut self, member: usize) {
        let _ = self.processes[member].kill();
        let _ = self.processes[member].wait();
    }

    pub(crate) fn submit(&self, member: usize, id: &str) {
        let body = wire::encode(&submission(id, "sweep", 3, 2.0, "normal"));
        wait_for("a submission", || {
            let answer = call(self.fronts[member], "POST", "/work", &body);
            answer.is_some_and(|(status, _)| status == 200 || status == 201)
        });
    }

    pub(crate) fn wait_until_done(&self, member: usize, id: &str) {
        wait_for("a job to be done", || {
            let answer = call(self.fronts[member], "GET", &format!("/work/{id}"), b"");
            let reply = answer.and_then(|(_, body)| ciborium::from_reader(body.as_slice()).ok());
            let reply: ciborium::Value = reply.unwrap_or(ciborium::Value::Null);
            let status = reply.as_map().into_iter().flatten();
            let mut status = status.filter(|(key, _)| key.as_text() == Some("status"));
            status.any(|(_, value)| value.as_text() == Some("done"))
        });
    }

    /// The member that a key of the store names.
    pub(crate) fn member_in(&self, key: &str) -> Option<usize> {
        let world = self.world.lock().expect("lock");
        let stored = world.store.keys.get(key)?;
        let fields = stored.value.as_map()?.iter();
        let mut member = fields.filter(|(name, _)| name.as_text() == Some("member"));
        member.next()?.1.as_text()?[1..].parse().ok()
    }
}

fn settings_text(
    member: usize,
    ports: &[(u16, u16)],
    state: SocketAddr,
    cloud: SocketAddr,
) -> String {
    let others = (0..3).filter(|other| *other != member);
    let known: Vec<String> = others
        .map(|other| {
            let port = ports[other].1;
            format!(r#"{{"member":"c{other}","zone":"a","address":"127.0.0.1:{port}"}}"#)
        })
        .collect();
    let (front, mesh) = ports[member];
    format!(
        r#"{{"member":"c{member}","zone":"a","front":"127.0.0.1:{front}","mesh_addr":"127.0.0.1:{mesh}","known":[{}],
        "endpoints":{{"state":"{state}","cloud":"{cloud}"}},"cluster":{{"teams":[{{"name":"t"}}],
        "workers":{{"report_s":1.0,"lease_s":12.0,"gang_wait_s":12.0,"gang_peer_s":2.0,"cancel_s":20.0}},
        "state":{{"rps":500.0,"write_rps":100.0,"value_kb":16.0,"txn_ops":20}},
        "cloud":{{"rps":20.0,"list_lag_s":0.2}},
        "limits":{{"cpu_share":1.0,"ram_mb":200.0,"fd_limit":500}}}}}}"#,
        known.join(",")
    )
}

fn serve_store(world: &Shared, request: &Message) -> (u16, Vec<u8>) {
    let served = {
        let mut world = world.lock().expect("lock");
        let now = world.now();
        let (method, path) = (request.method.as_str(), request.path.as_str());
        world.store.handle(method, path, &request.body, now)
    };
    match served {
        Served::Now(status, body) => (status, body),
        Served::Wait {
            prefix,
            from_revision,
            until,
        } => loop {
            std::thread::sleep(Duration::from_millis(5));
            let mut world = world.lock().expect("lock");
            let now = world.now();
            world.store.expire(now);
            let reply = world.store.changes(&prefix, from_revision);
            if !reply.changes.is_empty() || now >= until {
                return (200, wire::encode(&reply));
            }
        },
    }
}

fn serve_cloud(world: &Shared, request: &Message) -> (u16, Vec<u8>) {
    let is_order = request.method == "POST";
    if is_order {
        hold_order(world, request);
    }
    let mut world = world.lock().expect("lock");
    let now = world.now();
    if is_order {
        let check = world.cloud.check_token(&request.path, &request.body);
        world.orders.push(check.clone());
        if check.refused {
            return (409, vec![]);
        }
    }
    let (method, path) = (request.method.as_str(), request.path.as_str());
    world.cloud.handle(method, path, &request.body, now)
}

/// Waits while orders with this token are held back.
fn hold_order(world: &Shared, request: &Message) {
    let token = Cloud::token_of(&request.body);
    let is_held = || token.is_some() && world.lock().expect("lock").held_token == token;
    if !is_held() {
        return;
    }
    world.lock().expect("lock").waiting_orders += 1;
    while is_held() {
        std::thread::sleep(Duration::from_millis(5));
    }
    world.lock().expect("lock").waiting_orders -= 1;
}

/// Starts an agent for each machine that comes up.
fn start_agents(world: Shared, fronts: Vec<SocketAddr>) {
    std::thread::spawn(move || {
        let mut known = HashSet::new();
        loop {
            let up: Vec<String> = {
                let world = world.lock().expect("lock");
                let now = world.now();
                let up = world.cloud.machines.iter().filter(|(_, m)| now >= m.up_at);
                up.map(|(name, _)| name.clone()).collect()
            };
            for machine in up {
                if known.insert(machine.clone()) {
                    let (world, fronts) = (world.clone(), fronts.clone());
                    std::thread::spawn(move || Agent::new(machine, fronts).run(&world));
                }
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    });
}

/// A task on a machine.
struct StartedTask {
    name: String,
    attempt: u64,
    started: Instant,
}

/// One machine's agent.
struct Agent {
    machine: String,
    fronts: Vec<SocketAddr>,
    serial: u64,
    epoch: Epoch,
    /// The controller that it reports to.
    reports_to: usize,
    tasks: Vec<StartedTask>,
}

impl StartedTask {
    fn status(&self) -> TaskStatus {
        let is_done = self.started.elapsed() > TASK_TIME;
        TaskStatus {
            task: self.name.clone(),
            attempt: self.attempt,
            status: if is_done {
                TaskState::Exited
            } else {
                TaskState::Running
            },
            cause: is_done.then_some(ExitReason::Done),
            kept: None,
        }
    }
}

impl Agent {
    fn new(machine: String, fronts: Vec<SocketAddr>) -> Agent {
        Agent {
            machine,
            fronts,
            serial: 0,
            epoch: Epoch::NONE,
            reports_to: 0,
            tasks: vec![],
        }
    }

    fn run(mut self, world: &Shared) {
        while let Some(status) = self.next_status(world) {
            let to = self.fronts[self.reports_to];
            let next = (self.reports_to + 1) % self.fronts.len();
            match call(to, "POST", wire::HEARTBEAT_PATH, &wire::encode(&status)) {
                Some((200, body)) => {
                    let batch: CommandBatch = wire::decode(&body).expect("commands");
                    self.execute(batch, world);
                }
                Some((421, body)) => {
                    let redirect: Option<wire::Redirect> = wire::decode(&body).ok();
                    let member = redirect.and_then(|redirect| redirect.reports_to);
                    let member = member.and_then(|member| member[1..].parse().ok());
                    self.reports_to = member.unwrap_or(next);
                }
                _ => self.reports_to = next,
            }
            std::thread::sleep(Duration::from_millis(200));
        }
    }

    /// Its next status; `None` once the machine is deleted.
    fn next_status(&mut self, world: &Shared) -> Option<AgentStatus> {
        let world = world.lock().expect("lock");
        let machine = world.cloud.machines.get(&self.machine)?;
        self.serial += 1;
        Some(AgentStatus {
            machine: self.machine.clone(),
            endpoint: "127.0.0.1:1".into(),
            machine_type: machine.machine_type.clone(),
            zone: machine.zone.clone(),
            spot: machine.spot,
            incarnation: Incarnation::new(1),
            serial: self.serial,
            epoch: self.epoch,
            interruption_in_s: None,
            tasks: self.tasks.iter().map(StartedTask::status).collect(),
        })
    }

    fn execute(&mut self, batch: CommandBatch, world: &Shared) {
        if batch.epoch < self.epoch {
            return;
        }
        self.epoch = batch.epoch;
        for command in batch.commands {
            let (name, attempt) = (command.task, command.attempt);
            let is_it = |task: &StartedTask| task.name == name && task.attempt == attempt;
            if command.verb != CommandVerb::Start {
                self.tasks.retain(|task| !is_it(task));
            } else if !self.tasks.iter().any(is_it) {
                let mut world = world.lock().expect("lock");
                *world.starts.entry(name.clone()).or_insert(0) += 1;
                self.tasks.push(StartedTask {
                    name,
                    attempt,
                    started: Instant::now(),
                });
            }
        }
    }
}

/// Waits until a condition holds, and fails if it never does.
pub(crate) fn wait_for(what: &str, mut holds: impl FnMut() -> bool) {
    let started = Instant::now();
    while started.elapsed() < WAIT_MAX {
        if holds() {
            return;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    panic!("waited without result for {what}");
}
