//! What work costs does not grow with the fleet, by counts.

use crate::support::*;
use gaugesill::fleet_capacity::limit_capacities;
use gaugesill::job::{JobRecord, Priority, Shape};
use gaugesill::plan::{self, JobView, MachineView};
use gaugesill::scheduler::{Effect, Scheduler, StatusOrigin, WorkCounts};
use gaugesill::watch_cache::LiveJob;
use std::sync::Arc;

/// A leader of so many machines, each with a task of its own, and as many jobs that wait.
fn busy_fleet(machines: usize) -> Scheduler {
    let mut scheduler = control("[]");
    for i in 0..machines {
        let mut record = JobRecord::new(spec(Shape::Array, 2, 20.0, Priority::Low), 1_000_000);
        record.runs = vec![(0, 1, 1, format!("m-{i:06}")).into()];
        record.next_attempt = 2;
        let live = LiveJob {
            record: Arc::new(record),
            version: 1,
        };
        scheduler.apply_record(&format!("run-{i:06}"), &live, 1000);
        let mut up = report(&format!("m-{i:06}"), 1, 2);
        up.tasks = vec![task(&format!("run-{i:06}/0"), 1, "running", None)];
        scheduler.on_agent_status(&up, StatusOrigin::Heartbeat, 1000);
        scheduler.answer_commands(&up, true, 1000);
    }
    scheduler.flush(1000, 1, 0);
    scheduler.take_effects();
    scheduler
}

/// What a hundred heartbeats cost, of which ten tell of a task's end.
fn cost_of_heartbeats(machines: usize) -> (WorkCounts, usize) {
    let mut scheduler = busy_fleet(machines);
    let before = scheduler.work_counts();
    let mut records = 0;
    for i in 0..100 {
        let name = format!("m-{i:06}");
        let mut next = report(&name, 2, 2);
        let (status, cause) = if i % 10 == 0 {
            ("ended", Some("done"))
        } else {
            ("running", None)
        };
        next.tasks = vec![task(&format!("run-{i:06}/0"), 1, status, cause)];
        scheduler.on_agent_status(&next, StatusOrigin::Heartbeat, 9000);
        scheduler.answer_commands(&next, true, 9000);
        scheduler.flush(9000, 1, 0);
        scheduler.send_direct_starts(true, 9000);
        let written = scheduler.take_effects();
        records += written
            .iter()
            .filter(|e| matches!(e, Effect::Write { .. }))
            .count();
    }
    scheduler.tick(12_000, 1, 1000);
    let written = scheduler.take_effects();
    records += written
        .iter()
        .filter(|e| matches!(e, Effect::Write { .. }))
        .count();
    let after = scheduler.work_counts();
    let counts = WorkCounts {
        records_considered: after.records_considered - before.records_considered,
        starts_considered: after.starts_considered - before.starts_considered,
    };
    (counts, records)
}

/// Found at 4,000 machines: each heartbeat walked all jobs for records to write, and all
/// machines with starts to send, so that a second's heartbeats cost four times as much at
/// twice the size.
#[test]
fn a_checkin_costs_the_same_in_a_fleet_of_any_size() {
    let small = cost_of_heartbeats(200);
    assert_eq!(small.1, 10, "one record for each end");
    assert!(small.0.records_considered <= 20, "{small:?}");
    assert_eq!(cost_of_heartbeats(4000), small);
}

fn full_queue(machines: usize) -> (Vec<MachineView>, Vec<JobView>) {
    let views = (0..machines).map(|i| MachineView {
        images: vec![format!("img-{}", i % 7).as_str().into()],
        tasks: vec![filler(&format!("low-{i}"), 0, 4.0)],
        ..machine(&format!("m-{i:06}"), "a", 4.0)
    });
    let jobs = (0..machines / 4).map(|n| {
        let mut spec = if n % 2 == 0 {
            spec(Shape::Gang, 4, 8.0, Priority::Normal)
        } else {
            spec(Shape::Array, 6, 2.0, Priority::Low)
        };
        spec.image = format!("img-{}", n % 9);
        job(&format!("run-{n:06}"), spec)
    });
    (views.collect(), jobs.collect())
}

/// Found at 6,000 machines: a plan looked at all machines for each job, and took 0.35 s of
/// a core after the loss of a third of them.
#[test]
fn a_plan_costs_by_machines_and_tasks() {
    let examined = |machines: usize| {
        let (views, jobs) = full_queue(machines);
        let tasks: usize = jobs.iter().map(|job| job.pending.len()).sum();
        let decision = plan::cycle(snapshot(views, jobs));
        assert!(!decision.placements.is_empty() && !decision.stops.is_empty());
        decision.machines_examined as f64 / (machines + tasks) as f64
    };
    let (small, large) = (examined(500), examined(6000));
    assert!(
        large < 1.2 * small,
        "{small} and {large} a machine and task"
    );
}

/// A third of 4,000 machines is lost: fourteen calls. Those that the limit had no capacity for
/// waited for as long as an answer may take, so that it took twelve seconds.
#[test]
fn deletions_wait_for_the_limit_and_not_for_an_answer() {
    let mut scheduler = busy_fleet(1400);
    scheduler.set_redirected_elsewhere(Some(0));
    let deletions = |scheduler: &mut Scheduler| -> Vec<Vec<String>> {
        let effects = scheduler.take_effects().into_iter();
        let deletions = effects.filter_map(|effect| match effect {
            Effect::Terminate { machines } => Some(machines),
            _ => None,
        });
        deletions.collect()
    };
    scheduler.tick(80_000, 1, 0);
    let asked = deletions(&mut scheduler);
    assert_eq!(asked.len(), 14);
    for machines in &asked[4..] {
        scheduler.on_termination_postponed(machines, 80_000);
    }
    scheduler.tick(80_400, 1, 0);
    let again = deletions(&mut scheduler);
    assert_eq!(
        again.concat(),
        asked[4..].concat(),
        "and those sent are not sent again"
    );
}

#[test]
fn grants_are_told_by_the_machines_that_they_suffice_for() {
    let mut cluster = cluster("[]", "[]", "8.0");
    cluster.limits.cpu_share = 0.04;
    let capacities = limit_capacities(&cluster);
    let least = capacities[0];
    assert_eq!(least.limit, "cluster.limits.cpu_share");
    assert!((1000..2500).contains(&least.machines), "{least}");
    assert!(!least.is_near(least.machines / 2) && least.is_near(least.machines * 9 / 10));
    cluster.limits.cpu_share = 0.5;
    cluster.limits.ram_mb = 16.0;
    assert_eq!(limit_capacities(&cluster)[0].limit, "cluster.limits.ram_mb");
}
