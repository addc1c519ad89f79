//! What the teams use of their quotas within a cycle.

use std::collections::HashMap;

use crate::plan::resources::Resources;
use crate::plan::snapshot::{JobView, TeamView};

/// The quotas of all teams, by name. A team that is not known may have no tasks.
pub(in crate::plan) struct TeamQuotas(HashMap<String, TeamView>);

impl TeamQuotas {
    /// The quotas at the beginning of a cycle.
    pub(crate) fn new(teams: HashMap<String, TeamView>) -> TeamQuotas {
        TeamQuotas(teams)
    }

    /// Whether a team's unfinished work fits into its nominal quota.
    pub(crate) fn is_within_nominal_quota(&self, team: &str) -> bool {
        let team = self.0.get(team);
        team.is_some_and(TeamView::is_within_nominal_quota)
    }

    /// Whether a team uses more than its nominal quota.
    pub(crate) fn borrows_quota(&self, team: &str) -> bool {
        self.0.get(team).is_some_and(TeamView::borrows_quota)
    }

    /// How many more tasks of a job its team's limit allows.
    pub(crate) fn remaining_tasks(&self, job: &JobView) -> usize {
        let team = self.0.get(&job.spec.team);
        let demand = Resources::of(&job.spec);
        team.map_or(0, |team| team.remaining_tasks(demand)) as usize
    }

    /// Counts tasks of a job as in use by its team.
    pub(crate) fn charge(&mut self, job: &JobView, count: usize) {
        if let Some(team) = self.0.get_mut(&job.spec.team) {
            team.add_tasks(Resources::of(&job.spec), count);
        }
    }
}
