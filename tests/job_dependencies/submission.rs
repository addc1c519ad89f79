//! Which jobs a submission may name as dependencies.

use ciborium::Value;
use gaugesill::wire;

use crate::common::{job_reply, submission, JobReply, Sim};
use crate::support::{array, with_dependency_field, MATCH, REPORT, SPLIT};

/// Id of a job that no user has submitted.
const UNKNOWN: &str = "run-000077";

/// Submits a job and returns the answer.
fn submit_and_wait(sim: &mut Sim, controller: usize, job: &Value) -> JobReply {
    let slot = sim.send_user_request(controller, "POST", "/work", wire::encode(job));
    assert!(sim.run_until(5000, |sim| sim.answer(slot).is_some()));
    sim.answer(slot).expect("no answer to the submission")
}

#[test]
fn malformed_dependencies_are_refused() {
    let mut sim = Sim::started();
    for malformed in [
        Value::Text(SPLIT.into()),
        Value::Integer(3.into()),
        Value::Array(vec![Value::Integer(3.into())]),
        Value::Array(vec![Value::Text("job-1".into())]),
        Value::Array(vec![Value::Null]),
    ] {
        let job = submission("run-000009", "sweep", 1, 1.0, "normal");
        let job = with_dependency_field(job, malformed);
        let reply = submit_and_wait(&mut sim, 0, &job);
        assert_eq!(reply.code, 400, "{job:?}");
    }
    sim.assert_no_violations();
}

#[test]
fn null_and_an_empty_list_name_no_dependency() {
    let mut sim = Sim::started();
    let without_dependencies = [
        ("run-000008", Value::Null),
        ("run-000006", Value::Array(vec![])),
    ];
    for (id, value) in without_dependencies {
        let job = submission(id, "sweep", 1, 1.0, "normal");
        let job = with_dependency_field(job, value);
        let slot = sim.submit(0, &job, 500);
        assert!(sim.run_until(1000, |sim| sim.answer(slot).is_some()));
        assert_eq!(sim.answer(slot), Some(job_reply(201, "pending")));
        assert!(sim.jobs[id].dependencies.is_empty());
    }
    sim.finish(60_000);
    sim.assert_no_violations();
}

/// A dependency must be an accepted job: one that any controller has just accepted, or one that
/// finished long ago.
#[test]
fn only_accepted_jobs_may_be_dependencies() {
    let mut sim = Sim::started();
    // Refused: a dependency that was never accepted, and a dependency on the job itself.
    for controller in 0..3 {
        let on_unknown = array("run-000009", 1, &[UNKNOWN]);
        let reply = submit_and_wait(&mut sim, controller, &on_unknown);
        assert_eq!(reply.code, 422);
        let on_itself = array("run-000009", 1, &["run-000009"]);
        let reply = submit_and_wait(&mut sim, controller, &on_itself);
        assert_eq!(reply.code, 422);
    }
    // Accepted: a dependency that another controller accepted a millisecond ago.
    let first = sim.submit(1, &array(SPLIT, 1, &[]), 2000);
    assert!(sim.run_until(1000, |sim| sim.answer(first).is_some()));
    let second = sim.submit(2, &array(MATCH[0], 1, &[SPLIT, SPLIT]), 2000);
    assert!(sim.run_until(1000, |sim| sim.answer(second).is_some()));
    assert_eq!(sim.answer(second), Some(job_reply(201, "pending")));
    let dependencies = &sim.jobs[MATCH[0]].dependencies;
    assert_eq!(
        dependencies.len(),
        1,
        "a dependency that is named twice counts once"
    );
    sim.finish(60_000);
    // Accepted: a dependency that finished long ago. A controller that has just started has not
    // read all finished jobs and looks this one up.
    sim.crash_all(|_| 100);
    assert!(sim.run_until(9000, |sim| sim.leader().is_some()));
    sim.run(3000);
    let late = sim.submit(2, &array(REPORT, 1, &[MATCH[0]]), 1000);
    assert!(sim.run_until(3000, |sim| sim.answer(late).is_some()));
    assert_eq!(sim.answer(late), Some(job_reply(201, "pending")));
    // A repeated submission is answered with the job's current state, whatever its dependencies
    // are.
    let repeated = array(MATCH[0], 1, &[UNKNOWN]);
    let reply = submit_and_wait(&mut sim, 1, &repeated);
    assert_eq!(reply, job_reply(200, "done"));
    sim.finish(60_000);
    // A submission whose dependency cannot be looked up is answered with 503: neither accepted nor
    // refused for good.
    sim.faults.store_outage = true;
    sim.run(4000);
    let job = array("run-000009", 1, &[UNKNOWN]);
    assert_eq!(submit_and_wait(&mut sim, 0, &job).code, 503);
    sim.faults.store_outage = false;
    sim.run(3000);
    assert_eq!(submit_and_wait(&mut sim, 0, &job).code, 422);
    sim.assert_no_violations();
}

/// A submission with more dependencies than its record can hold is refused, with the reason.
#[test]
fn too_many_dependencies_are_refused() {
    let mut sim = Sim::new();
    sim.deployment.announced_limits =
        r#","next":{"value_kb":2.0,"txn_ops":4,"write_rps":15.0}"#.into();
    sim.crash_all(|_| 1);
    sim.run(1000);
    let names: Vec<String> = (0..300).map(|number| format!("run-9{number:05}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let slot = sim.send_user_request(0, "POST", "/work", wire::encode(&array(SPLIT, 1, &names)));
    sim.run(300);
    let answer = sim.users.answers[slot]
        .clone()
        .expect("no answer within 300 ms");
    assert_eq!(answer.status, 400);
    assert!(wire::format_for_log(&answer.body).contains("too long to be kept"));
}
