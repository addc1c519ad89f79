//! Upgrades and rollbacks, one controller at a time.

use ciborium::Value;
use gaugesill::leadership_keys::LeaderKey;
use gaugesill::wire;

use crate::common::{assert_kept_trace, job_reply, submission, Sim};
use crate::support::{format_of, submit_two_jobs, with_announced_limits, LOW};

/// A submission that depends on other jobs.
fn depending_on(mut submission: Value, dependencies: &[&str]) -> Value {
    let ids = dependencies.iter().map(|id| Value::Text((*id).into()));
    let dependencies = Value::Array(ids.collect());
    let fields = submission.as_map_mut().expect("a map");
    fields.push((Value::Text("waitsOn".into()), dependencies));
    submission
}

/// A rolling upgrade: processes are killed one by one and restart with the new version; one
/// crashes before its turn and restarts with the old version; leaders of both versions change.
/// Before all run the new version nothing is written that the old version cannot read (the
/// simulation checks it), and the work that it stored continues.
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
            sim.note(format!("c{controller} is upgraded"));
            sim.crash(controller, 1500);
            sim.run(2500);
            if turn == 0 {
                // Another one, possibly the leader, crashes before its turn.
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
            sim.until(20_000, |sim| format_of(sim) == Some(1)),
            "{}",
            sim.trace_text()
        );
        sim.store.reduced_limits = Some(LOW);
        sim.finish_and_check(120_000);
        assert_eq!(sim.store.refused_by_size, 0);
        if case == 1 {
            assert_kept_trace("rolling-upgrade", &sim.log.trace);
        }
    }
}

/// A controller that is down or cut off is not known to run the new version, so the format is
/// not raised. A submission with dependencies comes only after the upgrade, so it proves that
/// all run the new version.
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
    assert!(sim.until(2000, |sim| format_of(sim) == Some(1)));
    assert_eq!(sim.answer(slot), Some(job_reply(201, "pending")));
    sim.finish(60_000);
    sim.assert_sound();
}

/// A refusal for a limit that was announced proves as well that all run the new version.
#[test]
fn a_refusal_by_an_announced_limit_raises_the_format() {
    let mut sim = with_announced_limits();
    sim.crash(2, 60_000);
    sim.run(6000);
    sim.store.reduced_limits = Some(LOW);
    // Together they exceed the reduced limit of a transaction.
    let submissions = (0..9).map(|number| {
        let job = submission(&format!("run-00001{number}"), "sweep", 1, 4.0, "normal");
        sim.submit(0, &job, 1000)
    });
    let slots: Vec<usize> = submissions.collect();
    let are_accepted = |sim: &Sim| {
        let mut replies = slots.iter().map(|slot| sim.answer(*slot));
        replies.all(|reply| reply.is_some_and(|reply| reply.code == 201))
    };
    assert!(sim.until(3500, are_accepted), "{}", sim.trace_text());
    sim.finish(150_000);
    assert!(
        sim.store.refused_by_size > 0,
        "no transaction was refused for its size"
    );
    assert_eq!(format_of(&sim), Some(1));
    sim.assert_sound();
}

/// The upgrade is started and rolled back, more than once, before the format is raised: the
/// work that either version stored continues, and a controller that ran the new version for a
/// while and runs the old one again prevents the format from being raised, although its key
/// says that it ran the new one.
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
            sim.note(format!("c{controller} is put back"));
            sim.crash(controller, 600);
            sim.run(4000);
        }
        // The third alone runs the new version now, and leads for a while.
        sim.deployment.previous_version.remove(&2);
        for (controller, away_ms) in [(0, 9000), (1, 11_000), (2, 300)] {
            sim.crash(controller, away_ms);
        }
        assert!(sim.until(9000, |sim| sim.leader() == Some(2)));
        sim.run(12_000);
        assert_eq!(format_of(&sim), None, "{}", sim.trace_text());
        sim.deployment.previous_version.clear();
        for controller in [0, 1] {
            sim.crash(controller, 500);
        }
        assert!(sim.until(20_000, |sim| format_of(sim) == Some(1)));
        sim.store.reduced_limits = Some(LOW);
        sim.finish_and_check(120_000);
    }
}

