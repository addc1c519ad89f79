//! The entry type of the ordered machine indexes.

/// A non-negative number as a sort key.
///
/// The bits of non-negative floating-point numbers are in the order of their values, so the
/// keys have a total order and compare as fast as integers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank(u64);

impl Rank {
    /// The rank of a value; negative values, which come from rounding, rank as 0.
    pub(super) fn new(value: f64) -> Rank {
        Rank(value.max(0.0).to_bits())
    }

    /// The value that the rank was made from.
    pub(super) fn value(self) -> f64 {
        f64::from_bits(self.0)
    }
}

/// A machine in an ordered index: the lowest rank first, then the lowest machine index.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct RankedMachine {
    /// The sort key. Declared before `machine`, because the derived order compares fields in
    /// declaration order.
    pub rank: Rank,
    /// The machine's index in the snapshot.
    pub machine: usize,
}
