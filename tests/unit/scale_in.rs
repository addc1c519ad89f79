//! The choice of the machines that the scheduler terminates.

use crate::support::*;
use gaugesill::job::Shape;
use gaugesill::scheduler::{Effect, Scheduler, StatusOrigin};
use gaugesill::write_queue::CommitResult;

/// Guards against a partitioned leader terminating the whole fleet: with heartbeats every 8 s,
/// machines were terminated for missing heartbeats before most of them counted as silent, so the
/// leader did not detect that it was itself partitioned.
#[test]
fn a_partitioned_leader_terminates_no_machines() {
    // No other controller is reachable, or the agents send heartbeats to another controller.
    for (report_s, elsewhere) in [("3.0", None), ("8.0", None), ("8.0", Some(9))] {
        assert_eq!(first_termination(report_s, elsewhere), None, "{report_s}");
    }
}

/// Guards against waiting forever after the larger zone is partitioned or most machines fail: the
/// leader assumed that it was partitioned itself, and the lost tasks were never placed again. If
/// no other controller receives the machines' heartbeats, they are terminated as usual, and in
/// any case after two leases.
#[test]
fn most_machines_are_terminated_when_no_controller_receives_their_heartbeats() {
    let at = first_termination("8.0", Some(1)).expect("a termination");
    assert!((18_000..25_000).contains(&at), "{at}");
    let mut scheduler = scheduler_with_busy_machines("8.0");
    let terminates = |scheduler: &mut Scheduler, count: usize| {
        let effects = scheduler.take_effects();
        effects.iter().any(
            |effect| matches!(effect, Effect::Terminate { machines } if machines.len() == count),
        )
    };
    scheduler.tick(76_000, 1, 0);
    assert!(terminates(&mut scheduler, 9));
    // No other controller is reachable, but one machine still reports.
    let mut scheduler = scheduler_with_busy_machines("8.0");
    scheduler.on_agent_status(&agent_status("m-0", 2, 2), StatusOrigin::Heartbeat, 22_000);
    scheduler.tick(22_200, 1, 0);
    assert!(terminates(&mut scheduler, 8));
}

/// The time of the first termination within a minute without heartbeats.
fn first_termination(report_s: &str, elsewhere: Option<u32>) -> Option<u64> {
    let mut scheduler = scheduler_with_busy_machines(report_s);
    scheduler.set_redirected_elsewhere(elsewhere);
    (1000..60_000).step_by(200).find(|now| {
        scheduler.tick(*now, 1, 0);
        let effects = scheduler.take_effects();
        effects
            .iter()
            .any(|effect| matches!(effect, Effect::Terminate { .. }))
    })
}

/// A machine is not terminated before the completions of its tasks are on record: if the leader
/// crashed in between, the work would be repeated.
#[test]
#[expect(clippy::too_many_lines, reason = "one scenario, step by step")]
fn a_machine_is_kept_until_its_completed_tasks_are_on_record() {
    let mut scheduler = scheduler_with_placed_job(Shape::Array, 2);
    let runs = |number: u32| task_status(&format!("run-1/{number}"), 1, "running", None);
    scheduler.on_agent_status(
        &status_of_m0(1, 2, vec![runs(0), runs(1)]),
        StatusOrigin::Heartbeat,
        1500,
    );
    let done = || task_status("run-1/0", 1, "ended", Some("done"));
    let stopped = task_status("run-1/1", 1, "ended", Some("stopped"));
    scheduler.on_agent_status(
        &status_of_m0(2, 2, vec![done(), stopped]),
        StatusOrigin::Heartbeat,
        2000,
    );
    // The store does not answer for a minute.
    let mut writes = Vec::new();
    for round in 0..60 {
        let now = 3000 + 1000 * round;
        scheduler.on_agent_status(
            &status_of_m0(3 + round, 2, vec![done()]),
            StatusOrigin::Heartbeat,
            now,
        );
        scheduler.tick(now, 0, 9);
        for effect in scheduler.take_effects() {
            match effect {
                Effect::Write { change, .. } => writes.push(change),
                Effect::Terminate { machines } => panic!("{machines:?} are terminated at {now}"),
                _ => {}
            }
        }
    }
    let change = *writes.last().expect("a change");
    scheduler.on_commit(
        "run-1",
        change,
        None,
        &CommitResult::Committed { revision: 9 },
        63_000,
    );
    scheduler.on_agent_status(
        &status_of_m0(90, 2, vec![]),
        StatusOrigin::Heartbeat,
        63_500,
    );
    let is_terminated = (0..200).any(|round| {
        let now = 64_000 + 400 * round;
        scheduler.tick(now, 0, 9);
        let idle = status_of_m0(91 + round, 2, vec![]);
        scheduler.on_agent_status(&idle, StatusOrigin::Heartbeat, now);
        let effects = scheduler.take_effects();
        effects
            .iter()
            .any(|effect| matches!(effect, Effect::Terminate { .. }))
    });
    assert!(is_terminated, "the idle machine is not terminated");
}
