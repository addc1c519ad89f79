//! Machines that are unreachable, hang or fail while jobs are cancelled or restricted to zones.

use ciborium::Value;

use crate::common::{assert_kept_trace, submission, Agent, Sim};
use crate::support::{array, live_tasks_of, start_two_long_arrays, with_field};

/// Names of the machines with tasks whose names begin with `prefix`.
fn machines_with_tasks_of(sim: &Sim, prefix: &str) -> Vec<String> {
    let has_task = |agent: &&Agent| {
        let mut tasks = agent.tasks.iter();
        tasks.any(|task| task.name.starts_with(prefix))
    };
    let agents = sim.agents.values().filter(has_task);
    agents.map(|agent| agent.machine.clone()).collect()
}

/// A team at its quota limit cancels a job whose machines are isolated, hang or receive nothing,
/// and the leader changes. A task that may still run counts until its end is confirmed;
/// otherwise the team would exceed its limit.
#[test]
fn the_quota_limit_holds_with_unreachable_machines() {
    for case in 0..12u64 {
        let mut sim = Sim::with_team(r#"{"name":"t","cpus_max":16.0}"#, 16.0);
        sim.run(1000);
        sim.submit(0, &array("run-000001", 2), 200_000);
        sim.submit(0, &array("run-000002", 2), 20_000);
        sim.submit(0, &array("run-000003", 4), 5000);
        sim.run(10_000);
        for machine in machines_with_tasks_of(&sim, "run-000001/") {
            match case % 3 {
                0 => drop(sim.faults.isolated_machines.insert(machine)),
                1 => sim.hang_machine(&machine, 25_000),
                _ => drop(sim.faults.unable_to_receive.insert(machine)),
            }
        }
        let leader = sim.leader().expect("no controller leads");
        if case % 2 == 0 {
            sim.crash(leader, 3000);
            sim.run(400 * case);
        }
        let slot = sim.cancel((leader + 1) % 3, "run-000001");
        sim.run(300);
        assert!(sim.answer(slot).is_some());
        if case % 2 == 1 {
            sim.crash(leader, 500);
        }
        sim.run(45_000);
        sim.heal_machines();
        sim.faults.unable_to_receive.clear();
        sim.finish(200_000);
        assert_eq!(live_tasks_of(&sim, "run-000001"), 0);
        sim.assert_no_violations();
        sim.assert_all_jobs_known();
    }
}

/// A cancelled job's machines hang, for less than an agent's lease and for longer: the job's
/// tasks must not continue afterwards.
#[test]
fn machines_hang_while_their_job_is_cancelled() {
    let durations_ms = [5000, 20_000, 34_000, 37_000, 58_000, 80_000];
    for (case, hang_ms) in durations_ms.into_iter().enumerate() {
        let mut sim = Sim::new();
        let leader = start_two_long_arrays(&mut sim);
        let machines: Vec<String> = sim.agents.keys().cloned().collect();
        for machine in machines.iter().take(1 + case % 3) {
            sim.hang_machine(machine, hang_ms);
        }
        let slot = sim.cancel((leader + case) % 3, "run-000001");
        sim.run(300);
        assert_eq!(sim.answer(slot).map(|reply| reply.code), Some(200));
        if case % 2 == 1 {
            sim.crash(leader, 700);
        }
        sim.finish_and_check(250_000);
    }
}

/// A machine reaches no controller, while direct commands reach it: every controller that
/// inspects it finds it alive, but its lease expires repeatedly and its tasks are killed. It
/// must get no work.
#[test]
fn a_machine_that_reaches_no_controller() {
    let mut sim = Sim::new();
    sim.cloud.capacity = 2;
    sim.run(1000);
    sim.submit(0, &array("run-000001", 4), 50_000);
    sim.run(10_000);
    sim.faults.unable_to_send.insert("m-000000".into());
    sim.trace_event("m-000000 reaches nobody".into());
    sim.finish(140_000);
    sim.assert_no_violations();
    assert_kept_trace("mute-machine", &sim.log.trace);
}

/// Machines and the leader fail while gangs and arrays that are restricted to one zone, and jobs
/// that are spread over zones, run: the restrictions still hold when tasks are placed again.
#[test]
fn zones_are_kept_while_machines_are_lost() {
    for case in 0..12u64 {
        let mut sim = Sim::started();
        let yes = Value::Bool(true);
        let in_one_zone = with_field(array("run-000001", 3), "samePlace", yes.clone());
        sim.submit(0, &in_one_zone, 12_000);
        let gang = submission("run-000002", "group", 2, 6.0, "normal");
        sim.submit(0, &with_field(gang, "samePlace", yes.clone()), 12_000);
        let spread = with_field(array("run-000003", 3), "scatter", yes);
        sim.submit(1, &spread, 12_000);
        sim.run(8000 + 500 * case);
        let machine = sim.agents.keys().nth(case as usize % 3).cloned();
        if let Some(machine) = machine {
            sim.fail_machine_silently(&machine);
            sim.trace_event(format!("{machine} dies"));
        }
        sim.run(300 * (case % 4));
        if let Some(leader) = sim.leader() {
            sim.crash(leader, 1500);
        }
        sim.finish_and_check(200_000);
    }
}
