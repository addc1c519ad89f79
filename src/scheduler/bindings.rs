//! Binds tasks to machines, removes bindings, and releases reserved capacity.
//!
//! A binding is stored twice, as a placement of the job and as a bound task of the machine. Apart
//! from the removal of whole jobs and machines, both change in this module only.

use super::placement::TaskKey;
use super::{Job, Placement, Scheduler};
use crate::machine::{BoundTask, Machine};
use crate::plan::Resources;

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
            .or_insert_with(|| Machine::new(name, now));
        machine.bound_tasks.push(BoundTask {
            job: job.id.clone(),
            task: placement.task,
            attempt: placement.attempt,
            resources: Resources::of(&job.spec),
            spot: job.spec.spot,
        });
        machine.idle_since = None;
        machine.cached_view = None;
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
        job.record.add_change(now);
        self.dirty_jobs.update(job);
        self.quota_cache.invalidate();
        if let Some(machine) = self.machines.get_mut(&*placement.machine) {
            machine.unbind(&task.job, Some(task.task));
        }
        self.retry_backed_off_jobs();
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
                machine.cached_view = None;
            }
        }
        self.needs_planning = true;
    }
}
