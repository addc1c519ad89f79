//! How dependents raise the priority of the jobs that they depend on.

use std::sync::Arc;

use gaugesill::epoch::Epoch;
use gaugesill::job::{JobRecord, JobSpec, Priority, TaskRun};
use gaugesill::leadership_keys::LEADER_KEY;
use gaugesill::scheduler::{Effect, LeaderTerm, Scheduler, StatusOrigin};
use gaugesill::settings::OperatorSettings;
use gaugesill::watch_cache::{LiveJob, WatchCache};
use gaugesill::wire::Incarnation;
use gaugesill::wire::{AgentStatus, TaskStatus};

use crate::support::spec;

/// The scheduler of a leader that knows no machines and no jobs.
fn new_scheduler() -> Scheduler {
    let text = r#"{"teams":[{"name":"t"}],"workers":{"report_s":3.0,"lease_s":36.0,
        "gang_wait_s":35.0,"gang_peer_s":4.0,"cancel_s":60.0},
        "state":{"rps":9.0,"write_rps":9.0,"value_kb":16.0,"txn_ops":20},
        "cloud":{"rps":9.0,"list_lag_s":1.0},
        "limits":{"cpu_share":0.1,"ram_mb":200.0,"fd_limit":1000}}"#;
    Scheduler::new(
        LeaderTerm {
            member: "c0".into(),
            epoch: Epoch::new(2),
            key: LEADER_KEY,
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

/// Adds a job without placements.
fn apply_job(scheduler: &mut Scheduler, id: &str, spec: JobSpec) {
    let live = LiveJob {
        record: Arc::new(JobRecord::new(spec, 1_000_000)),
        version: 1,
    };
    scheduler.apply_record(id, &live, 1000);
}

/// All jobs that the last job of a chain depends on inherit its priority, and its deadline less
/// the expected run times in between. This holds in whatever order the jobs become known, and at
/// once when the last is submitted late. Their records keep the priorities that users requested.
#[test]
fn dependencies_inherit_priority_and_deadline() {
    let low =
        |dependencies: &[&str], expected_s| spec(dependencies, Priority::Low, expected_s, None);
    let chain = [
        ("run-1", low(&[], 15.0)),
        ("run-2", low(&["run-1"], 25.0)),
        ("run-3", low(&["run-1"], 90.0)),
        ("run-4", low(&["run-2", "run-3"], 20.0)),
        ("run-5", spec(&["run-4"], Priority::High, 8.0, Some(300.0))),
    ];
    for order in [[0, 1, 2, 3, 4], [4, 3, 2, 1, 0], [2, 4, 0, 3, 1]] {
        let mut scheduler = new_scheduler();
        for index in order {
            let (id, spec) = &chain[index];
            apply_job(&mut scheduler, id, spec.clone());
        }
        // run-5 is due at 1300, so run-4 at 1292, run-3 at 1272 and run-1 at 1182.
        let snapshot = scheduler.snapshot(1000, 1_000_000);
        assert_eq!(snapshot.jobs.len(), 1, "the other jobs must wait");
        assert_eq!(
            snapshot.teams["t"].requested_cpus, 1.0,
            "waiting jobs must not request capacity"
        );
        assert_eq!(&*snapshot.jobs[0].id, "run-1");
        assert_eq!(snapshot.jobs[0].spec.priority, Priority::High);
        assert_eq!(snapshot.jobs[0].start_by_s, Some(1182.0 - 15.0));
        scheduler.on_dependencies_done("run-2", 1_050_000);
        scheduler.on_dependencies_done("run-3", 1_050_000);
        let snapshot = scheduler.snapshot(2000, 1_060_000);
        let start_by = |id: &str| {
            let job = snapshot.jobs.iter().find(|job| *job.id == *id);
            job.and_then(|job| job.start_by_s)
        };
        assert_eq!(start_by("run-2"), Some(1272.0 - 25.0));
        assert_eq!(start_by("run-3"), Some(1272.0 - 90.0));
    }
    // A leader still writes a job with an inherited priority, here to cancel it; the test below
    // checks that it writes the job's own priority.
    let mut scheduler = new_scheduler();
    for (id, spec) in &chain {
        apply_job(&mut scheduler, id, spec.clone());
    }
    scheduler.mark_cancelled("run-1", 1500);
    scheduler.tick(9000, 5, 9);
    let mut effects = scheduler.take_effects().into_iter();
    let rewritten = effects.find_map(|effect| match effect {
        Effect::Write { job, writes, .. } if job == "run-1" => Some(writes),
        _ => None,
    });
    assert!(rewritten.is_some());
}

/// The record of a running job with an inherited priority is written with the job's own priority.
#[test]
fn an_inherited_priority_is_not_written_to_the_record() {
    let mut scheduler = new_scheduler();
    let mut record = JobRecord::new(spec(&[], Priority::Low, 15.0, None), 1_000_000);
    record.runs = vec![TaskRun::single(0, 1, "m-0")];
    record.spec.tasks = 2;
    record.next_attempt = 2;
    let live = LiveJob {
        record: Arc::new(record),
        version: 1,
    };
    scheduler.apply_record("run-1", &live, 1000);
    apply_job(
        &mut scheduler,
        "run-2",
        spec(&["run-1"], Priority::High, 8.0, Some(60.0)),
    );
    assert_eq!(scheduler.jobs["run-1"].spec.priority, Priority::High);
    let status = AgentStatus {
        machine: "m-0".into(),
        endpoint: "10.1.0.1:9000".into(),
        machine_type: "f8".into(),
        zone: "a".into(),
        spot: false,
        incarnation: Incarnation::new(1),
        serial: 1,
        epoch: Epoch::new(2),
        interruption_in_s: None,
        tasks: vec![TaskStatus {
            task: "run-1/0".into(),
            attempt: 1,
            status: "ended".into(),
            cause: Some("done".into()),
            kept: None,
        }],
    };
    scheduler.on_agent_status(&status, StatusOrigin::Heartbeat, 2000);
    scheduler.tick(9000, 5, 9);
    let mut effects = scheduler.take_effects().into_iter();
    let written = effects.find_map(|effect| match effect {
        Effect::Write { writes, .. } => writes[0].value.clone(),
        _ => None,
    });
    let record = JobRecord::from_value(&written.expect("the scheduler wrote no value"))
        .expect("the written value is not a job record");
    assert_eq!(record.spec.priority, Priority::Low);
    assert!(record.done.contains(0));
}
