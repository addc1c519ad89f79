//! Which controller holds each duty, and when a duty moves to another.

use std::collections::BTreeSet;

use gaugesill::leadership_keys::LeaderKey;
use gaugesill::peer_protocol::PeerStatus;
use gaugesill::settings::FencingMode;

use crate::common::{ControllerClocks, DutyEvent, Sim};
use crate::support::{
    finish_and_check_duties, submit, submit_array_and_gang, tokens, FENCES, LEASE_TTL_MS,
};

#[test]
fn holders_rent_and_return_what_the_leader_needs() {
    for fence in FENCES {
        let mut sim = Sim::with_duties(fence);
        // Versions without duties can no longer be elected.
        let fenced = sim.store.keys["g/l/leader"]
            .value
            .deserialized::<LeaderKey>();
        assert_eq!(fenced.ok(), Some(LeaderKey::superseded()));
        let holders =
            ["rent", "return", "reclaim-idle", "clean-state"].map(|duty| sim.holder_of(duty));
        let distinct: BTreeSet<_> = holders.iter().collect();
        assert_eq!(
            distinct.len(),
            3,
            "the duties are not spread over all controllers: {holders:?}"
        );
        submit_array_and_gang(&mut sim);
        finish_and_check_duties(&mut sim, ControllerClocks::Reliable);
        assert!(sim.orders_received("rent") > 0 && sim.orders_received("return") > 0);
        // Controllers other than the leader have decided on some orders.
        let leader = sim.leader();
        let by_others = sim
            .duty_history
            .iter()
            .any(|event| matches!(event, DutyEvent::Decided { controller, .. } if Some(*controller) != leader));
        assert!(by_others);
        let has_token =
            |event: &DutyEvent| matches!(event, DutyEvent::Received { token: Some(_), .. });
        let with_token = sim.duty_history.iter().any(has_token);
        assert_eq!(with_token, fence == FencingMode::ProviderToken);
    }
}

/// While a controller runs an older version, or has no settings for duties, the leader performs
/// the duties. A controller that later restarts without the settings can still be elected; it
/// leads by writing scaling requests.
#[test]
fn mixed_versions_and_settings() {
    let mut sim = Sim::new();
    sim.switch_duties_on(FencingMode::IdempotencyKey);
    sim.deployment.previous_version.insert(0);
    sim.deployment.without_duties.insert(1);
    sim.crash_all(|controller| 1 + 2000 * controller);
    submit_array_and_gang(&mut sim);
    sim.run(20_000);
    assert!(!sim.are_duties_held());
    finish_without_duties(&mut sim);
    sim.deployment.previous_version.clear();
    sim.crash(0, 500);
    sim.run(12_000);
    // Whoever leads, a controller that could hold duties must not acquire them while c1 cannot.
    sim.crash(1, 4000);
    sim.run(20_000);
    assert!(
        sim.leader() != Some(1) && !sim.are_duties_held(),
        "no duty may be held while c1 has no settings for duties"
    );
    sim.deployment.without_duties.clear();
    sim.crash(1, 500);
    assert!(sim.run_until(60_000, Sim::are_duties_held));
    sim.duty_history.clear();
    for controller in 0..3 {
        sim.deployment.without_duties.insert(controller);
        sim.crash(controller, 300);
        sim.run(12_000);
        let number = 10 + controller;
        submit(&mut sim, number, "sweep", 2, 4.0);
        sim.run(15_000);
        sim.deployment.without_duties.clear();
        sim.crash(controller, 300);
        finish_and_check_duties(&mut sim, ControllerClocks::Reliable);
    }
}

fn finish_without_duties(sim: &mut Sim) {
    sim.run(2000);
    submit_array_and_gang(sim);
    sim.finish(150_000);
    sim.assert_no_violations();
}

/// The holder changes ten times in two minutes, through crashes with immediate restarts and
/// through operators who move the duty: no order may be lost.
#[test]
fn no_order_is_lost_in_ten_changes_of_holder() {
    let mut sim = Sim::with_duties(FencingMode::ProviderToken);
    for round in 0..10 {
        let shape = if round % 3 == 0 { "group" } else { "sweep" };
        submit(&mut sim, round, shape, 2, 6.0);
        if round % 2 == 0 {
            let holder = sim.holder_of("rent").unwrap_or(0);
            sim.crash(holder, 300);
            sim.run(12_000);
        } else {
            let target = round % 3;
            let name = format!("c{target}");
            let holders = &mut sim.duty_settings().holders;
            holders.insert(duty_lease::Duty::Rent, name);
            sim.crash_all(|controller| 200 + 300 * controller);
            assert!(
                sim.run_until(12_000, |sim| sim.holder_of("rent") == Some(target)),
                "the duty did not move to c{target}"
            );
        }
    }
    finish_and_check_duties(&mut sim, ControllerClocks::Reliable);
}

