//! The input of a planning cycle: machines, jobs and teams at one moment.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use super::precedence::Precedence;
use super::resources::{Resources, EPSILON, TASK_COUNT_MAX};
use crate::job::{JobSpec, Priority};

/// The number of tasks in each zone.
pub type ZoneCounts = BTreeMap<Arc<str>, u32>;

/// A task that may be running on a machine.
#[derive(Debug, Clone)]
pub struct TaskView {
    /// The id of the task's job.
    pub job: Arc<str>,
    /// The task's number within its job.
    pub task: u32,
    /// The capacity that the task uses.
    pub resources: Resources,
    /// The job's priority.
    pub priority: Priority,
    /// The name of the job's team.
    pub team: Arc<str>,
    /// Whether the task may be preempted; false if it is being stopped already.
    pub preemptable: bool,
    /// The cost of stopping the task, in seconds of lost work and of checkpointing.
    pub stop_cost_s: f64,
    /// When a task without checkpoints started, in seconds on the planner's clock: preemption
    /// loses all work since then. `None` for a task with checkpoints or not yet running.
    pub running_since_s: Option<f64>,
}

/// Capacity that is reserved on a machine for a preemptor.
#[derive(Debug, Clone)]
pub struct Reservation {
    /// The preemptor's job id.
    pub job: Arc<str>,
    /// The reserved capacity; jobs of a higher precedence may still use it.
    pub resources: Resources,
    /// The name of the preemptor's team.
    pub team: Arc<str>,
    /// The preemptor's priority.
    pub priority: Priority,
}

/// A machine that may receive tasks.
#[derive(Debug, Clone)]
pub struct MachineView {
    /// The machine's unique name.
    pub name: Arc<str>,
    /// The name of the machine's type.
    pub machine_type: Arc<str>,
    /// The zone that the machine is in.
    pub zone: Arc<str>,
    /// Whether the machine is a spot machine.
    pub spot: bool,
    /// The total capacity of the machine.
    pub total: Resources,
    /// The capacity that no task uses; reserved capacity counts as free.
    pub free: Resources,
    /// Images that the machine has or is fetching.
    pub images: Vec<Arc<str>>,
    /// The rate at which the machine fetches images, in GB per second.
    pub fetch_gb_per_s: f64,
    /// Tasks that may be running on the machine.
    pub tasks: Vec<TaskView>,
    /// The lowest priority among the tasks that may be preempted; `None` if there are none.
    pub lowest_preemptable_priority: Option<Priority>,
    /// Capacity reserved for preemptors whose victims are still being stopped.
    pub reservations: Vec<Reservation>,
}

/// Returns the lowest priority among the tasks that may be preempted; `None` if there are none.
pub fn lowest_preemptable_priority(tasks: &[TaskView]) -> Option<Priority> {
    let preemptable = tasks.iter().filter(|task| task.preemptable);
    preemptable.map(|task| task.priority).min()
}

/// A job with pending tasks.
#[derive(Debug, Clone)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent facts about a job, of which any combination occurs"
)]
pub struct JobView {
    /// The job's id.
    pub id: Arc<str>,
    /// The job's specification.
    pub spec: Arc<JobSpec>,
    /// The numbers of the tasks without a placement.
    pub pending: Vec<u32>,
    /// When the job became ready, in seconds on the planner's clock; its objectives are relative
    /// to this time.
    pub ready_at_s: f64,
    /// The latest start, in seconds on the planner's clock, that meets the next of the job's
    /// objectives; `None` if all are missed.
    pub start_by_s: Option<f64>,
    /// The number of placed tasks by zone, including tasks of an earlier attempt.
    pub zones: ZoneCounts,
    /// The names of machines on which the job failed.
    pub avoided_machines: HashSet<Arc<str>>,
    /// The job is backing off: it is not placed in this cycle, but keeps its reservations.
    pub backing_off: bool,
    /// The job is a gang with earlier placements whose tasks are not yet known to have ended: it
    /// is not placed in this cycle. Its unmet demand assumes preemption, because it may preempt
    /// once it is placed again.
    pub awaiting_task_exits: bool,
    /// The job has waited so long without starting any task that it goes first among jobs of its
    /// priority.
    pub overdue: bool,
    /// The job is an array that may still skip machines without its image, in favour of jobs whose
    /// image is cached there.
    pub prefers_cached_image: bool,
}

