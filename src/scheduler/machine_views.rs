//! Builds the planner's views of machines.

use std::collections::HashSet;
use std::sync::Arc;

use super::snapshots::PlanTime;
use super::Scheduler;
use crate::cloud;
use crate::machine::{BoundTask, Machine};
use crate::plan::{lowest_preemptable_priority, MachineView, Resources, TaskView};
use crate::wire::MachineType;

/// Cost of stopping a task without checkpoints, in addition to its lost progress.
const STOP_COST_S: f64 = 1.0;

/// The views of all machines.
pub(super) struct MachineViews {
    /// The machines on which tasks may be placed.
    pub views: Vec<Arc<MachineView>>,
    /// The names of machines that are being terminated or reclaimed.
    pub unreliable: HashSet<Arc<str>>,
}

impl Scheduler {
    /// Whether tasks may be placed on a machine. Its latest status must show this leader's epoch:
    /// one with an older epoch may be a late copy from a machine that no longer exists, or come
    /// from a machine that this controller's responses do not reach.
    pub(super) fn accepts_tasks(&self, machine: &Machine, now: u64) -> bool {
        let silence_tolerance_ms = self.silence_tolerance_ms();
        let last_heartbeat_at = machine
            .last_heartbeat_at
            .or(machine.first_status_at)
            .unwrap_or(0);
        machine.is_in_service()
            && !machine.has_stopped()
            && !self.terminations.is_recorded(&machine.name)
            && machine.last_status_at.is_some()
            && machine.epoch >= self.term.epoch
            && machine.ineffective_responses == 0
            && !machine.is_reachability_unverified()
            && machine.silent_ms(self.began_at, now) <= silence_tolerance_ms
            && now.saturating_sub(last_heartbeat_at.max(self.began_at)) <= silence_tolerance_ms
    }

    /// The free resources of a machine. Every task that may be on it counts as using its resources.
    pub(super) fn free_resources(&self, machine: &Machine) -> Resources {
        let Some(machine_type) = self.catalog.machine_type(&machine.machine_type) else {
            return Resources::default();
        };
        let mut free = cloud::capacity(machine_type);
        for task in &machine.bound_tasks {
            free.sub(task.resources);
        }
        for orphan in machine.orphans() {
            match self.jobs.get(&orphan.job) {
                Some(job) => free.sub(Resources::of(&job.spec)),
                // The orphan's resources are unknown: nothing else may be placed on the machine.
                None => free = Resources::default(),
            }
        }
        free
    }

    /// The views of all machines; those of machines that have not changed are reused.
    pub(super) fn machine_views(&mut self, time: PlanTime) -> MachineViews {
        let mut views = Vec::with_capacity(self.machines.len());
        let mut new_views = Vec::new();
        let mut unreliable = HashSet::new();
        for (name, machine) in &self.machines {
            if !machine.is_in_service() {
                unreliable.insert(machine.name.clone());
                continue;
            }
            if !self.accepts_tasks(machine, time.now) {
                continue;
            }
            if let Some(view) = &machine.cached_view {
                views.push(view.clone());
            } else if let Some(machine_type) = self.catalog.machine_type(&machine.machine_type) {
                let view = Arc::new(self.view_of_machine(machine, machine_type, time));
                new_views.push((name.clone(), view.clone()));
                views.push(view);
            }
        }
        for (name, view) in new_views {
            if let Some(machine) = self.machines.get_mut(&name) {
                machine.cached_view = Some(view);
            }
        }
        MachineViews { views, unreliable }
    }

    fn view_of_machine(
        &self,
        machine: &Machine,
        machine_type: &MachineType,
        time: PlanTime,
    ) -> MachineView {
        let bound_tasks = machine.bound_tasks.iter();
        let tasks: Vec<TaskView> = bound_tasks
            .filter_map(|task| self.view_of_task(task, time))
            .collect();
        MachineView {
            name: machine.name.clone(),
            machine_type: self.catalog.interned_name(&machine.machine_type),
            zone: self.catalog.interned_name(&machine.zone),
            spot: machine.spot,
            total: cloud::capacity(machine_type),
            free: self.free_resources(machine),
            images: self.present_images(machine),
            fetch_gb_per_s: machine_type.fetch_gb_per_s,
            lowest_preemptable_priority: lowest_preemptable_priority(&tasks),
            tasks,
            reservations: machine.reservations.clone(),
        }
    }

    fn view_of_task(&self, task: &BoundTask, time: PlanTime) -> Option<TaskView> {
        let (job, placement) = self.placement_of(task)?;
        let has_checkpoints = job.spec.checkpoint_interval_s > 0.0;
        let running_since = placement.running_since.filter(|_| !has_checkpoints);
        Some(TaskView {
            job: task.job.clone(),
            task: task.task,
            resources: task.resources,
            priority: job.spec.priority,
            team: job.spec.team.as_str().into(),
            preemptable: placement.stop.is_none(),
            stop_cost_s: if has_checkpoints {
                job.spec.checkpoint_grace_s
            } else {
                STOP_COST_S
            },
            running_since_s: running_since.map(|at| time.to_wall_s(at)),
        })
    }

    /// Images that a machine has or is fetching: later tasks can use an image that is being
    /// fetched for an earlier one.
    fn present_images(&self, machine: &Machine) -> Vec<Arc<str>> {
        let mut images: Vec<Arc<str>> = machine.images.names().cloned().collect();
        for task in &machine.bound_tasks {
            if let Some(job) = self.jobs.get(&*task.job) {
                if !images.iter().any(|image| **image == *job.spec.image) {
                    images.push(job.spec.image.as_str().into());
                }
            }
        }
        images
    }
}
