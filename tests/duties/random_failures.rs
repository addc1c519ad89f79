//! Seeded random faults, in sequence and at the same time.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::common::{CloudOrderBehavior, ControllerClocks, Repeats, Sim, WriteBehavior};
use crate::support::{finish_and_check_duties, submit, FENCES};

const SEED_COUNT: u64 = 24;
const ROUNDS_PER_SEED: usize = 8;

/// Each round submits a job and injects a fault; half of the time the faults persist into the
/// next round. All jobs must finish and no rule may be broken.
#[test]
fn random_faults_break_no_rule() {
    for seed in 0..SEED_COUNT {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut sim = Sim::with_duties(FENCES[seed as usize % 2]);
        for round in 0..ROUNDS_PER_SEED {
            let is_gang = rng.random_bool(0.5);
            let shape = if is_gang { "group" } else { "sweep" };
            submit(&mut sim, round, shape, 2, 6.0);
            inject_fault(&mut sim, &mut rng);
            sim.run(rng.random_range(500..9000));
            if rng.random_bool(0.5) {
                end_faults(&mut sim);
            }
        }
        end_faults(&mut sim);
        sim.end_outage();
        finish_and_check_duties(&mut sim, ControllerClocks::Reliable);
    }
}

fn inject_fault(sim: &mut Sim, rng: &mut StdRng) {
    let controller = rng.random_range(0..3);
    match rng.random_range(0..8) {
        0 => sim.crash(controller, rng.random_range(100..12_000)),
        1 => {
            let pause_ms = rng.random_range(500..20_000);
            sim.pauses.on_next_action.insert(controller, pause_ms);
        }
        2 => {
            let delay_ms = rng.random_range(500..9000);
            sim.faults.cloud_orders = CloudOrderBehavior::Late { delay_ms };
        }
        3 => sim.faults.cloud_orders = CloudOrderBehavior::Unanswered,
        4 => {
            let one_in = rng.random_range(2..6);
            let delay_ms = rng.random_range(500..9000);
            sim.faults.writes = WriteBehavior::Late { one_in, delay_ms };
        }
        5 => {
            sim.faults.refused_by_store.insert(controller);
        }
        6 => sim.faults.store_outage = true,
        _ => {
            sim.faults.cut_from_peers.insert(controller);
        }
    }
}

/// Ends all faults except crashes and pauses, which end by themselves.
fn end_faults(sim: &mut Sim) {
    sim.faults.cloud_orders = CloudOrderBehavior::Answered;
    sim.faults.writes = WriteBehavior::Answered;
    sim.faults.refused_by_store.clear();
    sim.faults.cut_from_peers.clear();
    if sim.faults.store_outage {
        sim.end_outage();
    }
}

/// Every request that was carried out arrives again, also after its sender's end: an order record
/// that was created and removed must not lead to a second order.
#[test]
fn repeats_of_carried_out_requests_lead_to_no_second_order() {
    for seed in 0..SEED_COUNT {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut sim = Sim::with_duties(FENCES[seed as usize % 2]);
        sim.faults.repeats = Repeats {
            after_ms: (0..3).map(|_| rng.random_range(1..60_000)).collect(),
            after_crash_ms: (0..3).map(|_| rng.random_range(1..9000)).collect(),
        };
        for round in 0..ROUNDS_PER_SEED {
            let shape = ["sweep", "group"][rng.random_range(0..2)];
            submit(&mut sim, round, shape, 2, 6.0);
            if rng.random_bool(0.3) {
                let restart_after_ms = rng.random_range(100..12_000);
                sim.crash(rng.random_range(0..3), restart_after_ms);
            }
            sim.run(rng.random_range(500..20_000));
        }
        finish_and_check_duties(&mut sim, ControllerClocks::Reliable);
    }
}
