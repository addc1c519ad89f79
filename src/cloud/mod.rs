//! Plans scale-outs: from unmet demand to the number of machines of each kind to rent, by price.
//!
//! [`plan_scale_out`] is a pure function. Demands are satisfied in their order, each first on
//! machines in provisioning, then on newly rented machines: of the offerings that the job
//! allows, the one with the lowest price per task placed on it.
//!
//! `offerings` lists the machines that the cloud offers, `open_demand` tracks a partly satisfied
//! demand, `scale_out_plan` has the plan under construction, and `planner` satisfies the demands.

mod offerings;
mod open_demand;
mod planner;
mod scale_out_plan;

use std::sync::Arc;

use crate::job::JobSpec;
use crate::plan::{is_kind_allowed, tasks_per_zone_max, Resources, ZoneCounts};
use crate::wire::MachineType;
use offerings::all_offerings;
use planner::ScaleOutPlanner;
use scale_out_plan::ScaleOutPlan;

/// A kind of machine that the cloud offers for rent.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct MachineKind {
    /// The name of the machine type.
    pub machine_type: String,
    /// The zone that the machine is in.
    pub zone: String,
    /// Whether the machine is a spot machine, otherwise on-demand.
    pub spot: bool,
}

/// Tasks of one job that need machines.
#[derive(Debug, Clone)]
pub struct Demand {
    /// The job's specification.
    pub spec: Arc<JobSpec>,
    /// The number of tasks without capacity.
    pub count: u32,
    /// The number of the job's other tasks by zone.
    pub zones: ZoneCounts,
    /// The most that an on-demand machine may cost for each task of a job that may use spot
    /// machines, as a multiple of the lowest spot price for each task; 0 for no on-demand
    /// machines.
    pub on_demand_price_ratio: f64,
}

impl Demand {
    /// How many more tasks may be in a zone, given the number of the job's tasks by zone.
    fn allowed_in_zone(&self, zone: &str, used: &ZoneCounts) -> u32 {
        let elsewhere = |(other, count): (&Arc<str>, &u32)| *count > 0 && **other != *zone;
        if self.spec.single_zone && used.iter().any(elsewhere) {
            return 0;
        }
        let here = used.get(zone).copied().unwrap_or(0);
        tasks_per_zone_max(&self.spec).saturating_sub(here)
    }

    /// Whether the job has tasks in a zone already.
    fn has_zone(&self) -> bool {
        self.zones.values().any(|count| *count > 0)
    }
}

/// Machines of a kind in provisioning: rented, but not ready for tasks yet.
#[derive(Debug, Clone)]
pub struct IncomingMachines {
    /// The kind of the machines.
    pub kind: MachineKind,
    /// The number of machines.
    pub count: u64,
}

/// Machines of a kind that a scale-out rents.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MachinesToRent {
    /// The kind of the machines.
    pub kind: MachineKind,
    /// The number of machines.
    pub count: u64,
}

/// Returns the total capacity of a machine of a type.
pub fn capacity(machine_type: &MachineType) -> Resources {
    Resources {
        cpus: machine_type.cpus,
        gpus: machine_type.gpus,
        memory_gb: machine_type.memory_gb,
    }
}

/// Whether a machine of any type could hold one task of a job.
pub fn can_run(spec: &JobSpec, machine_types: &[MachineType]) -> bool {
    let demand = Resources::of(spec);
    machine_types.iter().any(|machine_type| {
        let allowed = |zone: &String| is_kind_allowed(spec, &machine_type.name, zone, spec.spot);
        capacity(machine_type).fits(demand) && machine_type.zones.iter().any(allowed)
    })
}

/// Decides which machines to rent so that every demand has capacity on machines in provisioning
/// or newly rented. Rents at most `machines_max` machines, and none of a kind that
/// `is_sold_out`. The result is in the order of the demands that the machines are for.
pub fn plan_scale_out(
    demands: &[Demand],
    incoming: &[IncomingMachines],
    machine_types: &[MachineType],
    is_sold_out: &dyn Fn(&MachineKind) -> bool,
    machines_max: u64,
) -> Vec<MachinesToRent> {
    let offerings = all_offerings(machine_types, is_sold_out);
    let mut plan = ScaleOutPlan::new(incoming, &offerings);
    let planner = ScaleOutPlanner::new(demands, &offerings, machines_max);
    let mut zones: Vec<&str> = machine_types
        .iter()
        .flat_map(|machine_type| &machine_type.zones)
        .map(String::as_str)
        .collect();
    zones.sort_unstable();
    zones.dedup();
    for (index, demand) in demands.iter().enumerate() {
        if demand.spec.single_zone && !demand.has_zone() {
            planner.satisfy_in_best_zone(index, &zones, &mut plan);
        } else {
            planner.satisfy(index, &demand.zones, &mut plan);
        }
    }
    plan.rented()
        .iter()
        .map(|rented| MachinesToRent {
            kind: offerings[rented.offering].kind.clone(),
            count: rented.count,
        })
        .collect()
}
