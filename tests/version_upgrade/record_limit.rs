//! The scheduler places no more of an array than its record may hold.

use std::sync::Arc;

use gaugesill::epoch::Epoch;
use gaugesill::job::json_length;
use gaugesill::leadership_keys::LEADER_KEY;
use gaugesill::plan::{Decision, PlannedPlacement, TaskBinding};
use gaugesill::scheduler::{Effect, Scheduler, StatusOrigin, Term};
use gaugesill::settings::{ClusterSettings, OperatorSettings};
use gaugesill::watch_cache::{LiveJob, WatchCache};
use gaugesill::wire::Incarnation;
use gaugesill::wire::{AgentStatus, ExitReason, MachineType, TaskState, TaskStatus};
use gaugesill::write_queue::CommitResult;

use crate::support::{fixture_record, ANNOUNCED};

/// A plan places more tasks of an array than its record may hold: as many are placed as fit, and
/// the written records keep to the limit, also while the tasks exit one by one; and what was
/// placed before the limits were reduced still fits afterwards.
#[test]
fn as_many_places_as_the_record_holds() {
    for placed_in_format in [0, 1] {
        place_a_large_array(placed_in_format);
    }
}

/// Tasks of the array.
const TASKS: u32 = 900;
/// Longest value of a record under the announced limits, in bytes.
const RECORD_BYTES_MAX: usize = 2048;

fn cluster_settings() -> ClusterSettings {
    let text = format!(
        r#"{{"teams":[{{"name":"line-vision"}}],"workers":{{"report_s":3.0,"lease_s":36.0,
        "gang_wait_s":35.0,"gang_peer_s":4.0,"cancel_s":60.0}},
        "state":{{"rps":9.0,"write_rps":9.0,"value_kb":16.0,"txn_ops":20{ANNOUNCED}}},
        "cloud":{{"rps":9.0,"list_lag_s":1.0}},
        "limits":{{"cpu_share":0.1,"ram_mb":200.0,"fd_limit":1000}}}}"#
    );
    serde_json::from_str(&text).expect("settings")
}

fn machine_type() -> MachineType {
    MachineType {
        name: "vidin-32".into(),
        cpus: 32.0,
        gpus: 4.0,
        memory_gb: 256.0,
        cache_gb: 100.0,
        fetch_gb_per_s: 1.0,
        hourly_price: 1.0,
        spot_price: 0.5,
        boot_s: 40.0,
        zones: vec!["a".into()],
    }
}

/// The scheduler of a leader that writes records of a format.
fn new_scheduler(cluster: &ClusterSettings, format: u64) -> Scheduler {
    let term = Term {
        member: "c0".into(),
        epoch: Epoch::new(2),
        key: LEADER_KEY,
        key_version: 3,
        began_wall_ms: 1_000_000,
    };
    let mut scheduler = Scheduler::new(
        term,
        cluster,
        &OperatorSettings::default(),
        Arc::new(vec![machine_type()]),
        &WatchCache::default(),
        1,
    );
    match format {
        0 => scheduler.set_format(0, &cluster.state),
        _ => scheduler.set_format(format, &cluster.state.strictest()),
    }
    scheduler
}

/// The machine of a task; the order of the names is not that of the tasks.
fn machine_of(task: u32) -> String {
    format!("m-{:06}", (task * 37) % 1700)
}

fn status(task: u32, serial: u64, tasks: Vec<TaskStatus>) -> AgentStatus {
    AgentStatus {
        machine: machine_of(task),
        endpoint: "10.1.0.1:9000".into(),
        machine_type: "vidin-32".into(),
        zone: "a".into(),
        spot: true,
        incarnation: Incarnation::new(1),
        serial,
        epoch: Epoch::new(2),
        interruption_in_s: None,
        tasks,
    }
}

fn done(task: u32) -> TaskStatus {
    TaskStatus {
        task: format!("run-1/{task}"),
        attempt: 1,
        status: TaskState::Exited,
        cause: Some(ExitReason::Done),
        kept: None,
    }
}

fn add_array(scheduler: &mut Scheduler) {
    let mut record = fixture_record("record fresh");
    record.spec.tasks = TASKS;
    let record = Arc::new(record);
    scheduler.apply_record("run-1", &LiveJob { record, version: 1 }, 1000);
}

/// A plan that places each task on a machine of its own.
fn plan_all() -> Decision {
    let tasks = (0..TASKS).map(|task| TaskBinding {
        task,
        machine: machine_of(task).as_str().into(),
    });
    let placement = PlannedPlacement {
        job: "run-1".into(),
        tasks: tasks.collect(),
    };
    Decision {
        placements: vec![placement],
        ..Decision::default()
    }
}

/// Commits the records that the scheduler writes, and fails if one is too long; how many
/// there were.
fn commit_records(scheduler: &mut Scheduler, now: u64) -> usize {
    let mut records = 0;
    for effect in scheduler.take_effects() {
        if let Effect::Write { change, writes, .. } = effect {
            let size = writes[0].value.as_ref().map_or(0, json_length);
            assert!(
                size <= RECORD_BYTES_MAX,
                "a record of {size} bytes at {now}"
            );
            let committed = CommitResult::Committed { revision: now };
            scheduler.on_commit("run-1", change, None, &committed, now);
            records += 1;
        }
    }
    records
}

fn place_a_large_array(format: u64) {
    let cluster = cluster_settings();
    let mut scheduler = new_scheduler(&cluster, format);
    add_array(&mut scheduler);
    for task in 0..TASKS {
        scheduler.on_agent_status(&status(task, 1, vec![]), StatusOrigin::Heartbeat, 1500);
    }
    scheduler.apply_decision(plan_all(), 0, 2000, 1_002_000);
    let placed = scheduler.jobs["run-1"].placements.len() as u32;
    assert!((200..400).contains(&placed), "{placed} tasks are placed");
    scheduler.set_format(1, &cluster.state.strictest());
    let mut now = 2000;
    let mut records = 0;
    let odd_and_even = (0..placed).rev().step_by(2).chain((0..placed).step_by(2));
    for task in odd_and_even {
        let exited = status(task, 2, vec![done(task)]);
        scheduler.on_agent_status(&exited, StatusOrigin::Heartbeat, now);
        now += 1100;
        scheduler.tick(now, 9, 9);
        records += commit_records(&mut scheduler, now);
    }
    assert!(records > 0);
}
