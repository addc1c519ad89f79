//! The controllers' processes, the connections between them, and the users.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::store::Store;
use crate::wire::{call, encode, Message};
use crate::world::{Job, Spec, World};
use crate::{log, random};

#[derive(Clone, Copy, PartialEq)]
pub enum Link {
    Open,
    Refused,
    Held,
}

/// The settings of the cluster that are the same for all controllers.
pub struct Cluster {
    pub zones: Vec<&'static str>,
    pub teams: String,
    pub workers: String,
    pub state: String,
    pub cloud: String,
    pub limits: String,
}

pub struct Service {
    pub count: usize,
    pub fronts: Vec<SocketAddr>,
    pub members: Vec<String>,
    pub folder: PathBuf,
    pub links: Arc<Mutex<Vec<Vec<Link>>>>,
    pub healthy: Arc<Mutex<Vec<bool>>>,
    processes: Mutex<Vec<Option<Child>>>,
    paused: Mutex<Vec<bool>>,
    command: Vec<String>,
    pids: PathBuf,
}

/// A free port below those that the system gives to outgoing connections.
fn free_port() -> u16 {
    loop {
        let port = 12_000 + (random() * 18_000.0) as u16;
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

/// The start command of the deploy file.
fn run_command() -> Vec<String> {
    let text = std::fs::read_to_string("deploy/service.toml").expect("deploy/service.toml");
    let line = text.lines().find_map(|line| line.strip_prefix("run = "));
    let line = line
        .expect("no start command")
        .trim()
        .trim_matches('"')
        .to_string();
    line.split_whitespace().map(str::to_string).collect()
}

fn pump(
    mut from: TcpStream,
    mut to: TcpStream,
    links: Arc<Mutex<Vec<Vec<Link>>>>,
    a: usize,
    b: usize,
) {
    use std::io::{Read, Write};
    let mut buffer = [0; 16384];
    loop {
        let count = match from.read(&mut buffer) {
            Ok(0) | Err(_) => break,
            Ok(count) => count,
        };
        loop {
            let link = links.lock().expect("lock")[a][b];
            match link {
                Link::Open => break,
                Link::Refused => {
                    let _ = to.shutdown(std::net::Shutdown::Both);
                    return;
                }
                Link::Held => std::thread::sleep(Duration::from_millis(20)),
            }
        }
        if to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(std::net::Shutdown::Both);
    let _ = from.shutdown(std::net::Shutdown::Both);
}

/// A proxy for the connections of controller `a` to controller `b`.
fn link(a: usize, b: usize, target: SocketAddr, links: &Arc<Mutex<Vec<Vec<Link>>>>) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("no free port");
    let address = listener.local_addr().expect("no address");
    let links = links.clone();
    std::thread::spawn(move || {
        for socket in listener.incoming() {
            let Ok(socket) = socket else { continue };
            let links = links.clone();
            if links.lock().expect("lock")[a][b] == Link::Refused {
                continue;
            }
            std::thread::spawn(move || {
                let Ok(other) = TcpStream::connect(target) else {
                    return;
                };
                let _ = socket.set_nodelay(true);
                let _ = other.set_nodelay(true);
                let (Ok(from), Ok(to)) = (socket.try_clone(), other.try_clone()) else {
                    return;
                };
                let back = links.clone();
                std::thread::spawn(move || pump(to, from, back, b, a));
                pump(socket, other, links, a, b);
            });
        }
    });
    address
}

impl Service {
    pub fn start(
        count: usize,
        cluster: &Cluster,
        store: &Store,
        world: &World,
        name: &str,
    ) -> Service {
        let folder =
            std::env::temp_dir().join(format!("gaugesill-review-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("cannot create the folder");
        let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        let fronts: Vec<SocketAddr> = (0..count).map(|_| address(free_port())).collect();
        let meshes: Vec<SocketAddr> = (0..count).map(|_| address(free_port())).collect();
        let members: Vec<String> = (0..count).map(|c| format!("worker-{c}")).collect();
        let links = Arc::new(Mutex::new(vec![vec![Link::Open; count]; count]));
        for c in 0..count {
            let zone = |c: usize| cluster.zones[c % cluster.zones.len()];
            let known = (0..count).filter(|o| *o != c).map(|o| {
                let via = link(c, o, meshes[o], &links);
                format!(
                    r#"{{"member":"{}","zone":"{}","address":"{via}"}}"#,
                    members[o],
                    zone(o)
                )
            });
            let known: Vec<String> = known.collect();
            let zones: Vec<String> = cluster.zones.iter().map(|z| format!("\"{z}\"")).collect();
            let text = format!(
                r#"{{"member":"{}","zone":"{}","front":"{}","mesh_addr":"{}","known":[{}],
"endpoints":{{"cloud":"{}","state":"{}"}},
"cluster":{{"initial_size":{count},"zones":[{}],"teams":{},"objectives":[],
"workers":{},"state":{},"cloud":{},"limits":{},"clock_off_ms":1000.0}}}}"#,
                members[c],
                zone(c),
                fronts[c],
                meshes[c],
                known.join(","),
                world.serve_cloud(),
                store.serve_for(c),
                zones.join(","),
                cluster.teams,
                cluster.workers,
                cluster.state,
                cluster.cloud,
                cluster.limits,
            );
            std::fs::write(folder.join(format!("{c}.json")), text)
                .expect("cannot write the settings");
        }
        world.set_fronts(members.clone(), fronts.clone());
        let service = Service {
            count,
            fronts,
            members,
            links,
            healthy: Arc::new(Mutex::new(vec![false; count])),
            processes: Mutex::new((0..count).map(|_| None).collect()),
            paused: Mutex::new(vec![false; count]),
            command: run_command(),
            pids: folder.join("pids"),
            folder,
        };
        (0..count).for_each(|c| service.spawn(c));
        service.probe();
        let deadline = Instant::now() + Duration::from_secs(15);
        while !service.healthy.lock().expect("lock").iter().all(|h| *h) {
            if Instant::now() > deadline {
                crate::cannot_run("the controllers don't get healthy");
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        service
    }

    pub fn spawn(&self, c: usize) {
        if self.is_running(c) {
            return;
        }
        let log_file = self.folder.join(format!("{c}.log"));
        let log_file = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(log_file);
        let mut command = Command::new(&self.command[0]);
        command
            .args(&self.command[1..])
            .arg(self.folder.join(format!("{c}.json")));
        let level = std::env::var("REVIEW_LOG").unwrap_or("info".into());
        command
            .env("LOG_LEVEL", level)
            .stdin(Stdio::null())
            .stdout(Stdio::null());
        command.stderr(log_file.map_or(Stdio::null(), Stdio::from));
        let child = command
            .spawn()
            .unwrap_or_else(|_| crate::cannot_run("cannot start the program"));
        log(format!("controller {c} started"));
        let mut processes = self.processes.lock().expect("lock");
        processes[c] = Some(child);
        let pids: Vec<String> = processes
            .iter()
            .flatten()
            .map(|p| p.id().to_string())
            .collect();
        let _ = std::fs::write(&self.pids, pids.join("\n"));
    }

    /// Ends a controller's process without notice.
    pub fn kill(&self, c: usize) {
        log(format!("controller {c} killed"));
        let child = self.processes.lock().expect("lock")[c].take();
        if let Some(mut child) = child {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.paused.lock().expect("lock")[c] = false;
    }

    /// Lets a controller stand still, or go on.
    pub fn pause(&self, c: usize, is_paused: bool) {
        let processes = self.processes.lock().expect("lock");
        let Some(child) = &processes[c] else { return };
        log(format!(
            "controller {c} {}",
            if is_paused { "stopped" } else { "goes on" }
        ));
        let signal = if is_paused { "-STOP" } else { "-CONT" };
        let _ = Command::new("kill")
            .arg(signal)
            .arg(child.id().to_string())
            .status();
        self.paused.lock().expect("lock")[c] = is_paused;
    }

    /// Whether a controller's process has ended by itself.
    pub fn has_ended(&self, c: usize) -> bool {
        let mut processes = self.processes.lock().expect("lock");
        processes[c]
            .as_mut()
            .is_some_and(|p| matches!(p.try_wait(), Ok(Some(_))))
    }

    pub fn is_running(&self, c: usize) -> bool {
        self.processes.lock().expect("lock")[c].is_some()
    }

    pub fn stop_all(&self) {
        for c in 0..self.count {
            self.kill(c);
        }
        if std::env::var("REVIEW_KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }

    /// The number of the controller that leads.
    pub fn leader(&self, store: &Store) -> Option<usize> {
        let leader = store.leader()?;
        self.members.iter().position(|member| *member == leader)
    }

    /// The load balancer's health checks.
    fn probe(&self) {
        for (c, front) in self.fronts.iter().copied().enumerate() {
            let healthy = self.healthy.clone();
            std::thread::spawn(move || {
                let (mut good, mut bad) = (0, 0);
                let mut was_healthy = false;
                loop {
                    let reply = call(front, "GET", "/up", b"", Duration::from_secs(1));
                    if reply.is_some_and(|reply| reply.status == 200) {
                        good += 1;
                        bad = 0;
                    } else {
                        bad += 1;
                        good = 0;
                    }
                    let mut healthy = healthy.lock().expect("lock");
                    if bad >= 2 {
                        healthy[c] = false;
                    } else if good >= 2 || (good == 1 && !was_healthy) {
                        healthy[c] = true;
                        was_healthy = true;
                    }
                    drop(healthy);
                    std::thread::sleep(Duration::from_millis(if was_healthy { 1000 } else { 50 }));
                }
            });
        }
    }

    /// The node that the load balancer chooses for a new connection.
    pub fn balance(&self) -> usize {
        let healthy = self.healthy.lock().expect("lock");
        let up: Vec<usize> = (0..self.count).filter(|c| healthy[*c]).collect();
        let among = if up.is_empty() {
            (0..self.count).collect()
        } else {
            up
        };
        among[(random() * among.len() as f64) as usize % among.len()]
    }
}

#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Ask {
    Submit,
    Poll,
    Cancel,
}

/// What a user was told before it asked.
struct Facts {
    accepted: bool,
    withdrawn: bool,
    done: bool,
    cancel_asked: bool,
}

/// Asks a node about a job and checks the answer. Returns the status and the job's state.
pub fn ask(
    service: &Service,
    world: &World,
    node: usize,
    id: &str,
    ask: Ask,
) -> Option<(u16, String)> {
    let (facts, body) = {
        let mut state = world.lock();
        let job = state.jobs.get_mut(id)?;
        if ask == Ask::Cancel {
            job.cancel_asked = true;
        }
        let facts = Facts {
            accepted: job.told_accepted.is_some(),
            withdrawn: job.told_withdrawn.is_some(),
            done: job.told_done.is_some(),
            cancel_asked: job.cancel_asked,
        };
        (facts, job.spec.body())
    };
    let front = service.fronts[node];
    let (timeout, sent) = (Duration::from_secs(5), Instant::now());
    let reply = match ask {
        Ask::Submit => call(front, "POST", "/work", &encode(&body), timeout),
        Ask::Poll => call(
            front,
            "GET",
            &format!("/work/{id}"),
            b"",
            Duration::from_secs(2),
        ),
        Ask::Cancel => call(front, "POST", &format!("/work/{id}/cancel"), b"", timeout),
    };
    let reply: Option<Message> = reply;
    let mut state = world.lock();
    let status = reply.as_ref().map_or(0, |reply| reply.status);
    let said = reply
        .as_ref()
        .map_or(String::new(), |reply| reply.value().str_of("status"));
    log(format!(
        "user: {ask:?} {id} at {node}: {status} {said} after {} ms",
        sent.elapsed().as_millis()
    ));
    let now = Instant::now();
    let dependencies = {
        let mut all = state.jobs.get(id)?.spec.waits_on.clone();
        let mut index = 0;
        while index < all.len() {
            let more = state
                .jobs
                .get(&all[index])
                .map(|job| job.spec.waits_on.clone());
            all.extend(more.unwrap_or_default());
            index += 1;
        }
        all
    };
    let dependency_cancelled = dependencies
        .iter()
        .any(|d| state.jobs.get(d).is_some_and(|j| j.cancel_asked));
    let cancel_s = state.times.cancel_s;
    let is_orphan = dependencies
        .iter()
        .filter_map(|d| state.jobs.get(d))
        .any(|j| {
            j.told_withdrawn
                .is_some_and(|at| sent.saturating_duration_since(at).as_secs_f64() > cancel_s)
        });
    let job = state.jobs.get_mut(id)?;
    let all_done = job.done.len() as u64 == job.spec.pieces;
    let mut broken = vec![];
    if status == 200 || status == 201 {
        match said.as_str() {
            "done" => {
                if !all_done {
                    broken.push(format!(
                        "not_done: {id} is called done at {node}, done are {:?}",
                        job.done
                    ));
                }
                if facts.withdrawn {
                    broken.push(format!(
                        "went_back: {id} was withdrawn and is called done at {node}"
                    ));
                }
                job.told_done.get_or_insert(now);
                job.told_accepted.get_or_insert(now);
            }
            "withdrawn" => {
                if facts.done {
                    broken.push(format!(
                        "went_back: {id} was done and is called withdrawn at {node}"
                    ));
                }
                if !job.cancel_asked && !facts.cancel_asked && !dependency_cancelled {
                    broken.push(format!(
                        "went_back: {id} is called withdrawn at {node}, nobody asked"
                    ));
                }
                job.told_withdrawn.get_or_insert(now);
                job.told_accepted.get_or_insert(now);
            }
            "pending" | "running" => {
                if is_orphan && status == 200 {
                    broken.push(format!("orphaned: {id} is called {said} at {node}"));
                }
                if facts.done || facts.withdrawn {
                    broken.push(format!(
                        "went_back: {id} is called {said} at {node} after its end"
                    ));
                }
                if ask != Ask::Cancel {
                    job.told_accepted.get_or_insert(now);
                }
            }
            _ => broken.push(format!("odd answer {status} {said} to {ask:?} {id}")),
        }
    }
    if status == 404 && facts.accepted {
        broken.push(format!("forgotten: {id} gets 404 at {node}"));
    }
    if matches!(status, 400 | 422) {
        broken.push(format!("forgotten: {ask:?} {id} gets {status} at {node}"));
    }
    broken.into_iter().for_each(|text| state.violate(text));
    reply.map(|reply| (reply.status, said))
}

/// Makes a job known to the workers, as its user uploads its description.
pub fn register(world: &World, spec: Spec) {
    let job = Job {
        done: Default::default(),
        done_at: None,
        started: Default::default(),
        starts: 0,
        cancel_asked: false,
        told_accepted: None,
        told_withdrawn: None,
        told_done: None,
        spec,
    };
    world.lock().jobs.insert(job.spec.id.clone(), job);
}

/// Submits a job through the load balancer until it is accepted, for up to 60 s.
pub fn submit(service: &Service, world: &World, spec: Spec) -> bool {
    let id = spec.id.clone();
    register(world, spec);
    let deadline = Instant::now() + Duration::from_secs(60);
    while Instant::now() < deadline {
        match ask(service, world, service.balance(), &id, Ask::Submit) {
            Some((200 | 201, _)) => return true,
            Some((400 | 422, _)) => return false,
            _ => std::thread::sleep(Duration::from_secs(1)),
        }
    }
    false
}

/// Cancels a job until it gets one of the two answers.
pub fn cancel(service: &Service, world: &World, id: &str) -> String {
    loop {
        match ask(service, world, service.balance(), id, Ask::Cancel) {
            Some((200, said)) => return said,
            _ => std::thread::sleep(Duration::from_secs(1)),
        }
    }
}
