//! The controllers' processes, started with the commands of the deploy file, the links between
//! them, and users.

use super::platform::*;
use super::wire::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A link of one controller to another, through a proxy.
#[derive(Clone)]
pub struct PeerLink {
    pub link: Arc<Mutex<Link>>,
    pub address: SocketAddr,
}

fn peer_link(target: SocketAddr) -> PeerLink {
    let listener = TcpListener::bind("127.0.0.1:0").expect("no free port");
    let address = listener.local_addr().expect("no address");
    let link = Arc::new(Mutex::new(Link::Open));
    let shared = link.clone();
    std::thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let now = *shared.lock().unwrap();
            if now == Link::Refused {
                continue;
            }
            let shared = shared.clone();
            let _ = std::thread::Builder::new()
                .stack_size(128 * 1024)
                .spawn(move || {
                    if now == Link::Held {
                        std::thread::sleep(Duration::from_secs(20));
                        return;
                    }
                    let Ok(server) =
                        TcpStream::connect_timeout(&target, Duration::from_millis(500))
                    else {
                        return;
                    };
                    let (Ok(client2), Ok(server2)) = (client.try_clone(), server.try_clone())
                    else {
                        return;
                    };
                    let other = shared.clone();
                    let back = std::thread::Builder::new()
                        .stack_size(128 * 1024)
                        .spawn(move || pump(server2, client2, &other));
                    pump(client, server, &shared);
                    drop(back);
                });
        }
    });
    PeerLink { link, address }
}

fn pump(mut from: TcpStream, mut to: TcpStream, link: &Mutex<Link>) {
    let _ = from.set_nodelay(true);
    let mut part = [0u8; 8192];
    while let Ok(count) = from.read(&mut part) {
        if count == 0 {
            break;
        }
        while *link.lock().unwrap() == Link::Held {
            std::thread::sleep(Duration::from_millis(10));
        }
        if *link.lock().unwrap() == Link::Refused || to.write_all(&part[..count]).is_err() {
            break;
        }
    }
    let _ = from.shutdown(std::net::Shutdown::Both);
    let _ = to.shutdown(std::net::Shutdown::Both);
}

