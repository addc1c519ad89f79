//! A high rate of submissions, and more work than capacity.

use crate::common::{submission, Sim};
use crate::support::array;

/// Four one-task jobs are submitted each second and a quarter of them cancelled: no job is lost,
/// and all are finished within 30 s of the last submission.
#[test]
fn four_one_task_jobs_each_second() {
    let mut sim = Sim::new();
    sim.cloud.capacity = 40;
    sim.run(1000);
    for number in 0..120u64 {
        let id = format!("run-{number:06}");
        sim.submit((number % 3) as usize, &array(&id, 1), 3000);
        if number % 4 == 1 {
            let id = format!("run-{:06}", number - 1);
            sim.cancel((number as usize / 4) % 3, &id);
        }
        sim.run(250);
    }
    sim.finish_and_check(30_000);
}

/// More work than capacity, of high and low priority, with slow image pulls: the largest jobs
/// start within four minutes too, and no job waits while there is capacity for it.
#[test]
fn more_work_than_capacity_with_slow_image_pulls() {
    let mut sim = Sim::new();
    sim.cloud.capacity = 3;
    for number in 0..6 {
        sim.faults
            .image_pull_ms
            .insert(format!("m-{number:06}"), 9000);
    }
    sim.run(1000);
    sim.submit(0, &array("run-000001", 12), 8000);
    let gang = submission("run-000002", "group", 3, 6.0, "normal");
    sim.submit(0, &gang, 12_000);
    for number in 3..30u64 {
        let id = format!("run-{number:06}");
        if number % 3 == 0 {
            let urgent = submission(&id, "sweep", 1, 4.0, "high");
            sim.submit((number % 3) as usize, &urgent, 6000);
        } else {
            sim.submit((number % 3) as usize, &array(&id, 2), 8000);
        }
        sim.run(4000);
    }
    sim.finish(300_000);
    sim.assert_no_violations();
    for (id, job) in &sim.jobs {
        assert!(
            job.started_at.is_some_and(|at| at < 240_000),
            "{id}: {:?}",
            job.started_at
        );
    }
}
