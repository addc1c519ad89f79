//! A bounded memory of how jobs ended.

use std::collections::{HashMap, VecDeque};

use crate::job::FinalState;

/// Maximum number of jobs whose final states are remembered. Others are read from the store
/// again when a user asks for them.
const FINALS_MAX: usize = 50_000;

/// The final states of jobs, of which the oldest are evicted first.
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

    /// Remembers how a job ended. A job that is remembered already keeps its place in the order
    /// of eviction.
    pub(super) fn insert(&mut self, id: &str, state: FinalState) {
        let previous = self.states.insert(id.to_string(), state);
        if previous.is_some() {
            return;
        }
        self.order.push_back(id.to_string());
        if self.order.len() > FINALS_MAX {
            self.evict_oldest();
        }
    }

    fn evict_oldest(&mut self) {
        if let Some(oldest) = self.order.pop_front() {
            self.states.remove(&oldest);
        }
    }
}
