//! Which tasks are bound to which machine, and stopping them.

use std::sync::Arc;

use super::job_state::{StopRequest, TaskKey};
use super::{Job, Placement, Scheduler};
use crate::job::Shape;
use crate::machine::{BoundTask, Machine};
use crate::plan::Resources;
use crate::wire;

/// Added to the time that a task needs to save a checkpoint when it is stopped.
const CHECKPOINT_MARGIN_S: f64 = 0.5;

impl Scheduler {
    /// Binds a task to a machine, on both the job and the machine.
    pub(super) fn add_placement(&mut self, id: &str, placement: Placement, now: u64) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let name = &placement.machine;
        let machine = self
            .machines
            .entry(name.to_string())
            .or_insert_with(|| Machine::new(name, "", "", false, now));
        machine.bound_tasks.push(BoundTask {
            job: job.id.clone(),
            task: placement.task,
            attempt: placement.attempt,
            resources: Resources::of(&job.spec),
            spot: job.spec.spot,
        });
        machine.idle_since = None;
        machine.view = None;
        job.placements.push(placement);
        self.quota_cache.invalidate();
    }

    /// Removes a placement whose task is certainly not on its machine.
    pub(super) fn remove_placement(&mut self, task: &TaskKey, now: u64) {
        let Some(job) = self.jobs.get_mut(&*task.job) else {
            return;
        };
        let mut placements = job.placements.iter();
        let Some(index) = placements.position(|placement| placement.task == task.task) else {
            return;
        };
        let placement = job.placements.remove(index);
        job.record_change(now);
        self.dirty_jobs.update(job);
        self.quota_cache.invalidate();
        if let Some(machine) = self.machines.get_mut(&*placement.machine) {
            machine.unbind(&task.job, Some(task.task));
        }
        self.retry_backed_off();
    }

    /// The job and the placement of a bound task.
    pub(super) fn placement_of(&self, bound_task: &BoundTask) -> Option<(&Job, &Placement)> {
        let job = self.jobs.get(&*bound_task.job)?;
        Some((job, job.placement(bound_task.task)?))
    }

    /// Releases the capacity that is reserved for a job.
    pub(super) fn release_reservations(&mut self, id: &str) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        for name in std::mem::take(&mut job.reserved_machines) {
            if let Some(machine) = self.machines.get_mut(&*name) {
                machine.reservations.retain(|held| *held.job != *job.id);
                machine.view = None;
            }
        }
        self.needs_planning = true;
    }

    /// Stops all tasks of a cancelled job at once.
    pub(super) fn stop_cancelled(&mut self, id: &str, now: u64) {
        self.release_reservations(id);
        self.needs_planning = true;
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.placements.is_empty() {
            job.record_change(now);
        }
        self.dirty_jobs.update(job);
        for task in job.placed_tasks() {
            self.stop_task(&task, 0.0, now);
        }
    }

    /// Stops a task, which may save a checkpoint within `grace_s` seconds.
    pub(super) fn stop_task(&mut self, task: &TaskKey, grace_s: f64, now: u64) {
        let Some(job) = self.jobs.get_mut(&*task.job) else {
            return;
        };
        let Some(placement) = job.placement_mut(task.task) else {
            return;
        };
        if placement.is_start_pending() {
            // Its start was not sent, and will not be: no status could ever confirm that the
            // task is absent, so the placement is removed here.
            self.remove_placement(task, now);
            return;
        }
        let stopping = placement.stop.as_ref();
        if stopping.is_some_and(|stop| stop.grace_s <= grace_s) {
            return;
        }
        placement.stop = Some(StopRequest {
            grace_s,
            since: now,
            sent_at: Some(now),
        });
        let command = wire::stop_command(task.to_string(), placement.attempt, grace_s);
        let name = placement.machine.clone();
        if let Some(machine) = self.machines.get_mut(&*name) {
            machine.view = None;
        }
        self.direct_commands.push(name, command);
    }

    /// Stops a task so that it can save a checkpoint; a gang is always stopped as a whole.
    pub(super) fn stop_gracefully(&mut self, task: &TaskKey, now: u64) {
        let Some(job) = self.jobs.get(&*task.job) else {
            return;
        };
        let grace_s = job.spec.checkpoint_grace_s + CHECKPOINT_MARGIN_S;
        let tasks = match job.spec.shape {
            Shape::Array | Shape::Service => vec![task.clone()],
            Shape::Gang => job.placed_tasks(),
        };
        for task in tasks {
            self.stop_task(&task, grace_s, now);
        }
    }

    /// The starts of a job may have become due: its machines are considered with their next
    /// answers.
    pub(super) fn mark_startable_machines(&mut self, id: &str) {
        let Some(job) = self.jobs.get(id) else { return };
        let is_due = |placement: &&Placement| {
            placement.is_start_pending() && placement.change <= job.committed_change
        };
        let due = job.placements.iter().filter(is_due);
        let machines: Vec<Arc<str>> = due.map(|placement| placement.machine.clone()).collect();
        for machine in machines {
            self.starts.insert(machine);
        }
    }

    /// A recorded task that is certainly not on its machine may be started there under its
    /// attempt.
    pub(super) fn restart_in_place(&mut self, task: &TaskKey) {
        let job = self.jobs.get_mut(&*task.job);
        let Some(placement) = job.and_then(|job| job.placement_mut(task.task)) else {
            return;
        };
        placement.restarts_in_place = true;
        placement.delivery = None;
        placement.phase = None;
    }
}
