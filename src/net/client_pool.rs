//! Connections that this process has opened: idle ones, and those with a call in progress.
//!
//! Invariant: the pool holds only open client connections; closing a connection removes it.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Instant;

use super::connection::ConnectionId;

/// Idle client connections by address, and the deadlines of calls in progress.
#[derive(Debug, Default)]
pub(super) struct ClientPool {
    /// The most recently used connection of an address is its last.
    idle: HashMap<SocketAddr, Vec<ConnectionId>>,
    deadlines: BTreeMap<ConnectionId, Instant>,
}

impl ClientPool {
    /// Removes an idle connection to `address` from the pool, to be used for a call.
    pub(super) fn take_idle(&mut self, address: SocketAddr) -> Option<ConnectionId> {
        self.idle.get_mut(&address).and_then(Vec::pop)
    }

    /// Returns an idle connection to the pool.
    pub(super) fn put_idle(&mut self, address: SocketAddr, id: ConnectionId) {
        self.idle.entry(address).or_default().push(id);
    }

    /// Records that a call is in progress on a connection.
    pub(super) fn begin_call(&mut self, id: ConnectionId, deadline: Instant) {
        self.deadlines.insert(id, deadline);
    }

    /// Records that a connection no longer has a call in progress.
    pub(super) fn end_call(&mut self, id: ConnectionId) {
        self.deadlines.remove(&id);
    }

    /// Removes a closed connection.
    pub(super) fn remove(&mut self, address: SocketAddr, id: ConnectionId) {
        self.end_call(id);
        if let Some(idle) = self.idle.get_mut(&address) {
            idle.retain(|other| *other != id);
        }
    }

    /// Connections whose call has reached its deadline, by ascending id.
    pub(super) fn overdue(&self, now: Instant) -> Vec<ConnectionId> {
        let calls = self.deadlines.iter();
        let overdue = calls.filter(|(_, deadline)| now >= **deadline);
        overdue.map(|(id, _)| *id).collect()
    }
}
