//! Gangs that wait for a machine or lose one, and tasks that are preempted for a gang.

use ciborium::Value;

use crate::common::{assert_kept_trace, submission, Sim};

/// Guards against a leak: a preempted task whose start had not been sent yet kept its placement
/// for ever, and its machine was never terminated.
#[test]
fn a_preempted_task_whose_start_was_not_sent_is_removed() {
    for step in 0..40 {
        let mut sim = Sim::new();
        sim.cloud.capacity = 1;
        sim.run(1000);
        sim.submit(
            0,
            &submission("run-000001", "sweep", 2, 4.0, "best_effort"),
            4000,
        );
        sim.run(5000 + 100 * step);
        sim.submit(0, &submission("run-000002", "group", 2, 4.0, "high"), 4000);
        sim.finish(100_000);
        assert!(
            sim.run_until(30_000, |sim| sim.cloud.machines.is_empty()),
            "the machine was not terminated"
        );
        sim.assert_no_violations();
    }
}

/// Guards against a gang that never starts: one image took longer to pull than `gang_wait_s`, so
/// the tasks that already had their images timed out, the whole gang was stopped, and the same
/// happened at each retry. Tasks that time out must be started again on their machines.
#[test]
fn a_gang_with_one_slow_image_pull_starts() {
    let mut sim = Sim::started();
    let mut job = submission("run-000001", "group", 2, 8.0, "normal");
    for (name, value) in job.as_map_mut().expect("submission is not a map") {
        if name.as_text() == Some("imageGb") {
            *value = Value::Float(20.0);
        }
    }
    sim.submit(0, &job, 10_000);
    sim.faults.image_pull_ms.insert("m-000001".into(), 50_000);
    sim.finish(75_000);
    sim.assert_no_violations();
    assert_kept_trace("slow-fetch", &sim.log.trace);
}

/// Guards against a provisioning loop: machines rented for a gang do not boot at the same time,
/// and the first were repeatedly terminated as idle before the last was up.
#[test]
fn machines_are_kept_until_their_gang_is_complete() {
    let mut sim = Sim::new();
    sim.cloud.capacity = 2;
    sim.run(1000);
    sim.submit(0, &submission("run-000001", "group", 3, 6.0, "high"), 5000);
    // The third machine becomes available only when the others have been idle for long.
    sim.run(9000);
    sim.cloud.capacity = 3;
    sim.finish(30_000);
    assert_eq!(sim.cloud.rented_total, 3, "machines were rented twice");
    sim.assert_no_violations();
}

/// Guards against needless terminations: in a fleet of 1,150, 123 machines hung and each affected
/// gang lost a task or two. While the end of the lost tasks was not yet confirmed, 360 healthy
/// machines of the gangs' other tasks were terminated as idle, and then rented again.
#[test]
fn a_gang_that_lost_a_task_keeps_its_other_machines() {
    let mut sim = Sim::started();
    sim.submit(
        0,
        &submission("run-000001", "group", 3, 6.0, "normal"),
        20_000,
    );
    sim.run(12_000);
    assert_eq!(sim.cloud.rented_total, 3);
    let machine = sim.first_machine();
    sim.fail_machine_silently(&machine);
    sim.trace_event(format!("{machine} dies"));
    sim.finish(100_000);
    assert_eq!(
        sim.cloud.rented_total, 4,
        "more than the lost machine was replaced"
    );
    sim.assert_no_violations();
    assert_kept_trace("lost-member", &sim.log.trace);
}
