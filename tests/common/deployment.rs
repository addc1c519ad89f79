//! How the controllers are deployed: their settings and versions.

use std::collections::HashSet;

use gaugesill::settings::{OperatorSettings, Settings};

use super::settings::{settings_with, PlatformLimits};

/// Settings and versions of controllers that start from now on.
pub(crate) struct Deployment {
    /// The settings' list of teams, as JSON.
    teams: String,
    /// The team's CPU limit that the simulation checks; 0 for none.
    pub(super) team_cores: f64,
    pub limits: PlatformLimits,
    /// Announced future limits of the store: JSON that is appended to the current limits.
    pub announced_limits: String,
    /// The operator settings.
    pub operator: OperatorSettings,
    /// Controllers that start without the operator settings.
    pub without_duties: HashSet<usize>,
    /// Controllers that run the previous version.
    pub previous_version: HashSet<usize>,
}

impl Deployment {
    pub(super) fn new(teams: &str, team_cores: f64) -> Deployment {
        Deployment {
            teams: teams.to_string(),
            team_cores,
            limits: PlatformLimits::default(),
            announced_limits: String::new(),
            operator: OperatorSettings::default(),
            without_duties: HashSet::new(),
            previous_version: HashSet::new(),
        }
    }

    pub(super) fn settings_of(&self, controller: usize) -> Settings {
        settings_with(
            controller,
            &self.teams,
            &self.announced_limits,
            &self.limits,
        )
    }

    pub(super) fn operator_settings_of(&self, controller: usize) -> OperatorSettings {
        let has_none = self.previous_version.contains(&controller)
            || self.without_duties.contains(&controller);
        if has_none {
            return OperatorSettings::default();
        }
        self.operator.clone()
    }
}
