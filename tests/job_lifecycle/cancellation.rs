//! Users cancel jobs at every moment between submission and completion.

use crate::common::{assert_kept_trace, submission, Sim};
use crate::support::with_two_jobs;

/// A job is cancelled at each moment of its run: its tasks are stopped, its final state is
/// cancelled or done and does not change, and its capacity becomes available to other jobs.
#[test]
fn cancellation_in_every_phase() {
    for step in 0..30 {
        let mut sim = with_two_jobs();
        sim.run(400 * step);
        let slot = sim.cancel(2, "run-000002");
        sim.run(5000);
        let reply = sim.answer(slot).expect("no answer to the cancellation");
        assert_eq!(reply.code, 200, "{reply:?}");
        sim.finish(100_000);
        if step == 20 {
            assert_kept_trace("cancel", &sim.log.trace);
        }
        let poll = sim.poll(0, "run-000002");
        sim.run(100);
        assert_eq!(sim.answer(poll), Some(reply));
        assert_eq!(sim.live_tasks(), 0);
        sim.assert_no_violations();
    }
}

/// Seen in a benchmark run (seed 5): a cancellation was committed and confirmed to the user at
/// the moment at which the last task was done, and the leader then closed the job as done. The
/// final state that the store commits first must stand.
#[test]
fn cancellation_as_the_last_task_is_done() {
    let mut sim = Sim::started();
    sim.submit(
        0,
        &submission("run-000001", "sweep", 2, 4.0, "normal"),
        6000,
    );
    assert!(sim.run_until(60_000, Sim::all_done));
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
        assert!(sim.run_until(60_000, |sim| sim.all_records_closed()
            && sim.answer(slot).is_some()));
        let reply = sim.answer(slot).expect("no answer to the cancellation");
        cancelled += usize::from(reply.status == "withdrawn");
        for controller in 0..3 {
            let poll = sim.poll(controller, "run-000001");
            sim.run(100);
            assert_eq!(
                sim.answer(poll),
                Some(reply.clone()),
                "{}",
                sim.trace_text()
            );
        }
        sim.assert_no_violations();
    }
    assert!(
        (1..40).contains(&cancelled),
        "all cancellations had the same outcome"
    );
}
