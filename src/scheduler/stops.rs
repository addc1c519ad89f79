//! Stops tasks, immediately or with a grace period for a checkpoint.

use super::placement::{StopRequest, TaskKey};
use super::Scheduler;
use crate::job::Shape;
use crate::wire;

/// Added to the grace period that a job specifies for saving a checkpoint.
const CHECKPOINT_MARGIN_S: f64 = 0.5;

impl Scheduler {
    /// Stops all tasks of a cancelled job immediately.
    pub(super) fn stop_cancelled(&mut self, id: &str, now: u64) {
        self.release_reservations(id);
        self.needs_planning = true;
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.placements.is_empty() {
            job.record.add_change(now);
        }
        self.dirty_jobs.update(job);
        for task in job.placed_tasks() {
            self.stop_task(&task, 0.0, now);
        }
    }

    /// Stops a task, which may save a checkpoint within `grace_s` seconds. An earlier stop with
    /// the same or a shorter grace period stays in force.
    pub(super) fn stop_task(&mut self, task: &TaskKey, grace_s: f64, now: u64) {
        let Some(job) = self.jobs.get_mut(&*task.job) else {
            return;
        };
        let Some(placement) = job.placement_mut(task.task) else {
            return;
        };
        if placement.is_start_pending() {
            // The start was not sent and never will be, so no status could confirm that the task
            // is absent. The placement is removed here instead.
            self.remove_placement(task, now);
            return;
        }
        let previous_stop = placement.stop.as_ref();
        if previous_stop.is_some_and(|stop| stop.grace_s <= grace_s) {
            return;
        }
        placement.stop = Some(StopRequest {
            grace_s,
            requested_at: now,
            sent_at: Some(now),
        });
        let command = wire::stop_command(task.to_string(), placement.attempt, grace_s);
        let name = placement.machine.clone();
        if let Some(machine) = self.machines.get_mut(&*name) {
            machine.cached_view = None;
        }
        self.direct_commands.push(name, command);
    }

    /// Stops a task with a grace period for a checkpoint; a gang is always stopped as a whole.
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
}
