//! The records of duties in the store, and the watch cache of them.
//!
//! An order is one key that goes through three phases: the leader writes that it is
//! *needed*, the holder of the duty *records* the order before it sends it, and the record
//! is removed or *completed* with a result. Each step has the version of the key as a
//! condition, so each need is met at most once.
//!
//! All keys are below [`DUTIES_PREFIX`], which earlier versions pass over.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use ciborium::Value;
use duty_lease::{
    Duty, HolderKey, Intent, LeaseView, Order, OrderId, OrderResult, ScalingRequest, Token,
};
use serde::{Deserialize, Serialize};
use tracing::error;

/// The format from which on duties have left the leader. Versions that know no duties
/// neither lead nor answer users from then on.
pub const DUTIES_FORMAT: u64 = 2;
/// All keys of duties.
pub const DUTIES_PREFIX: &str = "g/d/";
/// Who holds each duty.
pub const LEASES_PREFIX: &str = "g/d/l/";
/// Needs, recorded orders and results.
const ORDERS_PREFIX: &str = "g/d/o/";

/// The key that the holder of a duty has as long as its grant lives.
pub fn holder_key(duty: Duty) -> String {
    format!("{LEASES_PREFIX}{}/holder", duty.name())
}

/// The key of the last token that was given out for a duty.
pub fn token_key(duty: Duty) -> String {
    format!("{LEASES_PREFIX}{}/token", duty.name())
}

/// The key of the last order of a duty that the provider refused for its token.
pub fn refusal_key(duty: Duty) -> String {
    format!("{LEASES_PREFIX}{}/refused", duty.name())
}

/// The key of an order.
pub fn order_key(key: &OrderKey) -> String {
    format!("{ORDERS_PREFIX}{}/{}", key.duty.name(), key.request)
}

/// The value of [`holder_key`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredHolder {
    /// Who holds the duty, and under which token.
    #[serde(flatten)]
    pub holder: HolderKey,
    /// Since when, by the holder's time of day in milliseconds.
    pub since_ms: u64,
}

/// The value of [`refusal_key`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalRecord {
    /// The controller that was fenced.
    pub member: String,
    /// Its token.
    pub token: Token,
    /// The order's name.
    pub order: String,
    /// The time of day in milliseconds.
    pub at_ms: u64,
}

/// Which order a record is of.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrderKey {
    /// The duty that carries it out.
    pub duty: Duty,
    /// The name of the need, unique for ever.
    pub request: String,
}

/// How far an order is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderPhase {
    /// The leader wants it; nothing was sent.
    Needed,
    /// It may have been sent under this name, and is repeated until it is answered.
    Recorded(OrderId),
    /// Nothing more is to be done.
    Completed(OrderResult),
}

/// The value of [`order_key`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRecord {
    /// What is to be done.
    pub order: Order,
    /// How far it is.
    pub phase: OrderPhase,
    /// When it was first needed, by the leader's time of day in milliseconds.
    pub since_ms: u64,
}

impl OrderRecord {
    /// As it is stored.
    pub fn to_value(&self) -> Value {
        Value::serialized(self).unwrap_or(Value::Null)
    }

    /// The machines that it returns, if it does.
    pub fn machines_to_terminate(&self) -> &[String] {
        match &self.order {
            Order::Delete { machines, .. } => machines,
            Order::Rent { .. } => &[],
        }
    }
}

/// An order as the watch cache has it.
#[derive(Debug, Clone)]
struct StoredOrder {
    record: OrderRecord,
    /// The version of its key.
    version: u64,
    /// Its latest form can't be read: the last one that could is kept, and not acted upon.
    is_stale: bool,
}

/// A change of an order's record.
#[derive(Debug, Clone, PartialEq)]
pub struct OrderChange {
    /// Which order.
    pub key: OrderKey,
    /// The record before, if it was known.
    pub before: Option<OrderRecord>,
    /// The record now; `None` if it was removed.
    pub after: Option<OrderRecord>,
}

