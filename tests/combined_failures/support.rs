//! Submissions and set-up that several tests share.

use ciborium::Value;

use crate::common::{submission, Agent, Sim};

/// A submission in which the value of one field is replaced.
pub(crate) fn with_field(mut submission: Value, name: &str, value: Value) -> Value {
    for (key, old) in submission.as_map_mut().expect("submission is not a map") {
        if key.as_text() == Some(name) {
            *old = value.clone();
        }
    }
    submission
}

/// A submission of an array whose tasks each request half a machine.
pub(crate) fn array(id: &str, tasks: u32) -> Value {
    submission(id, "sweep", tasks, 4.0, "best_effort")
}

/// Number of tasks of a job that are on machines and have not exited.
pub(crate) fn live_tasks_of(sim: &Sim, id: &str) -> usize {
    let agents = sim.agents.values();
    let live = agents.flat_map(Agent::live_tasks);
    live.filter(|task| task.name.rsplit_once('/').is_some_and(|(job, _)| job == id))
        .count()
}

/// Starts two long arrays, waits until their tasks run, and returns the leader.
pub(crate) fn start_two_long_arrays(sim: &mut Sim) -> usize {
    sim.run(1000);
    sim.submit(0, &array("run-000001", 3), 400_000);
    sim.submit(0, &array("run-000002", 3), 100_000);
    sim.run(10_000);
    assert_eq!(
        live_tasks_of(sim, "run-000001") + live_tasks_of(sim, "run-000002"),
        6
    );
    sim.leader().expect("no controller leads")
}
