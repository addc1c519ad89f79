//! The stored values of duties' records. Their fields and variants are named as they are in
//! the store.

use ciborium::Value;
use duty_lease::{HolderKey, Order, OrderId, OrderResult, Token};
use serde::{Deserialize, Serialize};

/// The value of [`crate::duties::holder_key`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredHolder {
    /// The holder of the duty, and its token.
    #[serde(flatten)]
    pub holder: HolderKey,
    /// Since when, by the holder's time of day in milliseconds.
    pub since_ms: u64,
}

/// The value of [`crate::duties::refusal_key`].
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

/// The progress of an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderPhase {
    /// The leader requests it; nothing was sent.
    Needed,
    /// It may have been sent under this name, and is repeated until it is answered.
    Recorded(OrderId),
    /// Nothing more is to be done.
    Completed(OrderResult),
}

/// The value of [`crate::duties::order_key`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRecord {
    /// What is to be done.
    pub order: Order,
    /// The order's progress.
    pub phase: OrderPhase,
    /// When it was first requested, by the leader's time of day in milliseconds.
    pub since_ms: u64,
}

impl OrderRecord {
    /// The record as it is stored.
    pub fn to_value(&self) -> Value {
        Value::serialized(self).unwrap_or(Value::Null)
    }

    /// The machines that the order terminates; none if it rents machines.
    pub fn machines_to_terminate(&self) -> &[String] {
        match &self.order {
            Order::Delete { machines, .. } => machines,
            Order::Rent { .. } => &[],
        }
    }
}
