//! The capacity of all machines as it stands within a cycle, in the orders that searches need.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use super::capacity_index::CapacityIndex;
use super::cycle_state::CycleState;
use super::snapshot::JobView;
use super::victims::{PreemptionCandidates, Preemptor};
use crate::job::Priority;

/// Lists of offers that are kept: jobs of a class mostly ask for the same, and a list that
/// is kept has to be brought up to date with each change.
const CANDIDATE_LISTS_MAX: usize = 8;

/// The capacity of all machines.
#[derive(Debug, Clone, Default)]
pub(super) struct CapacityTracker {
    /// All machines with capacity for the smallest demand in the queue, beside what is held.
    pub all: CapacityIndex,
    /// Of these the ones that have an image, for the images that were asked for.
    by_image: HashMap<Arc<str>, CapacityIndex>,
    /// What machines offer to jobs that may stop others.
    candidates: Vec<PreemptionCandidates>,
    /// Machines with capacity that is held for a job of this priority: more urgent ones may
    /// have it.
    reserved: BTreeMap<Priority, BTreeSet<usize>>,
}

impl CapacityTracker {
    /// The capacity of all machines of a cycle.
    pub fn new(state: &CycleState) -> CapacityTracker {
        let mut tracker = CapacityTracker::default();
        for machine in 0..state.machines.len() {
            tracker.update(state, machine);
        }
        tracker
    }

    /// Something about a machine has changed.
    pub fn update(&mut self, state: &CycleState, machine: usize) {
        update_index(&mut self.all, state, machine);
        for machines in self.reserved.values_mut() {
            machines.remove(&machine);
        }
        for held in state.reservations_on(machine) {
            let machines = self.reserved.entry(held.priority).or_default();
            machines.insert(machine);
        }
        if !self.by_image.is_empty() {
            for image in &state.machines[machine].images {
                if let Some(index) = self.by_image.get_mut(image) {
                    update_index(index, state, machine);
                }
            }
        }
        for candidates in &mut self.candidates {
            candidates.update(state, machine);
        }
    }

    /// Whether no machine has capacity for anybody, nor holds any.
    pub fn is_full(&self) -> bool {
        self.all.is_empty() && self.reserved.values().all(BTreeSet::is_empty)
    }

    /// Machines with capacity that is held for less urgent jobs.
    pub fn reserved_below(&self, priority: Priority) -> impl Iterator<Item = usize> + '_ {
        let less_urgent = self.reserved.range(..priority);
        less_urgent.flat_map(|(_, machines)| machines.iter().copied())
    }

    /// Makes sure that there is an index of the machines that have the job's image.
    pub fn prepare_image(&mut self, state: &CycleState, job: &JobView) {
        let image = job.spec.image.as_str();
        if self.by_image.contains_key(image) {
            return;
        }
        let mut index = CapacityIndex::default();
        for machine in state.machines_with_image(image) {
            update_index(&mut index, state, *machine);
        }
        self.by_image.insert(image.into(), index);
    }

    /// The machines that have the job's image, once prepared.
    pub fn with_image(&self, job: &JobView) -> Option<&CapacityIndex> {
        self.by_image.get(job.spec.image.as_str())
    }

    /// Makes sure that there is a list of what machines offer to the job.
    pub fn prepare_candidates(&mut self, state: &CycleState, preemptor: &Preemptor) {
        self.prepare_candidate_list(state, preemptor);
        let image = preemptor.spec.image.as_str();
        for candidates in self.candidates.iter_mut().filter(|o| o.is_for(preemptor)) {
            candidates.prepare_image(state, image);
        }
    }

    fn prepare_candidate_list(&mut self, state: &CycleState, preemptor: &Preemptor) {
        if preemptor.is_within_nominal_quota {
            // Who borrows from its nominal quota changes with every place: looked at anew.
            self.candidates
                .retain(|candidates| !candidates.is_for(preemptor));
        } else if self.candidates_for(preemptor).is_some() {
            return;
        }
        if self.candidates.len() >= CANDIDATE_LISTS_MAX {
            self.candidates.remove(0);
        }
        self.candidates
            .push(PreemptionCandidates::new(state, preemptor.clone()));
    }

    /// What machines offer to the job, once prepared.
    pub fn candidates_for(&self, preemptor: &Preemptor) -> Option<&PreemptionCandidates> {
        self.candidates
            .iter()
            .find(|candidates| candidates.is_for(preemptor))
    }
}

/// Brings an index up to date with a machine.
fn update_index(index: &mut CapacityIndex, state: &CycleState, machine: usize) {
    let total = state.machines[machine].total;
    let capacity = state.unreserved_capacity(machine);
    index.set(machine, state.kind_of[machine], total, capacity);
}
