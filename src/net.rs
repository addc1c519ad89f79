//! The event loop: sockets over `mio`, HTTP/1.1 over `httparse`, as a server
//! on two doors and as a client with kept-open connections.

use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token, Waker};

/// Largest body that a user, worker or controller may send.
pub const BODY_MAX: usize = 64 * 1024;
const READ_MAX: usize = 16 * 1024;
const HEAD_MAX: usize = 8 * 1024;
/// The state service's watch has no size limit of its own; ours.
const REPLY_MAX: usize = 16 * 1024 * 1024;
const WAKE: Token = Token(0);
const FRONT: Token = Token(1);
const MESH: Token = Token(2);
/// Where workers report.
pub const CHECKIN: &str = "/checkin";
const FIRST_CONN: usize = 16;
/// Shares of all sockets: for those who connect to us, and for our calls to
/// workers. The rest is for calls that must get through, and for the time that
/// closing takes.
const SHARES: usize = 16;
const SERVERS: usize = 12;
const CLIENTS: usize = 3;
/// Connections that are read, or taken in, in a row before another look at what
/// must not be late: on a small share of a processor a few hundred at once take
/// longer than a leader's grant lasts.
const BATCH: usize = 24;
/// Of newcomers so many at least: those who have been served before go first, so
/// that they stay, and a successor's fleet comes over one by one. A connection
/// that is made anew for each request costs three times as much as one that is
/// kept, and all of them at once more than a small share of a processor has.
const NEW_BATCH: usize = BATCH / 4;
/// Who has waited longer than the first is read after those who came later; and
/// after the second, a worker's patience, is hung up on unread. Were all served
/// in order, each would be served too late once the queue is that long, and
/// would come back with a connection more: nobody would ever be in time again.
const FAIR_MS: u64 = 1000;
const PATIENCE_MS: u64 = 3900;
const EVENTS: usize = 512;
const SWEEP_MS: u64 = 50;
const SWEEP_ALL_MS: u64 = 1000;
/// A request must be complete within this time of its first byte.
const REQUEST_S: u64 = 10;
const IDLE_S: u64 = 120;
/// Workers are called rarely and are many.
const CLIENT_IDLE_S: u64 = 5;

/// Where a request came in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Door {
    Front,
    Mesh,
}

#[derive(Debug)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub body: Vec<u8>,
}

/// What a call came to: an answer, or none (it may have been carried out), or
/// no connection (nothing was sent).
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    Answer { status: u16, body: Vec<u8> },
    Silence,
    Unsent,
}

#[derive(Debug)]
pub enum Event {
    Request {
        conn: usize,
        door: Door,
        request: Request,
    },
    Reply {
        tag: u64,
        outcome: Outcome,
    },
}

/// What the core wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    Answer {
        conn: usize,
        status: u16,
        retry_after: Option<u32>,
        body: Vec<u8>,
    },
    Call {
        tag: u64,
        to: SocketAddr,
        method: &'static str,
        path: String,
        body: Vec<u8>,
        timeout_ms: u64,
    },
}

enum Role {
    Server {
        door: Door,
        /// It has brought a worker's report.
        worker: bool,
        /// A request was handed on and not answered yet.
        busy: bool,
        close: bool,
        started: Option<Instant>,
    },
    Client {
        to: SocketAddr,
        call: Option<u64>,
        deadline: Instant,
    },
}

struct Conn {
    sock: TcpStream,
    role: Role,
    input: Vec<u8>,
    out: Vec<u8>,
    sent: usize,
    open: bool,
    /// The poll tells of room to write.
    writable: bool,
    /// Expected to serve many requests.
    lasting: bool,
    used: Instant,
    /// It has had an answer.
    served: bool,
    /// Has something to read, and waits for its turn since then.
    waits: Option<Instant>,
    eof: bool,
}

impl Conn {
    /// `open`: it was accepted; else it is being made.
    fn new(sock: TcpStream, role: Role, out: Vec<u8>, open: bool, now: Instant) -> Conn {
        Conn {
            sock,
            role,
            input: Vec::new(),
            out,
            sent: 0,
            open,
            writable: !open,
            lasting: open,
            used: now,
            served: false,
            waits: None,
            eof: false,
        }
    }
}

/// What the sockets have to keep to.
#[derive(Debug, Clone)]
pub struct Bounds {
    /// How many there may be.
    pub fd_limit: usize,
    /// Whom a call must always reach, however many workers are called: the
    /// state service, the cloud and the other controllers.
    pub vital: HashSet<SocketAddr>,
    /// A worker that has said nothing for so long is gone.
    pub worker_idle: Duration,
}

