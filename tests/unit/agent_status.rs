//! How the scheduler handles the statuses that agents report.

use crate::support::*;
use gaugesill::epoch::Epoch;
use gaugesill::job::{JobRecord, Priority, Shape, TaskRun};
use gaugesill::machine::TaskPhase;
use gaugesill::plan;
use gaugesill::scheduler::{Effect, Scheduler, StartPermission, StatusOrigin, TerminationOutcome};
use gaugesill::watch_cache::LiveJob;
use gaugesill::wire::Incarnation;
use gaugesill::wire::{AgentStatus, CommandVerb, TaskStatus};
use std::sync::Arc;

/// A status that was held back arrives after its machine's deletion: it does not bring the
/// machine back.
#[test]
fn a_late_status_of_a_deleted_machine_is_ignored() {
    let mut scheduler = control("[]");
    let report = |serial| AgentStatus {
        machine: "m-000001".into(),
        endpoint: "10.1.0.1:9".into(),
        machine_type: "small".into(),
        zone: "a".into(),
        spot: false,
        incarnation: Incarnation::new(1),
        serial,
        epoch: Epoch::new(2),
        interruption_in_s: None,
        tasks: vec![],
    };
    scheduler.on_agent_status(&report(4), StatusOrigin::Heartbeat, 2000);
    assert!(scheduler.machines.contains_key("m-000001"));
    scheduler.on_termination_outcome(
        &["m-000001".to_string()],
        TerminationOutcome::Confirmed,
        3000,
    );
    scheduler.on_agent_status(&report(5), StatusOrigin::Heartbeat, 90_000);
    assert!(scheduler.machines.is_empty());
}

/// Found on a day with 150 faulty machines: a job that had failed on one before was blamed for
/// the next failure, so faulty machines stayed for two minutes, and good jobs backed off. A
/// machine on which several jobs fail is faulty, and so is one on which a job fails that has
/// run elsewhere; a job that fails everywhere and has never run costs one machine.
#[test]
fn faulty_machines_are_told_from_faulty_jobs() {
    let mut scheduler = control("[]");
    let mut serial = 0;
    let mut fails = |scheduler: &mut Scheduler, id: &str, task: u32| {
        serial += 1;
        let mut status = report(&format!("m-{task}"), serial, 2);
        status.tasks.push(TaskStatus {
            task: format!("{id}/{task}"),
            attempt: 1,
            status: "ended".into(),
            cause: Some("error".into()),
            kept: None,
        });
        scheduler.on_agent_status(&status, StatusOrigin::Heartbeat, 1000 + serial);
    };
    let leaves = |scheduler: &Scheduler| -> Vec<bool> {
        let leaves = |number| {
            scheduler.machines[&format!("m-{number}")]
                .termination_reason
                .is_some()
        };
        (0..4).map(leaves).collect()
    };
    for id in ["run-000001", "run-000002", "run-000003"] {
        let mut record = JobRecord::new(spec(Shape::Array, 9, 1.0, Priority::Normal), 0);
        record.runs = (0..4)
            .map(|number| TaskRun::single(number, 1, format!("m-{number}")))
            .collect();
        if id == "run-000003" {
            record.done.insert(8);
        }
        add_record(&mut scheduler, id, record);
    }
    // A faulty job: it fails on one machine after the other.
    fails(&mut scheduler, "run-000001", 0);
    fails(&mut scheduler, "run-000001", 1);
    fails(&mut scheduler, "run-000001", 2);
    assert_eq!(leaves(&scheduler), [true, false, false, false]);
    // Another job, which has failed elsewhere, fails there as well.
    fails(&mut scheduler, "run-000002", 0);
    fails(&mut scheduler, "run-000002", 2);
    assert_eq!(leaves(&scheduler), [true, false, true, false]);
    // A job that has run elsewhere.
    fails(&mut scheduler, "run-000003", 0);
    fails(&mut scheduler, "run-000003", 3);
    assert_eq!(leaves(&scheduler), [true, false, true, true]);
}

/// A status with an older epoch than the leader's may be a late copy of a deleted machine's, or
/// come from a machine that the leader's answers do not reach: it gets no work.
#[test]
fn no_work_for_a_machine_without_our_epoch() {
    let mut scheduler = control("[]");
    scheduler.on_agent_status(&report("m-0", 7, 1), StatusOrigin::Heartbeat, 1000);
    assert!(scheduler.snapshot(1000, 1_000_000).machines.is_empty());
    scheduler.on_agent_status(&report("m-0", 8, 2), StatusOrigin::Heartbeat, 1500);
    assert_eq!(scheduler.snapshot(1500, 1_000_500).machines.len(), 1);
    // A copy of an old status changes nothing.
    scheduler.on_agent_status(&report("m-0", 7, 1), StatusOrigin::Heartbeat, 2000);
    assert_eq!(scheduler.snapshot(2000, 1_001_000).machines.len(), 1);
}

