//! Upgrades and rollbacks, one controller at a time.

use ciborium::Value;
use gaugesill::leadership_keys::LeaderKey;
use gaugesill::wire;

use crate::common::{assert_kept_trace, job_reply, submission, Sim};
use crate::support::{format_of, submit_two_jobs, with_announced_limits, REDUCED_LIMITS};

/// A submission that depends on other jobs.
fn depending_on(mut submission: Value, dependencies: &[&str]) -> Value {
    let ids = dependencies.iter().map(|id| Value::Text((*id).into()));
    let dependencies = Value::Array(ids.collect());
    let fields = submission.as_map_mut().expect("submission is not a map");
    fields.push((Value::Text("waitsOn".into()), dependencies));
    submission
}

/// A rolling upgrade: processes are killed one by one and restart with the new version; one
/// crashes before its turn and restarts with the old version; leaders of both versions change.
/// Until all run the new version, nothing may be written that the old version cannot read (the
/// simulation checks this), and jobs that the old version stored continue.
#[test]
fn a_rolling_upgrade() {
    for case in 0..8u64 {
        let mut sim = with_announced_limits();
        sim.store.logs_format = true;
        sim.deployment.previous_version.extend([0, 1, 2]);
        sim.run(1000);
        submit_two_jobs(&mut sim);
        sim.run(4000 + 700 * case);
        let order = [[0, 1, 2], [2, 0, 1], [1, 2, 0]][case as usize % 3];
        for (turn, controller) in order.into_iter().enumerate() {
            sim.deployment.previous_version.remove(&controller);
            sim.trace_event(format!("c{controller} is upgraded"));
            sim.crash(controller, 1500);
            sim.run(2500);
            if turn == 0 {
                // The next controller, possibly the leader, crashes before its turn.
                sim.crash(order[1], 400);
                let id = format!("run-0001{case:02}");
                let job = submission(&id, "sweep", 2, 4.0, "normal");
                sim.submit(controller, &job, 4000);
            }
            sim.run(2000 + 200 * case);
            if turn < 2 {
                assert_eq!(format_of(&sim), None);
            }
        }
        assert!(
            sim.run_until(20_000, |sim| format_of(sim) == Some(1)),
            "{}",
            sim.trace_text()
        );
        sim.store.reduced_limits = Some(REDUCED_LIMITS);
        sim.finish_and_check(120_000);
        assert_eq!(sim.store.refused_by_size, 0);
        if case == 1 {
            assert_kept_trace("rolling-upgrade", &sim.log.trace);
        }
    }
}

/// While a controller is down or cut off, its version is unknown and the format is not raised.
/// Users submit jobs with dependencies only after the upgrade, so such a submission proves that
/// all controllers run the new version, and raises the format.
#[test]
fn a_submission_with_dependencies_raises_the_format() {
    let mut sim = with_announced_limits();
    sim.crash(2, 60_000);
    sim.run(12_000);
    assert_eq!(format_of(&sim), None);
    sim.submit(
        0,
        &submission("run-000001", "sweep", 1, 4.0, "normal"),
        3000,
    );
    sim.run(100);
    let job = submission("run-000002", "sweep", 1, 4.0, "normal");
    let slot = sim.submit(1, &depending_on(job, &["run-000001"]), 1000);
    assert!(sim.run_until(2000, |sim| format_of(sim) == Some(1)));
    assert_eq!(sim.answer(slot), Some(job_reply(201, "pending")));
    sim.finish(60_000);
    sim.assert_no_violations();
}

/// The limits are reduced only after the upgrade, so a refusal under an announced limit also
/// proves that all controllers run the new version.
#[test]
fn a_refusal_by_an_announced_limit_raises_the_format() {
    let mut sim = with_announced_limits();
    sim.crash(2, 60_000);
    sim.run(6000);
    sim.store.reduced_limits = Some(REDUCED_LIMITS);
    // Together they exceed the reduced limit of writes per transaction.
    let submissions = (0..9).map(|number| {
        let job = submission(&format!("run-00001{number}"), "sweep", 1, 4.0, "normal");
        sim.submit(0, &job, 1000)
    });
    let slots: Vec<usize> = submissions.collect();
    let are_accepted = |sim: &Sim| {
        let mut replies = slots.iter().map(|slot| sim.answer(*slot));
        replies.all(|reply| reply.is_some_and(|reply| reply.code == 201))
    };
    assert!(sim.run_until(3500, are_accepted), "{}", sim.trace_text());
    sim.finish(150_000);
    assert!(
        sim.store.refused_by_size > 0,
        "no transaction was refused for its size"
    );
    assert_eq!(format_of(&sim), Some(1));
    sim.assert_no_violations();
}

