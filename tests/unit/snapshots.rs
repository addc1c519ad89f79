//! What the scheduler gives to the planner, and what it rents.

use crate::support::*;
use gaugesill::job::{JobRecord, Priority, Shape, TaskRun};
use gaugesill::plan::cycle;
use gaugesill::scheduler::{Effect, StatusOrigin};
use gaugesill::watch_cache::LiveJob;
use std::sync::Arc;

/// Found in inc-8ccc: gangs that had missed every objective were overtaken by fresh
/// ones for minutes. The next objective counts as long as there is one, then nothing,
/// and after three boot times it is their turn.
#[test]
fn no_job_is_overtaken_for_ever() {
    let mut c = control(
        r#"[{"kind":"wait","class":"c","within_s":25.0},
            {"kind":"finished","class":"c","within_s":60.0},
            {"kind":"wait","class":"other","within_s":500.0}]"#,
    );
    let record = JobRecord::new(spec(Shape::Gang, 1, 4.0, Priority::Normal), 1_000_000);
    let live = LiveJob {
        record: Arc::new(record),
        version: 1,
    };
    c.apply_record("run-1", &live, 1000);
    let mut seen = |after_s: u64| {
        let s = c.snapshot(1000 + 1000 * after_s, 1_000_000 + 1000 * after_s);
        (s.jobs[0].start_by_s, s.jobs[0].overdue)
    };
    assert_eq!(seen(5), (Some(1025.0), false));
    assert_eq!(seen(30), (Some(1050.0), false), "done in 60 s is in reach");
    assert_eq!(seen(70), (None, false));
    assert_eq!(seen(130), (None, true), "three boots of 40 s have passed");
    // Its turn has come: it goes before what is still in time.
    let mut old = job("old", spec(Shape::Array, 9, 8.0, Priority::Low));
    old.start_by_s = None;
    old.overdue = true;
    let new = job("new", spec(Shape::Array, 1, 8.0, Priority::Low));
    let d = cycle(snapshot(vec![machine("m1", "a", 8.0)], vec![new, old]));
    assert_eq!(&*d.placements[0].job, "old");
}

/// A successor does not know what the leader before it rented last: it waits
/// for as long as the cloud's list lags, or it would rent the same again.
#[test]
fn a_successor_does_not_rent_twice() {
    let mut c = control("[]");
    let record = JobRecord::new(spec(Shape::Gang, 2, 4.0, Priority::Normal), 1_000_000);
    let live = LiveJob {
        record: Arc::new(record),
        version: 1,
    };
    c.on_machine_list(&[], 1000, 1000);
    c.apply_record("run-1", &live, 1000);
    let mut rents = |now: u64| {
        let d = cycle(c.snapshot(now, 1_000_000));
        c.apply_decision(d, 3, now, 1_000_000);
        let effects = c.take_effects();
        effects
            .iter()
            .any(|e| matches!(e, Effect::Provision { .. }))
    };
    assert!(!rents(1500), "the list lags a second");
    assert!(rents(2100));
}

/// Found by reading: a new leader that finds the cloud's interface down placed
/// nothing until that was back, although the machines had reported.
#[test]
fn a_successor_places_without_the_clouds_list() {
    let mut c = control_with("[]", "8.0");
    let record = JobRecord::new(spec(Shape::Gang, 2, 4.0, Priority::Normal), 1_000_000);
    let live = LiveJob {
        record: Arc::new(record),
        version: 1,
    };
    c.apply_record("run-1", &live, 1000);
    assert!(!c.is_ready(2000) && c.is_ready(9500));
    let mut plan = |now: u64| {
        let d = cycle(c.snapshot(now, 1_000_000));
        let placed = d.placements.len();
        c.apply_decision(d, 3, now, 1_000_000);
        let effects = c.take_effects();
        let rents = effects
            .iter()
            .any(|e| matches!(e, Effect::Provision { .. }));
        c.on_agent_status(&report("m-1", now, 2), StatusOrigin::Heartbeat, now);
        (placed, rents)
    };
    // Nothing is rented: what is there already can't be known.
    assert_eq!(plan(9500), (0, false));
    assert_eq!(plan(9600), (1, false));
}

/// Work in proportion to change: what did not change since the last snapshot
/// is shared with it, not copied.
#[test]
fn a_snapshot_copies_only_what_changed() {
    let mut c = control("[]");
    for i in 0..3 {
        c.on_agent_status(
            &report(&format!("m-{i}"), 1, 2),
            StatusOrigin::Heartbeat,
            1000,
        );
    }
    let first = c.snapshot(1000, 1_000_000).machines;
    assert_eq!(first.len(), 3);
    c.on_agent_status(&report("m-0", 2, 2), StatusOrigin::Heartbeat, 1500);
    let mut changes = report("m-1", 2, 2);
    changes.spot = true;
    c.on_agent_status(&changes, StatusOrigin::Heartbeat, 1500);
    let second = c.snapshot(1500, 1_000_500).machines;
    let shared: Vec<bool> = first
        .iter()
        .zip(&second)
        .map(|(a, b)| Arc::ptr_eq(a, b))
        .collect();
    assert_eq!(shared, [true, false, true]);
}

/// A successor finds a task on a machine of which it knows no more than the name:
/// until it knows the zone, it places no more of a job that keeps to zones.
#[test]
fn a_machine_of_unknown_zone_may_be_in_any() {
    let mut c = control("[]");
    let mut spread = spec(Shape::Array, 4, 1.0, Priority::Low);
    spread.spread = true;
    let mut record = JobRecord::new(spread, 1_000_000);
    record.runs = vec![TaskRun::from((0, 2, 1, "m-0".into()))];
    record.next_attempt = 2;
    let live = LiveJob {
        record: Arc::new(record),
        version: 1,
    };
    c.apply_record("run-1", &live, 1000);
    c.on_agent_status(&report("m-1", 1, 2), StatusOrigin::Heartbeat, 1500);
    assert!(c.snapshot(1500, 1_001_500).jobs.is_empty());
    let runs = |n| task(&format!("run-1/{n}"), 1, "running", None);
    c.on_agent_status(
        &reports(1, 2, vec![runs(0), runs(1)]),
        StatusOrigin::Heartbeat,
        1600,
    );
    let s = c.snapshot(1600, 1_001_600);
    assert_eq!(s.jobs[0].zones.get("a"), Some(&2));
    let d = cycle(s);
    assert!(d.placements.is_empty(), "zone a holds half of it");
}
