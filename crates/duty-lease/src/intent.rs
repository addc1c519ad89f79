//! Scaling requests, the intents that satisfy them, and the orders that intents record.
//!
//! These types are serialized into the store under their field and variant names; renaming one
//! would make the records of earlier versions unreadable. The `version` fields hold the version
//! of the record's key and are not stored.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{Duty, Token};

/// An order to the cloud provider.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Order {
    /// Rent machines.
    Rent {
        /// The type of the machines.
        machine_type: String,
        /// The zone in which they are rented.
        zone: String,
        /// Whether the provider may interrupt them at any time.
        spot: bool,
        /// The maximum number of machines; the provider may rent fewer.
        count: u32,
    },
    /// Delete machines.
    Delete {
        /// Their names.
        machines: Vec<String>,
        /// Delete the machines only if no recorded task runs on them. If false, the tasks
        /// recorded on them are lost with the machines.
        if_empty: bool,
    },
}

/// The unique name of an order. No controller reuses it for another order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OrderId {
    /// The duty under which it is sent.
    pub duty: Duty,
    /// The token of the holder that recorded the intent.
    pub token: Token,
    /// The number of the intent among that holder's, from 1.
    pub sequence: u64,
}

impl fmt::Display for OrderId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}-{}", self.duty.name(), self.token, self.sequence)
    }
}

/// A request of the planning leader to change the fleet. The holder of the duty carries it
/// out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScalingRequest {
    /// The name of the request.
    pub id: String,
    /// The order that satisfies it.
    pub order: Order,
    /// The version of its key.
    #[serde(skip)]
    pub version: u64,
}

/// The record of an order that is written before the order is sent. While it exists, the
/// order may have been sent and may be in flight; it is removed once the order has a result.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Intent {
    /// The order's name.
    pub id: OrderId,
    /// The name of the scaling request that it satisfies.
    pub request: String,
    /// The order to send to the provider.
    pub order: Order,
    /// The version of its key.
    #[serde(skip)]
    pub version: u64,
}

/// The result of an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderResult {
    /// The names of the rented machines, possibly fewer than requested.
    Rented(Vec<String>),
    /// The provider has no machine of the requested type, zone and price class.
    NoCapacity,
    /// The machines were deleted.
    Deleted,
    /// The order was not carried out and will not be retried.
    Rejected,
}
