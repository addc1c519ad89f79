//! A pipeline of jobs from submission to completion.

use crate::common::{assert_kept_trace, Sim};
use crate::support::{
    array, assert_status_everywhere, gang, start_pipeline, ALL_STAGES, REPORT, SCORE, SPLIT,
};

#[test]
fn a_pipeline_runs_in_the_order_of_its_dependencies() {
    let mut sim = Sim::new();
    start_pipeline(&mut sim);
    sim.run(300);
    assert_status_everywhere(&mut sim, REPORT, "pending");
    sim.finish(90_000);
    for id in ALL_STAGES {
        assert_status_everywhere(&mut sim, id, "done");
    }
    sim.assert_no_violations();
    assert_kept_trace("pipeline", &sim.log.trace);
}

/// The leader, or all controllers, crash at each moment of a pipeline's run. The successor looks
/// up the final states of finished dependencies, which are not among the live jobs that it reads.
#[test]
fn the_leader_crashes_at_every_step_of_a_pipeline() {
    for step in 0..40u64 {
        let mut sim = Sim::new();
        start_pipeline(&mut sim);
        sim.run(600 * step);
        if step % 3 == 2 {
            sim.crash_all(|controller| 200 + 300 * ((step + controller) % 4));
        } else if let Some(leader) = sim.leader() {
            sim.crash(leader, if step % 2 == 0 { 150 } else { 3000 });
        }
        sim.finish_and_check(150_000);
    }
}

/// A job that waits for its dependencies uses none of its team's quota, so other jobs of the team
/// run meanwhile.
#[test]
fn a_waiting_job_uses_no_quota() {
    let mut sim = Sim::with_team(r#"{"name":"t","cpus_max":8.0}"#, 8.0);
    sim.run(1000);
    sim.submit(0, &array(SPLIT, 1, &[]), 30_000);
    sim.run(100);
    sim.submit(0, &gang(SCORE, 4, &[SPLIT]), 2000);
    sim.submit(0, &array(REPORT, 3, &[]), 2000);
    assert!(
        sim.run_until(20_000, |sim| sim.jobs[REPORT].done.len() == 3),
        "{}",
        sim.trace_text()
    );
    assert_eq!(sim.jobs[SCORE].started_at, None);
    sim.finish(90_000);
    sim.assert_no_violations();
}
