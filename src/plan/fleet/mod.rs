//! The cycle's view of the machines and teams.
//!
//! A [`Fleet`] owns the state that a cycle changes: the free capacity of each machine, the
//! reservations on it, the victims chosen on it and the quota in use. [`Earmarks`] hold the
//! capacity that unplaced jobs would use. A [`FleetView`] combines both for readers: with
//! earmarks for a search for unmet demand, without them for all others.
//!
//! This module does not depend on indexes or searches. The owner of a fleet has to update the
//! indexes built from it after each change.

mod earmarks;
mod images;
mod kinds;
mod reservations;
mod team_quotas;
mod view;

use std::cell::Cell;
use std::collections::HashMap;
use std::sync::Arc;

pub(super) use earmarks::Earmarks;
pub(super) use images::ImageMachines;
pub(super) use reservations::ReservedCapacity;
pub(super) use view::FleetView;

use super::cost::CostModel;
use super::resources::Resources;
use super::snapshot::{MachineView, TeamView};
use crate::job::JobSpec;
use images::ImageMap;
use kinds::MachineKinds;
use reservations::Reservations;
use team_quotas::TeamQuotas;

/// A task on a machine of the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct TaskIndex {
    /// The index of the machine in the snapshot.
    pub machine: usize,
    /// The task's index among the tasks of the machine.
    pub task: usize,
}

/// Machines and teams with the decisions of a cycle applied so far.
pub(super) struct Fleet {
    machines: Vec<Arc<MachineView>>,
    /// The kind of each machine.
    pub kinds: MachineKinds,
    /// Which machines have an image or are fetching it.
    pub images: ImageMap,
    /// The usage, nominal quotas and limits of the teams.
    pub quotas: TeamQuotas,
    /// The cost model for placements.
    pub costs: CostModel,
    /// The reservations on each machine.
    pub reservations: Reservations,
    /// Free capacity by machine; reserved capacity counts as free.
    free: Vec<Resources>,
    /// Victims chosen in this cycle, by machine: no other job may choose them again.
    victims: Vec<Vec<usize>>,
    machines_examined: Cell<u64>,
}

impl Fleet {
    /// Creates the fleet at the beginning of a cycle.
    pub(super) fn new(
        machines: Vec<Arc<MachineView>>,
        teams: HashMap<String, TeamView>,
        costs: CostModel,
    ) -> Fleet {
        let quotas = TeamQuotas::new(teams);
        Fleet {
            kinds: MachineKinds::new(&machines),
            images: ImageMap::default(),
            reservations: Reservations::new(&machines, &quotas),
            quotas,
            costs,
            free: machines.iter().map(|machine| machine.free).collect(),
            victims: vec![vec![]; machines.len()],
            machines_examined: Cell::new(0),
            machines,
        }
    }

    /// The number of machines.
    pub(super) fn len(&self) -> usize {
        self.machines.len()
    }

    /// A machine as it was when the snapshot was taken.
    pub(super) fn machine(&self, machine: usize) -> &MachineView {
        &self.machines[machine]
    }

    /// A machine's name.
    pub(super) fn machine_name(&self, machine: usize) -> Arc<str> {
        self.machines[machine].name.clone()
    }

    /// For each kind, whether a job may use its machines; if `zone` is given, only there.
    pub(super) fn allowed_kinds(&self, spec: &JobSpec, zone: Option<&str>) -> Vec<bool> {
        self.kinds.allowed_for(spec, zone, &self.machines)
    }

    /// Collects the machines with an image, unless this is done already.
    pub(super) fn prepare_image(&mut self, image: &str) {
        self.images.prepare(image, &self.machines);
    }

    /// Subtracts a task's demand from the free capacity of a machine.
    pub(super) fn reserve_capacity(&mut self, machine: usize, demand: Resources) {
        self.free[machine].sub(demand);
    }

    /// Marks a task as a victim of this cycle.
    pub(super) fn mark_victim(&mut self, victim: TaskIndex) {
        self.victims[victim.machine].push(victim.task);
    }

    /// Counts one examination of a machine for a job, as a measure of the work of a cycle.
    pub(super) fn count_examined_machine(&self) {
        self.machines_examined.set(self.machines_examined.get() + 1);
    }

    /// How often a machine was examined for a job.
    pub(super) fn machines_examined(&self) -> u64 {
        self.machines_examined.get()
    }
}
