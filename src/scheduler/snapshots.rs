//! From the scheduling state to the planner's snapshot.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use super::{to_ms, Scheduler};
use crate::plan::{JobView, Resources, Snapshot, TeamView};

/// What the views of all jobs need.
pub(super) struct SnapshotContext {
    pub now: u64,
    pub now_s: f64,
    /// Machines that no gang may count on: few.
    pub unreliable: HashSet<Arc<str>>,
    /// Zones of the tasks that no record puts where they are, by job.
    pub orphan_zones: HashMap<String, Vec<Arc<str>>>,
    pub runs_max: usize,
}

impl Scheduler {
    /// Whether the planner may run: the state is rebuilt as far as needed.
    /// Machines that were heard may have work without the cloud's list, so if
    /// that can't be had, the planner waits for a round of reports only; what is
    /// to be rented or returned waits for the list.
    pub fn is_ready(&self, now: u64) -> bool {
        let heard = now > self.began_at + to_ms(self.cluster.workers.report_s);
        !self.machine_types.is_empty() && (self.has_machine_list || heard)
    }

    /// A snapshot to plan on. `wall_ms` is the time of day, as job records hold it.
    pub fn snapshot(&mut self, now: u64, wall_ms: u64) -> Snapshot {
        self.needs_planning = false;
        if std::mem::take(&mut self.end_backoffs) {
            for job in self.jobs.values_mut() {
                job.backoff_until = 0;
            }
        }
        for machine in self.machines.values_mut() {
            machine.update_orphans();
        }
        let now_s = wall_ms as f64 / 1000.0;
        let (machines, unreliable) = self.machine_views(now, now_s);
        let context = SnapshotContext {
            now,
            now_s,
            unreliable,
            orphan_zones: self.orphan_zones(),
            runs_max: self.runs_max(),
        };
        let jobs = self.jobs.values();
        let jobs: Vec<JobView> = jobs
            .filter_map(|job| self.view_of_job(job, &context))
            .collect();
        self.has_pending_jobs = !jobs.is_empty();
        Snapshot {
            machines,
            jobs,
            teams: self.team_views(),
            now_s,
            on_demand_penalty_s: self.cluster.workers.lease_s,
        }
    }

    /// What each team uses, everything counted that may be on a machine.
    pub(super) fn team_views(&self) -> HashMap<String, TeamView> {
        let teams = self.cluster.teams.iter().map(|team| {
            let view = TeamView {
                cpus_max: team.cpus_max,
                gpus_max: team.gpus_max,
                nominal_cpus: team.cpus,
                nominal_gpus: team.gpus,
                ..TeamView::default()
            };
            (team.name.clone(), view)
        });
        let mut views: HashMap<String, TeamView> = teams.collect();
        for job in self.jobs.values() {
            let Some(view) = views.get_mut(&job.spec.team) else {
                continue;
            };
            view.add_tasks(Resources::of(&job.spec), job.placements.len());
            if !job.is_waiting {
                let left = (u64::from(job.spec.tasks) - job.done.len()) as f64;
                view.requested_cpus += job.spec.cpus * left;
                view.requested_gpus += job.spec.gpus * left;
            }
        }
        for machine in self.machines.values() {
            for orphan in machine.orphans() {
                let Some(job) = self.jobs.get(&orphan.job) else {
                    continue;
                };
                if let Some(view) = views.get_mut(&job.spec.team) {
                    view.add_tasks(Resources::of(&job.spec), 1);
                }
            }
        }
        views
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
