//! What the planner sees: machines, jobs and teams at one moment.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use super::resources::{Resources, COUNT_MAX, EPSILON};
use crate::job::{JobSpec, Priority};

/// How many tasks are in which zone.
pub type ZoneCounts = BTreeMap<Arc<str>, u32>;

/// A task that may be on a machine.
#[derive(Debug, Clone)]
pub struct TaskView {
    /// Its job.
    pub job: Arc<str>,
    /// Its number.
    pub task: u32,
    /// What it takes.
    pub resources: Resources,
    /// Its job's priority.
    pub priority: Priority,
    /// Its job's team.
    pub team: Arc<str>,
    /// It is not being stopped already.
    pub stoppable: bool,
    /// What stopping it wastes, in seconds of work and saving.
    pub stop_cost_s: f64,
    /// For a task that can't save: since when it has run, on the planner's
    /// clock. All of that is wasted, too.
    pub running_since_s: Option<f64>,
}

/// Capacity that is held on a machine for a gang.
#[derive(Debug, Clone)]
pub struct Reservation {
    /// The gang.
    pub job: Arc<str>,
    /// How much.
    pub resources: Resources,
    /// The gang's priority.
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
    /// All that it has.
    pub total: Resources,
    /// What of it is free.
    pub free: Resources,
    /// Images that it has or fetches.
    pub images: Vec<Arc<str>>,
    /// How fast it fetches images.
    pub fetch_gb_per_s: f64,
    /// Tasks that may be on it.
    pub tasks: Vec<TaskView>,
    /// The lowest priority among those that could be stopped.
    pub lowest_priority: Option<Priority>,
    /// Capacity held for gangs whose victims are still leaving.
    pub reservations: Vec<Reservation>,
}

/// The lowest priority among the tasks that could be stopped.
pub fn lowest_priority(tasks: &[TaskView]) -> Option<Priority> {
    let stoppable = tasks.iter().filter(|task| task.stoppable);
    stoppable.map(|task| task.priority).min()
}

/// A job that waits for places.
#[derive(Debug, Clone)]
pub struct JobView {
    /// Its id.
    pub id: Arc<str>,
    /// What was asked for.
    pub spec: Arc<JobSpec>,
    /// Tasks without a place.
    pub pending: Vec<u32>,
    /// Since when its objectives count, in seconds on the planner's clock.
    pub ready_at_s: f64,
    /// When it should have started to meet the next of its objectives; `None` if
    /// all are missed.
    pub start_by_s: Option<f64>,
    /// Where its tasks are, those of an old attempt included.
    pub zones: ZoneCounts,
    /// Machines on which it failed.
    pub avoided_machines: HashSet<Arc<str>>,
    /// It takes no part in this cycle, but the capacity that is held for it stays.
    pub backing_off: bool,
    /// A gang of which some places are not proven empty yet: it takes no part,
    /// either, but will come back with victims if it has to.
    pub incomplete: bool,
    /// Has waited so long without a single start that its turn has come.
    pub overdue: bool,
    /// May still skip a machine without its image in favour of another job that has its
    /// own there.
    pub prefers_cached: bool,
}

/// A team's use, nominal quota and limit.
#[derive(Debug, Clone, Default)]
pub struct TeamView {
    /// CPUs in use.
    pub cpus: f64,
    /// GPUs in use.
    pub gpus: f64,
    /// Most CPUs; 0 for no limit.
    pub cpus_max: f64,
    /// Most GPUs; 0 for no limit.
    pub gpus_max: f64,
    /// Guaranteed CPUs.
    pub nominal_cpus: f64,
    /// Guaranteed GPUs.
    pub nominal_gpus: f64,
    /// CPUs that all of its unfinished jobs ask for.
    pub requested_cpus: f64,
    /// GPUs that all of its unfinished jobs ask for.
    pub requested_gpus: f64,
}

impl TeamView {
    /// How many more tasks with this demand the limit allows.
    pub(super) fn allowed_tasks(&self, demand: Resources) -> u32 {
        let allowed = |max: f64, used: f64, demand: f64| {
            if max <= 0.0 || demand <= EPSILON {
                COUNT_MAX
            } else {
                ((max - used + EPSILON) / demand)
                    .floor()
                    .clamp(0.0, COUNT_MAX)
            }
        };
        let by_cpus = allowed(self.cpus_max, self.cpus, demand.cpus);
        let by_gpus = allowed(self.gpus_max, self.gpus, demand.gpus);
        by_cpus.min(by_gpus) as u32
    }

    /// All unfinished work fits into the nominal quota.
    pub(super) fn is_within_nominal_quota(&self) -> bool {
        (self.nominal_cpus > 0.0 || self.nominal_gpus > 0.0)
            && self.requested_cpus <= self.nominal_cpus + EPSILON
            && self.requested_gpus <= self.nominal_gpus + EPSILON
    }

    /// It uses no more than its limit.
    pub fn is_within_limit(&self) -> bool {
        let within = |max: f64, used: f64| max <= 0.0 || used <= max + EPSILON;
        within(self.cpus_max, self.cpus) && within(self.gpus_max, self.gpus)
    }

    /// It uses more than its nominal quota.
    pub(super) fn borrows_quota(&self) -> bool {
        self.cpus > self.nominal_cpus + EPSILON || self.gpus > self.nominal_gpus + EPSILON
    }

    /// One more task with this demand stays within the limit.
    pub fn allows(&self, demand: Resources) -> bool {
        self.allowed_tasks(demand) > 0
    }

    /// So many more tasks with this demand count as in use.
    pub fn add_tasks(&mut self, demand: Resources, count: usize) {
        self.cpus += demand.cpus * count as f64;
        self.gpus += demand.gpus * count as f64;
    }
}

/// The input of a cycle. Machines are shared with whoever took it: nothing
/// that did not change since the last one is copied.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    /// Machines that may get work.
    pub machines: Vec<Arc<MachineView>>,
    /// Jobs that wait for places.
    pub jobs: Vec<JobView>,
    /// All teams, by name.
    pub teams: HashMap<String, TeamView>,
    /// The planner's clock, in seconds.
    pub now_s: f64,
    /// Seconds of waiting that using an on-demand machine counts for, where a spot one
    /// would do.
    pub on_demand_penalty_s: f64,
}

/// Whether a machine is one that the job allows, other tasks aside.
pub fn is_allowed(spec: &JobSpec, machine_type: &str, zone: &str, spot: bool) -> bool {
    let types = spec.machine_types.as_ref();
    (spec.spot || !spot)
        && types.is_none_or(|types| types.iter().any(|name| name == machine_type))
        && spec.zone.as_ref().is_none_or(|only| only == zone)
}

/// How many of a job's tasks may be in one zone.
pub fn tasks_per_zone_max(spec: &JobSpec) -> u32 {
    if spec.spread {
        spec.tasks.div_ceil(2)
    } else {
        u32::MAX
    }
}
