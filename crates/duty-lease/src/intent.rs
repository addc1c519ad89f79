//! Needs, the intents that meet them, and the orders that intents stand for.

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
        /// Where they are to be.
        zone: String,
        /// Whether they may be taken back at any time.
        spot: bool,
        /// How many at most.
        count: u32,
    },
    /// Delete machines.
    Delete {
        /// Their names.
        machines: Vec<String>,
        /// Only if nothing is on record for them; else they are given up with all that is.
        if_empty: bool,
    },
}

/// The name of an order, unique for ever: no other order ever has it, whoever sends it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OrderId {
    /// The duty.
    pub duty: Duty,
    /// The token of the holder that recorded the intent.
    pub token: Token,
    /// That holder's count of intents.
    pub sequence: u64,
}

impl fmt::Display for OrderId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}-{}", self.duty.name(), self.token, self.sequence)
    }
}

/// What the planning leader wants done. The leader decides what, the holder of the duty
/// does it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScalingRequest {
    /// Its name.
    pub id: String,
    /// What is to be done.
    pub order: Order,
    /// The version of its key.
    #[serde(skip)]
    pub version: u64,
}

/// An order that was recorded before it was sent. While it is on record the order may
/// have been sent, and may be on its way; it goes once nothing more is to be done.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Intent {
    /// The order's name.
    pub id: OrderId,
    /// The need that it meets.
    pub request: String,
    /// The order.
    pub order: Order,
    /// The version of its key.
    #[serde(skip)]
    pub version: u64,
}

/// What carrying out an order brought.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderResult {
    /// Machines were rented, perhaps fewer than asked for.
    Rented(Vec<String>),
    /// None of the kind is to be had.
    NoCapacity,
    /// The machines are gone.
    Deleted,
    /// It was not carried out and never will be.
    Rejected,
}
