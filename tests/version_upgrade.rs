//! Two versions at once, and limits of the store that fall. The fixtures were
//! written by the version in production (`tests/fixtures/make.rs`).

mod common;

use std::sync::Arc;

use ciborium::Value;
use common::{assert_kept_trace, job_reply, submission, PreviousRecord, ReducedLimits, Sim};
use gaugesill::job::{json_length, FinalState, JobRecord, Shape, TaskRun, TaskSet};
use gaugesill::leadership_keys::LeaderKey;
use gaugesill::packed_record;
use gaugesill::peer_protocol::{ForwardedReply, ForwardedRequest, PeerStatus};
use gaugesill::plan::{Decision, PlannedPlacement};
use gaugesill::scheduler::{Effect, Scheduler, StatusOrigin, Term};
use gaugesill::settings::{ClusterSettings, OperatorSettings, Settings};
use gaugesill::watch_cache::{LiveJob, WatchCache};
use gaugesill::wire::{self, KeyChange};
use gaugesill::write_queue::CommitResult;
use prost::Message;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Name, readable form and bytes.
fn fixtures() -> Vec<(String, String, Vec<u8>)> {
    let text = include_str!("fixtures/production.txt");
    let lines: Vec<&str> = text.lines().map(str::trim).collect();
    let byte = |h: &[u8]| {
        let digits = std::str::from_utf8(h).expect("digits");
        u8::from_str_radix(digits, 16).expect("a byte")
    };
    lines
        .chunks(3)
        .map(|c| {
            let bytes = c[2].as_bytes().chunks(2).map(byte).collect();
            (c[0].into(), c[1].into(), bytes)
        })
        .collect()
}

fn fixture(name: &str) -> (String, Vec<u8>) {
    let found = fixtures().into_iter().find(|f| f.0 == name);
    let f = found.unwrap_or_else(|| panic!("no fixture {name}"));
    (f.1, f.2)
}

/// What the version in production stored is read, and what is written before the format is
/// raised has the same bytes.
#[test]
fn records_of_production_are_read_and_written() {
    for name in ["fresh", "array", "gang", "cancelled"] {
        let (readable, bytes) = fixture(&format!("record {name}"));
        let v: Value = wire::decode(&bytes).expect("a value");
        let r = JobRecord::from_value(&v).expect("a record");
        assert_eq!(serde_json::to_string(&r).expect("text"), readable);
        assert_eq!(wire::encode(&r.to_value(0)), bytes, "{name}");
        assert!(r.spec.dependencies.is_empty());
        // Packed, it says the same, and that version can't take it for an empty one.
        let p = r.to_value(1);
        assert_eq!(JobRecord::from_value(&p).ok().as_ref(), Some(&r));
        assert!(p.deserialized::<PreviousRecord>().is_err());
    }
    for (name, f) in [
        ("done", FinalState::Done),
        ("withdrawn", FinalState::Cancelled),
    ] {
        let (_, bytes) = fixture(&format!("final {name}"));
        assert_eq!(wire::encode(&f.to_value()), bytes);
        let v: Value = wire::decode(&bytes).expect("a value");
        assert_eq!(FinalState::from_value(&v), Some(f));
    }
    let (_, bytes) = fixture("leader");
    let l: LeaderKey = wire::decode(&bytes).expect("a key");
    assert_eq!((l.member.as_str(), l.epoch), ("worker-1", 7));
    assert_eq!(wire::encode(&l), bytes);
}

