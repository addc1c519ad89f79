//! Three real processes on loopback, against the stand-ins over real sockets.
//! Waits are for conditions, with a bound far beyond what they take.

mod common;

use std::collections::{BTreeMap, HashSet};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use common::{submission, Cloud, Served, StateService};
use gaugesill::net::{ConnectionLimits, Event, EventLoop, Outcome};
use gaugesill::wire::{self, CommandBatch, Report, TaskReport};

struct World {
    state: StateService,
    cloud: Cloud,
    starts: BTreeMap<String, u32>,
    from: Instant,
}

type Shared = Arc<Mutex<World>>;
type Handler = fn(&Shared, &str, &str, &[u8]) -> (u16, Vec<u8>);

fn now(w: &World) -> u64 {
    w.from.elapsed().as_millis() as u64
}

/// Reads one message; gives its first line and body.
fn read_message(s: &mut TcpStream) -> Option<(String, Vec<u8>)> {
    let mut buf = Vec::new();
    let mut part = [0u8; 4096];
    loop {
        if let Some(end) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buf[..end]).to_string();
            let length: usize = head
                .lines()
                .find_map(|l| {
                    let (k, v) = l.split_once(':')?;
                    k.eq_ignore_ascii_case("content-length")
                        .then(|| v.trim().parse().ok())?
                })
                .unwrap_or(0);
            if buf.len() >= end + 4 + length {
                let line = head.lines().next().unwrap_or("").to_string();
                return Some((line, buf[end + 4..end + 4 + length].to_vec()));
            }
        }
        let n = s.read(&mut part).ok()?;
        if n == 0 {
            return None;
        }
        buf.extend_from_slice(&part[..n]);
    }
}

fn serve(world: Shared, f: Handler) -> SocketAddr {
    let l = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = l.local_addr().expect("an address");
    std::thread::spawn(move || {
        for s in l.incoming() {
            let Ok(mut s) = s else { continue };
            let world = world.clone();
            std::thread::spawn(move || {
                while let Some((line, body)) = read_message(&mut s) {
                    let mut p = line.split(' ');
                    let (m, path) = (p.next().unwrap_or(""), p.next().unwrap_or(""));
                    let (status, out) = f(&world, m, path, &body);
                    let head = format!(
                        "HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n",
                        out.len()
                    );
                    if s.write_all(head.as_bytes()).is_err() || s.write_all(&out).is_err() {
                        return;
                    }
                }
            });
        }
    });
    addr
}

fn state(w: &Shared, method: &str, path: &str, body: &[u8]) -> (u16, Vec<u8>) {
    let served = {
        let mut w = w.lock().expect("lock");
        let t = now(&w);
        w.state.handle(method, path, body, t)
    };
    match served {
        Served::Now(status, body) => (status, body),
        Served::Wait(under, from, until) => loop {
            std::thread::sleep(Duration::from_millis(5));
            let mut w = w.lock().expect("lock");
            let t = now(&w);
            w.state.expire(t);
            let n = w.state.changes(&under, from);
            if !n.changes.is_empty() || t >= until {
                return (200, wire::encode(&n));
            }
        },
    }
}

fn cloud(w: &Shared, method: &str, path: &str, body: &[u8]) -> (u16, Vec<u8>) {
    let mut w = w.lock().expect("lock");
    let t = now(&w);
    w.cloud.handle(method, path, body, t)
}

fn call(to: SocketAddr, method: &str, path: &str, body: &[u8]) -> Option<(u16, Vec<u8>)> {
    let mut s = TcpStream::connect_timeout(&to, Duration::from_secs(2)).ok()?;
    s.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    s.write_all(head.as_bytes()).ok()?;
    s.write_all(body).ok()?;
    let (line, body) = read_message(&mut s)?;
    Some((line.split(' ').nth(1)?.parse().ok()?, body))
}

