//! What is rented.

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
    let free = |_: &MachineKind| false;
    let mut cheap = spec(Shape::Array, 8, 4.0, Priority::Low);
    cheap.spot = true;
    let f = machine_types();
    // Eight tasks fill one large machine; it is the cheapest for each.
    let got = plan_scale_out(&[request(cheap.clone(), 8, 0.0)], vec![], &f, &free, 9);
    assert_eq!(got.len(), 1);
    assert!(got[0].0.spot && got[0].0.machine_type == "large" && got[0].1 == 1);
    // One task alone: a small one.
    let got = plan_scale_out(&[request(cheap.clone(), 1, 0.0)], vec![], &f, &free, 9);
    assert_eq!(got[0].0.machine_type, "small");
    // What is on its way serves first.
    let coming = IncomingMachines {
        kind: got[0].0.clone(),
        count: 1,
    };
    assert!(plan_scale_out(
        &[request(cheap.clone(), 2, 0.0)],
        vec![coming],
        &f,
        &free,
        9
    )
    .is_empty());
    // No spot machines to be had: on-demand ones only where it pays.
    let no_spot = |k: &MachineKind| k.spot;
    assert!(plan_scale_out(&[request(cheap.clone(), 1, 0.0)], vec![], &f, &no_spot, 9).is_empty());
    assert!(plan_scale_out(&[request(cheap.clone(), 1, 2.0)], vec![], &f, &no_spot, 9).is_empty());
    assert_eq!(
        plan_scale_out(&[request(cheap, 1, 5.5)], vec![], &f, &no_spot, 9).len(),
        1
    );
    // A gang in one zone is bought for in one zone, a spread one in two.
    let mut one = spec(Shape::Gang, 6, 8.0, Priority::Normal);
    one.single_zone = true;
    let zones = |got: &[(MachineKind, u64)]| {
        got.iter()
            .map(|k| k.0.zone.clone())
            .collect::<HashSet<_>>()
            .len()
    };
    assert_eq!(
        zones(&plan_scale_out(
            &[request(one.clone(), 6, 0.0)],
            vec![],
            &f,
            &free,
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
            &f,
            &free,
            9
        )),
        2
    );
}
