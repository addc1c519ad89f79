//! The gang cycle.

use crate::support::*;
use gaugesill::job::{Priority, Shape};
use gaugesill::plan::{cycle, JobView, TeamView};
use std::collections::{BTreeMap, HashMap};

#[test]
fn a_gang_starts_whole_or_not_at_all() {
    let gang = job("g", spec(Shape::Gang, 3, 4.0, Priority::Normal));
    let d = cycle(snapshot(vec![machine("m1", "a", 8.0)], vec![gang.clone()]));
    assert!(d.placements.is_empty() && d.stops.is_empty());
    assert_eq!(d.failed, ["g".into()]);
    // Two fit already: one is to be bought for.
    assert_eq!(d.unmet[0].count, 1);
    let two = vec![machine("m1", "a", 8.0), machine("m2", "a", 4.0)];
    let d = cycle(snapshot(two, vec![gang]));
    assert_eq!(d.placements[0].tasks.len(), 3);
    assert!(d.failed.is_empty() && d.unmet.is_empty());
}

#[test]
fn victims_are_stopped_only_for_a_gang_that_fits_whole() {
    let mut m1 = machine("m1", "a", 0.0);
    m1.tasks = vec![filler("low", 0, 4.0), filler("low", 1, 4.0)];
    let gang = job("g", spec(Shape::Gang, 3, 4.0, Priority::Normal));
    let d = cycle(snapshot(vec![m1.clone()], vec![gang.clone()]));
    assert!(d.stops.is_empty() && d.reservations.is_empty());
    let d = cycle(snapshot(vec![m1, machine("m2", "a", 4.0)], vec![gang]));
    assert_eq!(d.stops.len(), 2);
    assert_eq!(d.reservations.len(), 3, "room is held for every member");
    assert!(d.placements.is_empty(), "it starts on the retry");
}

#[test]
fn equal_priority_is_not_preempted_but_borrowed_room_is() {
    let mut m1 = machine("m1", "a", 0.0);
    let mut t = filler("other", 0, 8.0);
    t.priority = Priority::Normal;
    t.team = "u".into();
    m1.tasks = vec![t];
    let gang = job("g", spec(Shape::Gang, 1, 4.0, Priority::Normal));
    let d = cycle(snapshot(vec![m1.clone()], vec![gang.clone()]));
    assert!(d.stops.is_empty());
    let mut s = snapshot(vec![m1], vec![gang]);
    let own = TeamView {
        nominal_cpus: 4.0,
        requested_cpus: 4.0,
        ..TeamView::default()
    };
    let borrower = TeamView {
        cpus: 8.0,
        nominal_cpus: 4.0,
        ..TeamView::default()
    };
    s.teams = HashMap::from([("t".to_string(), own), ("u".to_string(), borrower)]);
    assert_eq!(cycle(s).stops.len(), 1);
}

/// One place, three jobs: what has missed all its objectives goes last, and of the
/// others the one with little left to do goes first.
#[test]
fn queue_order_puts_lost_jobs_last_and_small_ones_first() {
    let one = |id: &str, tasks, start_by_s| {
        let mut j = job(id, spec(Shape::Array, tasks, 8.0, Priority::Low));
        j.start_by_s = start_by_s;
        j
    };
    let jobs = vec![
        one("lost", 1, None),
        one("large", 5, Some(1.0)),
        one("small", 1, Some(5.0)),
    ];
    let d = cycle(snapshot(vec![machine("m1", "a", 8.0)], jobs.clone()));
    assert_eq!(&*d.placements[0].job, "small");
    let d = cycle(snapshot(vec![machine("m1", "a", 8.0)], jobs[..2].to_vec()));
    assert_eq!(&*d.placements[0].job, "large");
}

#[test]
fn reserved_room_waits_for_its_gang_without_new_stops() {
    let mut m1 = machine("m1", "a", 4.0);
    let mut leaving = filler("low", 0, 4.0);
    leaving.stoppable = false;
    m1.tasks = vec![leaving];
    m1.reservations = vec![held("g", 8.0, Priority::Normal)];
    let mut m2 = machine("m2", "a", 0.0);
    m2.tasks = vec![filler("low", 1, 8.0)];
    let gang = job("g", spec(Shape::Gang, 1, 8.0, Priority::Normal));
    let small = job("s", spec(Shape::Array, 1, 2.0, Priority::Low));
    let d = cycle(snapshot(
        vec![m1.clone(), m2.clone()],
        vec![gang.clone(), small],
    ));
    assert!(d.stops.is_empty() && d.placements.is_empty());
    // Other capacity came free meanwhile: it may take that.
    let d = cycle(snapshot(vec![m1, machine("m3", "a", 8.0)], vec![gang]));
    assert_eq!(d.placements[0].tasks, [(0, "m3".into())]);
}