/// The fixtures' readable form has the names that the fields had in that version.
#[test]
fn messages_of_production_are_read_and_written() {
    let (readable, bytes) = fixture("status");
    let status = PeerStatus::decode(bytes.as_slice()).expect("a status");
    let in_old_names = format!(
        "Status {{ member: {:?}, served: {}, leads: {}, turned_away: {}, age_ms: {}, withdrawn: {:?} }}",
        status.member,
        status.store_reachable,
        status.leading_epoch,
        status.redirected_agents,
        status.process_age_ms,
        status.acknowledged_cancellations
    );
    assert_eq!(in_old_names, readable);
    // The field that has come since is at its default, and not written then.
    assert_eq!(status.known_format, 0);
    assert_eq!(status.encode_to_vec(), bytes);
    let (readable, bytes) = fixture("hand");
    let request = ForwardedRequest::decode(bytes.as_slice()).expect("a request");
    let in_old_names = format!(
        "Hand {{ method: {:?}, path: {:?}, body: {:?} }}",
        request.method, request.path, request.body
    );
    assert_eq!(in_old_names, readable);
    assert_eq!(request.encode_to_vec(), bytes);
    let (readable, bytes) = fixture("handed");
    let reply = ForwardedReply::decode(bytes.as_slice()).expect("an answer");
    let in_old_names = format!(
        "Handed {{ status: {}, retry_after: {:?}, body: {:?} }}",
        reply.status, reply.retry_after, reply.body
    );
    assert_eq!(in_old_names, readable);
    assert_eq!(reply.encode_to_vec(), bytes);
}

/// Keys that tell of versions lie where the one before passes over them: it looks at
/// `g/j/`, `g/f/`, `g/l/leader` and `g/l/epoch`, and at nothing else below `g/`.
#[test]
fn version_keys_change_nothing_else() {
    let mut p = WatchCache::default();
    p.revision = 1;
    let set = |key: &str, n: u64, version| KeyChange {
        set: Some(key.into()),
        value: Some(Value::Integer(n.into())),
        delete: None,
        version,
    };
    let seen = p.apply_changes(
        4,
        1,
        &[
            set("g/l/m/worker-1", 1, 2),
            set("g/l/format", 1, 3),
            set("g/l/epoch", 7, 4),
        ],
    );
    assert!(seen.is_empty());
    assert_eq!((p.format, p.epoch), (1, 7));
    assert!(p.members.contains("worker-1") && p.jobs.is_empty() && p.leader().is_none());
    // It never goes down.
    p.apply_changes(5, 4, &[set("g/l/format", 0, 5)]);
    assert_eq!(p.format, 1);
}

/// Whatever has ended and wherever the rest is: packed and unpacked it is the same, and
/// what ends makes no record longer than was allowed for.
#[test]
fn packed_records_are_read_as_they_were_written() {
    let mut rng = StdRng::seed_from_u64(5);
    for round in 0..400 {
        let tasks = rng.random_range(1..300u32);
        let mut done = TaskSet::default();
        let mut runs: Vec<TaskRun> = Vec::new();
        for t in 0..tasks {
            match rng.random_range(0..4) {
                0 => done.insert(t),
                1 => {}
                _ => {
                    let machine = format!("m-{:06}", rng.random_range(0..1 + round % 40));
                    let attempt = rng.random_range(1..4);
                    match runs.last_mut() {
                        Some(r)
                            if r.first + r.count == t
                                && r.attempt == attempt
                                && r.machine == machine =>
                        {
                            r.count += 1
                        }
                        _ => runs.push(TaskRun::single(t, attempt, machine)),
                    }
                }
            }
        }
        let text = packed_record::pack(tasks, &done, &runs).expect("names that suit");
        assert_eq!(
            packed_record::unpack(tasks, &text).ok(),
            Some((done, runs)),
            "{text}"
        );
    }
    for (tasks, text) in [
        (3, "|m-|1*4"),
        (3, "0 9|m-|"),
        (3, "=f|m-|"),
        (3, "|m-|1*x"),
        (3, "0 1"),
        (9, "|m-|>4 1 >2 1"),
    ] {
        assert_eq!(packed_record::unpack(tasks, text).ok(), None, "{text}");
    }
    let odd = [TaskRun::single(0, 1, "m 1")];
    assert_eq!(packed_record::pack(2, &TaskSet::default(), &odd), None);
    let both = TaskSet(vec![(0, 0)]);
    let runs = [TaskRun::single(0, 1, "m-1")];
    assert_eq!(
        packed_record::pack(2, &both, &runs),
        None,
        "done and placed"
    );
}

