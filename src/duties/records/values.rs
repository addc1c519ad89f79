//! Values of the duty records. They are serialized into the store under their field and
//! variant names; renaming one would make the records of earlier versions unreadable.

use ciborium::Value;
use duty_lease::{HolderKey, Order, OrderId, OrderResult, Token};
use serde::{Deserialize, Serialize};

/// The value of [`crate::duties::holder_key`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredHolder {
    /// The holder of the duty, and its token.
    #[serde(flatten)]
    pub holder: HolderKey,
    /// When the holder acquired the duty, by its wall clock in milliseconds.
    pub since_ms: u64,
}

/// The value of [`crate::duties::refusal_key`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalRecord {
    /// The controller that was fenced.
    pub member: String,
    /// The token that the provider refused.
    pub token: Token,
    /// The refused order's name, as [`OrderId`] displays it.
    pub order: String,
    /// When the refusal was received, by that controller's wall clock in milliseconds.
    pub at_ms: u64,
}

/// The progress of an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderPhase {
    /// Requested by the leader; nothing was sent yet.
    Needed,
    /// The order may have been sent under this name, and is retried until the provider
    /// responds.
    Recorded(OrderId),
    /// The order has a result and is no longer sent.
    Completed(OrderResult),
}

/// The value of [`crate::duties::order_key`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRecord {
    /// The order to carry out.
    pub order: Order,
    /// The order's progress.
    pub phase: OrderPhase,
    /// When the leader first requested it, by the leader's wall clock in milliseconds.
    pub since_ms: u64,
}

impl OrderRecord {
    /// The record as a stored value.
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
