//! Which tasks may be on which machine, and stopping them.

use std::sync::Arc;

use super::job_state::StopRequest;
use super::{Job, Placement, Scheduler};
use crate::job::{task_name, Shape};
use crate::machine::{BoundTask, Machine};
use crate::plan::Resources;
use crate::wire;

/// Added to the time that a task needs to save when it is stopped.
const CHECKPOINT_MARGIN_S: f64 = 0.5;

impl Scheduler {
    /// A task gets a place: the job and the machine know of it from here on.
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
        self.quota_cache.on_change();
    }

    /// A task's place is proven empty.
    pub(super) fn remove_placement(&mut self, id: &str, task: u32, now: u64) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let Some(index) = job.placements.iter().position(|p| p.task == task) else {
            return;
        };
        let placement = job.placements.remove(index);
        job.record_change(now);
        self.update_write_state(id);
        self.quota_cache.on_change();
        if let Some(machine) = self.machines.get_mut(&*placement.machine) {
            machine.unbind(id, Some(task));
        }
        self.retry_backed_off();
    }

    /// The job and the placement of a task that a machine has on record.
    pub(super) fn placement_of(&self, recorded: &BoundTask) -> Option<(&Job, &Placement)> {
        let job = self.jobs.get(&*recorded.job)?;
        Some((job, job.placement(recorded.task)?))
    }

    /// Gives up the capacity that is held for a job.
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
        let tasks: Vec<u32> = job.placements.iter().map(|p| p.task).collect();
        self.update_write_state(id);
        for task in tasks {
            self.stop_task(id, task, 0.0, now);
        }
    }

    /// Stops a task, which may save for so long.
    pub(super) fn stop_task(&mut self, id: &str, task: u32, grace_s: f64, now: u64) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let Some(placement) = job.placement_mut(task) else {
            return;
        };
        if placement.is_start_pending() {
            // Its start has not gone out, and will not: no report can ever
            // prove the place empty, so it is removed here.
            self.remove_placement(id, task, now);
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
        let command = wire::stop_command(task_name(id, task), placement.attempt, grace_s);
        let name = placement.machine.clone();
        if let Some(machine) = self.machines.get_mut(&*name) {
            machine.view = None;
        }
        self.direct_commands.entry(name).or_default().push(command);
    }

    /// Stops a task so that it can save; a gang is always stopped as a whole.
    pub(super) fn stop_gracefully(&mut self, id: &str, task: u32, now: u64) {
        let Some(job) = self.jobs.get(id) else { return };
        let grace_s = job.spec.checkpoint_grace_s + CHECKPOINT_MARGIN_S;
        let tasks: Vec<u32> = match job.spec.shape {
            Shape::Array | Shape::Service => vec![task],
            Shape::Gang => job.placements.iter().map(|p| p.task).collect(),
        };
        for task in tasks {
            self.stop_task(id, task, grace_s, now);
        }
    }

    /// A machine's start commands may have come due: it is looked at with the next answer.
    pub(super) fn mark_startable_machines(&mut self, id: &str) {
        let Some(job) = self.jobs.get(id) else { return };
        let due = |p: &&Placement| p.is_start_pending() && p.change <= job.committed_change;
        let due = job.placements.iter().filter(due);
        let machines: Vec<Arc<str>> = due.map(|p| p.machine.clone()).collect();
        for machine in machines {
            self.mark_startable(machine);
        }
    }

    /// A task that is on record and proven not to be on its machine may be
    /// started there under its attempt.
    pub(super) fn restart_in_place(&mut self, id: &str, task: u32) {
        let job = self.jobs.get_mut(id);
        let Some(placement) = job.and_then(|job| job.placement_mut(task)) else {
            return;
        };
        placement.restarts_in_place = true;
        placement.delivery = None;
        placement.phase = None;
    }

    /// Adds commands that are to go straight to an agent.
    pub(super) fn queue_commands(&mut self, machine: Arc<str>, commands: Vec<wire::Command>) {
        if !commands.is_empty() {
            let queue = self.direct_commands.entry(machine).or_default();
            queue.extend(commands);
        }
    }
}
