//! Requests that were carried out arrive once more, while their sender runs and after its end.

use std::collections::HashSet;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::common::{submission, Repeats, Sim};
use crate::support::{array, live_tasks_of};

/// Names of the machines on which a job has live tasks.
fn machines_of(sim: &Sim, job: &str) -> Vec<String> {
    let prefix = format!("{job}/");
    let agents = sim.agents.values();
    let busy = agents.filter(|agent| {
        let mut live = agent.live_tasks();
        live.any(|task| task.name.starts_with(&prefix))
    });
    busy.map(|agent| agent.machine.clone()).collect()
}

/// Starts a small task, and beside it one of low priority that is preempted and goes on elsewhere.
fn preempt_a_task(sim: &mut Sim) {
    sim.run(1000);
    let small = submission("run-000001", "sweep", 1, 1.0, "normal");
    sim.submit(0, &small, 400_000);
    assert!(sim.run_until(20_000, |sim| live_tasks_of(sim, "run-000001") == 1));
    sim.run(3000);
    let low = submission("run-000002", "sweep", 1, 6.0, "best_effort");
    sim.submit(0, &low, 100_000);
    assert!(sim.run_until(5000, |sim| live_tasks_of(sim, "run-000002") == 1));
    let first = machines_of(sim, "run-000002");
    let urgent = submission("run-000003", "sweep", 1, 6.0, "high");
    sim.submit(0, &urgent, 12_000);
    let is_moved = |sim: &Sim| {
        let machines = machines_of(sim, "run-000002");
        !machines.is_empty() && machines != first
    };
    assert!(sim.run_until(30_000, is_moved), "{}", sim.trace_text());
    let is_done = |sim: &Sim| sim.jobs["run-000003"].is_done();
    assert!(sim.run_until(30_000, is_done), "{}", sim.trace_text());
    // Its machine is told to forget it.
    sim.run(4000);
}

/// A start on `/orders` was carried out, its task preempted and cleared. After the leader's end the
/// request is repeated: the task started while its next attempt ran on another machine.
#[test]
fn a_repeated_start_after_the_leaders_end_runs_no_task_twice() {
    for after_crash_ms in [1, 1000, 2500] {
        let mut sim = Sim::new();
        sim.faults.repeats.after_crash_ms = vec![after_crash_ms];
        preempt_a_task(&mut sim);
        let leader = sim.leader().expect("no controller leads");
        sim.crash(leader, 3000);
        sim.run(5000);
        sim.assert_no_violations();
        sim.finish_and_check(600_000);
    }
}

/// The same repeat while the leader runs on: the task started a second time as well.
#[test]
fn a_repeated_start_while_the_leader_runs_on_runs_no_task_twice() {
    let mut sim = Sim::new();
    sim.faults.repeats.after_ms = vec![9000, 17_000];
    preempt_a_task(&mut sim);
    sim.run(20_000);
    sim.assert_no_violations();
    sim.finish_and_check(600_000);
}

/// A start on `/orders` is repeated long after its job was cancelled: the task was on a machine
/// again when `cancel_s` had passed.
#[test]
fn a_repeated_start_runs_no_task_of_a_cancelled_job() {
    let mut sim = Sim::new();
    sim.cloud.capacity = 1;
    sim.run(1000);
    // Keeps the machine.
    let other = submission("run-000001", "sweep", 1, 1.0, "normal");
    sim.submit(0, &other, 200_000);
    assert!(sim.run_until(20_000, |sim| live_tasks_of(sim, "run-000001") == 1));
    sim.faults.repeats.after_ms = vec![90_000];
    sim.run(3000);
    sim.submit(0, &array("run-000002", 1), 500_000);
    assert!(sim.run_until(5000, |sim| live_tasks_of(sim, "run-000002") == 1));
    sim.cancel_until_answered("run-000002");
    sim.run(100_000);
    sim.finish_and_check(300_000);
}

/// Submits a job of random shape, priority and size to one controller after another until it is
/// accepted.
fn submit_random(sim: &mut Sim, rng: &mut StdRng, id: &str) {
    let shape = ["sweep", "group"][rng.random_range(0..2)];
    let priority = ["prod", "high", "normal", "best_effort"][rng.random_range(0..4)];
    let tasks = rng.random_range(1..4);
    let cpus = f64::from(rng.random_range(1..7u32));
    let run_ms = rng.random_range(2000..30_000);
    let job = submission(id, shape, tasks, cpus, priority);
    for attempt in 0..60 {
        if sim.controllers[attempt % 3].is_some() {
            sim.submit(attempt % 3, &job, run_ms);
        }
        if sim.run_until(1000, |sim| sim.jobs.get(id).is_some_and(|job| job.accepted)) {
            return;
        }
    }
    panic!("{id} is not accepted\n{}", sim.trace_text());
}

/// One random run with repeats of every request to agents, the cloud, the store and controllers.
fn play_with_repeats(seed: u64) -> Sim {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut sim = Sim::started();
    sim.faults.repeats = Repeats {
        after_ms: (0..3).map(|_| rng.random_range(1..70_000)).collect(),
        after_crash_ms: (0..3).map(|_| rng.random_range(1..6000)).collect(),
    };
    if rng.random_bool(0.5) {
        // Tasks time out waiting for their gang and are started again as the same attempt.
        sim.faults.image_pull_ms.insert("m-000001".into(), 45_000);
    }
    for number in 1..=rng.random_range(6..14) {
        let id = format!("run-{number:06}");
        submit_random(&mut sim, &mut rng, &id);
        let pause_ms = rng.random_range(100..7000);
        sim.run(pause_ms);
        match rng.random_range(0..8) {
            0 => {
                let leader = sim.leader().unwrap_or(0);
                let restart_after_ms = rng.random_range(50..6000);
                sim.crash(leader, restart_after_ms);
            }
            1 => drop(sim.cancel_until_answered(&id)),
            2 => {
                let machine = sim.agents.keys().next().cloned();
                let hang_ms = rng.random_range(2000..30_000);
                machine
                    .iter()
                    .for_each(|name| sim.hang_machine(name, hang_ms));
            }
            3 => {
                // One controller forwards its users' requests for a while.
                let refused = rng.random_range(0..3);
                sim.faults.refused_by_store = HashSet::from([refused]);
            }
            4 => sim.faults.refused_by_store.clear(),
            _ => {}
        }
    }
    sim.faults.refused_by_store.clear();
    sim.finish(600_000);
    sim.run(80_000);
    sim
}

/// How many random runs are played; `REPEAT_SEEDS` asks for more.
const SEED_COUNT: u64 = 12;

/// Requests that were carried out arrive again at agents, the cloud, the store and controllers, by
/// chance before or after their sender's end: no rule is broken, and no machine is left over.
#[test]
fn repeats_of_carried_out_requests_break_no_rule() {
    let seed_count = std::env::var("REPEAT_SEEDS").ok();
    let seed_count = seed_count.map(|count| count.parse().expect("a number of seeds"));
    for seed in 0..seed_count.unwrap_or(SEED_COUNT) {
        let mut sim = play_with_repeats(seed);
        let violations = &sim.log.violations;
        let trace = sim.trace_text();
        assert!(
            violations.is_empty(),
            "seed {seed}: {violations:?}\n{trace}"
        );
        let left: Vec<&String> = sim.cloud.machines.keys().collect();
        assert!(left.is_empty(), "seed {seed}: {left:?}\n{trace}");
        sim.assert_all_jobs_known();
    }
}
