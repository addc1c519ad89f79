//! Index of the machines that are being terminated, with the open orders that do so.
//!
//! Invariant: an order is listed under each machine that it terminates exactly while its
//! record exists and is not completed.

use std::collections::{BTreeSet, HashMap};

use super::values::{OrderPhase, OrderRecord};
use crate::duties::keys::OrderKey;

/// The open orders that terminate each machine: usually one, two if the leader learned late
/// that the first one was written.
#[derive(Debug, Default)]
pub(super) struct TerminationIndex {
    orders: HashMap<String, BTreeSet<OrderKey>>,
}

impl TerminationIndex {
    pub(super) fn contains(&self, machine: &str) -> bool {
        self.orders.contains_key(machine)
    }

    /// Applies a write of an order record.
    pub(super) fn update(&mut self, key: &OrderKey, record: &OrderRecord) {
        if matches!(record.phase, OrderPhase::Completed(_)) {
            return self.remove(key, record);
        }
        for machine in record.machines_to_terminate() {
            let orders = self.orders.entry(machine.clone()).or_default();
            orders.insert(key.clone());
        }
    }

    /// Removes an order that was completed or removed.
    pub(super) fn remove(&mut self, key: &OrderKey, record: &OrderRecord) {
        for machine in record.machines_to_terminate() {
            let Some(orders) = self.orders.get_mut(machine) else {
                continue;
            };
            orders.remove(key);
            if orders.is_empty() {
                self.orders.remove(machine);
            }
        }
    }
}
