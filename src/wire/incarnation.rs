//! Incarnation numbers of agents.

use serde::{Deserialize, Serialize};

/// The number of an agent's incarnation, which increases each time the agent's lease expires. The
/// agent has ended its tasks by then and ignores commands for an earlier incarnation. Serialized
/// as a plain number.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(u64);

impl Incarnation {
    /// No status of the agent has been received yet.
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
