//! Three processes of the service, with agents on threads and the simulated store and cloud behind
//! real sockets.

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

use crate::common::{submission, Cloud, Store, StoreResponse, TokenCheck};
use crate::http::{call, free_port, serve, Message};

/// Run time of a task.
const TASK_DURATION: Duration = Duration::from_millis(300);
/// Largest number of machines that can be rented at the same time.
const MACHINES_MAX: usize = 4;
/// Time that a machine takes to boot.
const BOOT_MS: u64 = 100;
/// Time-out of every wait, far above the time that any takes.
const WAIT_TIMEOUT: Duration = Duration::from_secs(120);
/// Number of services started so far, from which each gets a folder of its own.
static SERVICES_STARTED: AtomicU32 = AtomicU32::new(0);

/// The simulated store and cloud, with a log of what they executed; shared behind one lock.
pub(crate) struct Backend {
    pub store: Store,
    pub cloud: Cloud,
    /// Number of starts of each task, by the task's name.
    pub starts: BTreeMap<String, u32>,
    /// Orders to the cloud, in the sequence in which they were executed or refused.
    pub orders: Vec<TokenCheck>,
    /// The cloud delays orders with this token.
    pub delayed_token: Option<u64>,
    /// Number of orders that the cloud is delaying.
    pub delayed_orders: usize,
    started: Instant,
}

pub(crate) type SharedBackend = Arc<Mutex<Backend>>;

impl Backend {
    fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }
}

