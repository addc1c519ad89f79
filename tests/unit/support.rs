//! Test data for the planner and the scheduler: settings, jobs, machines and agent statuses.

#![allow(dead_code, reason = "an example uses only a part of this module")]

use gaugesill::epoch::Epoch;
use gaugesill::job::{JobRecord, JobSpec, Priority, Shape, TaskRun};
use gaugesill::plan::{
    self, JobView, MachineView, Reservation, Resources, Snapshot, TaskView, TeamView,
};
use gaugesill::scheduler::{LeaderTerm, Scheduler, StatusOrigin};
use gaugesill::settings::{ClusterSettings, OperatorSettings};
use gaugesill::watch_cache::{LiveJob, WatchCache};
use gaugesill::wire::Incarnation;
use gaugesill::wire::{AgentStatus, MachineType, TaskStatus};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

/// The specification of a job of team `t`; each task needs `cpus` cores and 1 GB.
pub(crate) fn spec(shape: Shape, tasks: u32, cpus: f64, priority: Priority) -> JobSpec {
    JobSpec {
        class: "c".into(),
        team: "t".into(),
        shape,
        priority,
        tasks,
        cpus,
        gpus: 0.0,
        memory_gb: 1.0,
        machine_types: None,
        zone: None,
        single_zone: false,
        spread: false,
        spot: false,
        image: "img".into(),
        image_gb: 1.0,
        expected_s: 10.0,
        checkpoint_interval_s: 2.0,
        checkpoint_grace_s: 1.0,
        deadline_s: None,
        dependencies: vec![],
    }
}

/// A machine with eight cores, of which `free` are free.
pub(crate) fn machine(name: &str, zone: &str, free: f64) -> MachineView {
    let resources = |cpus| Resources {
        cpus,
        gpus: 0.0,
        memory_gb: 100.0,
    };
    MachineView {
        name: name.into(),
        machine_type: "f".into(),
        zone: zone.into(),
        spot: false,
        total: resources(8.0),
        free: resources(free),
        images: vec![],
        fetch_gb_per_s: 1.0,
        tasks: vec![],
        lowest_preemptable_priority: None,
        reservations: vec![],
    }
}

/// A job with all its tasks pending.
pub(crate) fn job(id: &str, spec: JobSpec) -> JobView {
    JobView {
        id: id.into(),
        pending: (0..spec.tasks).collect(),
        spec: Arc::new(spec),
        ready_at_s: 0.0,
        start_by_s: Some(0.0),
        zones: BTreeMap::new(),
        avoided_machines: HashSet::new(),
        backing_off: false,
        awaiting_task_exits: false,
        overdue: false,
        prefers_cached_image: false,
    }
}

/// A low-priority task that may be preempted.
pub(crate) fn preemptible_task(job: &str, task: u32, cpus: f64) -> TaskView {
    TaskView {
        job: job.into(),
        task,
        resources: Resources {
            cpus,
            gpus: 0.0,
            memory_gb: 1.0,
        },
        priority: Priority::Low,
        team: "t".into(),
        preemptable: true,
        stop_cost_s: 1.0,
        running_since_s: None,
    }
}

/// Capacity reserved for a job.
pub(crate) fn reservation(job: &str, cpus: f64, priority: Priority) -> Reservation {
    Reservation {
        job: job.into(),
        resources: Resources {
            cpus,
            gpus: 0.0,
            memory_gb: 1.0,
        },
        team: "t".into(),
        priority,
    }
}

/// A snapshot with one team that has no limits.
pub(crate) fn snapshot(machines: Vec<MachineView>, jobs: Vec<JobView>) -> Snapshot {
    Snapshot {
        machines: machines
            .into_iter()
            .map(|machine| MachineView {
                lowest_preemptable_priority: plan::lowest_preemptable_priority(&machine.tasks),
                ..machine
            })
            .map(Arc::new)
            .collect(),
        jobs,
        teams: HashMap::from([("t".to_string(), TeamView::default())]),
        now_s: 0.0,
        on_demand_penalty_s: 10.0,
    }
}

/// A small and a large machine type, in zones `a` and `b`.
pub(crate) fn machine_types() -> Vec<MachineType> {
    let machine_type = |name: &str, cpus, hourly_price, spot_price| MachineType {
        name: name.into(),
        cpus,
        gpus: 0.0,
        memory_gb: 64.0,
        cache_gb: 50.0,
        fetch_gb_per_s: 1.0,
        hourly_price,
        spot_price,
        boot_s: 40.0,
        zones: vec!["a".into(), "b".into()],
    };
    vec![
        machine_type("small", 8.0, 8.0, 2.0),
        machine_type("large", 32.0, 24.0, 6.0),
    ]
}

/// The scheduler of a leader; `objectives` is JSON.
pub(crate) fn scheduler_with_objectives(objectives: &str) -> Scheduler {
    scheduler_with_heartbeat_interval(objectives, "3.0")
}

