//! How long a duty has no effective holder after a crash, a pause and an orderly handover,
//! as ratios to the lease's life, and what a duty asks of the store.
//!
//! `cargo run --release -p duty-lease --example measure`

#![allow(dead_code)]

#[path = "../tests/simulation/checker.rs"]
mod checker;
#[path = "../tests/simulation/provider.rs"]
mod provider;
#[path = "../tests/simulation/store.rs"]
mod store;
#[path = "../tests/simulation/world.rs"]
mod world;

use duty_lease::Duty;
use hdrhistogram::Histogram;
use provider::Fence;
use world::{World, TTL_MS};

const RUNS: u64 = 300;

/// What ends a holder's time.
#[derive(Debug, Clone, Copy)]
enum Cause {
    Crash,
    Pause,
    Handover,
}

fn main() {
    println!("{RUNS} runs each, a lease of {TTL_MS} ms, three controllers, one simulated clock");
    for cause in [Cause::Crash, Cause::Pause, Cause::Handover] {
        let times = measure(cause);
        let ratio = |quantile: f64| times.value_at_quantile(quantile) as f64 / TTL_MS as f64;
        println!(
            "{cause:?}: without an effective holder for {:.2} lives (median), {:.2} (90%), {:.2} (longest)",
            ratio(0.5),
            ratio(0.9),
            times.max() as f64 / TTL_MS as f64
        );
    }
    requests();
}

fn measure(cause: Cause) -> Histogram<u64> {
    let mut times = Histogram::new_with_bounds(1, 10 * TTL_MS, 3).expect("valid bounds");
    for seed in 0..RUNS {
        let mut world = World::new(seed, Fence::Token);
        world.run(2 * TTL_MS + 11 * seed);
        let Some(holder) = world.effective_holder(Duty::Rent) else {
            continue;
        };
        let began_at = world.now;
        match cause {
            Cause::Crash => world.crash(holder),
            Cause::Pause => world.pause(holder, 5 * TTL_MS, true),
            Cause::Handover => world.set_candidate(holder, Duty::Rent, false),
        }
        let another = |world: &mut World| {
            let effective = world.effective_holders(Duty::Rent);
            effective.into_iter().any(|index| index != holder)
        };
        while !another(&mut world) && world.now < began_at + 5 * TTL_MS {
            world.run(20);
        }
        times.saturating_record(world.now - began_at);
    }
    times
}

fn requests() {
    let mut world = World::new(1, Fence::Token);
    world.planning = false;
    world.run(4 * TTL_MS);
    let before = world.lease_requests;
    let spent_ms = 100 * TTL_MS;
    world.run(spent_ms);
    let duties = 3.0;
    let per_ttl = (world.lease_requests - before) as f64 / (spent_ms / TTL_MS) as f64 / duties;
    println!("a duty at rest: {per_ttl:.1} requests to the state service in a lease's life, of three controllers");
}