/// One machine's worker; tasks take 300 ms.
fn worker(world: Shared, machine: String, fronts: Vec<SocketAddr>) {
    let mut serial = 0;
    let mut epoch = 0;
    let mut to = 0;
    let mut tasks: Vec<(String, u64, Instant)> = Vec::new();
    loop {
        let (machine_type, zone, spot) =
            match world.lock().expect("lock").cloud.machines.get(&machine) {
                Some(m) => (m.machine_type.clone(), m.zone.clone(), m.spot),
                None => return,
            };
        serial += 1;
        let over = Duration::from_millis(300);
        let r = Report {
            machine: machine.clone(),
            endpoint: "127.0.0.1:1".into(),
            machine_type,
            zone,
            spot,
            session: 1,
            serial,
            epoch,
            reclaim_in_s: None,
            tasks: tasks
                .iter()
                .map(|t| {
                    let done = t.2.elapsed() > over;
                    TaskReport {
                        task: t.0.clone(),
                        attempt: t.1,
                        status: if done { "ended" } else { "running" }.into(),
                        cause: done.then(|| "done".into()),
                        kept: None,
                    }
                })
                .collect(),
        };
        match call(fronts[to], "POST", "/checkin", &wire::encode(&r)) {
            Some((200, body)) => {
                let o: CommandBatch = wire::decode(&body).expect("orders");
                if o.epoch >= epoch {
                    epoch = o.epoch;
                    for c in o.commands {
                        match c.verb.as_str() {
                            "start" => {
                                if !tasks.iter().any(|t| t.0 == c.task && t.1 == c.attempt) {
                                    let mut w = world.lock().expect("lock");
                                    *w.starts.entry(c.task.clone()).or_insert(0) += 1;
                                    tasks.push((c.task, c.attempt, Instant::now()));
                                }
                            }
                            _ => tasks.retain(|t| t.0 != c.task || t.1 != c.attempt),
                        }
                    }
                }
            }
            Some((421, body)) => {
                let e: Option<wire::Redirect> = wire::decode(&body);
                to = e
                    .and_then(|e| e.reports_to)
                    .and_then(|m| m[1..].parse().ok())
                    .unwrap_or((to + 1) % 3);
            }
            _ => to = (to + 1) % 3,
        }
        std::thread::sleep(Duration::from_millis(200));
    }
}

fn free_port() -> u16 {
    let l = TcpListener::bind("127.0.0.1:0").expect("a port");
    l.local_addr().expect("an address").port()
}

struct Nodes(Vec<Child>);

impl Drop for Nodes {
    fn drop(&mut self) {
        for c in &mut self.0 {
            let _ = c.kill();
            let _ = c.wait();
        }
    }
}

fn settings_file(
    dir: &std::path::Path,
    n: usize,
    ports: &[(u16, u16)],
    to: [SocketAddr; 2],
) -> String {
    let known: Vec<String> = (0..3)
        .filter(|i| *i != n)
        .map(|i| {
            format!(
                r#"{{"member":"c{i}","zone":"a","address":"127.0.0.1:{}"}}"#,
                ports[i].1
            )
        })
        .collect();
    let text = format!(
        r#"{{"member":"c{n}","zone":"a","front":"127.0.0.1:{}","mesh_addr":"127.0.0.1:{}","known":[{}],
        "endpoints":{{"state":"{}","cloud":"{}"}},"cluster":{{"teams":[{{"name":"t"}}],
        "workers":{{"report_s":1.0,"lease_s":12.0,"gang_wait_s":12.0,"gang_peer_s":2.0,"cancel_s":20.0}},
        "state":{{"rps":500.0,"write_rps":100.0,"value_kb":16.0,"txn_ops":20}},
        "cloud":{{"rps":20.0,"list_lag_s":0.2}},
        "limits":{{"cpu_share":1.0,"ram_mb":200.0,"fd_limit":500}}}}}}"#,
        ports[n].0,
        ports[n].1,
        known.join(","),
        to[0],
        to[1]
    );
    let path = dir.join(format!("c{n}.json"));
    std::fs::write(&path, text).expect("settings written");
    path.display().to_string()
}

