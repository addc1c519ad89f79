//! Three controllers, a store and a provider on one simulated clock, under seeded
//! random troubles. The history is checked by a checker that knows nothing of the code.

mod checker;
mod provider;
mod scenario;
mod store;
mod world;

use checker::Summary;
use duty_lease::{Candidacy, Duty};
use provider::Fence;
use scenario::{assert_sound, settle, troubled_run, Clocks};
use world::{SentMessages, World, TTL_MS};

const FENCES: [Fence; 2] = [Fence::Token, Fence::Names];

/// Under random troubles an order of a fenced holder is refused, there are never two effective
/// holders, no machine with a task on it is returned, and at the end each machine has an
/// owner and no order is open.
#[test]
fn random_troubles_break_no_rule() {
    for fence in FENCES {
        let mut total = Summary::default();
        for seed in 0..60 {
            total += troubled_run(seed, fence, Clocks::Sound);
        }
        assert!(total.changes_of_hands > 400, "{total:?}");
        assert!(total.tasks > 400 && total.deletions > 100, "{total:?}");
        let refusals = fence == Fence::Token;
        assert_eq!(total.refused > 0, refusals, "{total:?}");
    }
}

/// The same with steady clocks that leap forward and back and stand still. Two controllers
/// may then take themselves for the holder; their orders do no harm all the same.
#[test]
fn clocks_that_leap_break_no_rule() {
    for fence in FENCES {
        for seed in 1000..1040 {
            troubled_run(seed, fence, Clocks::Leaping);
        }
    }
}

/// A holder is paused for longer than its lease, with orders on the way, and goes on: its
/// late orders are refused, each of them, and it gives none before it has the lease again.
#[test]
fn orders_of_a_paused_holder_are_refused() {
    let mut refused = 0;
    for seed in 0..40 {
        let mut world = World::new(seed, Fence::Token);
        world.run(3 * TTL_MS + 37 * seed);
        let Some(holder) = world.holder(Duty::Return) else {
            continue;
        };
        world.pause(holder, 2 * TTL_MS + 100 * seed, SentMessages::HeldUp);
        world.run(6 * TTL_MS);
        let what = format!("seed {seed}");
        refused += assert_sound(&world, &what).refused;
        settle(&mut world, &what);
    }
    assert!(refused > 0, "some orders came late");
}

/// The holder crashes at each moment between scaling request, intent, order and completion;
/// it may be back within a fraction of a second, and all controllers may be restarted.
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
            assert_sound(&world, &what);
        }
    }
}

/// A duty is handed over in an orderly way, ten times in two minutes: the next holder has it
/// well within the lease's time to live, since no candidate waits for the lease to end.
#[test]
fn ten_orderly_changes_of_hands() {
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
                "no controller takes over"
            );
        }
        longest_ms = longest_ms.max(world.now - released_at);
        world.set_candidacy(holder, Duty::Rent, Candidacy::Candidate);
        world.run(4 * TTL_MS);
    }
    assert!(longest_ms < TTL_MS, "{longest_ms}");
    settle(&mut world, "ten changes");
    assert_sound(&world, "ten changes");
}

/// The store refuses the holder alone for longer than its lease: it stops giving orders
/// before another controller holds the duty.
#[test]
fn a_holder_refused_alone_stops_in_time() {
    for seed in 0..20 {
        let mut world = World::new(seed, Fence::Names);
        world.run(2 * TTL_MS);
        let holder = world.holder(Duty::Rent);
        world.troubles.store_refuses = holder;
        world.run(4 * TTL_MS);
        let what = format!("seed {seed}");
        assert_ne!(world.effective_holder(Duty::Rent), holder, "{what}");
        settle(&mut world, &what);
        let summary = assert_sound(&world, &what);
        assert!(summary.changes_of_hands > 3, "{what}: another took over");
    }
}

/// The store refuses the holder alone, and then all controllers for longer than the lease:
/// the holder stops in time, and goes on or is replaced afterwards.
#[test]
fn a_holder_refused_alone_and_then_an_outage() {
    for seed in 0..20 {
        let mut world = World::new(seed, Fence::Names);
        world.run(2 * TTL_MS);
        world.troubles.store_refuses = world.holder(Duty::Return);
        world.run(TTL_MS / 3 + 50 * seed);
        world.troubles.is_store_out = true;
        world.run(3 * TTL_MS);
        world.end_store_outage();
        let what = format!("seed {seed}");
        settle(&mut world, &what);
        assert_sound(&world, &what);
    }
}
