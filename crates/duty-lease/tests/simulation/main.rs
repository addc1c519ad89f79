//! Three controllers, a store and a provider on one simulated clock, under seeded
//! random troubles. The history is checked by a checker that knows nothing of the code.

mod checker;
mod provider;
mod store;
mod world;

use checker::Summary;
use duty_lease::Duty;
use provider::Fence;
use rand::Rng;
use world::{World, TTL_MS};

/// How long everything has to be settled in after the last trouble.
const SETTLE_MS: u64 = 12 * TTL_MS;
const FENCES: [Fence; 2] = [Fence::Token, Fence::Names];

fn assert_sound(world: &World, what: &str) -> Summary {
    let tokens_refused = world.provider.fence == Fence::Token;
    let (broken, summary) = world.history.check(tokens_refused, world.clocks_sound);
    assert!(broken.is_empty(), "{what}: {broken:#?}");
    summary
}

/// No more troubles and no new needs: all that was begun is brought to its end.
fn settle(world: &mut World, what: &str) {
    world.troubles = Default::default();
    world.planning = false;
    world.run(SETTLE_MS);
    assert_eq!(world.loose_ends(), [""; 0], "{what}");
}

/// Causes a random trouble, and ends others.
fn trouble(world: &mut World, clocks_leap: bool) {
    let index = world.rng.random_range(0..3);
    let span_ms = world.rng.random_range(TTL_MS / 10..3 * TTL_MS);
    let was_out = world.troubles.is_store_out;
    world.troubles.is_store_out = false;
    if was_out {
        let now = world.now;
        world.store.refresh(now);
    }
    match world.rng.random_range(0..if clocks_leap { 11 } else { 9 }) {
        0 => world.pause(index, span_ms, true),
        1 => world.pause(index, span_ms, false),
        2 => world.crash(index),
        3 => world.troubles.is_store_out = true,
        4 => world.troubles.store_refuses = Some(index),
        5 => world.troubles.lost_percent = world.rng.random_range(0..40),
        6 => world.troubles.provider_lost_percent = world.rng.random_range(0..60),
        7 => world.troubles.store_delay_ms = world.rng.random_range(0..TTL_MS / 4),
        8 => world.troubles = Default::default(),
        9 => {
            let by_ms = world.rng.random_range(-(TTL_MS as i64)..4 * TTL_MS as i64);
            world.leap_clock(index, by_ms);
        }
        _ => {
            let stands = world.rng.random_bool(0.5);
            world.stop_clock(index, stands);
        }
    }
    (0..3).for_each(|i| {
        if !world.is_alive(i) && world.rng.random_bool(0.7) {
            world.start(i);
        }
    });
}

fn troubled_run(seed: u64, fence: Fence, clocks_leap: bool) -> Summary {
    let what = format!("seed {seed}, {fence:?}, clocks leap: {clocks_leap}");
    let mut world = World::new(seed, fence);
    world.run(2 * TTL_MS);
    for _ in 0..25 {
        let until_next_ms = world.rng.random_range(TTL_MS / 10..TTL_MS);
        world.run(until_next_ms);
        trouble(&mut world, clocks_leap);
    }
    (0..3).for_each(|i| {
        world.stop_clock(i, false);
        if !world.is_alive(i) {
            world.start(i);
        }
    });
    settle(&mut world, &what);
    assert_sound(&world, &what)
}

/// Whatever happens, an order of a fenced holder is refused, there are never two effective
/// holders, no machine with a task on it is returned, and at the end each machine has an
/// owner and no order is open.
#[test]
fn random_troubles_break_no_rule() {
    for fence in FENCES {
        let mut total = Summary::default();
        for seed in 0..60 {
            let summary = troubled_run(seed, fence, false);
            total.orders += summary.orders;
            total.refused += summary.refused;
            total.changes_of_hands += summary.changes_of_hands;
            total.tasks += summary.tasks;
            total.deletions += summary.deletions;
        }
        assert!(total.changes_of_hands > 400, "{total:?}");
        assert!(total.tasks > 400 && total.deletions > 100, "{total:?}");
        let refusals = fence == Fence::Token;
        assert_eq!(total.refused > 0, refusals, "{total:?}");
    }
}

/// The same with steady clocks that leap forward and back and stand still. There may be
/// two that take themselves for holders then; their orders do no harm all the same.
#[test]
fn clocks_that_leap_break_no_rule() {
    for fence in FENCES {
        for seed in 1000..1040 {
            troubled_run(seed, fence, true);
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
        world.pause(holder, 2 * TTL_MS + 100 * seed, true);
        world.run(6 * TTL_MS);
        let what = format!("seed {seed}");
        refused += assert_sound(&world, &what).refused;
        settle(&mut world, &what);
    }
    assert!(refused > 0, "some orders came late");
}

/// The holder crashes at each moment between need, intent, order and completion; it may be
/// back within a fraction of a second, and so may all.
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
                (0..3).for_each(|i| world.start(i));
            }
            world.run(4 * TTL_MS);
            let what = format!("moment {moment}, {fence:?}");
            settle(&mut world, &what);
            assert_sound(&world, &what);
        }
    }
}

/// A duty goes from hand to hand in an orderly way, ten times in two minutes: the next
/// holder is there well within a lease's life, since nobody waits for its end.
#[test]
fn ten_orderly_changes_of_hands() {
    let mut world = World::new(3, Fence::Token);
    world.run(2 * TTL_MS);
    let mut longest_ms = 0;
    for _ in 0..10 {
        let Some(holder) = world.holder(Duty::Rent) else {
            panic!("nobody holds the duty");
        };
        world.set_candidate(holder, Duty::Rent, false);
        let released_at = world.now;
        let taken_over = |world: &World| world.holder(Duty::Rent).is_some_and(|h| h != holder);
        while !taken_over(&world) {
            world.run(20);
            assert!(world.now < released_at + 2 * TTL_MS, "nobody takes over");
        }
        longest_ms = longest_ms.max(world.now - released_at);
        world.set_candidate(holder, Duty::Rent, true);
        world.run(4 * TTL_MS);
    }
    assert!(longest_ms < TTL_MS, "{longest_ms}");
    settle(&mut world, "ten changes");
    assert_sound(&world, "ten changes");
}

/// The store refuses the holder alone for longer than its lease: it stops giving
/// orders before another one holds the duty.
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

/// The store refuses the holder alone, and then everybody for longer than the
/// lease: the holder stops in time, and goes on or is replaced afterwards.
#[test]
fn a_holder_refused_alone_and_then_an_outage() {
    for seed in 0..20 {
        let mut world = World::new(seed, Fence::Names);
        world.run(2 * TTL_MS);
        world.troubles.store_refuses = world.holder(Duty::Return);
        world.run(TTL_MS / 3 + 50 * seed);
        world.troubles.is_store_out = true;
        world.run(3 * TTL_MS);
        world.troubles.is_store_out = false;
        let now = world.now;
        world.store.refresh(now);
        let what = format!("seed {seed}");
        settle(&mut world, &what);
        assert_sound(&world, &what);
    }
}
