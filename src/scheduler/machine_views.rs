//! What the planner sees of machines.

use std::collections::HashSet;
use std::sync::Arc;

use super::Scheduler;
use crate::cloud;
use crate::machine::Machine;
use crate::plan::{lowest_priority, MachineView, Resources, TaskView};
use crate::wire::MachineType;

/// What stopping a task wastes that never saves, beside its progress.
const STOP_COST_S: f64 = 1.0;

impl Scheduler {
    /// Whether new work may go to a machine. It must have been heard with our
    /// epoch: a report that shows an older one may be a late copy of a machine
    /// that is gone, or come from one that our answers don't reach.
    pub(super) fn is_placeable(&self, machine: &Machine, now: u64) -> bool {
        let silence_tolerance_ms = self.silence_tolerance_ms();
        let came_at = machine.last_heartbeat_at.or(machine.up_since).unwrap_or(0);
        machine.is_retained()
            && !machine.is_dead()
            && !self.recorded_terminations.contains(&*machine.name)
            && machine.last_status_at.is_some()
            && machine.epoch >= self.term.epoch
            && machine.ineffective_answers == 0
            && !machine.reachability_unverified
            && self.silent_ms(machine, now) <= silence_tolerance_ms
            && now.saturating_sub(came_at.max(self.began_at)) <= silence_tolerance_ms
    }

    /// Free resources of a machine, everything counted that may be on it.
    pub(super) fn free_resources(&self, machine: &Machine) -> Resources {
        let Some(machine_type) = self.machine_type(&machine.machine_type) else {
            return Resources::default();
        };
        let mut free = cloud::capacity(machine_type);
        for task in &machine.bound_tasks {
            free.sub(task.resources);
        }
        for orphan in machine.orphans() {
            match self.jobs.get(&orphan.job) {
                Some(job) => free.sub(Resources::of(&job.spec)),
                // Its size is not known any more: nothing fits beside it.
                None => free = Resources::default(),
            }
        }
        free
    }

    /// Views of the machines that may have work; those that have not changed are kept. With
    /// them the names of those that no gang may count on.
    pub(super) fn machine_views(
        &mut self,
        now: u64,
        now_s: f64,
    ) -> (Vec<Arc<MachineView>>, HashSet<Arc<str>>) {
        let mut views = Vec::with_capacity(self.machines.len());
        let mut renewed = Vec::new();
        let mut unreliable = HashSet::new();
        for (name, machine) in &self.machines {
            if !machine.is_retained() {
                unreliable.insert(machine.name.clone());
                continue;
            }
            if !self.is_placeable(machine, now) {
                continue;
            }
            if let Some(view) = &machine.view {
                views.push(view.clone());
            } else if let Some(machine_type) = self.machine_type(&machine.machine_type) {
                let view = Arc::new(self.view_of_machine(machine, machine_type, now, now_s));
                renewed.push((name.clone(), view.clone()));
                views.push(view);
            }
        }
        for (name, view) in renewed {
            if let Some(machine) = self.machines.get_mut(&name) {
                machine.view = Some(view);
            }
        }
        (views, unreliable)
    }

    pub(super) fn view_of_machine(
        &self,
        machine: &Machine,
        machine_type: &MachineType,
        now: u64,
        now_s: f64,
    ) -> MachineView {
        let seconds_of = |at: u64| now_s - now.saturating_sub(at) as f64 / 1000.0;
        let tasks: Vec<TaskView> = machine
            .bound_tasks
            .iter()
            .filter_map(|task| {
                let (job, placement) = self.placement_of(task)?;
                let has_checkpoints = job.spec.checkpoint_interval_s > 0.0;
                let running_since = placement.running_since.filter(|_| !has_checkpoints);
                Some(TaskView {
                    job: task.job.clone(),
                    task: task.task,
                    resources: task.resources,
                    priority: job.spec.priority,
                    team: job.spec.team.as_str().into(),
                    stoppable: placement.stop.is_none(),
                    stop_cost_s: if has_checkpoints {
                        job.spec.checkpoint_grace_s
                    } else {
                        STOP_COST_S
                    },
                    running_since_s: running_since.map(seconds_of),
                })
            })
            .collect();
        MachineView {
            name: machine.name.clone(),
            machine_type: self.interned_name(&machine.machine_type),
            zone: self.interned_name(&machine.zone),
            spot: machine.spot,
            total: cloud::capacity(machine_type),
            free: self.free_resources(machine),
            images: self.present_images(machine),
            fetch_gb_per_s: machine_type.fetch_gb_per_s,
            lowest_priority: lowest_priority(&tasks),
            tasks,
            reservations: machine.reservations.clone(),
        }
    }

    /// Images that a machine has or fetches: what is being fetched for one task serves the
    /// next, too.
    pub(super) fn present_images(&self, machine: &Machine) -> Vec<Arc<str>> {
        let cached = machine.images.iter().map(|image| image.name.clone());
        let mut images: Vec<Arc<str>> = cached.collect();
        for task in &machine.bound_tasks {
            if let Some(job) = self.jobs.get(&*task.job) {
                if !images.iter().any(|image| **image == *job.spec.image) {
                    images.push(job.spec.image.as_str().into());
                }
            }
        }
        images
    }

    /// One copy of a name that many machines have.
    pub(super) fn interned_name(&self, name: &Arc<str>) -> Arc<str> {
        let known = self.interned_names.iter().find(|known| *known == name);
        known.unwrap_or(name).clone()
    }
}
