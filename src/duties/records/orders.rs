//! The local copy of orders' records.
//!
//! Invariants: versions of a record only rise, and an own removal is not undone by older
//! news of the same key; the termination index lists exactly the open orders.

use std::collections::BTreeMap;

use duty_lease::{Duty, Intent, ScalingRequest};

use super::termination_index::TerminationIndex;
use super::values::{OrderPhase, OrderRecord};
use crate::duties::keys::OrderKey;

/// A change of an order's record.
#[derive(Debug, Clone, PartialEq)]
pub struct OrderChange {
    /// The order.
    pub key: OrderKey,
    /// The record before, if it was known.
    pub before: Option<OrderRecord>,
    /// The record now; `None` if it was removed.
    pub after: Option<OrderRecord>,
}

/// An order as the store holds it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StoredOrderRef<'a> {
    /// The order's key.
    pub key: &'a OrderKey,
    /// The order's record.
    pub record: &'a OrderRecord,
    /// The version of the key.
    pub version: u64,
}

impl<'a> StoredOrderRef<'a> {
    fn new((key, stored): (&'a OrderKey, &'a StoredOrder)) -> StoredOrderRef<'a> {
        StoredOrderRef {
            key,
            record: &stored.record,
            version: stored.version,
        }
    }
}

/// An order's record with the version of its key.
#[derive(Debug, Clone)]
pub(super) struct StoredOrder {
    record: OrderRecord,
    version: u64,
    /// Its latest form can't be read: the last one that could is kept, and not acted upon.
    is_stale: bool,
}

impl StoredOrder {
    /// The intent, if the order is recorded and not completed.
    pub(super) fn intent(&self, key: &OrderKey) -> Option<Intent> {
        let OrderPhase::Recorded(id) = self.record.phase else {
            return None;
        };
        Some(Intent {
            id,
            request: key.request.clone(),
            order: self.record.order.clone(),
            version: self.version,
        })
    }

    /// The scaling request, if no order was recorded for it.
    pub(super) fn scaling_request(&self, key: &OrderKey) -> Option<ScalingRequest> {
        let is_needed = self.record.phase == OrderPhase::Needed;
        is_needed.then(|| ScalingRequest {
            id: key.request.clone(),
            order: self.record.order.clone(),
            version: self.version,
        })
    }

    fn into_readable(self) -> Option<OrderRecord> {
        (!self.is_stale).then_some(self.record)
    }
}

/// All orders on record.
#[derive(Debug, Default)]
pub(super) struct CachedOrders {
    orders: BTreeMap<OrderKey, StoredOrder>,
    /// Own removals that the watch has not shown yet, with their revisions.
    removed: BTreeMap<OrderKey, u64>,
    terminations: TerminationIndex,
}

impl CachedOrders {
    /// All orders, in the order of their keys.
    pub(super) fn iter(&self) -> impl Iterator<Item = StoredOrderRef<'_>> {
        self.orders.iter().map(StoredOrderRef::new)
    }

    /// A duty's orders whose latest form can be read.
    pub(super) fn readable(&self, duty: Duty) -> impl Iterator<Item = (&OrderKey, &StoredOrder)> {
        self.orders
            .iter()
            .filter(move |(key, stored)| key.duty == duty && !stored.is_stale)
    }

    pub(super) fn get(&self, key: &OrderKey) -> Option<StoredOrderRef<'_>> {
        self.orders.get_key_value(key).map(StoredOrderRef::new)
    }

    pub(super) fn is_being_terminated(&self, machine: &str) -> bool {
        self.terminations.contains(machine)
    }

    /// A record was set. Returns the change; `None` if that is not newer than what is known.
    pub(super) fn set(
        &mut self,
        key: OrderKey,
        record: OrderRecord,
        version: u64,
    ) -> Option<OrderChange> {
        if version <= self.known_version(&key) {
            return None;
        }
        self.terminations.update(&key, &record);
        let stored = StoredOrder {
            record: record.clone(),
            version,
            is_stale: false,
        };
        let before = self.orders.insert(key.clone(), stored);
        Some(OrderChange {
            key,
            before: before.and_then(StoredOrder::into_readable),
            after: Some(record),
        })
    }

    /// The version of the record, or of its own removal; 0 if neither is known.
    fn known_version(&self, key: &OrderKey) -> u64 {
        let stored = self.orders.get(key).map_or(0, |stored| stored.version);
        let removed = self.removed.get(key).copied().unwrap_or(0);
        stored.max(removed)
    }

    /// A record was set to a value that can't be read. Returns false, and changes nothing,
    /// if that is not newer than what is known, or the record is not.
    pub(super) fn mark_stale(&mut self, key: &OrderKey, version: u64) -> bool {
        let stored = self.orders.get_mut(key);
        let Some(stored) = stored.filter(|stored| stored.version < version) else {
            return false;
        };
        stored.version = version;
        stored.is_stale = true;
        true
    }

    /// A record was removed. Returns the change; `None` if it is not known, or is newer than
    /// the removal.
    pub(super) fn remove(&mut self, key: &OrderKey, version: u64) -> Option<OrderChange> {
        if self.orders.get(key)?.version > version {
            return None;
        }
        let before = self.orders.remove(key)?;
        self.terminations.remove(key, &before.record);
        Some(OrderChange {
            key: key.clone(),
            before: before.into_readable(),
            after: None,
        })
    }

    /// An own removal was carried out. Answers to own changes may come in another order.
    pub(super) fn remember_removal(&mut self, key: &OrderKey, version: u64) {
        let removed = self.removed.entry(key.clone()).or_insert(0);
        *removed = version.max(*removed);
    }

    /// The watch has shown a removal.
    pub(super) fn confirm_removal(&mut self, key: &OrderKey, version: u64) {
        if self.removed.get(key).is_some_and(|own| *own <= version) {
            self.removed.remove(key);
        }
    }

    /// The watch has shown everything up to this revision.
    pub(super) fn discard_removals_up_to(&mut self, revision: u64) {
        self.removed.retain(|_, version| *version > revision);
    }
}
