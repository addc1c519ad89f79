//! A bounded cache of the final states of jobs.

use std::collections::{HashMap, VecDeque};

use crate::job::FinalState;

/// Maximum number of jobs whose final states are cached. Others are read from the store when a
/// user requests them.
const FINAL_STATES_MAX: usize = 50_000;

/// The final states of jobs. The oldest entries are evicted first.
///
/// Invariant: `order` holds each key of `states` once, in the order of insertion.
#[derive(Debug, Default)]
pub(super) struct FinalStates {
    states: HashMap<String, FinalState>,
    order: VecDeque<String>,
}

impl FinalStates {
    pub(super) fn get(&self, id: &str) -> Option<FinalState> {
        self.states.get(id).copied()
    }

    pub(super) fn contains(&self, id: &str) -> bool {
        self.states.contains_key(id)
    }

    /// Caches the final state of a job. A job that is cached already keeps its place in the order
    /// of eviction.
    pub(super) fn insert(&mut self, id: &str, state: FinalState) {
        let previous = self.states.insert(id.to_string(), state);
        if previous.is_some() {
            return;
        }
        self.order.push_back(id.to_string());
        if self.order.len() > FINAL_STATES_MAX {
            self.evict_oldest();
        }
    }

    fn evict_oldest(&mut self) {
        if let Some(oldest) = self.order.pop_front() {
            self.states.remove(&oldest);
        }
    }
}
