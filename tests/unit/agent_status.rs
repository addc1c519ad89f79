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

/// A delayed status that arrives after its machine's deletion must not add the machine again.
#[test]
fn a_late_status_of_a_deleted_machine_is_ignored() {
    let mut scheduler = scheduler_with_objectives("[]");
    let status = |serial| AgentStatus {
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
    scheduler.on_agent_status(&status(4), StatusOrigin::Heartbeat, 2000);
    assert!(scheduler.machines.contains_key("m-000001"));
    scheduler.on_termination_outcome(
        &["m-000001".to_string()],
        TerminationOutcome::Confirmed,
        3000,
    );
    scheduler.on_agent_status(&status(5), StatusOrigin::Heartbeat, 90_000);
    assert!(scheduler.machines.is_empty());
}

/// Guards against blaming jobs for faulty machines: with 150 faulty machines, a job that had
/// failed on one of them was also blamed for its next failure, so faulty machines stayed in use
/// for two minutes and healthy jobs backed off. A machine counts as faulty if several jobs fail
/// on it, or a job that has run elsewhere; a job that fails everywhere costs one machine.
#[test]
fn faulty_machines_are_told_from_faulty_jobs() {
    let mut scheduler = scheduler_with_objectives("[]");
    let mut serial = 0;
    let mut report_failure = |scheduler: &mut Scheduler, id: &str, task: u32| {
        serial += 1;
        let mut status = agent_status(&format!("m-{task}"), serial, 2);
        status.tasks.push(TaskStatus {
            task: format!("{id}/{task}"),
            attempt: 1,
            status: "ended".into(),
            cause: Some("error".into()),
            kept: None,
        });
        scheduler.on_agent_status(&status, StatusOrigin::Heartbeat, 1000 + serial);
    };
    let terminated = |scheduler: &Scheduler| -> Vec<bool> {
        let is_terminated = |number| {
            scheduler.machines[&format!("m-{number}")]
                .termination_reason
                .is_some()
        };
        (0..4).map(is_terminated).collect()
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
    // A faulty job fails on one machine after the other.
    report_failure(&mut scheduler, "run-000001", 0);
    report_failure(&mut scheduler, "run-000001", 1);
    report_failure(&mut scheduler, "run-000001", 2);
    assert_eq!(terminated(&scheduler), [true, false, false, false]);
    // A second job, which has failed on another machine, fails on the same one.
    report_failure(&mut scheduler, "run-000002", 0);
    report_failure(&mut scheduler, "run-000002", 2);
    assert_eq!(terminated(&scheduler), [true, false, true, false]);
    // A job that has run on another machine fails.
    report_failure(&mut scheduler, "run-000003", 0);
    report_failure(&mut scheduler, "run-000003", 3);
    assert_eq!(terminated(&scheduler), [true, false, true, true]);
}

/// A status with an older epoch than the leader's may be a late copy from a deleted machine, or
/// come from a machine that does not receive the leader's answers: no tasks are placed on it.
#[test]
fn no_tasks_are_placed_on_a_machine_with_an_older_epoch() {
    let mut scheduler = scheduler_with_objectives("[]");
    scheduler.on_agent_status(&agent_status("m-0", 7, 1), StatusOrigin::Heartbeat, 1000);
    assert!(scheduler.snapshot(1000, 1_000_000).machines.is_empty());
    scheduler.on_agent_status(&agent_status("m-0", 8, 2), StatusOrigin::Heartbeat, 1500);
    assert_eq!(scheduler.snapshot(1500, 1_000_500).machines.len(), 1);
    // A copy of an old status changes nothing.
    scheduler.on_agent_status(&agent_status("m-0", 7, 1), StatusOrigin::Heartbeat, 2000);
    assert_eq!(scheduler.snapshot(2000, 1_001_000).machines.len(), 1);
}

/// A task timed out waiting for its gang, was cleared and started again under the same attempt;
/// then the leader changed. A late copy of the status with the first exit has an older epoch than
/// the leader's, so it must not count as the exit of the second start.
#[test]
fn a_status_from_before_a_second_start_does_not_count() {
    let mut scheduler = scheduler_with_placed_job(Shape::Array, 1);
    for (serial, tasks) in [
        (3, vec![task_status("run-1/0", 1, "ended", Some("alone"))]),
        // A status from after the task was cleared does not count either.
        (4, vec![]),
        (5, vec![task_status("run-1/0", 1, "ended", Some("alone"))]),
    ] {
        let status = status_of_m0(serial, 1, tasks);
        scheduler.on_agent_status(&status, StatusOrigin::Heartbeat, 1200);
        assert_eq!(scheduler.jobs["run-1"].placements.len(), 1, "{status:?}");
        assert_eq!(
            scheduler.heartbeat_response_commands(&status, StartPermission::Granted, 1200),
            [],
            "no task may be cleared"
        );
    }
    let status = status_of_m0(9, 2, vec![task_status("run-1/0", 1, "running", None)]);
    scheduler.on_agent_status(&status, StatusOrigin::Heartbeat, 1500);
    assert_eq!(
        scheduler.jobs["run-1"].placements[0].phase,
        Some(TaskPhase::Running)
    );
    // An exit in a status with the leader's epoch counts.
    let status = status_of_m0(
        10,
        2,
        vec![task_status("run-1/0", 1, "ended", Some("alone"))],
    );
    scheduler.on_agent_status(&status, StatusOrigin::Heartbeat, 2500);
    assert!(scheduler.jobs["run-1"].placements.is_empty());
}

/// Seen in `new_machines_at_once_while_writes_lag`: a task was preempted or exited, another was
/// placed and recorded, and the leader crashed before it removed the first placement from the
/// record. Its successor finds both placements on record and one task on the machine; starting
/// the other task would exceed the machine's capacity or the quota limit.
#[test]
fn a_placement_without_capacity_is_not_started_again() {
    // Cases: capacity for both and no limit; too little capacity; too low a limit.
    for (cpus, limit, kept) in [(4.0, 0.0, 1), (20.0, 0.0, 0), (4.0, 7.0, 0)] {
        let mut scheduler = scheduler_with_teams(
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
        let running = task_status("run-2/0", 1, "running", None);
        let status = status_of_m0(1, 2, vec![running.clone()]);
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
/// starts it again under the same attempt, is still in flight. The exit in the inspected status
/// belongs to the first start and must not count as the exit of the second.
#[test]
fn an_inspection_before_a_second_start_does_not_count() {
    let mut scheduler = scheduler_with_placed_job(Shape::Gang, 1);
    let gang_timeout = || vec![task_status("run-1/0", 1, "ended", Some("alone"))];
    let status = status_of_m0(3, 2, gang_timeout());
    scheduler.on_agent_status(&status, StatusOrigin::Heartbeat, 1500);
    let verbs: Vec<CommandVerb> = scheduler
        .heartbeat_response_commands(&status, StartPermission::Granted, 1500)
        .into_iter()
        .map(|command| command.verb)
        .collect();
    assert_eq!(verbs, [CommandVerb::Clear, CommandVerb::Start]);
    // The gang's wait has timed out by now, so that an exit would be plausible.
    scheduler.on_agent_status(
        &status_of_m0(4, 2, gang_timeout()),
        StatusOrigin::DirectResponse,
        400_000,
    );
    assert_eq!(scheduler.jobs["run-1"].placements.len(), 1);
    scheduler.on_agent_status(
        &status_of_m0(5, 2, gang_timeout()),
        StatusOrigin::Heartbeat,
        400_100,
    );
    assert!(
        scheduler.jobs["run-1"].placements.is_empty(),
        "an exit in a later heartbeat counts"
    );
}

/// A machine that did not execute the commands of an answer is suspected of receiving none. If no
/// further commands follow, the suspicion ends once the same incarnation has outlasted a lease.
#[test]
fn a_machine_is_usable_again_when_its_incarnation_outlasts_a_lease() {
    let mut scheduler = scheduler_with_placed_job(Shape::Array, 1);
    let runs = || vec![task_status("run-1/0", 1, "running", None)];
    let mut with_orphan = runs();
    with_orphan.push(task_status("run-7/0", 1, "ended", Some("stopped")));
    let status = status_of_m0(1, 2, with_orphan.clone());
    scheduler.on_agent_status(&status, StatusOrigin::Heartbeat, 2000);
    assert_eq!(
        scheduler
            .heartbeat_response_commands(&status, StartPermission::Granted, 2000)
            .len(),
        1,
        "the task must be cleared"
    );
    scheduler.on_agent_status(
        &status_of_m0(2, 2, with_orphan),
        StatusOrigin::Heartbeat,
        5000,
    );
    let is_usable = |scheduler: &mut Scheduler, now| {
        !scheduler.snapshot(now, 1_000_000 + now).machines.is_empty()
    };
    assert!(!is_usable(&mut scheduler, 5000), "the answer had no effect");
    for round in 0..16 {
        let now = 8000 + 3000 * round;
        scheduler.on_agent_status(
            &status_of_m0(3 + round, 2, runs()),
            StatusOrigin::Heartbeat,
            now,
        );
        assert_eq!(is_usable(&mut scheduler, now), now > 5000 + 39_000, "{now}");
    }
}

/// A job that fails on every machine backs off for a bounded time, and may then be placed on any
/// machine again.
#[test]
#[expect(clippy::too_many_lines, reason = "one scenario, step by step")]
fn backoff_and_avoidance_of_machines_end() {
    let mut scheduler = scheduler_with_objectives("[]");
    for number in 0..9 {
        scheduler.on_agent_status(
            &agent_status(&format!("m-{number}"), 1, 2),
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
            &agent_status(&machine, 3 * round + 2, 2),
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
        let tasks = vec![task_status("run-1/0", attempt, "ended", Some("error"))];
        let status = AgentStatus {
            tasks,
            ..agent_status(&machine, 3 * round + 3, 2)
        };
        scheduler.on_agent_status(&status, StatusOrigin::Heartbeat, now);
        let is_ready = |scheduler: &mut Scheduler, at: u64| {
            !scheduler.snapshot(at, 1_000_000 + at).jobs[0].backing_off
        };
        assert!(
            is_ready(&mut scheduler, now + 36_100),
            "after {round} failures"
        );
        let snapshot = scheduler.snapshot(now + 73_000, 1_073_000 + now);
        assert!(snapshot.jobs[0].avoided_machines.is_empty());
        now += 37_000;
    }
}

/// Guards against a failure of an overloaded leader: a successor with a small share of a processor
/// answered heartbeats after the agents had timed out, concluded that the machines receive no
/// answers, and terminated 150 healthy ones. It terminated others for missing heartbeats that had
/// arrived but that it had not read.
#[test]
fn a_leader_with_read_delay_suspects_no_machine() {
    for (delay_ms, ineffective_responses) in [(0, 2), (3000, 0)] {
        let mut scheduler = scheduler_with_objectives("[]");
        for serial in 1..=3 {
            let now = 1000 + 3000 * serial;
            scheduler.on_read_delay(delay_ms, now);
            let status = agent_status("m-0", serial, 1);
            scheduler.on_agent_status(&status, StatusOrigin::Heartbeat, now);
            // The answer carries the leader's epoch, but the next heartbeat does not.
            scheduler.heartbeat_response_commands(&status, StartPermission::Granted, now);
        }
        assert_eq!(
            scheduler.machines["m-0"].ineffective_responses, ineffective_responses,
            "read delay of {delay_ms} ms"
        );
    }
    let first_termination = |delay_ms: u64| {
        let mut scheduler = scheduler_with_busy_machines("3.0");
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
    let (soon, late) = (
        first_termination(0).expect("a termination"),
        first_termination(3000).expect("a termination"),
    );
    assert!(
        soon < 25_000 && late > 36_000,
        "expected half a lease without delay: {soon} ms, and a whole one with delay: {late} ms"
    );
}

/// An overloaded leader sends no inspections: the agents' heartbeats are only read late.
#[test]
fn an_overloaded_leader_sends_no_inspections() {
    let sends_inspections = |delay_ms: u64| {
        let mut scheduler = scheduler_with_busy_machines("3.0");
        (1000..12_000).step_by(200).any(|now| {
            scheduler.on_read_delay(delay_ms, now);
            scheduler.tick(now, 1, 0);
            let effects = scheduler.take_effects();
            effects
                .iter()
                .any(|effect| matches!(effect, Effect::Inspect { .. }))
        })
    };
    assert!(sends_inspections(100) && !sends_inspections(1000));
}
