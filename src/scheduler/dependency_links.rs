//! Propagates priorities and deadlines from jobs to their dependencies.

use std::collections::HashMap;
use std::sync::Arc;

use tracing::debug;

use super::{Job, Scheduler};

/// The live jobs that depend on a job, by that job's id.
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

    /// Removes a job that is no longer live from the dependents of its dependencies.
    pub(super) fn remove(&mut self, job: &Job) {
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
    /// Marks a job as ready, as all its dependencies have been recorded as done since the time of
    /// day `at`, in milliseconds.
    pub fn on_dependencies_done(&mut self, id: &str, at: u64) {
        if let Some(job) = self
            .jobs
            .get_mut(id)
            .filter(|job| job.waits_for_dependencies)
        {
            debug!(job = id, "all dependencies are done; job can be placed");
            job.waits_for_dependencies = false;
            job.ready_at = job.submitted_at.max(at);
            self.retry_backed_off_jobs();
        }
    }

    /// Links a new job with its dependencies and dependents. A dependency gets at least the job's
    /// priority and is due in time for the job's own run. So the deadline of a chain's last job,
    /// whenever it is submitted, orders all earlier jobs by the remaining critical path.
    pub(super) fn link_dependencies(&mut self, id: &str) {
        let Some(job) = self.jobs.get(id) else { return };
        let mut pending = self.dependency_links.dependents_of(id);
        if !job.spec.dependencies.is_empty() {
            pending.push(job.id.clone());
            self.dependency_links.add(job);
        }
        while let Some(id) = pending.pop() {
            pending.extend(self.propagate_urgency(&id));
        }
    }

    /// Propagates a job's priority and deadline to its direct dependencies. Returns those that
    /// changed.
    fn propagate_urgency(&mut self, id: &str) -> Vec<Arc<str>> {
        let Some(job) = self.jobs.get(id) else {
            return vec![];
        };
        let spec = job.spec.clone();
        let due_s = latest_start_s(job);
        let mut changed = Vec::new();
        for dependency in &spec.dependencies {
            let Some(job) = self.jobs.get_mut(dependency) else {
                continue;
            };
            let is_sooner = due_s.is_some_and(|due_s| job.due_at_s.is_none_or(|old| due_s < old));
            let is_more_urgent = job.spec.priority < spec.priority;
            if is_sooner {
                job.due_at_s = due_s;
            }
            if is_more_urgent {
                Arc::make_mut(&mut job.spec).priority = spec.priority;
                for placement in &job.placements {
                    if let Some(machine) = self.machines.get_mut(&*placement.machine) {
                        machine.cached_view = None;
                    }
                }
            }
            if is_sooner || is_more_urgent {
                changed.push(job.id.clone());
                self.needs_planning = true;
            }
        }
        changed
    }
}

/// The latest start that meets a job's own deadline and its dependents', in seconds of the time
/// of day.
fn latest_start_s(job: &Job) -> Option<f64> {
    let submitted_s = job.submitted_at as f64 / 1000.0;
    let own_due_s = job
        .spec
        .deadline_s
        .map(|deadline_s| submitted_s + deadline_s);
    let due_s = [own_due_s, job.due_at_s].into_iter().flatten();
    due_s
        .reduce(f64::min)
        .map(|due_s| due_s - job.spec.expected_s)
}
