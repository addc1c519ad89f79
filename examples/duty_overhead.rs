//! Measures, in simulated runs, the overhead of separate holders of duties compared with a leader
//! that executes all orders itself:
//!
//! - the time from a shortage of machines to the provisioning request, without faults and with
//!   a crash or a pause of the controller that rents;
//! - the time for which a duty has no holder, after such a fault and in an orderly handover;
//! - requests to the store and its writes per second, and repeated orders.
//!
//! `cargo run --release --example duty_overhead [RUNS]`

#[path = "../tests/common/mod.rs"]
mod common;

use std::collections::HashSet;

use common::{submission, DutyEvent, Sim};
use gaugesill::settings::FencingMode;
use hdrhistogram::Histogram;

/// Time to live of a duty's lease with the settings of the tests.
const TTL_MS: u64 = 7200;
/// Maximum duration of a measurement.
const MEASUREMENT_MAX_MS: u64 = 120_000;
/// By how much the fault is later in each further run.
const RUN_OFFSET_MS: u64 = 173;
/// How long requests and writes are counted.
const COUNTED_MS: u64 = 100_000;
/// Number of jobs that are submitted during [`COUNTED_MS`].
const COUNTED_JOBS: u64 = 20;

/// A fault at the beginning of the shortage, which outlasts the measurement.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    None,
    /// The controller that rents crashes.
    Crash,
    /// The controller that rents is paused.
    Pause,
}

/// Which controller rents machines.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Renter {
    Leader,
    /// The holder of the duty.
    Holder,
}

/// The result of one run.
struct Measurement {
    /// From the submission of a job that needs machines to the first provisioning request.
    to_provisioning_ms: u64,
    /// For how long the duty had no holder; 0 if the holder did not change.
    without_holder_ms: u64,
}

/// Controllers that have run until the assignment of duties has settled.
fn start_settled(renter: Renter, run: u64) -> Sim {
    let mut sim = match renter {
        Renter::Holder => Sim::with_duties(FencingMode::ProviderToken),
        Renter::Leader => Sim::new(),
    };
    sim.run(30_000 + run * RUN_OFFSET_MS);
    sim
}

fn renting_controller(sim: &Sim, renter: Renter) -> usize {
    let controller = match renter {
        Renter::Holder => sim.holder_of("rent"),
        Renter::Leader => sim.leader(),
    };
    controller.expect("a controller that rents")
}

fn inject(sim: &mut Sim, fault: Fault, renter: Renter) {
    let renting = renting_controller(sim, renter);
    match fault {
        Fault::None => {}
        Fault::Crash => sim.crash(renting, MEASUREMENT_MAX_MS),
        Fault::Pause => {
            sim.pauses
                .on_next_action
                .insert(renting, MEASUREMENT_MAX_MS);
        }
    }
}

/// Submits a job that needs machines, once a second, until the first machine is requested.
fn measure(renter: Renter, fault: Fault, run: u64) -> Measurement {
    let mut sim = start_settled(renter, run);
    let before = renting_controller(&sim, renter);
    inject(&mut sim, fault, renter);
    let began_at = sim.now;
    let mut reacquired_at = None;
    let other = if before == 0 { 1 } else { 0 };
    while sim.cloud.idempotency_keys.is_empty() && sim.now < began_at + MEASUREMENT_MAX_MS {
        if (sim.now - began_at) % 1000 == 0 {
            let job = submission("run-000001", "sweep", 3, 4.0, "normal");
            sim.submit(other, &job, 3000);
        }
        let is_other = sim.holder_of("rent").is_some_and(|holder| holder != before);
        if reacquired_at.is_none() && is_other {
            reacquired_at = Some(sim.now);
        }
        sim.run(1);
    }
    Measurement {
        to_provisioning_ms: sim.now - began_at,
        without_holder_ms: reacquired_at.map_or(0, |at| at - began_at),
    }
}

/// A restarted controller takes over a duty from a controller that holds two: returns for how many
/// milliseconds that duty has no holder, or `None` if no handover took place.
fn measure_handover(run: u64) -> Option<u64> {
    const DUTIES: [&str; 4] = ["rent", "return", "reclaim-idle", "clean-state"];
    let mut sim = start_settled(Renter::Holder, run);
    let crashed = renting_controller(&sim, Renter::Holder);
    sim.crash(crashed, 3 * TTL_MS);
    let is_settled = |sim: &Sim| sim.are_duties_held() && sim.are_all_running();
    sim.run_until(MEASUREMENT_MAX_MS, is_settled);
    let mut released_at: Option<(&str, u64)> = None;
    for _ in 0..MEASUREMENT_MAX_MS {
        sim.run(1);
        match released_at {
            None => {
                let free = DUTIES
                    .into_iter()
                    .find(|duty| sim.holder_of(duty).is_none());
                released_at = free.map(|duty| (duty, sim.now));
            }
            Some((duty, since)) if sim.holder_of(duty).is_some() => return Some(sim.now - since),
            Some(_) => {}
        }
    }
    None
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MEASUREMENT_MAX_MS, 3).expect("valid bounds")
}

