//! Jobs that need others: pipelines, their cancellations, and each meeting of two
//! troubles upon them. The stand-ins break a test when a task starts before all that its
//! job needs is done, or when a job whose dependency was cancelled is still called
//! pending.

mod common;

use std::sync::Arc;

use ciborium::Value;
use common::{assert_kept_trace, job_reply, submission, JobReply, ReducedLimits, Sim, Writes};
use gaugesill::dependencies::{DependencyEvent, DependencyGraph, DependencyState};
use gaugesill::job::{FinalState, JobRecord, JobSpec, Priority, TaskRun};
use gaugesill::scheduler::{Scheduler, StatusOrigin, Term};
use gaugesill::settings::OperatorSettings;
use gaugesill::watch_cache::{LiveJob, WatchCache};
use gaugesill::wire;

/// A submission that names others.
fn depending_on(mut v: Value, dependencies: &[&str]) -> Value {
    if let Value::Map(m) = &mut v {
        let list = dependencies
            .iter()
            .map(|n| Value::Text((*n).into()))
            .collect();
        m.push((Value::Text("waitsOn".into()), Value::Array(list)));
    }
    v
}

fn array(id: &str, tasks: u32, dependencies: &[&str]) -> Value {
    depending_on(
        submission(id, "sweep", tasks, 2.0, "best_effort"),
        dependencies,
    )
}

fn gang(id: &str, tasks: u32, dependencies: &[&str]) -> Value {
    depending_on(submission(id, "group", tasks, 2.0, "normal"), dependencies)
}

const SPLIT: &str = "run-000001";
const MATCH: [&str; 2] = ["run-000002", "run-000003"];
const SCORE: &str = "run-000004";
const REPORT: &str = "run-000005";
const ALL: [&str; 5] = [SPLIT, MATCH[0], MATCH[1], SCORE, REPORT];

/// A pipeline as the operators describe it, submitted at one controller after the other.
fn pipeline(sim: &mut Sim) {
    let stages = [
        (array(SPLIT, 3, &[]), 3000),
        (array(MATCH[0], 4, &[SPLIT]), 4000),
        (array(MATCH[1], 3, &[SPLIT]), 3000),
        (gang(SCORE, 2, &[MATCH[0], MATCH[1]]), 3000),
        (array(REPORT, 2, &[SPLIT, SCORE]), 1500),
    ];
    for (n, (v, run)) in stages.into_iter().enumerate() {
        let slot = sim.submit(n % 3, &v, run);
        assert!(sim.until(3000, |sim| sim.answer(slot).is_some()));
        assert_eq!(sim.answer(slot), Some(job_reply(201, "pending")));
    }
}

fn started(sim: &mut Sim) {
    sim.run(1000);
    pipeline(sim);
}

fn status(sim: &mut Sim, controller: usize, id: &str) -> Option<JobReply> {
    let slot = sim.poll(controller, id);
    sim.until(2500, |sim| sim.answer(slot).is_some());
    sim.answer(slot)
}

/// The same answer everywhere.
fn everywhere(sim: &mut Sim, id: &str, pending: &str) {
    for n in 0..3 {
        let got = status(sim, n, id);
        assert_eq!(
            got,
            Some(job_reply(200, pending)),
            "{id} on c{n}\n{}",
            sim.trace_text()
        );
    }
}

#[test]
fn a_pipeline_runs_in_its_order() {
    let mut sim = Sim::new();
    started(&mut sim);
    sim.run(300);
    everywhere(&mut sim, REPORT, "pending");
    sim.finish(90_000);
    for id in ALL {
        everywhere(&mut sim, id, "done");
    }
    sim.assert_sound();
    assert_kept_trace("pipeline", &sim.log.trace);
}

/// The leader crashes at each moment of a pipeline's life, and the others with it at
/// some; what the successor knows of jobs that are over is looked up.
#[test]
fn the_leader_crashes_at_every_step_of_a_pipeline() {
    for k in 0..40u64 {
        let mut sim = Sim::new();
        started(&mut sim);
        sim.run(600 * k);
        if k % 3 == 2 {
            for n in 0..3 {
                sim.crash(n, 200 + 300 * ((k + n as u64) % 4));
            }
        } else if let Some(l) = sim.leader() {
            sim.crash(l, if k % 2 == 0 { 150 } else { 3000 });
        }
        sim.finish_and_check(150_000);
    }
}

