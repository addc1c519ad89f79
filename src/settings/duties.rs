//! Operator settings for duties.

use std::collections::BTreeMap;

use duty_lease::{Duty, LeaseTiming};
use serde::Deserialize;

use super::{Settings, SettingsError};
use crate::time_units::to_ms;

/// Longest time to live of a duty's lease, as a share of an agent's lease: the successor of a
/// holder must be able to terminate a machine before the machine's agent lets its own lease
/// expire.
const LEASE_TTL_SHARE_MAX: f64 = 0.5;
/// Upper bound of the time until a successor can issue orders, as a multiple of the lease's time
/// to live.
const TAKEOVER_TTL_MULTIPLIER: f64 = 2.0;
/// Highest rate at which records are removed, per second: each tick finds at most one.
const CLEANING_PER_S_MAX: f64 = 10.0;
/// Number of changes in the largest transaction that duties need: the election of a leader under
/// a storage format that versions without duties cannot read.
const TXN_OPS_MIN: usize = 3;

/// The mechanism that prevents late orders of a replaced holder from taking effect at the cloud.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FencingMode {
    /// The published protocol: the cloud carries out a provisioning request once per idempotency
    /// key, and a machine with a recorded termination never receives work again.
    #[serde(rename = "booking")]
    IdempotencyKey,
    /// Each order carries the fencing token, and the provider refuses lower tokens.
    ProviderToken,
}

/// Operator settings for duties. A controller without them holds no duties.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct DutySettings {
    /// Time to live of a duty's lease, as a share of an agent's lease.
    pub life_share: f64,
    /// The mechanism that prevents late orders of a replaced holder from taking effect.
    pub fence: FencingMode,
    /// Preferred holder of a duty while that controller is live, by duty.
    pub holders: BTreeMap<Duty, String>,
    /// Rate at which records without an owner are removed, per second.
    pub cleaning_per_s: f64,
    /// Whether records without an owner are only logged and not removed.
    pub cleaning_dry_run: bool,
}

impl Default for DutySettings {
    fn default() -> DutySettings {
        DutySettings {
            life_share: 0.2,
            fence: FencingMode::IdempotencyKey,
            holders: BTreeMap::new(),
            cleaning_per_s: 1.0,
            cleaning_dry_run: false,
        }
    }
}

impl DutySettings {
    /// The timing of a duty's lease, for agents with a lease of `lease_s` seconds.
    pub fn timing(&self, lease_s: f64) -> LeaseTiming {
        LeaseTiming::new(to_ms(lease_s * self.life_share))
    }

    /// Checks the settings for duties against the platform settings.
    ///
    /// # Errors
    ///
    /// [`SettingsError::Invalid`] for the first field with an invalid value.
    pub fn check(&self, settings: &Settings) -> Result<(), SettingsError> {
        self.check_ttl(settings)?;
        self.check_cleaning()?;
        if settings.cluster.state.strictest().txn_ops < TXN_OPS_MIN {
            let problem = format!("duties need transactions of {TXN_OPS_MIN} changes");
            return Err(SettingsError::invalid("cluster.state.txn_ops", problem));
        }
        self.check_holders(settings)
    }

    fn check_ttl(&self, settings: &Settings) -> Result<(), SettingsError> {
        let invalid = |problem: String| Err(SettingsError::invalid("duties.life_share", problem));
        let workers = &settings.cluster.workers;
        let share = self.life_share;
        if !(share.is_finite() && share > 0.0 && share <= LEASE_TTL_SHARE_MAX) {
            let problem = format!("must be above 0 and at most {LEASE_TTL_SHARE_MAX}, not {share}");
            return invalid(problem);
        }
        let ttl_s = workers.lease_s * share;
        let stall_s = settings.cluster.limits.stall_s();
        if ttl_s < stall_s {
            return invalid(format!(
                "a lease of {ttl_s:.2} s is shorter than a stall of {stall_s:.2} s with this cpu_share"
            ));
        }
        let takeover_s = TAKEOVER_TTL_MULTIPLIER * ttl_s;
        if takeover_s > workers.cancel_s {
            return invalid(format!(
                "a successor may take {takeover_s:.2} s, longer than cancel_s"
            ));
        }
        match self.timing(workers.lease_s).check() {
            Ok(()) => Ok(()),
            Err(error) => invalid(error.to_string()),
        }
    }

    fn check_cleaning(&self) -> Result<(), SettingsError> {
        let cleaning_per_s = self.cleaning_per_s;
        if cleaning_per_s > 0.0 && cleaning_per_s <= CLEANING_PER_S_MAX {
            return Ok(());
        }
        let problem =
            format!("must be above 0 and at most {CLEANING_PER_S_MAX}, not {cleaning_per_s}");
        Err(SettingsError::invalid("duties.cleaning_per_s", problem))
    }

    fn check_holders(&self, settings: &Settings) -> Result<(), SettingsError> {
        for (duty, member) in &self.holders {
            if !settings.has_member(member) {
                let problem = format!("{}: {member} is not a controller", duty.name());
                return Err(SettingsError::invalid("duties.holders", problem));
            }
        }
        Ok(())
    }
}
