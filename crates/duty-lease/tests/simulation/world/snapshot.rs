//! A controller's view of the store, as of its last read.

use std::collections::{BTreeMap, BTreeSet};

use duty_lease::{Duty, Intent, LeaseView, Order, ScalingRequest};

use super::DUTIES;
use crate::store::{keys, Store, Value};

#[derive(Debug, Clone, Default)]
pub(super) struct Snapshot {
    pub leases: BTreeMap<Duty, LeaseView>,
    /// Machines that the controllers own, with the versions of their keys.
    pub machines: BTreeMap<String, u64>,
    /// Machines with a task, with the versions of the tasks' keys.
    pub tasks: BTreeMap<String, u64>,
    /// Machines whose termination is requested.
    pub terminations: BTreeSet<String>,
    pub requests: Vec<ScalingRequest>,
    pub intents: Vec<Intent>,
}

impl Snapshot {
    pub(super) fn read(store: &Store) -> Snapshot {
        let mut snapshot = Snapshot::default();
        for duty in DUTIES {
            snapshot.leases.insert(duty, store.lease_view(duty));
        }
        for (key, entry) in store.entries() {
            snapshot.add_value(&entry.value, entry.version);
            snapshot.add_marker(key, entry.version);
        }
        snapshot
    }

    fn add_value(&mut self, value: &Value, version: u64) {
        match value {
            Value::ScalingRequest(request) => self.requests.push(ScalingRequest {
                version,
                ..request.clone()
            }),
            Value::Intent(intent) => self.intents.push(Intent {
                version,
                ..intent.clone()
            }),
            Value::Holder(_) | Value::Token(_) | Value::Marker => {}
        }
    }

    fn add_marker(&mut self, key: &str, version: u64) {
        if let Some(machine) = key.strip_prefix(keys::MACHINES) {
            self.machines.insert(machine.to_string(), version);
        } else if let Some(machine) = key.strip_prefix(keys::TASKS) {
            self.tasks.insert(machine.to_string(), version);
        } else if let Some(machine) = key.strip_prefix(keys::TERMINATIONS) {
            self.terminations.insert(machine.to_string());
        }
    }

    /// The open intents of a duty.
    pub(super) fn intents_of(&self, duty: Duty) -> Vec<Intent> {
        let intents = self.intents.iter();
        intents
            .filter(|intent| intent.id.duty == duty)
            .cloned()
            .collect()
    }

    /// The open scaling requests for a duty.
    pub(super) fn requests_of(&self, duty: Duty) -> Vec<ScalingRequest> {
        let requests = self.requests.iter();
        requests
            .filter(|request| duty_of(&request.order) == duty)
            .cloned()
            .collect()
    }

    /// Number of orders to rent machines that are requested or recorded.
    pub(super) fn open_rentals(&self) -> usize {
        let requested = self.requests.iter().map(|request| &request.order);
        let recorded = self.intents.iter().map(|intent| &intent.order);
        let orders = requested.chain(recorded);
        orders.filter(|order| duty_of(order) == Duty::Rent).count()
    }
}

/// The duty that is responsible for an order.
fn duty_of(order: &Order) -> Duty {
    match order {
        Order::Rent { .. } => Duty::Rent,
        Order::Delete { .. } => Duty::Return,
    }
}
