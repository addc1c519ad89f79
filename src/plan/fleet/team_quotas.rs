//! The quota usage of the teams within a cycle.

use std::collections::HashMap;

use crate::plan::resources::Resources;
use crate::plan::snapshot::{JobView, TeamView};

/// The quotas of all teams, by name. No tasks are allowed for an unknown team.
pub(in crate::plan) struct TeamQuotas(HashMap<String, TeamView>);

impl TeamQuotas {
    /// Creates the quotas from the usage at the beginning of a cycle.
    pub(crate) fn new(teams: HashMap<String, TeamView>) -> TeamQuotas {
        TeamQuotas(teams)
    }

    /// Whether a team's unfinished work fits into its nominal quota.
    pub(crate) fn is_within_nominal_quota(&self, team: &str) -> bool {
        let team = self.0.get(team);
        team.is_some_and(TeamView::is_within_nominal_quota)
    }

    /// Whether a team's usage exceeds its nominal quota.
    pub(crate) fn borrows_quota(&self, team: &str) -> bool {
        self.0.get(team).is_some_and(TeamView::borrows_quota)
    }

    /// How many more tasks of a job its team's limit allows.
    pub(crate) fn remaining_tasks(&self, job: &JobView) -> usize {
        let team = self.0.get(&job.spec.team);
        let demand = Resources::of(&job.spec);
        team.map_or(0, |team| team.remaining_tasks(demand)) as usize
    }

    /// Adds tasks of a job to its team's usage.
    pub(crate) fn charge(&mut self, job: &JobView, count: usize) {
        if let Some(team) = self.0.get_mut(&job.spec.team) {
            team.add_tasks(Resources::of(&job.spec), count);
        }
    }
}