pub struct Cluster {
    pub platform: Platform,
    pub folder: PathBuf,
    pub processes: Vec<Option<Child>>,
    pub ports: Vec<(u16, u16)>,
    /// Links by (from, to).
    pub peers: Vec<Vec<PeerLink>>,
    states: Vec<SocketAddr>,
    clouds: Vec<SocketAddr>,
    run: Vec<String>,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for process in self.processes.iter_mut().flatten() {
            let _ = process.kill();
            let _ = process.wait();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// The processes that were started and not ended yet, for the watchdog.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// The run command of the deploy file.
fn run_command() -> Vec<String> {
    let text = std::fs::read_to_string("deploy/service.toml")
        .expect("deploy/service.toml; start in the repository's root");
    let line = text
        .lines()
        .find(|line| line.starts_with("run"))
        .expect("a run line");
    let command = line.split('"').nth(1).expect("a quoted command");
    command.split_whitespace().map(str::to_string).collect()
}

impl Cluster {
    pub fn start(config: Config, seed: u64) -> Cluster {
        let nodes = config.nodes;
        let platform = Platform::new(config, seed);
        let folder = std::env::temp_dir().join(format!("gaugesill-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let ports: Vec<(u16, u16)> = (0..nodes).map(|_| (free_port(), free_port())).collect();
        let front = |node: usize| SocketAddr::from(([127, 0, 0, 1], ports[node].0));
        let mesh = |node: usize| SocketAddr::from(([127, 0, 0, 1], ports[node].1));
        platform.lock().fronts = (0..nodes).map(front).collect();
        let peers = (0..nodes)
            .map(|_| (0..nodes).map(|to| peer_link(mesh(to))).collect())
            .collect();
        let states = (0..nodes)
            .map(|node| platform.state_address(node))
            .collect();
        let clouds = (0..nodes)
            .map(|node| platform.cloud_address(node))
            .collect();
        let mut cluster = Cluster {
            platform,
            folder,
            processes: (0..nodes).map(|_| None).collect(),
            ports,
            peers,
            states,
            clouds,
            run: run_command(),
        };
        for node in 0..nodes {
            let text = cluster.settings(node);
            std::fs::write(cluster.folder.join(format!("{node}.json")), text).expect("settings");
            cluster.spawn(node);
        }
        cluster
    }

    fn settings(&self, node: usize) -> String {
        let world = self.platform.lock();
        let config = &world.config;
        let hall = |node: usize| config.halls[node % config.halls.len()];
        let known: Vec<String> = (0..config.nodes)
            .filter(|other| *other != node)
            .map(|other| {
                let address = self.peers[node][other].address;
                format!(
                    r#"{{"member":"worker-{other}","zone":"{}","address":"{address}"}}"#,
                    hall(other)
                )
            })
            .collect();
        let teams: Vec<String> = config
            .teams
            .iter()
            .map(|(name, cpus, cpus_max, gpus, gpus_max)| {
                format!(r#"{{"name":"{name}","cpus":{cpus:?},"cpus_max":{cpus_max:?},"gpus":{gpus:?},"gpus_max":{gpus_max:?}}}"#)
            })
            .collect();
        let halls: Vec<String> = config
            .halls
            .iter()
            .map(|hall| format!("{hall:?}"))
            .collect();
        format!(
            r#"{{"member":"worker-{node}","zone":"{}","front":"127.0.0.1:{}","mesh_addr":"127.0.0.1:{}","known":[{}],
"endpoints":{{"cloud":"{}","state":"{}"}},
"cluster":{{"initial_size":{},"zones":[{}],"teams":[{}],"objectives":[],
"workers":{{"report_s":{:?},"lease_s":{:?},"gang_wait_s":{:?},"gang_peer_s":{:?},"cancel_s":{:?}}},
"state":{{"rps":{:?},"write_rps":{:?},"value_kb":{:?},"txn_ops":{}{}}},
"cloud":{{"rps":{:?},"list_lag_s":{:?}}},
"limits":{{"cpu_share":{:?},"ram_mb":{:?},"fd_limit":4000}},"clock_off_ms":1000.0}}}}"#,
            hall(node),
            self.ports[node].0,
            self.ports[node].1,
            known.join(","),
            self.clouds[node],
            self.states[node],
            config.nodes,
            halls.join(","),
            teams.join(","),
            config.report_s,
            config.lease_s,
            config.gang_wait_s,
            config.gang_peer_s,
            config.cancel_s,
            config.rps,
            config.write_rps,
            config.value_kb,
            config.txn_ops,
            config.state_extra,
            config.cloud_rps,
            config.list_lag_s,
            config.cpu_share,
            config.ram_mb,
        )
    }

    pub fn spawn(&mut self, node: usize) {
        let mut command = Command::new(&self.run[0]);
        command
            .args(&self.run[1..])
            .arg(self.folder.join(format!("{node}.json")));
        let level = std::env::var("REVIEW_LOG").unwrap_or_else(|_| "info".into());
        command.env("LOG_LEVEL", level).stdout(Stdio::null());
        let log = std::env::var("REVIEW_LOG_DIR").ok().and_then(|dir| {
            std::fs::OpenOptions::new()
                .create(true)
                .append(true)
                .open(format!("{dir}/node-{node}.log"))
                .ok()
        });
        match log {
            Some(file) => command.stderr(file),
            None => command.stderr(Stdio::null()),
        };
        match command.spawn() {
            Ok(process) => {
                STARTED.lock().unwrap().push(process.id());
                self.processes[node] = Some(process);
            }
            Err(error) => {
                eprintln!("the program can't be started: {error}");
                std::process::exit(2);
            }
        }
        self.note(format!("node {node} started"));
    }

    pub fn note(&self, text: String) {
        self.platform.lock().note(text);
    }

    pub fn kill(&mut self, node: usize) {
        if let Some(mut process) = self.processes[node].take() {
            let id = process.id();
            let _ = process.kill();
            let _ = process.wait();
            STARTED.lock().unwrap().retain(|other| *other != id);
            self.note(format!("node {node} killed"));
        }
    }

    fn signal(&self, node: usize, signal: &str) {
        if let Some(process) = &self.processes[node] {
            let _ = Command::new("kill")
                .arg(signal)
                .arg(process.id().to_string())
                .status();
            self.note(format!("node {node} gets {signal}"));
        }
    }
    pub fn freeze(&self, node: usize) {
        self.signal(node, "-STOP");
    }
    pub fn thaw(&self, node: usize) {
        self.signal(node, "-CONT");
    }

    /// Processes that have ended by themselves.
    pub fn ended_by_themselves(&mut self) -> Vec<usize> {
        let mut ended = Vec::new();
        for (node, process) in self.processes.iter_mut().enumerate() {
            if process
                .as_mut()
                .is_some_and(|process| matches!(process.try_wait(), Ok(Some(_))))
            {
                ended.push(node);
            }
        }
        ended
    }

    pub fn set_peers(&self, node: usize, link: Link) {
        for other in 0..self.peers.len() {
            *self.peers[node][other].link.lock().unwrap() = link;
            *self.peers[other][node].link.lock().unwrap() = link;
        }
        self.note(format!("node {node}: other controllers {link:?}"));
    }
    pub fn set_state(&self, node: usize, link: Link) {
        let mut world = self.platform.lock();
        world.state_links[node] = link;
        world.note(format!("node {node}: state service {link:?}"));
    }

    /// Waits until a condition holds.
    pub fn wait(&self, limit_s: f64, holds: impl Fn(&World) -> bool) -> bool {
        let started = Instant::now();
        while started.elapsed() < S(limit_s) {
            if holds(&self.platform.lock()) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }

    pub fn is_up(&self, node: usize) -> bool {
        let to = self.platform.lock().fronts[node];
        call(to, "GET", "/up", &[], Duration::from_secs(1))
            .is_some_and(|answer| answer.status == 200)
    }

    pub fn wait_up(&self, limit_s: f64) -> bool {
        let started = Instant::now();
        while started.elapsed() < S(limit_s) {
            if (0..self.processes.len()).all(|node| self.is_up(node)) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Ends all, writes the record and exits: 1 if a rule was broken, else 0.
    pub fn finish(mut self, record: &str) -> ! {
        let ended = self.ended_by_themselves();
        for node in ended {
            self.platform
                .lock()
                .breaks("crash", format!("node {node} ended by itself"));
        }
        for node in 0..self.processes.len() {
            self.thaw(node);
            self.kill(node);
        }
        let broken = {
            let mut world = self.platform.lock();
            world.ended = true;
            let broken = world.broken.clone();
            world.note(format!("result: {} broken", broken.len()));
            let _ = std::fs::write(record, world.record.join("\n") + "\n");
            broken
        };
        for (rule, text) in &broken {
            println!("broken {rule}: {text}");
        }
        let _ = std::fs::remove_dir_all(&self.folder);
        std::process::exit(i32::from(!broken.is_empty()))
    }

    /// Ends all and exits with 2: the case couldn't run.
    pub fn give_up(mut self, record: &str, why: &str) -> ! {
        println!("the case couldn't run: {why}");
        for node in 0..self.processes.len() {
            self.thaw(node);
            self.kill(node);
        }
        {
            let mut world = self.platform.lock();
            world.ended = true;
            world.note(format!("couldn't run: {why}"));
            let _ = std::fs::write(record, world.record.join("\n") + "\n");
        }
        let _ = std::fs::remove_dir_all(&self.folder);
        std::process::exit(2)
    }
}

/// A submission, with the fields that a case changes.
pub fn submission(id: &str, shape: &str, pieces: u64, changes: &[(&str, V)]) -> V {
    let mut fields = vec![
        ("nameId", t(id)),
        ("jobclass", t("defect-train")),
        ("owner", t("line-vision")),
        ("shape", t(shape)),
        ("urgency", t("normal")),
        ("pieces", i(pieces)),
        ("cores", V::Num(4.0)),
        ("gpus", V::Num(1.0)),
        ("memGb", V::Num(16.0)),
        ("bundle", t("img-01")),
        ("imageGb", V::Num(0.4)),
        ("flavors", V::Null),
        ("hall", V::Null),
        ("samePlace", V::Bool(false)),
        ("scatter", V::Bool(false)),
        ("loaner", V::Bool(false)),
        ("expectedS", V::Num(5.0)),
        ("snapshotEveryS", V::Num(0.0)),
        ("snapshotS", V::Num(0.0)),
        ("dueS", V::Null),
    ];
    for (name, value) in changes {
        match fields.iter_mut().find(|field| field.0 == *name) {
            Some(field) => field.1 = value.clone(),
            None => fields.push((name, value.clone())),
        }
    }
    map(&fields)
}

impl Platform {
    pub fn note(&self, text: String) {
        self.lock().note(text);
    }

    fn user_call(
        &self,
        node: usize,
        method: &str,
        path: &str,
        body: &[u8],
        limit_s: f64,
    ) -> Option<Message> {
        let to = self.lock().fronts[node];
        call(to, method, path, body, S(limit_s))
    }

    /// One attempt to submit. `true` once the job is accepted.
    pub fn submit_once(&self, node: usize, spec: &V, run_s: f64) -> bool {
        let id = spec.get("nameId").text().to_string();
        self.lock().jobs.entry(id.clone()).or_insert_with(|| Job {
            spec: spec.clone(),
            run_s,
            done: Default::default(),
            progress_s: 0.0,
            told_accepted: None,
            told_cancelled: None,
            asked_cancel: false,
            told_done: None,
            starts: 0,
        });
        let sent = Instant::now();
        let answer = self.user_call(node, "POST", "/work", &spec.encode(), 5.0);
        let status = answer.as_ref().map_or(0, |answer| answer.status);
        let body = answer.map_or(V::Null, |answer| decode(&answer.body).unwrap_or(V::Null));
        self.note(format!(
            "user -> node {node}: submit {id}: {status} {}",
            body.json()
        ));
        let mut world = self.lock();
        let accepted_before = world.jobs[&id].told_accepted.is_some_and(|at| at < sent);
        match status {
            200 | 201 => {
                world
                    .jobs
                    .get_mut(&id)
                    .expect("the job")
                    .told_accepted
                    .get_or_insert(Instant::now());
                world.judge(&id, body.get("status").text(), sent, node);
                true
            }
            400 | 422 if accepted_before => {
                world.breaks(
                    "forgotten",
                    format!("a repeated submission of {id} gets {status}"),
                );
                false
            }
            _ => false,
        }
    }

    pub fn submit(&self, first: usize, spec: &V, run_s: f64, limit_s: f64) -> bool {
        let started = Instant::now();
        let nodes = self.lock().config.nodes;
        let mut node = first;
        while started.elapsed() < S(limit_s) {
            if self.submit_once(node, spec, run_s) {
                return true;
            }
            node = (node + 1) % nodes;
            std::thread::sleep(Duration::from_secs(1));
        }
        false
    }

    /// One poll; returns the status of the answer and the job's status.
    pub fn poll(&self, node: usize, id: &str) -> (u16, String) {
        let sent = Instant::now();
        let answer = self.user_call(node, "GET", &format!("/work/{id}"), &[], 2.0);
        let status = answer.as_ref().map_or(0, |answer| answer.status);
        let body = answer.map_or(V::Null, |answer| decode(&answer.body).unwrap_or(V::Null));
        let state = body.get("status").text().to_string();
        let mut world = self.lock();
        world.note(format!(
            "user -> node {node}: poll {id}: {status} {}",
            body.json()
        ));
        let known = world.jobs.contains_key(id);
        let accepted_before = world
            .jobs
            .get(id)
            .is_some_and(|job| job.told_accepted.is_some_and(|at| at < sent));
        match status {
            200 if !known => world.breaks("invented", format!("{id} gets 200")),
            200 => world.judge(id, &state, sent, node),
            404 if accepted_before => world.breaks(
                "forgotten",
                format!("accepted {id} gets 404 from node {node}"),
            ),
            _ => {}
        }
        (status, state)
    }

    pub fn cancel_once(&self, node: usize, id: &str) -> bool {
        let sent = Instant::now();
        if let Some(job) = self.lock().jobs.get_mut(id) {
            job.asked_cancel = true;
        }
        let answer = self.user_call(node, "POST", &format!("/work/{id}/cancel"), &[], 5.0);
        let status = answer.as_ref().map_or(0, |answer| answer.status);
        let body = answer.map_or(V::Null, |answer| decode(&answer.body).unwrap_or(V::Null));
        let mut world = self.lock();
        world.note(format!(
            "user -> node {node}: cancel {id}: {status} {}",
            body.json()
        ));
        let accepted_before = world
            .jobs
            .get(id)
            .is_some_and(|job| job.told_accepted.is_some_and(|at| at < sent));
        if status == 404 && accepted_before {
            world.breaks("forgotten", format!("cancel of accepted {id} gets 404"));
        }
        if status == 200 {
            let state = body.get("status").text().to_string();
            world.judge(id, &state, sent, node);
            return state == "withdrawn" || state == "done";
        }
        false
    }

    pub fn cancel(&self, first: usize, id: &str, limit_s: f64) -> bool {
        let started = Instant::now();
        let nodes = self.lock().config.nodes;
        let mut node = first;
        while started.elapsed() < S(limit_s) {
            if self.cancel_once(node, id) {
                return true;
            }
            node = (node + 1) % nodes;
            std::thread::sleep(Duration::from_secs(1));
        }
        false
    }
}

impl World {
    /// Judges an answer about a job by what was answered before it was asked.
    pub fn judge(&mut self, id: &str, state: &str, sent: Instant, node: usize) {
        let Some(job) = self.jobs.get(id).cloned() else {
            return;
        };
        let needs: Vec<String> = job
            .spec
            .get("waitsOn")
            .list()
            .iter()
            .map(|other| other.text().to_string())
            .collect();
        let may_be_cancelled = job.asked_cancel || self.any_cancelled(&needs);
        let was_done = job.told_done.is_some_and(|at| at < sent);
        let was_cancelled = job.told_cancelled.is_some_and(|at| at < sent);
        match state {
            "done" => {
                if was_cancelled {
                    self.breaks(
                        "went_back",
                        format!("{id} was withdrawn, node {node} says done"),
                    );
                }
                if job.done.len() as u64 != job.pieces() {
                    self.breaks(
                        "not_done",
                        format!(
                            "{id} is called done with {} of {} tasks done",
                            job.done.len(),
                            job.pieces()
                        ),
                    );
                }
                self.jobs
                    .get_mut(id)
                    .expect("the job")
                    .told_done
                    .get_or_insert(Instant::now());
            }
            "withdrawn" => {
                if was_done {
                    self.breaks(
                        "went_back",
                        format!("{id} was done, node {node} says withdrawn"),
                    );
                }
                if !may_be_cancelled {
                    self.breaks(
                        "went_back",
                        format!("{id} is called withdrawn, and nobody cancelled it"),
                    );
                }
                self.jobs
                    .get_mut(id)
                    .expect("the job")
                    .told_cancelled
                    .get_or_insert(Instant::now());
            }
            "pending" | "running" => {
                if was_done || was_cancelled {
                    self.breaks(
                        "went_back",
                        format!("{id} was over, node {node} says {state}"),
                    );
                }
            }
            _ => self.breaks("wrong_data", format!("{id}: status {state:?}")),
        }
    }

    fn any_cancelled(&self, ids: &[String]) -> bool {
        ids.iter().any(|id| {
            self.jobs.get(id).is_some_and(|job| {
                let needs: Vec<String> = job
                    .spec
                    .get("waitsOn")
                    .list()
                    .iter()
                    .map(|other| other.text().to_string())
                    .collect();
                job.asked_cancel || self.any_cancelled(&needs)
            })
        })
    }
}

/// Whether the case is to have its disruption.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Ends the process if the case takes too long.
pub fn watchdog(limit_s: f64) {
    std::thread::spawn(move || {
        std::thread::sleep(S(limit_s));
        println!("the case took too long");
        for process in STARTED.lock().unwrap().iter() {
            let _ = Command::new("kill")
                .arg("-KILL")
                .arg(process.to_string())
                .status();
        }
        std::process::exit(2);
    });
}