/// A controller that was down during the whole upgrade restarts with the old version before the
/// format is raised: it serves requests, and may lead, like any other.
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
    assert!(sim.until(25_000, |sim| sim.controllers[2].is_some()));
    sim.run(3000);
    assert_eq!(format_of(&sim), None);
    // It leads for a while, as the only controller.
    sim.crash(0, 12_000);
    sim.crash(1, 12_000);
    assert!(sim.until(12_000, |sim| sim.leader() == Some(2)));
    sim.submit(
        2,
        &submission("run-000005", "sweep", 2, 4.0, "normal"),
        3000,
    );
    sim.finish(120_000);
    assert_eq!(format_of(&sim), None);
    sim.assert_sound();
    sim.assert_known();
}

/// From format 1 on the key by which the version in production elects its leaders exists
/// permanently and names no member, whatever happens to the leaders: a controller that
/// restarts with that version is a follower, and cannot lead with records that it cannot read.
#[test]
fn the_version_in_production_cannot_lead_from_format_1_on() {
    let mut sim = with_announced_limits();
    sim.run(1000);
    submit_two_jobs(&mut sim);
    assert!(sim.until(20_000, |sim| format_of(sim) == Some(1)));
    let first = sim.leader().expect("a leader");
    sim.crash(first, 800);
    let is_fenced = |sim: &Sim| {
        // As that version reads the key.
        let stored = sim.store.keys.get("g/l/leader")?;
        let key: LeaderKey = stored.value.deserialized().ok()?;
        let names_a_member = ["c0", "c1", "c2"].contains(&key.member.as_str());
        Some(!names_a_member && stored.grant.is_none())
    };
    assert!(sim.until(20_000, |sim| is_fenced(sim) == Some(true)));
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
    assert!(sim.until(20_000, |sim| sim.leader().is_some()));
    sim.finish_and_check(120_000);
}

/// A version that finds a later format than it knows writes nothing, does not lead, and tells
/// its users when to come back instead of telling them that jobs are unknown.
#[test]
fn a_later_format_is_left_alone() {
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
        let slot = sim.ask(controller, method, path, body);
        assert!(sim.until(5000, |sim| sim.users.answers[slot].is_some()));
        let answer = sim.users.answers[slot].clone().expect("an answer");
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
    // Also a controller that has just started.
    sim.crash(0, 100);
    sim.run(30_000);
    assert_eq!(sim.leader(), None);
    assert_eq!(ask(&mut sim, 0, "GET", "/up", vec![]).0, 503);
    assert_eq!(sim.store.revision, revision, "a write was made");
}

/// A submission may depend on a job that a controller of the version in production accepted a
/// moment ago, and on one that this version finished long ago.
#[test]
fn jobs_that_the_version_in_production_accepted_may_be_named() {
    let mut sim = with_announced_limits();
    sim.deployment.previous_version.extend([0, 1, 2]);
    sim.run(1000);
    let finished = sim.submit(0, &submission("run-000001", "sweep", 1, 4.0, "normal"), 500);
    assert!(sim.until(40_000, |sim| sim.store.keys.contains_key("g/f/run-000001")));
    assert_eq!(sim.answer(finished).map(|reply| reply.code), Some(201));
    for controller in [1, 2] {
        sim.deployment.previous_version.remove(&controller);
        sim.crash(controller, 500);
        sim.run(3000);
    }
    let fresh = sim.submit(0, &submission("run-000002", "sweep", 1, 4.0, "normal"), 500);
    assert!(sim.until(2000, |sim| sim.answer(fresh).is_some()));
    sim.deployment.previous_version.clear();
    let job = submission("run-000003", "sweep", 1, 4.0, "normal");
    let dependent = depending_on(job, &["run-000001", "run-000002"]);
    let named = sim.submit(1, &dependent, 500);
    assert!(sim.until(2000, |sim| sim.answer(named).is_some()));
    assert_eq!(sim.answer(named), Some(job_reply(201, "pending")));
    sim.finish_and_check(60_000);
}