/// What may be named: only jobs that were accepted, by any controller a moment ago, or
/// long ago and over. What can't be looked up is put off.
#[test]
fn only_accepted_jobs_may_be_named() {
    let mut sim = Sim::new();
    sim.run(1000);
    let ask = |sim: &mut Sim, n: usize, v: &Value| {
        let slot = sim.ask(n, "POST", "/work", wire::encode(v));
        assert!(sim.until(5000, |sim| sim.answer(slot).is_some()));
        sim.answer(slot).expect("an answer")
    };
    for bad in [
        Value::Text(SPLIT.into()),
        Value::Integer(3.into()),
        Value::Array(vec![Value::Integer(3.into())]),
        Value::Array(vec![Value::Text("job-1".into())]),
        Value::Array(vec![Value::Null]),
    ] {
        let mut v = submission("run-000009", "sweep", 1, 1.0, "normal");
        if let Value::Map(m) = &mut v {
            m.push((Value::Text("waitsOn".into()), bad));
        }
        assert_eq!(ask(&mut sim, 0, &v).code, 400, "{v:?}");
    }
    // Never accepted; itself.
    for n in 0..3 {
        assert_eq!(
            ask(&mut sim, n, &array("run-000009", 1, &["run-000077"])).code,
            422
        );
        assert_eq!(
            ask(&mut sim, n, &array("run-000009", 1, &["run-000009"])).code,
            422
        );
    }
    // Null and an empty list name nothing.
    let nothing = [
        ("run-000008", Value::Null),
        ("run-000006", Value::Array(vec![])),
    ];
    for (id, value) in nothing {
        let mut v = submission(id, "sweep", 1, 1.0, "normal");
        if let Value::Map(m) = &mut v {
            m.push((Value::Text("waitsOn".into()), value));
        }
        let slot = sim.submit(0, &v, 500);
        assert!(sim.until(1000, |sim| sim.answer(slot).is_some()));
        assert_eq!(sim.answer(slot), Some(job_reply(201, "pending")));
        assert!(sim.jobs[id].dependencies.is_empty());
    }
    // Another controller has accepted it a millisecond ago.
    let first = sim.submit(1, &array(SPLIT, 1, &[]), 2000);
    assert!(sim.until(1000, |sim| sim.answer(first).is_some()));
    let second = sim.submit(2, &array(MATCH[0], 1, &[SPLIT, SPLIT]), 2000);
    assert!(sim.until(1000, |sim| sim.answer(second).is_some()));
    assert_eq!(sim.answer(second), Some(job_reply(201, "pending")));
    assert_eq!(
        sim.jobs[MATCH[0]].dependencies.len(),
        1,
        "named twice counts once"
    );
    sim.finish(60_000);
    // Long over, and a controller that has just begun: looked up, without having read
    // all that is over.
    sim.crash_all(|_| 100);
    assert!(sim.until(9000, |sim| sim.leader().is_some()));
    sim.run(3000);
    let late = sim.submit(2, &array(REPORT, 1, &[MATCH[0]]), 1000);
    assert!(sim.until(3000, |sim| sim.answer(late).is_some()));
    assert_eq!(sim.answer(late), Some(job_reply(201, "pending")));
    // A repetition gets the present state, whatever has become of what it names.
    assert_eq!(
        ask(&mut sim, 1, &array(MATCH[0], 1, &["run-000077"])),
        job_reply(200, "done")
    );
    sim.finish(60_000);
    // What can't be looked up is neither accepted nor refused.
    sim.faults.store_outage = true;
    sim.run(4000);
    assert_eq!(
        ask(&mut sim, 0, &array("run-000009", 1, &["run-000077"])).code,
        503
    );
    sim.faults.store_outage = false;
    sim.run(3000);
    assert_eq!(
        ask(&mut sim, 0, &array("run-000009", 1, &["run-000077"])).code,
        422
    );
    sim.assert_sound();
}

