//! Computes each team's quota usage.

use std::collections::HashMap;

use super::Scheduler;
use crate::plan::{Resources, TeamView};

impl Scheduler {
    /// The quota and usage of each team. Every task that may be on a machine counts as usage.
    pub(super) fn team_views(&self) -> HashMap<String, TeamView> {
        let mut views = self.team_views_without_usage();
        for job in self.jobs.values() {
            let Some(view) = views.get_mut(&job.spec.team) else {
                continue;
            };
            view.add_tasks(Resources::of(&job.spec), job.placements.len());
            if !job.waits_for_dependencies {
                let unfinished = (u64::from(job.spec.tasks) - job.done.len()) as f64;
                view.requested_cpus += job.spec.cpus * unfinished;
                view.requested_gpus += job.spec.gpus * unfinished;
            }
        }
        for machine in self.machines.values() {
            for orphan in machine.orphans() {
                let Some(job) = self.jobs.get(&orphan.job) else {
                    continue;
                };
                if let Some(view) = views.get_mut(&job.spec.team) {
                    view.add_tasks(Resources::of(&job.spec), 1);
                }
            }
        }
        views
    }

    /// The quota of each team, with zero usage.
    fn team_views_without_usage(&self) -> HashMap<String, TeamView> {
        let teams = self.cluster.teams.iter().map(|team| {
            let view = TeamView {
                cpus_max: team.cpus_max,
                gpus_max: team.gpus_max,
                nominal_cpus: team.cpus,
                nominal_gpus: team.gpus,
                ..TeamView::default()
            };
            (team.name.clone(), view)
        });
        teams.collect()
    }

    /// Whether a team's usage is within its quota limit. Every task that may be on a machine counts
    /// as usage.
    pub(super) fn is_team_within_limit(&mut self, team: &str) -> bool {
        let limits = self.cluster.teams.iter().find(|limits| limits.name == team);
        if !limits.is_some_and(|limits| limits.cpus_max > 0.0 || limits.gpus_max > 0.0) {
            return true;
        }
        if let Some(is_within_limit) = self.quota_cache.get(team) {
            return is_within_limit;
        }
        self.quota_cache.store(self.team_views());
        self.quota_cache.get(team).unwrap_or(true)
    }
}
