//! Simulates failures of a large fleet, and reports when all jobs are done and which rules of the
//! protocol are violated. Too slow for CI.
//!
//! `cargo run --release --example large_fleet_failures [MACHINES [SEEDS]]`

#[path = "../tests/common/mod.rs"]
mod common;

use std::time::Instant;

use common::{submission, RunTimes, Sim};

/// Start of the failure with the first seed.
const FAILURE_MS: u64 = 45_000;
/// By how much the failure starts later with each further seed.
const SEED_OFFSET_MS: u64 = 2_900;
/// Maximum time after the failure until all jobs are done.
const RECOVERY_MAX_MS: u64 = 900_000;

/// A named failure.
struct Scenario {
    name: &'static str,
    inject: fn(&mut Sim),
}

const SCENARIOS: [Scenario; 9] = [
    Scenario {
        name: "quiet, a full queue",
        inject: |_| (),
    },
    Scenario {
        name: "a third lost at once",
        inject: |sim| {
            sim.lose_machines(3);
        },
    },
    Scenario {
        name: "a zone cut off for 60 s",
        inject: |sim| {
            sim.cut_zone("a", Some(0));
            sim.run(60_000);
            sim.heal_zone();
        },
    },
    Scenario {
        name: "all controllers restarted in turn",
        inject: |sim| {
            for controller in 0..3 {
                sim.crash(controller, 3000);
                sim.run(10_000);
            }
        },
    },
    Scenario {
        name: "all controllers restarted at once",
        inject: |sim| {
            for controller in 0..3 {
                sim.crash(controller, 3000);
            }
        },
    },
    Scenario {
        name: "the leader cut from the store for 40 s",
        inject: |sim| {
            sim.faults.cut_from_store.extend(sim.leader());
            sim.run(40_000);
            sim.heal_store();
        },
    },
    Scenario {
        name: "an outage of the store for 70 s",
        inject: |sim| {
            sim.faults.store_outage = true;
            sim.run(70_000);
            sim.end_outage();
        },
    },
    Scenario {
        name: "everything cancelled",
        inject: cancel_everything,
    },
    Scenario {
        name: "one-task jobs, four a second, a quarter cancelled",
        inject: one_task_jobs,
    },
];

fn cancel_everything(sim: &mut Sim) {
    let ids: Vec<String> = sim.jobs.keys().cloned().collect();
    for (number, id) in ids.iter().enumerate() {
        sim.cancel(number % 3, id);
        sim.run(2);
    }
    sim.run(10_000);
    for id in ids {
        sim.cancel_until_answered(&id);
    }
}

fn one_task_jobs(sim: &mut Sim) {
    for number in 0..480 {
        let id = format!("run-9{number:05}");
        let job = submission(&id, "sweep", 1, 2.0, "normal");
        sim.submit(number % 3, &job, 5000);
        sim.run(250);
        if number % 4 == 3 {
            sim.cancel((number + 1) % 3, &id);
        }
    }
}

/// Runs a scenario; returns whether all accepted jobs were done and no rule was violated.
fn run(scenario: &Scenario, machines: usize, seed: u64) -> bool {
    let start = Instant::now();
    let (mut sim, jobs) = Sim::with_full_queue(machines, RunTimes::SHORT);
    let accepted_at = sim.now;
    sim.run((FAILURE_MS + seed * SEED_OFFSET_MS).saturating_sub(sim.now));
    let machines_up = sim.agents.len();
    (scenario.inject)(&mut sim);
    let are_accepted_done = |sim: &Sim| {
        let mut accepted = sim.jobs.iter().filter(|(_, job)| job.accepted);
        accepted.all(|(id, job)| job.is_done() || sim.is_cancelled(id))
    };
    let is_done = sim.run_until(RECOVERY_MAX_MS, |sim| {
        are_accepted_done(sim) && sim.all_records_closed()
    });
    println!(
        "{:<52} seed {seed}: {jobs} jobs accepted by {:.0} s, {machines_up} machines up; {} after {:.0} s, {} transactions, {} violations; {:.0} s to simulate",
        scenario.name,
        accepted_at as f64 / 1000.0,
        if is_done { "all done" } else { "NOT DONE" },
        sim.now as f64 / 1000.0,
        sim.transactions,
        sim.log.violations.len(),
        start.elapsed().as_secs_f64()
    );
    for violation in sim.log.violations.iter().take(5) {
        println!("    {violation}");
    }
    is_done && sim.log.violations.is_empty()
}

fn main() {
    let argument = |position: usize, default: u64| {
        let text = std::env::args().nth(position);
        text.and_then(|text| text.parse().ok()).unwrap_or(default)
    };
    let (machines, seeds) = (argument(1, 4000) as usize, argument(2, 3));
    let mut failed = 0;
    for scenario in &SCENARIOS {
        for seed in 0..seeds {
            failed += usize::from(!run(scenario, machines, seed));
        }
    }
    println!("{failed} runs failed");
}
