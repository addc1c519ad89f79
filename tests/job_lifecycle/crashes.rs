//! Controllers crash or are paused at every step of jobs' runs.

use crate::common::{assert_kept_trace, submission};
use crate::support::{submit_two_jobs, with_two_jobs};

/// The leader crashes at each moment of the jobs' runs and is down for a short or a long time:
/// every task is done once and no rule is broken.
#[test]
fn the_leader_crashes_at_every_step() {
    for step in 0..60 {
        let mut sim = with_two_jobs();
        sim.run(20 + 350 * step);
        if let Some(leader) = sim.leader() {
            sim.crash(leader, if step % 2 == 0 { 200 } else { 3000 });
        }
        sim.run(1000);
        // Users retry their submissions.
        if let Some(controller) = sim.any_running_controller() {
            submit_two_jobs(&mut sim, controller, controller);
        }
        sim.finish(150_000);
        sim.assert_no_violations();
        // Example traces of a crash after jobs were submitted, placed, started and done.
        if [2, 16, 19, 37].contains(&step) {
            assert_kept_trace(&format!("crash-{step}"), &sim.log.trace);
        }
    }
}

/// All controllers crash at once, and again in the middle of the following election.
#[test]
fn all_controllers_crash_during_an_election() {
    for step in 0..12 {
        let mut sim = with_two_jobs();
        sim.run(8000);
        sim.crash_all(|_| 300);
        sim.run(300 + 40 * step);
        sim.crash_all(|controller| 100 + 50 * controller);
        sim.finish(150_000);
        sim.assert_no_violations();
    }
}

/// Controllers and agents restart within a fraction of a second, also in the middle of an
/// election: no process may be mistaken for the one before its restart.
#[test]
fn controllers_restart_within_a_second() {
    for case in 0..24 {
        let mut sim = with_two_jobs();
        sim.run(5800 + 120 * case);
        let leader = sim.leader().expect("no controller leads");
        sim.crash(leader, 5 + 10 * (case % 5));
        sim.run(20 + 17 * (case % 7));
        for controller in 0..3 {
            sim.crash(controller, 30 + 40 * ((case + controller as u64) % 3));
        }
        if let Some(machine) = sim.agents.keys().nth(case as usize % 2).cloned() {
            sim.restart_agent(&machine);
        }
        sim.run(150);
        sim.crash((leader + 1) % 3, 10);
        sim.finish_and_check(150_000);
    }
}

/// The leader is paused at every step, for less than the time to live of its grant, for longer,
/// and for longer than an agent's lease, while its clocks continue. When it resumes, it sends
/// the actions that it decided on before the pause and then handles the events that arrived
/// meanwhile: none of these may take effect if it conflicts with what a successor has done.
#[test]
fn the_leader_is_paused_at_every_step() {
    for step in 0..45 {
        let mut sim = with_two_jobs();
        sim.run(900 + 400 * step);
        let leader = sim.leader().unwrap_or(0);
        let pause_ms = [1500, 3800, 12_000, 44_000][step as usize % 4];
        sim.pauses.on_next_action.insert(leader, pause_ms);
        sim.run(1000);
        let other = (leader + 1) % 3;
        let slot = sim.cancel(other, "run-000001");
        sim.submit(
            other,
            &submission("run-000003", "group", 2, 6.0, "high"),
            5000,
        );
        sim.run(5000);
        let reply = sim.answer(slot);
        assert!(reply.is_some(), "{step}: {}", sim.trace_text());
        sim.run(45_000);
        sim.finish_and_check(150_000);
        if step == 18 {
            assert_kept_trace("paused-leader", &sim.log.trace);
        }
    }
}
