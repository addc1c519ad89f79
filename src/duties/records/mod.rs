//! The local copy of duties' records in the store.
//!
//! An order is one key that goes through three phases: the leader writes that it is
//! *needed*, the holder of the duty *records* the order before it sends it, and the record
//! is removed or *completed* with a result. Each step has the version of the key as a
//! condition, so each scaling request is satisfied at most once.
//!
//! [`DutyRecords`] is fed by pages and the watch, and by own writes, which run ahead of the
//! watch. Its parts own their state:
//!
//! - [`leases`]: the view of each duty's lease;
//! - [`orders`]: the orders' records, own removals, and which machines are being terminated;
//! - [`unreadable`]: keys whose values this version can't read.
//!
//! Invariants: an older version of a key does not replace a newer one that is known,
//! whichever way it comes; a record that can't be read is kept and not acted upon; the
//! generation rises with each change of a lease or an order.

mod leases;
mod orders;
mod termination_index;
mod unreadable;
mod values;

pub use orders::{OrderChange, StoredOrderRef};
pub use values::{OrderPhase, OrderRecord, RefusalRecord, StoredHolder};

use ciborium::Value;
use duty_lease::{Duty, HolderKey, Intent, LeaseView, ScalingRequest, Token};
use serde::de::DeserializeOwned;

use super::keys::{DutyKey, OrderKey};
use leases::CachedLeases;
use orders::CachedOrders;
use unreadable::UnreadableKeys;

/// What the store holds of duties.
#[derive(Debug, Default)]
pub struct DutyRecords {
    leases: CachedLeases,
    orders: CachedOrders,
    unreadable: UnreadableKeys,
    changes: Vec<OrderChange>,
    /// Counts changes of leases and orders.
    generation: u64,
}

/// What is on record.
impl DutyRecords {
    /// A number that rises with each change.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// The lease of a duty.
    pub fn lease(&self, duty: Duty) -> LeaseView {
        self.leases.view(duty)
    }

    /// The holder of a duty.
    pub fn holder(&self, duty: Duty) -> Option<&HolderKey> {
        self.leases.holder(duty)
    }

    /// All orders, in the order of their keys.
    pub fn orders(&self) -> impl Iterator<Item = StoredOrderRef<'_>> {
        self.orders.iter()
    }

    /// A duty's orders, in the order of their keys.
    pub fn orders_of(&self, duty: Duty) -> impl Iterator<Item = StoredOrderRef<'_>> {
        self.orders().filter(move |order| order.key.duty == duty)
    }

    /// The order under this key.
    pub fn order(&self, key: &OrderKey) -> Option<StoredOrderRef<'_>> {
        self.orders.get(key)
    }

    /// A duty's recorded orders, without those whose latest form can't be read.
    pub fn intents(&self, duty: Duty) -> Vec<Intent> {
        let orders = self.orders.readable(duty);
        orders
            .filter_map(|(key, stored)| stored.intent(key))
            .collect()
    }

    /// A duty's scaling requests that no order was recorded for, without those whose latest
    /// form can't be read.
    pub fn requests(&self, duty: Duty) -> Vec<ScalingRequest> {
        let orders = self.orders.readable(duty);
        orders
            .filter_map(|(key, stored)| stored.scaling_request(key))
            .collect()
    }

    /// Whether an open order terminates a machine.
    pub fn is_being_terminated(&self, machine: &str) -> bool {
        self.orders.is_being_terminated(machine)
    }

    /// Keys that can't be read.
    pub fn unreadable(&self) -> impl Iterator<Item = &str> {
        self.unreadable.iter()
    }
}

/// Changes.
impl DutyRecords {
    /// Forgets everything, before it is read anew. What was reported as unreadable is not
    /// reported again.
    pub fn restart(&mut self) {
        *self = DutyRecords {
            unreadable: std::mem::take(&mut self.unreadable),
            generation: self.generation + 1,
            ..DutyRecords::default()
        };
    }

    /// Returns the changes of orders since the last call.
    pub fn take_changes(&mut self) -> Vec<OrderChange> {
        std::mem::take(&mut self.changes)
    }

    /// A key was set, according to a page or the watch.
    pub fn apply_set(&mut self, key: &str, value: &Value, version: u64) {
        match DutyKey::parse(key) {
            Some(DutyKey::Holder(duty)) => {
                if let Some(stored) = self.read::<StoredHolder>(key, value, version) {
                    self.set_holder(duty, Some(stored.holder), version);
                }
            }
            Some(DutyKey::Token(duty)) => {
                if let Some(token) = self.read::<Token>(key, value, version) {
                    self.set_token(duty, token, version);
                }
            }
            Some(DutyKey::Refusal) => {}
            Some(DutyKey::Order(order)) => match self.read::<OrderRecord>(key, value, version) {
                Some(record) => self.set_order(order, record, version),
                None => self.mark_stale(&order, version),
            },
            None => self.unreadable.insert(key, version),
        }
    }

    /// A key was removed, according to the watch.
    pub fn apply_delete(&mut self, key: &str, version: u64) {
        self.unreadable.remove(key);
        match DutyKey::parse(key) {
            Some(DutyKey::Holder(duty)) => self.set_holder(duty, None, version),
            Some(DutyKey::Order(order)) => {
                self.orders.confirm_removal(&order, version);
                self.remove_order(&order, version);
            }
            Some(DutyKey::Token(_) | DutyKey::Refusal) | None => {}
        }
    }

    /// An own acquisition was carried out. The watch shows it later.
    pub fn apply_own_acquisition(&mut self, duty: Duty, holder: HolderKey, version: u64) {
        self.set_token(duty, holder.token, version);
        self.set_holder(duty, Some(holder), version);
    }

    /// An own change of an order was carried out; `None`: it was removed. The watch shows it
    /// later.
    pub fn apply_own_write(&mut self, key: &OrderKey, record: Option<OrderRecord>, version: u64) {
        match record {
            Some(record) => self.set_order(key.clone(), record, version),
            None => {
                self.remove_order(key, version);
                self.orders.remember_removal(key, version);
            }
        }
    }

    /// The watch has shown everything up to this revision.
    pub fn discard_removals_up_to(&mut self, revision: u64) {
        self.orders.discard_removals_up_to(revision);
    }

    /// Reads a value; one that can't be read is reported and remembered.
    fn read<T: DeserializeOwned>(&mut self, key: &str, value: &Value, version: u64) -> Option<T> {
        let read = value.deserialized().ok();
        if read.is_none() {
            self.unreadable.insert(key, version);
        }
        read
    }

    fn set_holder(&mut self, duty: Duty, holder: Option<HolderKey>, version: u64) {
        let is_newer = self.leases.set_holder(duty, holder, version);
        self.generation += u64::from(is_newer);
    }

    fn set_token(&mut self, duty: Duty, token: Token, version: u64) {
        let is_newer = self.leases.set_token(duty, token, version);
        self.generation += u64::from(is_newer);
    }

    fn mark_stale(&mut self, key: &OrderKey, version: u64) {
        let is_newer = self.orders.mark_stale(key, version);
        self.generation += u64::from(is_newer);
    }

    fn set_order(&mut self, key: OrderKey, record: OrderRecord, version: u64) {
        if let Some(change) = self.orders.set(key, record, version) {
            self.record_change(change);
        }
    }

    fn remove_order(&mut self, key: &OrderKey, version: u64) {
        if let Some(change) = self.orders.remove(key, version) {
            self.record_change(change);
        }
    }

    fn record_change(&mut self, change: OrderChange) {
        self.generation += 1;
        self.changes.push(change);
    }
}