/// The upgrade is started and rolled back, more than once, before the format is raised. Jobs that
/// either version stored continue. A controller that ran the new version and was rolled back must
/// prevent the format from being raised, although its key still says that it runs the new one.
#[test]
fn a_rollback_before_the_format_is_raised() {
    for case in 0..4u64 {
        let mut sim = with_announced_limits();
        sim.deployment.previous_version.extend([0, 1, 2]);
        sim.run(1000);
        submit_two_jobs(&mut sim);
        sim.run(3000 + 900 * case);
        for controller in [0, 1] {
            sim.deployment.previous_version.remove(&controller);
            sim.crash(controller, 600);
            sim.run(4000);
        }
        for controller in [1, 0] {
            assert!(sim.store.keys.contains_key(&format!("g/l/m/c{controller}")));
            sim.deployment.previous_version.insert(controller);
            sim.trace_event(format!("c{controller} is rolled back"));
            sim.crash(controller, 600);
            sim.run(4000);
        }
        // Only the third controller runs the new version now, and it leads for a while.
        sim.deployment.previous_version.remove(&2);
        for (controller, downtime_ms) in [(0, 9000), (1, 11_000), (2, 300)] {
            sim.crash(controller, downtime_ms);
        }
        assert!(sim.run_until(9000, |sim| sim.leader() == Some(2)));
        sim.run(12_000);
        assert_eq!(format_of(&sim), None, "{}", sim.trace_text());
        sim.deployment.previous_version.clear();
        for controller in [0, 1] {
            sim.crash(controller, 500);
        }
        assert!(sim.run_until(20_000, |sim| format_of(sim) == Some(1)));
        sim.store.reduced_limits = Some(REDUCED_LIMITS);
        sim.finish_and_check(120_000);
    }
}

/// A controller that was down during the whole upgrade restarts with the old version before the
/// format is raised: it must serve requests and be able to lead like any other.
#[test]
fn a_controller_that_was_down_restarts_with_the_old_version() {
    let mut sim = with_announced_limits();
    sim.deployment.previous_version.extend([0, 1, 2]);
    sim.run(1000);
    sim.crash(2, 20_000);
    submit_two_jobs(&mut sim);
    for controller in [0, 1] {
        sim.deployment.previous_version.remove(&controller);
        sim.crash(controller, 800);
        sim.run(4000);
    }
    assert!(sim.run_until(25_000, |sim| sim.controllers[2].is_some()));
    sim.run(3000);
    assert_eq!(format_of(&sim), None);
    // It leads for a while as the only running controller.
    sim.crash(0, 12_000);
    sim.crash(1, 12_000);
    assert!(sim.run_until(12_000, |sim| sim.leader() == Some(2)));
    sim.submit(
        2,
        &submission("run-000005", "sweep", 2, 4.0, "normal"),
        3000,
    );
    sim.finish(120_000);
    assert_eq!(format_of(&sim), None);
    sim.assert_no_violations();
    sim.assert_all_jobs_known();
}

