//! Machines on which tasks of other jobs would be preempted, the cheapest first.

use std::collections::{BinaryHeap, HashSet};
use std::iter::Peekable;

use super::candidate::{Candidate, Origin};
use super::progress::SearchProgress;
use super::scope::SearchScope;
use crate::plan::indexes::{CandidateCost, CandidateIter};
use crate::plan::resources::Resources;

/// Merges the preemption candidates lazily with the machines that are examined individually:
/// those with tasks assigned by this search, and those with more capacity for the job than the
/// candidates count.
pub(super) struct PreemptableMachines<'s, 'a> {
    scope: &'s SearchScope<'a>,
    /// The candidates that have the image.
    with_image: Option<Peekable<CandidateIter<'a>>>,
    /// All candidates; their costs exclude image fetches.
    all: Option<Peekable<CandidateIter<'a>>>,
    /// The lowest cost of fetching the image, over all kinds of machines.
    min_fetch_cost_s: f64,
    heap: BinaryHeap<Candidate>,
}

impl<'s, 'a> PreemptableMachines<'s, 'a> {
    /// The machines in a scope, given the assignments of the search so far.
    pub(super) fn new(scope: &'s SearchScope<'a>, progress: &SearchProgress) -> Self {
        let candidates = scope.preemption_candidates();
        let with_image =
            candidates.and_then(|candidates| candidates.iter_with_image(&scope.job.spec.image));
        let kinds = scope.fleet.kinds.representatives().iter();
        let fetch_costs = kinds.map(|machine| scope.fetch_cost_s(*machine, false));
        let mut machines = PreemptableMachines {
            scope,
            with_image: with_image.map(Iterator::peekable),
            all: candidates.map(|candidates| candidates.iter().peekable()),
            min_fetch_cost_s: fetch_costs.fold(f64::INFINITY, f64::min),
            heap: BinaryHeap::new(),
        };
        machines.examine_individually(progress);
        machines
    }

    fn examine_individually(&mut self, progress: &SearchProgress) {
        let scope = self.scope;
        let machines_with_extra_capacity = scope.machines_with_extra_capacity.iter().copied();
        let machines_with_extra_capacity =
            machines_with_extra_capacity.filter(|machine| scope.is_machine_allowed(*machine));
        let examined: HashSet<usize> = progress
            .machines()
            .chain(machines_with_extra_capacity)
            .collect();
        for machine in examined {
            let free = progress.free_on(machine);
            let free = free.unwrap_or_else(|| scope.free_for(machine));
            self.push_examined(machine, free, progress);
        }
    }

    /// Adds a machine with this free capacity, if preemption frees enough for a task.
    pub(super) fn push_examined(
        &mut self,
        machine: usize,
        free: Resources,
        progress: &SearchProgress,
    ) {
        self.heap
            .extend(examine(self.scope, machine, free, progress));
    }

    /// Returns the cheapest machine on which preemption frees capacity for one more task.
    pub(super) fn next(&mut self, progress: &SearchProgress) -> Option<Candidate> {
        loop {
            self.admit_candidates(progress);
            let mut candidate = self.heap.pop()?;
            let machine = candidate.machine;
            if !progress.zone_has_capacity(&self.scope.fleet.machine(machine).zone) {
                continue;
            }
            let assigned = progress.free_on(machine);
            if candidate.origin == Origin::Preemption && assigned.is_none() {
                match examine(self.scope, machine, candidate.free, progress) {
                    Some(examined) => candidate = examined,
                    None => continue,
                }
            }
            if progress.is_current(&candidate) {
                return Some(candidate);
            }
            let free = assigned.unwrap_or(candidate.free);
            self.push_examined(machine, free, progress);
        }
    }

    /// Moves to the heap the preemption candidates that may be cheaper than its best entry.
    fn admit_candidates(&mut self, progress: &SearchProgress) {
        loop {
            if let Some(cached) = self.next_cached() {
                self.push_candidate(cached, true, progress);
                continue;
            }
            let Some(uncached) = self.next_uncached() else {
                return;
            };
            if !self.scope.has_image(uncached.machine) {
                self.push_candidate(uncached, false, progress);
            }
        }
    }

    fn next_cached(&mut self) -> Option<CandidateCost> {
        let best = self.heap.peek();
        let with_image = self.with_image.as_mut()?;
        with_image.next_if(|candidate| may_be_first(candidate.cost_s, candidate.machine, best))
    }

    fn next_uncached(&mut self) -> Option<CandidateCost> {
        let best = self.heap.peek();
        let min_fetch_cost_s = self.min_fetch_cost_s;
        let all = self.all.as_mut()?;
        all.next_if(|candidate| {
            may_be_first(candidate.cost_s + min_fetch_cost_s, candidate.machine, best)
        })
    }

    /// Adds a preemption candidate, unless its machine is examined individually.
    fn push_candidate(
        &mut self,
        candidate: CandidateCost,
        has_image: bool,
        progress: &SearchProgress,
    ) {
        let scope = self.scope;
        let machine = candidate.machine;
        scope.fleet.count_examined_machine();
        let is_examined = progress.free_on(machine).is_some()
            || scope.machines_with_extra_capacity.contains(&machine);
        if is_examined || !scope.is_machine_allowed(machine) {
            return;
        }
        self.heap.push(Candidate {
            cost_s: candidate.cost_s + scope.fetch_cost_s(machine, has_image),
            machine,
            free: scope.free_for(machine),
            victims: vec![],
            origin: Origin::Preemption,
        });
    }
}

/// Whether a preemption candidate that costs at least `cost_s` may precede the best in the
/// heap. Ties go to the lowest machine index, so all later candidates can be left unread.
fn may_be_first(cost_s: f64, machine: usize, best: Option<&Candidate>) -> bool {
    best.is_none_or(|best| Candidate::compare(cost_s, machine, best).is_lt())
}

/// Chooses the victims that free capacity for one more task on a machine, and calculates the
/// cost; `None` if preemption cannot free enough.
fn examine(
    scope: &SearchScope,
    machine: usize,
    free: Resources,
    progress: &SearchProgress,
) -> Option<Candidate> {
    let choice = scope
        .victims
        .choose(machine, free, progress.chosen_victims())?;
    let has_image = scope.has_image(machine);
    Some(Candidate {
        cost_s: choice.cost_s + scope.fetch_cost_s(machine, has_image),
        machine,
        free,
        victims: choice.victims,
        origin: Origin::Examined,
    })
}
