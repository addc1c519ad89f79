//! Which machines a scale-out rents.

use crate::support::*;
use gaugesill::cloud::{plan_scale_out, Demand, IncomingMachines, MachineKind};
use gaugesill::job::{JobSpec, Priority, Shape};
use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;

#[test]
fn the_cheapest_suitable_machines_are_rented() {
    let request = |spec: JobSpec, count, ordinary_price_ratio| Demand {
        spec: Arc::new(spec),
        count,
        zones: BTreeMap::new(),
        ordinary_price_ratio,
    };
    let none_exhausted = |_: &MachineKind| false;
    let mut cheap = spec(Shape::Array, 8, 4.0, Priority::Low);
    cheap.spot = true;
    let types = machine_types();
    // Eight tasks fill one large machine; it is the cheapest for each.
    let planned = plan_scale_out(
        &[request(cheap.clone(), 8, 0.0)],
        vec![],
        &types,
        &none_exhausted,
        9,
    );
    assert_eq!(planned.len(), 1);
    assert!(planned[0].0.spot && planned[0].0.machine_type == "large" && planned[0].1 == 1);
    // One task alone: a small one.
    let planned = plan_scale_out(
        &[request(cheap.clone(), 1, 0.0)],
        vec![],
        &types,
        &none_exhausted,
        9,
    );
    assert_eq!(planned[0].0.machine_type, "small");
    // Machines that are on their way are used first.
    let coming = IncomingMachines {
        kind: planned[0].0.clone(),
        count: 1,
    };
    assert!(plan_scale_out(
        &[request(cheap.clone(), 2, 0.0)],
        vec![coming],
        &types,
        &none_exhausted,
        9
    )
    .is_empty());
    // No spot machines are available: on-demand machines only where it pays.
    let no_spot = |kind: &MachineKind| kind.spot;
    assert!(plan_scale_out(
        &[request(cheap.clone(), 1, 0.0)],
        vec![],
        &types,
        &no_spot,
        9
    )
    .is_empty());
    assert!(plan_scale_out(
        &[request(cheap.clone(), 1, 2.0)],
        vec![],
        &types,
        &no_spot,
        9
    )
    .is_empty());
    assert_eq!(
        plan_scale_out(&[request(cheap, 1, 5.5)], vec![], &types, &no_spot, 9).len(),
        1
    );
    // Machines for a gang in one zone are rented in one zone, for a spread one in two.
    let mut one = spec(Shape::Gang, 6, 8.0, Priority::Normal);
    one.single_zone = true;
    let zones = |planned: &[(MachineKind, u64)]| {
        planned
            .iter()
            .map(|(kind, _)| kind.zone.clone())
            .collect::<HashSet<_>>()
            .len()
    };
    assert_eq!(
        zones(&plan_scale_out(
            &[request(one.clone(), 6, 0.0)],
            vec![],
            &types,
            &none_exhausted,
            9
        )),
        1
    );
    one.single_zone = false;
    one.spread = true;
    assert_eq!(
        zones(&plan_scale_out(
            &[request(one, 6, 0.0)],
            vec![],
            &types,
            &none_exhausted,
            9
        )),
        2
    );
}
