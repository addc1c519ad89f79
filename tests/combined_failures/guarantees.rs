//! Teams with a nominal quota, and teams that borrow, on too few machines.

use ciborium::Value;

use crate::common::{submission, Sim};
use crate::support::with_field;

/// The most starts of a task: at the beginning, and after each job that may preempt it.
const STARTS_MAX: usize = 3;

/// A simulation with one machine. Team `t` has a nominal quota of half of it, team `u` none.
fn with_two_teams() -> Sim {
    let mut sim = Sim::with_team(r#"{"name":"t","cpus":4.0},{"name":"u"}"#, 0.0);
    sim.cloud.capacity = 1;
    sim.run(1000);
    sim
}

/// A job of team `t`, within its nominal quota.
fn within_quota(shape: &str) -> Value {
    submission("run-000001", shape, 2, 2.0, "best_effort")
}

/// An urgent job of team `u`, which borrows the whole machine.
fn urgent_borrower(shape: &str) -> Value {
    let job = submission("run-000002", shape, 2, 4.0, "high");
    with_field(job, "owner", Value::Text("u".into()))
}

/// How often the tasks of a job were started.
fn starts_of(sim: &Sim, job: &str) -> usize {
    let prefix = format!(" {job}/");
    let trace = sim.log.trace.iter();
    trace
        .filter(|line| line.contains("starts on") && line.contains(&prefix))
        .count()
}

/// A job within its team's nominal quota and an urgent one of a team that borrows preempted each
/// other without end, and neither was ever done: whichever comes first, both are done, and no task
/// is started again and again, also if the leader changes in between.
#[test]
fn a_guaranteed_job_and_an_urgent_borrower_do_not_preempt_each_other_without_end() {
    for case in 0..16usize {
        let shape = |bit: usize| if case & bit == 0 { "sweep" } else { "group" };
        let mut jobs = [within_quota(shape(1)), urgent_borrower(shape(2))];
        if case & 4 != 0 {
            jobs.reverse();
        }
        let mut sim = with_two_teams();
        sim.submit(0, &jobs[0], 12_000);
        sim.run(9000);
        sim.submit(1, &jobs[1], 12_000);
        if case & 8 != 0 {
            sim.run(700);
            let leader = sim.leader().expect("no controller leads");
            sim.crash(leader, 2000);
        }
        sim.finish_and_check(120_000);
        for id in ["run-000001", "run-000002"] {
            let starts = starts_of(&sim, id);
            let most = STARTS_MAX * sim.jobs[id].tasks as usize;
            assert!(
                starts <= most,
                "case {case}: {starts} starts of {id}\n{}",
                sim.trace_text()
            );
        }
    }
}

/// A job within its team's nominal quota need not wait for a team that borrows.
#[test]
fn a_job_within_its_nominal_quota_starts_although_an_urgent_borrower_has_the_machine() {
    let mut sim = with_two_teams();
    sim.submit(0, &urgent_borrower("group"), 400_000);
    sim.run(12_000);
    sim.submit(1, &within_quota("sweep"), 3000);
    let is_done = |sim: &Sim| sim.jobs["run-000001"].is_done();
    assert!(sim.run_until(30_000, is_done), "{}", sim.trace_text());
    sim.finish_and_check(600_000);
}
