//! The platform settings, a JSON file. Unknown fields are ignored, as new ones may be added.

use std::net::SocketAddr;
use std::path::Path;

use serde::Deserialize;

use super::checks::{check_not_negative, check_positive};
use super::files::read_json;
use super::{CloudLimits, ProcessLimits, ServiceLevelObjective, SettingsError, StoreLimits};

/// The platform settings of one controller.
#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    /// Id of this controller in the cluster.
    pub member: String,
    /// Zone of this controller.
    pub zone: String,
    /// Address that users, agents and health checks connect to.
    pub front: SocketAddr,
    /// Address that other controllers connect to.
    pub mesh_addr: SocketAddr,
    /// The other controllers of the cluster; empty if this is the only one.
    #[serde(rename = "known", default)]
    pub peers: Vec<Peer>,
    /// Addresses of the services that a controller calls.
    pub endpoints: Endpoints,
    /// Settings that are the same for all controllers.
    pub cluster: ClusterSettings,
}

/// Another controller.
#[derive(Debug, Clone, Deserialize)]
pub struct Peer {
    /// Its id in the cluster.
    pub member: String,
    /// The zone it runs in; empty if not given.
    #[serde(default)]
    pub zone: String,
    /// Its address for the peer protocol.
    pub address: SocketAddr,
}

/// Addresses of the services that a controller calls.
#[derive(Debug, Clone, Deserialize)]
pub struct Endpoints {
    /// The cloud, which rents machines.
    pub cloud: SocketAddr,
    /// The store, which holds the state that the controllers share.
    pub state: SocketAddr,
}

/// Settings that are the same for all controllers.
#[derive(Debug, Clone, Deserialize)]
pub struct ClusterSettings {
    /// Names of all zones; the zones that offer machines are taken from the machine types.
    #[serde(default)]
    pub zones: Vec<String>,
    /// Quotas of teams; a team that is not listed has no quota limit.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// Service-level objectives on starting and finishing.
    #[serde(default)]
    pub objectives: Vec<ServiceLevelObjective>,
    /// Heartbeat interval, lease and timeouts of agents.
    pub workers: AgentTimings,
    /// Limits of the store.
    pub state: StoreLimits,
    /// Limits of the cloud.
    pub cloud: CloudLimits,
    /// Limits of a controller's process.
    pub limits: ProcessLimits,
    /// Maximum deviation of the time of day from true time, in milliseconds.
    #[serde(default)]
    pub clock_off_ms: f64,
}

/// Nominal quota and quota limit of a team. An amount of 0 means none.
#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    /// Name of the team.
    pub name: String,
    /// Nominal quota of CPU cores.
    #[serde(default)]
    pub cpus: f64,
    /// Quota limit of CPU cores.
    #[serde(default)]
    pub cpus_max: f64,
    /// Nominal quota of GPUs.
    #[serde(default)]
    pub gpus: f64,
    /// Quota limit of GPUs.
    #[serde(default)]
    pub gpus_max: f64,
}

/// Intervals and timeouts of agents, in seconds.
#[derive(Debug, Clone, Deserialize)]
pub struct AgentTimings {
    /// Interval of heartbeats.
    pub report_s: f64,
    /// Time after the last heartbeat that got a response, at which an agent kills its tasks.
    pub lease_s: f64,
    /// Time that a gang's tasks wait for the gang to be complete.
    pub gang_wait_s: f64,
    /// Time within which the tasks of a gang detect the loss of another one.
    pub gang_peer_s: f64,
    /// Time within which all tasks of a cancelled job must have ended.
    pub cancel_s: f64,
}

impl Settings {
    /// Reads and checks the platform settings.
    ///
    /// # Errors
    ///
    /// If the file cannot be read or parsed, or if a value is invalid.
    pub fn load(path: &Path) -> Result<Settings, SettingsError> {
        let settings: Settings = read_json(path)?;
        settings.check()?;
        Ok(settings)
    }

    /// Checks the constraints that the types do not express.
    ///
    /// # Errors
    ///
    /// [`SettingsError::Invalid`] for the first field with an invalid value.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.member.is_empty() {
            return Err(SettingsError::invalid("member", "is empty"));
        }
        if self.peers.iter().any(|peer| peer.member == self.member) {
            let problem = format!("names this member, {}", self.member);
            return Err(SettingsError::invalid("known", problem));
        }
        self.cluster.check()
    }

    /// Whether a controller with this id is in the cluster.
    pub(super) fn has_member(&self, member: &str) -> bool {
        self.member == member || self.peers.iter().any(|peer| peer.member == member)
    }
}

impl ClusterSettings {
    fn check(&self) -> Result<(), SettingsError> {
        self.workers.check()?;
        check_positive("cluster.cloud.rps", self.cloud.rps)?;
        check_positive("cluster.limits.cpu_share", self.limits.cpu_share)?;
        check_positive("cluster.limits.ram_mb", self.limits.ram_mb)?;
        check_not_negative("cluster.cloud.list_lag_s", self.cloud.list_lag_s)?;
        self.limits.check_fd_limit()?;
        self.workers.check_cancellation()?;
        self.state.check()?;
        self.teams.iter().try_for_each(Team::check)
    }
}

impl AgentTimings {
    fn check(&self) -> Result<(), SettingsError> {
        check_positive("cluster.workers.report_s", self.report_s)?;
        check_positive("cluster.workers.lease_s", self.lease_s)?;
        check_positive("cluster.workers.gang_wait_s", self.gang_wait_s)?;
        check_positive("cluster.workers.gang_peer_s", self.gang_peer_s)?;
        check_positive("cluster.workers.cancel_s", self.cancel_s)
    }

    /// Requires that cancellation may take longer than an agent's lease: an agent that cannot be
    /// reached ends its tasks only when its lease expires.
    fn check_cancellation(&self) -> Result<(), SettingsError> {
        if self.cancel_s > self.lease_s {
            return Ok(());
        }
        let problem = "must be longer than lease_s, or a cut worker can't be told in time";
        Err(SettingsError::invalid("cluster.workers.cancel_s", problem))
    }
}

impl Team {
    fn check(&self) -> Result<(), SettingsError> {
        let amounts = [self.cpus, self.cpus_max, self.gpus, self.gpus_max];
        let is_valid = |amount: &f64| amount.is_finite() && *amount >= 0.0;
        if amounts.iter().all(is_valid) {
            return Ok(());
        }
        let problem = format!("{}: a negative amount", self.name);
        Err(SettingsError::invalid("cluster.teams", problem))
    }
}
