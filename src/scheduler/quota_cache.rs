//! Caches whether each team is within its quota limit until any usage changes: a new leader checks
//! the limit for every recorded start.

use std::collections::HashMap;

use crate::plan::TeamView;

/// The results for the teams' present usage.
#[derive(Debug, Default)]
pub(super) struct QuotaCache {
    is_within_limit: HashMap<String, bool>,
}

impl QuotaCache {
    /// Discards all results, as the usage of a team may have changed.
    pub(super) fn invalidate(&mut self) {
        self.is_within_limit.clear();
    }

    /// The cached result for a team; `None` if it has to be computed.
    pub(super) fn get(&self, team: &str) -> Option<bool> {
        self.is_within_limit.get(team).copied()
    }

    /// Stores the results for all teams.
    pub(super) fn store(&mut self, teams: HashMap<String, TeamView>) {
        self.is_within_limit = teams
            .into_iter()
            .map(|(team, view)| (team, view.is_within_limit()))
            .collect();
    }
}
