//! What the platform hands over (JSON, unknown fields ignored) and what the
//! operators may set themselves (TOML, unknown keys refused).

mod duties;

use std::net::SocketAddr;
use std::path::Path;

use serde::de::DeserializeOwned;
use serde::Deserialize;
use thiserror::Error;

pub use duties::{DutyFence, DutySettings};

/// What a value must be able to hold under limits to come, in KiB: a record's fields and a
/// few dozen of its tasks' places.
const VALUE_KB_MIN: f64 = 1.0;
/// Changes of the largest transaction that can't be divided, the end of a job.
const TXN_OPS_MIN: usize = 2;
/// Processor time that may be asked for at once, as after a takeover, in seconds of a whole
/// core.
const STALL_CORE_S: f64 = 0.2;
/// Fewest sockets.
const FD_LIMIT_MIN: usize = 32;

/// Why the settings can't be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// A file can't be read.
    #[error("{file}: {source}")]
    Read {
        /// The file.
        file: String,
        /// Why.
        source: std::io::Error,
    },
    /// The platform's file can't be parsed.
    #[error("{file}: not valid JSON settings: {source}")]
    Json {
        /// The file.
        file: String,
        /// Why.
        source: serde_json::Error,
    },
    /// The operators' file can't be parsed.
    #[error("{file}: not valid operator settings: {line}{}", source.message())]
    Toml {
        /// The file.
        file: String,
        /// The line of the file that can't be used, if it is known.
        line: String,
        /// Why.
        source: Box<toml::de::Error>,
    },
    /// A field has a value that can't be used.
    #[error("{field}: {problem}")]
    Invalid {
        /// The field.
        field: &'static str,
        /// What is wrong with it.
        problem: String,
    },
}

impl SettingsError {
    fn invalid(field: &'static str, problem: impl Into<String>) -> SettingsError {
        SettingsError::Invalid {
            field,
            problem: problem.into(),
        }
    }
}

/// The platform's settings file.
#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    /// This controller's name.
    pub member: String,
    /// This controller's zone.
    pub zone: String,
    /// Where users, agents and health checks connect.
    pub front: SocketAddr,
    /// Where other controllers connect.
    pub mesh_addr: SocketAddr,
    /// The other controllers.
    #[serde(rename = "known", default)]
    pub peers: Vec<Peer>,
    /// Outside services.
    pub endpoints: Endpoints,
    /// What is the same for all controllers.
    pub cluster: ClusterSettings,
}

/// Another controller.
#[derive(Debug, Clone, Deserialize)]
pub struct Peer {
    /// Its name.
    pub member: String,
    /// Its zone.
    #[serde(default)]
    pub zone: String,
    /// Where it takes messages of controllers.
    pub address: SocketAddr,
}

/// Outside services.
#[derive(Debug, Clone, Deserialize)]
pub struct Endpoints {
    /// The cloud, which rents machines.
    pub cloud: SocketAddr,
    /// The store.
    pub state: SocketAddr,
}

/// What is the same for all controllers.
#[derive(Debug, Clone, Deserialize)]
pub struct ClusterSettings {
    /// The zones.
    #[serde(default)]
    pub zones: Vec<String>,
    /// The teams.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// Aims on starting and finishing.
    #[serde(default)]
    pub objectives: Vec<ServiceLevelObjective>,
    /// Times of agents.
    pub workers: AgentTimings,
    /// Limits of the store.
    pub state: StoreLimits,
    /// Limits of the cloud.
    pub cloud: CloudLimits,
    /// Limits of a controller's process.
    pub limits: ProcessLimits,
    /// How far the time of day may be off.
    #[serde(default)]
    pub clock_off_ms: f64,
}

/// A team's nominal quota and limit; 0 stands for none.
#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    /// Its name.
    pub name: String,
    /// Guaranteed CPUs.
    #[serde(default)]
    pub cpus: f64,
    /// Most CPUs.
    #[serde(default)]
    pub cpus_max: f64,
    /// Guaranteed GPUs.
    #[serde(default)]
    pub gpus: f64,
    /// Most GPUs.
    #[serde(default)]
    pub gpus_max: f64,
}

/// What a service-level objective is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(from = "String")]
pub enum ObjectiveKind {
    /// The time until a job's tasks have started.
    Wait,
    /// The time until a job is done.
    Finished,
    /// The deadline that a job's owner has set.
    Deadline,
    /// One that does not concern the order of the queue.
    Other,
}

impl From<String> for ObjectiveKind {
    fn from(kind: String) -> ObjectiveKind {
        match kind.as_str() {
            "wait" => ObjectiveKind::Wait,
            "finished" => ObjectiveKind::Finished,
            "deadline" => ObjectiveKind::Deadline,
            _ => ObjectiveKind::Other,
        }
    }
}

