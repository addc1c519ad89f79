//! Stopping tasks.

use super::placement::{StopRequest, TaskKey};
use super::Scheduler;
use crate::job::Shape;
use crate::wire;

/// Added to the time that a task needs to save a checkpoint when it is stopped.
const CHECKPOINT_MARGIN_S: f64 = 0.5;

impl Scheduler {
    /// Stops all tasks of a cancelled job at once.
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
}
