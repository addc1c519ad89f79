//! The dependency graph of live jobs.
//!
//! The graph tracks which live jobs wait for others to be done, and which are cancelled because
//! a job that they depend on is cancelled. Users see such a cancellation immediately, before it is
//! persisted in the job's own record. The cost of each change is proportional to the number of
//! jobs that it affects.
//!
//! Invariants:
//!
//! - `unfinished` and `dependents` store the same edges in both directions. An edge exists until
//!   its dependency is done or its dependent is no longer live.
//! - Cancellation is transitive: all live jobs that depend on a cancelled one, directly or
//!   indirectly, are in `cancelled`.
//! - Each dependency in `unresolved` has at least one dependent.

use std::collections::{BTreeSet, HashMap, HashSet};

use crate::job::FinalState;

/// The state of a job that another one depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DependencyState {
    /// The job is live.
    Live {
        /// Whether the job's own record says that it is cancelled.
        cancelled: bool,
    },
    /// The job has ended.
    Ended(FinalState),
    /// Neither the job nor its final state is in the watch cache: the state has to be looked up in
    /// the store.
    Unknown,
}

/// The effect of a change on a live job with dependencies. The variants carry the job's id.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DependencyEvent {
    /// All dependencies of the job are done.
    Ready(String),
    /// The job is cancelled, because one that it depends on directly or indirectly is.
    Cancelled(String),
}

/// The dependency graph of live jobs; see the module documentation.
#[derive(Debug, Default)]
pub struct DependencyGraph {
    /// For each live job, its dependencies that are not known to be done; jobs without such
    /// dependencies have no entry.
    unfinished: HashMap<String, BTreeSet<String>>,
    /// For each dependency in `unfinished`, the live jobs that depend on it.
    dependents: HashMap<String, BTreeSet<String>>,
    /// Live jobs that are cancelled because of a dependency.
    cancelled: HashSet<String>,
    /// Dependencies whose state has to be looked up in the store.
    unresolved: BTreeSet<String>,
}

impl DependencyGraph {
    /// Adds a live job. `state_of` returns the state of a dependency. Appends the resulting
    /// cancellations to `events`.
    pub fn add(
        &mut self,
        id: &str,
        dependencies: &[String],
        state_of: impl Fn(&str) -> DependencyState,
        events: &mut Vec<DependencyEvent>,
    ) {
        // Jobs that depend on this one may have been added first and marked it as unresolved.
        self.unresolved.remove(id);
        let mut is_cancelled = false;
        let mut unfinished = BTreeSet::new();
        for dependency in dependencies {
            let state = state_of(dependency);
            if state == DependencyState::Ended(FinalState::Done) {
                continue;
            }
            if state == DependencyState::Unknown {
                self.unresolved.insert(dependency.clone());
            }
            is_cancelled |= self.is_dependency_cancelled(dependency, state);
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

    fn is_dependency_cancelled(&self, id: &str, state: DependencyState) -> bool {
        match state {
            DependencyState::Ended(FinalState::Cancelled)
            | DependencyState::Live { cancelled: true } => true,
            DependencyState::Live { cancelled: false } => self.cancelled.contains(id),
            DependencyState::Ended(FinalState::Done) | DependencyState::Unknown => false,
        }
    }

    /// Handles the cancellation of a live or ended job: cancels all jobs that depend on it.
    pub fn on_cancelled(&mut self, id: &str, events: &mut Vec<DependencyEvent>) {
        self.unresolved.remove(id);
        for dependent in self.dependents_of(id) {
            self.cancel_with_dependents(&dependent, events);
        }
    }

    /// Handles the completion of a job, after it is committed to the store.
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

    /// Removes a job that is no longer live, with the edges to its dependencies.
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

    /// Returns whether a job has dependencies that are not known to be done.
    pub fn is_waiting(&self, id: &str) -> bool {
        self.unfinished.contains_key(id)
    }

    /// Returns whether a job that this one depends on, directly or indirectly, is cancelled.
    pub fn is_cancelled(&self, id: &str) -> bool {
        self.cancelled.contains(id)
    }

    /// Returns the dependencies whose state has to be looked up in the store.
    pub fn unresolved(&self) -> &BTreeSet<String> {
        &self.unresolved
    }

    /// Returns whether a job depends, directly or indirectly, on one whose state has to be looked
    /// up in the store, so that its own cancellation is undecided.
    pub fn has_unresolved_dependency(&self, id: &str) -> bool {
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

    /// Returns the jobs that depend on this one directly.
    fn dependents_of(&self, id: &str) -> Vec<String> {
        let dependents = self.dependents.get(id);
        dependents.into_iter().flatten().cloned().collect()
    }

    /// Marks a live job and all its direct and indirect dependents as cancelled. Jobs that are
    /// already marked are not visited again.
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
