//! Builds the planner's snapshot from the scheduling state.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use super::{to_ms, Scheduler};
use crate::plan::{JobView, Snapshot};

/// The time at which a plan is made, on both clocks.
#[derive(Debug, Clone, Copy)]
pub(super) struct PlanTime {
    /// Steady clock, in milliseconds.
    pub now: u64,
    /// Time of day, in milliseconds.
    pub wall_ms: u64,
}

impl PlanTime {
    /// The time of day in seconds, which is the planner's clock.
    pub(super) fn now_s(self) -> f64 {
        self.wall_ms as f64 / 1000.0
    }

    /// Converts a time on the steady clock to a time of day in seconds.
    pub(super) fn to_wall_s(self, at: u64) -> f64 {
        self.now_s() - self.now.saturating_sub(at) as f64 / 1000.0
    }
}

/// Data shared by the views of all jobs.
pub(super) struct SnapshotContext {
    pub time: PlanTime,
    /// Machines that are being terminated or reclaimed: gangs need replacements for tasks there.
    pub unreliable: HashSet<Arc<str>>,
    /// The zones of each job's orphaned tasks, by job id.
    pub orphan_zones: HashMap<String, Vec<Arc<str>>>,
    /// The highest number of task runs that fit in a job record.
    pub runs_max: usize,
}

impl Scheduler {
    /// Whether the state is complete enough to plan. Machines that have sent a heartbeat may get
    /// tasks without the cloud's machine list, so while the list is unavailable, planning starts
    /// after one heartbeat interval. Provisioning and termination wait for the list.
    pub fn is_ready_to_plan(&self, now: u64) -> bool {
        let heartbeat_interval_elapsed = now > self.began_at + to_ms(self.cluster.workers.report_s);
        !self.catalog.is_empty() && (self.has_machine_list || heartbeat_interval_elapsed)
    }

    /// Builds the planner's input. `wall_ms` is the time of day in milliseconds, as in job
    /// records.
    pub fn snapshot(&mut self, now: u64, wall_ms: u64) -> Snapshot {
        let time = PlanTime { now, wall_ms };
        self.needs_planning = false;
        self.apply_end_backoffs();
        for machine in self.machines.values_mut() {
            machine.update_orphan_flag();
        }
        let machines = self.machine_views(time);
        let context = SnapshotContext {
            time,
            unreliable: machines.unreliable,
            orphan_zones: self.orphan_zones(),
            runs_max: self.record_capacity.runs_max(self.machines.keys()),
        };
        let jobs = self.jobs.values();
        let jobs: Vec<JobView> = jobs
            .filter_map(|job| self.view_of_job(job, &context))
            .collect();
        self.has_pending_jobs = !jobs.is_empty();
        Snapshot {
            machines: machines.views,
            jobs,
            teams: self.team_views(),
            now_s: time.now_s(),
            on_demand_penalty_s: self.cluster.workers.lease_s,
        }
    }

    fn apply_end_backoffs(&mut self) {
        if std::mem::take(&mut self.end_backoffs) {
            for job in self.jobs.values_mut() {
                job.retry.end_backoff();
            }
        }
    }

    fn orphan_zones(&self) -> HashMap<String, Vec<Arc<str>>> {
        let mut zones: HashMap<String, Vec<Arc<str>>> = HashMap::new();
        for machine in self.machines.values() {
            for orphan in machine.orphans() {
                let job_zones = zones.entry(orphan.job.clone()).or_default();
                job_zones.push(machine.zone.clone());
            }
        }
        zones
    }
}
