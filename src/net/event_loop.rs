//! The event loop: accepts, reads, writes and closes connections, in a fixed order.
//!
//! One thread drives all sockets of the process in turns ([`EventLoop::turn`]). A turn does a
//! bounded amount of work, so that urgent input (replies from the store, the cloud and other
//! controllers, and requests from other controllers) never waits for a large number of agents
//! and users. The order within a turn decides which connections are served under overload.

mod calls;
mod requests;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use mio::event::Event as SocketEvent;
use mio::{Events, Poll, Token, Waker};

use super::client_pool::ClientPool;
use super::connection::{Connection, ConnectionId, Disposition, Role};
use super::connection_table::ConnectionTable;
use super::eviction::Evictions;
use super::idle_timeouts::IdleTimeouts;
use super::interval::Interval;
use super::limits::ConnectionLimits;
use super::listeners::{ListenerTokens, Listeners};
use super::read_queue::{
    NextRead, ReadClass, ReadQueue, CONNECTIONS_PER_TURN_MAX, NEW_CONNECTIONS_PER_TURN,
};
use super::{Event, Listener};

const WAKE: Token = Token(0);
const FRONT: Token = Token(1);
const PEERS: Token = Token(2);
/// First connection id. Ids double as poll tokens; lower ones belong to the waker and listeners.
const FIRST_CONNECTION: ConnectionId = 16;
/// Maximum number of socket events handled in one turn.
const SOCKET_EVENTS_MAX: usize = 512;
/// Size of the buffer that sockets are read into, in bytes.
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// Interval of the timeout checks; short, as timeouts of calls are fractions of a second.
const SWEEP_INTERVAL: Duration = Duration::from_millis(50);

/// All sockets of the process.
pub struct EventLoop {
    poll: Poll,
    socket_events: Events,
    /// Start of this turn; used wherever a slightly outdated time is acceptable.
    now: Instant,
    limits: ConnectionLimits,
    listeners: Listeners,
    connections: ConnectionTable,
    read_queue: ReadQueue,
    read_buffer: Box<[u8]>,
    client_pool: ClientPool,
    evictions: Evictions,
    idle_timeouts: IdleTimeouts,
    sweep: Interval,
    /// Events that the next turn returns.
    ready: Vec<Event>,
}

impl EventLoop {
    /// Binds both listening sockets.
    ///
    /// # Errors
    ///
    /// If an address cannot be used, or if there are no free sockets.
    pub fn new(
        front: SocketAddr,
        peers: SocketAddr,
        limits: ConnectionLimits,
    ) -> io::Result<EventLoop> {
        let poll = Poll::new()?;
        let tokens = ListenerTokens {
            front: FRONT,
            peers: PEERS,
        };
        let listeners = Listeners::bind(front, peers, poll.registry(), tokens)?;
        let now = Instant::now();
        Ok(EventLoop {
            poll,
            socket_events: Events::with_capacity(SOCKET_EVENTS_MAX),
            now,
            listeners,
            connections: ConnectionTable::new(FIRST_CONNECTION, &limits),
            read_queue: ReadQueue::default(),
            read_buffer: vec![0; READ_BUFFER_BYTES].into_boxed_slice(),
            client_pool: ClientPool::default(),
            evictions: Evictions::default(),
            idle_timeouts: IdleTimeouts::new(limits.agent_idle_timeout, now),
            sweep: Interval::new(SWEEP_INTERVAL, now),
            ready: Vec::new(),
            limits,
        })
    }

    /// A handle with which other threads wake up a waiting [`EventLoop::turn`].
    ///
    /// # Errors
    ///
    /// If there are no free file descriptors.
    pub fn waker(&self) -> io::Result<Arc<Waker>> {
        Ok(Arc::new(Waker::new(self.poll.registry(), WAKE)?))
    }

    /// Waits for at most `wait` and returns the events: all urgent ones, and a bounded number of
    /// others.
    ///
    /// # Errors
    ///
    /// If the poll fails; the event loop is then unusable.
    pub fn turn(&mut self, wait: Duration) -> io::Result<Vec<Event>> {
        let wait = if self.has_pending_work() {
            Duration::ZERO
        } else {
            wait
        };
        self.poll_sockets(wait)?;
        self.handle_socket_events();
        self.accept_pending();
        self.read_waiting();
        if self.sweep.is_due(self.now) {
            self.sweep();
        }
        Ok(std::mem::take(&mut self.ready))
    }

    /// The longest time that a connection has waited to be read since the last call, in
    /// milliseconds: a measure of overload.
    pub fn take_longest_read_delay_ms(&mut self) -> u64 {
        self.read_queue.take_longest_read_delay_ms()
    }