/// Names beyond what a record can hold are refused with their reason.
#[test]
fn too_many_dependencies_are_refused() {
    let mut sim = Sim::new();
    sim.deployment.announced_limits =
        r#","next":{"value_kb":2.0,"txn_ops":4,"write_rps":15.0}"#.into();
    sim.crash_all(|_| 1);
    sim.run(1000);
    let names: Vec<String> = (0..300).map(|n| format!("run-9{n:05}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let slot = sim.ask(0, "POST", "/work", wire::encode(&array(SPLIT, 1, &names)));
    sim.run(300);
    let answer = sim.users.answers[slot].clone().expect("an answer");
    assert_eq!(answer.status, 400);
    assert!(wire::readable(&answer.body).contains("too long to be kept"));
}

/// A job of a pipeline is cancelled at each moment: all that need it are cancelled with
/// it, at once and everywhere, and nothing that does not need it; if it is done by then,
/// they go on.
#[test]
fn cancellation_reaches_all_dependents() {
    for k in 0..45u64 {
        let mut sim = Sim::new();
        started(&mut sim);
        sim.run(500 * (k / 3));
        let (id, after): (&str, &[&str]) = match k % 3 {
            0 => (SPLIT, &[MATCH[0], MATCH[1], SCORE, REPORT]),
            1 => (MATCH[0], &[SCORE, REPORT]),
            _ => (SCORE, &[REPORT]),
        };
        let told = sim.cancel_until_answered(id);
        for x in after {
            if told == "withdrawn" {
                everywhere(&mut sim, x, "withdrawn");
            }
        }
        // One that names it afterwards is accepted, and cancelled with it.
        let late = sim.submit((k % 3) as usize, &array("run-000007", 1, &[id]), 500);
        assert!(sim.until(3000, |sim| sim.answer(late).is_some()));
        assert_eq!(sim.answer(late).map(|reply| reply.code), Some(201));
        if told == "withdrawn" {
            everywhere(&mut sim, "run-000007", "withdrawn");
        }
        sim.finish(120_000);
        for x in after.iter().chain([&"run-000007"]) {
            everywhere(&mut sim, x, &told);
        }
        sim.assert_sound();
        sim.assert_known();
    }
}

/// A cancellation meets the end of the last task of what others need, and the submission
/// of one that names it, in steps of milliseconds: one outcome, everywhere.
#[test]
fn a_cancellation_meets_an_end_and_a_submission() {
    let begin = |sim: &mut Sim| {
        sim.run(1000);
        sim.submit(0, &array(SPLIT, 2, &[]), 3000);
        sim.submit(1, &array(MATCH[0], 1, &[SPLIT]), 1000);
    };
    let mut sim = Sim::new();
    begin(&mut sim);
    assert!(sim.until(60_000, |sim| sim.jobs[SPLIT].done.len() == 2));
    let end = sim.now;
    let mut withdrawn = 0;
    for k in 0..48u64 {
        let mut sim = Sim::new();
        begin(&mut sim);
        sim.run(end - 40 + 2 * k - sim.now);
        let slot = sim.ask(
            k as usize % 3,
            "POST",
            &format!("/work/{SPLIT}/cancel"),
            vec![],
        );
        sim.run(k % 5);
        let late = sim.submit((k as usize + 1) % 3, &array(SCORE, 1, &[SPLIT]), 500);
        assert!(sim.until(9000, |sim| sim.answer(slot).is_some()
            && sim.answer(late).is_some()));
        let reply = sim.answer(slot).expect("an answer");
        assert_eq!(reply.code, 200);
        let told = reply.status;
        withdrawn += usize::from(told == "withdrawn");
        sim.finish(60_000);
        for id in [SPLIT, MATCH[0], SCORE] {
            everywhere(&mut sim, id, &told);
        }
        sim.assert_sound();
    }
    assert!((1..48).contains(&withdrawn), "both orders were met");
}

/// While a cancellation spreads over a chain and a fan, the leader crashes, all do, or the
/// store goes out; a controller that has just begun tells the same.
#[test]
fn a_cancellation_spreads_across_crashes() {
    for k in 0..10u64 {
        let mut sim = Sim::new();
        sim.deployment.announced_limits =
            r#","next":{"value_kb":2.0,"txn_ops":4,"write_rps":15.0}"#.into();
        sim.crash_all(|_| 1);
        sim.run(1000);
        sim.submit(0, &array("run-000100", 1, &[]), 200_000);
        sim.run(100);
        for n in 0..24u32 {
            let id = format!("run-{:06}", 101 + n);
            // A chain of twelve, and twelve beside one another.
            let before = format!("run-{:06}", if n < 12 { 100 + n } else { 100 });
            sim.submit((n % 3) as usize, &array(&id, 1, &[&before]), 500);
            sim.run(60);
        }
        sim.run(400);
        assert_eq!(sim.cancel_until_answered("run-000100"), "withdrawn");
        sim.run(35 * k);
        // Half the time the limits fall while the cancellation spreads.
        let low = ReducedLimits {
            value_bytes: 2048,
            transaction_writes: 4,
            writes_per_s: 15.0,
        };
        sim.store.reduced_limits = (k % 2 == 1).then_some(low);
        match k % 4 {
            0 => {
                let l = sim.leader().expect("a leader");
                sim.crash(l, 400);
            }
            1 => (0..3).for_each(|n| sim.crash(n, 300 + 200 * n as u64)),
            2 => sim.faults.store_outage = true,
            _ => {
                sim.faults.writes = Writes::Late {
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
        for n in [101, 111, 112, 113, 124] {
            everywhere(&mut sim, &format!("run-{n:06}"), "withdrawn");
        }
        sim.faults.writes = Writes::Answered;
        sim.finish_and_check(60_000);
        assert_eq!(sim.store.refused_by_size, 0);
    }
}

/// A job that waits holds nothing of its team's limit: others run beside it.
#[test]
fn a_waiting_job_holds_no_quota() {
    let mut sim = Sim::with_team(r#"{"name":"t","cpus_max":8.0}"#, 8.0);
    sim.run(1000);
    sim.submit(0, &array(SPLIT, 1, &[]), 30_000);
    sim.run(100);
    sim.submit(0, &gang(SCORE, 4, &[SPLIT]), 2000);
    sim.submit(0, &array(REPORT, 3, &[]), 2000);
    assert!(
        sim.until(20_000, |sim| sim.jobs[REPORT].done.len() == 3),
        "{}",
        sim.trace_text()
    );
    assert_eq!(sim.jobs[SCORE].started_at, None);
    sim.finish(90_000);
    sim.assert_sound();
}

fn spec(
    dependencies: &[&str],
    priority: Priority,
    expected_s: f64,
    deadline_s: Option<f64>,
) -> JobSpec {
    let body = wire::encode(&array("run-000000", 1, &[]));
    let (_, spec) = wire::parse_submission(&body).expect("a good one");
    JobSpec {
        cpus: 1.0,
        priority,
        expected_s,
        deadline_s,
        dependencies: dependencies.iter().map(|n| (*n).to_string()).collect(),
        ..spec
    }
}

fn control() -> Scheduler {
    let text = r#"{"teams":[{"name":"t"}],"workers":{"report_s":3.0,"lease_s":36.0,
        "gang_wait_s":35.0,"gang_peer_s":4.0,"cancel_s":60.0},
        "state":{"rps":9.0,"write_rps":9.0,"value_kb":16.0,"txn_ops":20},
        "cloud":{"rps":9.0,"list_lag_s":1.0},
        "limits":{"cpu_share":0.1,"ram_mb":200.0,"fd_limit":1000}}"#;
    Scheduler::new(
        Term {
            member: "c0".into(),
            epoch: 2,
            key: gaugesill::leadership_keys::LEADER_KEY,
            key_version: 3,
            began_wall_ms: 1_000_000,
        },
        &serde_json::from_str(text).expect("settings"),
        &OperatorSettings::default(),
        Arc::new(vec![]),
        &WatchCache::default(),
        1000,
    )
}

fn see(c: &mut Scheduler, id: &str, spec: JobSpec) {
    let live = LiveJob {
        record: Arc::new(JobRecord::new(spec, 1_000_000)),
        version: 1,
    };
    c.apply_record(id, &live, 1000);
}

/// The urgency and the deadline of a chain's last job order all before it, less the work
/// still between, in whatever order the jobs are seen, and at once when the last comes
/// late. Their records keep what their users asked for.
#[test]
fn the_critical_path_orders_dependencies() {
    let low = |dependencies: &[&str], sim| spec(dependencies, Priority::Low, sim, None);
    let chain = [
        ("run-1", low(&[], 15.0)),
        ("run-2", low(&["run-1"], 25.0)),
        ("run-3", low(&["run-1"], 90.0)),
        ("run-4", low(&["run-2", "run-3"], 20.0)),
        ("run-5", spec(&["run-4"], Priority::High, 8.0, Some(300.0))),
    ];
    for order in [[0, 1, 2, 3, 4], [4, 3, 2, 1, 0], [2, 4, 0, 3, 1]] {
        let mut c = control();
        for i in order {
            let (id, spec) = &chain[i];
            see(&mut c, id, spec.clone());
        }
        // run-5 is due at 1300, so run-4 by 1292, run-3 by 1272, run-1 by 1182.
        let sim = c.snapshot(1000, 1_000_000);
        assert_eq!(sim.jobs.len(), 1, "the others wait");
        assert_eq!(sim.teams["t"].requested_cpus, 1.0, "and ask for nothing");
        assert_eq!(&*sim.jobs[0].id, "run-1");
        assert_eq!(sim.jobs[0].spec.priority, Priority::High);
        assert_eq!(sim.jobs[0].start_by_s, Some(1182.0 - 15.0));
        c.dependencies_done("run-2", 1_050_000);
        c.dependencies_done("run-3", 1_050_000);
        let sim = c.snapshot(2000, 1_060_000);
        let by = |id: &str| {
            sim.jobs
                .iter()
                .find(|j| *j.id == *id)
                .and_then(|j| j.start_by_s)
        };
        assert_eq!(by("run-2"), Some(1272.0 - 25.0));
        assert_eq!(by("run-3"), Some(1272.0 - 90.0));
    }
    // A leader that rewrites such a record writes the job's own urgency.
    let mut c = control();
    for (id, spec) in &chain {
        see(&mut c, id, spec.clone());
    }
    c.mark_cancelled("run-1", 1500);
    c.tick(9000, 5, 9);
    let rewritten = c.take_effects().into_iter().find_map(|e| match e {
        gaugesill::scheduler::Effect::Write { job, writes, .. } if job == "run-1" => Some(writes),
        _ => None,
    });
    assert!(rewritten.is_some());
}

/// What has begun keeps its own urgency on record, lifted or not.
#[test]
fn a_raised_dependency_keeps_its_own_priority_on_record() {
    let mut c = control();
    let mut record = JobRecord::new(spec(&[], Priority::Low, 15.0, None), 1_000_000);
    record.runs = vec![TaskRun::single(0, 1, "m-0")];
    record.spec.tasks = 2;
    record.next_attempt = 2;
    let live = LiveJob {
        record: Arc::new(record),
        version: 1,
    };
    c.apply_record("run-1", &live, 1000);
    see(
        &mut c,
        "run-2",
        spec(&["run-1"], Priority::High, 8.0, Some(60.0)),
    );
    assert_eq!(c.jobs["run-1"].spec.priority, Priority::High);
    let r = wire::AgentStatus {
        machine: "m-0".into(),
        endpoint: "10.1.0.1:9000".into(),
        machine_type: "f8".into(),
        zone: "a".into(),
        spot: false,
        incarnation: 1,
        serial: 1,
        epoch: 2,
        interruption_in_s: None,
        tasks: vec![wire::TaskStatus {
            task: "run-1/0".into(),
            attempt: 1,
            status: "ended".into(),
            cause: Some("done".into()),
            kept: None,
        }],
    };
    c.on_agent_status(&r, StatusOrigin::Heartbeat, 2000);
    c.tick(9000, 5, 9);
    let written = c.take_effects().into_iter().find_map(|e| match e {
        gaugesill::scheduler::Effect::Write { writes, .. } => writes[0].value.clone(),
        _ => None,
    });
    let record = JobRecord::from_value(&written.expect("a change")).expect("a record");
    assert_eq!(record.spec.priority, Priority::Low);
    assert!(record.done.contains(0));
}

/// Chains of thousands and fans of thousands: no recursion, and a change costs what hangs
/// on it.
#[test]
fn deep_chains_and_wide_fans() {
    let name = |n: usize| format!("run-{n:06}");
    let mut d = DependencyGraph::default();
    let mut then = Vec::new();
    let n = 20_000;
    for i in 0..n {
        let dependencies: Vec<String> = if i == 0 { vec![] } else { vec![name(i - 1)] };
        d.add(
            &name(i),
            &dependencies,
            |_| DependencyState::Live { cancelled: false },
            &mut then,
        );
        let fan = format!("run-9{i:06}");
        d.add(
            &fan,
            &[name(0)],
            |_| DependencyState::Live { cancelled: false },
            &mut then,
        );
    }
    assert!(then.is_empty());
    assert!(!d.has_unresolved(&name(n - 1)));
    d.on_cancelled(&name(0), &mut then);
    assert_eq!(then.len(), 2 * n - 1);
    assert!(d.is_cancelled(&name(n - 1)));
    // The same again tells nothing new.
    then.clear();
    d.on_cancelled(&name(0), &mut then);
    assert!(then.is_empty());
    // One that names a fallen one falls.
    d.add(
        "run-7",
        &[name(n - 1)],
        |_| DependencyState::Live { cancelled: false },
        &mut then,
    );
    assert_eq!(then, [DependencyEvent::Cancelled("run-7".into())]);
}

/// What a live job needs and nobody remembers is looked up; until then nothing is told of
/// those that hang on it, and they wait.
#[test]
fn forgotten_final_states_are_looked_up() {
    let mut d = DependencyGraph::default();
    let mut then = Vec::new();
    let known = |n: &str| match n {
        "run-1" => DependencyState::Unknown,
        _ => DependencyState::Live { cancelled: false },
    };
    d.add("run-2", &["run-1".into()], known, &mut then);
    d.add("run-3", &["run-2".into()], known, &mut then);
    d.add("run-4", &[], known, &mut then);
    assert_eq!(d.unresolved().iter().collect::<Vec<_>>(), ["run-1"]);
    assert!(d.has_unresolved("run-2") && d.has_unresolved("run-3") && !d.has_unresolved("run-4"));
    d.on_done("run-1", &mut then);
    assert_eq!(then, [DependencyEvent::Ready("run-2".into())]);
    assert!(!d.has_unresolved("run-3") && d.is_waiting("run-3") && !d.is_waiting("run-2"));
    // Seen before what it needs, as a read in the order of names may have it.
    then.clear();
    d.add(
        "run-5",
        &["run-6".into()],
        |_| DependencyState::Unknown,
        &mut then,
    );
    d.add("run-6", &[], known, &mut then);
    assert!(!d.has_unresolved("run-5") && d.is_waiting("run-5"));
    d.on_cancelled("run-6", &mut then);
    assert_eq!(then, [DependencyEvent::Cancelled("run-5".into())]);
    d.remove("run-5");
    d.remove("run-6");
    assert!(!d.is_cancelled("run-5"));
}

/// Finals are kept as ever: one that is withdrawn long after is still found, and told of
/// those that named it.
#[test]
fn the_replica_reports_cancelled_dependents() {
    let mut p = WatchCache::default();
    p.revision = 1;
    let set = |key: &str, value: Value, version| wire::KeyChange {
        set: Some(key.into()),
        value: Some(value),
        delete: None,
        version,
    };
    let job = |dependencies: &[&str]| {
        JobRecord::new(spec(dependencies, Priority::Low, 9.0, None), 7).to_value(1)
    };
    p.apply_changes(
        3,
        1,
        &[
            set("g/j/run-2", job(&["run-1"]), 2),
            set("g/j/run-3", job(&["run-2"]), 3),
        ],
    );
    assert!(p.dependencies.has_unresolved("run-3"));
    p.record_final("run-1", FinalState::Cancelled);
    assert_eq!(
        p.take_dependency_events(),
        [
            DependencyEvent::Cancelled("run-2".into()),
            DependencyEvent::Cancelled("run-3".into())
        ]
    );
    assert!(p.is_cancelled("run-3") && !p.dependencies.has_unresolved("run-3"));
    assert_eq!(
        p.dependency_state("run-2"),
        DependencyState::Live { cancelled: false },
        "its own record says nothing yet"
    );
}
