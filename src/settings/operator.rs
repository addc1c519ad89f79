//! The operator settings, a TOML file. Every key has a default; unknown keys are errors.

use std::path::Path;

use serde::Deserialize;

use super::checks::check_positive;
use super::files::read_toml;
use super::{DutySettings, Settings, SettingsError};

/// The settings that operators may choose.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct OperatorSettings {
    /// Time to live of the leader's grant, as a share of an agent's lease.
    pub leader_life_share: f64,
    /// Heartbeat intervals without a heartbeat after which an agent is queried directly.
    pub silent_reports: f64,
    /// Time without a heartbeat after which a machine is terminated, as a share of an agent's
    /// lease.
    pub lost_lease_share: f64,
    /// Time that an on-demand machine may be idle before it is terminated, as a multiple of its
    /// boot time.
    pub idle_boots: f64,
    /// The same for a spot machine.
    pub idle_boots_spot: f64,
    /// Standby capacity for work that cannot use spot machines, as a multiple of the work that
    /// arrives in one boot time.
    pub reserve_boots: f64,
    /// Expected wait, as a multiple of the boot time, above which spot work may use on-demand
    /// machines.
    #[serde(alias = "dear_wait_boots")]
    pub ordinary_wait_boots: f64,
    /// Highest price per task on such an on-demand machine, as a multiple of the price on the
    /// cheapest spot machine. No limit for work for which no spot machine can be had.
    #[serde(alias = "dear_times")]
    pub ordinary_price_ratio: f64,
    /// Maximum backoff of a gang for which no capacity was found, in seconds.
    pub backoff_max_s: f64,
    /// Settings for duties; without them this controller holds none.
    pub duties: Option<DutySettings>,
}

impl Default for OperatorSettings {
    fn default() -> Self {
        OperatorSettings {
            leader_life_share: 0.083,
            silent_reports: 2.0,
            lost_lease_share: 0.5,
            idle_boots: 0.15,
            idle_boots_spot: 0.5,
            reserve_boots: 0.4,
            ordinary_wait_boots: 2.5,
            ordinary_price_ratio: 4.0,
            backoff_max_s: 10.0,
            duties: None,
        }
    }
}

impl OperatorSettings {
    /// Reads and checks the operator settings.
    ///
    /// # Errors
    ///
    /// If the file cannot be read or parsed, or if a value is invalid.
    pub fn load(path: &Path) -> Result<OperatorSettings, SettingsError> {
        let settings: OperatorSettings = read_toml(path)?;
        settings.check()?;
        Ok(settings)
    }

    /// Checks the values that depend on the platform settings.
    ///
    /// # Errors
    ///
    /// [`SettingsError::Invalid`] for the first field with an invalid value.
    pub fn check_against(&self, settings: &Settings) -> Result<(), SettingsError> {
        match &self.duties {
            Some(duties) => duties.check(settings),
            None => Ok(()),
        }
    }

    fn check(&self) -> Result<(), SettingsError> {
        check_positive("leader_life_share", self.leader_life_share)?;
        check_positive("silent_reports", self.silent_reports)?;
        check_positive("lost_lease_share", self.lost_lease_share)?;
        check_positive("idle_boots", self.idle_boots)?;
        check_positive("idle_boots_spot", self.idle_boots_spot)?;
        check_positive("reserve_boots", self.reserve_boots)?;
        check_positive("ordinary_wait_boots", self.ordinary_wait_boots)?;
        check_positive("ordinary_price_ratio", self.ordinary_price_ratio)?;
        check_positive("backoff_max_s", self.backoff_max_s)
    }
}
