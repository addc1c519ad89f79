//! Whether each team is within its quota limit, cached until the usage changes: a new leader
//! asks once for every start that it finds recorded.

use std::collections::HashMap;

use crate::plan::TeamView;

/// Results computed since the usage of any team last changed.
#[derive(Debug, Default)]
pub(super) struct QuotaCache {
    is_within_limit: HashMap<String, bool>,
}

impl QuotaCache {
    /// Drops all results, as the usage of a team may have changed.
    pub(super) fn invalidate(&mut self) {
        self.is_within_limit.clear();
    }

    /// The cached result for a team.
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
