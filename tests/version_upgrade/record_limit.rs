//! The scheduler places no more tasks of an array than the job's record may hold.

use std::sync::Arc;

use gaugesill::epoch::Epoch;
use gaugesill::job::json_length;
use gaugesill::leadership_keys::LEADER_KEY;
use gaugesill::plan::{Decision, PlannedPlacement, TaskBinding};
use gaugesill::scheduler::{Effect, LeaderTerm, Scheduler, StatusOrigin};
use gaugesill::settings::{ClusterSettings, OperatorSettings};
use gaugesill::watch_cache::{LiveJob, WatchCache};
use gaugesill::wire::Incarnation;
use gaugesill::wire::{AgentStatus, ExitReason, MachineType, TaskState, TaskStatus};
use gaugesill::write_queue::CommitResult;

use crate::support::{fixture_record, ANNOUNCED_LIMITS};

/// A plan places more tasks of an array than its record may hold. Only as many as fit are placed,
/// and the written records stay within the limit while the tasks exit one by one. Placements made
/// before the limits were reduced still fit afterwards.
#[test]
fn only_as_many_tasks_are_placed_as_the_record_holds() {
    for placed_in_format in [0, 1] {
        place_a_large_array(placed_in_format);
    }
}

/// Number of tasks of the array.
const TASK_COUNT: u32 = 900;
/// Largest record that the announced limits allow.
const RECORD_BYTES_MAX: usize = 2048;

fn cluster_settings() -> ClusterSettings {
    let text = format!(
        r#"{{"teams":[{{"name":"line-vision"}}],"workers":{{"report_s":3.0,"lease_s":36.0,
        "gang_wait_s":35.0,"gang_peer_s":4.0,"cancel_s":60.0}},
        "state":{{"rps":9.0,"write_rps":9.0,"value_kb":16.0,"txn_ops":20{ANNOUNCED_LIMITS}}},
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

/// The scheduler of a leader that writes records in the given format.
fn new_scheduler(cluster: &ClusterSettings, format: u64) -> Scheduler {
    let term = LeaderTerm {
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

/// The machine of a task. The names are not in the order of the tasks, so few can be packed
/// together.
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
    record.spec.tasks = TASK_COUNT;
    let record = Arc::new(record);
    scheduler.apply_record("run-1", &LiveJob { record, version: 1 }, 1000);
}

/// A decision that places each task on a machine of its own.
fn decide_to_place_all() -> Decision {
    let tasks = (0..TASK_COUNT).map(|task| TaskBinding {
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

/// Commits the records that the scheduler writes and returns their number. Fails if one exceeds
/// [`RECORD_BYTES_MAX`].
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
    for task in 0..TASK_COUNT {
        scheduler.on_agent_status(&status(task, 1, vec![]), StatusOrigin::Heartbeat, 1500);
    }
    scheduler.apply_decision(decide_to_place_all(), 0, 2000, 1_002_000);
    let placed = scheduler.jobs["run-1"].placements.len() as u32;
    assert!((200..400).contains(&placed), "{placed} tasks are placed");
    scheduler.set_format(1, &cluster.state.strictest());
    let mut now = 2000;
    let mut records = 0;
    let exit_order = (0..placed).rev().step_by(2).chain((0..placed).step_by(2));
    for task in exit_order {
        let exited = status(task, 2, vec![done(task)]);
        scheduler.on_agent_status(&exited, StatusOrigin::Heartbeat, now);
        now += 1100;
        scheduler.tick(now, 9, 9);
        records += commit_records(&mut scheduler, now);
    }
    assert!(records > 0);
}
