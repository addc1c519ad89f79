//! Jobs that several tests start with.

use ciborium::Value;

use crate::common::{submission, Agent, Sim};

/// A submission with another value in one field.
pub(crate) fn with_field(mut submission: Value, name: &str, value: Value) -> Value {
    for (key, old) in submission.as_map_mut().expect("a map") {
        if key.as_text() == Some(name) {
            *old = value.clone();
        }
    }
    submission
}

/// A submission of an array of tasks for half a machine.
pub(crate) fn array(id: &str, tasks: u32) -> Value {
    submission(id, "sweep", tasks, 4.0, "best_effort")
}

/// How many tasks of a job are on machines and have not exited.
pub(crate) fn live_tasks_of(sim: &Sim, id: &str) -> usize {
    let agents = sim.agents.values();
    let live = agents.flat_map(Agent::live_tasks);
    live.filter(|task| task.name.rsplit_once('/').is_some_and(|(job, _)| job == id))
        .count()
}

/// Starts two long arrays and waits until their tasks run; the leader.
pub(crate) fn start_two_long_arrays(sim: &mut Sim) -> usize {
    sim.run(1000);
    sim.submit(0, &array("run-000001", 3), 400_000);
    sim.submit(0, &array("run-000002", 3), 100_000);
    sim.run(10_000);
    assert_eq!(
        live_tasks_of(sim, "run-000001") + live_tasks_of(sim, "run-000002"),
        6
    );
    sim.leader().expect("a leader")
}
