//! For which jobs spot machines can be had: by the kinds that a job may use, the machines that are
//! there or on their way, and what the cloud has refused lately.

use std::collections::HashSet;

use super::Scheduler;
use crate::cloud::{self, MachineKind};
use crate::job::{JobSpec, Shape};
use crate::plan::{is_kind_allowed, Resources};

/// A kind of spot machine in the catalog.
struct SpotKind {
    kind: MachineKind,
    /// The total capacity of a machine.
    capacity: Resources,
    /// Whether such a machine is in service or booting.
    is_present: bool,
    /// Whether the cloud has refused such a machine lately.
    was_refused_lately: bool,
    /// Whether the cloud has refused such a machine at any time in this term.
    was_refused: bool,
}

impl SpotKind {
    /// Whether tasks of a job may expect to get a machine of this kind. The tasks of an array do
    /// one after the other if one machine is there; a gang needs all its machines at a time.
    fn can_be_had_for(&self, spec: &JobSpec) -> bool {
        let serves_one_by_one = self.is_present && spec.shape != Shape::Gang;
        !self.was_refused_lately || serves_one_by_one
    }

    fn is_usable_for(&self, spec: &JobSpec) -> bool {
        let MachineKind {
            machine_type,
            zone,
            spot,
        } = &self.kind;
        is_kind_allowed(spec, machine_type, zone, *spot) && self.capacity.fits(Resources::of(spec))
    }
}

/// The kinds of spot machines, and which of them can be had.
pub(super) struct SpotAvailability(Vec<SpotKind>);

impl SpotAvailability {
    /// Whether spot machines can be had that a job may use.
    pub(super) fn is_available_for(&self, spec: &JobSpec) -> bool {
        let mut kinds = self.0.iter();
        kinds.any(|kind| kind.can_be_had_for(spec) && kind.is_usable_for(spec))
    }

    /// Whether the cloud has refused every kind of spot machine at some time in this term.
    pub(super) fn has_refused_all(&self) -> bool {
        self.0.iter().all(|kind| kind.was_refused)
    }
}

impl Scheduler {
    /// Which kinds of spot machines can be had.
    pub(super) fn spot_availability(&self, now: u64) -> SpotAvailability {
        let present = self.present_spot_kinds();
        let kinds = self.catalog.spot_kinds().filter_map(|kind| {
            let machine_type = self.catalog.machine_type(&kind.machine_type)?;
            Some(SpotKind {
                capacity: cloud::capacity(machine_type),
                is_present: present.contains(&kind),
                was_refused_lately: self.provisioning.was_refused_lately(&kind, now),
                was_refused: self.provisioning.has_been_sold_out(&kind),
                kind,
            })
        });
        SpotAvailability(kinds.collect())
    }

    /// The kinds of spot machines that are in service or booting.
    fn present_spot_kinds(&self) -> HashSet<MachineKind> {
        let machines = self
            .machines
            .values()
            .filter(|machine| machine.spot && machine.is_in_service() && !machine.has_stopped());
        // Most machines share one of few kinds.
        let mut names: HashSet<(&str, &str)> = HashSet::new();
        for machine in machines {
            names.insert((&machine.machine_type, &machine.zone));
        }
        let kinds = names.into_iter().map(|(machine_type, zone)| MachineKind {
            machine_type: machine_type.to_string(),
            zone: zone.to_string(),
            spot: true,
        });
        kinds.collect()
    }
}
