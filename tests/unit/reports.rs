//! What the scheduler makes of reports.

use crate::support::*;
use gaugesill::job::{JobRecord, Priority, Shape, TaskRun};
use gaugesill::machine::TaskPhase;
use gaugesill::plan::{self};
use gaugesill::scheduler::{Effect, Scheduler, StatusOrigin};
use gaugesill::watch_cache::LiveJob;

use gaugesill::wire::{self, AgentStatus, CommandVerb, TaskStatus};
use std::sync::Arc;

/// A report that was held back arrives after its machine's deletion: it does
/// not bring the machine back.
#[test]
fn a_late_report_of_a_deleted_machine_is_ignored() {
    let mut c = control("[]");
    let report = |serial| wire::AgentStatus {
        machine: "m-000001".into(),
        endpoint: "10.1.0.1:9".into(),
        machine_type: "small".into(),
        zone: "a".into(),
        spot: false,
        incarnation: 1,
        serial,
        epoch: 2,
        interruption_in_s: None,
        tasks: vec![],
    };
    c.on_agent_status(&report(4), StatusOrigin::Heartbeat, 2000);
    assert!(c.machines.contains_key("m-000001"));
    c.on_termination_outcome(&["m-000001".to_string()], true, 3000);
    c.on_agent_status(&report(5), StatusOrigin::Heartbeat, 90_000);
    assert!(c.machines.is_empty());
}

/// Found on a day with 150 sick machines: a job that had failed on one before
/// was blamed for the next, so sick machines stayed for two minutes, and good
/// jobs rested. A machine that fails several jobs is sick, and so is one that
/// fails a job that has run elsewhere; a job that fails wherever it comes to and
/// has never run costs one machine.
#[test]
fn faulty_machines_are_told_from_faulty_jobs() {
    let mut c = control("[]");
    let mut serial = 0;
    let mut fails = |c: &mut Scheduler, id: &str, task: u32| {
        serial += 1;
        let mut r = report(&format!("m-{task}"), serial, 2);
        r.tasks.push(TaskStatus {
            task: format!("{id}/{task}"),
            attempt: 1,
            status: "ended".into(),
            cause: Some("error".into()),
            kept: None,
        });
        c.on_agent_status(&r, StatusOrigin::Heartbeat, 1000 + serial);
    };
    let leaves = |c: &Scheduler| -> Vec<bool> {
        let m = |n| c.machines[&format!("m-{n}")].termination_reason.is_some();
        (0..4).map(m).collect()
    };
    for id in ["run-000001", "run-000002", "run-000003"] {
        let mut record = JobRecord::new(spec(Shape::Array, 9, 1.0, Priority::Normal), 0);
        record.runs = (0..4)
            .map(|m| TaskRun::single(m, 1, format!("m-{m}")))
            .collect();
        if id == "run-000003" {
            record.done.insert(8);
        }
        let live = LiveJob {
            record: Arc::new(record),
            version: 1,
        };
        c.apply_record(id, &live, 1000);
    }
    // At fault: it fails on one machine after the other.
    fails(&mut c, "run-000001", 0);
    fails(&mut c, "run-000001", 1);
    fails(&mut c, "run-000001", 2);
    assert_eq!(leaves(&c), [true, false, false, false]);
    // Another job, which failed elsewhere before, fails there as well.
    fails(&mut c, "run-000002", 0);
    fails(&mut c, "run-000002", 2);
    assert_eq!(leaves(&c), [true, false, true, false]);
    // One that has run elsewhere.
    fails(&mut c, "run-000003", 0);
    fails(&mut c, "run-000003", 3);
    assert_eq!(leaves(&c), [true, false, true, true]);
}

/// A report that shows an older token than ours may be a late copy of a machine
/// that is gone, or one that our answers don't reach: no work goes there.
#[test]
fn no_work_for_a_machine_without_our_epoch() {
    let mut c = control("[]");
    c.on_agent_status(&report("m-0", 7, 1), StatusOrigin::Heartbeat, 1000);
    assert!(c.snapshot(1000, 1_000_000).machines.is_empty());
    c.on_agent_status(&report("m-0", 8, 2), StatusOrigin::Heartbeat, 1500);
    assert_eq!(c.snapshot(1500, 1_000_500).machines.len(), 1);
    // A copy of an old one changes nothing.
    c.on_agent_status(&report("m-0", 7, 1), StatusOrigin::Heartbeat, 2000);
    assert_eq!(c.snapshot(2000, 1_001_000).machines.len(), 1);
}