/// How much fits into 2 KB: a gang of 32 on machines of its own, and an array of 240 tasks
/// with a machine for each, in whatever order they end.
#[test]
fn gangs_and_arrays_fit_into_two_kilobytes() {
    let (_, bytes) = fixture("record array");
    let v: Value = wire::decode(&bytes).expect("a value");
    let mut r = JobRecord::from_value(&v).expect("a record");
    let spread = |n: u32| -> Vec<TaskRun> {
        let machine = |t: u32| format!("m-{:06}", (t * 37) % 1700);
        (0..n).map(|t| TaskRun::single(t, 1, machine(t))).collect()
    };
    r.done = TaskSet::default();
    r.spec.shape = Shape::Gang;
    r.spec.tasks = 32;
    r.runs = spread(32);
    assert!(
        json_length(&r.to_value(0)) < 2048,
        "a gang fits even unpacked"
    );
    assert!(json_length(&r.to_value(1)) < 800);
    r.spec.shape = Shape::Array;
    r.spec.tasks = 240;
    r.runs = spread(240);
    assert!(json_length(&r.to_value(0)) > 4096);
    assert!(json_length(&r.to_value(1)) < 2048);
    for t in (0..240).step_by(2) {
        r.done.insert(t);
        r.runs.retain(|x| x.first != t);
        assert!(json_length(&r.to_value(1)) < 2048);
    }
}

const NEXT: &str = r#","next":{"value_kb":2.0,"txn_ops":4,"write_rps":15.0}"#;
const LOW: ReducedLimits = ReducedLimits {
    value_bytes: 2048,
    transaction_writes: 4,
    writes_per_s: 15.0,
};

fn with_next() -> Sim {
    with_limits(NEXT)
}

fn with_limits(next: &str) -> Sim {
    let mut sim = Sim::new();
    sim.deployment.announced_limits = next.into();
    sim.crash_all(|_| 1);
    sim.log.trace.clear();
    sim.run(5);
    sim
}

fn format_of(sim: &Sim) -> Option<u64> {
    let format = sim.store.keys.get("g/l/format")?;
    format
        .value
        .as_integer()
        .and_then(|i| u64::try_from(i).ok())
}

fn jobs(sim: &mut Sim) {
    sim.submit(
        0,
        &submission("run-000001", "sweep", 5, 4.0, "best_effort"),
        9000,
    );
    sim.submit(
        1,
        &submission("run-000002", "group", 3, 6.0, "normal"),
        12_000,
    );
}

