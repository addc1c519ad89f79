//! The network: messages in transit, calls in flight, and connections that wait for an answer.

use std::collections::{BTreeMap, HashMap};

use super::messages::{Origin, SimMessage, Ticket};

/// Due time of a message or deadline; entries with the same time are ordered by when they were
/// added.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct DueTime {
    at_ms: u64,
    sequence: u64,
}

#[derive(PartialEq, Eq, Hash)]
struct CallId {
    controller: usize,
    tag: u64,
}

/// Messages in transit, open calls and open connections.
#[derive(Default)]
pub(super) struct Network {
    in_transit: BTreeMap<DueTime, SimMessage>,
    call_deadlines: BTreeMap<DueTime, Ticket>,
    last_sequence: u64,
    /// The generation of the process that made each call.
    open_calls: HashMap<CallId, u64>,
    origins: HashMap<usize, Origin>,
    last_connection: usize,
}

impl Network {
    fn due_time(&mut self, at_ms: u64) -> DueTime {
        self.last_sequence += 1;
        DueTime {
            at_ms,
            sequence: self.last_sequence,
        }
    }

    pub(super) fn send(&mut self, arrives_at: u64, message: SimMessage) {
        let due = self.due_time(arrives_at);
        self.in_transit.insert(due, message);
    }

    /// The next message that has arrived by now.
    pub(super) fn next_arrival(&mut self, now: u64) -> Option<SimMessage> {
        let entry = self.in_transit.first_entry()?;
        (entry.key().at_ms <= now).then(|| entry.remove())
    }

    pub(super) fn open_call(&mut self, ticket: Ticket, deadline: u64) {
        let id = CallId {
            controller: ticket.controller,
            tag: ticket.tag,
        };
        self.open_calls.insert(id, ticket.generation);
        let due = self.due_time(deadline);
        self.call_deadlines.insert(due, ticket);
    }

    /// Closes a call; false if it is not open or belongs to another process.
    pub(super) fn close_call(&mut self, ticket: Ticket) -> bool {
        let id = CallId {
            controller: ticket.controller,
            tag: ticket.tag,
        };
        self.open_calls.remove(&id) == Some(ticket.generation)
    }

    /// The next call whose deadline has passed, whether it was answered or not.
    pub(super) fn next_expired_call(&mut self, now: u64) -> Option<Ticket> {
        let entry = self.call_deadlines.first_entry()?;
        (entry.key().at_ms <= now).then(|| entry.remove())
    }

    /// A connection whose answer is dropped.
    pub(super) fn new_connection(&mut self) -> usize {
        self.last_connection += 1;
        self.last_connection
    }

    /// A connection whose answer goes to `origin`.
    pub(super) fn connect(&mut self, origin: Origin) -> usize {
        let connection = self.new_connection();
        self.origins.insert(connection, origin);
        connection
    }

    /// Removes and returns the recipient of the answer on a connection.
    pub(super) fn take_origin(&mut self, connection: usize) -> Option<Origin> {
        self.origins.remove(&connection)
    }
}
