//! Submissions with dependencies, a pipeline of jobs, and checks of a job's status on all
//! controllers.

use ciborium::Value;
use gaugesill::job::{JobSpec, Priority};
use gaugesill::wire;

use crate::common::{job_reply, submission, JobReply, Sim};

/// Adds a field of dependencies to a submission; the value may be malformed.
pub(crate) fn with_dependency_field(mut submission: Value, dependencies: Value) -> Value {
    let fields = submission.as_map_mut().expect("submission is not a map");
    fields.push((Value::Text("waitsOn".into()), dependencies));
    submission
}

/// A submission that depends on other jobs.
fn depending_on(submission: Value, dependencies: &[&str]) -> Value {
    let ids = dependencies.iter().map(|id| Value::Text((*id).into()));
    with_dependency_field(submission, Value::Array(ids.collect()))
}

/// A submission of an array.
pub(crate) fn array(id: &str, tasks: u32, dependencies: &[&str]) -> Value {
    depending_on(
        submission(id, "sweep", tasks, 2.0, "best_effort"),
        dependencies,
    )
}

/// A submission of a gang.
pub(crate) fn gang(id: &str, tasks: u32, dependencies: &[&str]) -> Value {
    depending_on(submission(id, "group", tasks, 2.0, "normal"), dependencies)
}

/// First stage of the pipeline: an array.
pub(crate) const SPLIT: &str = "run-000001";

/// Two arrays that depend on [`SPLIT`].
pub(crate) const MATCH: [&str; 2] = ["run-000002", "run-000003"];

/// A gang that depends on both jobs of [`MATCH`].
pub(crate) const SCORE: &str = "run-000004";

/// Last stage: an array that depends on [`SPLIT`] and [`SCORE`].
pub(crate) const REPORT: &str = "run-000005";

/// Ids of all jobs of the pipeline.
pub(crate) const ALL_STAGES: [&str; 5] = [SPLIT, MATCH[0], MATCH[1], SCORE, REPORT];

/// Submits the pipeline that the operators describe, each job to the next controller in turn.
fn submit_pipeline(sim: &mut Sim) {
    let stages = [
        (array(SPLIT, 3, &[]), 3000),
        (array(MATCH[0], 4, &[SPLIT]), 4000),
        (array(MATCH[1], 3, &[SPLIT]), 3000),
        (gang(SCORE, 2, &[MATCH[0], MATCH[1]]), 3000),
        (array(REPORT, 2, &[SPLIT, SCORE]), 1500),
    ];
    for (index, (job, run_ms)) in stages.into_iter().enumerate() {
        let slot = sim.submit(index % 3, &job, run_ms);
        assert!(sim.run_until(3000, |sim| sim.answer(slot).is_some()));
        assert_eq!(sim.answer(slot), Some(job_reply(201, "pending")));
    }
}

/// Waits for the first leader and submits the pipeline.
pub(crate) fn start_pipeline(sim: &mut Sim) {
    sim.run(1000);
    submit_pipeline(sim);
}

fn poll(sim: &mut Sim, controller: usize, id: &str) -> Option<JobReply> {
    let slot = sim.poll(controller, id);
    sim.run_until(2500, |sim| sim.answer(slot).is_some());
    sim.answer(slot)
}

/// Fails unless every controller gives a job the same status.
pub(crate) fn assert_status_everywhere(sim: &mut Sim, id: &str, expected: &str) {
    for controller in 0..3 {
        let reply = poll(sim, controller, id);
        assert_eq!(
            reply,
            Some(job_reply(200, expected)),
            "{id} on c{controller}\n{}",
            sim.trace_text()
        );
    }
}

/// The specification of an array with one task for one core.
pub(crate) fn spec(
    dependencies: &[&str],
    priority: Priority,
    expected_s: f64,
    deadline_s: Option<f64>,
) -> JobSpec {
    let body = wire::encode(&array("run-000000", 1, &[]));
    let (_, spec) = wire::parse_submission(&body).expect("a valid submission");
    JobSpec {
        cpus: 1.0,
        priority,
        expected_s,
        deadline_s,
        dependencies: dependencies.iter().map(|id| (*id).to_string()).collect(),
        ..spec
    }
}