/// A task gave up waiting for its gang, was cleared and started again under the same attempt;
/// then the leader changed. A copy of the status with its first exit does not prove that it
/// has exited: it shows an older epoch than the leader's.
#[test]
fn a_status_from_before_a_second_start_proves_nothing() {
    let mut scheduler = successor(Shape::Array, 1);
    for (serial, tasks) in [
        (3, vec![task("run-1/0", 1, "ended", Some("alone"))]),
        // Nor does a status from the moment at which it was cleared.
        (4, vec![]),
        (5, vec![task("run-1/0", 1, "ended", Some("alone"))]),
    ] {
        let status = reports(serial, 1, tasks);
        scheduler.on_agent_status(&status, StatusOrigin::Heartbeat, 1200);
        assert_eq!(scheduler.jobs["run-1"].placements.len(), 1, "{status:?}");
        assert_eq!(
            scheduler.heartbeat_response_commands(&status, StartPermission::Granted, 1200),
            [],
            "no task may be cleared"
        );
    }
    let status = reports(9, 2, vec![task("run-1/0", 1, "running", None)]);
    scheduler.on_agent_status(&status, StatusOrigin::Heartbeat, 1500);
    assert_eq!(
        scheduler.jobs["run-1"].placements[0].phase,
        Some(TaskPhase::Running)
    );
    // With the leader's epoch the exit counts.
    let status = reports(10, 2, vec![task("run-1/0", 1, "ended", Some("alone"))]);
    scheduler.on_agent_status(&status, StatusOrigin::Heartbeat, 2500);
    assert!(scheduler.jobs["run-1"].placements.is_empty());
}

