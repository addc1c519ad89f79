//! The incarnation of an agent.

use serde::{Deserialize, Serialize};

/// The number of an agent's incarnation. It increases each time the agent's lease expires: its
/// tasks have ended then, and commands for an earlier incarnation are dropped. In messages it is
/// the bare number.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(u64);

impl Incarnation {
    /// Nothing was heard of the agent yet.
    pub const NONE: Incarnation = Incarnation(0);

    /// The incarnation with this number.
    pub const fn new(number: u64) -> Incarnation {
        Incarnation(number)
    }

    /// The incarnation's number.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// The agent's next incarnation.
    #[must_use]
    pub const fn next(self) -> Incarnation {
        Incarnation(self.0 + 1)
    }
}
