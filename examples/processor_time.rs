//! Measures the processor time of controllers by kind of work: complete controllers without
//! sockets, in a simulated fleet under steady load. Counts are reproducible; times depend on the
//! machine that runs the example.
//!
//! `cargo run --release --example processor_time [MACHINES [SECONDS [steady or failover]]]`: with
//! `failover` the leader crashes first, and its successor is measured.

#[path = "../tests/common/mod.rs"]
mod common;

use common::{jobs_for, Meter, RunTimes, Sim};

/// How long the fleet runs before the measurement.
const WARM_UP_MS: u64 = 180_000;
/// Approximate duration of a job. For a steady load, a full queue of jobs is submitted during that
/// time.
const JOB_MS: u64 = 150_000;

fn argument(position: usize, default: u64) -> u64 {
    let text = std::env::args().nth(position);
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn main() {
    let machines = argument(1, 1300) as usize;
    let seconds = argument(2, 60);
    let failover = std::env::args()
        .nth(3)
        .is_some_and(|mode| mode == "failover");
    let times = RunTimes::LONG;
    let (mut sim, mut jobs) = Sim::with_full_queue(machines, times);
    let interval_ms = JOB_MS / jobs_for(machines) as u64;
    let measured_from = sim.now + WARM_UP_MS;
    let measured_until = measured_from + seconds * 1000;
    while sim.now < measured_until {
        if sim.meter.is_none() && sim.now >= measured_from {
            sim.meter = Some(Meter::default());
            if let Some(leader) = sim.leader().filter(|_| failover) {
                sim.crash(leader, seconds * 1000);
            }
        }
        sim.submit_fleet_job(jobs, times);
        jobs += 1;
        sim.run(interval_ms);
    }
    print_costs(&sim, seconds);
}

fn print_costs(sim: &Sim, seconds: u64) {
    let Some(meter) = &sim.meter else { return };
    for (index, controller) in sim.controllers.iter().enumerate() {
        let Some(controller) = controller else {
            continue;
        };
        match &controller.scheduler {
            Some(scheduler) => println!("c{index}, the leader, {:?}", scheduler.summary()),
            None => println!("c{index}, a follower"),
        }
        meter.print(index, seconds as f64);
    }
    if !sim.log.violations.is_empty() {
        println!("violations: {:?}", sim.log.violations);
    }
}
