//! Messages between controllers, the store and the provider, in the order of their arrival.

use std::collections::BTreeMap;

use duty_lease::{Duty, LeaseRequest, LeaseResponse, OrderId, OrderOutcome, RecordOutcome};

use super::snapshot::Snapshot;
use crate::provider::ProviderOrder;
use crate::store::{Transaction, TransactionOutcome};

/// A controller's process. A restarted controller does not receive answers to its earlier
/// process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Process {
    pub controller: usize,
    pub number: u64,
}

impl Process {
    /// An ended process of a controller: answers to it are dropped.
    pub(super) fn ended(controller: usize) -> Process {
        Process {
            controller,
            number: 0,
        }
    }
}

/// The purpose of a request to the store, which routes its answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Reply {
    Lease { duty: Duty, id: u64 },
    View,
    Recorded(OrderId),
    Completed(OrderId),
    Nothing,
}

#[derive(Debug, Clone)]
pub(super) enum StoreOperation {
    Lease(Duty, LeaseRequest),
    Read,
    Commit(Transaction),
}

#[derive(Debug, Clone)]
pub(super) enum StoreResult {
    Lease(LeaseResponse),
    Snapshot(Box<Snapshot>),
    Committed(TransactionOutcome),
    Refused,
}

impl StoreResult {
    pub(super) fn into_lease_response(self) -> LeaseResponse {
        match self {
            StoreResult::Lease(response) => response,
            _ => LeaseResponse::Refused,
        }
    }

    pub(super) fn record_outcome(&self) -> RecordOutcome {
        match self {
            StoreResult::Committed(TransactionOutcome::Written(version)) => {
                RecordOutcome::Written { version: *version }
            }
            StoreResult::Committed(_) => RecordOutcome::Conflict,
            _ => RecordOutcome::Unknown,
        }
    }
}

/// Whether the sender of a request receives the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Answer {
    Delivered,
    Lost,
}

/// A request to the store, with its purpose.
#[derive(Debug, Clone)]
pub(super) struct StoreRequest {
    pub reply: Reply,
    pub operation: StoreOperation,
}

#[derive(Debug, Clone)]
pub(super) enum Message {
    ToStore {
        from: Process,
        request: StoreRequest,
        answer: Answer,
    },
    FromStore {
        to: Process,
        reply: Reply,
        result: StoreResult,
    },
    ToProvider {
        from: Process,
        order: ProviderOrder,
    },
    FromProvider {
        to: Process,
        id: OrderId,
        outcome: OrderOutcome,
    },
}

impl Message {
    fn sender(&self) -> Option<usize> {
        match self {
            Message::ToStore { from, .. } | Message::ToProvider { from, .. } => {
                Some(from.controller)
            }
            Message::FromStore { .. } | Message::FromProvider { .. } => None,
        }
    }
}

/// Arrival time of a message; messages with the same time arrive in the order of sending.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Arrival {
    at: u64,
    sequence: u64,
}

#[derive(Debug, Default)]
pub(super) struct Network {
    messages: BTreeMap<Arrival, Message>,
    sent: u64,
}

impl Network {
    pub(super) fn send(&mut self, at: u64, message: Message) {
        self.sent += 1;
        let sequence = self.sent;
        self.messages.insert(Arrival { at, sequence }, message);
    }

    pub(super) fn next_due(&mut self, now: u64) -> Option<Message> {
        let entry = self.messages.first_entry()?;
        (entry.key().at <= now).then(|| entry.remove())
    }

    /// Delays the messages that a controller has sent until `until`.
    pub(super) fn hold_back(&mut self, controller: usize, until: u64) {
        let messages = self.messages.iter();
        let held = messages.filter(|(_, message)| message.sender() == Some(controller));
        let held: Vec<Arrival> = held.map(|(arrival, _)| *arrival).collect();
        for arrival in held {
            if let Some(message) = self.messages.remove(&arrival) {
                let at = arrival.at.max(until);
                self.messages.insert(Arrival { at, ..arrival }, message);
            }
        }
    }
}
