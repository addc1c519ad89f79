//! The assignment of duties to controllers.

use std::collections::BTreeMap;

use duty_lease::{assign, AssignmentRules, Duty, LiveMember};
use proptest::prelude::*;

const SETTLE_MS: u64 = 5000;

fn rules() -> AssignmentRules {
    AssignmentRules {
        settle_ms: SETTLE_MS,
        pinned: BTreeMap::new(),
    }
}

fn member(number: u8, live_for_ms: u64) -> LiveMember {
    LiveMember {
        name: format!("c{number}"),
        live_for_ms,
    }
}

fn settled(numbers: &[u8]) -> Vec<LiveMember> {
    let member = |number: &u8| member(*number, 2 * SETTLE_MS);
    numbers.iter().map(member).collect()
}

fn loads(assigned: &BTreeMap<Duty, String>) -> BTreeMap<&str, usize> {
    let mut loads = BTreeMap::new();
    for name in assigned.values() {
        *loads.entry(name.as_str()).or_insert(0) += 1;
    }
    loads
}

/// A controller that is live only briefly gets no duties; one that stays live gets its share. When
/// a controller is lost, only its own duties move.
#[test]
fn duties_move_only_to_settled_or_from_lost_controllers() {
    let before = assign(&Duty::ALL, &settled(&[0, 1]), &BTreeMap::new(), &rules());
    assert_eq!(loads(&before), BTreeMap::from([("c0", 2), ("c1", 2)]));
    let mut live = settled(&[0, 1]);
    live.push(member(2, 100));
    assert_eq!(assign(&Duty::ALL, &live, &before, &rules()), before);
    let three = assign(&Duty::ALL, &settled(&[0, 1, 2]), &before, &rules());
    let has_moved = |(duty, name): &(&Duty, &String)| three[*duty] != **name;
    let moved = before.iter().filter(has_moved).count();
    assert_eq!(moved, 1, "one duty moves, not all");
    let gone = assign(&Duty::ALL, &settled(&[0, 2]), &three, &rules());
    for (duty, name) in three.iter().filter(|(_, name)| *name != "c1") {
        assert_eq!(gone[duty], *name);
    }
}

/// A duty that an operator pins to a controller moves there, and stays while it is live.
#[test]
fn pinned_duties_move_to_their_controller() {
    let present = assign(&Duty::ALL, &settled(&[0, 1]), &BTreeMap::new(), &rules());
    let mut rules = rules();
    for duty in Duty::ALL {
        rules.pinned.insert(duty, "c1".into());
    }
    let moved = assign(&Duty::ALL, &settled(&[0, 1]), &present, &rules);
    assert!(moved.values().all(|name| name == "c1"));
    let alone = assign(&Duty::ALL, &settled(&[0]), &moved, &rules);
    assert!(alone.values().all(|name| name == "c0"), "c1 is gone");
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(21),
        ..ProptestConfig::default()
    })]

    /// For any live controllers: each duty is assigned to a live controller, no settled controller
    /// has two duties fewer than another, and repeating the assignment moves nothing.
    #[test]
    fn assignments_are_complete_balanced_and_stable(
        live in prop::collection::btree_map(0..5u8, 0..2 * SETTLE_MS, 1..5),
        present in prop::collection::btree_map(0..4usize, 0..6u8, 0..4),
    ) {
        let live = live.into_iter().map(|(number, live_for_ms)| member(number, live_for_ms));
        let live: Vec<LiveMember> = live.collect();
        let present = present
            .into_iter()
            .map(|(duty, number)| (Duty::ALL[duty], format!("c{number}")))
            .collect();
        let assigned = assign(&Duty::ALL, &live, &present, &rules());
        prop_assert_eq!(assigned.len(), Duty::ALL.len());
        let loads = loads(&assigned);
        for (name, load) in &loads {
            prop_assert!(live.iter().any(|member| member.name == *name));
            for other in live.iter().filter(|other| other.live_for_ms >= SETTLE_MS) {
                let other_load = loads.get(other.name.as_str()).copied().unwrap_or(0);
                prop_assert!(*load < other_load + 2, "{:?}", assigned);
            }
        }
        prop_assert_eq!(assign(&Duty::ALL, &live, &assigned, &rules()), assigned);
    }
}
