//! Whether teams keep to their limits, remembered until what they use changes: a successor
//! asks for each start that it finds on record.

use std::collections::HashMap;

use super::Scheduler;

/// What was found out since what teams use last changed.
#[derive(Debug, Default)]
pub(super) struct QuotaCache {
    is_within_limit: HashMap<String, bool>,
}

impl QuotaCache {
    /// What a team uses may have changed.
    pub fn on_change(&mut self) {
        self.is_within_limit.clear();
    }
}

impl Scheduler {
    /// Whether a team uses no more than its limit, everything counted that may be on a
    /// machine.
    pub(super) fn is_team_within_limit(&mut self, team: &str) -> bool {
        let limits = self.cluster.teams.iter().find(|t| t.name == team);
        if !limits.is_some_and(|t| t.cpus_max > 0.0 || t.gpus_max > 0.0) {
            return true;
        }
        if let Some(is_within_limit) = self.quota_cache.is_within_limit.get(team) {
            return *is_within_limit;
        }
        let views = self.team_views();
        let found = views
            .into_iter()
            .map(|(team, view)| (team, view.is_within_limit()));
        self.quota_cache.is_within_limit = found.collect();
        self.quota_cache
            .is_within_limit
            .get(team)
            .is_none_or(|w| *w)
    }
}