/// Found by `new_machines_at_once_while_writes_lag`: a task was preempted, or exited, another was
/// placed and recorded, and the leader crashed before it could remove the first placement from
/// the record. Its successor finds both on record and one on the machine: starting the other
/// would exceed the machine's capacity or the quota limit.
#[test]
fn a_placement_without_capacity_is_not_started_again() {
    // Capacity for both and no limit; too little capacity; too low a limit.
    for (cpus, limit, kept) in [(4.0, 0.0, 1), (20.0, 0.0, 0), (4.0, 7.0, 0)] {
        let mut scheduler = control_of(
            &format!(r#"[{{"name":"t","cpus_max":{limit:.1}}}]"#),
            "[]",
            "3.0",
        );
        for id in ["run-1", "run-2"] {
            let mut record = JobRecord::new(spec(Shape::Array, 1, cpus, Priority::Low), 1_000_000);
            record.runs = vec![TaskRun::single(0, 1, "m-0")];
            record.next_attempt = 2;
            add_record(&mut scheduler, id, record);
        }
        let there = task("run-2/0", 1, "running", None);
        let status = reports(1, 2, vec![there.clone()]);
        scheduler.on_agent_status(&status, StatusOrigin::Heartbeat, 1500);
        assert_eq!(
            scheduler.jobs["run-1"].placements.len(),
            kept,
            "{cpus} {limit}"
        );
        assert_eq!(scheduler.jobs["run-2"].placements.len(), 1);
        let starts = scheduler.heartbeat_response_commands(&status, StartPermission::Granted, 1500);
        assert_eq!(starts.len(), kept);
    }
}

/// An agent answers an inspection while the answer to its heartbeat, which clears a task and
/// starts it again under the same attempt, is still on its way: the first exit in its status
/// proves nothing about the second start.
#[test]
fn an_inspection_that_overtakes_a_second_start_proves_nothing() {
    let mut scheduler = successor(Shape::Gang, 1);
    let alone = || vec![task("run-1/0", 1, "ended", Some("alone"))];
    let status = reports(3, 2, alone());
    scheduler.on_agent_status(&status, StatusOrigin::Heartbeat, 1500);
    let verbs: Vec<CommandVerb> = scheduler
        .heartbeat_response_commands(&status, StartPermission::Granted, 1500)
        .into_iter()
        .map(|command| command.verb)
        .collect();
    assert_eq!(verbs, [CommandVerb::Clear, CommandVerb::Start]);
    // By now the gang's wait is over, so that an exit would be plausible.
    scheduler.on_agent_status(
        &reports(4, 2, alone()),
        StatusOrigin::DirectResponse,
        400_000,
    );
    assert_eq!(scheduler.jobs["run-1"].placements.len(), 1);
    scheduler.on_agent_status(&reports(5, 2, alone()), StatusOrigin::Heartbeat, 400_100);
    assert!(
        scheduler.jobs["run-1"].placements.is_empty(),
        "a later heartbeat proves the exit"
    );
}

/// An answer had no effect once, and no further commands followed: the suspicion ends when the
/// same incarnation has outlasted a lease.
#[test]
fn suspicion_of_a_machine_ends() {
    let mut scheduler = successor(Shape::Array, 1);
    let runs = || vec![task("run-1/0", 1, "running", None)];
    let mut with_orphan = runs();
    with_orphan.push(task("run-7/0", 1, "ended", Some("stopped")));
    let status = reports(1, 2, with_orphan.clone());
    scheduler.on_agent_status(&status, StatusOrigin::Heartbeat, 2000);
    assert_eq!(
        scheduler
            .heartbeat_response_commands(&status, StartPermission::Granted, 2000)
            .len(),
        1,
        "the task must be cleared"
    );
    scheduler.on_agent_status(&reports(2, 2, with_orphan), StatusOrigin::Heartbeat, 5000);
    let is_usable = |scheduler: &mut Scheduler, now| {
        !scheduler.snapshot(now, 1_000_000 + now).machines.is_empty()
    };
    assert!(!is_usable(&mut scheduler, 5000), "the answer had no effect");
    for round in 0..16 {
        let now = 8000 + 3000 * round;
        scheduler.on_agent_status(&reports(3 + round, 2, runs()), StatusOrigin::Heartbeat, now);
        assert_eq!(is_usable(&mut scheduler, now), now > 5000 + 39_000, "{now}");
    }
}

/// A job that fails everywhere backs off for a bounded time, and may then be placed on any
/// machine again.
#[test]
#[expect(clippy::too_many_lines, reason = "one scenario, told step by step")]
fn backoff_and_avoidance_of_machines_end() {
    let mut scheduler = control("[]");
    for number in 0..9 {
        scheduler.on_agent_status(
            &report(&format!("m-{number}"), 1, 2),
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
    scheduler.apply_record("run-1", &live, 1000);
    let mut now = 1000;
    for round in 0..9u64 {
        let machine = format!("m-{round}");
        scheduler.on_agent_status(
            &report(&machine, 3 * round + 2, 2),
            StatusOrigin::Heartbeat,
            now,
        );
        let decision = plan::Decision {
            placements: vec![plan::PlannedPlacement {
                job: "run-1".into(),
                tasks: vec![plan::TaskBinding {
                    task: 0,
                    machine: machine.as_str().into(),
                }],
            }],
            ..Default::default()
        };
        scheduler.apply_decision(decision, 0, now, 1_000_000 + now);
        let attempt = scheduler.jobs["run-1"].placements[0].attempt;
        let tasks = vec![task("run-1/0", attempt, "ended", Some("error"))];
        let status = AgentStatus {
            tasks,
            ..report(&machine, 3 * round + 3, 2)
        };
        scheduler.on_agent_status(&status, StatusOrigin::Heartbeat, now);
        let ready = |scheduler: &mut Scheduler, at: u64| {
            !scheduler.snapshot(at, 1_000_000 + at).jobs[0].backing_off
        };
        assert!(
            ready(&mut scheduler, now + 36_100),
            "after {round} failures"
        );
        let snapshot = scheduler.snapshot(now + 73_000, 1_073_000 + now);
        assert!(snapshot.jobs[0].avoided_machines.is_empty());
        now += 37_000;
    }
}

/// Found on lean lenteks, rough: a successor with a small share of a processor answered
/// heartbeats after their agents had given up, considered the machines unable to receive, and
/// terminated 150 healthy ones; others it gave up for missing heartbeats that it had not read
/// itself.
#[test]
fn a_lagging_leader_suspects_no_machine() {
    for (delay_ms, ineffective_responses) in [(0, 2), (3000, 0)] {
        let mut scheduler = control("[]");
        for serial in 1..=3 {
            let now = 1000 + 3000 * serial;
            scheduler.on_read_delay(delay_ms, now);
            let status = report("m-0", serial, 1);
            scheduler.on_agent_status(&status, StatusOrigin::Heartbeat, now);
            // The answer has the leader's epoch, and the next heartbeat does not show it.
            scheduler.heartbeat_response_commands(&status, StartPermission::Granted, now);
        }
        assert_eq!(
            scheduler.machines["m-0"].ineffective_responses, ineffective_responses,
            "{delay_ms} ms behind"
        );
    }
    let lost = |delay_ms: u64| {
        let mut scheduler = busy_machines("3.0");
        scheduler.set_redirected_elsewhere(Some(0));
        (1000..60_000).step_by(200).find(|now| {
            scheduler.on_read_delay(delay_ms, *now);
            scheduler.tick(*now, 1, 0);
            let effects = scheduler.take_effects();
            effects
                .iter()
                .any(|effect| matches!(effect, Effect::Terminate { .. }))
        })
    };
    let (soon, late) = (lost(0).expect("given up"), lost(3000).expect("given up"));
    assert!(
        soon < 25_000 && late > 36_000,
        "without delay half a lease: {soon}, with delay a whole one: {late}"
    );
}

/// An overloaded controller does not inspect agents whose heartbeats will come anyway.
#[test]
fn an_overloaded_leader_sends_no_probes() {
    let asks = |delay_ms: u64| {
        let mut scheduler = busy_machines("3.0");
        (1000..12_000).step_by(200).any(|now| {
            scheduler.on_read_delay(delay_ms, now);
            scheduler.tick(now, 1, 0);
            let effects = scheduler.take_effects();
            effects
                .iter()
                .any(|effect| matches!(effect, Effect::Inspect { .. }))
        })
    };
    assert!(asks(100) && !asks(1000));
}
