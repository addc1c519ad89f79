//! Jobs without faults, save one crash: statuses, quota, delays between tasks and status codes.

use gaugesill::wire;

use crate::common::{assert_kept_trace, job_reply, submission, Sim};
use crate::support::with_two_jobs;

#[test]
fn jobs_finish_without_faults() {
    let mut sim = with_two_jobs();
    sim.finish(60_000);
    for id in ["run-000001", "run-000002"] {
        let slot = sim.poll(2, id);
        sim.run(100);
        assert_eq!(sim.answer(slot), Some(job_reply(200, "done")));
    }
    sim.assert_no_violations();
    assert_kept_trace("quiet", &sim.log.trace);
}

/// The quota limit counts all tasks that may run, and holds while the leader changes.
#[test]
fn the_quota_limit_holds_across_a_change_of_leader() {
    let mut sim = Sim::with_team(r#"{"name":"t","cpus_max":8.0}"#, 8.0);
    sim.run(1000);
    sim.submit(
        0,
        &submission("run-000001", "sweep", 5, 4.0, "normal"),
        4000,
    );
    sim.submit(0, &submission("run-000002", "group", 2, 4.0, "high"), 4000);
    let over_limit = sim.submit(1, &submission("run-000003", "group", 3, 4.0, "high"), 4000);
    sim.run(300);
    assert_eq!(sim.answer(over_limit).map(|reply| reply.code), Some(422));
    sim.jobs.remove("run-000003");
    sim.run(9000);
    if let Some(leader) = sim.leader() {
        sim.crash(leader, 3000);
    }
    sim.finish(150_000);
    sim.assert_no_violations();
    assert_kept_trace("quota", &sim.log.trace);
}

/// Guards against idle capacity between two tasks: the answer to the heartbeat that reported a
/// task's exit was sent before the next start was committed, so the machine waited for another
/// heartbeat interval.
#[test]
fn the_answer_to_an_exit_contains_the_next_start() {
    let mut sim = Sim::new();
    sim.cloud.capacity = 1;
    sim.run(1000);
    sim.submit(
        0,
        &submission("run-000001", "sweep", 6, 8.0, "normal"),
        2000,
    );
    assert!(sim.run_until(60_000, Sim::all_done));
    let time_of = |line: &String| line.split_whitespace().next()?.parse::<f64>().ok();
    let trace = sim.log.trace.iter();
    let starts = trace.filter(|line| line.contains(" starts on "));
    let starts: Vec<f64> = starts.filter_map(time_of).collect();
    assert_eq!(starts.len(), 6);
    for pair in starts.windows(2) {
        // One second to pull the image, two to run, half a second between heartbeats.
        assert!(pair[1] - pair[0] < 4.2, "{starts:?}");
    }
    sim.assert_no_violations();
}

/// The record of an array of the largest size stays small while the array runs.
#[test]
fn a_job_of_a_hundred_thousand_tasks_runs() {
    let mut sim = Sim::started();
    let slot = sim.submit(
        0,
        &submission("run-000001", "sweep", 100_000, 1.0, "normal"),
        1000,
    );
    sim.run(100);
    assert_eq!(sim.answer(slot), Some(job_reply(201, "pending")));
    sim.run(20_000);
    let done = sim.jobs["run-000001"].done.len();
    assert!(done > 50, "only {done} tasks are done");
    let record = &sim.store.keys["g/j/run-000001"].value;
    assert!(wire::encode(record).len() < 8 * 1024);
    sim.assert_no_violations();
}

#[test]
fn user_requests_get_their_status_codes() {
    let mut sim = Sim::new();
    sim.run(2000);
    let code_of = |sim: &mut Sim, method: &str, path: &str, body: Vec<u8>| {
        let slot = sim.send_user_request(0, method, path, body);
        sim.run(200);
        sim.answer(slot).map(|reply| reply.code)
    };
    assert_eq!(code_of(&mut sim, "POST", "/work", b"x".to_vec()), Some(400));
    assert_eq!(code_of(&mut sim, "GET", "/work/run-77", vec![]), Some(404));
    assert_eq!(code_of(&mut sim, "GET", "/work/", vec![]), Some(404));
    assert_eq!(code_of(&mut sim, "PUT", "/work", vec![]), Some(405));
    assert_eq!(code_of(&mut sim, "GET", "/nothing", vec![]), Some(404));
    assert_eq!(
        code_of(&mut sim, "POST", "/work/run-77/cancel", vec![]),
        Some(404)
    );
    let big = wire::encode(&submission("run-000005", "sweep", 1, 9.0, "normal"));
    assert_eq!(code_of(&mut sim, "POST", "/work", big), Some(422));
    let slot = sim.submit(
        0,
        &submission("run-000006", "sweep", 1, 1.0, "normal"),
        1000,
    );
    sim.run(100);
    assert_eq!(sim.answer(slot), Some(job_reply(201, "pending")));
    // The same id with another body is the same job, even one that could never run.
    let again = wire::encode(&submission("run-000006", "sweep", 1, 99.0, "normal"));
    assert_eq!(code_of(&mut sim, "POST", "/work", again), Some(200));
    sim.assert_no_violations();
}