/// A service-level objective on starting or finishing.
#[derive(Debug, Clone, Deserialize)]
pub struct ServiceLevelObjective {
    /// What it is about.
    pub kind: ObjectiveKind,
    /// The class of jobs that it is for; `None` for all.
    #[serde(default)]
    pub class: Option<String>,
    /// The time within which it is met.
    #[serde(default)]
    pub within_s: Option<f64>,
    /// The share of tasks or jobs that have to meet it.
    #[serde(default)]
    pub share: Option<f64>,
    /// For deadlines: how many times the deadline may be taken.
    #[serde(default)]
    pub times: Option<f64>,
}

/// Times of agents.
#[derive(Debug, Clone, Deserialize)]
pub struct AgentTimings {
    /// How often agents report.
    pub report_s: f64,
    /// How long they keep their tasks without an answer.
    pub lease_s: f64,
    /// How long a gang's tasks wait for one another.
    pub gang_wait_s: f64,
    /// Within which time a gang's tasks miss one another.
    pub gang_peer_s: f64,
    /// Within which time a cancelled job's tasks must be gone.
    pub cancel_s: f64,
}

/// Limits of the store.
#[derive(Debug, Clone, Deserialize)]
pub struct StoreLimits {
    /// Requests a second.
    pub rps: f64,
    /// Changes a second.
    pub write_rps: f64,
    /// The size of a value in KiB.
    pub value_kb: f64,
    /// Changes of a transaction.
    pub txn_ops: usize,
    /// Limits from some moment after all controllers run this version.
    #[serde(default)]
    pub next: Option<NextLimits>,
}

/// Limits of the store that will come without notice; those that are not
/// named stay.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct NextLimits {
    /// Changes a second.
    #[serde(default)]
    pub write_rps: Option<f64>,
    /// The size of a value in KiB.
    #[serde(default)]
    pub value_kb: Option<f64>,
    /// Changes of a transaction.
    #[serde(default)]
    pub txn_ops: Option<usize>,
}

impl StoreLimits {
    /// The lower of each, now and next.
    pub fn lowered(&self) -> StoreLimits {
        let mut lowered = self.clone();
        let Some(next) = &self.next else {
            return lowered;
        };
        if let Some(write_rps) = next.write_rps {
            lowered.write_rps = write_rps.min(self.write_rps);
        }
        if let Some(value_kb) = next.value_kb {
            lowered.value_kb = value_kb.min(self.value_kb);
        }
        if let Some(txn_ops) = next.txn_ops {
            lowered.txn_ops = txn_ops.min(self.txn_ops);
        }
        lowered
    }
}

/// Limits of the cloud.
#[derive(Debug, Clone, Deserialize)]
pub struct CloudLimits {
    /// Requests a second.
    pub rps: f64,
    /// How late the list of machines is.
    pub list_lag_s: f64,
}

/// Limits of a controller's process.
#[derive(Debug, Clone, Deserialize)]
pub struct ProcessLimits {
    /// Its share of a processor core.
    pub cpu_share: f64,
    /// Its memory.
    pub ram_mb: f64,
    /// Its sockets.
    pub fd_limit: usize,
}

/// The operators' own settings. Every key has a default.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct OperatorSettings {
    /// Life of the leader's grant, as a share of an agent's lease.
    pub leader_life_share: f64,
    /// A machine this many heartbeat intervals silent is asked directly.
    pub silent_reports: f64,
    /// Silent this share of an agent's lease, a machine is returned.
    pub lost_lease_share: f64,
    /// How long an on-demand machine may lie idle, in boot times.
    pub idle_boots: f64,
    /// The same for a spot machine.
    pub idle_boots_spot: f64,
    /// On-demand machines held ready for work that can't use spot ones, as a
    /// share of what comes in one boot time.
    pub reserve_boots: f64,
    /// On-demand machines are rented for spot work that would wait longer than
    /// this many boot times.
    #[serde(alias = "dear_wait_boots")]
    pub ordinary_wait_boots: f64,
    /// What such an on-demand machine may cost for a task, as a multiple of the
    /// cheapest spot machine.
    #[serde(alias = "dear_times")]
    pub ordinary_price_ratio: f64,
    /// Longest backoff of a gang that found no capacity, in seconds.
    pub backoff_max_s: f64,
    /// Duties that this controller may hold; without them it holds none.
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

impl Settings {
    /// Reads and checks the platform's file.
    pub fn load(path: &Path) -> Result<Settings, SettingsError> {
        let text = read(path)?;
        let settings: Settings = parse_json(path, &text)?;
        settings.check()?;
        Ok(settings)
    }

    /// Checks what the types alone don't say.
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
}

impl ProcessLimits {
    /// How long a process may stand still as it takes over, in seconds: its leases have to
    /// outlast that.
    pub fn stall_s(&self) -> f64 {
        STALL_CORE_S / self.cpu_share
    }

    /// A part of the memory, in bytes.
    pub fn memory_part(&self, share: f64) -> usize {
        (self.ram_mb * 1024.0 * 1024.0 * share) as usize
    }
}

