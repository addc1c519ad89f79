//! All open connections, with counts by kind.
//!
//! Invariant: the counts match the connections in the table. They change only when a connection
//! is inserted or removed, and when a request shows whether its sender is an agent.

use std::collections::HashMap;

use super::client_state::Callee;
use super::connection::{Connection, ConnectionId, ReceivedRequest, Role};
use super::http::RequestError;
use super::limits::{is_agent_occupancy_high, ConnectionLimits};
use super::server_state::AgentOccupancy;

/// The open connections by id.
pub(super) struct ConnectionTable {
    connections: HashMap<ConnectionId, Connection>,
    next_id: ConnectionId,
    server_connections: usize,
    server_connections_max: usize,
    /// Server connections whose last request was a heartbeat.
    agent_connections: usize,
    /// Client connections to agents. Those to critical callees are few and not counted.
    client_connections: usize,
    client_connections_max: usize,
}

impl ConnectionTable {
    /// An empty table whose ids begin with `first_id`.
    pub(super) fn new(first_id: ConnectionId, limits: &ConnectionLimits) -> ConnectionTable {
        ConnectionTable {
            connections: HashMap::new(),
            next_id: first_id,
            server_connections: 0,
            server_connections_max: limits.server_connections_max(),
            agent_connections: 0,
            client_connections: 0,
            client_connections_max: limits.client_connections_max(),
        }
    }

    /// Allocates the id of a connection that is about to be registered.
    pub(super) fn allocate_id(&mut self) -> ConnectionId {
        let id = self.next_id;
        self.next_id += 1;
        id
    }

    pub(super) fn insert(&mut self, id: ConnectionId, connection: Connection) {
        match connection.role() {
            Role::Server(_) => self.server_connections += 1,
            Role::Client(state) if state.callee() == Callee::Agent => self.client_connections += 1,
            Role::Client(_) => {}
        }
        self.connections.insert(id, connection);
    }

    pub(super) fn remove(&mut self, id: ConnectionId) -> Option<Connection> {
        let connection = self.connections.remove(&id)?;
        match connection.role() {
            Role::Server(state) => {
                self.server_connections -= 1;
                self.agent_connections -= usize::from(state.is_agent());
            }
            Role::Client(state) if state.callee() == Callee::Agent => self.client_connections -= 1,
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

    /// The connection, mutably. Requests must be removed from it only through
    /// [`ConnectionTable::next_request`], which updates the counts.
    pub(super) fn get_mut(&mut self, id: ConnectionId) -> Option<&mut Connection> {
        self.connections.get_mut(&id)
    }

    /// All connections, in no particular order.
    pub(super) fn iter(&self) -> impl Iterator<Item = (ConnectionId, &Connection)> {
        let connections = self.connections.iter();
        connections.map(|(id, connection)| (*id, connection))
    }

    /// Removes the next complete request from a connection's input, if there is one, and updates
    /// the count of agents according to its sender.
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
        self.agent_connections += usize::from(connection.is_agent());
        self.agent_connections -= usize::from(was_agent);
        request
    }

    /// Whether no more server connections may be accepted.
    pub(super) fn is_server_limit_reached(&self) -> bool {
        self.server_connections >= self.server_connections_max
    }

    /// Whether no more connections to agents may be opened.
    pub(super) fn is_client_limit_reached(&self) -> bool {
        self.client_connections >= self.client_connections_max
    }

    /// Whether agents hold nearly all server connections.
    ///
    /// If so, the connection of another agent is closed after one request. If it replaced the
    /// least recently used connection instead, with more machines than connections each agent
    /// would lose its connection just before its next heartbeat, and none would keep one.
    pub(super) fn agent_occupancy(&self) -> AgentOccupancy {
        if is_agent_occupancy_high(self.agent_connections, self.server_connections_max) {
            AgentOccupancy::High
        } else {
            AgentOccupancy::Normal
        }
    }
}
