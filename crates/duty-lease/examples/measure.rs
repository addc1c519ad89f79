//! Measures how long a duty has no effective holder after a crash, a pause and an orderly handover,
//! in multiples of the lease's time to live, and how many requests a duty sends to the store.
//!
//! `cargo run --release -p duty-lease --example measure`

#![allow(dead_code, reason = "the simulation is shared with the tests")]

#[path = "../tests/simulation/checker.rs"]
mod checker;
#[path = "../tests/simulation/provider.rs"]
mod provider;
#[path = "../tests/simulation/store/mod.rs"]
mod store;
#[path = "../tests/simulation/world/mod.rs"]
mod world;

use duty_lease::{Candidacy, Duty};
use hdrhistogram::Histogram;
use provider::Fence;
use world::{Scaling, SentMessages, World, TTL_MS};

const RUNS: u64 = 300;
/// Time after which a run without a new holder ends.
const TAKEOVER_MAX_MS: u64 = 5 * TTL_MS;
/// Number of duties in the simulated world.
const DUTIES: f64 = 3.0;

/// The reason for which a holder loses its duty.
#[derive(Debug, Clone, Copy)]
enum Cause {
    Crash,
    Pause,
    Handover,
}

fn main() {
    println!("{RUNS} runs each, a lease of {TTL_MS} ms, three controllers, one simulated clock");
    for cause in [Cause::Crash, Cause::Pause, Cause::Handover] {
        let times = measure_takeovers(cause);
        let ratio = |time_ms: u64| time_ms as f64 / TTL_MS as f64;
        println!(
            "{cause:?}: without an effective holder for {:.2} TTLs (median), {:.2} (90%), {:.2} (longest)",
            ratio(times.value_at_quantile(0.5)),
            ratio(times.value_at_quantile(0.9)),
            ratio(times.max())
        );
    }
    let per_ttl = measure_requests();
    println!(
        "an idle duty: {per_ttl:.1} requests to the state service per TTL, from three controllers"
    );
}

/// The times in milliseconds until another controller is the effective holder.
fn measure_takeovers(cause: Cause) -> Histogram<u64> {
    let mut times = Histogram::new_with_bounds(1, 10 * TTL_MS, 3).expect("valid bounds");
    for seed in 0..RUNS {
        let mut world = World::new(seed, Fence::Token);
        world.run(2 * TTL_MS + 11 * seed);
        if let Some(holder) = world.effective_holder(Duty::Rent) {
            times.saturating_record(takeover_ms(&mut world, holder, cause));
        }
    }
    times
}

fn takeover_ms(world: &mut World, holder: usize, cause: Cause) -> u64 {
    let began_at = world.now;
    match cause {
        Cause::Crash => world.crash(holder),
        Cause::Pause => world.pause(holder, 5 * TTL_MS, SentMessages::HeldBack),
        Cause::Handover => world.set_candidacy(holder, Duty::Rent, Candidacy::Observer),
    }
    let is_taken_over = |world: &mut World| {
        let effective = world.effective_holders(Duty::Rent);
        effective.into_iter().any(|index| index != holder)
    };
    while !is_taken_over(world) && world.now < began_at + TAKEOVER_MAX_MS {
        world.run(20);
    }
    world.now - began_at
}

/// Number of requests that all controllers send for an idle duty in one time to live.
fn measure_requests() -> f64 {
    let mut world = World::new(1, Fence::Token);
    world.scaling = Scaling::Stopped;
    world.run(4 * TTL_MS);
    let before = world.lease_requests;
    let measured_ms = 100 * TTL_MS;
    world.run(measured_ms);
    let requests = (world.lease_requests - before) as f64;
    requests / (measured_ms / TTL_MS) as f64 / DUTIES
}
