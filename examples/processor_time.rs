//! What a controller's processor time goes to: whole controllers without sockets, against the
//! tests' stand-ins, with a fleet in steady work. Counts are the same every time; times are
//! of this machine.
//!
//! `cargo run --release --example processor_time [MACHINES [SECONDS [steady or failover]]]`: a failover
//! takes the leader away first, and its successor is measured.

#[path = "../tests/common/mod.rs"]
mod common;

use common::{jobs_for, Meter, RunTimes, Sim};

/// How long the fleet works before anything is measured.
const WARM_MS: u64 = 180_000;
/// A job lasts about so long, so that as many have to come in that time.
const JOB_MS: u64 = 150_000;

fn argument(n: usize, default: u64) -> u64 {
    let text = std::env::args().nth(n);
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
    let every_ms = JOB_MS / jobs_for(machines) as u64;
    let measured_from = sim.now + WARM_MS;
    let end = measured_from + seconds * 1000;
    while sim.now < end {
        if sim.meter.is_none() && sim.now >= measured_from {
            sim.meter = Some(Meter::default());
            if let Some(leader) = sim.leader().filter(|_| failover) {
                sim.crash(leader, seconds * 1000);
            }
        }
        sim.submit_fleet_job(jobs, times);
        jobs += 1;
        sim.run(every_ms);
    }
    print(&sim, seconds);
}

fn print(sim: &Sim, seconds: u64) {
    let Some(meter) = &sim.meter else { return };
    for (index, controller) in sim.controllers.iter().enumerate() {
        let Some(controller) = controller else {
            continue;
        };
        match &controller.scheduler {
            Some(scheduler) => println!("c{index}, the leader, {}", scheduler.summary()),
            None => println!("c{index}, a follower"),
        }
        meter.print(index, seconds as f64);
    }
    if !sim.log.violations.is_empty() {
        println!("broken rules: {:?}", sim.log.violations);
    }
}
