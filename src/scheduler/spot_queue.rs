//! Selects spot tasks that may use on-demand machines, because the spot machines would take too
//! long to work off the queue.

use std::collections::HashMap;
use std::sync::Arc;

use super::{Job, Scheduler};
use crate::cloud;
use crate::plan::Resources;

/// A spot job with pending tasks.
struct WaitingJob {
    id: Arc<str>,
    /// Time until it has to start to meet its deadline; infinite without a deadline.
    slack_s: f64,
    pending_tasks: f64,
}

/// All live spot jobs.
#[derive(Default)]
struct SpotQueue {
    /// The jobs with pending tasks.
    waiting: Vec<WaitingJob>,
    /// The number of tasks that are pending or placed.
    tasks: f64,
    /// The total expected run time of these tasks.
    work_s: f64,
    /// The total resources of these tasks.
    resources: Resources,
}

impl SpotQueue {
    fn add(&mut self, job: &Job, wall_ms: u64) {
        let pending_tasks = job.pending_count() as f64;
        let tasks = pending_tasks + job.placements.len() as f64;
        self.tasks += tasks;
        self.work_s += tasks * job.spec.expected_s;
        let resources = Resources::of(&job.spec);
        self.resources.add(resources.scaled(tasks));
        if pending_tasks > 0.0 {
            let age_s = (job.submitted_at as f64 - wall_ms as f64) / 1000.0;
            let deadline_s = job.spec.deadline_s;
            let until_deadline_s =
                deadline_s.map_or(f64::INFINITY, |deadline_s| deadline_s + age_s);
            self.waiting.push(WaitingJob {
                id: job.id.clone(),
                slack_s: until_deadline_s - job.spec.expected_s,
                pending_tasks,
            });
        }
    }

    /// The number of tasks of each waiting job that have to run elsewhere so that no wait exceeds
    /// `wait_max_s`; jobs with the least slack come first. `all_refused` tells whether the cloud
    /// has refused every kind of spot machine.
    fn excess_tasks(
        mut self,
        task_slots: f64,
        wait_max_s: f64,
        all_refused: impl FnOnce() -> bool,
    ) -> HashMap<Arc<str>, u32> {
        let mean_s = self.work_s / self.tasks;
        self.waiting.sort_by(|a, b| a.slack_s.total_cmp(&b.slack_s));
        let has_no_spot_capacity = task_slots == 0.0 && all_refused();
        let pending: f64 = self.waiting.iter().map(|job| job.pending_tasks).sum();
        let mut excess_left = (pending * mean_s / wait_max_s - task_slots).ceil();
        let mut tasks_ahead = 0.0;
        let mut excess = HashMap::new();
        for job in self.waiting {
            tasks_ahead += job.pending_tasks;
            let exceeds_wait_max =
                task_slots > 0.0 && tasks_ahead / task_slots * mean_s > wait_max_s;
            if excess_left > 0.0 && (has_no_spot_capacity || exceeds_wait_max) {
                let count = job.pending_tasks.min(excess_left);
                excess_left -= count;
                excess.insert(job.id, count as u32);
            }
        }
        excess
    }
}

impl Scheduler {
    /// The number of tasks of each spot job that may use on-demand machines. These are the jobs
    /// that would wait longer than `ordinary_wait_boots` boot times at the rate at which running
    /// and incoming spot machines work off the queue; in total, as many tasks as bring the wait
    /// down to that limit.
    pub(super) fn spot_tasks_on_demand(&self, wall_ms: u64) -> HashMap<Arc<str>, u32> {
        let mut queue = SpotQueue::default();
        let jobs = self.jobs.values();
        for job in jobs.filter(|job| job.spec.spot && !job.cancelled && !job.waits_for_dependencies)
        {
            queue.add(job, wall_ms);
        }
        if queue.waiting.is_empty() {
            return HashMap::new();
        }
        let mean_resources = queue.resources.scaled(1.0 / queue.tasks);
        let task_slots = self.spot_task_slots(mean_resources);
        let wait_max_s = self.operator.ordinary_wait_boots * self.catalog.longest_boot_s();
        queue.excess_tasks(task_slots, wait_max_s, || self.all_spot_refused())
    }

    /// The number of tasks of the mean size that fit on running and incoming spot machines, plus
    /// the spot tasks that on-demand machines currently run.
    fn spot_task_slots(&self, task: Resources) -> f64 {
        let slots_on = |name: &str| {
            let machine_type = self.catalog.machine_type(name);
            machine_type.map_or(0.0, |machine_type| {
                f64::from(cloud::capacity(machine_type).max_task_count(task))
            })
        };
        let mut on_demand_tasks = 0;
        let mut by_type: Vec<(&str, u32)> = Vec::new();
        for machine in self.machines.values() {
            if !machine.spot {
                let bound_tasks = machine.bound_tasks.iter();
                on_demand_tasks += bound_tasks.filter(|task| task.spot).count();
            } else if machine.termination_reason.is_none() && !machine.has_stopped() {
                let name = &*machine.machine_type;
                match by_type.iter_mut().find(|(other, _)| *other == name) {
                    Some((_, count)) => *count += 1,
                    None => by_type.push((name, 1)),
                }
            }
        }
        let present = by_type
            .iter()
            .map(|(name, count)| slots_on(name) * f64::from(*count));
        let requests = self.provisioning.open().iter();
        let incoming = requests
            .filter(|request| request.kind.spot)
            .map(|request| slots_on(&request.kind.machine_type) * request.count as f64);
        on_demand_tasks as f64 + present.sum::<f64>() + incoming.sum::<f64>()
    }

    /// Whether the cloud has refused every kind of spot machine at some time in this term.
    fn all_spot_refused(&self) -> bool {
        let mut kinds = self.catalog.spot_kinds();
        kinds.all(|kind| self.provisioning.has_been_sold_out(&kind))
    }
}
