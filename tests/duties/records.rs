//! Records of orders: their removal, and their copy in the memory of each controller.

use std::collections::BTreeMap;

use ciborium::cbor;
use duty_lease::{Duty, Order, OrderId, OrderResult};
use gaugesill::duties::{order_key, DutyRecords, OrderKey, OrderPhase, OrderRecord};
use gaugesill::settings::FencingMode;
use proptest::prelude::*;

use crate::common::{ControllerClocks, ReducedLimits, Sim};
use crate::support::{finish_and_check_duties, step_until, submit_array_and_gang};

/// The store refuses to remove a result that the leader has received: the removal must be retried
/// soon, and not be left to the holder of the `clean-state` duty.
#[test]
fn results_are_removed_once_the_leader_has_received_them() {
    let mut sim = Sim::with_duties(FencingMode::IdempotencyKey);
    submit_array_and_gang(&mut sim);
    let is_completed = |sim: &Sim| sim.orders_in_phase("rent", "completed") > 0;
    assert!(step_until(&mut sim, is_completed));
    sim.store.reduced_limits = Some(ReducedLimits {
        value_bytes: 16 * 1024,
        transaction_writes: 20,
        writes_per_s: 0.0,
    });
    sim.run(1000);
    assert!(sim.store.refused_by_rate > 0, "the removal was not refused");
    sim.store.reduced_limits = None;
    sim.run(5000);
    assert_eq!(sim.orders_in_phase("rent", "completed"), 0);
    finish_and_check_duties(&mut sim, ControllerClocks::Reliable);
}

/// Results that no leader receives and provisioning requests without demand are removed at a
/// bounded rate; a dry run removes nothing. Records of terminations are kept.
#[test]
fn orphaned_records_are_removed() {
    for dry_run in [false, true] {
        let mut sim = Sim::new();
        sim.switch_duties_on(FencingMode::IdempotencyKey);
        sim.duty_settings().cleaning_dry_run = dry_run;
        sim.duty_settings().cleaning_per_s = 0.5;
        // All controllers have settings for duties.
        sim.deployment.without_duties.clear();
        sim.crash_all(|_| 1);
        assert!(sim.run_until(60_000, Sim::are_duties_held));
        let kind = cbor!({"machine_type" => "f8", "zone" => "a", "spot" => false, "count" => 1});
        let order = cbor!({"rent" => kind.expect("not representable as CBOR")})
            .expect("not representable as CBOR");
        // The requests name a duty that rents nothing, so its holder ignores them.
        for number in 0..5 {
            let request = cbor!({"order" => order, "phase" => "needed", "since_ms" => 1})
                .expect("not representable as CBOR");
            sim.store
                .put(&format!("g/d/o/clean-state/left-{number}"), request);
        }
        sim.run(70_000);
        assert_eq!(
            sim.orders_in_phase("clean-state", "needed"),
            5,
            "requests were removed although they may still be in demand"
        );
        sim.run(5000);
        let left = sim.orders_in_phase("clean-state", "needed");
        assert!(
            dry_run || (1..5).contains(&left),
            "{left} of 5 requests are left: the rate of removal is not bounded"
        );
        sim.run(12_000);
        let left = sim.orders_in_phase("clean-state", "needed");
        assert_eq!(left, if dry_run { 5 } else { 0 });
    }
}

fn record(phase: u8) -> OrderRecord {
    let id = OrderId {
        duty: Duty::Return,
        token: 1,
        sequence: u64::from(phase),
    };
    OrderRecord {
        order: Order::Delete {
            machines: vec!["m-1".into()],
            if_empty: true,
        },
        phase: match phase {
            0 => OrderPhase::Needed,
            1 => OrderPhase::Recorded(id),
            _ => OrderPhase::Completed(OrderResult::Rejected),
        },
        since_ms: 0,
    }
}

/// A record that becomes unreadable must not be acted upon in its earlier form, and its machines
/// stay drained until it is deleted.
#[test]
fn an_unreadable_record_is_not_acted_upon_in_its_earlier_form() {
    let duty = Duty::Return;
    let key = OrderKey {
        duty,
        request: "n".into(),
    };
    let name = order_key(&key);
    for phase in 0..2 {
        let mut records = DutyRecords::default();
        records.apply_set(&name, &record(phase).to_value(), 1);
        records.apply_set(&name, &7.into(), 2);
        assert!(records.requests(duty).is_empty() && records.intents(duty).is_empty());
        assert!(records.is_being_terminated("m-1"));
        assert_eq!(records.unreadable().collect::<Vec<_>>(), [name.as_str()]);
        records.take_changes();
        records.apply_delete(&name, 3);
        assert!(!records.is_being_terminated("m-1"));
        let changes = records.take_changes();
        assert!(
            changes.iter().all(|change| change.before.is_none()),
            "the result of an unreadable order is unknown"
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(31),
        ..ProptestConfig::default()
    })]

    /// Own writes may be known before the watch reports them, and pages and the watch may repeat
    /// changes. The local copy must end with the store's contents, and never go from a newer
    /// record to an older one.
    #[test]
    fn the_copy_of_records_converges_in_any_order_of_changes(
        changes in prop::collection::vec((0u8..3, 0u8..4), 1..30),
        own in prop::collection::vec(any::<bool>(), 30),
        repeats in prop::collection::vec(0usize..30, 0..10),
    ) {
        let key = |request: u8| OrderKey { duty: Duty::Return, request: request.to_string() };
        let mut stored = BTreeMap::new();
        let mut history = Vec::new();
        for (index, (request, phase)) in changes.iter().enumerate() {
            let version = index as u64 + 1;
            let value = (*phase < 3).then(|| record(*phase));
            if value.is_none() && stored.remove(request).is_none() {
                continue;
            }
            if let Some(value) = &value {
                stored.insert(*request, value.clone());
            }
            history.push((*request, value, version));
        }
        let mut records = DutyRecords::default();
        // Own writes become known before the watch reports any change, here the latest first.
        for (index, (request, value, version)) in history.iter().enumerate().rev() {
            if own[index] {
                records.apply_own_write(&key(*request), value.clone(), *version);
            }
        }
        for (index, (request, value, version)) in history.iter().enumerate() {
            let name = order_key(&key(*request));
            let seen = records.order(&key(*request)).map(|order| order.version);
            match value {
                Some(value) => records.apply_set(&name, &value.to_value(), *version),
                None => records.apply_delete(&name, *version),
            }
            // The same change again, as in a page that was read at the same time.
            if repeats.contains(&index) {
                if let Some(value) = value {
                    records.apply_set(&name, &value.to_value(), *version);
                }
            }
            let now = records.order(&key(*request)).map(|order| order.version);
            prop_assert!(now.is_none() || now >= seen);
            // Nor may it be a record that an own write has replaced or deleted.
            let of_request = history.iter().enumerate().filter(|(index, change)| own[*index] && change.0 == *request);
            let latest_own = of_request.map(|(_, (_, _, version))| *version).max();
            prop_assert!(now.is_none() || now >= latest_own);
        }
        for request in 0..3u8 {
            let left = records.order(&key(request)).map(|order| order.record.clone());
            prop_assert_eq!(left, stored.get(&request).cloned());
        }
        let open = stored.values().any(|record| !matches!(record.phase, OrderPhase::Completed(_)));
        prop_assert_eq!(records.is_being_terminated("m-1"), open);
    }
}