/// All sockets of the process.
pub struct Net {
    poll: Poll,
    events: Events,
    front: TcpListener,
    mesh: TcpListener,
    conns: HashMap<usize, Conn>,
    pool: HashMap<SocketAddr, Vec<usize>>,
    next: usize,
    servers: usize,
    server_max: usize,
    /// Connections to workers; those to `vital` addresses are few and not
    /// counted.
    clients: usize,
    client_max: usize,
    bounds: Bounds,
    ready: Vec<Event>,
    /// When this turn began, for what need not be exact.
    now: Instant,
    /// Connections with something to read whose turn has not come, in order:
    /// those that have been served before, and newcomers.
    todo: VecDeque<usize>,
    newcomers: VecDeque<usize>,
    /// How long the one that waited the longest did, in milliseconds.
    waited: u64,
    /// Doors at which more may wait.
    at_front: bool,
    at_mesh: bool,
    buf: Box<[u8]>,
    /// Connections with a call in progress.
    calling: BTreeSet<usize>,
    swept: Instant,
    swept_all: Instant,
    accept_again: bool,
}

/// A door with the short queue that the standard library gives it: who waits in
/// a long one has given up before being taken in.
fn listen(at: SocketAddr) -> io::Result<TcpListener> {
    let door = std::net::TcpListener::bind(at)?;
    door.set_nonblocking(true)?;
    Ok(TcpListener::from_std(door))
}

impl Net {
    pub fn new(front: SocketAddr, mesh: SocketAddr, bounds: Bounds) -> io::Result<Net> {
        let poll = Poll::new()?;
        let mut front = listen(front)?;
        let mut mesh = listen(mesh)?;
        poll.registry()
            .register(&mut front, FRONT, Interest::READABLE)?;
        poll.registry()
            .register(&mut mesh, MESH, Interest::READABLE)?;
        Ok(Net {
            poll,
            events: Events::with_capacity(EVENTS),
            front,
            mesh,
            conns: HashMap::new(),
            pool: HashMap::new(),
            next: FIRST_CONN,
            servers: 0,
            server_max: (bounds.fd_limit * SERVERS / SHARES).max(8),
            clients: 0,
            client_max: (bounds.fd_limit * CLIENTS / SHARES).max(4),
            bounds,
            ready: Vec::new(),
            now: Instant::now(),
            todo: VecDeque::new(),
            newcomers: VecDeque::new(),
            waited: 0,
            at_front: false,
            at_mesh: false,
            buf: vec![0; READ_MAX].into_boxed_slice(),
            calling: BTreeSet::new(),
            swept: Instant::now(),
            swept_all: Instant::now(),
            accept_again: false,
        })
    }

    /// For other threads to end a wait.
    pub fn waker(&self) -> io::Result<Arc<Waker>> {
        Ok(Arc::new(Waker::new(self.poll.registry(), WAKE)?))
    }

