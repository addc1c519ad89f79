//! Machines that could receive one more task of a job through preemption, ordered by cost.

use std::collections::{btree_set, BTreeSet, HashMap, HashSet};
use std::sync::Arc;

use crate::plan::fleet::FleetView;
use crate::plan::preemption::{Preemptor, VictimSelector};
use crate::plan::ranked_machine::{Rank, RankedMachine};

/// Machines by the cost of one more task, without image fetches.
type CostOrder = BTreeSet<RankedMachine>;

/// The machines that would have capacity for one more task of a preemptor after preemption, the
/// cheapest first, with costs that exclude image fetches. Valid for all equivalent preemptors on
/// machines without reservations of their own.
pub(in crate::plan) struct PreemptionCandidates {
    preemptor: Preemptor,
    ordered: CostOrder,
    /// The subset of `ordered` that has an image, for each prepared image.
    by_image: HashMap<Arc<str>, CostOrder>,
    cost_of: HashMap<usize, Rank>,
}

impl PreemptionCandidates {
    /// The candidates among all machines in a view.
    pub(crate) fn new(view: FleetView, preemptor: Preemptor) -> PreemptionCandidates {
        let mut candidates = PreemptionCandidates {
            preemptor,
            ordered: CostOrder::new(),
            by_image: HashMap::new(),
            cost_of: HashMap::new(),
        };
        for machine in 0..view.fleet.len() {
            candidates.update(view, machine);
        }
        candidates
    }

    /// Whether the candidates are valid for this preemptor, too.
    pub(crate) fn applies_to(&self, preemptor: &Preemptor) -> bool {
        self.preemptor.shares_candidates_with(preemptor)
    }

    /// Builds the order of the candidates that have an image, unless it exists. The image has to
    /// be prepared in the fleet first.
    pub(crate) fn prepare_image(&mut self, view: FleetView, image: &str) {
        if self.by_image.contains_key(image) {
            return;
        }
        let machines = view.fleet.images.machines_with(image).iter();
        let with_image = machines.filter_map(|machine| {
            let rank = *self.cost_of.get(machine)?;
            let machine = *machine;
            Some(RankedMachine { rank, machine })
        });
        let with_image = with_image.collect();
        self.by_image.insert(image.into(), with_image);
    }

    /// Updates the candidates after a change of a machine.
    pub(crate) fn update(&mut self, view: FleetView, machine: usize) {
        let cost = self.cost_on(view, machine);
        let previous = match cost {
            Some(cost) => self.cost_of.insert(machine, cost),
            None => self.cost_of.remove(&machine),
        };
        if previous == cost {
            return;
        }
        replace(&mut self.ordered, machine, previous, cost);
        for image in &view.fleet.machine(machine).images {
            if let Some(order) = self.by_image.get_mut(image) {
                replace(order, machine, previous, cost);
            }
        }
    }

    fn cost_on(&self, view: FleetView, machine: usize) -> Option<Rank> {
        let free = view.free_for_precedence(machine, self.preemptor.precedence);
        let selector = VictimSelector::new(view, &self.preemptor);
        let choice = selector.choose(machine, free, &HashSet::new())?;
        Some(Rank::new(choice.cost_s))
    }

    /// The candidates, the cheapest first.
    pub(crate) fn iter(&self) -> CandidateIter<'_> {
        CandidateIter(self.ordered.iter())
    }

    /// The candidates that have an image, the cheapest first; `None` if it is not prepared.
    pub(crate) fn iter_with_image(&self, image: &str) -> Option<CandidateIter<'_>> {
        let ordered = self.by_image.get(image)?;
        Some(CandidateIter(ordered.iter()))
    }
}

/// Moves a machine within an order after a change of its cost.
fn replace(order: &mut CostOrder, machine: usize, previous: Option<Rank>, cost: Option<Rank>) {
    if let Some(rank) = previous {
        order.remove(&RankedMachine { rank, machine });
    }
    if let Some(rank) = cost {
        order.insert(RankedMachine { rank, machine });
    }
}

/// A machine with the cost of one more task on it, without image fetches.
#[derive(Debug, Clone, Copy)]
pub(in crate::plan) struct CandidateCost {
    /// The machine's index in the snapshot.
    pub machine: usize,
    /// The cost in seconds.
    pub cost_s: f64,
}

/// Preemption candidates, the cheapest first.
pub(in crate::plan) struct CandidateIter<'a>(btree_set::Iter<'a, RankedMachine>);

impl Iterator for CandidateIter<'_> {
    type Item = CandidateCost;

    fn next(&mut self) -> Option<CandidateCost> {
        let entry = self.0.next()?;
        Some(CandidateCost {
            machine: entry.machine,
            cost_s: entry.rank.value(),
        })
    }
}