fn wait_for(what: &str, mut f: impl FnMut() -> bool) {
    let from = Instant::now();
    while from.elapsed() < Duration::from_secs(120) {
        if f() {
            return;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    panic!("in vain: {what}");
}

#[test]
fn three_real_processes_survive_kills() {
    let bin = env!("CARGO_BIN_EXE_gaugesill");
    let world: Shared = Arc::new(Mutex::new(World {
        state: StateService::default(),
        cloud: Cloud {
            boot_ms: 100,
            most: 4,
            ..Cloud::default()
        },
        starts: BTreeMap::new(),
        from: Instant::now(),
    }));
    let to = [serve(world.clone(), state), serve(world.clone(), cloud)];
    let ports: Vec<(u16, u16)> = (0..3).map(|_| (free_port(), free_port())).collect();
    let dir = std::env::temp_dir().join(format!("gaugesill-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a folder");
    let files: Vec<String> = (0..3).map(|n| settings_file(&dir, n, &ports, to)).collect();

    let ok = Command::new(bin)
        .args(["--check", "--config", &files[0]])
        .output()
        .expect("runs");
    assert!(ok.status.success());
    let none = Command::new(bin)
        .args(["--config", "/nowhere.json"])
        .output()
        .expect("runs");
    assert!(!none.status.success());
    let said = String::from_utf8_lossy(&none.stderr).to_string();
    assert_eq!(said.lines().count(), 1, "{said}");

    let start = |n: usize| {
        Command::new(bin)
            .args(["--config", &files[n]])
            .env("LOG_LEVEL", "error")
            .stdout(Stdio::null())
            .spawn()
            .expect("starts")
    };
    let mut nodes = Nodes((0..3).map(start).collect());
    let fronts: Vec<SocketAddr> = ports.iter().map(|p| ([127, 0, 0, 1], p.0).into()).collect();

    // Workers come up as machines are rented.
    {
        let (world, fronts) = (world.clone(), fronts.clone());
        std::thread::spawn(move || {
            let mut known = HashSet::new();
            loop {
                let up: Vec<String> = {
                    let w = world.lock().expect("lock");
                    let t = now(&w);
                    let m = w.cloud.machines.iter();
                    m.filter(|m| t >= m.1.up_at).map(|m| m.0.clone()).collect()
                };
                for h in up {
                    if known.insert(h.clone()) {
                        let (world, fronts) = (world.clone(), fronts.clone());
                        std::thread::spawn(move || worker(world, h, fronts));
                    }
                }
                std::thread::sleep(Duration::from_millis(20));
            }
        });
    }

    for f in &fronts {
        wait_for("a healthy controller", || {
            call(*f, "GET", "/up", b"").is_some_and(|r| r.0 == 200)
        });
    }
    let submit = |n: usize, id: &str| {
        let body = wire::encode(&submission(id, "sweep", 3, 2.0, "normal"));
        wait_for("a submission", || {
            call(fronts[n], "POST", "/work", &body).is_some_and(|r| r.0 == 200 || r.0 == 201)
        });
    };
    let done = |n: usize, id: &str| {
        wait_for("a job to be done", || {
            call(fronts[n], "GET", &format!("/work/{id}"), b"").is_some_and(|r| {
                r.0 == 200
                    && r.1.windows(4).any(|w| w == b"done")
                    && r.1.windows(7).all(|w| w != b"running" && w != b"pending")
            })
        });
    };
    assert_eq!(
        call(fronts[1], "POST", "/work", b"x").map(|r| r.0),
        Some(400)
    );
    submit(1, "run-000001");
    done(2, "run-000001");

    // The leader is killed; the others carry on, and it comes back.
    let leader = {
        let w = world.lock().expect("lock");
        let lease = w.state.keys.get("g/l/lease");
        let lease = lease.or(w.state.keys.get("g/l/leader"));
        let v = lease.expect("a leader").0.clone();
        let k: gaugesill::leadership_keys::LeaderKey = v.deserialized().expect("a leader key");
        k.member[1..].parse::<usize>().expect("a number")
    };
    let _ = nodes.0[leader].kill();
    let _ = nodes.0[leader].wait();
    let other = (leader + 1) % 3;
    submit(other, "run-000002");
    done(other, "run-000002");
    nodes.0[leader] = start(leader);
    submit(leader, "run-000003");
    done(other, "run-000003");
    wait_for("a cancellation", || {
        call(fronts[leader], "POST", "/work/run-000003/cancel", b"").is_some_and(|r| r.0 == 200)
    });
    let w = world.lock().expect("lock");
    for id in ["run-000001", "run-000002", "run-000003"] {
        for t in 0..3 {
            assert!(w.starts.contains_key(&format!("{id}/{t}")), "{id}/{t} ran");
        }
    }
    drop(w);
    let _ = std::fs::remove_dir_all(&dir);
}

/// Found with a fleet half as large again: after a mass failure the leader's own
/// calls to workers took every socket that the workers' and users' connections
/// left. Each has its part: users make room before workers do, and calls to the
/// state service get through however many workers are called.
#[test]
fn sockets_are_shared_out() {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let front = SocketAddr::from(([127, 0, 0, 1], free_port()));
    // Accept nothing: calls to them stay in progress.
    let dead = TcpListener::bind(any).expect("a port");
    let vital = TcpListener::bind(any).expect("a port");
    let bounds = ConnectionLimits {
        fd_limit: 32,
        vital: HashSet::from([vital.local_addr().expect("an address")]),
        worker_idle: Duration::from_secs(3600),
        reply_max: 1 << 20,
    };
    let mut net = EventLoop::new(front, any, bounds).expect("it listens");
    let mut serve = |socks: &mut [TcpStream], path: &str| {
        for s in socks.iter_mut() {
            let text = format!("POST {path} HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
            s.write_all(text.as_bytes()).expect("it takes a request");
        }
        let mut left = socks.len();
        let mut turns = 0;
        while left > 0 {
            turns += 1;
            assert!(turns < 4000, "{left} requests are never read");
            for ev in net.turn(Duration::from_millis(5)).expect("a turn") {
                if let Event::Request { connection, .. } = ev {
                    net.answer(connection, 200, None, &[]);
                    left -= 1;
                }
            }
        }
        socks.iter_mut().all(|s| read_message(s).is_some())
    };
    let open = |n: usize| -> Vec<TcpStream> {
        let one = |_| TcpStream::connect(front).expect("a connection");
        (0..n).map(one).collect()
    };
    let mut workers = open(16);
    assert!(serve(&mut workers, "/checkin"));
    for _ in 0..5 {
        // Eight places are left: later users take those of earlier ones.
        let mut users = open(8);
        assert!(serve(&mut users, "/work"));
    }
    assert!(serve(&mut workers, "/checkin"), "no worker was turned out");
    let mut unsent = 0;
    for tag in 0..20 {
        let to = dead.local_addr().expect("an address");
        net.call(tag, to, "GET", "/inspect", &[], Duration::from_secs(60));
    }
    let to = vital.local_addr().expect("an address");
    net.call(99, to, "GET", "/kv", &[], Duration::from_secs(60));
    for ev in net.turn(Duration::ZERO).expect("a turn") {
        if let Event::Reply { tag, outcome } = ev {
            assert_eq!(outcome, Outcome::NotSent);
            assert_ne!(tag, 99);
            unsent += 1;
        }
    }
    assert_eq!(unsent, 14);
    vital.accept().expect("the vital call gets through");
}

/// Found on lean lenteks, rough: 370 newcomers a second were taken in and read
/// before anything else was looked at, and those sent elsewhere were waited for
/// until they hung up. A turn is bounded, and 421 ends the connection.
#[test]
fn a_turn_is_bounded_and_a_redirect_closes() {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let front = SocketAddr::from(([127, 0, 0, 1], free_port()));
    let bounds = ConnectionLimits {
        fd_limit: 400,
        vital: HashSet::new(),
        worker_idle: Duration::from_secs(3600),
        reply_max: 1 << 20,
    };
    let mut net = EventLoop::new(front, any, bounds).expect("it listens");
    let mut socks: Vec<TcpStream> = (0..60)
        .map(|_| TcpStream::connect(front).expect("a connection"))
        .collect();
    for s in &mut socks {
        s.write_all(b"POST /checkin HTTP/1.1\r\nContent-Length: 0\r\n\r\n")
            .expect("it takes a request");
    }
    let (mut left, mut turns) = (socks.len(), 0);
    while left > 0 {
        turns += 1;
        assert!(turns < 4000, "{left} requests are never read");
        let events = net.turn(Duration::from_millis(5)).expect("a turn");
        assert!(events.len() <= 24, "{} at once", events.len());
        for ev in events {
            if let Event::Request { connection, .. } = ev {
                net.answer(connection, 421, None, &[]);
                left -= 1;
            }
        }
    }
    for s in &mut socks {
        let (head, _) = read_message(s).expect("an answer");
        assert!(head.contains("421"), "{head}");
        assert_eq!(s.read(&mut [0; 1]).expect("an end"), 0, "it hangs up");
    }
}

/// The head of an answer without a body.
fn read_head(socket: &mut TcpStream) -> String {
    let mut head = Vec::new();
    let mut byte = [0; 1];
    while !head.ends_with(b"\r\n\r\n") {
        socket.read_exact(&mut byte).expect("an answer");
        head.push(byte[0]);
    }
    String::from_utf8(head).expect("a head")
}

/// With more machines than places for their connections each would lose its own just
/// before its next report, if the idlest made room: nobody would keep one. Those that are
/// there keep theirs, and the others are served on connections of one request.
#[test]
fn more_machines_than_sockets() {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let front = SocketAddr::from(([127, 0, 0, 1], free_port()));
    let limits = ConnectionLimits {
        fd_limit: 64,
        vital: HashSet::new(),
        worker_idle: Duration::from_secs(3600),
        reply_max: 1 << 20,
    };
    let mut net = EventLoop::new(front, any, limits).expect("it listens");
    let mut machines: Vec<Option<TcpStream>> = (0..90).map(|_| None).collect();
    let mut connections = Vec::new();
    for _ in 0..3 {
        let mut opened = 0;
        for kept in &mut machines {
            let mut socket = kept.take().unwrap_or_else(|| {
                opened += 1;
                TcpStream::connect(front).expect("a connection")
            });
            socket
                .write_all(b"POST /checkin HTTP/1.1\r\nContent-Length: 0\r\n\r\n")
                .expect("it takes a request");
            let mut answered = false;
            let mut turns = 0;
            while !answered {
                turns += 1;
                assert!(turns < 4000, "a request is never read");
                for event in net.turn(Duration::from_millis(5)).expect("a turn") {
                    if let Event::Request { connection, .. } = event {
                        net.answer(connection, 200, None, &[]);
                        answered = true;
                    }
                }
            }
            let head = read_head(&mut socket);
            *kept = (!head.contains("Connection: close")).then_some(socket);
        }
        connections.push(opened);
    }
    let kept = machines.iter().flatten().count();
    assert!((40..48).contains(&kept), "{kept} keep their connection");
    assert_eq!(connections, [90, 90 - kept, 90 - kept]);
}

/// An answer at the bound is taken, one beyond it is told from none.
#[test]
fn answers_at_and_beyond_the_bound() {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let other = TcpListener::bind(any).expect("a port");
    let to = other.local_addr().expect("an address");
    let bound = 100_000;
    std::thread::spawn(move || {
        for (socket, length) in other.incoming().zip([bound, bound + 1]) {
            let mut socket = socket.expect("a connection");
            let _ = read_message(&mut socket);
            let head =
                format!("HTTP/1.1 200 X\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n");
            let _ = socket.write_all(head.as_bytes());
            let _ = socket.write_all(&vec![b'x'; length]);
        }
    });
    let limits = ConnectionLimits {
        fd_limit: 64,
        vital: HashSet::from([to]),
        worker_idle: Duration::from_secs(3600),
        reply_max: bound,
    };
    let front = SocketAddr::from(([127, 0, 0, 1], free_port()));
    let mut net = EventLoop::new(front, any, limits).expect("it listens");
    let mut outcome_of = |tag: u64| {
        net.call(tag, to, "GET", "/watch", &[], Duration::from_secs(20));
        for _ in 0..8000 {
            for event in net.turn(Duration::from_millis(5)).expect("a turn") {
                if let Event::Reply { outcome, .. } = event {
                    return outcome;
                }
            }
        }
        panic!("no outcome of call {tag}");
    };
    let first = outcome_of(1);
    assert!(matches!(first, Outcome::Answer { body, .. } if body.len() == bound));
    assert_eq!(outcome_of(2), Outcome::TooLarge);
}
