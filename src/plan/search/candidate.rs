//! Machines that could take a task, in the order of their costs.

use std::cmp::Ordering;

use crate::plan::resources::Resources;

/// A machine that could take a task.
///
/// The greatest is the one with the lowest cost, and at the same cost with the lowest index,
/// so that a [`BinaryHeap`](std::collections::BinaryHeap) gives it first.
pub(super) struct Candidate {
    /// The cost of a placement, in seconds.
    pub cost_s: f64,
    /// The machine's index.
    pub machine: usize,
    /// The free capacity that the cost was calculated for.
    pub free: Resources,
    /// Indexes of the tasks on the machine that would be preempted.
    pub victims: Vec<usize>,
    /// Where it comes from.
    pub origin: Origin,
}

/// Where a candidate comes from.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum Origin {
    /// From the source with this index, which then gives its next machine.
    Source(usize),
    /// From the preemption candidates: its victims have yet to be chosen.
    Preemption,
    /// Its machine was examined individually.
    Examined,
}

impl Candidate {
    /// The order in which candidates are used: by cost, then by the machine's index.
    pub(super) fn compare(cost_s: f64, machine: usize, other: &Candidate) -> Ordering {
        let by_cost = cost_s.total_cmp(&other.cost_s);
        by_cost.then(machine.cmp(&other.machine))
    }
}

impl PartialEq for Candidate {
    fn eq(&self, other: &Candidate) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Candidate {}

impl PartialOrd for Candidate {
    fn partial_cmp(&self, other: &Candidate) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Candidate {
    fn cmp(&self, other: &Candidate) -> Ordering {
        Candidate::compare(self.cost_s, self.machine, other).reverse()
    }
}
