//! The cost of an operation does not grow with the fleet. Costs are counted, not timed.

use crate::support::*;
use gaugesill::fleet_capacity::limit_capacities;
use gaugesill::job::{JobRecord, Priority, Shape};
use gaugesill::plan::{self, JobView, MachineView};
use gaugesill::scheduler::{Effect, Scheduler, StartPermission, StatusOrigin, WorkCounts};

/// The scheduler of a leader with one running task on each machine and one pending task of each
/// job.
fn busy_fleet(machines: usize) -> Scheduler {
    let mut scheduler = scheduler_with_objectives("[]");
    for number in 0..machines {
        let mut record = JobRecord::new(spec(Shape::Array, 2, 20.0, Priority::Low), 1_000_000);
        record.runs = vec![(0, 1, 1, format!("m-{number:06}")).into()];
        record.next_attempt = 2;
        add_record(&mut scheduler, &format!("run-{number:06}"), record);
        let mut status = agent_status(&format!("m-{number:06}"), 1, 2);
        status.tasks = vec![task_status(
            &format!("run-{number:06}/0"),
            1,
            "running",
            None,
        )];
        scheduler.on_agent_status(&status, StatusOrigin::Heartbeat, 1000);
        scheduler.heartbeat_response_commands(&status, StartPermission::Granted, 1000);
    }
    scheduler.flush(1000, 1, 0);
    scheduler.take_effects();
    scheduler
}

/// The cost of a hundred heartbeats.
#[derive(Debug, PartialEq)]
struct HeartbeatCosts {
    counts: WorkCounts,
    /// Records that were written.
    records: usize,
}

fn records_written(scheduler: &mut Scheduler) -> usize {
    let effects = scheduler.take_effects();
    let is_write = |effect: &&Effect| matches!(effect, Effect::Write { .. });
    effects.iter().filter(is_write).count()
}

/// The cost of a hundred heartbeats, of which ten report a task's exit.
fn cost_of_heartbeats(machines: usize) -> HeartbeatCosts {
    let mut scheduler = busy_fleet(machines);
    let before = scheduler.work_counts();
    let mut records = 0;
    for number in 0..100 {
        let name = format!("m-{number:06}");
        let mut next = agent_status(&name, 2, 2);
        let (status, cause) = if number % 10 == 0 {
            ("ended", Some("done"))
        } else {
            ("running", None)
        };
        next.tasks = vec![task_status(&format!("run-{number:06}/0"), 1, status, cause)];
        scheduler.on_agent_status(&next, StatusOrigin::Heartbeat, 9000);
        scheduler.heartbeat_response_commands(&next, StartPermission::Granted, 9000);
        scheduler.flush(9000, 1, 0);
        scheduler.send_direct_starts(StartPermission::Granted, 9000);
        records += records_written(&mut scheduler);
    }
    scheduler.tick(12_000, 1, 1000);
    records += records_written(&mut scheduler);
    let after = scheduler.work_counts();
    let counts = WorkCounts {
        records_considered: after.records_considered - before.records_considered,
        starts_considered: after.starts_considered - before.starts_considered,
    };
    HeartbeatCosts { counts, records }
}

/// Guards against a quadratic cost: at 4,000 machines, each heartbeat iterated over all jobs for
/// records to write and over all machines with starts to send, so the heartbeats of one second
/// cost four times as much in a fleet of twice the size.
#[test]
fn a_heartbeat_costs_the_same_in_a_fleet_of_any_size() {
    let small = cost_of_heartbeats(200);
    assert_eq!(small.records, 10, "one record for each exit");
    assert!(small.counts.records_considered <= 20, "{small:?}");
    assert_eq!(cost_of_heartbeats(4000), small);
}

fn full_queue(machines: usize) -> (Vec<MachineView>, Vec<JobView>) {
    let views = (0..machines).map(|number| MachineView {
        images: vec![format!("img-{}", number % 7).as_str().into()],
        tasks: vec![preemptible_task(&format!("low-{number}"), 0, 4.0)],
        ..machine(&format!("m-{number:06}"), "a", 4.0)
    });
    let jobs = (0..machines / 4).map(|number| {
        let mut spec = if number % 2 == 0 {
            spec(Shape::Gang, 4, 8.0, Priority::Normal)
        } else {
            spec(Shape::Array, 6, 2.0, Priority::Low)
        };
        spec.image = format!("img-{}", number % 9);
        job(&format!("run-{number:06}"), spec)
    });
    (views.collect(), jobs.collect())
}

/// Guards against plans that examine all machines for each job: at 6,000 machines, a plan took
/// 0.35 s of a core after the loss of a third of them.
#[test]
fn the_cost_of_a_plan_is_linear_in_machines_and_tasks() {
    let examined = |machines: usize| {
        let (views, jobs) = full_queue(machines);
        let tasks: usize = jobs.iter().map(|job| job.pending.len()).sum();
        let decision = plan::run_cycle(snapshot(views, jobs));
        assert!(!decision.placements.is_empty() && !decision.preemptions.is_empty());
        decision.machines_examined as f64 / (machines + tasks) as f64
    };
    let (small, large) = (examined(500), examined(6000));
    assert!(
        large < 1.2 * small,
        "{small} and {large} machines examined for each machine and task"
    );
}

/// The loss of a third of 4,000 machines takes fourteen termination calls. Calls that the rate
/// limit postponed used to wait for the answer timeout, so that all calls took twelve seconds.
#[test]
fn postponed_terminations_are_sent_again_without_an_answer_timeout() {
    let mut scheduler = busy_fleet(1400);
    scheduler.set_redirected_elsewhere(Some(0));
    let terminations = |scheduler: &mut Scheduler| -> Vec<Vec<String>> {
        let effects = scheduler.take_effects().into_iter();
        let terminations = effects.filter_map(|effect| match effect {
            Effect::Terminate { machines } => Some(machines),
            _ => None,
        });
        terminations.collect()
    };
    scheduler.tick(80_000, 1, 0);
    let sent = terminations(&mut scheduler);
    assert_eq!(sent.len(), 14);
    for machines in &sent[4..] {
        scheduler.on_termination_postponed(machines, 80_000);
    }
    scheduler.tick(80_400, 1, 0);
    let sent_again = terminations(&mut scheduler);
    assert_eq!(
        sent_again.concat(),
        sent[4..].concat(),
        "only the postponed terminations are sent again"
    );
}

#[test]
fn platform_limits_are_reported_as_machine_counts() {
    let mut cluster = cluster("[]", "[]", "8.0");
    cluster.limits.cpu_share = 0.04;
    let capacities = limit_capacities(&cluster);
    let least = capacities[0];
    assert_eq!(least.limit, "cluster.limits.cpu_share");
    assert!((1000..2500).contains(&least.machines), "{least}");
    assert!(
        !least.is_nearly_reached_by(least.machines / 2)
            && least.is_nearly_reached_by(least.machines * 9 / 10)
    );
    cluster.limits.cpu_share = 0.5;
    cluster.limits.ram_mb = 16.0;
    assert_eq!(limit_capacities(&cluster)[0].limit, "cluster.limits.ram_mb");
}
