//! Seeded runs of complete controllers, each compared with a stored digest of all messages that
//! controllers sent and of all changes of the key-value store. Guards against unintended changes
//! of behaviour: a refactoring must not change any digest.
//!
//! The digests are in `tests/fixtures/message_digests/`, with one file for each family of runs.
//! `UPDATE_DIGESTS=1` overwrites them, which is needed only after a change of behaviour.

mod common;

use std::collections::BTreeMap;

use ciborium::Value;
use common::{submission, CloudOrderBehavior, Sim, WriteBehavior};
use gaugesill::settings::FencingMode;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Number of runs of each family.
const SEEDS: u64 = 14;
/// Simulated time after the last fault of a run.
const SETTLE_MS: u64 = 30_000;

/// A run, and the generator of its random choices.
struct Run {
    sim: Sim,
    rng: StdRng,
    next_job: usize,
}

impl Run {
    fn new(sim: Sim, seed: u64) -> Run {
        Run {
            sim,
            rng: StdRng::seed_from_u64(seed),
            next_job: 1,
        }
    }

    /// Advances the clock by a random time.
    fn run_for_random_time(&mut self, from_ms: u64, to_ms: u64) {
        let pause_ms = self.rng.random_range(from_ms..to_ms);
        self.sim.run(pause_ms);
    }

    fn random_controller(&mut self) -> usize {
        self.rng.random_range(0..3)
    }

    /// Submits a random job with these dependencies; returns its ID.
    fn submit(&mut self, dependencies: &[String]) -> String {
        let id = format!("run-{:06}", self.next_job);
        self.next_job += 1;
        let shape = ["sweep", "group"][self.rng.random_range(0..2)];
        let priority = ["prod", "high", "normal", "best_effort"][self.rng.random_range(0..4)];
        let tasks = self.rng.random_range(1..4);
        let cpus = f64::from(self.rng.random_range(1..8u32));
        let mut job = submission(&id, shape, tasks, cpus, priority);
        if let (Value::Map(fields), false) = (&mut job, dependencies.is_empty()) {
            let names = dependencies.iter().map(|id| Value::Text(id.clone()));
            fields.push((Value::Text("waitsOn".into()), Value::Array(names.collect())));
        }
        let run_ms = self.rng.random_range(1000..9000);
        let controller = self.random_controller();
        self.sim.submit(controller, &job, run_ms);
        id
    }

    fn submit_some(&mut self, jobs: usize) -> Vec<String> {
        let mut ids = Vec::new();
        for _ in 0..jobs {
            ids.push(self.submit(&[]));
            self.run_for_random_time(20, 900);
        }
        ids
    }

    fn cancel(&mut self, id: &str) {
        let controller = self.random_controller();
        let path = format!("/work/{id}/cancel");
        self.sim
            .send_user_request(controller, "POST", &path, vec![]);
    }

    fn poll(&mut self, id: &str) {
        let controller = self.random_controller();
        self.sim
            .send_user_request(controller, "GET", &format!("/work/{id}"), vec![]);
    }

    fn crash_leader(&mut self) {
        let leader = self.sim.leader().unwrap_or(0);
        let restart_after_ms = self.rng.random_range(50..6000);
        self.sim.crash(leader, restart_after_ms);
    }

    fn random_machine(&mut self) -> Option<String> {
        let machines = self.sim.agents.len();
        if machines == 0 {
            return None;
        }
        let chosen = self.rng.random_range(0..machines);
        self.sim.agents.keys().nth(chosen).cloned()
    }
}

/// Runs each seed of a family and compares the digests with the stored ones.
fn check_family(family: &str, play: impl Fn(&mut Run), start: impl Fn() -> Sim) {
    let mut digests = BTreeMap::new();
    for seed in 0..SEEDS {
        let mut run = Run::new(start(), seed);
        play(&mut run);
        run.sim.run(SETTLE_MS);
        run.sim.assert_no_violations();
        digests.insert(format!("seed-{seed:02}"), run.sim.message_digest());
    }
    let root = env!("CARGO_MANIFEST_DIR");
    let path = format!("{root}/tests/fixtures/message_digests/{family}.toml");
    if std::env::var_os("UPDATE_DIGESTS").is_some() {
        let text = toml::to_string(&digests).expect("a table of digests");
        std::fs::write(&path, text).expect("the digests can be written");
    }
    let stored_text = std::fs::read_to_string(&path).expect("stored digests");
    let stored: BTreeMap<String, String> =
        toml::from_str(&stored_text).expect("a table of digests");
    assert_eq!(digests, stored, "messages of {family} differ from {path}");
}

#[test]
fn messages_of_runs_without_faults() {
    let play = |run: &mut Run| {
        let ids = run.submit_some(6);
        run.run_for_random_time(2000, 9000);
        for id in &ids {
            run.poll(id);
        }
    };
    check_family("quiet", play, Sim::started);
}

#[test]
fn messages_with_a_quota() {
    let play = |run: &mut Run| {
        run.submit_some(6);
        run.run_for_random_time(2000, 9000);
        run.submit_some(2);
    };
    let start = || {
        let team = r#"{"name":"t","cpus":6.0,"cpus_max":12.0}"#;
        let mut sim = Sim::with_team(team, 12.0);
        sim.run(1000);
        sim
    };
    check_family("quota", play, start);
}

#[test]
fn messages_of_crashing_controllers() {
    let play = |run: &mut Run| {
        let ids = run.submit_some(4);
        for _ in 0..3 {
            run.run_for_random_time(500, 6000);
            run.crash_leader();
            run.run_for_random_time(100, 2000);
            let controller = run.random_controller();
            run.sim.crash(controller, 100);
        }
        run.poll(&ids[0]);
        run.submit_some(2);
    };
    check_family("crashes", play, Sim::started);
}

