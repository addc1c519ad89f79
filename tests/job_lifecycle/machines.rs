//! Machines that are isolated, fail, or restart.

use crate::common::{assert_kept_trace, submission, Sim};
use crate::support::with_two_jobs;

/// A machine is isolated: its tasks run elsewhere only after the cloud has deleted the machine,
/// and its delayed heartbeats have no effect.
#[test]
fn an_isolated_machine_is_replaced() {
    let mut sim = Sim::started();
    sim.submit(
        0,
        &submission("run-000001", "sweep", 3, 4.0, "best_effort"),
        20_000,
    );
    sim.run(9000);
    let machine = sim.first_machine();
    sim.faults.isolated_machines.insert(machine.clone());
    sim.trace_event(format!("{machine} is cut off"));
    assert!(sim.run_until(60_000, |sim| !sim.cloud.machines.contains_key(&machine)));
    sim.trace_event(format!("{machine} is deleted"));
    sim.heal_machines();
    sim.finish(150_000);
    sim.assert_no_violations();
    assert_kept_trace("cut-machine", &sim.log.trace);
}

/// A machine fails without notice: its tasks run elsewhere once the cloud has confirmed its
/// deletion.
#[test]
fn a_failed_machine_is_replaced() {
    let mut sim = Sim::started();
    sim.submit(
        0,
        &submission("run-000001", "sweep", 3, 4.0, "best_effort"),
        6000,
    );
    sim.run(8000);
    let machine = sim.first_machine();
    sim.fail_machine_silently(&machine);
    sim.finish(150_000);
    sim.assert_no_violations();
}

/// A machine's heartbeats arrive, but neither answers nor commands reach it, so it would be
/// considered alive for ever by its heartbeats alone. It must get no more work and be deleted,
/// and its tasks run elsewhere only then.
#[test]
fn a_machine_that_receives_nothing_is_replaced() {
    for (busy, unreachable_from) in [(true, 9000), (false, 7200), (true, 6500)] {
        let mut sim = Sim::started();
        let run_ms = if busy { 60_000 } else { 1000 };
        sim.submit(
            0,
            &submission("run-000001", "sweep", 2, 4.0, "normal"),
            run_ms,
        );
        sim.run(unreachable_from);
        let machine = sim.first_machine();
        sim.faults.unable_to_receive.insert(machine.clone());
        sim.trace_event(format!("{machine} hears nothing any more"));
        sim.submit(
            0,
            &submission("run-000002", "group", 2, 4.0, "normal"),
            4000,
        );
        assert!(
            sim.run_until(45_000, |sim| !sim.cloud.machines.contains_key(&machine)),
            "{}",
            sim.trace_text()
        );
        sim.finish(150_000);
        sim.assert_no_violations();
        if busy && unreachable_from == 9000 {
            assert_kept_trace("deaf-machine", &sim.log.trace);
        }
    }
}

/// Duplicates of every heartbeat arrive at every controller, after seconds and after more than a
/// lease, while leaders change and a machine fails: no status may be considered newer than it
/// is, and the failed machine gets no work.
#[test]
fn delayed_duplicates_of_heartbeats_are_ignored() {
    for case in 0..12 {
        let mut sim = with_two_jobs();
        sim.faults.heartbeat_copies_after_ms = vec![700, 9000, 50_000];
        sim.run(6500 + 400 * case);
        let machine = sim.first_machine();
        if case % 3 == 0 {
            sim.restart_agent(&machine);
        } else {
            sim.fail_machine_silently(&machine);
            sim.trace_event(format!("{machine} dies"));
        }
        sim.run(1000 * (case % 4));
        if let Some(leader) = sim.leader() {
            sim.crash(leader, 3000);
        }
        let id = format!("run-00001{case}");
        sim.run(4000);
        let controller = sim
            .any_running_controller()
            .expect("no controller is running");
        let gang = submission(&id, "group", 3, 6.0, "high");
        sim.submit(controller, &gang, 5000);
        sim.finish(120_000);
        // Duplicate heartbeats of machines that were terminated long ago neither cause machines
        // to be rented nor add the terminated ones to the fleet again.
        sim.run(60_000);
        let left: Vec<&String> = sim.cloud.machines.keys().collect();
        assert!(left.is_empty(), "{case}: {left:?}\n{}", sim.trace_text());
        sim.assert_no_violations();
        sim.assert_all_jobs_known();
    }
}

/// A machine whose agent restarts at once, with a new incarnation, has lost its tasks but is
/// healthy: it must be kept and get work again.
#[test]
fn a_machine_whose_agent_restarts_is_kept() {
    let mut sim = Sim::new();
    sim.cloud.capacity = 1;
    sim.run(1000);
    sim.submit(
        0,
        &submission("run-000001", "sweep", 2, 4.0, "normal"),
        20_000,
    );
    sim.run(14_000);
    sim.restart_agent("m-000000");
    sim.finish(60_000);
    assert_eq!(sim.cloud.rented_total, 1, "another machine was rented");
    sim.assert_no_violations();
}
