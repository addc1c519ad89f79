//! The choice of the machines that a scale-out rents.

use crate::support::*;
use gaugesill::cloud::{plan_scale_out, Demand, IncomingMachines, MachineKind, MachinesToRent};
use gaugesill::job::{JobSpec, Priority, Shape};
use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;

/// Maximum number of machines that a plan may rent.
const MACHINES_MAX: u64 = 9;

fn demand(spec: &JobSpec, count: u32) -> Demand {
    Demand {
        spec: Arc::new(spec.clone()),
        count,
        zones: BTreeMap::new(),
        on_demand_price_ratio: 0.0,
    }
}

/// An array that may run on spot machines; each task takes half of a small machine.
fn spot_array() -> JobSpec {
    let mut array = spec(Shape::Array, 8, 4.0, Priority::Low);
    array.spot = true;
    array
}

/// Plans a scale-out for one demand; `is_sold_out` tells which kinds of machines are unavailable.
fn plan(
    demand: Demand,
    incoming: Vec<IncomingMachines>,
    is_sold_out: &dyn Fn(&MachineKind) -> bool,
) -> Vec<MachinesToRent> {
    let types = machine_types();
    plan_scale_out(&[demand], &incoming, &types, is_sold_out, MACHINES_MAX)
}

fn none_sold_out(_: &MachineKind) -> bool {
    false
}

/// For eight tasks, one large machine costs the least per task; for a single task, a small one.
#[test]
fn the_cheapest_suitable_machines_are_rented() {
    let planned = plan(demand(&spot_array(), 8), vec![], &none_sold_out);
    assert_eq!(planned.len(), 1);
    let MachinesToRent { kind, count } = &planned[0];
    assert!(kind.spot && kind.machine_type == "large" && *count == 1);
    let planned = plan(demand(&spot_array(), 1), vec![], &none_sold_out);
    assert_eq!(planned[0].kind.machine_type, "small");
}

#[test]
fn incoming_machines_are_used_before_new_ones_are_rented() {
    let planned = plan(demand(&spot_array(), 1), vec![], &none_sold_out);
    let incoming = IncomingMachines {
        kind: planned[0].kind.clone(),
        count: 1,
    };
    let planned = plan(demand(&spot_array(), 2), vec![incoming], &none_sold_out);
    assert!(planned.is_empty());
}

#[test]
fn on_demand_machines_are_rented_only_up_to_the_price_ratio() {
    let no_spot = |kind: &MachineKind| kind.spot;
    let planned_at = |on_demand_price_ratio| {
        let demand = Demand {
            on_demand_price_ratio,
            ..demand(&spot_array(), 1)
        };
        plan(demand, vec![], &no_spot)
    };
    assert!(planned_at(0.0).is_empty());
    assert!(planned_at(2.0).is_empty());
    assert_eq!(planned_at(5.5).len(), 1);
}

/// Machines for a single-zone gang are rented in one zone, those for a spread gang in two.
#[test]
fn machines_are_rented_in_zones_that_the_gang_allows() {
    let zones = |gang: &JobSpec| {
        let planned = plan(demand(gang, 6), vec![], &none_sold_out);
        let zones = planned.iter().map(|machines| machines.kind.zone.clone());
        zones.collect::<HashSet<_>>().len()
    };
    let mut gang = spec(Shape::Gang, 6, 8.0, Priority::Normal);
    gang.single_zone = true;
    assert_eq!(zones(&gang), 1);
    gang.single_zone = false;
    gang.spread = true;
    assert_eq!(zones(&gang), 2);
}