/// [`scheduler_with_objectives`] with another heartbeat interval, in seconds.
pub(crate) fn scheduler_with_heartbeat_interval(objectives: &str, report_s: &str) -> Scheduler {
    scheduler_with_teams(r#"[{"name":"t"}]"#, objectives, report_s)
}

/// [`scheduler_with_heartbeat_interval`] with other teams, as JSON.
pub(crate) fn scheduler_with_teams(teams: &str, objectives: &str, report_s: &str) -> Scheduler {
    scheduler_from_cache(
        &cluster(teams, objectives, report_s),
        2,
        &WatchCache::default(),
        1000,
    )
}

/// The scheduler of a leader that starts from a watch cache.
pub(crate) fn scheduler_from_cache(
    cluster: &ClusterSettings,
    epoch: u64,
    watch_cache: &WatchCache,
    now: u64,
) -> Scheduler {
    let term = LeaderTerm {
        member: "c0".into(),
        epoch: Epoch::new(epoch),
        key: gaugesill::leadership_keys::LEADER_KEY,
        key_version: 3,
        began_wall_ms: 1_000_000,
    };
    let operator = OperatorSettings::default();
    Scheduler::new(
        term,
        cluster,
        &operator,
        Arc::new(machine_types()),
        watch_cache,
        now,
    )
}

/// The platform settings; `teams` and `objectives` are JSON, `report_s` is the heartbeat interval.
pub(crate) fn cluster(teams: &str, objectives: &str, report_s: &str) -> ClusterSettings {
    let text = format!(
        r#"{{"objectives":{objectives},"teams":{teams},"workers":{{"report_s":{report_s},"lease_s":36.0,
        "gang_wait_s":35.0,"gang_peer_s":4.0,"cancel_s":60.0}},
        "state":{{"rps":9.0,"write_rps":9.0,"value_kb":16.0,"txn_ops":20}},
        "cloud":{{"rps":9.0,"list_lag_s":1.0}},
        "limits":{{"cpu_share":0.1,"ram_mb":200.0,"fd_limit":1000}}}}"#
    );
    serde_json::from_str(&text).expect("settings")
}

/// The status of a large machine without tasks.
pub(crate) fn agent_status(machine: &str, serial: u64, epoch: u64) -> AgentStatus {
    AgentStatus {
        machine: machine.into(),
        endpoint: "10.1.0.1:9000".into(),
        machine_type: "large".into(),
        zone: "a".into(),
        spot: false,
        incarnation: Incarnation::new(1),
        serial,
        epoch: Epoch::new(epoch),
        interruption_in_s: None,
        tasks: vec![],
    }
}

/// The scheduler of a leader with nine machines, each with a running task.
pub(crate) fn scheduler_with_busy_machines(report_s: &str) -> Scheduler {
    let mut scheduler = scheduler_with_heartbeat_interval("[]", report_s);
    for number in 0..9 {
        // The agents report at different times.
        let mut status = agent_status(&format!("m-{number}"), 1, 2);
        status.tasks.push(TaskStatus {
            task: format!("run-{number}/0"),
            attempt: 1,
            status: "running".into(),
            cause: None,
            kept: None,
        });
        scheduler.on_agent_status(&status, StatusOrigin::Heartbeat, 1000 + 300 * number);
    }
    scheduler
}

/// A task in an agent's status.
pub(crate) fn task_status(
    name: &str,
    attempt: u64,
    status: &str,
    cause: Option<&str>,
) -> TaskStatus {
    TaskStatus {
        task: name.into(),
        attempt,
        status: status.into(),
        cause: cause.map(Into::into),
        kept: None,
    }
}

/// The status of machine `m-0` with these tasks.
pub(crate) fn status_of_m0(serial: u64, epoch: u64, tasks: Vec<TaskStatus>) -> AgentStatus {
    AgentStatus {
        tasks,
        ..agent_status("m-0", serial, epoch)
    }
}

/// The scheduler of a new leader whose records place all `tasks` of run-1, an array or a gang, on
/// m-0 under attempt 1.
pub(crate) fn scheduler_with_placed_job(shape: Shape, tasks: u32) -> Scheduler {
    let mut scheduler = scheduler_with_objectives("[]");
    let mut record = JobRecord::new(spec(shape, tasks, 1.0, Priority::Low), 1_000_000);
    record.runs = vec![TaskRun::from((0, tasks, 1, "m-0".into()))];
    record.next_attempt = 2;
    add_record(&mut scheduler, "run-1", record);
    scheduler
}

/// Adds a job with this record to the scheduler.
pub(crate) fn add_record(scheduler: &mut Scheduler, id: &str, record: JobRecord) {
    let live = LiveJob {
        record: Arc::new(record),
        version: 1,
    };
    scheduler.apply_record(id, &live, 1000);
}
