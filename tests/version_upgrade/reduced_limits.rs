//! Limits of the store that are announced in the settings and later enforced.

use ciborium::Value;
use gaugesill::job::json_length;
use gaugesill::settings::Settings;
use gaugesill::wire;

use crate::common::{submission, ReducedLimits, Sim};
use crate::support::{format_of, submit_two_jobs, with_limits, ANNOUNCED_LIMITS, REDUCED_LIMITS};

/// Jobs finish under a limit of two writes per transaction, also while the leader changes.
#[test]
fn two_writes_in_a_transaction_are_enough() {
    let mut sim = with_limits(r#","next":{"value_kb":2.0,"txn_ops":2,"write_rps":15.0}"#);
    sim.run(1000);
    submit_two_jobs(&mut sim);
    assert!(sim.run_until(20_000, |sim| format_of(sim) == Some(1)));
    sim.store.reduced_limits = Some(ReducedLimits {
        transaction_writes: 2,
        ..REDUCED_LIMITS
    });
    for _ in 0..3 {
        let leader = sim.leader().expect("no controller leads");
        sim.crash(leader, 9000);
        assert!(sim.run_until(20_000, |sim| sim
            .leader()
            .is_some_and(|other| other != leader)));
    }
    sim.finish_and_check(120_000);
    assert_eq!(sim.store.refused_by_size, 0);
}

/// The limits are reduced at each step of jobs' runs, during an election, with large records
/// stored, and while jobs are cancelled: no transaction may be refused for its size, and no job
/// may be lost or stuck.
#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one scenario whose steps share state"
)]
fn limits_are_reduced_at_every_step() {
    let mut largest = 0;
    for case in 0..24u64 {
        let mut sim = with_limits(r#","next":{"value_kb":1.0,"txn_ops":4,"write_rps":15.0}"#);
        sim.cloud.capacity = 60;
        if case % 3 == 0 {
            // A leader of the previous version has stored a large record.
            sim.deployment.previous_version.extend([0, 1, 2]);
        }
        sim.run(1000);
        submit_two_jobs(&mut sim);
        sim.submit(
            2,
            &submission("run-000003", "sweep", 90, 5.0, "best_effort"),
            9000,
        );
        for number in 10..22 {
            let small = submission(&format!("run-0000{number}"), "sweep", 1, 1.0, "best_effort");
            sim.submit(0, &small, 5000);
        }
        sim.run(6500 + 250 * case);
        let stored = sim.store.keys.get("g/j/run-000003");
        largest = largest.max(stored.map_or(0, |stored| json_length(&stored.value)));
        if case % 3 == 0 {
            sim.deployment.previous_version.clear();
            sim.crash_all(|controller| 300 + 400 * controller);
            assert!(sim.run_until(25_000, |sim| format_of(sim) == Some(1)));
        }
        if case % 3 == 1 {
            let leader = sim.leader().expect("no controller leads");
            sim.crash(leader, 300);
            sim.run(60 * case);
        }
        sim.store.reduced_limits = Some(ReducedLimits {
            value_bytes: 1024,
            ..REDUCED_LIMITS
        });
        sim.trace_event("the limits are reduced".into());
        if case % 4 == 2 {
            let slot = sim.cancel(1, "run-000003");
            sim.run(3000);
            assert!(
                sim.answer(slot).is_some_and(|reply| reply.code == 200),
                "{}",
                sim.trace_text()
            );
        }
        sim.finish_and_check(150_000);
        assert_eq!(sim.store.refused_by_size, 0, "{case}");
        assert!(
            sim.store.refused_by_rate < 20,
            "case {case}: {} transactions were refused for the rate",
            sim.store.refused_by_rate
        );
    }
    assert!(
        largest > 1024,
        "no record was larger than the later limit: {largest} bytes at most"
    );
}

/// A gang whose placements can never fit into its record is refused, since it would stay pending
/// for ever.
#[test]
fn a_gang_too_large_for_its_record_is_refused() {
    let mut sim = with_limits(r#","next":{"value_kb":1.0,"txn_ops":4,"write_rps":15.0}"#);
    sim.run(1000);
    let submit = |sim: &mut Sim, job: &Value| {
        let slot = sim.send_user_request(0, "POST", "/work", wire::encode(job));
        assert!(sim.run_until(5000, |sim| sim.users.answers[slot].is_some()));
        let answer = sim.users.answers[slot].clone().expect("no answer");
        (answer.status, wire::format_for_log(&answer.body))
    };
    let gang = submission("run-000001", "group", 100, 1.0, "normal");
    let (status, reason) = submit(&mut sim, &gang);
    assert_eq!(status, 422);
    assert!(reason.contains("too large to be kept"), "{reason}");
    // An array of the same size is accepted, as its tasks are placed in parts; and so is the gang
    // under the usual limits.
    let array = submission("run-000002", "sweep", 100, 1.0, "normal");
    assert_eq!(submit(&mut sim, &array).0, 201);
    let mut sim = Sim::started();
    let gang = submission("run-000003", "group", 100, 1.0, "normal");
    assert_eq!(submit(&mut sim, &gang).0, 201);
}

/// Announced limits are validated like the current ones.
#[test]
fn announced_limits_are_validated() {
    let check = |announced: &str| {
        let text = format!(
            r#"{{"member":"w0","zone":"z","front":"10.0.0.1:8080","mesh_addr":"10.0.0.1:8081",
            "known":[],"endpoints":{{"cloud":"10.2.0.2:8443","state":"10.2.0.1:2379"}},
            "cluster":{{"workers":{{"report_s":3,"lease_s":36.0,"gang_wait_s":35.0,"gang_peer_s":4.0,
            "cancel_s":66.0}},"state":{{"rps":100,"write_rps":25.0,"value_kb":16.0,"txn_ops":20{announced}}},
            "cloud":{{"rps":5.0,"list_lag_s":3.0}},
            "limits":{{"cpu_share":0.08,"ram_mb":200,"fd_limit":4000}}}}}}"#
        );
        let settings: Settings = serde_json::from_str(&text).map_err(|error| error.to_string())?;
        settings.check().map_err(|error| error.to_string())?;
        Ok::<_, String>(settings.cluster.state.strictest())
    };
    let lowered = check(ANNOUNCED_LIMITS).expect("valid limits were rejected");
    assert_eq!(
        (
            lowered.value_kb,
            lowered.txn_ops,
            lowered.write_rps,
            lowered.rps
        ),
        (2.0, 4, 15.0, 100.0)
    );
    assert_eq!(
        check("")
            .expect("settings without announced limits were rejected")
            .value_kb,
        16.0
    );
    assert_eq!(
        check(r#","next":null"#)
            .expect("settings without announced limits were rejected")
            .txn_ops,
        20
    );
    assert_eq!(
        check(r#","next":{"value_kb":99.0,"new":1}"#)
            .expect("higher limits were rejected")
            .value_kb,
        16.0
    );
    for (announced, field) in [
        (r#","next":{"txn_ops":1}"#, "next.txn_ops"),
        (r#","next":{"value_kb":0.5}"#, "next.value_kb"),
        (r#","next":{"write_rps":0}"#, "next.write_rps"),
        (r#","next":{"write_rps":"x"}"#, "invalid type"),
    ] {
        let error = check(announced).expect_err(announced);
        assert!(error.contains(field), "{error}");
    }
}
