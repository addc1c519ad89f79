//! No machine with tasks is terminated, and no machine that is being terminated gets tasks.

use ciborium::cbor;
use gaugesill::settings::FencingMode;
use gaugesill::wire::TaskState;

use crate::common::{submission, CloudOrderBehavior, ControllerClocks, Sim};
use crate::support::{finish_and_check_duties, submit, FENCES};

/// A gang is submitted around the moment at which idle machines are chosen for termination, and
/// the leader crashes: of a placement and a termination that conflict, one must fail.
#[test]
fn a_gang_is_placed_while_machines_are_chosen_for_termination() {
    for moment in 0..24 {
        let mut sim = Sim::with_duties(FENCES[moment % 2]);
        submit(&mut sim, 1, "group", 2, 6.0);
        assert!(sim.run_until(60_000, Sim::all_done));
        let is_chosen = |sim: &Sim| sim.orders_in_phase("reclaim-idle", "needed") > 0;
        let delay_ms = 4000 + 40 * moment as u64;
        if moment < 12 {
            sim.run(delay_ms);
        } else {
            assert!(
                sim.run_until(60_000, is_chosen),
                "no machine was chosen for termination"
            );
            sim.run(10 * (moment as u64 - 12));
        }
        submit(&mut sim, 2, "group", 2, 6.0);
        sim.run(30 * moment as u64);
        if let Some(leader) = sim.leader() {
            sim.crash(leader, if moment % 2 == 0 { 200 } else { 4000 });
        }
        finish_and_check_duties(&mut sim, ControllerClocks::Reliable);
    }
}

/// The cloud refuses terminations for a while, and the leader crashes: its successor must place no
/// tasks on the machines whose termination is on record, although they are idle and send
/// heartbeats.
#[test]
fn a_machine_whose_termination_is_on_record_gets_no_tasks() {
    for fence in FENCES {
        let mut sim = Sim::with_duties(fence);
        submit(&mut sim, 1, "group", 2, 6.0);
        assert!(sim.run_until(60_000, Sim::all_done));
        sim.faults.cloud_orders = CloudOrderBehavior::Unavailable;
        assert!(sim.run_until(60_000, |sim| sim.orders_in_phase("return", "recorded") > 0));
        let leader = sim.leader().expect("no controller leads");
        sim.crash(leader, 200);
        let long = submission("run-000002", "group", 2, 6.0, "normal");
        let other = if leader == 0 { 1 } else { 0 };
        sim.submit(other, &long, 40_000);
        sim.run(20_000);
        let is_busy = |name: &String| sim.agents[name].live_tasks().next().is_some();
        let terminated = sim.terminated_machines().into_iter();
        let busy: Vec<String> = terminated.filter(is_busy).collect();
        assert!(busy.is_empty(), "{busy:?}\n{}", sim.trace_text());
        sim.faults.cloud_orders = CloudOrderBehavior::Answered;
        finish_and_check_duties(&mut sim, ControllerClocks::Reliable);
    }
}

/// Guards against useless requests: drained machines were chosen for termination before the exits
/// of their last tasks were on record, and the holder refused the request repeatedly.
#[test]
fn drained_machines_are_terminated_once_exits_are_on_record() {
    let mut sim = Sim::with_duties(FencingMode::IdempotencyKey);
    // Without another machine the tasks cannot be placed again, so their exits are not written
    // at once.
    sim.cloud.capacity = 1;
    submit(&mut sim, 1, "sweep", 2, 4.0);
    assert!(sim.run_until(60_000, |sim| sim.live_tasks() > 0));
    let faulty = sim.first_machine();
    sim.faults.failing_machines.insert(faulty.clone());
    assert!(sim.run_until(60_000, |sim| !sim.cloud.machines.contains_key(&faulty)));
    finish_and_check_duties(&mut sim, ControllerClocks::Reliable);
    assert_eq!(sim.rejected_requests(), 0, "{}", sim.trace_text());
}

/// The holders of `return` and `reclaim-idle` refuse to terminate a busy machine that an unknown
/// process requested to terminate. An unreadable record is kept and never acted upon.
#[test]
fn a_busy_machine_is_never_terminated() {
    for duty in ["return", "reclaim-idle"] {
        let mut sim = Sim::with_duties(FencingMode::IdempotencyKey);
        sim.submit(
            0,
            &submission("run-000001", "group", 2, 6.0, "normal"),
            20_000,
        );
        let is_busy = |sim: &Sim| {
            let mut tasks = sim.agents.values().flat_map(|agent| &agent.tasks);
            tasks.any(|task| task.state == TaskState::Running)
        };
        assert!(sim.run_until(60_000, is_busy));
        let machine = sim.first_machine();
        let delete = cbor!({"machines" => [machine.as_str()], "if_empty" => true})
            .expect("not representable as CBOR");
        let request =
            cbor!({"order" => {"delete" => delete}, "phase" => "needed", "since_ms" => 1});
        sim.store.put(
            &format!("g/d/o/{duty}/strange"),
            request.expect("not representable as CBOR"),
        );
        let unreadable = format!("g/d/o/{duty}/broken");
        sim.store.put(
            &unreadable,
            cbor!({"order" => 7}).expect("not representable as CBOR"),
        );
        sim.run(8000);
        assert!(sim.cloud.machines.contains_key(&machine), "{duty}");
        assert_eq!(
            sim.orders_in_phase(duty, "needed"),
            0,
            "the request was neither refused nor executed"
        );
        assert!(sim.store.keys.contains_key(&unreadable));
        finish_and_check_duties(&mut sim, ControllerClocks::Reliable);
        assert!(sim.store.keys.contains_key(&unreadable), "{duty}");
    }
}