/// The version in production elects a leader by creating a key. From format 1 on that key must
/// exist permanently and name no member, whatever happens to the leaders, so that a controller
/// which restarts with that version stays a follower: it could not read the records.
#[test]
fn the_version_in_production_cannot_lead_from_format_1_on() {
    let mut sim = with_announced_limits();
    sim.run(1000);
    submit_two_jobs(&mut sim);
    assert!(sim.run_until(20_000, |sim| format_of(sim) == Some(1)));
    let first = sim.leader().expect("no controller leads");
    sim.crash(first, 800);
    let is_fenced = |sim: &Sim| {
        // Decoded as the version in production reads the key.
        let stored = sim.store.keys.get("g/l/leader")?;
        let key: LeaderKey = stored.value.deserialized().ok()?;
        let names_a_member = ["c0", "c1", "c2"].contains(&key.member.as_str());
        Some(!names_a_member && stored.grant.is_none())
    };
    assert!(sim.run_until(20_000, |sim| is_fenced(sim) == Some(true)));
    for round in 0..6usize {
        if round == 3 {
            sim.crash_all(|_| 5000);
        } else {
            let leader = sim.leader();
            sim.crash(leader.unwrap_or(round % 3), 2000);
        }
        for _ in 0..60 {
            sim.run(100);
            assert_eq!(is_fenced(&sim), Some(true), "{}", sim.trace_text());
        }
    }
    assert!(sim.run_until(20_000, |sim| sim.leader().is_some()));
    sim.finish_and_check(120_000);
}

/// A controller that finds a later format than it knows writes nothing, does not lead, and
/// answers users with 503 and Retry-After, not with 404 for jobs that it cannot read.
#[test]
fn nothing_is_written_under_a_later_format() {
    let mut sim = with_announced_limits();
    sim.run(1000);
    submit_two_jobs(&mut sim);
    sim.run(6000);
    let later = Value::Text("2, of a later version".into());
    sim.store.put("g/l/format", later);
    sim.run(6000);
    assert_eq!(sim.leader(), None);
    let revision = sim.store.revision;
    let ask = |sim: &mut Sim, controller: usize, method: &str, path: &str, body: Vec<u8>| {
        let slot = sim.send_user_request(controller, method, path, body);
        assert!(sim.run_until(5000, |sim| sim.users.answers[slot].is_some()));
        let answer = sim.users.answers[slot].clone().expect("no answer");
        (answer.status, answer.retry_after_s)
    };
    let job = wire::encode(&submission("run-000009", "sweep", 1, 1.0, "normal"));
    for controller in 0..3 {
        assert_eq!(ask(&mut sim, controller, "GET", "/up", vec![]).0, 503);
        let polled = ask(&mut sim, controller, "GET", "/work/run-000001", vec![]);
        assert_eq!(polled, (503, Some(1)));
        let submitted = ask(&mut sim, controller, "POST", "/work", job.clone());
        assert_eq!(submitted, (503, Some(1)));
    }
    // The same holds for a controller that has just started.
    sim.crash(0, 100);
    sim.run(30_000);
    assert_eq!(sim.leader(), None);
    assert_eq!(ask(&mut sim, 0, "GET", "/up", vec![]).0, 503);
    assert_eq!(sim.store.revision, revision, "the store was written to");
}

/// A submission may depend on a job that a controller of the version in production has just
/// accepted, and on one that such a controller finished long ago.
#[test]
fn jobs_that_the_version_in_production_accepted_may_be_dependencies() {
    let mut sim = with_announced_limits();
    sim.deployment.previous_version.extend([0, 1, 2]);
    sim.run(1000);
    let finished = sim.submit(0, &submission("run-000001", "sweep", 1, 4.0, "normal"), 500);
    assert!(sim.run_until(40_000, |sim| sim.store.keys.contains_key("g/f/run-000001")));
    assert_eq!(sim.answer(finished).map(|reply| reply.code), Some(201));
    for controller in [1, 2] {
        sim.deployment.previous_version.remove(&controller);
        sim.crash(controller, 500);
        sim.run(3000);
    }
    let accepted = sim.submit(0, &submission("run-000002", "sweep", 1, 4.0, "normal"), 500);
    assert!(sim.run_until(2000, |sim| sim.answer(accepted).is_some()));
    sim.deployment.previous_version.clear();
    let job = submission("run-000003", "sweep", 1, 4.0, "normal");
    let dependent = depending_on(job, &["run-000001", "run-000002"]);
    let dependent_slot = sim.submit(1, &dependent, 500);
    assert!(sim.run_until(2000, |sim| sim.answer(dependent_slot).is_some()));
    assert_eq!(sim.answer(dependent_slot), Some(job_reply(201, "pending")));
    sim.finish_and_check(60_000);
}
