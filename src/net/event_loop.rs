//! The event loop: which connections are taken in, read and written, in which order.

use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use mio::net::TcpListener;
use mio::{Events, Interest, Poll, Token, Waker};

use super::connection::{Connection, Role};
use super::lru_connections::{IdleConnection, LruConnections};
use super::{Event, Listener, Outcome, BODY_MAX, HEAD_MAX, REPLY_HEAD_MAX};

const READ_MAX: usize = 16 * 1024;
const WAKE: Token = Token(0);
const FRONT: Token = Token(1);
const PEERS: Token = Token(2);
const FIRST_CONNECTION: usize = 16;
const EVENTS_MAX: usize = 512;
/// Shares of all sockets: for those who connect to us, and for our calls to
/// Agents. The rest is for calls that must get through, and for the time that
/// closing takes.
const SHARES: usize = 16;
const SERVER_SHARES: usize = 12;
const CLIENT_SHARES: usize = 3;
/// The part of the places for those who connect that lasting connections of agents may
/// take; the rest is for those who come and go.
const CROWDED_SHARE: (usize, usize) = (7, 8);
const SERVERS_MIN: usize = 8;
const CLIENTS_MIN: usize = 4;
/// Connections that are read, or taken in, in a row before another look at what
/// must not be late: on a small share of a processor a few hundred at once take
/// longer than a leader's grant lasts.
const BATCH: usize = 24;
/// Of newcomers so many at least: those who have been served before go first, so
/// that they stay, and a successor's agents come over one by one. A connection
/// that is made anew for each request costs three times as much as one that is
/// kept, and all of them at once more than a small share of a processor has.
const NEWCOMER_BATCH: usize = BATCH / 4;
/// Who has waited longer than the first is read after those who came later; and
/// after the second, an agent's patience, is closed unread. Were all served
/// in order, each would be served too late once the queue is that long, and
/// would come back with a connection more: nobody would ever be in time again.
const FAIR_MS: u64 = 1000;
const PATIENCE_MS: u64 = 3900;
/// How often calls are looked over, as their time runs out in part of a second.
const SWEEP_INTERVAL: Duration = Duration::from_millis(50);

/// What the sockets have to keep to.
#[derive(Debug, Clone)]
pub struct ConnectionLimits {
    /// How many sockets there may be.
    pub fd_limit: usize,
    /// Whom a call must always reach, however many agents are called: the
    /// store, the cloud and the other controllers.
    pub vital: HashSet<SocketAddr>,
    /// An agent that has said nothing for so long is gone.
    pub agent_idle: Duration,
    /// Largest answer to a call: the store's watch has no limit of its own.
    pub reply_max: usize,
}

/// All sockets of the process.
pub struct EventLoop {
    pub(super) poll: Poll,
    events: Events,
    front: TcpListener,
    peers: TcpListener,
    pub(super) connections: HashMap<usize, Connection>,
    /// Idle connections that we have opened.
    pub(super) pool: HashMap<SocketAddr, Vec<usize>>,
    next_id: usize,
    servers: usize,
    /// Those of them that have brought an agent's report.
    pub(super) agents: usize,
    servers_max: usize,
    /// Connections to agents; those to `vital` addresses are few and not
    /// counted.
    pub(super) clients: usize,
    pub(super) clients_max: usize,
    pub(super) limits: ConnectionLimits,
    pub(super) ready: Vec<Event>,
    /// When this turn began, for what need not be exact.
    pub(super) now: Instant,
    /// Connections with something to read whose turn has not come, in order:
    /// those that have been served before, and newcomers.
    waiting: VecDeque<usize>,
    newcomers: VecDeque<usize>,
    /// The longest that one of them waited, in milliseconds.
    longest_wait_ms: u64,
    /// More may wait to be accepted.
    front_pending: bool,
    peers_pending: bool,
    accept_again: bool,
    buffer: Box<[u8]>,
    /// Connections with a call in progress.
    pub(super) calling: BTreeSet<usize>,
    lru_servers: LruConnections,
    pub(super) lru_clients: LruConnections,
    swept_at: Instant,
    pub(super) idle_swept_at: Instant,
}

/// A listener with the short queue that the standard library gives it: who waits in
/// a long one has given up before being accepted.
fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    Ok(TcpListener::from_std(listener))
}

