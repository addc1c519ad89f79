//! Gangs that wait for a machine or lose one, and victims that make capacity for a gang.

use ciborium::Value;

use crate::common::{assert_kept_trace, submission, Sim};

/// Found on a steady day: a victim whose start had not been sent yet kept its placement for
/// ever, and its machine was never terminated.
#[test]
fn a_victim_whose_start_never_went_out_is_removed() {
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
            sim.until(30_000, |sim| sim.cloud.machines.is_empty()),
            "the machine was not terminated"
        );
        sim.assert_sound();
    }
}

/// Found on a day with more load: an image took longer to pull than `gang_wait_s`, so the
/// tasks that had theirs gave up, the whole gang was stopped, and the same happened again and
/// again. Now those tasks are started again on their machines.
#[test]
fn a_gang_with_one_slow_image_pull_starts() {
    let mut sim = Sim::started();
    let mut job = submission("run-000001", "group", 2, 8.0, "normal");
    for (name, value) in job.as_map_mut().expect("a map") {
        if name.as_text() == Some("imageGb") {
            *value = Value::Float(20.0);
        }
    }
    sim.submit(0, &job, 10_000);
    sim.faults.image_pull_ms.insert("m-000001".into(), 50_000);
    sim.finish(75_000);
    sim.assert_sound();
    assert_kept_trace("slow-fetch", &sim.log.trace);
}

/// Found with late copies of heartbeats: machines rented for a gang do not come up together,
/// and the first were terminated as idle before the last was up, again and again.
#[test]
fn a_gangs_first_machines_wait_for_its_last() {
    let mut sim = Sim::new();
    sim.cloud.capacity = 2;
    sim.run(1000);
    sim.submit(0, &submission("run-000001", "group", 3, 6.0, "high"), 5000);
    // The third machine is available only when the others have been up for long.
    sim.run(9000);
    sim.cloud.capacity = 3;
    sim.finish(30_000);
    assert_eq!(sim.cloud.rented_total, 3, "machines were rented twice");
    sim.assert_sound();
}

/// Found on a large fleet: 123 machines of 1,150 hung, each gang lost a member or two, and 360
/// healthy machines of the other members were terminated as idle while the lost tasks were
/// not yet confirmed gone; then all were rented again.
#[test]
fn a_gang_keeps_its_machines_while_a_member_is_lost() {
    let mut sim = Sim::started();
    sim.submit(
        0,
        &submission("run-000001", "group", 3, 6.0, "normal"),
        20_000,
    );
    sim.run(12_000);
    assert_eq!(sim.cloud.rented_total, 3);
    let machine = sim.first_machine();
    sim.lose_agent(&machine);
    sim.note(format!("{machine} dies"));
    sim.finish(100_000);
    assert_eq!(
        sim.cloud.rented_total, 4,
        "more than the lost machine was replaced"
    );
    sim.assert_sound();
    assert_kept_trace("lost-member", &sim.log.trace);
}
