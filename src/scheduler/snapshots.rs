//! From the scheduling state to the planner's snapshot.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use super::{to_ms, Scheduler};
use crate::plan::{JobView, Snapshot};

/// The time of a plan.
#[derive(Debug, Clone, Copy)]
pub(super) struct PlanTime {
    /// The steady clock, in milliseconds.
    pub now: u64,
    /// The time of day, in milliseconds.
    pub wall_ms: u64,
}

impl PlanTime {
    /// The time of day in seconds, as the planner has it.
    pub(super) fn now_s(self) -> f64 {
        self.wall_ms as f64 / 1000.0
    }

    /// A time of the steady clock as a time of day, in seconds.
    pub(super) fn wall_s_of(self, at: u64) -> f64 {
        self.now_s() - self.now.saturating_sub(at) as f64 / 1000.0
    }
}

/// What the views of all jobs depend on.
pub(super) struct SnapshotContext {
    pub time: PlanTime,
    /// The few machines that no gang may rely on.
    pub unreliable: HashSet<Arc<str>>,
    /// Zones of orphans, by the id of the job.
    pub orphan_zones: HashMap<String, Vec<Arc<str>>>,
    /// At most how many runs a record holds.
    pub runs_max: usize,
}

impl Scheduler {
    /// Whether the state is complete enough to plan. Machines that were heard may get tasks
    /// without the cloud's list, so if that cannot be had, the planner only waits for one
    /// heartbeat interval; provisioning and termination wait for the list.
    pub fn is_ready(&self, now: u64) -> bool {
        let was_heard = now > self.began_at + to_ms(self.cluster.workers.report_s);
        !self.catalog.is_empty() && (self.has_machine_list || was_heard)
    }

    /// A snapshot to plan on. `wall_ms` is the time of day in milliseconds, as in job records.
    pub fn snapshot(&mut self, now: u64, wall_ms: u64) -> Snapshot {
        let time = PlanTime { now, wall_ms };
        self.needs_planning = false;
        self.end_due_backoffs();
        for machine in self.machines.values_mut() {
            machine.update_orphans();
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

    fn end_due_backoffs(&mut self) {
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
                let of_job = zones.entry(orphan.job.clone()).or_default();
                of_job.push(machine.zone.clone());
            }
        }
        zones
    }
}