/// A task gave up waiting for its gang, was cleared and started again under its
/// attempt; then the leader changed. A copy of the report of its first end is no
/// proof that it is not there: it shows an older token than ours.
#[test]
fn a_report_from_before_a_second_start_proves_nothing() {
    let mut c = successor(Shape::Array, 1);
    for (serial, tasks) in [
        (3, vec![task("run-1/0", 1, "ended", Some("alone"))]),
        // Nor is one of the moment at which it was cleared.
        (4, vec![]),
        (5, vec![task("run-1/0", 1, "ended", Some("alone"))]),
    ] {
        let r = reports(serial, 1, tasks);
        c.on_agent_status(&r, StatusOrigin::Heartbeat, 1200);
        assert_eq!(c.jobs["run-1"].placements.len(), 1, "{r:?}");
        assert_eq!(
            c.answer_commands(&r, true, 1200),
            [],
            "nothing to be forgotten"
        );
    }
    let r = reports(9, 2, vec![task("run-1/0", 1, "running", None)]);
    c.on_agent_status(&r, StatusOrigin::Heartbeat, 1500);
    assert_eq!(
        c.jobs["run-1"].placements[0].phase,
        Some(TaskPhase::Running)
    );
    // With our token the end counts.
    let r = reports(10, 2, vec![task("run-1/0", 1, "ended", Some("alone"))]);
    c.on_agent_status(&r, StatusOrigin::Heartbeat, 2500);
    assert!(c.jobs["run-1"].placements.is_empty());
}