#[test]
fn reserved_room_gives_way_to_higher_priority() {
    let mut m1 = machine("m1", "a", 8.0);
    m1.reservations = vec![held("low", 8.0, Priority::Normal)];
    let high = job("high", spec(Shape::Gang, 1, 8.0, Priority::High));
    let equal = job("equal", spec(Shape::Gang, 1, 8.0, Priority::Normal));
    assert!(cycle(snapshot(vec![m1.clone()], vec![equal]))
        .placements
        .is_empty());
    assert_eq!(cycle(snapshot(vec![m1], vec![high])).placements.len(), 1);
}

/// Found on a fleet's calm day: a tenth of all places fetched images, although
/// jobs with theirs on the machine waited a little further back. An array leaves
/// such a machine to them for a while, takes it if none does, and is not passed
/// over for ever.
#[test]
fn arrays_prefer_machines_with_their_image() {
    let mut m = machine("m1", "a", 4.0);
    m.images = vec!["img".into()];
    let first = |prefers_cached| {
        let mut s = spec(Shape::Array, 2, 4.0, Priority::Low);
        s.image = "other".into();
        JobView {
            prefers_cached,
            ..job("first", s)
        }
    };
    let second = JobView {
        start_by_s: Some(90.0),
        prefers_cached: true,
        ..job("second", spec(Shape::Array, 1, 4.0, Priority::Low))
    };
    let placed = |jobs: Vec<JobView>| {
        let d = cycle(snapshot(vec![m.clone()], jobs));
        let place = d
            .placements
            .first()
            .map(|p| (p.job.to_string(), p.tasks.len()));
        (
            place,
            d.skipped_uncached_machines.len(),
            d.unmet.iter().map(|u| u.count).sum(),
        )
    };
    let one = |id: &str| Some((id.to_string(), 1));
    let both = |prefers_cached| vec![first(prefers_cached), second.clone()];
    assert_eq!(placed(both(true)), (one("second"), 1, 2u32));
    assert_eq!(placed(vec![first(true)]), (one("first"), 1, 1));
    assert_eq!(placed(both(false)), (one("first"), 0, 2));
}

#[test]
fn zone_constraints_are_kept() {
    let mut one = spec(Shape::Gang, 2, 4.0, Priority::Normal);
    one.single_zone = true;
    let split = vec![machine("m1", "a", 4.0), machine("m2", "b", 4.0)];
    assert!(cycle(snapshot(split.clone(), vec![job("g", one.clone())]))
        .placements
        .is_empty());
    // Tasks that remain of an old attempt bind the rest to their zone.
    let mut bound = job("g", one);
    bound.zones = BTreeMap::from([("b".into(), 1)]);
    let d = cycle(snapshot(
        vec![machine("m1", "a", 8.0), machine("m2", "b", 8.0)],
        vec![bound],
    ));
    assert!(d.placements[0].tasks.iter().all(|t| &*t.1 == "m2"));
    let mut apart = spec(Shape::Gang, 3, 1.0, Priority::Normal);
    apart.spread = true;
    assert!(cycle(snapshot(
        vec![machine("m1", "a", 8.0)],
        vec![job("g", apart.clone())]
    ))
    .placements
    .is_empty());
    let d = cycle(snapshot(split, vec![job("g", apart)]));
    let in_a = d.placements[0]
        .tasks
        .iter()
        .filter(|t| &*t.1 == "m1")
        .count();
    assert!((1..=2).contains(&in_a));
}

/// Found on a day with three teams: while a gang backed off for want of quota,
/// arrays of its team took what came free, again and again.
#[test]
fn a_gang_backing_off_keeps_its_claim_on_the_quota() {
    let mut gang = job("g", spec(Shape::Gang, 2, 4.0, Priority::High));
    gang.backing_off = true;
    let small = job("s", spec(Shape::Array, 1, 2.0, Priority::Low));
    let mut s = snapshot(vec![machine("m1", "a", 8.0)], vec![gang, small]);
    s.teams = HashMap::from([(
        "t".to_string(),
        TeamView {
            cpus: 4.0,
            cpus_max: 10.0,
            ..TeamView::default()
        },
    )]);
    let d = cycle(s);
    assert!(d.placements.is_empty() && d.failed.is_empty());
}

/// Found in the log of a day that began with eight gangs: those that backed
/// off were not bought for, and the machines on their way served later ones.
#[test]
fn machines_are_rented_for_a_gang_backing_off() {
    let mut gang = job("g", spec(Shape::Gang, 2, 8.0, Priority::Normal));
    gang.backing_off = true;
    let d = cycle(snapshot(vec![machine("m1", "a", 2.0)], vec![gang]));
    assert!(d.placements.is_empty() && d.failed.is_empty());
    assert_eq!(d.unmet[0].count, 2);
}
