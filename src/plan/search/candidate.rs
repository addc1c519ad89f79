//! Machines that could receive a task, ordered by cost.

use std::cmp::Ordering;

use crate::plan::resources::Resources;

/// A machine that could receive a task.
///
/// The candidate with the lowest cost, and at equal cost with the lowest machine index, is the
/// greatest, so that a [`BinaryHeap`](std::collections::BinaryHeap) pops it first.
pub(super) struct Candidate {
    /// The cost of a placement, in seconds.
    pub cost_s: f64,
    /// The machine's index in the snapshot.
    pub machine: usize,
    /// The free capacity that the cost was calculated for.
    pub free: Resources,
    /// Indexes of the tasks on the machine that would be preempted.
    pub victims: Vec<usize>,
    /// The queue that the candidate comes from.
    pub origin: Origin,
}

/// The queue that a candidate comes from.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum Origin {
    /// The source with this index, which then provides its next machine.
    Source(usize),
    /// The preemption candidates; the victims are not chosen yet.
    Preemption,
    /// None: the machine was examined individually.
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