/// Found by `new_machines_at_once_while_writes_lag`: a task was stopped to make capacity, or
/// ended, another was placed and recorded, and the leader ended before it could strike the
/// first off. Its successor finds both on record and one on the machine: to start the other
/// in its place would go beyond the machine's capacity or the team's limit.
#[test]
fn a_place_that_was_given_away_is_not_used_again() {
    // capacity for both and no limit; too little capacity; too low a limit.
    for (cpus, limit, kept) in [(4.0, 0.0, 1), (20.0, 0.0, 0), (4.0, 7.0, 0)] {
        let mut c = control_of(
            &format!(r#"[{{"name":"t","cpus_max":{limit:.1}}}]"#),
            "[]",
            "3.0",
        );
        for id in ["run-1", "run-2"] {
            let mut record = JobRecord::new(spec(Shape::Array, 1, cpus, Priority::Low), 1_000_000);
            record.runs = vec![TaskRun::single(0, 1, "m-0")];
            record.next_attempt = 2;
            let live = LiveJob {
                record: Arc::new(record),
                version: 1,
            };
            c.apply_record(id, &live, 1000);
        }
        let there = task("run-2/0", 1, "running", None);
        let r = reports(1, 2, vec![there.clone()]);
        c.on_agent_status(&r, StatusOrigin::Heartbeat, 1500);
        assert_eq!(c.jobs["run-1"].placements.len(), kept, "{cpus} {limit}");
        assert_eq!(c.jobs["run-2"].placements.len(), 1);
        let starts = c.answer_commands(&r, true, 1500);
        assert_eq!(starts.len(), kept);
    }
}

/// An agent answers a direct question while the answer that clears a task and starts
/// it again under its attempt is still on its way to it: what it says of the first
/// end says nothing of the second start.
#[test]
fn an_inspection_that_overtakes_a_second_start_proves_nothing() {
    let mut c = successor(Shape::Gang, 1);
    let alone = || vec![task("run-1/0", 1, "ended", Some("alone"))];
    let r = reports(3, 2, alone());
    c.on_agent_status(&r, StatusOrigin::Heartbeat, 1500);
    let verbs: Vec<CommandVerb> = c
        .answer_commands(&r, true, 1500)
        .into_iter()
        .map(|o| o.verb)
        .collect();
    assert_eq!(verbs, [CommandVerb::Clear, CommandVerb::Start]);
    // By now the gang's wait is over, so an end would be one.
    c.on_agent_status(
        &reports(4, 2, alone()),
        StatusOrigin::DirectResponse,
        400_000,
    );
    assert_eq!(c.jobs["run-1"].placements.len(), 1);
    c.on_agent_status(&reports(5, 2, alone()), StatusOrigin::Heartbeat, 400_100);
    assert!(
        c.jobs["run-1"].placements.is_empty(),
        "a later check-in tells"
    );
}

/// An answer showed no effect once, and then there was nothing more to tell: the
/// doubt ends when the same incarnation has outlasted a lease.
#[test]
fn suspicion_of_a_machine_ends() {
    let mut c = successor(Shape::Array, 1);
    let runs = || vec![task("run-1/0", 1, "running", None)];
    let mut gone = runs();
    gone.push(task("run-7/0", 1, "ended", Some("stopped")));
    let r = reports(1, 2, gone.clone());
    c.on_agent_status(&r, StatusOrigin::Heartbeat, 2000);
    assert_eq!(
        c.answer_commands(&r, true, 2000).len(),
        1,
        "told to forget it"
    );
    c.on_agent_status(&reports(2, 2, gone), StatusOrigin::Heartbeat, 5000);
    let able = |c: &mut Scheduler, now| !c.snapshot(now, 1_000_000 + now).machines.is_empty();
    assert!(!able(&mut c, 5000), "the answer showed no effect");
    for n in 0..16 {
        let now = 8000 + 3000 * n;
        c.on_agent_status(&reports(3 + n, 2, runs()), StatusOrigin::Heartbeat, now);
        assert_eq!(able(&mut c, now), now > 5000 + 39_000, "{now}");
    }
}

/// What fails everywhere rests, but not for ever longer, and then may go to any
/// machine again.
#[test]
fn rests_and_avoided_machines_end() {
    let mut c = control("[]");
    for n in 0..9 {
        c.on_agent_status(
            &report(&format!("m-{n}"), 1, 2),
            StatusOrigin::Heartbeat,
            1000,
        );
    }
    let live = LiveJob {
        record: Arc::new(JobRecord::new(
            spec(Shape::Array, 1, 8.0, Priority::Normal),
            1_000_000,
        )),
        version: 1,
    };
    c.apply_record("run-1", &live, 1000);
    let mut now = 1000;
    for n in 0..9u64 {
        let machine = format!("m-{n}");
        c.on_agent_status(
            &report(&machine, 3 * n + 2, 2),
            StatusOrigin::Heartbeat,
            now,
        );
        let d = plan::Decision {
            placements: vec![plan::PlannedPlacement {
                job: "run-1".into(),
                tasks: vec![(0, machine.as_str().into())],
            }],
            ..Default::default()
        };
        c.apply_decision(d, 0, now, 1_000_000 + now);
        let attempt = c.jobs["run-1"].placements[0].attempt;
        let tasks = vec![task("run-1/0", attempt, "ended", Some("error"))];
        let r = AgentStatus {
            tasks,
            ..report(&machine, 3 * n + 3, 2)
        };
        c.on_agent_status(&r, StatusOrigin::Heartbeat, now);
        let ready = |c: &mut Scheduler, t: u64| !c.snapshot(t, 1_000_000 + t).jobs[0].backing_off;
        assert!(ready(&mut c, now + 36_100), "after {n} failures");
        let s = c.snapshot(now + 73_000, 1_073_000 + now);
        assert!(s.jobs[0].avoided_machines.is_empty());
        now += 37_000;
    }
}

/// Found on lean lenteks, rough: a successor on a small share of a processor
/// answered heartbeats after their agents had given up, took the machines for deaf,
/// and gave 150 sound ones back; others it gave up for a silence that was its own.
#[test]
fn a_lagging_leader_suspects_no_machine() {
    for (behind, doubts) in [(0, 2), (3000, 0)] {
        let mut c = control("[]");
        for serial in 1..=3 {
            let now = 1000 + 3000 * serial;
            c.on_read_delay(behind, now);
            let r = report("m-0", serial, 1);
            c.on_agent_status(&r, StatusOrigin::Heartbeat, now);
            // The answer brings our token, and the next heartbeat does not show it.
            c.answer_commands(&r, true, now);
        }
        assert_eq!(
            c.machines["m-0"].ineffective_answers, doubts,
            "{behind} ms behind"
        );
    }
    let lost = |behind: u64| {
        let mut c = busy_machines("3.0");
        c.set_redirected_elsewhere(Some(0));
        (1000..60_000).step_by(200).find(|now| {
            c.on_read_delay(behind, *now);
            c.tick(*now, 1, 0);
            let effects = c.take_effects();
            effects
                .iter()
                .any(|e| matches!(e, Effect::Terminate { .. }))
        })
    };
    let (soon, late) = (lost(0).expect("given up"), lost(3000).expect("given up"));
    assert!(
        soon < 25_000 && late > 36_000,
        "half a lease: {soon}, a whole one: {late}"
    );
}

/// What comes by itself is not asked for by a controller that is overloaded.
#[test]
fn an_overloaded_leader_sends_no_probes() {
    let asks = |waited: u64| {
        let mut c = busy_machines("3.0");
        (1000..12_000).step_by(200).any(|now| {
            c.on_read_delay(waited, now);
            c.tick(now, 1, 0);
            let effects = c.take_effects();
            effects.iter().any(|e| matches!(e, Effect::Inspect { .. }))
        })
    };
    assert!(asks(100) && !asks(1000));
}