/// What the store holds of duties.
#[derive(Debug, Default)]
pub struct DutyRecords {
    leases: BTreeMap<Duty, LeaseView>,
    orders: BTreeMap<OrderKey, StoredOrder>,
    /// Own removals that the watch has not told of yet, with their revisions.
    removed: BTreeMap<OrderKey, u64>,
    /// The open orders that terminate a machine: mostly one, two if the leader learnt late
    /// that the first was written.
    terminations: HashMap<String, BTreeSet<OrderKey>>,
    /// Keys that can't be read, with their versions.
    unreadable: BTreeMap<String, u64>,
    changes: Vec<OrderChange>,
    /// Counts changes of leases and orders.
    generation: u64,
}

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

    /// A number that rises with each change.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// The lease of a duty.
    pub fn lease(&self, duty: Duty) -> LeaseView {
        self.leases.get(&duty).cloned().unwrap_or_default()
    }

    /// Who holds a duty.
    pub fn holder(&self, duty: Duty) -> Option<&HolderKey> {
        self.leases.get(&duty)?.holder.as_ref()
    }

    /// All orders with the versions of their keys.
    pub fn orders(&self) -> impl Iterator<Item = (&OrderKey, &OrderRecord, u64)> {
        let orders = self.orders.iter();
        orders.map(|(key, stored)| (key, &stored.record, stored.version))
    }

    /// A duty's orders with the versions of their keys.
    pub fn orders_of(&self, duty: Duty) -> impl Iterator<Item = (&OrderKey, &OrderRecord, u64)> {
        self.orders().filter(move |(key, ..)| key.duty == duty)
    }

    /// The record of an order and the version of its key.
    pub fn order(&self, key: &OrderKey) -> Option<(&OrderRecord, u64)> {
        let stored = self.orders.get(key)?;
        Some((&stored.record, stored.version))
    }

    /// A duty's recorded orders.
    pub fn intents(&self, duty: Duty) -> Vec<Intent> {
        let intent = |(key, stored): (&OrderKey, &StoredOrder)| match stored.record.phase {
            OrderPhase::Recorded(id) => Some(Intent {
                id,
                request: key.request.clone(),
                order: stored.record.order.clone(),
                version: stored.version,
            }),
            _ => None,
        };
        self.readable_orders(duty).filter_map(intent).collect()
    }

    /// A duty's needs that no order was recorded for.
    pub fn requests(&self, duty: Duty) -> Vec<ScalingRequest> {
        let is_needed = |stored: &StoredOrder| stored.record.phase == OrderPhase::Needed;
        let orders = self.readable_orders(duty);
        let requests = orders.filter(|(_, stored)| is_needed(stored));
        requests
            .map(|(key, stored)| ScalingRequest {
                id: key.request.clone(),
                order: stored.record.order.clone(),
                version: stored.version,
            })
            .collect()
    }

    fn readable_orders(&self, duty: Duty) -> impl Iterator<Item = (&OrderKey, &StoredOrder)> {
        let orders = self.orders.iter();
        orders.filter(move |(key, stored)| key.duty == duty && !stored.is_stale)
    }

    /// Whether a machine is on record to be returned.
    pub fn is_being_terminated(&self, machine: &str) -> bool {
        self.terminations.contains_key(machine)
    }

    /// Keys that can't be read.
    pub fn unreadable(&self) -> impl Iterator<Item = &str> {
        self.unreadable.keys().map(String::as_str)
    }

    /// Changes of orders since the last call.
    pub fn take_changes(&mut self) -> Vec<OrderChange> {
        std::mem::take(&mut self.changes)
    }

    /// A key was set, as a page or a watch tells.
    pub fn apply_set(&mut self, key: &str, value: &Value, version: u64) {
        match parse_key(key) {
            Some(DutyKey::Holder(duty)) => match value.deserialized::<StoredHolder>() {
                Ok(stored) => self.set_holder(duty, Some(stored.holder), version),
                Err(_) => self.record_unreadable(key, version),
            },
            Some(DutyKey::Token(duty)) => match value.deserialized::<Token>() {
                Ok(token) => self.set_token(duty, token, version),
                Err(_) => self.record_unreadable(key, version),
            },
            Some(DutyKey::Refusal) => {}
            Some(DutyKey::Order(order)) => match value.deserialized::<OrderRecord>() {
                Ok(record) => self.set_order(order, record, version),
                Err(_) => {
                    self.record_unreadable(key, version);
                    self.mark_stale(&order, version);
                }
            },
            None => self.record_unreadable(key, version),
        }
    }

    /// A key was removed, as a watch tells.
    pub fn apply_delete(&mut self, key: &str, version: u64) {
        self.unreadable.remove(key);
        match parse_key(key) {
            Some(DutyKey::Holder(duty)) => self.set_holder(duty, None, version),
            Some(DutyKey::Order(order)) => {
                if self.removed.get(&order).is_some_and(|at| *at <= version) {
                    self.removed.remove(&order);
                }
                self.remove_order(&order, version);
            }
            _ => {}
        }
    }

    /// An own acquisition was carried out.
    pub fn apply_own_acquisition(&mut self, duty: Duty, holder: HolderKey, version: u64) {
        self.set_token(duty, holder.token, version);
        self.set_holder(duty, Some(holder), version);
    }

    /// An own change of an order was carried out; the watch tells of it later. `None`: it
    /// was removed.
    pub fn apply_own_write(&mut self, key: &OrderKey, record: Option<OrderRecord>, version: u64) {
        match record {
            Some(record) => self.set_order(key.clone(), record, version),
            None => {
                self.remove_order(key, version);
                // Answers to own changes may come in another order.
                let removed = self.removed.entry(key.clone()).or_insert(0);
                *removed = version.max(*removed);
            }
        }
    }

    /// The watch has told of everything up to this revision.
    pub fn discard_removals_up_to(&mut self, revision: u64) {
        self.removed.retain(|_, version| *version > revision);
    }

    fn set_holder(&mut self, duty: Duty, holder: Option<HolderKey>, version: u64) {
        let lease = self.leases.entry(duty).or_default();
        // An own acquisition may be ahead of the watch.
        if lease.holder_version >= version {
            return;
        }
        lease.holder_version = if holder.is_some() { version } else { 0 };
        lease.holder = holder;
        self.generation += 1;
    }

    fn set_token(&mut self, duty: Duty, token: Token, version: u64) {
        let lease = self.leases.entry(duty).or_default();
        if lease.token_version >= version {
            return;
        }
        if token < lease.token {
            error!(
                duty = duty.name(),
                token, "a token lower than {} was given out", lease.token
            );
        }
        lease.token = token;
        lease.token_version = version;
        self.generation += 1;
    }

    fn set_order(&mut self, key: OrderKey, record: OrderRecord, version: u64) {
        let known = self.orders.get(&key).map_or(0, |stored| stored.version);
        let removed = self.removed.get(&key).copied().unwrap_or(0);
        if known.max(removed) >= version {
            return;
        }
        self.index_terminations(&key, &record);
        let stored = StoredOrder {
            record: record.clone(),
            version,
            is_stale: false,
        };
        let before = self.orders.insert(key.clone(), stored);
        self.record_change(key, before, Some(record));
    }

    fn mark_stale(&mut self, key: &OrderKey, version: u64) {
        if let Some(stored) = self.orders.get_mut(key) {
            if stored.version < version {
                stored.version = version;
                stored.is_stale = true;
                self.generation += 1;
            }
        }
    }

    fn remove_order(&mut self, key: &OrderKey, version: u64) {
        if self.orders.get(key).is_none_or(|s| s.version > version) {
            return;
        }
        let before = self.orders.remove(key);
        if let Some(stored) = &before {
            self.remove_terminations(key, &stored.record);
        }
        self.record_change(key.clone(), before, None);
    }

    fn index_terminations(&mut self, key: &OrderKey, record: &OrderRecord) {
        if matches!(record.phase, OrderPhase::Completed(_)) {
            return self.remove_terminations(key, record);
        }
        for machine in record.machines_to_terminate() {
            let orders = self.terminations.entry(machine.clone()).or_default();
            orders.insert(key.clone());
        }
    }

    fn remove_terminations(&mut self, key: &OrderKey, record: &OrderRecord) {
        for machine in record.machines_to_terminate() {
            let Some(orders) = self.terminations.get_mut(machine) else {
                continue;
            };
            orders.remove(key);
            if orders.is_empty() {
                self.terminations.remove(machine);
            }
        }
    }

    fn record_change(
        &mut self,
        key: OrderKey,
        before: Option<StoredOrder>,
        after: Option<OrderRecord>,
    ) {
        self.generation += 1;
        self.changes.push(OrderChange {
            key,
            before: before.filter(|s| !s.is_stale).map(|s| s.record),
            after,
        });
    }

    fn record_unreadable(&mut self, key: &str, version: u64) {
        if self.unreadable.insert(key.to_string(), version).is_none() {
            error!("{key} can't be read: it is kept, and nothing is done about it");
        }
    }
}

/// What a key below [`DUTIES_PREFIX`] holds.
enum DutyKey {
    Holder(Duty),
    Token(Duty),
    Refusal,
    Order(OrderKey),
}

fn parse_key(key: &str) -> Option<DutyKey> {
    if let Some(rest) = key.strip_prefix(LEASES_PREFIX) {
        let (name, part) = rest.split_once('/')?;
        let duty = duty_of(name)?;
        return match part {
            "holder" => Some(DutyKey::Holder(duty)),
            "token" => Some(DutyKey::Token(duty)),
            "refused" => Some(DutyKey::Refusal),
            _ => None,
        };
    }
    let (name, request) = key.strip_prefix(ORDERS_PREFIX)?.split_once('/')?;
    Some(DutyKey::Order(OrderKey {
        duty: duty_of(name)?,
        request: request.to_string(),
    }))
}

fn duty_of(name: &str) -> Option<Duty> {
    Duty::ALL.into_iter().find(|duty| duty.name() == name)
}