/// A rolling upgrade: processes are killed one by one and come back new; one dies before
/// its turn and comes back old; leaders change, old and new. Nothing is written that the
/// old version can't read before all are new (the stand-ins look), and what it stored is
/// gone on with.
#[test]
fn a_rolling_upgrade() {
    for k in 0..8u64 {
        let mut sim = with_next();
        sim.store.logs_format = true;
        sim.deployment.previous_version.extend([0, 1, 2]);
        sim.run(1000);
        jobs(&mut sim);
        sim.run(4000 + 700 * k);
        let order = [[0, 1, 2], [2, 0, 1], [1, 2, 0]][k as usize % 3];
        for (turn, n) in order.into_iter().enumerate() {
            sim.deployment.previous_version.remove(&n);
            sim.note(format!("c{n} is upgraded"));
            sim.crash(n, 1500);
            sim.run(2500);
            if turn == 0 {
                // Another one, also the leader, dies before its turn.
                sim.crash(order[1], 400);
                sim.submit(
                    n,
                    &submission(&format!("run-0001{k:02}"), "sweep", 2, 4.0, "normal"),
                    4000,
                );
            }
            sim.run(2000 + 200 * k);
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
        if k == 1 {
            assert_kept_trace("rolling-upgrade", &sim.log.trace);
        }
    }
}

/// A controller that is down or cut off is not known to be new, so the format waits for it;
/// a submission that names others comes only after the upgrade, and is proof as well. So is
/// a refusal for a lower limit.
#[test]
fn proofs_raise_the_format() {
    let mut sim = with_next();
    sim.crash(2, 60_000);
    sim.run(12_000);
    assert_eq!(format_of(&sim), None);
    sim.submit(
        0,
        &submission("run-000001", "sweep", 1, 4.0, "normal"),
        3000,
    );
    sim.run(100);
    let v = submission("run-000002", "sweep", 1, 4.0, "normal");
    let Value::Map(mut m) = v else {
        panic!("a map")
    };
    let names = Value::Array(vec![Value::Text("run-000001".into())]);
    m.push((Value::Text("waitsOn".into()), names));
    let slot = sim.submit(1, &Value::Map(m), 1000);
    assert!(sim.until(2000, |sim| format_of(sim) == Some(1)));
    assert_eq!(sim.answer(slot), Some(job_reply(201, "pending")));
    sim.finish(60_000);
    sim.assert_sound();

    let mut sim = with_next();
    sim.crash(2, 60_000);
    sim.run(6000);
    sim.store.reduced_limits = Some(LOW);
    // Together they go beyond the lower limit of a transaction.
    let slots: Vec<usize> = (0..9)
        .map(|n| {
            let id = format!("run-00001{n}");
            sim.submit(0, &submission(&id, "sweep", 1, 4.0, "normal"), 1000)
        })
        .collect();
    let accepted = |sim: &Sim| {
        let one = |i: &usize| sim.answer(*i).is_some_and(|reply| reply.code == 201);
        slots.iter().all(one)
    };
    assert!(sim.until(3500, accepted), "{}", sim.trace_text());
    sim.finish(150_000);
    assert!(sim.store.refused_by_size > 0, "something was refused");
    assert_eq!(format_of(&sim), Some(1));
    sim.assert_sound();
}

/// The upgrade is begun and taken back, more than once, before the format is raised: what
/// either version stored is gone on with, and a controller that was new for a while and is
/// old again keeps the format down, although its key says that it was new.
#[test]
fn a_rollback_before_the_format_is_raised() {
    for k in 0..4u64 {
        let mut sim = with_next();
        sim.deployment.previous_version.extend([0, 1, 2]);
        sim.run(1000);
        jobs(&mut sim);
        sim.run(3000 + 900 * k);
        for n in [0, 1] {
            sim.deployment.previous_version.remove(&n);
            sim.crash(n, 600);
            sim.run(4000);
        }
        for n in [1, 0] {
            assert!(sim.store.keys.contains_key(&format!("g/l/m/c{n}")));
            sim.deployment.previous_version.insert(n);
            sim.note(format!("c{n} is put back"));
            sim.crash(n, 600);
            sim.run(4000);
        }
        // The third alone is new now, and leads for a while.
        sim.deployment.previous_version.remove(&2);
        for (n, away_ms) in [(0, 9000), (1, 11_000), (2, 300)] {
            sim.crash(n, away_ms);
        }
        assert!(sim.until(9000, |sim| sim.leader() == Some(2)));
        sim.run(12_000);
        assert_eq!(format_of(&sim), None, "{}", sim.trace_text());
        sim.deployment.previous_version.clear();
        for n in [0, 1] {
            sim.crash(n, 500);
        }
        assert!(sim.until(20_000, |sim| format_of(sim) == Some(1)));
        sim.store.reduced_limits = Some(LOW);
        sim.finish_and_check(120_000);
    }
}

/// A controller that was away during the whole upgrade comes back old before the format is
/// raised: it serves, and may lead, like any other.
#[test]
fn one_that_was_away_comes_back_old_before_the_format_is_raised() {
    let mut sim = with_next();
    sim.deployment.previous_version.extend([0, 1, 2]);
    sim.run(1000);
    sim.crash(2, 20_000);
    jobs(&mut sim);
    for n in [0, 1] {
        sim.deployment.previous_version.remove(&n);
        sim.crash(n, 800);
        sim.run(4000);
    }
    assert!(sim.until(25_000, |sim| sim.controllers[2].is_some()));
    sim.run(3000);
    assert_eq!(format_of(&sim), None);
    // It leads for a while, alone.
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

/// From format 1 on the key by which the version in production elects its leaders stays for
/// good and names nobody, whatever becomes of the leaders: a controller that comes back
/// with that version follows, and can't lead over records that it can't read.
#[test]
fn the_version_in_production_can_not_lead_from_format_1_on() {
    let mut sim = with_next();
    sim.run(1000);
    jobs(&mut sim);
    assert!(sim.until(20_000, |sim| format_of(sim) == Some(1)));
    let first = sim.leader().expect("a leader");
    sim.crash(first, 800);
    let fenced = |sim: &Sim| {
        // As that version reads it.
        let stored = sim.store.keys.get("g/l/leader")?;
        let key: LeaderKey = stored.value.deserialized().ok()?;
        let names_a_member = ["c0", "c1", "c2"].contains(&key.member.as_str());
        Some(!names_a_member && stored.grant.is_none())
    };
    assert!(sim.until(20_000, |sim| fenced(sim) == Some(true)));
    for k in 0..6usize {
        if k == 3 {
            (0..3).for_each(|n| sim.crash(n, 5000));
        } else {
            let leader = sim.leader();
            sim.crash(leader.unwrap_or(k % 3), 2000);
        }
        for _ in 0..60 {
            sim.run(100);
            assert_eq!(fenced(&sim), Some(true), "{}", sim.trace_text());
        }
    }
    assert!(sim.until(20_000, |sim| sim.leader().is_some()));
    sim.finish_and_check(120_000);
}

/// A store that allows two changes a transaction is served as well, through changes
/// of leader.
#[test]
fn two_changes_a_transaction_are_enough() {
    let mut sim = with_limits(r#","next":{"value_kb":2.0,"txn_ops":2,"write_rps":15.0}"#);
    sim.run(1000);
    jobs(&mut sim);
    assert!(sim.until(20_000, |sim| format_of(sim) == Some(1)));
    sim.store.reduced_limits = Some(ReducedLimits {
        transaction_writes: 2,
        ..LOW
    });
    for _ in 0..3 {
        let leader = sim.leader().expect("a leader");
        sim.crash(leader, 9000);
        assert!(sim.until(20_000, |sim| sim.leader().is_some_and(|l| l != leader)));
    }
    sim.finish_and_check(120_000);
    assert_eq!(sim.store.refused_by_size, 0);
}

/// A version that finds a later format than it knows writes nothing, leads nowhere, and
/// sends its users away with a time to come back instead of telling them that jobs are
/// unknown.
#[test]
fn a_later_format_is_left_alone() {
    let mut sim = with_next();
    sim.run(1000);
    jobs(&mut sim);
    sim.run(6000);
    let later = Value::Text("2, of a later version".into());
    sim.store.put("g/l/format", later);
    sim.run(6000);
    assert_eq!(sim.leader(), None);
    let revision = sim.store.revision;
    let ask = |sim: &mut Sim, n: usize, method: &str, path: &str, body: Vec<u8>| {
        let slot = sim.ask(n, method, path, body);
        assert!(sim.until(5000, |sim| sim.users.answers[slot].is_some()));
        let answer = sim.users.answers[slot].clone().expect("an answer");
        (answer.status, answer.retry_after)
    };
    let one = wire::encode(&submission("run-000009", "sweep", 1, 1.0, "normal"));
    for n in 0..3 {
        assert_eq!(ask(&mut sim, n, "GET", "/up", vec![]).0, 503);
        let polled = ask(&mut sim, n, "GET", "/work/run-000001", vec![]);
        assert_eq!(polled, (503, Some(1)));
        let submitted = ask(&mut sim, n, "POST", "/work", one.clone());
        assert_eq!(submitted, (503, Some(1)));
    }
    // Also one that has just begun.
    sim.crash(0, 100);
    sim.run(30_000);
    assert_eq!(sim.leader(), None);
    assert_eq!(ask(&mut sim, 0, "GET", "/up", vec![]).0, 503);
    assert_eq!(sim.store.revision, revision, "nothing is written");
}

/// The limits fall at each step of jobs' lives, during an election, with large records
/// stored, and while jobs are cancelled: nothing is refused for its size, lost or stuck.
#[test]
fn limits_fall_at_every_step() {
    let mut largest = 0;
    for k in 0..24u64 {
        let mut sim = with_limits(r#","next":{"value_kb":1.0,"txn_ops":4,"write_rps":15.0}"#);
        sim.cloud.capacity = 60;
        if k % 3 == 0 {
            // An old leader has stored a large record.
            sim.deployment.previous_version.extend([0, 1, 2]);
        }
        sim.run(1000);
        jobs(&mut sim);
        sim.submit(
            2,
            &submission("run-000003", "sweep", 90, 5.0, "best_effort"),
            9000,
        );
        for n in 10..22 {
            let one = submission(&format!("run-0000{n}"), "sweep", 1, 1.0, "best_effort");
            sim.submit(0, &one, 5000);
        }
        sim.run(6500 + 250 * k);
        let stored = sim.store.keys.get("g/j/run-000003");
        largest = largest.max(stored.map_or(0, |stored| json_length(&stored.value)));
        if k % 3 == 0 {
            sim.deployment.previous_version.clear();
            sim.crash_all(|controller| 300 + 400 * controller);
            assert!(sim.until(25_000, |sim| format_of(sim) == Some(1)));
        }
        if k % 3 == 1 {
            let l = sim.leader().expect("a leader");
            sim.crash(l, 300);
            sim.run(60 * k);
        }
        sim.store.reduced_limits = Some(ReducedLimits {
            value_bytes: 1024,
            ..LOW
        });
        sim.note("the limits fall".into());
        if k % 4 == 2 {
            let slot = sim.cancel(1, "run-000003");
            sim.run(3000);
            assert!(
                sim.answer(slot).is_some_and(|reply| reply.code == 200),
                "{}",
                sim.trace_text()
            );
        }
        sim.finish_and_check(150_000);
        assert_eq!(sim.store.refused_by_size, 0, "{k}");
        assert!(
            sim.store.refused_by_rate < 20,
            "{k}: {} refused",
            sim.store.refused_by_rate
        );
    }
    assert!(
        largest > 1024,
        "one was larger than what holds later: {largest}"
    );
}

/// A plan gives an array more places than its record may hold: it gets as many as fit, and
/// what is written keeps to the limit, also while its tasks end one by one; and what was
/// placed before the limits fell still fits afterwards.
#[test]
fn as_many_places_as_the_record_holds() {
    for placed_in_format in [0, 1] {
        places_of_a_large_array(placed_in_format);
    }
}

fn places_of_a_large_array(format: u64) {
    let text = format!(
        r#"{{"teams":[{{"name":"line-vision"}}],"workers":{{"report_s":3.0,"lease_s":36.0,
        "gang_wait_s":35.0,"gang_peer_s":4.0,"cancel_s":60.0}},
        "state":{{"rps":9.0,"write_rps":9.0,"value_kb":16.0,"txn_ops":20{NEXT}}},
        "cloud":{{"rps":9.0,"list_lag_s":1.0}},
        "limits":{{"cpu_share":0.1,"ram_mb":200.0,"fd_limit":1000}}}}"#
    );
    let cluster: ClusterSettings = serde_json::from_str(&text).expect("settings");
    let kind = |name: &str| wire::MachineType {
        name: name.into(),
        cpus: 32.0,
        gpus: 4.0,
        memory_gb: 256.0,
        cache_gb: 100.0,
        fetch_gb_per_s: 1.0,
        hourly_price: 1.0,
        spot_price: 0.5,
        boot_s: 40.0,
        zones: vec!["a".into()],
    };
    let term = Term {
        member: "c0".into(),
        epoch: 2,
        key: gaugesill::leadership_keys::LEADER_KEY,
        key_version: 3,
        began_wall_ms: 1_000_000,
    };
    let machine_types = Arc::new(vec![kind("vidin-32")]);
    let mut c = Scheduler::new(
        term,
        &cluster,
        &OperatorSettings::default(),
        machine_types,
        &WatchCache::default(),
        1,
    );
    let lowered = cluster.state.lowered();
    match format {
        0 => c.set_format(0, &cluster.state),
        _ => c.set_format(format, &lowered),
    }
    let (_, bytes) = fixture("record fresh");
    let v: Value = wire::decode(&bytes).expect("a value");
    let mut record = JobRecord::from_value(&v).expect("a record");
    record.spec.tasks = 900;
    let record = Arc::new(record);
    c.apply_record("run-1", &LiveJob { record, version: 1 }, 1000);
    let machine = |n: u32| format!("m-{:06}", (n * 37) % 1700);
    let report = |n: u32, serial: u64, tasks: Vec<wire::TaskStatus>| wire::AgentStatus {
        machine: machine(n),
        endpoint: "10.1.0.1:9000".into(),
        machine_type: "vidin-32".into(),
        zone: "a".into(),
        spot: true,
        incarnation: 1,
        serial,
        epoch: 2,
        interruption_in_s: None,
        tasks,
    };
    for n in 0..900 {
        c.on_agent_status(&report(n, 1, vec![]), StatusOrigin::Heartbeat, 1500);
    }
    let placements = vec![PlannedPlacement {
        job: "run-1".into(),
        tasks: (0..900).map(|n| (n, machine(n).as_str().into())).collect(),
    }];
    let d = Decision {
        placements,
        ..Decision::default()
    };
    c.apply_decision(d, 0, 2000, 1_002_000);
    let placed = c.jobs["run-1"].placements.len() as u32;
    assert!((200..400).contains(&placed), "{placed}");
    c.set_format(1, &lowered);
    let mut now = 2000;
    let mut flown = false;
    for n in (0..placed).rev().step_by(2).chain((0..placed).step_by(2)) {
        let ended = wire::TaskStatus {
            task: format!("run-1/{n}"),
            attempt: 1,
            status: "ended".into(),
            cause: Some("done".into()),
            kept: None,
        };
        c.on_agent_status(&report(n, 2, vec![ended]), StatusOrigin::Heartbeat, now);
        now += 1100;
        c.tick(now, 9, 9);
        for e in c.take_effects() {
            if let Effect::Write { change, writes, .. } = e {
                let size = writes[0].value.as_ref().map_or(0, json_length);
                assert!(size <= 2048, "{size} with {n} done");
                c.on_commit(
                    "run-1",
                    change,
                    None,
                    &CommitResult::Committed { revision: now },
                    now,
                );
                flown = true;
            }
        }
    }
    assert!(flown);
}

