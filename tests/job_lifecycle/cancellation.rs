//! Users cancel jobs at every moment of their lives.

use crate::common::{assert_kept_trace, submission, Sim};
use crate::support::two_jobs;

/// A job is cancelled at each moment of its life: its tasks are stopped, it stays cancelled or
/// is done, and its capacity serves other jobs.
#[test]
fn cancellation_in_every_phase() {
    for step in 0..30 {
        let mut sim = two_jobs();
        sim.run(400 * step);
        let slot = sim.cancel(2, "run-000002");
        sim.run(5000);
        let told = sim.answer(slot).expect("an answer");
        assert_eq!(told.code, 200, "{told:?}");
        sim.finish(100_000);
        if step == 20 {
            assert_kept_trace("cancel", &sim.log.trace);
        }
        let again = sim.poll(0, "run-000002");
        sim.run(100);
        assert_eq!(sim.answer(again), Some(told));
        assert_eq!(sim.live_tasks(), 0);
        sim.assert_sound();
    }
}

/// Found on a steady day (seed 5): a cancellation was committed, and the user
/// told so, in the same moment in which the last task was done. The leader then
/// closed the job as done. What the store committed first is final.
#[test]
fn cancellation_as_the_last_task_is_done() {
    let mut sim = Sim::started();
    sim.submit(
        0,
        &submission("run-000001", "sweep", 2, 4.0, "normal"),
        6000,
    );
    assert!(sim.until(60_000, Sim::all_done));
    let end = sim.now;
    let mut cancelled = 0;
    for step in 0..40 {
        let mut sim = Sim::started();
        sim.submit(
            0,
            &submission("run-000001", "sweep", 2, 4.0, "normal"),
            6000,
        );
        sim.run(end - 40 + 2 * step - sim.now);
        let slot = sim.cancel(step as usize % 3, "run-000001");
        assert!(sim.until(60_000, |sim| sim.settled() && sim.answer(slot).is_some()));
        let told = sim.answer(slot).expect("an answer");
        cancelled += usize::from(told.status == "withdrawn");
        for controller in 0..3 {
            let again = sim.poll(controller, "run-000001");
            sim.run(100);
            assert_eq!(
                sim.answer(again),
                Some(told.clone()),
                "{}",
                sim.trace_text()
            );
        }
        sim.assert_sound();
    }
    assert!(
        (1..40).contains(&cancelled),
        "all cancellations had the same outcome"
    );
}