    fn has_pending_work(&self) -> bool {
        !self.ready.is_empty() || !self.read_queue.is_empty() || self.listeners.is_any_pending()
    }

    fn poll_sockets(&mut self, wait: Duration) -> io::Result<()> {
        match self.poll.poll(&mut self.socket_events, Some(wait)) {
            Ok(()) => {}
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
        self.now = Instant::now();
        Ok(())
    }

    fn handle_socket_events(&mut self) {
        // The loop's body borrows `self` mutably, so the events are moved out meanwhile.
        let empty = Events::with_capacity(0);
        let events = std::mem::replace(&mut self.socket_events, empty);
        for event in &events {
            match event.token() {
                WAKE => {}
                FRONT => self.listeners.mark_pending(Listener::Front),
                PEERS => self.listeners.mark_pending(Listener::Peers),
                Token(id) => self.handle_connection_event(id, event),
            }
        }
        self.socket_events = events;
    }

    fn handle_connection_event(&mut self, id: ConnectionId, event: &SocketEvent) {
        if event.is_writable() || event.is_error() {
            self.flush(id);
        }
        if event.is_readable() || event.is_read_closed() || event.is_error() {
            self.read_or_queue(id);
        }
    }

    /// Reads urgent input immediately; queues the connection otherwise.
    fn read_or_queue(&mut self, id: ConnectionId) {
        if self.is_urgent(id) {
            return self.read(id);
        }
        let connection = self.connections.get_mut(id);
        if let Some(class) = connection.and_then(Connection::enqueue) {
            self.read_queue.push(id, class, self.now);
        }
    }

    /// Whether the connection carries replies from critical callees, or requests from other
    /// controllers.
    fn is_urgent(&self, id: ConnectionId) -> bool {
        let connection = self.connections.get(id);
        connection.is_some_and(Connection::is_urgent)
    }

    /// Reads a bounded number of queued connections.
    fn read_waiting(&mut self) {
        let served = self.read_batch(ReadClass::Served, CONNECTIONS_PER_TURN_MAX);
        let new_connections_max = (CONNECTIONS_PER_TURN_MAX - served).max(NEW_CONNECTIONS_PER_TURN);
        self.read_batch(ReadClass::New, new_connections_max);
    }

    /// Reads at most `max` queued connections of a class; returns how many were read.
    fn read_batch(&mut self, class: ReadClass, max: usize) -> usize {
        let mut count = 0;
        while count < max {
            let is_open = |id| self.connections.contains(id);
            match self.read_queue.next(class, self.now, is_open) {
                Some(NextRead::Read(id)) => {
                    self.read_queued(id);
                    count += 1;
                }
                Some(NextRead::TimedOut(id)) => self.close(id),
                None => break,
            }
        }
        count
    }

    fn read_queued(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(id) {
            connection.dequeue();
        }
        self.read(id);
    }

    /// Reads the received bytes and handles a complete request or reply.
    fn read(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        let reply_max_bytes = self.limits.reply_max_bytes;
        let result = connection.read_available(&mut self.read_buffer, reply_max_bytes, self.now);
        if result.is_err() {
            return self.close(id);
        }
        match connection.role() {
            Role::Server(_) => self.handle_request(id),
            Role::Client(_) => self.handle_reply(id),
        }
        if self
            .connections
            .get(id)
            .is_some_and(Connection::is_finished)
        {
            self.close(id);
        }
    }

    /// Writes pending output.
    fn flush(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        if connection.flush(id, self.poll.registry()) == Disposition::Close {
            self.close(id);
        }
    }

    /// Closes a connection. A call in progress on it ends without a response.
    fn close(&mut self, id: ConnectionId) {
        // Closing the socket, when the connection is dropped, removes it from the poll.
        let Some(connection) = self.connections.remove(id) else {
            return;
        };
        let Role::Client(state) = connection.role() else {
            return;
        };
        self.client_pool.remove(state.address(), id);
        if let Some(tag) = state.call_tag() {
            let outcome = connection.outcome_on_close();
            self.ready.push(Event::CallFinished { tag, outcome });
        }
    }

    /// Ends calls that have reached their deadline, closes connections that have been idle for
    /// too long, and retries accepting.
    fn sweep(&mut self) {
        for id in self.client_pool.overdue(self.now) {
            self.close(id);
        }
        for id in self.idle_timeouts.expired(&self.connections, self.now) {
            self.close(id);
        }
        self.listeners.retry_accepting();
    }
}