/// A gang whose places would never fit into its record is refused before it is accepted, as
/// it would wait for ever.
#[test]
fn a_gang_that_no_record_holds_is_refused() {
    let mut sim = with_limits(r#","next":{"value_kb":1.0,"txn_ops":4,"write_rps":15.0}"#);
    sim.run(1000);
    let ask = |sim: &mut Sim, v: &Value| {
        let slot = sim.ask(0, "POST", "/work", wire::encode(v));
        assert!(sim.until(5000, |sim| sim.users.answers[slot].is_some()));
        let answer = sim.users.answers[slot].clone().expect("an answer");
        (answer.status, wire::readable(&answer.body))
    };
    let (status, why) = ask(
        &mut sim,
        &submission("run-000001", "group", 100, 1.0, "normal"),
    );
    assert_eq!(status, 422);
    assert!(why.contains("too large to be kept"), "{why}");
    // An array gets as many places as fit, and a value of the usual size holds the gang.
    let array = submission("run-000002", "sweep", 100, 1.0, "normal");
    assert_eq!(ask(&mut sim, &array).0, 201);
    let mut sim = Sim::new();
    sim.run(1000);
    let gang = submission("run-000003", "group", 100, 1.0, "normal");
    assert_eq!(ask(&mut sim, &gang).0, 201);
}

/// A submission names what a controller of the version in production accepted a moment ago,
/// and what that version ended long ago.
#[test]
fn what_the_version_in_production_accepted_may_be_named() {
    let mut sim = with_next();
    sim.deployment.previous_version.extend([0, 1, 2]);
    sim.run(1000);
    let over = sim.submit(0, &submission("run-000001", "sweep", 1, 4.0, "normal"), 500);
    assert!(sim.until(40_000, |sim| sim.store.keys.contains_key("g/f/run-000001")));
    assert_eq!(sim.answer(over).map(|reply| reply.code), Some(201));
    for n in [1, 2] {
        sim.deployment.previous_version.remove(&n);
        sim.crash(n, 500);
        sim.run(3000);
    }
    let fresh = sim.submit(0, &submission("run-000002", "sweep", 1, 4.0, "normal"), 500);
    assert!(sim.until(2000, |sim| sim.answer(fresh).is_some()));
    sim.deployment.previous_version.clear();
    let mut v = submission("run-000003", "sweep", 1, 4.0, "normal");
    if let Value::Map(m) = &mut v {
        let names = ["run-000001", "run-000002"].map(|n| Value::Text(n.into()));
        m.push((Value::Text("waitsOn".into()), Value::Array(names.into())));
    }
    let named = sim.submit(1, &v, 500);
    assert!(sim.until(2000, |sim| sim.answer(named).is_some()));
    assert_eq!(sim.answer(named), Some(job_reply(201, "pending")));
    sim.finish_and_check(60_000);
}

/// Limits to come are checked like those that hold.
#[test]
fn limits_to_come_are_checked() {
    let check = |next: &str| {
        let text = format!(
            r#"{{"member":"w0","zone":"z","front":"10.0.0.1:8080","mesh_addr":"10.0.0.1:8081",
            "known":[],"endpoints":{{"cloud":"10.2.0.2:8443","state":"10.2.0.1:2379"}},
            "cluster":{{"workers":{{"report_s":3,"lease_s":36.0,"gang_wait_s":35.0,"gang_peer_s":4.0,
            "cancel_s":66.0}},"state":{{"rps":100,"write_rps":25.0,"value_kb":16.0,"txn_ops":20{next}}},
            "cloud":{{"rps":5.0,"list_lag_s":3.0}},
            "limits":{{"cpu_share":0.08,"ram_mb":200,"fd_limit":4000}}}}}}"#
        );
        let settings: Settings = serde_json::from_str(&text).map_err(|e| e.to_string())?;
        settings.check().map_err(|e| e.to_string())?;
        Ok::<_, String>(settings.cluster.state.lowered())
    };
    let low = check(NEXT).expect("good ones");
    assert_eq!(
        (low.value_kb, low.txn_ops, low.write_rps, low.rps),
        (2.0, 4, 15.0, 100.0)
    );
    assert_eq!(check("").expect("none").value_kb, 16.0);
    assert_eq!(check(r#","next":null"#).expect("none").txn_ops, 20);
    assert_eq!(
        check(r#","next":{"value_kb":99.0,"new":1}"#)
            .expect("higher")
            .value_kb,
        16.0
    );
    for (next, field) in [
        (r#","next":{"txn_ops":1}"#, "next.txn_ops"),
        (r#","next":{"value_kb":0.5}"#, "next.value_kb"),
        (r#","next":{"write_rps":0}"#, "next.write_rps"),
        (r#","next":{"write_rps":"x"}"#, "invalid type"),
    ] {
        let e = check(next).expect_err(next);
        assert!(e.contains(field), "{e}");
    }
}