#[test]
fn messages_during_partitions() {
    let play = |run: &mut Run| {
        let ids = run.submit_some(4);
        run.run_for_random_time(3000, 9000);
        let cut = run.random_controller();
        match run.rng.random_range(0..5) {
            0 => run.sim.faults.cut_from_store.extend([cut]),
            1 => run.sim.faults.cut_from_agents.extend([cut]),
            2 => run.sim.faults.cut_from_peers.extend([cut]),
            3 => run.sim.cut_zone("b", Some(cut)),
            _ => run.sim.faults.refused_by_store.extend([cut]),
        }
        run.run_for_random_time(500, 3000);
        run.cancel(&ids[0]);
        run.submit_some(2);
        run.run_for_random_time(10_000, 50_000);
        run.sim.faults.cut_from_agents.clear();
        run.sim.faults.refused_by_store.clear();
        run.sim.heal_zone();
    };
    check_family("cuts", play, Sim::started);
}

#[test]
fn messages_of_an_outage() {
    let play = |run: &mut Run| {
        let ids = run.submit_some(4);
        run.run_for_random_time(3000, 9000);
        run.sim.faults.store_outage = true;
        run.run_for_random_time(500, 3000);
        run.cancel(&ids[0]);
        run.submit_some(1);
        run.run_for_random_time(1000, 40_000);
        if run.rng.random_bool(0.3) {
            run.crash_leader();
        }
        run.sim.end_outage();
        run.submit_some(2);
    };
    check_family("outage", play, Sim::started);
}

#[test]
fn messages_of_cancellations() {
    let play = |run: &mut Run| {
        let ids = run.submit_some(6);
        for id in &ids {
            run.run_for_random_time(10, 2500);
            run.cancel(id);
            run.poll(id);
        }
        run.crash_leader();
    };
    check_family("cancellations", play, Sim::started);
}

#[test]
fn messages_with_lost_and_late_writes() {
    let play = |run: &mut Run| {
        run.sim.faults.writes = if run.rng.random_bool(0.5) {
            WriteBehavior::Unanswered { one_in: 3 }
        } else {
            WriteBehavior::Late {
                one_in: 4,
                delay_ms: 3000,
            }
        };
        run.sim.faults.heartbeat_copies_after_ms = vec![700, 9000];
        let ids = run.submit_some(5);
        run.run_for_random_time(3000, 9000);
        run.cancel(&ids[1]);
        run.crash_leader();
        run.run_for_random_time(3000, 9000);
        run.sim.faults.writes = WriteBehavior::Answered;
        run.submit_some(1);
    };
    check_family("late", play, Sim::started);
}

#[test]
fn messages_of_failing_machines() {
    let play = |run: &mut Run| {
        run.submit_some(5);
        for _ in 0..4 {
            run.run_for_random_time(1000, 6000);
            let Some(machine) = run.random_machine() else {
                continue;
            };
            match run.rng.random_range(0..5) {
                0 => run.sim.restart_agent(&machine),
                1 => run.sim.hang_machine(&machine, 9000),
                2 => run.sim.faults.unable_to_receive.extend([machine]),
                3 => run.sim.faults.unable_to_send.extend([machine]),
                _ => run.sim.faults.failing_machines.extend([machine]),
            }
        }
        run.run_for_random_time(5000, 40_000);
    };
    check_family("machines", play, Sim::started);
}

#[test]
fn messages_of_pipelines() {
    let play = |run: &mut Run| {
        let first = run.submit_some(2);
        run.run_for_random_time(200, 4000);
        let second = run.submit(&first);
        run.run_for_random_time(200, 2000);
        let third = run.submit(&[first[0].clone(), second.clone()]);
        run.run_for_random_time(200, 9000);
        if run.rng.random_bool(0.4) {
            run.cancel(&second);
        }
        run.crash_leader();
        run.run_for_random_time(200, 9000);
        run.poll(&third);
    };
    check_family("pipelines", play, Sim::started);
}

#[test]
fn messages_of_two_versions() {
    let play = |run: &mut Run| {
        run.submit_some(3);
        run.run_for_random_time(2000, 6000);
        for controller in 0..3 {
            run.sim.deployment.previous_version.remove(&controller);
            run.sim.crash(controller, 300);
            run.run_for_random_time(3000, 9000);
            run.submit_some(1);
        }
    };
    let start = || {
        let mut sim = Sim::new();
        sim.deployment.previous_version.extend([0, 1, 2]);
        for controller in 0..3 {
            sim.crash(controller, 1);
        }
        sim.run(2000);
        sim
    };
    check_family("versions", play, start);
}

fn play_duties(run: &mut Run) {
    run.submit_some(3);
    run.run_for_random_time(500, 5000);
    run.sim.faults.cloud_orders = match run.rng.random_range(0..4) {
        0 => CloudOrderBehavior::Unanswered,
        1 => CloudOrderBehavior::Late { delay_ms: 4000 },
        2 => CloudOrderBehavior::Unavailable,
        _ => CloudOrderBehavior::Answered,
    };
    run.run_for_random_time(500, 5000);
    run.crash_leader();
    run.run_for_random_time(500, 9000);
    run.sim.faults.cloud_orders = CloudOrderBehavior::Answered;
    run.submit_some(1);
    run.run_for_random_time(9000, 30_000);
}

#[test]
fn messages_of_duties_fenced_by_booking() {
    let start = || Sim::with_duties(FencingMode::IdempotencyKey);
    check_family("duties-booking", play_duties, start);
}

#[test]
fn messages_of_duties_fenced_by_token() {
    let start = || Sim::with_duties(FencingMode::ProviderToken);
    check_family("duties-token", play_duties, start);
}
