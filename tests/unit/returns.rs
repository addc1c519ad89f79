//! Which machines the scheduler returns.

use crate::support::*;
use gaugesill::job::Shape;
use gaugesill::scheduler::{Effect, Scheduler, StatusOrigin};
use gaugesill::write_queue::CommitResult;

/// Found on a grown day: with reports every 8 s, machines were given up for
/// their silence before most of them counted as silent, so a leader that was
/// itself cut off wanted to give back all of them.
#[test]
fn a_leader_that_is_cut_off_returns_no_machines() {
    // Nobody else is heard, or the agents came to somebody else.
    for (report_s, elsewhere) in [("3.0", None), ("8.0", None), ("8.0", Some(9))] {
        assert_eq!(gives_back(report_s, elsewhere), None, "{report_s}");
    }
}

/// The larger zone was cut off, or most machines died: the leader took it for
/// its own fault, and their tasks waited until the end. If others don't hear the
/// machines, either, they are given up as ever; and in any case after two leases.
#[test]
fn most_machines_are_returned_when_nobody_hears_them() {
    let at = gives_back("8.0", Some(1)).expect("given back");
    assert!((18_000..25_000).contains(&at), "{at}");
    let mut c = busy_machines("8.0");
    let all = |c: &mut Scheduler, n: usize| {
        let effects = c.take_effects();
        let gone = |e: &Effect| matches!(e, Effect::Terminate { machines } if machines.len() == n);
        effects.iter().any(gone)
    };
    c.tick(76_000, 1, 0);
    assert!(all(&mut c, 9));
    // No other controller is heard, but one machine still is.
    let mut c = busy_machines("8.0");
    c.on_agent_status(&report("m-0", 2, 2), StatusOrigin::Heartbeat, 22_000);
    c.tick(22_200, 1, 0);
    assert!(all(&mut c, 8));
}

/// When the first machine is given back within a minute of silence.
fn gives_back(report_s: &str, elsewhere: Option<u32>) -> Option<u64> {
    let mut c = busy_machines(report_s);
    c.set_redirected_elsewhere(elsewhere);
    (1000..60_000).step_by(200).find(|now| {
        c.tick(*now, 1, 0);
        let effects = c.take_effects();
        effects
            .iter()
            .any(|e| matches!(e, Effect::Terminate { .. }))
    })
}

/// What a machine alone knows to be done is on record before it is given back: if the
/// leader ended in between, the work would be done again.
#[test]
fn a_machine_is_kept_until_its_result_is_on_record() {
    let mut c = successor(Shape::Array, 2);
    let runs = |n: u32| task(&format!("run-1/{n}"), 1, "running", None);
    c.on_agent_status(
        &reports(1, 2, vec![runs(0), runs(1)]),
        StatusOrigin::Heartbeat,
        1500,
    );
    let done = || task("run-1/0", 1, "ended", Some("done"));
    let stopped = task("run-1/1", 1, "ended", Some("stopped"));
    c.on_agent_status(
        &reports(2, 2, vec![done(), stopped]),
        StatusOrigin::Heartbeat,
        2000,
    );
    // The store does not answer for a minute.
    let mut writes = Vec::new();
    for n in 0..60 {
        let now = 3000 + 1000 * n;
        c.on_agent_status(
            &reports(3 + n, 2, vec![done()]),
            StatusOrigin::Heartbeat,
            now,
        );
        c.tick(now, 0, 9);
        for e in c.take_effects() {
            match e {
                Effect::Write { change, .. } => writes.push(change),
                Effect::Terminate { machines } => panic!("{machines:?} given back at {now}"),
                _ => {}
            }
        }
    }
    let change = *writes.last().expect("a change");
    c.on_commit(
        "run-1",
        change,
        None,
        &CommitResult::Committed { revision: 9 },
        63_000,
    );
    c.on_agent_status(&reports(90, 2, vec![]), StatusOrigin::Heartbeat, 63_500);
    let back = (0..200).any(|n| {
        c.tick(64_000 + 400 * n, 0, 9);
        c.on_agent_status(
            &reports(91 + n, 2, vec![]),
            StatusOrigin::Heartbeat,
            64_000 + 400 * n,
        );
        let effects = c.take_effects();
        effects
            .iter()
            .any(|e| matches!(e, Effect::Terminate { .. }))
    });
    assert!(back, "then it is idle");
}
