//! The room of all machines as it stands within a cycle, in the orders that searches need.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use super::cycle_state::CycleState;
use super::room_index::RoomIndex;
use super::snapshot::JobView;
use super::victims::{Offers, Preemptor};
use crate::job::Priority;

/// Lists of offers that are kept: jobs of a class mostly ask for the same, and a list that
/// is kept has to be brought up to date with each change.
const OFFERS_MAX: usize = 8;

/// The room of all machines.
#[derive(Debug, Clone, Default)]
pub(super) struct RoomLedger {
    /// All machines with room for the smallest demand in the queue, beside what is held.
    pub all: RoomIndex,
    /// Of these the ones that have an image, for the images that were asked for.
    by_image: HashMap<Arc<str>, RoomIndex>,
    /// What machines offer to jobs that may stop others.
    offers: Vec<Offers>,
    /// Machines with room that is held for a job of this priority: more urgent ones may
    /// have it.
    reserved: BTreeMap<Priority, BTreeSet<usize>>,
}

impl RoomLedger {
    /// The room of all machines of a cycle.
    pub fn new(state: &CycleState) -> RoomLedger {
        let mut ledger = RoomLedger::default();
        for machine in 0..state.machines.len() {
            ledger.update(state, machine);
        }
        ledger
    }

    /// Something about a machine has changed.
    pub fn update(&mut self, state: &CycleState, machine: usize) {
        note_room(&mut self.all, state, machine);
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
                    note_room(index, state, machine);
                }
            }
        }
        for offers in &mut self.offers {
            offers.update(state, machine);
        }
    }

    /// Whether no machine has room for anybody, nor holds any.
    pub fn is_full(&self) -> bool {
        self.all.is_empty() && self.reserved.values().all(BTreeSet::is_empty)
    }

    /// Machines with room that is held for less urgent jobs.
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
        let mut index = RoomIndex::default();
        for machine in state.machines_with_image(image) {
            note_room(&mut index, state, *machine);
        }
        self.by_image.insert(image.into(), index);
    }

    /// The machines that have the job's image, once prepared.
    pub fn with_image(&self, job: &JobView) -> Option<&RoomIndex> {
        self.by_image.get(job.spec.image.as_str())
    }

    /// Makes sure that there is a list of what machines offer to the job.
    pub fn prepare_offers(&mut self, state: &CycleState, preemptor: &Preemptor) {
        self.prepare_offer_list(state, preemptor);
        let image = preemptor.spec.image.as_str();
        for offers in self.offers.iter_mut().filter(|o| o.is_for(preemptor)) {
            offers.prepare_image(state, image);
        }
    }

    fn prepare_offer_list(&mut self, state: &CycleState, preemptor: &Preemptor) {
        if preemptor.within_guarantee {
            // Who borrows from its guarantee changes with every place: looked at anew.
            self.offers.retain(|offers| !offers.is_for(preemptor));
        } else if self.offers_for(preemptor).is_some() {
            return;
        }
        if self.offers.len() >= OFFERS_MAX {
            self.offers.remove(0);
        }
        self.offers.push(Offers::new(state, preemptor.clone()));
    }

    /// What machines offer to the job, once prepared.
    pub fn offers_for(&self, preemptor: &Preemptor) -> Option<&Offers> {
        self.offers.iter().find(|offers| offers.is_for(preemptor))
    }
}

/// Brings an index up to date with a machine.
fn note_room(index: &mut RoomIndex, state: &CycleState, machine: usize) {
    let total = state.machines[machine].total;
    let room = state.unreserved_room(machine);
    index.set(machine, state.kind_of[machine], total, room);
}
