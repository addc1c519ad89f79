//! Jobs, waits and the final checks that the tests of duties share.

use ciborium::Value;
use gaugesill::settings::FencingMode;

use crate::common::{submission, ControllerClocks, Sim};

/// Both ways of fencing orders.
pub(crate) const FENCES: [FencingMode; 2] =
    [FencingMode::IdempotencyKey, FencingMode::ProviderToken];

/// Time to live of a duty's lease with the settings of the tests.
pub(crate) const TTL_MS: u64 = 7200;

/// Submits a job to a controller that is up.
pub(crate) fn submit(sim: &mut Sim, number: usize, shape: &str, tasks: u32, cpus: f64) {
    let id = format!("run-{number:06}");
    let job = submission(&id, shape, tasks, cpus, "normal");
    let controller = sim.any_running_controller();
    sim.submit(controller.unwrap_or(0), &job, 3000);
}

/// Submits an array and a gang, for which machines have to be rented and later terminated.
pub(crate) fn submit_two(sim: &mut Sim) {
    submit(sim, 1, "sweep", 3, 4.0);
    submit(sim, 2, "group", 2, 6.0);
}

/// Users submit refused jobs again, all work is done, the idle machines are terminated, and
/// no rule was broken.
pub(crate) fn finish(sim: &mut Sim, clocks: ControllerClocks) {
    sim.run(2000);
    resubmit_refused(sim);
    sim.finish(240_000);
    assert!(
        sim.until(120_000, |sim| sim.cloud.machines.is_empty()),
        "machines were not terminated: {:?}\n{}",
        sim.cloud.machines.keys(),
        sim.trace_text()
    );
    assert!(sim.until(60_000, Sim::are_all_awake));
    // Twice the lag of the machine list, and the time to read it.
    sim.run(10_000);
    sim.assert_sound();
    sim.assert_known();
    sim.assert_duties_sound(clocks);
}

fn resubmit_refused(sim: &mut Sim) {
    let refused = sim.jobs.iter().filter(|(_, job)| !job.accepted);
    let refused: Vec<String> = refused.map(|(id, _)| id.clone()).collect();
    for id in refused {
        let number = id["run-".len()..].parse().expect("a number");
        let job = &sim.jobs[&id];
        let shape = if job.gang { "group" } else { "sweep" };
        let (tasks, cpus) = (job.tasks, job.cpus);
        submit(sim, number, shape, tasks, cpus);
        sim.run(200);
    }
}

/// Advances the clock until a state that may last for a few milliseconds only; false if it
/// is not reached within a minute.
pub(crate) fn until_moment(sim: &mut Sim, is_reached: impl Fn(&Sim) -> bool) -> bool {
    let end = sim.now + 60_000;
    while sim.now < end && !is_reached(sim) {
        sim.run(1);
    }
    is_reached(sim)
}

/// The token of each duty.
pub(crate) fn tokens(sim: &Sim) -> Vec<Value> {
    let keys = sim.store.keys.iter();
    let keys = keys.filter(|(key, _)| key.ends_with("/token"));
    keys.map(|(_, stored)| stored.value.clone()).collect()
}
