//! The quota usage of the teams within a cycle.

use std::collections::HashMap;

use crate::job::Priority;
use crate::plan::precedence::Precedence;
use crate::plan::resources::Resources;
use crate::plan::snapshot::{JobView, TeamView};

/// The quotas of all teams. No tasks are allowed for an unknown team.
pub(in crate::plan) struct TeamQuotas {
    /// The teams by name.
    teams: HashMap<String, TeamView>,
    /// Whether the unfinished work of any team fits into its nominal quota, which does not change
    /// within a cycle.
    has_team_within_nominal_quota: bool,
}

impl TeamQuotas {
    /// Creates the quotas from the usage at the beginning of a cycle.
    pub(crate) fn new(teams: HashMap<String, TeamView>) -> TeamQuotas {
        let has_team_within_nominal_quota = teams.values().any(TeamView::is_within_nominal_quota);
        TeamQuotas {
            teams,
            has_team_within_nominal_quota,
        }
    }

    /// Whether a team's unfinished work fits into its nominal quota.
    pub(crate) fn is_within_nominal_quota(&self, team: &str) -> bool {
        self.has_team_within_nominal_quota
            && self
                .teams
                .get(team)
                .is_some_and(TeamView::is_within_nominal_quota)
    }

    /// The precedence of a team's jobs of a priority.
    pub(crate) fn precedence(&self, team: &str, priority: Priority) -> Precedence {
        Precedence {
            is_within_nominal_quota: self.is_within_nominal_quota(team),
            priority,
        }
    }

    /// Whether a team's usage exceeds its nominal quota.
    pub(crate) fn borrows_quota(&self, team: &str) -> bool {
        self.teams.get(team).is_some_and(TeamView::borrows_quota)
    }

    /// How many more tasks of a job its team's limit allows.
    pub(crate) fn remaining_tasks(&self, job: &JobView) -> usize {
        let team = self.teams.get(&job.spec.team);
        let demand = Resources::of(&job.spec);
        team.map_or(0, |team| team.remaining_tasks(demand)) as usize
    }

    /// Adds tasks of a job to its team's usage.
    pub(crate) fn charge(&mut self, job: &JobView, count: usize) {
        if let Some(team) = self.teams.get_mut(&job.spec.team) {
            team.add_tasks(Resources::of(&job.spec), count);
        }
    }
}
