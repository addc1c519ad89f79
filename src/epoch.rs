//! The epoch: the fencing token of leadership.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The number of a leader's term. Each election increments it, and agents reject commands with a
/// lower epoch than the highest that they have seen. Messages and records contain the plain number.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Epoch(u64);

impl Epoch {
    /// The value before the first election; no leader has this epoch.
    pub const NONE: Epoch = Epoch(0);
    /// The epoch of the first leader.
    pub const FIRST: Epoch = Epoch(1);

    /// The epoch with this number.
    pub const fn new(number: u64) -> Epoch {
        Epoch(number)
    }

    /// The epoch's number.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// The epoch of the next leader.
    #[must_use]
    pub const fn next(self) -> Epoch {
        Epoch(self.0 + 1)
    }
}

impl fmt::Display for Epoch {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}
