//! Indexes of the machines of a fleet, in the orders that searches need.
//!
//! [`FleetIndexes`] are built from one view of a fleet. After any change of a machine the caller
//! has to pass the same view to [`FleetIndexes::update`]; otherwise searches see old capacity.

mod capacity_index;
mod preemption_candidates;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

pub(super) use capacity_index::{BucketIter, CapacityIndex};
pub(super) use preemption_candidates::{CandidateCost, CandidateIter, PreemptionCandidates};

use super::fleet::FleetView;
use super::precedence::Precedence;
use super::preemption::Preemptor;
use super::resources::Resources;

/// The most lists of preemption candidates that are retained. Jobs of a class mostly have the
/// same demand and can share a list, and each retained list has to be updated with each change.
const CANDIDATE_LISTS_MAX: usize = 8;

/// Indexes of all machines of a fleet.
pub(super) struct FleetIndexes {
    /// The minimum of each resource over all queued jobs. Capacity only shrinks within a cycle,
    /// so a machine without this much free capacity can't receive a task without preemption.
    smallest_demand: Resources,
    /// Machines with unreserved capacity for the smallest demand.
    all: CapacityIndex,
    /// The subset of `all` that has an image, for each prepared image.
    by_image: HashMap<Arc<str>, CapacityIndex>,
    /// Lists of preemption candidates, the oldest first.
    candidates: Vec<PreemptionCandidates>,
    /// Machines with reservations, by the precedence of the reserving job: jobs of a higher
    /// precedence may use the reserved capacity.
    reserved: BTreeMap<Precedence, BTreeSet<usize>>,
}

impl FleetIndexes {
    /// Indexes all machines in a view. `smallest_demand`: the minimum of each resource over all
    /// queued jobs.
    pub(super) fn new(view: FleetView, smallest_demand: Resources) -> FleetIndexes {
        let mut indexes = FleetIndexes {
            smallest_demand,
            all: CapacityIndex::default(),
            by_image: HashMap::new(),
            candidates: vec![],
            reserved: BTreeMap::new(),
        };
        for machine in 0..view.fleet.len() {
            indexes.update(view, machine);
        }
        indexes
    }

    /// The minimum of each resource over all queued jobs.
    pub(super) fn smallest_demand(&self) -> Resources {
        self.smallest_demand
    }

    /// Updates the indexes after a change of a machine.
    pub(super) fn update(&mut self, view: FleetView, machine: usize) {
        update_capacity(&mut self.all, view, machine, self.smallest_demand);
        self.update_reserved(view, machine);
        if !self.by_image.is_empty() {
            for image in &view.fleet.machine(machine).images {
                if let Some(index) = self.by_image.get_mut(image) {
                    update_capacity(index, view, machine, self.smallest_demand);
                }
            }
        }
        for candidates in &mut self.candidates {
            candidates.update(view, machine);
        }
    }

    fn update_reserved(&mut self, view: FleetView, machine: usize) {
        for machines in self.reserved.values_mut() {
            machines.remove(&machine);
        }
        for reservation in view.fleet.reservations.on(machine) {
            let machines = self.reserved.entry(reservation.precedence).or_default();
            machines.insert(machine);
        }
    }

    /// Whether no machine has capacity for any queued job or holds a reservation.
    pub(super) fn is_full(&self) -> bool {
        self.all.is_empty() && self.reserved.values().all(BTreeSet::is_empty)
    }

    /// The machines with unreserved capacity for the smallest demand.
    pub(super) fn all(&self) -> &CapacityIndex {
        &self.all
    }

    /// Machines with reservations of jobs with a lower precedence.
    pub(super) fn reserved_below(
        &self,
        precedence: Precedence,
    ) -> impl Iterator<Item = usize> + '_ {
        let lower = self.reserved.range(..precedence);
        lower.flat_map(|(_, machines)| machines.iter().copied())
    }

    /// Builds the index of the machines that have an image, unless it exists. The image has to
    /// be prepared in the fleet first.
    pub(super) fn prepare_image(&mut self, view: FleetView, image: &str) {
        if self.by_image.contains_key(image) {
            return;
        }
        let mut index = CapacityIndex::default();
        for machine in view.fleet.images.machines_with(image) {
            update_capacity(&mut index, view, *machine, self.smallest_demand);
        }
        self.by_image.insert(image.into(), index);
    }

    /// The machines with unreserved capacity that have an image; `None` if it is not prepared.
    pub(super) fn with_image(&self, image: &str) -> Option<&CapacityIndex> {
        self.by_image.get(image)
    }

    /// Builds the list of preemption candidates for a job, and its index by the job's image, unless
    /// they exist.
    pub(super) fn prepare_candidates(&mut self, view: FleetView, preemptor: &Preemptor) {
        self.prepare_candidate_list(view, preemptor);
        let image = preemptor.spec.image.as_str();
        let lists = self.candidates.iter_mut();
        for candidates in lists.filter(|candidates| candidates.applies_to(preemptor)) {
            candidates.prepare_image(view, image);
        }
    }

    fn prepare_candidate_list(&mut self, view: FleetView, preemptor: &Preemptor) {
        if preemptor.precedence.is_within_nominal_quota {
            // Each placement changes which teams borrow quota, so an existing list is outdated.
            self.candidates
                .retain(|candidates| !candidates.applies_to(preemptor));
        } else if self.candidates_for(preemptor).is_some() {
            return;
        }
        if self.candidates.len() >= CANDIDATE_LISTS_MAX {
            self.candidates.remove(0);
        }
        self.candidates
            .push(PreemptionCandidates::new(view, preemptor.clone()));
    }

    /// The preemption candidates for a job; `None` if they are not prepared.
    pub(super) fn candidates_for(&self, preemptor: &Preemptor) -> Option<&PreemptionCandidates> {
        self.candidates
            .iter()
            .find(|candidates| candidates.applies_to(preemptor))
    }
}

/// Updates a capacity index after a change of a machine.
fn update_capacity(
    index: &mut CapacityIndex,
    view: FleetView,
    machine: usize,
    smallest_demand: Resources,
) {
    let free = view.unreserved_capacity(machine);
    let capacity = free.fits(smallest_demand).then_some(free);
    let total = view.fleet.machine(machine).total;
    index.set(machine, view.fleet.kinds.of(machine), total, capacity);
}
