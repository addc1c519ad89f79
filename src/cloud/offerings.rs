//! What the cloud rents, with prices.

use super::{capacity, MachineKind};
use crate::job::JobSpec;
use crate::plan::{is_allowed, Resources};
use crate::wire::MachineType;

/// A kind of machine that the cloud rents, with its price. Offerings go by their index.
pub(super) struct InstanceOffering {
    /// The kind.
    pub kind: MachineKind,
    /// The capacity of a machine.
    pub capacity: Resources,
    /// The price of a machine for an hour.
    pub price: f64,
    /// The cloud has no more of them for now.
    pub is_sold_out: bool,
}

impl InstanceOffering {
    /// The price for each task if a machine were full of tasks with this demand.
    pub(super) fn price_per_task(&self, demand: Resources) -> f64 {
        self.price / f64::from(self.capacity.count_of(demand))
    }
}

/// All offerings, by type, zone, and spot before on-demand.
pub(super) fn all_offerings(
    machine_types: &[MachineType],
    is_sold_out: &dyn Fn(&MachineKind) -> bool,
) -> Vec<InstanceOffering> {
    let mut offerings = Vec::new();
    for machine_type in machine_types {
        for zone in &machine_type.zones {
            for spot in [true, false] {
                let kind = MachineKind {
                    machine_type: machine_type.name.clone(),
                    zone: zone.clone(),
                    spot,
                };
                offerings.push(InstanceOffering {
                    capacity: capacity(machine_type),
                    price: if spot {
                        machine_type.spot_price
                    } else {
                        machine_type.hourly_price
                    },
                    is_sold_out: is_sold_out(&kind),
                    kind,
                });
            }
        }
    }
    offerings
}

/// For each offering, whether a job may use its machines.
pub(super) fn allowed_offerings(spec: &JobSpec, offerings: &[InstanceOffering]) -> Vec<bool> {
    let allowed = |offering: &InstanceOffering| {
        let kind = &offering.kind;
        is_allowed(spec, &kind.machine_type, &kind.zone, kind.spot)
    };
    offerings.iter().map(allowed).collect()
}