/// A controller that crashes repeatedly and restarts within a second must not cause duties to move
/// that it does not hold.
#[test]
fn a_flapping_controller_moves_no_duty_of_another() {
    let mut sim = Sim::with_duties(FencingMode::IdempotencyKey);
    let holder = sim.holder_of("rent").expect("the duty has no holder");
    let other = (0..3)
        .find(|controller| *controller != holder)
        .expect("no controller other than the holder");
    let token = |sim: &Sim| sim.store.keys["g/d/l/rent/token"].value.clone();
    let before = token(&sim);
    for _ in 0..8 {
        sim.crash(other, 700);
        sim.run(2500);
    }
    assert_eq!((sim.holder_of("rent"), token(&sim)), (Some(holder), before));
}

/// Guards against needless moves: in an outage of the store each holder considered its lease lost.
#[test]
fn an_outage_moves_no_duty() {
    let mut sim = Sim::with_duties(FencingMode::IdempotencyKey);
    sim.run(2 * LEASE_TTL_MS);
    let before = tokens(&sim);
    sim.faults.store_outage = true;
    sim.run(30_000);
    sim.end_outage();
    sim.run(2 * LEASE_TTL_MS);
    assert!(sim.are_duties_held());
    assert_eq!(tokens(&sim), before);
}

/// A controller that is repeatedly down for longer than its lease and then up for a moment must
/// be assigned no duty before it has stayed up for a while.
#[test]
fn no_duty_is_assigned_to_a_controller_that_does_not_stay_up() {
    let mut sim = Sim::with_duties(FencingMode::IdempotencyKey);
    sim.run(2 * LEASE_TTL_MS);
    sim.crash(1, 3 * LEASE_TTL_MS);
    sim.run(3 * LEASE_TTL_MS - 100);
    let before = tokens(&sim);
    for _ in 0..4 {
        sim.run(LEASE_TTL_MS / 2);
        sim.crash(1, LEASE_TTL_MS);
        sim.run(LEASE_TTL_MS - 100);
    }
    assert!(sim.are_duties_held());
    assert_eq!(tokens(&sim), before);
}

/// A controller reports itself healthy but does not acquire the duties that are assigned to it:
/// other controllers must acquire them within four times the time to live of a lease.
#[test]
fn unacquired_duties_are_reassigned() {
    let mut sim = Sim::with_duties(FencingMode::IdempotencyKey);
    sim.crash(1, 3_600_000);
    let status = PeerStatus {
        member: "c1".into(),
        store_reachable: true,
        process_age_ms: 60_000,
        supported_format: 2,
        ..PeerStatus::default()
    };
    let mut longest_free_ms = 0;
    let mut free_ms = 0;
    for _ in 0..160 {
        for controller in [0, 2] {
            sim.deliver_status(controller, &status);
        }
        sim.run(500);
        free_ms = if sim.are_duties_held() {
            0
        } else {
            free_ms + 500
        };
        longest_free_ms = longest_free_ms.max(free_ms);
    }
    assert!(longest_free_ms > LEASE_TTL_MS, "c1 was assigned no duty");
    assert!(
        longest_free_ms < 4 * LEASE_TTL_MS,
        "a duty had no holder for {longest_free_ms} ms"
    );
}

/// While a duty has no holder, the leader must not act in its place: nothing is rented.
#[test]
fn the_leader_never_acts_in_place_of_a_holder() {
    let mut sim = Sim::with_duties(FencingMode::IdempotencyKey);
    sim.deployment.without_duties.extend([0, 1, 2]);
    sim.crash_all(|_| 300);
    sim.run(3 * LEASE_TTL_MS);
    submit_array_and_gang(&mut sim);
    sim.run(60_000);
    assert!(sim.duty_history.is_empty(), "{:?}", sim.duty_history);
    assert!(sim.orders_in_phase("rent", "needed") > 0);
    sim.deployment.without_duties.clear();
    sim.crash_all(|controller| 300 + 100 * controller);
    finish_and_check_duties(&mut sim, ControllerClocks::Reliable);
}
