//! The constant parameters of a search in one zone, or in all.

use std::collections::BTreeSet;

use super::request::{SearchContext, SearchMode};
use crate::plan::cost::fetch_cost_s;
use crate::plan::fleet::{Fleet, FleetView, ImageMachines};
use crate::plan::indexes::{BucketIter, CapacityIndex, FleetIndexes, PreemptionCandidates};
use crate::plan::preemption::{Preemptor, VictimSelector};
use crate::plan::resources::Resources;
use crate::plan::snapshot::JobView;

/// The machines that a job may use in a search, and the costs of placements on them.
pub(super) struct SearchScope<'a> {
    pub job: &'a JobView,
    /// The resources that each task of the job requests.
    pub demand: Resources,
    /// Which machines are considered.
    pub mode: SearchMode,
    pub fleet: &'a Fleet,
    /// The indexes of the fleet.
    pub indexes: &'a FleetIndexes,
    /// Selects victims for the job.
    pub victims: VictimSelector<'a>,
    /// Machines whose free capacity for the job exceeds what the indexes count: those with its
    /// own reservations or reservations of lower priority.
    pub machines_with_extra_capacity: BTreeSet<usize>,
    view: FleetView<'a>,
    preemptor: &'a Preemptor,
    image_machines: Option<&'a ImageMachines>,
    /// For each kind of machine, whether the job may use it in this zone.
    kind_allowed: Vec<bool>,
}

impl<'a> SearchScope<'a> {
    /// The scope of a search on the machines of a zone, or of all.
    pub(super) fn new(context: &SearchContext<'a>, zone: Option<&str>) -> SearchScope<'a> {
        let job = context.request.job;
        let fleet = context.view.fleet;
        let kind_allowed = fleet.allowed_kinds(&job.spec, zone);
        let own = fleet.reservations.machines_of(&job.id).iter().copied();
        let lower = context.indexes.reserved_below(context.preemptor.precedence);
        let machines_with_extra_capacity = own.chain(lower);
        let machines_with_extra_capacity =
            machines_with_extra_capacity.filter(|machine| kind_allowed[fleet.kinds.of(*machine)]);
        SearchScope {
            machines_with_extra_capacity: machines_with_extra_capacity.collect(),
            job,
            demand: Resources::of(&job.spec),
            mode: context.request.mode,
            fleet,
            indexes: context.indexes,
            victims: VictimSelector::new(context.view, context.preemptor),
            view: context.view,
            preemptor: context.preemptor,
            image_machines: fleet.images.get(&job.spec.image),
            kind_allowed,
        }
    }

    /// Whether the job may use a machine.
    pub(super) fn is_machine_allowed(&self, machine: usize) -> bool {
        self.kind_allowed[self.fleet.kinds.of(machine)] && !self.is_avoided(machine)
    }

    /// Whether the job avoids a machine because it failed there before.
    pub(super) fn is_avoided(&self, machine: usize) -> bool {
        let name = &self.fleet.machine(machine).name;
        self.job.avoided_machines.contains(name)
    }

    /// Whether a machine has the job's image or is fetching it.
    pub(super) fn has_image(&self, machine: usize) -> bool {
        let known = self.image_machines;
        known.is_some_and(|known| known.contains(machine))
    }

    /// The free capacity of a machine for the job.
    pub(super) fn free_for(&self, machine: usize) -> Resources {
        let precedence = self.preemptor.precedence;
        self.view.free_for(machine, &self.job.id, precedence)
    }

    /// The cost of fetching the image on a machine.
    pub(super) fn fetch_cost_s(&self, machine: usize, has_image: bool) -> f64 {
        fetch_cost_s(self.fleet.machine(machine), &self.job.spec, has_image)
    }

    /// The cost of a placement on a machine with this free capacity.
    pub(super) fn placement_cost_s(&self, machine: usize, free: Resources, has_image: bool) -> f64 {
        let view = self.fleet.machine(machine);
        let costs = &self.fleet.costs;
        let placement_cost_s = costs.placement_cost_s(view, &self.job.spec, free);
        self.fetch_cost_s(machine, has_image) + placement_cost_s
    }

    /// The preemption candidates for the job.
    pub(super) fn preemption_candidates(&self) -> Option<&'a PreemptionCandidates> {
        self.indexes.candidates_for(self.preemptor)
    }

    /// The machines of the allowed kinds in an index that may have capacity for a task, by bucket.
    pub(super) fn buckets(&self, index: &'a CapacityIndex) -> Vec<BucketIter<'a>> {
        let totals = self.fleet.kinds.totals();
        index.buckets_for(self.demand, &self.kind_allowed, totals)
    }

    /// Whether the machines together could hold `count` tasks if every task that the job may
    /// preempt were stopped.
    pub(super) fn can_hold(&self, count: usize) -> bool {
        let candidates = self.preemption_candidates();
        let preemptable = candidates
            .into_iter()
            .flat_map(PreemptionCandidates::iter)
            .map(|candidate| candidate.machine)
            .filter(|machine| !self.machines_with_extra_capacity.contains(machine));
        let mut held = 0;
        for machine in self
            .machines_with_extra_capacity
            .iter()
            .copied()
            .chain(preemptable)
        {
            if held >= count as u64 {
                break;
            }
            if self.is_machine_allowed(machine) {
                held += u64::from(self.victims.tasks_if_preempted(machine));
            }
        }
        held >= count as u64
    }

    /// Whether any allowed machine without the image has capacity for a task.
    pub(super) fn has_uncached_capacity(&self) -> bool {
        let machines = self.buckets(self.indexes.all()).into_iter().flatten();
        let mut machines = machines.chain(self.machines_with_extra_capacity.iter().copied());
        machines.any(|machine| {
            self.is_machine_allowed(machine)
                && !self.has_image(machine)
                && self.free_for(machine).fits(self.demand)
        })
    }
}
