//! The scheduler's snapshots for the planner, and the provisioning that follows from plans.

use crate::support::*;
use gaugesill::job::{JobRecord, Priority, Shape, TaskRun};
use gaugesill::plan::run_cycle;
use gaugesill::scheduler::{Effect, StatusOrigin};
use std::sync::Arc;

/// Guards against starvation (inc-8ccc): gangs that had missed every objective were overtaken by
/// new ones for minutes. A job is ordered by its next reachable objective, then by none, and once
/// three boot times have passed it is placed first.
#[test]
fn a_job_that_missed_all_objectives_is_not_starved() {
    let mut scheduler = scheduler_with_objectives(
        r#"[{"kind":"wait","class":"c","within_s":25.0},
            {"kind":"finished","class":"c","within_s":60.0},
            {"kind":"wait","class":"other","within_s":500.0}]"#,
    );
    let record = JobRecord::new(spec(Shape::Gang, 1, 4.0, Priority::Normal), 1_000_000);
    add_record(&mut scheduler, "run-1", record);
    let mut view_after = |after_s: u64| {
        let snapshot = scheduler.snapshot(1000 + 1000 * after_s, 1_000_000 + 1000 * after_s);
        (snapshot.jobs[0].start_by_s, snapshot.jobs[0].overdue)
    };
    assert_eq!(view_after(5), (Some(1025.0), false));
    assert_eq!(
        view_after(30),
        (Some(1050.0), false),
        "the objective of 60 s can still be met"
    );
    assert_eq!(view_after(70), (None, false));
    assert_eq!(
        view_after(130),
        (None, true),
        "three boot times of 40 s have passed"
    );
    // The overdue job is placed before jobs that can still meet their objectives.
    let mut old = job("old", spec(Shape::Array, 9, 8.0, Priority::Low));
    old.start_by_s = None;
    old.overdue = true;
    let new = job("new", spec(Shape::Array, 1, 8.0, Priority::Low));
    let decision = run_cycle(snapshot(vec![machine("m1", "a", 8.0)], vec![new, old]));
    assert_eq!(&*decision.placements[0].job, "old");
}

/// A successor does not know the last machines that the previous leader rented. It waits for the
/// lag of the machine list before it rents, or it would rent the same machines again.
#[test]
fn a_successor_does_not_rent_twice() {
    let mut scheduler = scheduler_with_objectives("[]");
    let record = JobRecord::new(spec(Shape::Gang, 2, 4.0, Priority::Normal), 1_000_000);
    scheduler.on_machine_list(&[], 1000, 1000);
    add_record(&mut scheduler, "run-1", record);
    let mut rents = |now: u64| {
        let decision = run_cycle(scheduler.snapshot(now, 1_000_000));
        scheduler.apply_decision(decision, 3, now, 1_000_000);
        let effects = scheduler.take_effects();
        effects
            .iter()
            .any(|effect| matches!(effect, Effect::Provision { .. }))
    };
    assert!(!rents(1500), "the machine list lags by a second");
    assert!(rents(2100));
}

/// Guards against a new leader that placed no tasks during an outage of the cloud's API, although
/// the machines had sent heartbeats (found in a review of the code).
#[test]
fn a_successor_places_without_the_machine_list() {
    let mut scheduler = scheduler_with_heartbeat_interval("[]", "8.0");
    let record = JobRecord::new(spec(Shape::Gang, 2, 4.0, Priority::Normal), 1_000_000);
    add_record(&mut scheduler, "run-1", record);
    assert!(!scheduler.is_ready_to_plan(2000) && scheduler.is_ready_to_plan(9500));
    let mut plan = |now: u64| {
        let decision = run_cycle(scheduler.snapshot(now, 1_000_000));
        let placed = decision.placements.len();
        scheduler.apply_decision(decision, 3, now, 1_000_000);
        let effects = scheduler.take_effects();
        let rents = effects
            .iter()
            .any(|effect| matches!(effect, Effect::Provision { .. }));
        scheduler.on_agent_status(&agent_status("m-1", now, 2), StatusOrigin::Heartbeat, now);
        (placed, rents)
    };
    // Nothing is rented while the leader cannot know which machines already exist.
    assert_eq!(plan(9500), (0, false));
    assert_eq!(plan(9600), (1, false));
}

/// The cost of a snapshot is proportional to the changes: machines that did not change since the
/// previous snapshot are shared with it, not copied.
#[test]
fn a_snapshot_copies_only_what_changed() {
    let mut scheduler = scheduler_with_objectives("[]");
    for number in 0..3 {
        scheduler.on_agent_status(
            &agent_status(&format!("m-{number}"), 1, 2),
            StatusOrigin::Heartbeat,
            1000,
        );
    }
    let first = scheduler.snapshot(1000, 1_000_000).machines;
    assert_eq!(first.len(), 3);
    scheduler.on_agent_status(&agent_status("m-0", 2, 2), StatusOrigin::Heartbeat, 1500);
    let mut changes = agent_status("m-1", 2, 2);
    changes.spot = true;
    scheduler.on_agent_status(&changes, StatusOrigin::Heartbeat, 1500);
    let second = scheduler.snapshot(1500, 1_000_500).machines;
    let shared: Vec<bool> = first
        .iter()
        .zip(&second)
        .map(|(before, after)| Arc::ptr_eq(before, after))
        .collect();
    assert_eq!(shared, [true, false, true]);
}

/// A successor's records place tasks on a machine whose zone it does not know yet. Until it does,
/// it places no further tasks of a job with zone constraints.
#[test]
fn tasks_in_an_unknown_zone_postpone_jobs_with_zone_constraints() {
    let mut scheduler = scheduler_with_objectives("[]");
    let mut spread = spec(Shape::Array, 4, 1.0, Priority::Low);
    spread.spread = true;
    let mut record = JobRecord::new(spread, 1_000_000);
    record.runs = vec![TaskRun::from((0, 2, 1, "m-0".into()))];
    record.next_attempt = 2;
    add_record(&mut scheduler, "run-1", record);
    scheduler.on_agent_status(&agent_status("m-1", 1, 2), StatusOrigin::Heartbeat, 1500);
    assert!(scheduler.snapshot(1500, 1_001_500).jobs.is_empty());
    let runs = |number| task_status(&format!("run-1/{number}"), 1, "running", None);
    scheduler.on_agent_status(
        &status_of_m0(1, 2, vec![runs(0), runs(1)]),
        StatusOrigin::Heartbeat,
        1600,
    );
    let snapshot = scheduler.snapshot(1600, 1_001_600);
    assert_eq!(snapshot.jobs[0].zones.get("a"), Some(&2));
    let decision = run_cycle(snapshot);
    assert!(
        decision.placements.is_empty(),
        "zone a already has half of the tasks"
    );
}
