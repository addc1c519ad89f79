//! Scaling requests, the intents that satisfy them, and the orders that intents record.
//!
//! These are stored values: fields and variants are named as they are in the store. The
//! fields `version` are the versions of keys and are not stored.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{Duty, Token};

/// An order to the outside world.
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
        /// At most this number of machines.
        count: u32,
    },
    /// Delete machines.
    Delete {
        /// Their names.
        machines: Vec<String>,
        /// Only machines that no record places a task on. Otherwise the tasks on record are
        /// lost with the machines.
        if_empty: bool,
    },
}

/// The name of an order. It is never used again for another order, by any controller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OrderId {
    /// The duty.
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

/// What the planning leader wants done. The leader decides what is done, the holder of the
/// duty does it.
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

/// An order that was recorded before it was sent. While it is on record the order may
/// have been sent, and may be on its way; it is removed once nothing more is to be done.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Intent {
    /// The order's name.
    pub id: OrderId,
    /// The name of the scaling request that it satisfies.
    pub request: String,
    /// The order.
    pub order: Order,
    /// The version of its key.
    #[serde(skip)]
    pub version: u64,
}

/// The result of an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderResult {
    /// Machines were rented, possibly fewer than requested; their names.
    Rented(Vec<String>),
    /// The provider has no machine of the kind.
    NoCapacity,
    /// The machines are deleted.
    Deleted,
    /// It was not carried out and never will be.
    Rejected,
}