/// Formats quantiles of times in multiples of a lease's time to live.
fn in_ttls(times: &Histogram<u64>) -> String {
    let ratio = |ms: u64| ms as f64 / TTL_MS as f64;
    let median = times.value_at_quantile(0.5);
    format!(
        "{:.2} TTLs (median, {median} ms), {:.2} (90%), {:.2} (longest)",
        ratio(median),
        ratio(times.value_at_quantile(0.9)),
        ratio(times.max())
    )
}

/// Load of the store.
struct StoreLoad {
    requests_per_s: f64,
    writes_per_s: f64,
}

/// The load of the store during `work`, which takes [`COUNTED_MS`].
fn store_load(sim: &mut Sim, work: impl FnOnce(&mut Sim)) -> StoreLoad {
    let (requests, writes) = (sim.store.requests, sim.write_count());
    work(sim);
    let seconds = COUNTED_MS as f64 / 1000.0;
    StoreLoad {
        requests_per_s: (sim.store.requests - requests) as f64 / seconds,
        writes_per_s: (sim.write_count() - writes) as f64 / seconds,
    }
}

fn submit_jobs(sim: &mut Sim) {
    for number in 0..COUNTED_JOBS {
        let id = format!("run-{number:06}");
        sim.submit(0, &submission(&id, "sweep", 3, 6.0, "normal"), 3000);
        sim.run(COUNTED_MS / COUNTED_JOBS);
    }
}

/// Prints the load of the store without jobs and with a job every 5 s, and how many orders were
/// sent more than once.
fn print_costs(renter: Renter) {
    let mut sim = start_settled(renter, 0);
    let idle = store_load(&mut sim, |sim| sim.run(COUNTED_MS));
    println!(
        "{renter:?}, without jobs: {:.1} requests and {:.2} writes a second",
        idle.requests_per_s, idle.writes_per_s
    );
    let busy = store_load(&mut sim, submit_jobs);
    let mut seen = HashSet::new();
    let mut repeated = 0;
    let mut orders = 0;
    for event in &sim.duty_history {
        if let DutyEvent::Received { targets, .. } = event {
            orders += 1;
            repeated += usize::from(!seen.insert(targets.clone()));
        }
    }
    println!(
        "{renter:?}, a job every 5 s: {:.1} requests and {:.2} writes a second, \
         {orders} orders, {repeated} of them repeated",
        busy.requests_per_s, busy.writes_per_s
    );
}

fn main() {
    let runs = std::env::args().nth(1).and_then(|text| text.parse().ok());
    let runs: u64 = runs.unwrap_or(40);
    println!("{runs} simulated runs each, three controllers, a lease of {TTL_MS} ms");
    let cases = [
        (Renter::Leader, Fault::None),
        (Renter::Holder, Fault::None),
        (Renter::Leader, Fault::Crash),
        (Renter::Holder, Fault::Crash),
        (Renter::Leader, Fault::Pause),
        (Renter::Holder, Fault::Pause),
    ];
    for (renter, fault) in cases {
        let (mut to_provisioning, mut without_holder) = (histogram(), histogram());
        for run in 0..runs {
            let measured = measure(renter, fault, run);
            to_provisioning.saturating_record(measured.to_provisioning_ms);
            without_holder.saturating_record(measured.without_holder_ms.max(1));
        }
        println!(
            "{renter:?}, {fault:?}: shortage to provisioning request {}",
            in_ttls(&to_provisioning)
        );
        if renter == Renter::Holder && fault != Fault::None {
            println!("  without a holder {}", in_ttls(&without_holder));
        }
    }
    let mut handovers = histogram();
    for without_holder_ms in (0..runs).filter_map(measure_handover) {
        handovers.saturating_record(without_holder_ms);
    }
    println!(
        "{} orderly handovers: without a holder {}",
        handovers.len(),
        in_ttls(&handovers)
    );
    print_costs(Renter::Leader);
    print_costs(Renter::Holder);
}
