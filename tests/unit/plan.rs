//! The scheduling cycle.

use crate::support::*;
use gaugesill::job::{Priority, Shape};
use gaugesill::plan::{run_cycle, JobView, TaskBinding, TeamView};
use std::collections::{BTreeMap, HashMap};

#[test]
fn a_gang_is_placed_completely_or_not_at_all() {
    let gang = job("g", spec(Shape::Gang, 3, 4.0, Priority::Normal));
    let decision = run_cycle(snapshot(vec![machine("m1", "a", 8.0)], vec![gang.clone()]));
    assert!(decision.placements.is_empty() && decision.preemptions.is_empty());
    assert_eq!(decision.unplaced_gangs, ["g".into()]);
    // Two tasks fit already: the unmet demand is one.
    assert_eq!(decision.unmet[0].count, 1);
    let two = vec![machine("m1", "a", 8.0), machine("m2", "a", 4.0)];
    let decision = run_cycle(snapshot(two, vec![gang]));
    assert_eq!(decision.placements[0].tasks.len(), 3);
    assert!(decision.unplaced_gangs.is_empty() && decision.unmet.is_empty());
}

#[test]
fn tasks_are_preempted_only_for_a_gang_that_then_fits_completely() {
    let mut m1 = machine("m1", "a", 0.0);
    m1.tasks = vec![
        preemptible_task("low", 0, 4.0),
        preemptible_task("low", 1, 4.0),
    ];
    let gang = job("g", spec(Shape::Gang, 3, 4.0, Priority::Normal));
    let decision = run_cycle(snapshot(vec![m1.clone()], vec![gang.clone()]));
    assert!(decision.preemptions.is_empty() && decision.reservations.is_empty());
    let decision = run_cycle(snapshot(vec![m1, machine("m2", "a", 4.0)], vec![gang]));
    assert_eq!(decision.preemptions.len(), 2);
    assert_eq!(
        decision.reservations.len(),
        3,
        "capacity is reserved for every member"
    );
    assert!(decision.placements.is_empty(), "it starts in a later cycle");
}

#[test]
fn equal_priority_is_not_preempted_but_borrowed_quota_is() {
    let mut m1 = machine("m1", "a", 0.0);
    let mut task = preemptible_task("other", 0, 8.0);
    task.priority = Priority::Normal;
    task.team = "u".into();
    m1.tasks = vec![task];
    let gang = job("g", spec(Shape::Gang, 1, 4.0, Priority::Normal));
    let decision = run_cycle(snapshot(vec![m1.clone()], vec![gang.clone()]));
    assert!(decision.preemptions.is_empty());
    let mut input = snapshot(vec![m1], vec![gang]);
    let own = TeamView {
        nominal_cpus: 4.0,
        requested_cpus: 4.0,
        ..TeamView::default()
    };
    let borrower = TeamView {
        cpus: 8.0,
        requested_cpus: 8.0,
        nominal_cpus: 4.0,
        ..TeamView::default()
    };
    input.teams = HashMap::from([("t".to_string(), own), ("u".to_string(), borrower)]);
    assert_eq!(run_cycle(input).preemptions.len(), 1);
}

/// There is capacity for one of three jobs. A job that has missed all its objectives is placed
/// last; of the others, the one with the least remaining work is placed first.
#[test]
fn jobs_without_reachable_objectives_are_placed_last_and_small_ones_first() {
    let one = |id: &str, tasks, start_by_s| {
        let mut job = job(id, spec(Shape::Array, tasks, 8.0, Priority::Low));
        job.start_by_s = start_by_s;
        job
    };
    let jobs = vec![
        one("lost", 1, None),
        one("large", 5, Some(1.0)),
        one("small", 1, Some(5.0)),
    ];
    let decision = run_cycle(snapshot(vec![machine("m1", "a", 8.0)], jobs.clone()));
    assert_eq!(&*decision.placements[0].job, "small");
    let decision = run_cycle(snapshot(vec![machine("m1", "a", 8.0)], jobs[..2].to_vec()));
    assert_eq!(&*decision.placements[0].job, "large");
}

#[test]
fn reserved_capacity_is_kept_for_its_gang_without_further_preemptions() {
    let mut m1 = machine("m1", "a", 4.0);
    let mut leaving = preemptible_task("low", 0, 4.0);
    leaving.preemptable = false;
    m1.tasks = vec![leaving];
    m1.reservations = vec![reservation("g", 8.0, Priority::Normal)];
    let mut m2 = machine("m2", "a", 0.0);
    m2.tasks = vec![preemptible_task("low", 1, 8.0)];
    let gang = job("g", spec(Shape::Gang, 1, 8.0, Priority::Normal));
    let small = job("s", spec(Shape::Array, 1, 2.0, Priority::Low));
    let decision = run_cycle(snapshot(
        vec![m1.clone(), m2.clone()],
        vec![gang.clone(), small],
    ));
    assert!(decision.preemptions.is_empty() && decision.placements.is_empty());
    // The gang may use other capacity that becomes free.
    let decision = run_cycle(snapshot(vec![m1, machine("m3", "a", 8.0)], vec![gang]));
    let binding = TaskBinding {
        task: 0,
        machine: "m3".into(),
    };
    assert_eq!(decision.placements[0].tasks, [binding]);
}

