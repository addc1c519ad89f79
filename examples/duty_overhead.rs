//! What it costs that duties have holders of their own, on the tests' stand-ins: how long a
//! duty has no holder, and from a shortage to the provisioning request that ends it, beside a leader that
//! does everything itself. Simulated.
//!
//! `cargo run --release --example duty_overhead [RUNS]`

#[path = "../tests/common/mod.rs"]
mod common;

use std::collections::HashSet;

use common::{submission, DutyEvent, Sim};
use gaugesill::settings::DutyFence;
use hdrhistogram::Histogram;

/// Life of a duty's lease with the settings of the tests.
const TTL_MS: u64 = 7200;
/// Longest time that is measured.
const LONGEST_MS: u64 = 120_000;
/// How much later each further run begins.
const RUN_OFFSET_MS: u64 = 173;
const REST_MS: u64 = 100_000;

/// What happens as the shortage begins.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Trouble {
    None,
    /// Whoever rents ends, and is back after longer than all this takes.
    Crash,
    /// It stands still.
    Pause,
}

/// Who rents.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Mode {
    Leader,
    Holder,
}

fn service(mode: Mode, run: u64) -> Sim {
    let mut sim = match mode {
        Mode::Holder => Sim::with_duties(DutyFence::ProviderToken),
        Mode::Leader => Sim::new(),
    };
    // All duties have settled.
    sim.run(30_000 + run * RUN_OFFSET_MS);
    sim
}

fn renting(sim: &Sim, mode: Mode) -> usize {
    let renting = match mode {
        Mode::Holder => sim.holder_of("rent"),
        Mode::Leader => sim.leader(),
    };
    renting.expect("somebody rents")
}

fn cause(sim: &mut Sim, trouble: Trouble, mode: Mode) {
    let renting = renting(sim, mode);
    match trouble {
        Trouble::None => {}
        Trouble::Crash => sim.crash(renting, LONGEST_MS),
        Trouble::Pause => {
            sim.pauses.on_next_action.insert(renting, LONGEST_MS);
        }
    }
}

/// From the moment at which a job is submitted that needs machines to the provisioning request of the
/// first, and how long the duty had no holder.
fn measure(mode: Mode, trouble: Trouble, run: u64) -> (u64, u64) {
    let mut sim = service(mode, run);
    let before = renting(&sim, mode);
    cause(&mut sim, trouble, mode);
    let began_at = sim.now;
    let mut held_again_at = None;
    let controller = (0..3)
        .find(|controller| *controller != before)
        .expect("another");
    while sim.cloud.idempotency_keys.is_empty() && sim.now < began_at + LONGEST_MS {
        if (sim.now - began_at) % 1000 == 0 {
            let job = submission("run-000001", "sweep", 3, 4.0, "normal");
            sim.submit(controller, &job, 3000);
        }
        let is_other = sim.holder_of("rent").is_some_and(|holder| holder != before);
        if held_again_at.is_none() && is_other {
            held_again_at = Some(sim.now);
        }
        sim.run(1);
    }
    let free_ms = held_again_at.map_or(0, |at| at - began_at);
    (sim.now - began_at, free_ms)
}

/// A controller comes back and is handed a duty by one that has two: for how long that duty
/// has no holder meanwhile.
fn measure_handover(run: u64) -> Option<u64> {
    const DUTIES: [&str; 4] = ["rent", "return", "reclaim-idle", "clean-state"];
    let mut sim = service(Mode::Holder, run);
    let away = renting(&sim, Mode::Holder);
    sim.crash(away, 3 * TTL_MS);
    let is_spread = |sim: &Sim| sim.are_duties_held() && sim.are_all_awake();
    sim.until(LONGEST_MS, is_spread);
    let mut free_since: Option<(&str, u64)> = None;
    for _ in 0..LONGEST_MS {
        sim.run(1);
        match free_since {
            None => {
                let free = DUTIES
                    .into_iter()
                    .find(|duty| sim.holder_of(duty).is_none());
                free_since = free.map(|duty| (duty, sim.now));
            }
            Some((duty, since)) if sim.holder_of(duty).is_some() => return Some(sim.now - since),
            Some(_) => {}
        }
    }
    None
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, LONGEST_MS, 3).expect("valid bounds")
}

fn in_ttls(times: &Histogram<u64>) -> String {
    let ratio = |ms: u64| ms as f64 / TTL_MS as f64;
    let median = times.value_at_quantile(0.5);
    format!(
        "{:.2} lives (median, {median} ms), {:.2} (90%), {:.2} (longest)",
        ratio(median),
        ratio(times.value_at_quantile(0.9)),
        ratio(times.max())
    )
}

/// Requests and changes of the store in a second, at rest and with work that comes
/// and goes, and orders that were sent more than once.
fn costs(mode: Mode) {
    let mut sim = service(mode, 0);
    let before = (sim.store.requests, sim.write_count());
    sim.run(REST_MS);
    let seconds = REST_MS as f64 / 1000.0;
    let requests = (sim.store.requests - before.0) as f64 / seconds;
    let changes = (sim.write_count() - before.1) as f64 / seconds;
    println!("{mode:?}, at rest: {requests:.1} requests and {changes:.2} changes a second");
    let before = (sim.store.requests, sim.write_count());
    for number in 0..20 {
        let id = format!("run-{number:06}");
        sim.submit(0, &submission(&id, "sweep", 3, 6.0, "normal"), 3000);
        sim.run(REST_MS / 20);
    }
    let requests = (sim.store.requests - before.0) as f64 / seconds;
    let changes = (sim.write_count() - before.1) as f64 / seconds;
    let mut names = HashSet::new();
    let mut twice = 0;
    let mut orders = 0;
    for event in &sim.duty_history {
        if let DutyEvent::Received { targets, .. } = event {
            orders += 1;
            twice += usize::from(!names.insert(targets.clone()));
        }
    }
    println!(
        "{mode:?}, a job every 5 s: {requests:.1} requests and {changes:.2} changes a second, \
         {orders} orders, {twice} of them sent again"
    );
}

fn main() {
    let runs = std::env::args().nth(1).and_then(|text| text.parse().ok());
    let runs: u64 = runs.unwrap_or(40);
    println!("{runs} runs each, a lease of {TTL_MS} ms, three controllers, simulated");
    let cases = [
        (Mode::Leader, Trouble::None),
        (Mode::Holder, Trouble::None),
        (Mode::Leader, Trouble::Crash),
        (Mode::Holder, Trouble::Crash),
        (Mode::Leader, Trouble::Pause),
        (Mode::Holder, Trouble::Pause),
    ];
    for (mode, trouble) in cases {
        let (mut to_provisioning, mut without_holder) = (histogram(), histogram());
        for run in 0..runs {
            let (rental_ms, free_ms) = measure(mode, trouble, run);
            to_provisioning.saturating_record(rental_ms);
            without_holder.saturating_record(free_ms.max(1));
        }
        println!(
            "{mode:?}, {trouble:?}: shortage to rental {}",
            in_ttls(&to_provisioning)
        );
        if mode == Mode::Holder && trouble != Trouble::None {
            println!("  without a holder {}", in_ttls(&without_holder));
        }
    }
    let mut handovers = histogram();
    for free_ms in (0..runs).filter_map(measure_handover) {
        handovers.saturating_record(free_ms);
    }
    println!(
        "{} orderly handovers: without a holder {}",
        handovers.len(),
        in_ttls(&handovers)
    );
    costs(Mode::Leader);
    costs(Mode::Holder);
}
