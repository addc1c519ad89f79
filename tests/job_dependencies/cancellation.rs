//! The cancellation of a job cancels all jobs that depend on it.

use crate::common::{ReducedLimits, Sim, WriteBehavior};
use crate::support::{
    array, assert_status_everywhere, start_pipeline, MATCH, REPORT, SCORE, SPLIT,
};

/// A job of a pipeline is cancelled at each moment: every controller must report all its
/// dependents, and no other job, as cancelled at once. If the job is already done, they continue.
#[test]
fn cancellation_reaches_all_dependents() {
    for case in 0..45u64 {
        let mut sim = Sim::new();
        start_pipeline(&mut sim);
        sim.run(500 * (case / 3));
        let (id, dependents): (&str, &[&str]) = match case % 3 {
            0 => (SPLIT, &[MATCH[0], MATCH[1], SCORE, REPORT]),
            1 => (MATCH[0], &[SCORE, REPORT]),
            _ => (SCORE, &[REPORT]),
        };
        let final_status = sim.cancel_until_answered(id);
        for dependent in dependents {
            if final_status == "withdrawn" {
                assert_status_everywhere(&mut sim, dependent, "withdrawn");
            }
        }
        // A dependent that is submitted after the cancellation is accepted, and cancelled too.
        let late = sim.submit((case % 3) as usize, &array("run-000007", 1, &[id]), 500);
        assert!(sim.run_until(3000, |sim| sim.answer(late).is_some()));
        assert_eq!(sim.answer(late).map(|reply| reply.code), Some(201));
        if final_status == "withdrawn" {
            assert_status_everywhere(&mut sim, "run-000007", "withdrawn");
        }
        sim.finish(120_000);
        for dependent in dependents.iter().chain([&"run-000007"]) {
            assert_status_everywhere(&mut sim, dependent, &final_status);
        }
        sim.assert_no_violations();
        sim.assert_all_jobs_known();
    }
}

/// A cancellation coincides with the exit of the last task of a dependency, and with the
/// submission of a job that depends on it, in steps of 2 ms: every controller must report the
/// same outcome.
#[test]
fn a_cancellation_coincides_with_an_exit_and_a_submission() {
    let submit_jobs = |sim: &mut Sim| {
        sim.run(1000);
        sim.submit(0, &array(SPLIT, 2, &[]), 3000);
        sim.submit(1, &array(MATCH[0], 1, &[SPLIT]), 1000);
    };
    let mut sim = Sim::new();
    submit_jobs(&mut sim);
    assert!(sim.run_until(60_000, |sim| sim.jobs[SPLIT].done.len() == 2));
    let end = sim.now;
    let mut cancelled = 0;
    for case in 0..48u64 {
        let mut sim = Sim::new();
        submit_jobs(&mut sim);
        sim.run(end - 40 + 2 * case - sim.now);
        let slot = sim.cancel(case as usize % 3, SPLIT);
        sim.run(case % 5);
        let late = sim.submit((case as usize + 1) % 3, &array(SCORE, 1, &[SPLIT]), 500);
        assert!(sim.run_until(9000, |sim| sim.answer(slot).is_some()
            && sim.answer(late).is_some()));
        let reply = sim.answer(slot).expect("no answer to the cancellation");
        assert_eq!(reply.code, 200);
        let final_status = reply.status;
        cancelled += usize::from(final_status == "withdrawn");
        sim.finish(60_000);
        for id in [SPLIT, MATCH[0], SCORE] {
            assert_status_everywhere(&mut sim, id, &final_status);
        }
        sim.assert_no_violations();
    }
    assert!(
        (1..48).contains(&cancelled),
        "all cancellations had the same outcome"
    );
}

/// While a cancellation propagates along a chain and to many direct dependents, the leader or all
/// controllers crash, the store has an outage, or writes are late: every controller, also one that
/// has just started, must report the dependents as cancelled.
#[test]
fn a_cancellation_propagates_despite_faults() {
    for case in 0..10u64 {
        let mut sim = Sim::new();
        sim.deployment.announced_limits =
            r#","next":{"value_kb":2.0,"txn_ops":4,"write_rps":15.0}"#.into();
        sim.crash_all(|_| 1);
        sim.run(1000);
        sim.submit(0, &array("run-000100", 1, &[]), 200_000);
        sim.run(100);
        for number in 0..24u32 {
            let id = format!("run-{:06}", 101 + number);
            // A chain of twelve jobs, and twelve direct dependents.
            let dependency = format!("run-{:06}", if number < 12 { 100 + number } else { 100 });
            sim.submit((number % 3) as usize, &array(&id, 1, &[&dependency]), 500);
            sim.run(60);
        }
        sim.run(400);
        assert_eq!(sim.cancel_until_answered("run-000100"), "withdrawn");
        sim.run(35 * case);
        // In half of the cases the limits are reduced while the cancellation propagates.
        let low = ReducedLimits {
            value_bytes: 2048,
            transaction_writes: 4,
            writes_per_s: 15.0,
        };
        sim.store.reduced_limits = (case % 2 == 1).then_some(low);
        match case % 4 {
            0 => {
                let leader = sim.leader().expect("no controller leads");
                sim.crash(leader, 400);
            }
            1 => sim.crash_all(|controller| 300 + 200 * controller),
            2 => sim.faults.store_outage = true,
            _ => {
                sim.faults.writes = WriteBehavior::Late {
                    one_in: 2,
                    delay_ms: 3000,
                }
            }
        }
        sim.run(4000);
        if sim.faults.store_outage {
            sim.end_outage();
        }
        sim.run(2500);
        for number in [101, 111, 112, 113, 124] {
            assert_status_everywhere(&mut sim, &format!("run-{number:06}"), "withdrawn");
        }
        sim.faults.writes = WriteBehavior::Answered;
        sim.finish_and_check(60_000);
        assert_eq!(sim.store.refused_by_size, 0);
    }
}
