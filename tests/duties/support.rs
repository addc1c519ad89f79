//! Submissions, waits and final checks that the tests of duties share.

use ciborium::Value;
use gaugesill::settings::FencingMode;

use crate::common::{submission, ControllerClocks, Sim};

/// Both ways to fence orders.
pub(crate) const FENCES: [FencingMode; 2] =
    [FencingMode::IdempotencyKey, FencingMode::ProviderToken];

/// Time to live of a duty's lease under the settings of the tests.
pub(crate) const LEASE_TTL_MS: u64 = 7200;

/// Submits a job to a running controller.
pub(crate) fn submit(sim: &mut Sim, number: usize, shape: &str, tasks: u32, cpus: f64) {
    let id = format!("run-{number:06}");
    let job = submission(&id, shape, tasks, cpus, "normal");
    let controller = sim.any_running_controller();
    sim.submit(controller.unwrap_or(0), &job, 3000);
}

/// Submits an array and a gang, for which machines have to be rented and later terminated.
pub(crate) fn submit_array_and_gang(sim: &mut Sim) {
    submit(sim, 1, "sweep", 3, 4.0);
    submit(sim, 2, "group", 2, 6.0);
}

/// Users submit refused jobs again. Fails unless all jobs finish, idle machines are terminated,
/// and no rule was broken.
pub(crate) fn finish_and_check_duties(sim: &mut Sim, clocks: ControllerClocks) {
    sim.run(2000);
    resubmit_refused(sim);
    sim.finish(240_000);
    assert!(
        sim.run_until(120_000, |sim| sim.cloud.machines.is_empty()),
        "machines were not terminated: {:?}\n{}",
        sim.cloud.machines.keys(),
        sim.trace_text()
    );
    assert!(sim.run_until(60_000, Sim::are_all_running));
    // Twice the lag of the machine list, plus the time to read it.
    sim.run(10_000);
    sim.assert_no_violations();
    sim.assert_all_jobs_known();
    sim.assert_duty_rules(clocks);
}

fn resubmit_refused(sim: &mut Sim) {
    let refused = sim.jobs.iter().filter(|(_, job)| !job.accepted);
    let refused: Vec<String> = refused.map(|(id, _)| id.clone()).collect();
    for id in refused {
        let number = id["run-".len()..]
            .parse()
            .expect("the job id does not end in a number");
        let job = &sim.jobs[&id];
        let shape = if job.gang { "group" } else { "sweep" };
        let (tasks, cpus) = (job.tasks, job.cpus);
        submit(sim, number, shape, tasks, cpus);
        sim.run(200);
    }
}

/// Advances the clock in steps of 1 ms until a state is reached that may last only a few
/// milliseconds. Returns false if it is not reached within a minute.
pub(crate) fn step_until(sim: &mut Sim, is_reached: impl Fn(&Sim) -> bool) -> bool {
    let end = sim.now + 60_000;
    while sim.now < end && !is_reached(sim) {
        sim.run(1);
    }
    is_reached(sim)
}

/// Current tokens of all duties.
pub(crate) fn tokens(sim: &Sim) -> Vec<Value> {
    let keys = sim.store.keys.iter();
    let keys = keys.filter(|(key, _)| key.ends_with("/token"));
    keys.map(|(_, stored)| stored.value.clone()).collect()
}