/// Three processes of the service, which are killed when the value is dropped.
pub(crate) struct Service {
    pub backend: SharedBackend,
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

/// A command that runs the service's program.
pub(crate) fn program() -> Command {
    Command::new(env!("CARGO_BIN_EXE_gaugesill"))
}

impl Service {
    /// Starts the store, the cloud and three controllers, and waits until these are healthy.
    /// `operator`: the operators' settings in TOML.
    pub(crate) fn start(operator: Option<&str>) -> Service {
        let backend: SharedBackend = Arc::new(Mutex::new(Backend {
            store: Store::default(),
            cloud: Cloud {
                checks_tokens: true,
                ..Cloud::with_capacity(MACHINES_MAX, BOOT_MS)
            },
            starts: BTreeMap::new(),
            orders: vec![],
            delayed_token: None,
            delayed_orders: 0,
            started: Instant::now(),
        }));
        let number = SERVICES_STARTED.fetch_add(1, Ordering::Relaxed);
        let folder = format!("gaugesill-{}-{number}", std::process::id());
        let folder = std::env::temp_dir().join(folder);
        std::fs::create_dir_all(&folder).expect("cannot create the folder");
        let (for_store, for_cloud) = (backend.clone(), backend.clone());
        let store = serve(move |request| serve_store(&for_store, request));
        let cloud = serve(move |request| serve_cloud(&for_cloud, request));
        let ports: Vec<(u16, u16)> = (0..3).map(|_| (free_port(), free_port())).collect();
        let settings = (0..3).map(|member| {
            let path = folder.join(format!("c{member}.json"));
            std::fs::write(&path, settings_text(member, &ports, store, cloud))
                .expect("cannot write the settings");
            path
        });
        let settings = settings.collect();
        let operator = operator.map(|text| {
            let path = folder.join("operator.toml");
            std::fs::write(&path, text).expect("cannot write the settings");
            path
        });
        let fronts = ports.iter().map(|port| ([127, 0, 0, 1], port.0).into());
        let mut service = Service {
            fronts: fronts.collect(),
            backend,
            settings,
            folder,
            operator,
            processes: vec![],
        };
        service.processes = (0..3).map(|member| service.spawn(member)).collect();
        start_agents(service.backend.clone(), service.fronts.clone());
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
        command.spawn().expect("the program cannot be started")
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

    /// The number of the member that the value of a key in the store names.
    pub(crate) fn member_in(&self, key: &str) -> Option<usize> {
        let backend = self.backend.lock().expect("lock is poisoned");
        let stored = backend.store.keys.get(key)?;
        let fields = stored.value.as_map()?.iter();
        let mut member = fields.filter(|(name, _)| name.as_text() == Some("member"));
        member.next()?.1.as_text()?[1..].parse().ok()
    }
}

fn settings_text(
    member: usize,
    ports: &[(u16, u16)],
    store: SocketAddr,
    cloud: SocketAddr,
) -> String {
    let others = (0..3).filter(|other| *other != member);
    let peers: Vec<String> = others
        .map(|other| {
            let port = ports[other].1;
            format!(r#"{{"member":"c{other}","zone":"a","address":"127.0.0.1:{port}"}}"#)
        })
        .collect();
    let (front, mesh) = ports[member];
    format!(
        r#"{{"member":"c{member}","zone":"a","front":"127.0.0.1:{front}","mesh_addr":"127.0.0.1:{mesh}","known":[{}],
        "endpoints":{{"state":"{store}","cloud":"{cloud}"}},"cluster":{{"teams":[{{"name":"t"}}],
        "workers":{{"report_s":1.0,"lease_s":12.0,"gang_wait_s":12.0,"gang_peer_s":2.0,"cancel_s":20.0}},
        "state":{{"rps":500.0,"write_rps":100.0,"value_kb":16.0,"txn_ops":20}},
        "cloud":{{"rps":20.0,"list_lag_s":0.2}},
        "limits":{{"cpu_share":1.0,"ram_mb":200.0,"fd_limit":500}}}}}}"#,
        peers.join(",")
    )
}

fn serve_store(backend: &SharedBackend, request: &Message) -> (u16, Vec<u8>) {
    let served = {
        let mut backend = backend.lock().expect("lock is poisoned");
        let now = backend.now();
        let (method, path) = (request.method.as_str(), request.path.as_str());
        backend.store.handle(method, path, &request.body, now)
    };
    match served {
        StoreResponse::Now(status, body) => (status, body),
        StoreResponse::Wait {
            prefix,
            from_revision,
            until,
        } => loop {
            std::thread::sleep(Duration::from_millis(5));
            let mut backend = backend.lock().expect("lock is poisoned");
            let now = backend.now();
            backend.store.expire(now);
            let reply = backend.store.changes(&prefix, from_revision);
            if !reply.changes.is_empty() || now >= until {
                return (200, wire::encode(&reply));
            }
        },
    }
}

fn serve_cloud(backend: &SharedBackend, request: &Message) -> (u16, Vec<u8>) {
    let is_order = request.method == "POST";
    if is_order {
        delay_order(backend, request);
    }
    let mut backend = backend.lock().expect("lock is poisoned");
    let now = backend.now();
    if is_order {
        let check = backend.cloud.check_token(&request.path, &request.body);
        backend.orders.push(check.clone());
        if check.refused {
            return (409, vec![]);
        }
    }
    let (method, path) = (request.method.as_str(), request.path.as_str());
    backend.cloud.handle(method, path, &request.body, now)
}

/// Blocks while the cloud delays orders with the token of this request.
fn delay_order(backend: &SharedBackend, request: &Message) {
    let token = Cloud::token_of(&request.body);
    let is_delayed =
        || token.is_some() && backend.lock().expect("lock is poisoned").delayed_token == token;
    if !is_delayed() {
        return;
    }
    backend.lock().expect("lock is poisoned").delayed_orders += 1;
    while is_delayed() {
        std::thread::sleep(Duration::from_millis(5));
    }
    backend.lock().expect("lock is poisoned").delayed_orders -= 1;
}

/// Starts an agent for each machine that has booted.
fn start_agents(backend: SharedBackend, fronts: Vec<SocketAddr>) {
    std::thread::spawn(move || {
        let mut known = HashSet::new();
        loop {
            let up: Vec<String> = {
                let backend = backend.lock().expect("lock is poisoned");
                let now = backend.now();
                let up = backend
                    .cloud
                    .machines
                    .iter()
                    .filter(|(_, m)| now >= m.up_at);
                up.map(|(name, _)| name.clone()).collect()
            };
            for machine in up {
                if known.insert(machine.clone()) {
                    let (backend, fronts) = (backend.clone(), fronts.clone());
                    std::thread::spawn(move || Agent::new(machine, fronts).run(&backend));
                }
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    });
}

/// A task that was started on a machine.
struct StartedTask {
    name: String,
    attempt: u64,
    started: Instant,
}

/// The agent of a machine.
struct Agent {
    machine: String,
    fronts: Vec<SocketAddr>,
    serial: u64,
    epoch: Epoch,
    /// The controller to which heartbeats are sent.
    reports_to: usize,
    tasks: Vec<StartedTask>,
}

impl StartedTask {
    fn status(&self) -> TaskStatus {
        let is_done = self.started.elapsed() > TASK_DURATION;
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

    fn run(mut self, backend: &SharedBackend) {
        while let Some(status) = self.next_status(backend) {
            let to = self.fronts[self.reports_to];
            let next = (self.reports_to + 1) % self.fronts.len();
            match call(to, "POST", wire::HEARTBEAT_PATH, &wire::encode(&status)) {
                Some((200, body)) => {
                    let batch: CommandBatch = wire::decode(&body)
                        .expect("the answer to a heartbeat is not a batch of commands");
                    self.execute(batch, backend);
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

    /// The status for the next heartbeat; `None` once the machine is deleted.
    fn next_status(&mut self, backend: &SharedBackend) -> Option<AgentStatus> {
        let backend = backend.lock().expect("lock is poisoned");
        let machine = backend.cloud.machines.get(&self.machine)?;
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

    fn execute(&mut self, batch: CommandBatch, backend: &SharedBackend) {
        if batch.epoch < self.epoch {
            return;
        }
        self.epoch = batch.epoch;
        for command in batch.commands {
            let (name, attempt) = (command.task, command.attempt);
            let is_same = |task: &StartedTask| task.name == name && task.attempt == attempt;
            if command.verb != CommandVerb::Start {
                self.tasks.retain(|task| !is_same(task));
            } else if !self.tasks.iter().any(is_same) {
                let mut backend = backend.lock().expect("lock is poisoned");
                *backend.starts.entry(name.clone()).or_insert(0) += 1;
                self.tasks.push(StartedTask {
                    name,
                    attempt,
                    started: Instant::now(),
                });
            }
        }
    }
}

/// Waits until a condition holds; panics after [`WAIT_TIMEOUT`].
pub(crate) fn wait_for(what: &str, mut holds: impl FnMut() -> bool) {
    let started = Instant::now();
    while started.elapsed() < WAIT_TIMEOUT {
        if holds() {
            return;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    panic!("timed out waiting for {what}");
}
