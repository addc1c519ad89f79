//! Steps that the simulated runs share: random faults, settling, and checks.

use rand::Rng;

use crate::checker::{Rules, Summary};
use crate::provider::Fence;
use crate::world::{Faults, Scaling, SentMessages, World, CONTROLLERS, TTL_MS};

/// Time after the last fault within which all work must be completed.
const SETTLE_MS: u64 = 12 * TTL_MS;
const RESTART_PROBABILITY: f64 = 0.7;

/// Whether the random faults include clocks that jump and stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Clocks {
    Correct,
    Jumping,
}

impl Clocks {
    /// Number of kinds of faults.
    fn fault_kinds(self) -> u32 {
        match self {
            Clocks::Correct => 9,
            Clocks::Jumping => 11,
        }
    }
}

/// Fails if the history contains a violation; `what` names the run in the message.
pub(crate) fn assert_no_violations(world: &World, what: &str) -> Summary {
    let rules = Rules {
        tokens_refused: world.provider.fence == Fence::Token,
        clocks_correct: world.clocks_correct,
    };
    let verdict = world.history.check(rules);
    assert!(
        verdict.violations.is_empty(),
        "{what}: {:#?}",
        verdict.violations
    );
    verdict.summary
}

/// Ends all faults and scaling requests, and checks that all open work is then completed.
pub(crate) fn settle(world: &mut World, what: &str) {
    world.faults = Faults::default();
    world.scaling = Scaling::Stopped;
    world.run(SETTLE_MS);
    assert_eq!(world.unsettled_items(), [""; 0], "{what}");
}

/// Runs with 25 random faults, and checks that the run settles without violations.
pub(crate) fn run_with_random_faults(seed: u64, fence: Fence, clocks: Clocks) -> Summary {
    let what = format!("seed {seed}, {fence:?}, {clocks:?} clocks");
    let mut world = World::new(seed, fence);
    world.run(2 * TTL_MS);
    for _ in 0..25 {
        let until_next_ms = world.rng.random_range(TTL_MS / 10..TTL_MS);
        world.run(until_next_ms);
        inject_random_fault(&mut world, clocks);
    }
    for index in 0..CONTROLLERS {
        world.resume_clock(index);
        if !world.is_alive(index) {
            world.start(index);
        }
    }
    settle(&mut world, &what);
    assert_no_violations(&world, &what)
}

/// Injects a random fault, and may end others.
fn inject_random_fault(world: &mut World, clocks: Clocks) {
    let index = world.rng.random_range(0..CONTROLLERS);
    let for_ms = world.rng.random_range(TTL_MS / 10..3 * TTL_MS);
    if world.faults.is_store_down {
        world.end_store_outage();
    }
    match world.rng.random_range(0..clocks.fault_kinds()) {
        0 => world.pause(index, for_ms, SentMessages::HeldBack),
        1 => world.pause(index, for_ms, SentMessages::Delivered),
        2 => world.crash(index),
        3 => world.faults.is_store_down = true,
        4 => world.faults.store_refuses = Some(index),
        5 => world.faults.lost_percent = world.rng.random_range(0..40),
        6 => world.faults.provider_lost_percent = world.rng.random_range(0..60),
        7 => world.faults.store_delay_ms = world.rng.random_range(0..TTL_MS / 4),
        8 => world.faults = Faults::default(),
        9 => {
            let by_ms = world.rng.random_range(-(TTL_MS as i64)..4 * TTL_MS as i64);
            world.jump_clock(index, by_ms);
        }
        _ if world.rng.random_bool(0.5) => world.stop_clock(index),
        _ => world.resume_clock(index),
    }
    restart_some(world);
}

fn restart_some(world: &mut World) {
    for index in 0..CONTROLLERS {
        if !world.is_alive(index) && world.rng.random_bool(RESTART_PROBABILITY) {
            world.start(index);
        }
    }
}
