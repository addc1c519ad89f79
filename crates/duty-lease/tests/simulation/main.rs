//! Three controllers, a store and a provider on one simulated clock, with seeded random faults.
//! A checker that is independent of the code under test checks the history.

mod checker;
mod provider;
mod scenario;
mod store;
mod world;

use checker::Summary;
use duty_lease::{Candidacy, Duty};
use provider::Fence;
use scenario::{assert_no_violations, run_with_random_faults, settle, Clocks};
use world::{SentMessages, World, TTL_MS};

const FENCES: [Fence; 2] = [Fence::Token, Fence::IdempotencyKeys];

/// Under random faults, orders of fenced holders are refused, there are never two effective
/// holders, and no machine with a task on it is deleted. At the end, each machine has an owner
/// and no order is open.
#[test]
fn random_faults_cause_no_violations() {
    for fence in FENCES {
        let mut total = Summary::default();
        for seed in 0..60 {
            total += run_with_random_faults(seed, fence, Clocks::Correct);
        }
        assert!(total.holder_changes > 400, "{total:?}");
        assert!(total.tasks > 400 && total.deletions > 100, "{total:?}");
        let refusals = fence == Fence::Token;
        assert_eq!(total.refused > 0, refusals, "{total:?}");
    }
}

/// Random faults, and steady clocks that jump forward or back or stop. Two controllers may then
/// consider themselves the holder, but their orders must cause no violation.
#[test]
fn clocks_that_jump_cause_no_violations() {
    for fence in FENCES {
        for seed in 1000..1040 {
            run_with_random_faults(seed, fence, Clocks::Jumping);
        }
    }
}

/// A holder with orders in flight is paused for longer than its lease and then resumes. All of its
/// late orders are refused, and it sends none before it holds the lease again.
#[test]
fn orders_of_a_paused_holder_are_refused() {
    let mut refused = 0;
    for seed in 0..40 {
        let mut world = World::new(seed, Fence::Token);
        world.run(3 * TTL_MS + 37 * seed);
        let Some(holder) = world.holder(Duty::Return) else {
            continue;
        };
        world.pause(holder, 2 * TTL_MS + 100 * seed, SentMessages::HeldBack);
        world.run(6 * TTL_MS);
        let what = format!("seed {seed}");
        refused += assert_no_violations(&world, &what).refused;
        settle(&mut world, &what);
    }
    assert!(refused > 0, "no order of a paused holder was refused");
}

/// The holder crashes at many moments between scaling request, intent, order and completion. It
/// restarts after a fraction of a second or two leases, or all controllers are restarted.
#[test]
fn the_holder_crashes_at_every_step() {
    for fence in FENCES {
        for moment in 0..60 {
            let mut world = World::new(7, fence);
            world.run(2 * TTL_MS + 40 * moment);
            if let Some(holder) = world.holder(Duty::Rent) {
                world.crash(holder);
                world.run(if moment % 2 == 0 { 200 } else { 2 * TTL_MS });
                world.start(holder);
            }
            if moment % 5 == 0 {
                world.start_all();
            }
            world.run(4 * TTL_MS);
            let what = format!("moment {moment}, {fence:?}");
            settle(&mut world, &what);
            assert_no_violations(&world, &what);
        }
    }
}

/// A duty is released and acquired by another controller ten times in two minutes. Each handover
/// takes less than the lease's time to live, because no candidate waits for the lease to expire.
#[test]
fn ten_handovers_are_shorter_than_a_lease() {
    let mut world = World::new(3, Fence::Token);
    world.run(2 * TTL_MS);
    let mut longest_ms = 0;
    for _ in 0..10 {
        let holder = world.holder(Duty::Rent).expect("a holder of the duty");
        world.set_candidacy(holder, Duty::Rent, Candidacy::Observer);
        let released_at = world.now;
        let is_taken_over = |world: &World| {
            world
                .holder(Duty::Rent)
                .is_some_and(|index| index != holder)
        };
        while !is_taken_over(&world) {
            world.run(20);
            assert!(
                world.now < released_at + 2 * TTL_MS,
                "no other controller acquired the duty within two leases"
            );
        }
        longest_ms = longest_ms.max(world.now - released_at);
        world.set_candidacy(holder, Duty::Rent, Candidacy::Candidate);
        world.run(4 * TTL_MS);
    }
    assert!(longest_ms < TTL_MS, "{longest_ms}");
    settle(&mut world, "ten handovers");
    assert_no_violations(&world, "ten handovers");
}

/// The store refuses only the holder, for longer than its lease: it stops sending orders before
/// another controller holds the duty.
#[test]
fn a_holder_that_the_store_refuses_stops_in_time() {
    for seed in 0..20 {
        let mut world = World::new(seed, Fence::IdempotencyKeys);
        world.run(2 * TTL_MS);
        let holder = world.holder(Duty::Rent);
        world.faults.store_refuses = holder;
        world.run(4 * TTL_MS);
        let what = format!("seed {seed}");
        assert_ne!(world.effective_holder(Duty::Rent), holder, "{what}");
        settle(&mut world, &what);
        let summary = assert_no_violations(&world, &what);
        assert!(
            summary.holder_changes > 3,
            "{what}: no other controller took over"
        );
    }
}

/// The store refuses only the holder, and then all controllers for longer than the lease: the
/// holder stops in time, and resumes or is replaced after the outage.
#[test]
fn a_holder_that_the_store_refuses_stops_in_time_before_an_outage() {
    for seed in 0..20 {
        let mut world = World::new(seed, Fence::IdempotencyKeys);
        world.run(2 * TTL_MS);
        world.faults.store_refuses = world.holder(Duty::Return);
        world.run(TTL_MS / 3 + 50 * seed);
        world.faults.is_store_down = true;
        world.run(3 * TTL_MS);
        world.end_store_outage();
        let what = format!("seed {seed}");
        settle(&mut world, &what);
        assert_no_violations(&world, &what);
    }
}
