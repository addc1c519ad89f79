//! The snapshots that the scheduler passes to the planner, and what it rents.

use crate::support::*;
use gaugesill::job::{JobRecord, Priority, Shape, TaskRun};
use gaugesill::plan::run_cycle;
use gaugesill::scheduler::{Effect, StatusOrigin};
use std::sync::Arc;

/// Found in inc-8ccc: gangs that had missed every objective were overtaken by new ones for
/// minutes. The next objective counts as long as there is one, then none, and after three boot
/// times the gang goes first.
#[test]
fn no_job_is_overtaken_for_ever() {
    let mut scheduler = control(
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
        "it can still be done in 60 s"
    );
    assert_eq!(view_after(70), (None, false));
    assert_eq!(
        view_after(130),
        (None, true),
        "three boot times of 40 s have passed"
    );
    // The overdue job goes before jobs that can still meet their objectives.
    let mut old = job("old", spec(Shape::Array, 9, 8.0, Priority::Low));
    old.start_by_s = None;
    old.overdue = true;
    let new = job("new", spec(Shape::Array, 1, 8.0, Priority::Low));
    let decision = run_cycle(snapshot(vec![machine("m1", "a", 8.0)], vec![new, old]));
    assert_eq!(&*decision.placements[0].job, "old");
}

/// A successor does not know what the previous leader rented last: it waits for as long as the
/// machine list lags, or it would rent the same machines again.
#[test]
fn a_successor_does_not_rent_twice() {
    let mut scheduler = control("[]");
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
    assert!(!rents(1500), "the list lags a second");
    assert!(rents(2100));
}

/// Found by reading the code: a new leader for which the cloud's interface was down placed
/// nothing until that was back, although the machines had sent heartbeats.
#[test]
fn a_successor_places_without_the_machine_list() {
    let mut scheduler = control_with("[]", "8.0");
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
        scheduler.on_agent_status(&report("m-1", now, 2), StatusOrigin::Heartbeat, now);
        (placed, rents)
    };
    // Nothing is rented: the machines that exist already cannot be known.
    assert_eq!(plan(9500), (0, false));
    assert_eq!(plan(9600), (1, false));
}

/// The work is in proportion to the changes: what did not change since the last snapshot is
/// shared with it, not copied.
#[test]
fn a_snapshot_copies_only_what_changed() {
    let mut scheduler = control("[]");
    for number in 0..3 {
        scheduler.on_agent_status(
            &report(&format!("m-{number}"), 1, 2),
            StatusOrigin::Heartbeat,
            1000,
        );
    }
    let first = scheduler.snapshot(1000, 1_000_000).machines;
    assert_eq!(first.len(), 3);
    scheduler.on_agent_status(&report("m-0", 2, 2), StatusOrigin::Heartbeat, 1500);
    let mut changes = report("m-1", 2, 2);
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

/// A successor finds a task on a machine of which it knows only the name: until it knows the
/// zone, it places no further tasks of a job with zone constraints.
#[test]
fn a_machine_of_unknown_zone_may_be_in_any() {
    let mut scheduler = control("[]");
    let mut spread = spec(Shape::Array, 4, 1.0, Priority::Low);
    spread.spread = true;
    let mut record = JobRecord::new(spread, 1_000_000);
    record.runs = vec![TaskRun::from((0, 2, 1, "m-0".into()))];
    record.next_attempt = 2;
    add_record(&mut scheduler, "run-1", record);
    scheduler.on_agent_status(&report("m-1", 1, 2), StatusOrigin::Heartbeat, 1500);
    assert!(scheduler.snapshot(1500, 1_001_500).jobs.is_empty());
    let runs = |number| task(&format!("run-1/{number}"), 1, "running", None);
    scheduler.on_agent_status(
        &reports(1, 2, vec![runs(0), runs(1)]),
        StatusOrigin::Heartbeat,
        1600,
    );
    let snapshot = scheduler.snapshot(1600, 1_001_600);
    assert_eq!(snapshot.jobs[0].zones.get("a"), Some(&2));
    let decision = run_cycle(snapshot);
    assert!(decision.placements.is_empty(), "zone a holds half of it");
}
