//! All open connections, and how many there are of each kind.
//!
//! Invariant: the counts agree with the connections in the table. They change only when a
//! connection is inserted or removed, and when a request shows whether its sender is an agent.

use std::collections::HashMap;

use super::client_state::Callee;
use super::connection::{Connection, ConnectionId, ReceivedRequest, Role};
use super::http::RequestError;
use super::limits::{is_crowded, ConnectionLimits};
use super::server_state::Crowding;

/// The open connections by id.
pub(super) struct ConnectionTable {
    connections: HashMap<ConnectionId, Connection>,
    next_id: ConnectionId,
    /// Server connections.
    servers: usize,
    servers_max: usize,
    /// Server connections whose last request was a heartbeat.
    agents: usize,
    /// Client connections to agents. Those to vital callees are few and not counted.
    clients: usize,
    clients_max: usize,
}

impl ConnectionTable {
    /// An empty table whose ids begin with `first_id`.
    pub(super) fn new(first_id: ConnectionId, limits: &ConnectionLimits) -> ConnectionTable {
        ConnectionTable {
            connections: HashMap::new(),
            next_id: first_id,
            servers: 0,
            servers_max: limits.servers_max(),
            agents: 0,
            clients: 0,
            clients_max: limits.clients_max(),
        }
    }

    /// An id for a connection that is about to be registered.
    pub(super) fn allocate_id(&mut self) -> ConnectionId {
        let id = self.next_id;
        self.next_id += 1;
        id
    }

    pub(super) fn insert(&mut self, id: ConnectionId, connection: Connection) {
        match connection.role() {
            Role::Server(_) => self.servers += 1,
            Role::Client(state) if state.callee() == Callee::Agent => self.clients += 1,
            Role::Client(_) => {}
        }
        self.connections.insert(id, connection);
    }

    pub(super) fn remove(&mut self, id: ConnectionId) -> Option<Connection> {
        let connection = self.connections.remove(&id)?;
        match connection.role() {
            Role::Server(state) => {
                self.servers -= 1;
                self.agents -= usize::from(state.is_agent());
            }
            Role::Client(state) if state.callee() == Callee::Agent => self.clients -= 1,
            Role::Client(_) => {}
        }
        Some(connection)
    }

    pub(super) fn contains(&self, id: ConnectionId) -> bool {
        self.connections.contains_key(&id)
    }

    pub(super) fn get(&self, id: ConnectionId) -> Option<&Connection> {
        self.connections.get(&id)
    }

    /// The connection; its requests are received by [`ConnectionTable::next_request`] alone.
    pub(super) fn get_mut(&mut self, id: ConnectionId) -> Option<&mut Connection> {
        self.connections.get_mut(&id)
    }

    /// All connections, in no particular order.
    pub(super) fn iter(&self) -> impl Iterator<Item = (ConnectionId, &Connection)> {
        let connections = self.connections.iter();
        connections.map(|(id, connection)| (*id, connection))
    }

    /// Removes the next complete request from a connection's input, if there is one, and counts
    /// its sender as an agent or not.
    ///
    /// # Errors
    ///
    /// If the request has to be refused.
    pub(super) fn next_request(
        &mut self,
        id: ConnectionId,
    ) -> Result<Option<ReceivedRequest>, RequestError> {
        let Some(connection) = self.connections.get_mut(&id) else {
            return Ok(None);
        };
        let was_agent = connection.is_agent();
        let request = connection.next_request();
        self.agents += usize::from(connection.is_agent());
        self.agents -= usize::from(was_agent);
        request
    }

    /// Whether no more server connections are allowed.
    pub(super) fn is_server_full(&self) -> bool {
        self.servers >= self.servers_max
    }

    /// Whether no more connections to agents may be opened.
    pub(super) fn is_client_full(&self) -> bool {
        self.clients >= self.clients_max
    }

    /// Whether agents hold nearly all places for server connections.
    ///
    /// An agent that connects then is served on a connection of one request. Were it to replace
    /// the least recently used connection, with more machines than places each agent would lose
    /// its connection just before its next heartbeat, and none would keep one.
    pub(super) fn crowding(&self) -> Crowding {
        if is_crowded(self.agents, self.servers_max) {
            Crowding::Crowded
        } else {
            Crowding::Normal
        }
    }
}