impl EventLoop {
    /// Listens on both addresses.
    pub fn new(
        front: SocketAddr,
        peers: SocketAddr,
        limits: ConnectionLimits,
    ) -> io::Result<EventLoop> {
        let poll = Poll::new()?;
        let mut front = listen(front)?;
        let mut peers = listen(peers)?;
        let registry = poll.registry();
        registry.register(&mut front, FRONT, Interest::READABLE)?;
        registry.register(&mut peers, PEERS, Interest::READABLE)?;
        let share = |shares: usize| limits.fd_limit * shares / SHARES;
        let now = Instant::now();
        Ok(EventLoop {
            poll,
            events: Events::with_capacity(EVENTS_MAX),
            front,
            peers,
            connections: HashMap::new(),
            pool: HashMap::new(),
            next_id: FIRST_CONNECTION,
            servers: 0,
            agents: 0,
            servers_max: share(SERVER_SHARES).max(SERVERS_MIN),
            clients: 0,
            clients_max: share(CLIENT_SHARES).max(CLIENTS_MIN),
            limits,
            ready: Vec::new(),
            now,
            waiting: VecDeque::new(),
            newcomers: VecDeque::new(),
            longest_wait_ms: 0,
            front_pending: false,
            peers_pending: false,
            accept_again: false,
            buffer: vec![0; READ_MAX].into_boxed_slice(),
            calling: BTreeSet::new(),
            lru_servers: LruConnections::default(),
            lru_clients: LruConnections::default(),
            swept_at: now,
            idle_swept_at: now,
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
        let wait = if self.has_more() {
            Duration::ZERO
        } else {
            wait
        };
        match self.poll.poll(&mut events, Some(wait)) {
            Ok(()) => {}
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
        self.now = Instant::now();
        for event in events.iter() {
            match event.token() {
                WAKE => {}
                FRONT => self.front_pending = true,
                PEERS => self.peers_pending = true,
                Token(id) => {
                    if event.is_writable() || event.is_error() {
                        self.flush(id);
                    }
                    if event.is_readable() || event.is_read_closed() || event.is_error() {
                        self.read_or_queue(id);
                    }
                }
            }
        }
        self.events = events;
        self.accept_pending();
        self.read_waiting();
        if self.now.duration_since(self.swept_at) >= SWEEP_INTERVAL {
            self.swept_at = self.now;
            self.sweep();
        }
        Ok(std::mem::take(&mut self.ready))
    }

    fn has_more(&self) -> bool {
        !self.ready.is_empty()
            || !self.waiting.is_empty()
            || !self.newcomers.is_empty()
            || self.front_pending
            || self.peers_pending
    }

    /// What is urgent is read at once, the rest in its turn.
    fn read_or_queue(&mut self, id: usize) {
        if self.is_urgent(id) {
            return self.read(id);
        }
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        if connection.waits_since.is_some() {
            return;
        }
        connection.waits_since = Some(self.now);
        if connection.was_served {
            self.waiting.push_back(id);
        } else {
            self.newcomers.push_back(id);
        }
    }

    /// Answers from `vital` addresses, and what other controllers ask.
    fn is_urgent(&self, id: usize) -> bool {
        match self.connections.get(&id).map(|c| &c.role) {
            Some(Role::Server(state)) => state.listener == Listener::Peers,
            Some(Role::Client(state)) => self.limits.vital.contains(&state.address),
            None => false,
        }
    }

    /// Reads a part of those who wait.
    fn read_waiting(&mut self) {
        let done = self.read_queue(false, BATCH);
        self.read_queue(true, (BATCH - done).max(NEWCOMER_BATCH));
    }

    /// Reads at most `max` newcomers, or others; returns how many.
    fn read_queue(&mut self, newcomers: bool, max: usize) -> usize {
        let mut done = 0;
        while done < max {
            let queue = if newcomers {
                &mut self.newcomers
            } else {
                &mut self.waiting
            };
            let Some(first) = queue.front().copied() else {
                break;
            };
            let connection = self.connections.get(&first);
            let Some(since) = connection.and_then(|c| c.waits_since) else {
                queue.pop_front();
                continue;
            };
            let wait_ms = self.now.duration_since(since).as_millis() as u64;
            self.longest_wait_ms = self.longest_wait_ms.max(wait_ms);
            if wait_ms > PATIENCE_MS {
                queue.pop_front();
                self.close(first);
                continue;
            }
            let next = if wait_ms > FAIR_MS {
                queue.pop_back()
            } else {
                queue.pop_front()
            };
            let Some(id) = next else { break };
            if let Some(connection) = self.connections.get_mut(&id) {
                connection.waits_since = None;
            }
            self.read(id);
            done += 1;
        }
        done
    }

    /// The longest that anybody has waited to be read since the last call, in
    /// milliseconds: the measure of how far this process is behind.
    pub fn take_longest_wait_ms(&mut self) -> u64 {
        std::mem::take(&mut self.longest_wait_ms)
    }

    fn accept_pending(&mut self) {
        if self.peers_pending {
            self.peers_pending = self.accept(Listener::Peers, BATCH);
        }
        if self.front_pending {
            let busy = self.waiting.len() + self.newcomers.len() > BATCH;
            let max = if busy { NEWCOMER_BATCH } else { BATCH };
            self.front_pending = self.accept(Listener::Front, max);
        }
    }

    /// Accepts at most `max` of those who wait. True if there may be more.
    fn accept(&mut self, listener: Listener, max: usize) -> bool {
        for _ in 0..max {
            let accepted = match listener {
                Listener::Front => self.front.accept(),
                Listener::Peers => self.peers.accept(),
            };
            let mut socket = match accepted {
                Ok((socket, _)) => socket,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return false,
                // Out of sockets or an aborted connection: an edge is told
                // once only, so the sweep tries again.
                Err(_) => {
                    self.accept_again = true;
                    return false;
                }
            };
            if self.servers >= self.servers_max {
                self.close_lru_server();
                if self.servers >= self.servers_max {
                    continue;
                }
            }
            // An answer goes out in one piece and the next request acknowledges
            // it: nothing waits for Nagle, and nobody waits to write.
            let id = self.take_id();
            let registry = self.poll.registry();
            let registered = registry.register(&mut socket, Token(id), Interest::READABLE);
            if registered.is_ok() {
                self.servers += 1;
                let connection = Connection::accepted(socket, listener, self.now);
                self.connections.insert(id, connection);
            }
        }
        true
    }

    pub(super) fn take_id(&mut self) -> usize {
        self.next_id += 1;
        self.next_id - 1
    }

    /// Evicts the least recently used server connection for a newcomer,
    /// an agent's only if there is no other. A user whose connection is closed
    /// comes back with the next request, an agent tries elsewhere first.
    fn close_lru_server(&mut self) {
        let mut lru_connections = std::mem::take(&mut self.lru_servers);
        self.close_lru(&mut lru_connections, |connection, _| {
            match &connection.role {
                Role::Server(state) => {
                    let agent_waits = state.agent && connection.waits_since.is_some();
                    (!state.busy && !agent_waits).then_some(state.agent)
                }
                Role::Client(_) => None,
            }
        });
        self.lru_servers = lru_connections;
    }

    /// Closes the connection idle the longest of those that `closable` allows, which tells
    /// whether they are agents'.
    pub(super) fn close_lru(
        &mut self,
        lru_connections: &mut LruConnections,
        closable: impl Fn(&Connection, &ConnectionLimits) -> Option<bool>,
    ) {
        loop {
            while let Some(idle) = lru_connections.pop() {
                let connection = self.connections.get(&idle.id);
                let unused = |c: &&Connection| {
                    c.used_at == idle.used_at && closable(c, &self.limits).is_some()
                };
                if connection.is_some_and(|c| unused(&c)) {
                    return self.close(idle.id);
                }
            }
            if !lru_connections.may_scan(self.now) {
                return;
            }
            let all = self.connections.iter();
            let idle = all.filter_map(|(id, connection)| {
                Some(IdleConnection {
                    agent: closable(connection, &self.limits)?,
                    used_at: connection.used_at,
                    id: *id,
                })
            });
            lru_connections.refill(idle.collect(), self.now);
        }
    }

    /// Whether agents have nearly all places for those who connect. One that comes then is
    /// served on a connection of one request: were it to take the place of the one
    /// idle the longest, with more machines than places each would lose its own just before
    /// its next report, and none would keep a connection.
    pub(super) fn is_crowded(&self) -> bool {
        let (state, whole) = CROWDED_SHARE;
        self.agents * whole > self.servers_max * state
    }

    pub(super) fn close(&mut self, id: usize) {
        // Closing a socket takes it out of the poll, too.
        let Some(connection) = self.connections.remove(&id) else {
            return;
        };
        let state = match connection.role {
            Role::Server(state) => {
                self.servers -= 1;
                self.agents -= usize::from(state.agent);
                return;
            }
            Role::Client(state) => state,
        };
        self.calling.remove(&id);
        if !self.limits.vital.contains(&state.address) {
            self.clients -= 1;
        }
        if let Some(idle) = self.pool.get_mut(&state.address) {
            idle.retain(|other| *other != id);
        }
        if let Some(tag) = state.call {
            let outcome = if connection.open {
                Outcome::NoAnswer
            } else {
                Outcome::NotSent
            };
            self.ready.push(Event::Reply { tag, outcome });
        }
    }

    /// Writes what there is to write.
    pub(super) fn flush(&mut self, id: usize) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        while connection.sent < connection.output.len() {
            match connection
                .socket
                .write(&connection.output[connection.sent..])
            {
                Ok(0) => return self.close(id),
                Ok(count) => {
                    connection.open = true;
                    connection.sent += count;
                }
                // The first write tells whether a connection has come about.
                Err(e) if e.kind() == io::ErrorKind::NotConnected => return,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    return self.watch_writable(id, true);
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return self.close(id),
            }
        }
        connection.output.clear();
        connection.sent = 0;
        if connection.lasting {
            // Told of capacity to write only while it is waited for.
            self.watch_writable(id, false);
        }
        if self
            .connections
            .get(&id)
            .is_some_and(Connection::is_to_close)
        {
            self.close(id);
        }
    }

    fn watch_writable(&mut self, id: usize, watches: bool) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        if connection.watches_writable == watches {
            return;
        }
        connection.watches_writable = watches;
        let interest = if watches {
            Interest::READABLE | Interest::WRITABLE
        } else {
            Interest::READABLE
        };
        let registry = self.poll.registry();
        let socket = &mut connection.socket;
        if registry.reregister(socket, Token(id), interest).is_err() {
            self.close(id);
        }
    }

    /// Reads what has come, and takes in what is complete.
    fn read(&mut self, id: usize) {
        if !self.read_input(id) {
            return self.close(id);
        }
        match self.connections.get(&id).map(|c| &c.role) {
            Some(Role::Server(_)) => self.parse_request(id),
            Some(Role::Client(_)) => self.parse_reply(id),
            None => return,
        }
        let Some(connection) = self.connections.get(&id) else {
            return;
        };
        if connection.eof && (!connection.is_busy() || connection.output.is_empty()) {
            self.close(id);
        }
    }

    /// Reads until there is no more. False if the connection is broken.
    fn read_input(&mut self, id: usize) -> bool {
        let Some(connection) = self.connections.get_mut(&id) else {
            return true;
        };
        let max = match connection.role {
            Role::Server(_) => BODY_MAX + HEAD_MAX,
            Role::Client(_) => self.limits.reply_max + REPLY_HEAD_MAX,
        };
        // Nobody reads on beyond what a request may be.
        while connection.input.len() <= max {
            match connection.socket.read(&mut self.buffer) {
                Ok(0) => {
                    connection.eof = true;
                    break;
                }
                Ok(count) => {
                    connection.input.extend_from_slice(&self.buffer[..count]);
                    connection.used_at = self.now;
                    if count < self.buffer.len() {
                        // A short read empties the socket; mio's edge will
                        // tell of anything newer.
                        break;
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return false,
            }
        }
        true
    }

    /// Ends calls whose time is over, and connections that were idle for too long.
    fn sweep(&mut self) {
        for id in self.overdue_calls() {
            self.close(id);
        }
        for id in self.idle_connections() {
            self.close(id);
        }
        if std::mem::take(&mut self.accept_again) {
            self.front_pending = true;
            self.peers_pending = true;
        }
    }
}
