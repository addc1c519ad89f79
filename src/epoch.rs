//! The epoch: the fencing token of leadership.

use std::fmt;

use serde::{Deserialize, Serialize};

/// How many epochs an election reserves for the term of the new leader.
const EPOCHS_PER_TERM: u64 = 1_000_000_000;

/// A fencing token: agents reject commands with a lower epoch than the highest that they have
/// seen. An election reserves a range of epochs for its term, above those of all earlier terms. The
/// first one identifies the term; with the others its leader fences its own earlier commands to an
/// agent. Messages and records contain the plain number.
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

    /// The next higher epoch.
    #[must_use]
    pub const fn next(self) -> Epoch {
        Epoch(self.0 + 1)
    }

    /// The last epoch that is reserved for the term that begins with this epoch.
    #[must_use]
    pub const fn last_of_term(self) -> Epoch {
        Epoch(self.0.saturating_add(EPOCHS_PER_TERM - 1))
    }
}

impl fmt::Display for Epoch {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}
