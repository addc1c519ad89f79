//! Steps that the simulated runs share: random troubles, settling, and the checks.

use rand::Rng;

use crate::checker::{Rules, Summary};
use crate::provider::Fence;
use crate::world::{Scaling, SentMessages, Troubles, World, CONTROLLERS, TTL_MS};

/// Within this time everything has to be settled after the last trouble.
const SETTLE_MS: u64 = 12 * TTL_MS;
const RESTART_PROBABILITY: f64 = 0.7;

/// Whether clocks leap and stand still among the random troubles.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Clocks {
    Sound,
    Leaping,
}

impl Clocks {
    /// How many kinds of troubles there are.
    fn trouble_kinds(self) -> u32 {
        match self {
            Clocks::Sound => 9,
            Clocks::Leaping => 11,
        }
    }
}

/// The history breaks no rule. `what` names the run.
pub(crate) fn assert_sound(world: &World, what: &str) -> Summary {
    let rules = Rules {
        tokens_refused: world.provider.fence == Fence::Token,
        clocks_sound: world.clocks_sound,
    };
    let verdict = world.history.check(rules);
    assert!(verdict.broken.is_empty(), "{what}: {:#?}", verdict.broken);
    verdict.summary
}

/// No more troubles and no new scaling requests: all that was begun is completed.
pub(crate) fn settle(world: &mut World, what: &str) {
    world.troubles = Troubles::default();
    world.scaling = Scaling::Stopped;
    world.run(SETTLE_MS);
    assert_eq!(world.loose_ends(), [""; 0], "{what}");
}

/// A run with 25 random troubles, which ends settled and sound.
pub(crate) fn troubled_run(seed: u64, fence: Fence, clocks: Clocks) -> Summary {
    let what = format!("seed {seed}, {fence:?}, {clocks:?} clocks");
    let mut world = World::new(seed, fence);
    world.run(2 * TTL_MS);
    for _ in 0..25 {
        let until_next_ms = world.rng.random_range(TTL_MS / 10..TTL_MS);
        world.run(until_next_ms);
        cause_random_trouble(&mut world, clocks);
    }
    for index in 0..CONTROLLERS {
        world.resume_clock(index);
        if !world.is_alive(index) {
            world.start(index);
        }
    }
    settle(&mut world, &what);
    assert_sound(&world, &what)
}

/// Causes a random trouble, and ends others.
fn cause_random_trouble(world: &mut World, clocks: Clocks) {
    let index = world.rng.random_range(0..CONTROLLERS);
    let for_ms = world.rng.random_range(TTL_MS / 10..3 * TTL_MS);
    if world.troubles.is_store_out {
        world.end_store_outage();
    }
    match world.rng.random_range(0..clocks.trouble_kinds()) {
        0 => world.pause(index, for_ms, SentMessages::HeldUp),
        1 => world.pause(index, for_ms, SentMessages::Delivered),
        2 => world.crash(index),
        3 => world.troubles.is_store_out = true,
        4 => world.troubles.store_refuses = Some(index),
        5 => world.troubles.lost_percent = world.rng.random_range(0..40),
        6 => world.troubles.provider_lost_percent = world.rng.random_range(0..60),
        7 => world.troubles.store_delay_ms = world.rng.random_range(0..TTL_MS / 4),
        8 => world.troubles = Troubles::default(),
        9 => {
            let by_ms = world.rng.random_range(-(TTL_MS as i64)..4 * TTL_MS as i64);
            world.leap_clock(index, by_ms);
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
