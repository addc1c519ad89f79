//! The dependency graph of live jobs: which wait for others to be done, and which are
//! cancelled because one that they depend on is. What a job's users are told follows from
//! its dependencies until its own record says so. The cost of each change is in proportion
//! to the jobs that it affects.

use std::collections::{BTreeSet, HashMap, HashSet};

use crate::job::FinalState;

/// What is known of a job that another one depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DependencyState {
    /// Not over.
    Live {
        /// Its own record says that it is cancelled.
        cancelled: bool,
    },
    /// Over.
    Over(FinalState),
    /// Neither in the watch cache nor remembered: to be looked up.
    Unknown,
}

/// What followed from a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DependencyEvent {
    /// All dependencies of this job are done.
    Ready(String),
    /// A job that this one depends on, directly or indirectly, is cancelled.
    Cancelled(String),
}

/// The dependency graph of live jobs.
#[derive(Debug, Default)]
pub struct DependencyGraph {
    /// Live jobs with their dependencies that are not known to be done.
    unfinished: HashMap<String, BTreeSet<String>>,
    /// The reverse: the jobs that wait for each of these.
    dependents: HashMap<String, BTreeSet<String>>,
    /// Live jobs that are cancelled by a dependency.
    cancelled: HashSet<String>,
    /// Dependencies whose state has to be looked up.
    unresolved: BTreeSet<String>,
}

impl DependencyGraph {
    /// Adds a live job. `state` tells what is known of its dependencies.
    pub fn add(
        &mut self,
        id: &str,
        dependencies: &[String],
        state: impl Fn(&str) -> DependencyState,
        events: &mut Vec<DependencyEvent>,
    ) {
        // Jobs that depend on it had to wait for this.
        self.unresolved.remove(id);
        let mut is_cancelled = false;
        let mut unfinished = BTreeSet::new();
        for dependency in dependencies {
            match state(dependency) {
                DependencyState::Over(FinalState::Done) => continue,
                DependencyState::Over(FinalState::Cancelled)
                | DependencyState::Live { cancelled: true } => is_cancelled = true,
                DependencyState::Live { cancelled: false } => {
                    is_cancelled |= self.cancelled.contains(dependency);
                }
                DependencyState::Unknown => {
                    self.unresolved.insert(dependency.clone());
                }
            }
            let dependents = self.dependents.entry(dependency.clone()).or_default();
            dependents.insert(id.to_string());
            unfinished.insert(dependency.clone());
        }
        if !unfinished.is_empty() {
            self.unfinished.insert(id.to_string(), unfinished);
        }
        if is_cancelled {
            self.cancel_with_dependents(id, events);
        }
    }

    /// A job is cancelled, or ended as cancelled: so are all that depend on it.
    pub fn on_cancelled(&mut self, id: &str, events: &mut Vec<DependencyEvent>) {
        self.unresolved.remove(id);
        for dependent in self.dependents_of(id) {
            self.cancel_with_dependents(&dependent, events);
        }
    }

    /// It is on record that a job is done.
    pub fn on_done(&mut self, id: &str, events: &mut Vec<DependencyEvent>) {
        self.unresolved.remove(id);
        for dependent in self.dependents.remove(id).into_iter().flatten() {
            let Some(unfinished) = self.unfinished.get_mut(&dependent) else {
                continue;
            };
            unfinished.remove(id);
            if unfinished.is_empty() {
                self.unfinished.remove(&dependent);
                events.push(DependencyEvent::Ready(dependent));
            }
        }
    }

    /// Removes a job that is not live any more.
    pub fn remove(&mut self, id: &str) {
        self.cancelled.remove(id);
        for dependency in self.unfinished.remove(id).into_iter().flatten() {
            let Some(dependents) = self.dependents.get_mut(&dependency) else {
                continue;
            };
            dependents.remove(id);
            if dependents.is_empty() {
                self.dependents.remove(&dependency);
                self.unresolved.remove(&dependency);
            }
        }
    }

    /// Whether not all dependencies of a job are known to be done.
    pub fn is_waiting(&self, id: &str) -> bool {
        self.unfinished.contains_key(id)
    }

    /// Whether a job that this one depends on, directly or indirectly, is cancelled.
    pub fn is_cancelled(&self, id: &str) -> bool {
        self.cancelled.contains(id)
    }

    /// Dependencies whose state has to be looked up.
    pub fn unresolved(&self) -> &BTreeSet<String> {
        &self.unresolved
    }

    /// Whether a job depends, directly or indirectly, on one that has to be looked up, so
    /// that it may be cancelled.
    pub fn has_unresolved(&self, id: &str) -> bool {
        if self.unresolved.is_empty() {
            return false;
        }
        let mut visited = HashSet::new();
        let mut pending = vec![id];
        while let Some(job) = pending.pop() {
            for dependency in self.unfinished.get(job).into_iter().flatten() {
                if self.unresolved.contains(dependency) {
                    return true;
                }
                if visited.insert(dependency) {
                    pending.push(dependency);
                }
            }
        }
        false
    }

    fn dependents_of(&self, id: &str) -> Vec<String> {
        let dependents = self.dependents.get(id);
        dependents.into_iter().flatten().cloned().collect()
    }

    fn cancel_with_dependents(&mut self, id: &str, events: &mut Vec<DependencyEvent>) {
        let mut pending = vec![id.to_string()];
        while let Some(job) = pending.pop() {
            if self.cancelled.insert(job.clone()) {
                pending.extend(self.dependents_of(&job));
                events.push(DependencyEvent::Cancelled(job));
            }
        }
    }
}