/// A team's quota usage, nominal quota and quota limit.
#[derive(Debug, Clone, Default)]
pub struct TeamView {
    /// CPUs used by the team's placed tasks.
    pub cpus: f64,
    /// GPUs used by the team's placed tasks.
    pub gpus: f64,
    /// The limit of CPUs; 0 for no limit.
    pub cpus_max: f64,
    /// The limit of GPUs; 0 for no limit.
    pub gpus_max: f64,
    /// The nominal quota of CPUs.
    pub nominal_cpus: f64,
    /// The nominal quota of GPUs.
    pub nominal_gpus: f64,
    /// CPUs requested by all unfinished jobs of the team.
    pub requested_cpus: f64,
    /// GPUs requested by all unfinished jobs of the team.
    pub requested_gpus: f64,
}

impl TeamView {
    /// How many more tasks with this demand the limit allows.
    pub(super) fn remaining_tasks(&self, demand: Resources) -> u32 {
        let allowed = |max: f64, used: f64, demand: f64| {
            if max <= 0.0 || demand <= EPSILON {
                TASK_COUNT_MAX
            } else {
                ((max - used + EPSILON) / demand)
                    .floor()
                    .clamp(0.0, TASK_COUNT_MAX)
            }
        };
        let by_cpus = allowed(self.cpus_max, self.cpus, demand.cpus);
        let by_gpus = allowed(self.gpus_max, self.gpus, demand.gpus);
        by_cpus.min(by_gpus) as u32
    }

    /// The precedence of the team's jobs of a priority.
    pub(super) fn precedence(&self, priority: Priority) -> Precedence {
        Precedence {
            is_within_nominal_quota: self.is_within_nominal_quota(),
            priority,
        }
    }

    /// Whether the requests of all unfinished jobs fit into the nominal quota.
    pub(super) fn is_within_nominal_quota(&self) -> bool {
        (self.nominal_cpus > 0.0 || self.nominal_gpus > 0.0)
            && self.requested_cpus <= self.nominal_cpus + EPSILON
            && self.requested_gpus <= self.nominal_gpus + EPSILON
    }

    /// Whether the team's usage is within its limit.
    pub fn is_within_limit(&self) -> bool {
        let within = |max: f64, used: f64| max <= 0.0 || used <= max + EPSILON;
        within(self.cpus_max, self.cpus) && within(self.gpus_max, self.gpus)
    }

    /// Whether the team's usage exceeds its nominal quota.
    pub(super) fn borrows_quota(&self) -> bool {
        self.cpus > self.nominal_cpus + EPSILON || self.gpus > self.nominal_gpus + EPSILON
    }

    /// Whether one more task with this demand stays within the limit.
    pub fn allows_task(&self, demand: Resources) -> bool {
        self.remaining_tasks(demand) > 0
    }

    /// Adds `count` tasks with this demand to the team's usage.
    pub fn add_tasks(&mut self, demand: Resources, count: usize) {
        self.cpus += demand.cpus * count as f64;
        self.gpus += demand.gpus * count as f64;
    }
}

/// The input of a planning cycle. Machines are shared with the caller, so machines that did not
/// change since the last snapshot are not copied.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    /// Machines that may receive tasks.
    pub machines: Vec<Arc<MachineView>>,
    /// Jobs with pending tasks, in any order.
    pub jobs: Vec<JobView>,
    /// Quota and usage of all teams, by team name.
    pub teams: HashMap<String, TeamView>,
    /// The time of the snapshot on the planner's clock, in seconds.
    pub now_s: f64,
    /// The penalty for using an on-demand machine where a spot one would do, in seconds of
    /// waiting.
    pub on_demand_penalty_s: f64,
}

/// Whether a job's constraints allow a machine of this type and zone, regardless of capacity.
pub fn is_kind_allowed(spec: &JobSpec, machine_type: &str, zone: &str, spot: bool) -> bool {
    let types = spec.machine_types.as_ref();
    (spec.spot || !spot)
        && types.is_none_or(|types| types.iter().any(|name| name == machine_type))
        && spec.zone.as_ref().is_none_or(|only| only == zone)
}

/// Returns the most tasks of a job that may be in one zone; [`u32::MAX`] for no limit.
pub fn tasks_per_zone_max(spec: &JobSpec) -> u32 {
    if spec.spread {
        spec.tasks.div_ceil(2)
    } else {
        u32::MAX
    }
}
