//! Local copy of the order records.
//!
//! Invariants: the version of a record only increases; a removal by this controller is not
//! undone by an older update of the same key; the termination index lists exactly the open
//! orders.

use std::collections::BTreeMap;

use duty_lease::{Duty, Intent, ScalingRequest};

use super::termination_index::TerminationIndex;
use super::values::{OrderPhase, OrderRecord};
use crate::duties::keys::OrderKey;

/// A change of an order record.
#[derive(Debug, Clone, PartialEq)]
pub struct OrderChange {
    /// The order's key.
    pub key: OrderKey,
    /// The record before the change; `None` if it was unknown or could not be decoded.
    pub before: Option<OrderRecord>,
    /// The record after the change; `None` if it was removed.
    pub after: Option<OrderRecord>,
}

/// A stored order with its key.
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

/// An order record with the version of its key.
#[derive(Debug, Clone)]
pub(super) struct StoredOrder {
    record: OrderRecord,
    version: u64,
    /// The latest value can't be decoded. `record` is the last one that could, and is not
    /// acted upon.
    is_stale: bool,
}

impl StoredOrder {
    /// The intent, if the order is in the recorded phase.
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

    /// The scaling request, if no order was recorded for it yet.
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

/// All stored orders.
#[derive(Debug, Default)]
pub(super) struct CachedOrders {
    orders: BTreeMap<OrderKey, StoredOrder>,
    /// This controller's removals that the watch has not shown yet, with their revisions.
    own_removals: BTreeMap<OrderKey, u64>,
    terminations: TerminationIndex,
}

impl CachedOrders {
    /// All orders, sorted by key.
    pub(super) fn iter(&self) -> impl Iterator<Item = StoredOrderRef<'_>> {
        self.orders.iter().map(StoredOrderRef::new)
    }

    /// A duty's orders whose latest value can be decoded.
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

    /// Applies a write of a record. Returns the change; `None` if the known version is at
    /// least as new.
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

    /// The version of the record, or of its removal by this controller; 0 if neither is
    /// known.
    fn known_version(&self, key: &OrderKey) -> u64 {
        let stored = self.orders.get(key).map_or(0, |stored| stored.version);
        let removed = self.own_removals.get(key).copied().unwrap_or(0);
        stored.max(removed)
    }

    /// Applies a value that can't be decoded. Returns false, and changes nothing, if the
    /// record is unknown or its known version is at least as new.
    pub(super) fn mark_stale(&mut self, key: &OrderKey, version: u64) -> bool {
        let stored = self.orders.get_mut(key);
        let Some(stored) = stored.filter(|stored| stored.version < version) else {
            return false;
        };
        stored.version = version;
        stored.is_stale = true;
        true
    }

    /// Applies a removal. Returns the change; `None` if the record is unknown or newer than
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

    /// Records a committed removal by this controller. Responses to own writes may arrive out
    /// of order.
    pub(super) fn record_own_removal(&mut self, key: &OrderKey, version: u64) {
        let removed = self.own_removals.entry(key.clone()).or_insert(0);
        *removed = version.max(*removed);
    }

    /// Drops this controller's removal once the watch has shown a removal at least as new.
    pub(super) fn confirm_removal(&mut self, key: &OrderKey, version: u64) {
        if self
            .own_removals
            .get(key)
            .is_some_and(|own| *own <= version)
        {
            self.own_removals.remove(key);
        }
    }

    /// Drops this controller's removals up to a revision that the watch has reached.
    pub(super) fn discard_removals_up_to(&mut self, revision: u64) {
        self.own_removals.retain(|_, version| *version > revision);
    }
}