#[test]
fn reserved_capacity_is_available_to_higher_priorities() {
    let mut m1 = machine("m1", "a", 8.0);
    m1.reservations = vec![reservation("low", 8.0, Priority::Normal)];
    let high = job("high", spec(Shape::Gang, 1, 8.0, Priority::High));
    let equal = job("equal", spec(Shape::Gang, 1, 8.0, Priority::Normal));
    assert!(run_cycle(snapshot(vec![m1.clone()], vec![equal]))
        .placements
        .is_empty());
    assert_eq!(
        run_cycle(snapshot(vec![m1], vec![high])).placements.len(),
        1
    );
}

/// Guards against needless image pulls: in a large fleet, a tenth of all tasks pulled images
/// although jobs whose image was cached on the machine were slightly further back in the queue.
/// An array leaves such a machine to those jobs for a limited time, and uses it if they do not.
#[test]
fn arrays_prefer_machines_with_their_image() {
    let mut cached = machine("m1", "a", 4.0);
    cached.images = vec!["img".into()];
    let first = |prefers_cached_image| {
        let mut spec = spec(Shape::Array, 2, 4.0, Priority::Low);
        spec.image = "other".into();
        JobView {
            prefers_cached_image,
            ..job("first", spec)
        }
    };
    let second = JobView {
        start_by_s: Some(90.0),
        prefers_cached_image: true,
        ..job("second", spec(Shape::Array, 1, 4.0, Priority::Low))
    };
    let placed = |jobs: Vec<JobView>| {
        let decision = run_cycle(snapshot(vec![cached.clone()], jobs));
        let first_placement = decision
            .placements
            .first()
            .map(|placement| (placement.job.to_string(), placement.tasks.len()));
        (
            first_placement,
            decision.arrays_skipping_uncached.len(),
            decision.unmet.iter().map(|demand| demand.count).sum(),
        )
    };
    let one = |id: &str| Some((id.to_string(), 1));
    let both = |prefers_cached_image| vec![first(prefers_cached_image), second.clone()];
    assert_eq!(placed(both(true)), (one("second"), 1, 2u32));
    assert_eq!(placed(vec![first(true)]), (one("first"), 1, 1));
    assert_eq!(placed(both(false)), (one("first"), 0, 2));
}

#[test]
fn zone_constraints_are_enforced() {
    let mut one = spec(Shape::Gang, 2, 4.0, Priority::Normal);
    one.single_zone = true;
    let split = vec![machine("m1", "a", 4.0), machine("m2", "b", 4.0)];
    assert!(
        run_cycle(snapshot(split.clone(), vec![job("g", one.clone())]))
            .placements
            .is_empty()
    );
    // Tasks of an old attempt that still run restrict the others to their zone.
    let mut bound = job("g", one);
    bound.zones = BTreeMap::from([("b".into(), 1)]);
    let decision = run_cycle(snapshot(
        vec![machine("m1", "a", 8.0), machine("m2", "b", 8.0)],
        vec![bound],
    ));
    assert!(decision.placements[0]
        .tasks
        .iter()
        .all(|binding| &*binding.machine == "m2"));
    let mut apart = spec(Shape::Gang, 3, 1.0, Priority::Normal);
    apart.spread = true;
    assert!(run_cycle(snapshot(
        vec![machine("m1", "a", 8.0)],
        vec![job("g", apart.clone())]
    ))
    .placements
    .is_empty());
    let decision = run_cycle(snapshot(split, vec![job("g", apart)]));
    let in_a = decision.placements[0]
        .tasks
        .iter()
        .filter(|binding| &*binding.machine == "m1")
        .count();
    assert!((1..=2).contains(&in_a));
}

/// Guards against starvation of a gang that backs off at the quota limit: arrays of its team
/// repeatedly used the quota that became free.
#[test]
fn a_gang_backing_off_keeps_its_claim_on_the_quota() {
    let mut gang = job("g", spec(Shape::Gang, 2, 4.0, Priority::High));
    gang.backing_off = true;
    let small = job("s", spec(Shape::Array, 1, 2.0, Priority::Low));
    let mut input = snapshot(vec![machine("m1", "a", 8.0)], vec![gang, small]);
    input.teams = HashMap::from([(
        "t".to_string(),
        TeamView {
            cpus: 4.0,
            cpus_max: 10.0,
            ..TeamView::default()
        },
    )]);
    let decision = run_cycle(input);
    assert!(decision.placements.is_empty() && decision.unplaced_gangs.is_empty());
}

/// Guards against ignoring gangs that back off in a scale-out: with eight gangs at the start, no
/// machines were rented for those, and later gangs used the incoming machines.
#[test]
fn machines_are_rented_for_a_gang_backing_off() {
    let mut gang = job("g", spec(Shape::Gang, 2, 8.0, Priority::Normal));
    gang.backing_off = true;
    let decision = run_cycle(snapshot(vec![machine("m1", "a", 2.0)], vec![gang]));
    assert!(decision.placements.is_empty() && decision.unplaced_gangs.is_empty());
    assert_eq!(decision.unmet[0].count, 2);
}
