//! Simulations with jobs that several tests start with.

use crate::common::{submission, Sim};

/// A simulation in which an array and a gang were submitted to different controllers.
pub(crate) fn with_two_jobs() -> Sim {
    let mut sim = Sim::started();
    submit_two_jobs(&mut sim, 0, 1);
    sim
}

/// Submits an array to the controller `array_to` and a gang to `gang_to`.
pub(crate) fn submit_two_jobs(sim: &mut Sim, array_to: usize, gang_to: usize) {
    let array = submission("run-000001", "sweep", 3, 4.0, "best_effort");
    sim.submit(array_to, &array, 6000);
    let gang = submission("run-000002", "group", 2, 6.0, "normal");
    sim.submit(gang_to, &gang, 8000);
}
