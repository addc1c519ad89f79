//! Limits of the store, of the cloud and of the controller's own process.

use serde::Deserialize;

use super::checks::check_positive;
use super::SettingsError;

/// Smallest usable limit of a value's size once announced limits apply, in KiB: a value must hold
/// a record's fields and the placements of a few dozen tasks.
const VALUE_KB_MIN: f64 = 1.0;
/// Number of changes in the largest transaction that cannot be split: the one that ends a job.
const TXN_OPS_MIN: usize = 2;
/// Longest uninterrupted processor time, as after a takeover, in seconds of a whole core.
const STALL_CPU_S: f64 = 0.2;
/// Smallest usable limit on the number of sockets.
const FD_LIMIT_MIN: usize = 32;
const BYTES_PER_MIB: f64 = 1024.0 * 1024.0;

/// Limits of the store.
#[derive(Debug, Clone, Deserialize)]
pub struct StoreLimits {
    /// Maximum requests per second.
    pub rps: f64,
    /// Maximum changes (puts and deletes) per second.
    pub write_rps: f64,
    /// Maximum size of a value, in KiB.
    pub value_kb: f64,
    /// Maximum changes per transaction.
    pub txn_ops: usize,
    /// Announced limits, which apply from some time after all controllers run this version.
    #[serde(default)]
    pub next: Option<NextLimits>,
}

/// Announced limits of the store, which will apply without further notice. Absent ones do not
/// change.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct NextLimits {
    /// Maximum changes (puts and deletes) per second.
    #[serde(default)]
    pub write_rps: Option<f64>,
    /// Maximum size of a value, in KiB.
    #[serde(default)]
    pub value_kb: Option<f64>,
    /// Maximum changes per transaction.
    #[serde(default)]
    pub txn_ops: Option<usize>,
}

impl StoreLimits {
    /// The lower of the current and the announced value of each limit.
    pub fn strictest(&self) -> StoreLimits {
        let mut strictest = self.clone();
        let Some(next) = &self.next else {
            return strictest;
        };
        if let Some(write_rps) = next.write_rps {
            strictest.write_rps = write_rps.min(self.write_rps);
        }
        if let Some(value_kb) = next.value_kb {
            strictest.value_kb = value_kb.min(self.value_kb);
        }
        if let Some(txn_ops) = next.txn_ops {
            strictest.txn_ops = txn_ops.min(self.txn_ops);
        }
        strictest
    }

    pub(super) fn check(&self) -> Result<(), SettingsError> {
        check_positive("cluster.state.rps", self.rps)?;
        check_positive("cluster.state.write_rps", self.write_rps)?;
        check_positive("cluster.state.value_kb", self.value_kb)?;
        check_txn_ops("cluster.state.txn_ops", self.txn_ops)?;
        let strictest = self.strictest();
        check_positive("cluster.state.next.write_rps", strictest.write_rps)?;
        check_txn_ops("cluster.state.next.txn_ops", strictest.txn_ops)?;
        if strictest.value_kb < VALUE_KB_MIN && self.next.is_some() {
            let field = "cluster.state.next.value_kb";
            let problem = format!("must be at least {VALUE_KB_MIN}: records don't fit");
            return Err(SettingsError::invalid(field, problem));
        }
        Ok(())
    }
}

fn check_txn_ops(field: &'static str, value: usize) -> Result<(), SettingsError> {
    if value >= TXN_OPS_MIN {
        return Ok(());
    }
    let problem = format!("must be at least {TXN_OPS_MIN}: the end of a job needs as many");
    Err(SettingsError::invalid(field, problem))
}

/// Limits of the cloud.
#[derive(Debug, Clone, Deserialize)]
pub struct CloudLimits {
    /// Maximum requests per second.
    pub rps: f64,
    /// Usual delay until the machine list reflects a change, in seconds.
    pub list_lag_s: f64,
}

/// Limits of a controller's process.
#[derive(Debug, Clone, Deserialize)]
pub struct ProcessLimits {
    /// Share of a processor core, 1 being a whole core.
    pub cpu_share: f64,
    /// Memory limit, in MiB.
    pub ram_mb: f64,
    /// Maximum number of sockets.
    pub fd_limit: usize,
}

impl ProcessLimits {
    /// How long the process may be busy with a takeover, in seconds. Its leases are not renewed
    /// in this time, so shorter ones would expire.
    pub fn stall_s(&self) -> f64 {
        STALL_CPU_S / self.cpu_share
    }

    /// A share (0 to 1) of the memory limit, in bytes.
    pub fn memory_share_bytes(&self, share: f64) -> usize {
        (self.ram_mb * BYTES_PER_MIB * share) as usize
    }

    pub(super) fn check_fd_limit(&self) -> Result<(), SettingsError> {
        if self.fd_limit >= FD_LIMIT_MIN {
            return Ok(());
        }
        let problem = format!("must be at least {FD_LIMIT_MIN}");
        Err(SettingsError::invalid("cluster.limits.fd_limit", problem))
    }
}