    /// Waits for at most `wait` and returns what came in: all from the state
    /// service, the cloud and the other controllers, and a bounded part of the
    /// rest, whose turn comes in order.
    pub fn turn(&mut self, wait: Duration) -> io::Result<Vec<Event>> {
        let mut events = std::mem::replace(&mut self.events, Events::with_capacity(0));
        let more = !self.ready.is_empty()
            || !self.todo.is_empty()
            || !self.newcomers.is_empty()
            || self.at_front
            || self.at_mesh;
        let wait = if more { Duration::ZERO } else { wait };
        match self.poll.poll(&mut events, Some(wait)) {
            Ok(()) => {}
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
        self.now = Instant::now();
        for ev in events.iter() {
            match ev.token() {
                WAKE => {}
                FRONT => self.at_front = true,
                MESH => self.at_mesh = true,
                Token(id) => {
                    if ev.is_writable() || ev.is_error() {
                        self.flush(id);
                    }
                    if ev.is_readable() || ev.is_read_closed() || ev.is_error() {
                        if self.urgent(id) {
                            self.read(id);
                        } else if let Some(c) = self.conns.get_mut(&id) {
                            if c.waits.is_none() {
                                c.waits = Some(self.now);
                                if c.served {
                                    self.todo.push_back(id);
                                } else {
                                    self.newcomers.push_back(id);
                                }
                            }
                        }
                    }
                }
            }
        }
        self.events = events;
        if self.at_mesh {
            self.at_mesh = self.accept(Door::Mesh, BATCH);
        }
        if self.at_front {
            let busy = self.todo.len() + self.newcomers.len() > BATCH;
            let most = if busy { NEW_BATCH } else { BATCH };
            self.at_front = self.accept(Door::Front, most);
        }
        self.serve_waiting();
        let now = self.now;
        if now.duration_since(self.swept) >= Duration::from_millis(SWEEP_MS) {
            self.swept = now;
            self.sweep(now);
        }
        Ok(std::mem::take(&mut self.ready))
    }

    /// Reads a part of those who wait.
    fn serve_waiting(&mut self) {
        let done = self.serve_some(false, BATCH);
        self.serve_some(true, (BATCH - done).max(NEW_BATCH));
    }

    /// Reads at most so many newcomers, or others; tells how many.
    fn serve_some(&mut self, new: bool, most: usize) -> usize {
        let mut done = 0;
        while done < most {
            let line = if new {
                &mut self.newcomers
            } else {
                &mut self.todo
            };
            let Some(id) = line.front().copied() else {
                break;
            };
            let Some(since) = self.conns.get(&id).and_then(|c| c.waits) else {
                line.pop_front();
                continue;
            };
            let wait = self.now.duration_since(since).as_millis() as u64;
            self.waited = self.waited.max(wait);
            if wait > PATIENCE_MS {
                line.pop_front();
                self.close(id);
                continue;
            }
            let next = if wait > FAIR_MS {
                line.pop_back()
            } else {
                line.pop_front()
            };
            let Some(id) = next else { break };
            if let Some(c) = self.conns.get_mut(&id) {
                c.waits = None;
            }
            self.read(id);
            done += 1;
        }
        done
    }

    /// How long whoever waited the longest since the last look did, in
    /// milliseconds: the measure of how far this process is behind.
    pub fn waited(&mut self) -> u64 {
        std::mem::take(&mut self.waited)
    }

    /// Calls to `vital` addresses and what other controllers ask.
    fn urgent(&self, id: usize) -> bool {
        match self.conns.get(&id).map(|c| &c.role) {
            Some(Role::Server { door, .. }) => *door == Door::Mesh,
            Some(Role::Client { to, .. }) => self.bounds.vital.contains(to),
            None => false,
        }
    }

    /// Takes in those who wait at a door, at most `most`. True if there may be
    /// more.
    fn accept(&mut self, door: Door, most: usize) -> bool {
        for _ in 0..most {
            let got = match door {
                Door::Front => self.front.accept(),
                Door::Mesh => self.mesh.accept(),
            };
            let mut sock = match got {
                Ok((s, _)) => s,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return false,
                // Out of sockets or an aborted connection: an edge is told
                // once only, so the sweep tries again.
                Err(_) => {
                    self.accept_again = true;
                    return false;
                }
            };
            if self.servers >= self.server_max {
                self.drop_idlest();
                if self.servers >= self.server_max {
                    continue;
                }
            }
            // An answer goes out in one piece and the next request acknowledges
            // it: nothing waits for Nagle, and nobody waits to write.
            let id = self.next;
            self.next += 1;
            let registry = self.poll.registry();
            if registry
                .register(&mut sock, Token(id), Interest::READABLE)
                .is_err()
            {
                continue;
            }
            self.servers += 1;
            let role = Role::Server {
                door,
                worker: false,
                busy: false,
                close: false,
                started: None,
            };
            let conn = Conn::new(sock, role, Vec::new(), true, self.now);
            self.conns.insert(id, conn);
        }
        true
    }

    /// Makes room for a newcomer: the server connection idle the longest goes,
    /// a worker's only if there is no other. A user whose connection is closed
    /// comes back with the next request, a worker tries elsewhere first.
    fn drop_idlest(&mut self) {
        let idlest = self
            .conns
            .iter()
            .filter_map(|(id, c)| match c.role {
                Role::Server {
                    busy: false,
                    worker,
                    ..
                } if !(worker && c.waits.is_some()) => Some((worker, c.used, *id)),
                _ => None,
            })
            .min();
        if let Some((.., id)) = idlest {
            self.close(id);
        }
    }

    /// Room for one more call to a worker: the connection idle the longest
    /// goes. False if all are in use.
    fn spare_client(&mut self) -> bool {
        if self.clients < self.client_max {
            return true;
        }
        let idlest = self
            .conns
            .iter()
            .filter_map(|(id, c)| match c.role {
                Role::Client { to, call: None, .. } if !self.bounds.vital.contains(&to) => {
                    Some((c.used, *id))
                }
                _ => None,
            })
            .min();
        if let Some((_, id)) = idlest {
            self.close(id);
        }
        self.clients < self.client_max
    }

    fn close(&mut self, id: usize) {
        // Closing a socket takes it out of the poll, too.
        let Some(c) = self.conns.remove(&id) else {
            return;
        };
        match c.role {
            Role::Server { .. } => self.servers -= 1,
            Role::Client { to, call, .. } => {
                self.calling.remove(&id);
                if !self.bounds.vital.contains(&to) {
                    self.clients -= 1;
                }
                if let Some(list) = self.pool.get_mut(&to) {
                    list.retain(|x| *x != id);
                }
                if let Some(tag) = call {
                    let outcome = if c.open {
                        Outcome::Silence
                    } else {
                        Outcome::Unsent
                    };
                    self.ready.push(Event::Reply { tag, outcome });
                }
            }
        }
    }

    fn flush(&mut self, id: usize) {
        let Some(c) = self.conns.get_mut(&id) else {
            return;
        };
        while c.sent < c.out.len() {
            match c.sock.write(&c.out[c.sent..]) {
                Ok(0) => return self.close(id),
                Ok(n) => {
                    c.open = true;
                    c.sent += n;
                }
                // The first write tells whether a connection has come about.
                Err(e) if e.kind() == io::ErrorKind::NotConnected => return,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    if !c.writable {
                        c.writable = true;
                        let both = Interest::READABLE | Interest::WRITABLE;
                        let registry = self.poll.registry();
                        if registry.reregister(&mut c.sock, Token(id), both).is_err() {
                            self.close(id);
                        }
                    }
                    return;
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return self.close(id),
            }
        }
        c.out.clear();
        c.sent = 0;
        if c.writable && c.lasting {
            // Told of room to write only while it is waited for.
            c.writable = false;
            let registry = self.poll.registry();
            if registry
                .reregister(&mut c.sock, Token(id), Interest::READABLE)
                .is_err()
            {
                return self.close(id);
            }
        }
        if let Role::Server {
            close: true,
            busy: false,
            ..
        } = c.role
        {
            self.close(id);
        }
    }

    fn read(&mut self, id: usize) {
        loop {
            let Some(c) = self.conns.get_mut(&id) else {
                return;
            };
            let cap = match c.role {
                Role::Server { .. } => BODY_MAX + HEAD_MAX,
                Role::Client { .. } => REPLY_MAX,
            };
            if c.input.len() > cap {
                // Nobody reads on beyond what a request may be.
                break;
            }
            match c.sock.read(&mut self.buf) {
                Ok(0) => {
                    c.eof = true;
                    break;
                }
                Ok(n) => {
                    c.input.extend_from_slice(&self.buf[..n]);
                    c.used = self.now;
                    if n < self.buf.len() {
                        // A short read empties the socket; mio's edge will
                        // tell of anything newer.
                        break;
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return self.close(id),
            }
        }
        let server = match self.conns.get(&id) {
            Some(c) => matches!(c.role, Role::Server { .. }),
            None => return,
        };
        if server {
            self.parse_request(id);
        } else {
            self.parse_reply(id);
        }
        if let Some(c) = self.conns.get(&id) {
            if c.eof {
                let waits = matches!(c.role, Role::Server { busy: true, .. });
                if !waits || c.out.is_empty() {
                    self.close(id);
                }
            }
        }
    }

    fn refuse(&mut self, id: usize, status: u16) {
        if let Some(c) = self.conns.get_mut(&id) {
            c.input.clear();
            if let Role::Server { busy, close, .. } = &mut c.role {
                *busy = true;
                *close = true;
            }
        }
        self.answer(id, status, None, &[]);
    }

    fn parse_request(&mut self, id: usize) {
        let Some(c) = self.conns.get_mut(&id) else {
            return;
        };
        let Role::Server {
            door,
            worker,
            busy,
            close,
            started,
        } = &mut c.role
        else {
            return;
        };
        if *busy || c.input.is_empty() {
            return;
        }
        if started.is_none() {
            *started = Some(Instant::now());
        }
        let mut headers = [httparse::EMPTY_HEADER; 48];
        let mut req = httparse::Request::new(&mut headers);
        let head = match req.parse(&c.input) {
            Ok(httparse::Status::Complete(n)) => n,
            Ok(httparse::Status::Partial) => {
                if c.input.len() > HEAD_MAX {
                    self.refuse(id, 431);
                }
                return;
            }
            Err(_) => return self.refuse(id, 400),
        };
        let mut length = 0usize;
        let mut shut = req.version == Some(0);
        let mut bad = None;
        for h in req.headers.iter() {
            if h.name.eq_ignore_ascii_case("content-length") {
                match std::str::from_utf8(h.value)
                    .ok()
                    .and_then(|v| v.trim().parse::<usize>().ok())
                {
                    Some(n) => length = n,
                    None => bad = Some(400),
                }
            } else if h.name.eq_ignore_ascii_case("transfer-encoding") {
                bad = Some(411);
            } else if h.name.eq_ignore_ascii_case("connection")
                && h.value.eq_ignore_ascii_case(b"close")
            {
                shut = true;
            }
        }
        if length > BODY_MAX {
            bad = Some(413);
        }
        if let Some(status) = bad {
            return self.refuse(id, status);
        }
        if c.input.len() < head + length {
            return;
        }
        let request = Request {
            method: req.method.unwrap_or("").to_string(),
            path: req.path.unwrap_or("").to_string(),
            body: c.input[head..head + length].to_vec(),
        };
        c.input.drain(..head + length);
        *worker = request.path == CHECKIN;
        *busy = true;
        *close = shut;
        *started = None;
        let door = *door;
        self.ready.push(Event::Request {
            conn: id,
            door,
            request,
        });
    }

    fn parse_reply(&mut self, id: usize) {
        let Some(c) = self.conns.get_mut(&id) else {
            return;
        };
        let Role::Client { to, call, .. } = &mut c.role else {
            return;
        };
        if call.is_none() {
            // Nothing was asked: the other side hung up or is confused.
            if c.eof || !c.input.is_empty() {
                self.close(id);
            }
            return;
        }
        let mut headers = [httparse::EMPTY_HEADER; 48];
        let mut resp = httparse::Response::new(&mut headers);
        let head = match resp.parse(&c.input) {
            Ok(httparse::Status::Complete(n)) => n,
            Ok(httparse::Status::Partial) => {
                if c.input.len() > 4 * HEAD_MAX {
                    self.close(id);
                }
                return;
            }
            Err(_) => return self.close(id),
        };
        let status = resp.code.unwrap_or(0);
        let mut length = None;
        let mut shut = false;
        for h in resp.headers.iter() {
            if h.name.eq_ignore_ascii_case("content-length") {
                length = std::str::from_utf8(h.value)
                    .ok()
                    .and_then(|v| v.trim().parse::<usize>().ok());
            } else if h.name.eq_ignore_ascii_case("connection")
                && h.value.eq_ignore_ascii_case(b"close")
            {
                shut = true;
            }
        }
        let total = match length {
            Some(n) if n > REPLY_MAX => return self.close(id),
            Some(n) => head + n,
            None if matches!(status, 204 | 304) => head,
            // Without a length the body ends with the connection.
            None if c.eof => c.input.len(),
            None => return,
        };
        if c.input.len() < total {
            return;
        }
        let body = c.input[head..total].to_vec();
        c.input.drain(..total);
        let tag = call.take();
        self.calling.remove(&id);
        let to = *to;
        c.used = self.now;
        if let Some(tag) = tag {
            self.ready.push(Event::Reply {
                tag,
                outcome: Outcome::Answer { status, body },
            });
        }
        if shut || c.eof || !c.input.is_empty() || length.is_none() {
            self.close(id);
        } else {
            self.pool.entry(to).or_default().push(id);
        }
    }

    /// Answers a request that was handed on.
    pub fn answer(&mut self, id: usize, status: u16, retry_after: Option<u32>, body: &[u8]) {
        let Some(c) = self.conns.get_mut(&id) else {
            return;
        };
        let Role::Server { busy, close, .. } = &mut c.role else {
            return;
        };
        if !*busy {
            return;
        }
        *busy = false;
        c.served = true;
        // Whoever is sent elsewhere hangs up: one look less at who has gone.
        if c.eof || status == 421 {
            *close = true;
        }
        let reason = match status {
            200 => "OK",
            201 => "Created",
            400 => "Bad Request",
            404 => "Not Found",
            421 => "Misdirected Request",
            429 => "Too Many Requests",
            503 => "Service Unavailable",
            _ => "Answer",
        };
        let mut head = format!(
            "HTTP/1.1 {status} {reason}\r\nContent-Length: {}\r\n",
            body.len()
        );
        if !body.is_empty() {
            head.push_str("Content-Type: application/cbor\r\n");
        }
        if let Some(s) = retry_after {
            head.push_str(&format!("Retry-After: {s}\r\n"));
        }
        if *close {
            head.push_str("Connection: close\r\n");
        }
        head.push_str("\r\n");
        c.out.extend_from_slice(head.as_bytes());
        c.out.extend_from_slice(body);
        c.used = self.now;
        self.flush(id);
        // A further request may have come in behind the first.
        if self.conns.get(&id).is_some_and(|c| !c.input.is_empty()) {
            self.parse_request(id);
        }
    }

    /// Sends a request; the outcome comes as an event with the same tag.
    pub fn call(
        &mut self,
        tag: u64,
        to: SocketAddr,
        method: &str,
        path: &str,
        body: &[u8],
        timeout: Duration,
    ) {
        let mut msg = format!("{method} {path} HTTP/1.1\r\nHost: {to}\r\n");
        if !body.is_empty() || method == "POST" {
            msg.push_str(&format!(
                "Content-Type: application/cbor\r\nContent-Length: {}\r\n",
                body.len()
            ));
        }
        msg.push_str("\r\n");
        let mut out = msg.into_bytes();
        out.extend_from_slice(body);
        let now = Instant::now();
        let deadline = now + timeout;
        while let Some(id) = self.pool.get_mut(&to).and_then(Vec::pop) {
            let Some(c) = self.conns.get_mut(&id) else {
                continue;
            };
            if c.eof {
                self.close(id);
                continue;
            }
            c.role = Role::Client {
                to,
                call: Some(tag),
                deadline,
            };
            c.out = out;
            c.sent = 0;
            c.used = now;
            self.calling.insert(id);
            self.flush(id);
            return;
        }
        let fail = Event::Reply {
            tag,
            outcome: Outcome::Unsent,
        };
        let counted = !self.bounds.vital.contains(&to);
        if counted && !self.spare_client() {
            self.ready.push(fail);
            return;
        }
        let Ok(mut sock) = TcpStream::connect(to) else {
            self.ready.push(fail);
            return;
        };
        if !counted {
            let _ = sock.set_nodelay(true);
        }
        let id = self.next;
        self.next += 1;
        if self
            .poll
            .registry()
            .register(
                &mut sock,
                Token(id),
                Interest::READABLE | Interest::WRITABLE,
            )
            .is_err()
        {
            self.ready.push(fail);
            return;
        }
        let role = Role::Client {
            to,
            call: Some(tag),
            deadline,
        };
        self.clients += usize::from(counted);
        self.calling.insert(id);
        let mut conn = Conn::new(sock, role, out, false, now);
        conn.lasting = !counted;
        self.conns.insert(id, conn);
    }

    /// Calls are looked over often, since their time runs out in part of a
    /// second; all the other connections, which are many, rarely.
    fn sweep(&mut self, now: Instant) {
        let mut dead: Vec<usize> = Vec::new();
        for id in &self.calling {
            if let Some(Role::Client { deadline, .. }) = self.conns.get(id).map(|c| &c.role) {
                if now >= *deadline {
                    dead.push(*id);
                }
            }
        }
        let all = now.duration_since(self.swept_all) >= Duration::from_millis(SWEEP_ALL_MS);
        if all {
            self.swept_all = now;
            self.idle(now, &mut dead);
        }
        for id in dead {
            self.close(id);
        }
        if std::mem::take(&mut self.accept_again) {
            self.at_front = true;
            self.at_mesh = true;
        }
    }

    /// Connections that have been idle for too long.
    fn idle(&self, now: Instant, dead: &mut Vec<usize>) {
        for (id, c) in &self.conns {
            let idle = now.duration_since(c.used);
            let gone = match &c.role {
                Role::Client { call: Some(_), .. } => false,
                Role::Client { call: None, .. } => idle.as_secs() >= CLIENT_IDLE_S,
                Role::Server { busy: true, .. } => false,
                Role::Server {
                    started: Some(t), ..
                } => now.duration_since(*t).as_secs() >= REQUEST_S,
                Role::Server { worker: true, .. } => idle >= self.bounds.worker_idle,
                Role::Server { .. } => {
                    idle.as_secs() >= if c.out.is_empty() { IDLE_S } else { REQUEST_S }
                }
            };
            if gone {
                dead.push(*id);
            }
        }
    }
}