impl ClusterSettings {
    fn check(&self) -> Result<(), SettingsError> {
        check_positive("cluster.workers.report_s", self.workers.report_s)?;
        check_positive("cluster.workers.lease_s", self.workers.lease_s)?;
        check_positive("cluster.workers.gang_wait_s", self.workers.gang_wait_s)?;
        check_positive("cluster.workers.gang_peer_s", self.workers.gang_peer_s)?;
        check_positive("cluster.workers.cancel_s", self.workers.cancel_s)?;
        check_positive("cluster.cloud.rps", self.cloud.rps)?;
        check_positive("cluster.limits.cpu_share", self.limits.cpu_share)?;
        check_positive("cluster.limits.ram_mb", self.limits.ram_mb)?;
        check_amount("cluster.cloud.list_lag_s", self.cloud.list_lag_s)?;
        if self.limits.fd_limit < FD_LIMIT_MIN {
            let problem = format!("must be at least {FD_LIMIT_MIN}");
            return Err(SettingsError::invalid("cluster.limits.fd_limit", problem));
        }
        if self.workers.cancel_s <= self.workers.lease_s {
            let problem = "must be longer than lease_s, or a cut worker can't be told in time";
            return Err(SettingsError::invalid("cluster.workers.cancel_s", problem));
        }
        self.check_store()?;
        self.teams.iter().try_for_each(Team::check)
    }

    fn check_store(&self) -> Result<(), SettingsError> {
        let state = &self.state;
        check_positive("cluster.state.rps", state.rps)?;
        check_positive("cluster.state.write_rps", state.write_rps)?;
        check_positive("cluster.state.value_kb", state.value_kb)?;
        check_txn_ops("cluster.state.txn_ops", state.txn_ops)?;
        let lowered = state.lowered();
        check_positive("cluster.state.next.write_rps", lowered.write_rps)?;
        check_txn_ops("cluster.state.next.txn_ops", lowered.txn_ops)?;
        if lowered.value_kb < VALUE_KB_MIN && state.next.is_some() {
            let field = "cluster.state.next.value_kb";
            let problem = format!("must be at least {VALUE_KB_MIN}: records don't fit");
            return Err(SettingsError::invalid(field, problem));
        }
        Ok(())
    }
}

impl Team {
    fn check(&self) -> Result<(), SettingsError> {
        let amounts = [self.cpus, self.cpus_max, self.gpus, self.gpus_max];
        if amounts.iter().any(|a| !a.is_finite() || *a < 0.0) {
            let problem = format!("{}: a negative amount", self.name);
            return Err(SettingsError::invalid("cluster.teams", problem));
        }
        Ok(())
    }
}

impl OperatorSettings {
    /// Reads and checks the operators' file.
    pub fn load(path: &Path) -> Result<OperatorSettings, SettingsError> {
        let text = read(path)?;
        let settings: OperatorSettings =
            toml::from_str(&text).map_err(|source| SettingsError::Toml {
                file: path.display().to_string(),
                line: faulty_line(&text, &source),
                source: Box::new(source),
            })?;
        settings.check()?;
        Ok(settings)
    }

    /// Checks what depends on the platform's settings.
    pub fn check_against(&self, settings: &Settings) -> Result<(), SettingsError> {
        let duties = self.duties.as_ref();
        duties.map_or(Ok(()), |duties| duties.check(settings))
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

/// The line of a file that an error is in, which names the field.
fn faulty_line(text: &str, error: &toml::de::Error) -> String {
    let before = error.span().and_then(|span| text.get(..span.start));
    let Some(before) = before else {
        return String::new();
    };
    let index = before.matches('\n').count();
    let line = text.lines().nth(index).unwrap_or("").trim();
    format!("line {} (`{line}`): ", index + 1)
}

fn read(path: &Path) -> Result<String, SettingsError> {
    std::fs::read_to_string(path).map_err(|source| SettingsError::Read {
        file: path.display().to_string(),
        source,
    })
}

fn parse_json<T: DeserializeOwned>(path: &Path, text: &str) -> Result<T, SettingsError> {
    serde_json::from_str(text).map_err(|source| SettingsError::Json {
        file: path.display().to_string(),
        source,
    })
}

fn check_positive(field: &'static str, value: f64) -> Result<(), SettingsError> {
    if value.is_finite() && value > 0.0 {
        return Ok(());
    }
    let problem = format!("must be a number above 0, not {value}");
    Err(SettingsError::invalid(field, problem))
}

fn check_amount(field: &'static str, value: f64) -> Result<(), SettingsError> {
    if value.is_finite() && value >= 0.0 {
        return Ok(());
    }
    Err(SettingsError::invalid(field, "must be 0 or more"))
}

fn check_txn_ops(field: &'static str, value: usize) -> Result<(), SettingsError> {
    if value >= TXN_OPS_MIN {
        return Ok(());
    }
    let problem = format!("must be at least {TXN_OPS_MIN}: the end of a job needs as many");
    Err(SettingsError::invalid(field, problem))
}
