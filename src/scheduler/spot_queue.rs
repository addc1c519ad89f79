//! Selects spot tasks that may use on-demand machines, because the spot machines would take too
//! long to work off the queue, or because no spot machine can be had for them.

use std::collections::HashMap;
use std::sync::Arc;

use super::snapshots::PlanTime;
use super::spot_availability::SpotAvailability;
use super::{Job, Scheduler};
use crate::cloud;
use crate::plan::Resources;

/// Price ratio of tasks for which no spot machine can be had: no price decides whether they run.
const UNLIMITED_PRICE_RATIO: f64 = f64::INFINITY;

/// The tasks of a spot job that may use on-demand machines.
#[derive(Debug, Clone, Copy)]
pub(super) struct OnDemandShare {
    pub tasks: u32,
    /// The most that such a machine may cost for each task, as a multiple of the lowest spot price
    /// for each task.
    pub price_ratio: f64,
}

/// A spot job with pending tasks.
struct WaitingJob {
    id: Arc<str>,
    /// Time until it has to start to meet its deadline; infinite without a deadline.
    slack_s: f64,
    pending_tasks: f64,
    /// Whether the job needs machines for all its tasks at a time.
    is_gang: bool,
}

/// Live spot jobs.
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
    /// The number of tasks that are placed.
    placed_tasks: f64,
}

/// The machines that work off a queue.
struct Throughput {
    /// How many tasks run at the same time.
    task_slots: f64,
    /// Whether no spot machine works off the queue, and the cloud has none.
    has_no_spot_capacity: bool,
}

impl SpotQueue {
    fn add(&mut self, job: &Job, wall_ms: u64) {
        let pending_tasks = job.pending_count() as f64;
        let placed_tasks = job.placements.len() as f64;
        let tasks = pending_tasks + placed_tasks;
        self.tasks += tasks;
        self.placed_tasks += placed_tasks;
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
                is_gang: job.is_gang(),
            });
        }
    }

    /// The mean resources of a task. The queue must not be empty.
    fn mean_resources(&self) -> Resources {
        self.resources.scaled(1.0 / self.tasks)
    }

    /// The number of tasks of each waiting job that have to run elsewhere so that no wait exceeds
    /// `wait_max_s`; jobs with the least slack come first.
    fn excess_tasks(mut self, throughput: &Throughput, wait_max_s: f64) -> HashMap<Arc<str>, u32> {
        let Throughput {
            task_slots,
            has_no_spot_capacity,
        } = *throughput;
        let mean_s = self.work_s / self.tasks;
        self.waiting.sort_by(|a, b| a.slack_s.total_cmp(&b.slack_s));
        let pending: f64 = self.waiting.iter().map(|job| job.pending_tasks).sum();
        let mut excess_left = (pending * mean_s / wait_max_s - task_slots).ceil();
        let mut tasks_ahead = 0.0;
        let mut excess = HashMap::new();
        for job in self.waiting {
            tasks_ahead += job.pending_tasks;
            let exceeds_wait_max =
                task_slots > 0.0 && tasks_ahead / task_slots * mean_s > wait_max_s;
            if excess_left > 0.0 && (has_no_spot_capacity || exceeds_wait_max) {
                let needs_all = job.is_gang && has_no_spot_capacity;
                let count = if needs_all {
                    job.pending_tasks
                } else {
                    job.pending_tasks.min(excess_left)
                };
                excess_left -= count;
                excess.insert(job.id, count as u32);
            }
        }
        excess
    }
}

impl Scheduler {
    /// The tasks of each spot job that may use on-demand machines. These are the jobs that would
    /// wait longer than `ordinary_wait_boots` boot times; in total, as many tasks as bring the wait
    /// down to that limit.
    ///
    /// Jobs for which spot machines can be had wait at the rate at which running and incoming
    /// ones work off the queue, and on-demand machines for them have a price limit. The other
    /// jobs have only the machines that run their tasks now, and no price limit.
    pub(super) fn spot_tasks_on_demand(&self, time: PlanTime) -> HashMap<Arc<str>, OnDemandShare> {
        let availability = self.spot_availability(time.now);
        let mut with_spot = SpotQueue::default();
        let mut without_spot = SpotQueue::default();
        let jobs = self.jobs.values();
        for job in jobs.filter(|job| job.spec.spot && !job.cancelled && !job.waits_for_dependencies)
        {
            let queue = if availability.is_available_for(&job.spec) {
                &mut with_spot
            } else {
                &mut without_spot
            };
            queue.add(job, time.wall_ms);
        }
        let mut shares = HashMap::new();
        let mut add_shares = |excess: HashMap<Arc<str>, u32>, price_ratio| {
            let excess = excess.into_iter();
            shares.extend(excess.map(|(job, tasks)| (job, OnDemandShare { tasks, price_ratio })));
        };
        let wait_max_s = self.operator.ordinary_wait_boots * self.catalog.longest_boot_s();
        if !with_spot.waiting.is_empty() {
            let throughput = self.spot_throughput(&with_spot, &availability);
            let excess = with_spot.excess_tasks(&throughput, wait_max_s);
            add_shares(excess, self.operator.ordinary_price_ratio);
        }
        if !without_spot.waiting.is_empty() {
            let throughput = Throughput {
                task_slots: without_spot.placed_tasks,
                has_no_spot_capacity: true,
            };
            let excess = without_spot.excess_tasks(&throughput, wait_max_s);
            add_shares(excess, UNLIMITED_PRICE_RATIO);
        }
        shares
    }

    fn spot_throughput(&self, queue: &SpotQueue, availability: &SpotAvailability) -> Throughput {
        let task_slots = self.spot_task_slots(queue.mean_resources());
        Throughput {
            task_slots,
            has_no_spot_capacity: task_slots == 0.0 && availability.has_refused_all(),
        }
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
}
