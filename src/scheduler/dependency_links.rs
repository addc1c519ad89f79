//! How priorities and deadlines pass from jobs to their dependencies.

use std::collections::HashMap;
use std::sync::Arc;

use tracing::debug;

use super::{Job, Scheduler};

/// The dependents of live jobs.
#[derive(Debug, Default)]
pub(super) struct DependencyLinks {
    dependents: HashMap<String, Vec<Arc<str>>>,
}

impl DependencyLinks {
    fn dependents_of(&self, id: &str) -> Vec<Arc<str>> {
        self.dependents.get(id).cloned().unwrap_or_default()
    }

    fn add(&mut self, job: &Job) {
        for dependency in &job.spec.dependencies {
            let dependents = self.dependents.entry(dependency.clone()).or_default();
            dependents.push(job.id.clone());
        }
    }

    pub fn remove(&mut self, job: &Job) {
        for dependency in &job.spec.dependencies {
            if let Some(dependents) = self.dependents.get_mut(dependency) {
                dependents.retain(|id| *id != job.id);
                if dependents.is_empty() {
                    self.dependents.remove(dependency);
                }
            }
        }
    }
}

impl Scheduler {
    /// All dependencies of a job are done, and that is on record. `at`: time of day.
    pub fn dependencies_done(&mut self, id: &str, at: u64) {
        if let Some(job) = self.jobs.get_mut(id).filter(|job| job.is_waiting) {
            debug!("{id} is ready");
            job.is_waiting = false;
            job.ready_at = job.submitted_at.max(at);
            self.retry_backed_off();
        }
    }

    /// A new job takes its place among its dependencies and dependents. A dependency is as
    /// urgent as the job itself, and due in time for the job's own run: so the deadline of
    /// a chain's last job, whenever it comes, orders all before it by what is left of the
    /// critical path.
    pub(super) fn link_dependencies(&mut self, id: &str) {
        let Some(job) = self.jobs.get(id) else { return };
        let mut pending = self.dependency_links.dependents_of(id);
        if !job.spec.dependencies.is_empty() {
            pending.push(job.id.clone());
            self.dependency_links.add(job);
        }
        while let Some(id) = pending.pop() {
            pending.extend(self.raise_dependencies(&id));
        }
    }

    /// Passes a job's priority and deadline on; returns the dependencies that changed.
    fn raise_dependencies(&mut self, id: &str) -> Vec<Arc<str>> {
        let Some(job) = self.jobs.get(id) else {
            return vec![];
        };
        let spec = job.spec.clone();
        let submitted_s = job.submitted_at as f64 / 1000.0;
        let own_due_s = spec.deadline_s.map(|deadline_s| submitted_s + deadline_s);
        let due_s = [own_due_s, job.due_at_s].into_iter().flatten();
        let due_s = due_s.reduce(f64::min).map(|due_s| due_s - spec.expected_s);
        let mut changed = Vec::new();
        for dependency in &spec.dependencies {
            let Some(job) = self.jobs.get_mut(dependency) else {
                continue;
            };
            let sooner = due_s.is_some_and(|due_s| job.due_at_s.is_none_or(|old| due_s < old));
            if sooner {
                job.due_at_s = due_s;
            }
            let more_urgent = job.spec.priority < spec.priority;
            if more_urgent {
                Arc::make_mut(&mut job.spec).priority = spec.priority;
                for placement in &job.placements {
                    if let Some(machine) = self.machines.get_mut(&*placement.machine) {
                        machine.view = None;
                    }
                }
            }
            if sooner || more_urgent {
                changed.push(job.id.clone());
                self.needs_planning = true;
            }
        }
        changed
    }
}
