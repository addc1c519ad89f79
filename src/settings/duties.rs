//! The operators' settings for duties.

use std::collections::BTreeMap;

use duty_lease::{Duty, LeaseTiming};
use serde::Deserialize;

use super::{Settings, SettingsError};
use crate::time_units::to_ms;

/// Longest life of a duty's lease, as a share of an agent's lease: a machine that a holder
/// was to return must be returned by its successor before the agent gives up.
const TTL_SHARE_MAX: f64 = 0.5;
/// Lives until a successor gives orders, at the most.
const TAKEOVER_TTLS: f64 = 2.0;
/// Most records that are removed in a second: a look at the clock finds one.
const CLEANING_PER_S_MAX: f64 = 10.0;
/// Changes of the largest transaction, the election of a leader out of reach of versions
/// that know no duties.
const TXN_OPS_MIN: usize = 3;

/// What keeps a holder that was replaced from doing harm at the cloud.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DutyFence {
    /// The published protocol: a provisioning request's name is carried out once, and a machine that is
    /// on record to be deleted never gets work again.
    Booking,
    /// The token goes with each order, and the provider refuses lower ones.
    ProviderToken,
}

/// The operators' settings for duties. Without them this controller holds none.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct DutySettings {
    /// Life of a duty's lease, as a share of an agent's lease.
    pub life_share: f64,
    /// What keeps a replaced holder from doing harm.
    pub fence: DutyFence,
    /// Which controller is to hold a duty, for as long as it is live.
    pub holders: BTreeMap<Duty, String>,
    /// Records that are removed in a second.
    pub cleaning_per_s: f64,
    /// Only log what would be removed.
    pub cleaning_dry_run: bool,
}

impl Default for DutySettings {
    fn default() -> DutySettings {
        DutySettings {
            life_share: 0.2,
            fence: DutyFence::Booking,
            holders: BTreeMap::new(),
            cleaning_per_s: 1.0,
            cleaning_dry_run: false,
        }
    }
}

impl DutySettings {
    /// The times of a duty's lease.
    pub fn timing(&self, lease_s: f64) -> LeaseTiming {
        LeaseTiming::new(to_ms(lease_s * self.life_share))
    }

    /// Checks them against the platform's settings.
    pub fn check(&self, settings: &Settings) -> Result<(), SettingsError> {
        self.check_ttl(settings)?;
        let cleaning_per_s = self.cleaning_per_s;
        if !(cleaning_per_s > 0.0 && cleaning_per_s <= CLEANING_PER_S_MAX) {
            let problem =
                format!("must be above 0 and at most {CLEANING_PER_S_MAX}, not {cleaning_per_s}");
            return Err(SettingsError::invalid("duties.cleaning_per_s", problem));
        }
        if settings.cluster.state.lowered().txn_ops < TXN_OPS_MIN {
            let problem = format!("duties need transactions of {TXN_OPS_MIN} changes");
            return Err(SettingsError::invalid("cluster.state.txn_ops", problem));
        }
        let is_member = |name: &String| {
            *name == settings.member || settings.peers.iter().any(|peer| peer.member == *name)
        };
        for (duty, name) in &self.holders {
            if !is_member(name) {
                let problem = format!("{}: {name} is not a controller", duty.name());
                return Err(SettingsError::invalid("duties.holders", problem));
            }
        }
        Ok(())
    }

    fn check_ttl(&self, settings: &Settings) -> Result<(), SettingsError> {
        let refuse = |problem: String| Err(SettingsError::invalid("duties.life_share", problem));
        let workers = &settings.cluster.workers;
        let share = self.life_share;
        if !(share.is_finite() && share > 0.0 && share <= TTL_SHARE_MAX) {
            let problem = format!("must be above 0 and at most {TTL_SHARE_MAX}, not {share}");
            return refuse(problem);
        }
        let ttl_s = workers.lease_s * share;
        let stall_s = settings.cluster.limits.stall_s();
        if ttl_s < stall_s {
            return refuse(format!(
                "a lease of {ttl_s:.2} s is shorter than a stall of {stall_s:.2} s with this cpu_share"
            ));
        }
        if TAKEOVER_TTLS * ttl_s > workers.cancel_s {
            return refuse(format!(
                "a successor may take {:.2} s, longer than cancel_s",
                TAKEOVER_TTLS * ttl_s
            ));
        }
        match self.timing(workers.lease_s).check() {
            Ok(()) => Ok(()),
            Err(error) => refuse(error.to_string()),
        }
    }
}
