//! The input of a cycle: machines, jobs and teams at one moment.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use super::resources::{Resources, EPSILON, TASK_COUNT_MAX};
use crate::job::{JobSpec, Priority};

/// The number of tasks in each zone.
pub type ZoneCounts = BTreeMap<Arc<str>, u32>;

/// A task that may be on a machine.
#[derive(Debug, Clone)]
pub struct TaskView {
    /// Its job.
    pub job: Arc<str>,
    /// Its number.
    pub task: u32,
    /// Its demand.
    pub resources: Resources,
    /// Its job's priority.
    pub priority: Priority,
    /// Its job's team.
    pub team: Arc<str>,
    /// It may be preempted: it is not being stopped already.
    pub stoppable: bool,
    /// What stopping it wastes, in seconds of lost work and checkpointing.
    pub stop_cost_s: f64,
    /// For a task without checkpoints: when it started, in seconds on the planner's clock. All
    /// that it has run since is wasted, too.
    pub running_since_s: Option<f64>,
}

/// Capacity that is reserved on a machine for a preemptor.
#[derive(Debug, Clone)]
pub struct Reservation {
    /// The preemptor.
    pub job: Arc<str>,
    /// The capacity.
    pub resources: Resources,
    /// The preemptor's priority.
    pub priority: Priority,
}

/// A machine.
#[derive(Debug, Clone)]
pub struct MachineView {
    /// Its name.
    pub name: Arc<str>,
    /// The name of its type.
    pub machine_type: Arc<str>,
    /// Its zone.
    pub zone: Arc<str>,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// Its total capacity.
    pub total: Resources,
    /// Its free capacity, reservations included.
    pub free: Resources,
    /// Images that it has or fetches.
    pub images: Vec<Arc<str>>,
    /// How fast it fetches images, in GB per second.
    pub fetch_gb_per_s: f64,
    /// Tasks that may be on it.
    pub tasks: Vec<TaskView>,
    /// The lowest priority among the tasks that may be preempted.
    pub lowest_priority: Option<Priority>,
    /// Capacity reserved for preemptors whose victims are still being stopped.
    pub reservations: Vec<Reservation>,
}

/// The lowest priority among the tasks that may be preempted.
pub fn lowest_priority(tasks: &[TaskView]) -> Option<Priority> {
    let stoppable = tasks.iter().filter(|task| task.stoppable);
    stoppable.map(|task| task.priority).min()
}

/// A job with tasks to be placed.
#[derive(Debug, Clone)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent facts about a job, of which any combination occurs"
)]
pub struct JobView {
    /// Its id.
    pub id: Arc<str>,
    /// Its specification.
    pub spec: Arc<JobSpec>,
    /// The numbers of its tasks without a placement.
    pub pending: Vec<u32>,
    /// When it became ready, in seconds on the planner's clock: its objectives count from then.
    pub ready_at_s: f64,
    /// When it has to start to meet the next of its objectives, in seconds on the planner's
    /// clock; `None` if all are missed.
    pub start_by_s: Option<f64>,
    /// Where its placed tasks are, those of an old attempt included.
    pub zones: ZoneCounts,
    /// Machines on which it failed.
    pub avoided_machines: HashSet<Arc<str>>,
    /// It is not placed in this cycle, but keeps its reservations.
    pub backing_off: bool,
    /// A gang with old placements that are not proven empty yet: it is not placed in this
    /// cycle. Its unmet demand counts victims, as it may preempt once it is placed again.
    pub incomplete: bool,
    /// It has waited so long without a single start that it goes first in its priority.
    pub overdue: bool,
    /// An array may still skip machines without its image in favour of jobs that have theirs
    /// there.
    pub prefers_cached: bool,
}

/// A team's usage, nominal quota and quota limit.
#[derive(Debug, Clone, Default)]
pub struct TeamView {
    /// CPUs in use.
    pub cpus: f64,
    /// GPUs in use.
    pub gpus: f64,
    /// The limit of CPUs; 0 for no limit.
    pub cpus_max: f64,
    /// The limit of GPUs; 0 for no limit.
    pub gpus_max: f64,
    /// The nominal quota of CPUs.
    pub nominal_cpus: f64,
    /// The nominal quota of GPUs.
    pub nominal_gpus: f64,
    /// CPUs that all of its unfinished jobs ask for.
    pub requested_cpus: f64,
    /// GPUs that all of its unfinished jobs ask for.
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

    /// Whether all its unfinished work fits into the nominal quota.
    pub(super) fn is_within_nominal_quota(&self) -> bool {
        (self.nominal_cpus > 0.0 || self.nominal_gpus > 0.0)
            && self.requested_cpus <= self.nominal_cpus + EPSILON
            && self.requested_gpus <= self.nominal_gpus + EPSILON
    }

    /// Whether it uses no more than its limit.
    pub fn is_within_limit(&self) -> bool {
        let within = |max: f64, used: f64| max <= 0.0 || used <= max + EPSILON;
        within(self.cpus_max, self.cpus) && within(self.gpus_max, self.gpus)
    }

    /// Whether it uses more than its nominal quota.
    pub(super) fn borrows_quota(&self) -> bool {
        self.cpus > self.nominal_cpus + EPSILON || self.gpus > self.nominal_gpus + EPSILON
    }

    /// Whether one more task with this demand stays within the limit.
    pub fn allows(&self, demand: Resources) -> bool {
        self.remaining_tasks(demand) > 0
    }

    /// Counts `count` more tasks with this demand as in use.
    pub fn add_tasks(&mut self, demand: Resources, count: usize) {
        self.cpus += demand.cpus * count as f64;
        self.gpus += demand.gpus * count as f64;
    }
}

/// The input of a cycle. Machines are shared with the caller: those that did not change since
/// the last snapshot are not copied.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    /// Machines that may receive tasks.
    pub machines: Vec<Arc<MachineView>>,
    /// Jobs with tasks to be placed, in any order.
    pub jobs: Vec<JobView>,
    /// All teams, by name.
    pub teams: HashMap<String, TeamView>,
    /// The planner's clock, in seconds.
    pub now_s: f64,
    /// The penalty for using an on-demand machine where a spot one would do, in seconds of
    /// waiting.
    pub on_demand_penalty_s: f64,
}

/// Whether a job may use a machine of a type in a zone, its capacity aside.
pub fn is_allowed(spec: &JobSpec, machine_type: &str, zone: &str, spot: bool) -> bool {
    let types = spec.machine_types.as_ref();
    (spec.spot || !spot)
        && types.is_none_or(|types| types.iter().any(|name| name == machine_type))
        && spec.zone.as_ref().is_none_or(|only| only == zone)
}

/// The most tasks of a job that may be in one zone; [`u32::MAX`] for no limit.
pub fn tasks_per_zone_max(spec: &JobSpec) -> u32 {
    if spec.spread {
        spec.tasks.div_ceil(2)
    } else {
        u32::MAX
    }
}
