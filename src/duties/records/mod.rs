//! Local copy of the duty records in the store.
//!
//! An order is one key that goes through three phases: the leader writes it as *needed*, the
//! holder of the duty marks it as *recorded* before sending the order, and then the key is
//! deleted or *completed* with a result. Each step is conditional on the version of the key,
//! so each scaling request is satisfied at most once.
//!
//! [`DutyRecords`] is updated from pages, from the watch and from this controller's own
//! writes, which are applied before the watch shows them. Its modules own their state:
//!
//! - [`leases`]: the view of each duty's lease;
//! - [`orders`]: the order records, this controller's removals, and which machines are being
//!   terminated;
//! - [`unreadable`]: keys whose values this version can't decode.
//!
//! Invariants: an older version of a key never replaces a newer one, whichever source it
//! comes from; a record that can't be decoded is kept and not acted upon; the generation
//! increases with each change of a lease or an order.

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

/// Local copy of all duty records.
#[derive(Debug, Default)]
pub struct DutyRecords {
    leases: CachedLeases,
    orders: CachedOrders,
    unreadable: UnreadableKeys,
    changes: Vec<OrderChange>,
    /// Counts changes of leases and orders.
    generation: u64,
}

/// Queries.
impl DutyRecords {
    /// A number that increases with each change.
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

    /// All orders, sorted by key.
    pub fn orders(&self) -> impl Iterator<Item = StoredOrderRef<'_>> {
        self.orders.iter()
    }

    /// A duty's orders, sorted by key.
    pub fn orders_of(&self, duty: Duty) -> impl Iterator<Item = StoredOrderRef<'_>> {
        self.orders().filter(move |order| order.key.duty == duty)
    }

    /// The order under a key.
    pub fn order(&self, key: &OrderKey) -> Option<StoredOrderRef<'_>> {
        self.orders.get(key)
    }

    /// A duty's recorded orders, without those whose latest value can't be decoded.
    pub fn intents(&self, duty: Duty) -> Vec<Intent> {
        let orders = self.orders.readable(duty);
        orders
            .filter_map(|(key, stored)| stored.intent(key))
            .collect()
    }

    /// A duty's scaling requests that no order was recorded for, without those whose latest
    /// value can't be decoded.
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

    /// Keys whose values can't be decoded.
    pub fn unreadable(&self) -> impl Iterator<Item = &str> {
        self.unreadable.iter()
    }
}

/// Updates.
impl DutyRecords {
    /// Discards all records before they are reloaded. Keeps the keys that can't be decoded,
    /// so that they are not logged again.
    pub fn clear_for_reload(&mut self) {
        *self = DutyRecords {
            unreadable: std::mem::take(&mut self.unreadable),
            generation: self.generation + 1,
            ..DutyRecords::default()
        };
    }

    /// Drains the changes of orders since the last call.
    pub fn take_changes(&mut self) -> Vec<OrderChange> {
        std::mem::take(&mut self.changes)
    }

    /// Applies a key's value from a page or the watch.
    pub fn apply_set(&mut self, key: &str, value: &Value, version: u64) {
        match DutyKey::parse(key) {
            Some(DutyKey::Holder(duty)) => {
                if let Some(stored) = self.decode::<StoredHolder>(key, value, version) {
                    self.set_holder(duty, Some(stored.holder), version);
                }
            }
            Some(DutyKey::Token(duty)) => {
                if let Some(token) = self.decode::<Token>(key, value, version) {
                    self.set_token(duty, token, version);
                }
            }
            Some(DutyKey::Refusal) => {}
            Some(DutyKey::Order(order)) => match self.decode::<OrderRecord>(key, value, version) {
                Some(record) => self.set_order(order, record, version),
                None => self.mark_stale(&order, version),
            },
            None => self.unreadable.insert(key, version),
        }
    }

    /// Applies the deletion of a key from the watch.
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

    /// Applies this controller's acquisition of a lease before the watch shows it.
    pub fn apply_own_acquisition(&mut self, duty: Duty, holder: HolderKey, version: u64) {
        self.set_token(duty, holder.token, version);
        self.set_holder(duty, Some(holder), version);
    }

    /// Applies this controller's committed write of an order before the watch shows it.
    /// `record` is `None` for a deletion.
    pub fn apply_own_write(&mut self, key: &OrderKey, record: Option<OrderRecord>, version: u64) {
        match record {
            Some(record) => self.set_order(key.clone(), record, version),
            None => {
                self.remove_order(key, version);
                self.orders.record_own_removal(key, version);
            }
        }
    }

    /// Discards own removals up to a revision that the watch has reached.
    pub fn discard_removals_up_to(&mut self, revision: u64) {
        self.orders.discard_removals_up_to(revision);
    }

    /// Decodes a value; if that fails, logs the key and adds it to the unreadable keys.
    fn decode<T: DeserializeOwned>(&mut self, key: &str, value: &Value, version: u64) -> Option<T> {
        let decoded = value.deserialized().ok();
        if decoded.is_none() {
            self.unreadable.insert(key, version);
        }
        decoded
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
            self.push_change(change);
        }
    }

    fn remove_order(&mut self, key: &OrderKey, version: u64) {
        if let Some(change) = self.orders.remove(key, version) {
            self.push_change(change);
        }
    }

    fn push_change(&mut self, change: OrderChange) {
        self.generation += 1;
        self.changes.push(change);
    }
}
