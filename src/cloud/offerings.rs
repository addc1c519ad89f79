//! The machines that the cloud offers, with their prices.

use super::{capacity, MachineKind};
use crate::job::JobSpec;
use crate::plan::{is_kind_allowed, Resources};
use crate::wire::MachineType;

/// A kind of machine that the cloud offers, with its price. Offerings are identified by their
/// index in the list.
pub(super) struct InstanceOffering {
    pub kind: MachineKind,
    /// The total capacity of a machine.
    pub capacity: Resources,
    /// The price of a machine per hour.
    pub price: f64,
    /// Whether the cloud has no more of these machines for now.
    pub is_sold_out: bool,
}

impl InstanceOffering {
    /// The hourly price per task on a machine full of tasks with this demand.
    pub(super) fn price_per_task(&self, demand: Resources) -> f64 {
        self.price / f64::from(self.capacity.max_task_count(demand))
    }
}

/// Lists all offerings, by type, then zone, then spot before on-demand.
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
        is_kind_allowed(spec, &kind.machine_type, &kind.zone, kind.spot)
    };
    offerings.iter().map(allowed).collect()
}
