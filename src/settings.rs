//! What the platform hands over (JSON, unknown fields ignored) and what the
//! operators may set themselves (TOML, unknown keys refused).

use std::net::SocketAddr;
use std::path::Path;

use serde::Deserialize;
use thiserror::Error;

/// Why the settings can't be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    #[error("{file}: {source}")]
    Read {
        file: String,
        source: std::io::Error,
    },
    #[error("{file}: not valid JSON settings: {source}")]
    Json {
        file: String,
        source: serde_json::Error,
    },
    #[error("{file}: not valid operator settings: {}", source.message())]
    Toml {
        file: String,
        source: Box<toml::de::Error>,
    },
    #[error("{field}: {problem}")]
    Bad {
        field: &'static str,
        problem: String,
    },
}

/// The platform's settings file.
#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    pub member: String,
    pub zone: String,
    pub front: SocketAddr,
    pub mesh_addr: SocketAddr,
    #[serde(default)]
    pub known: Vec<Peer>,
    pub endpoints: Endpoints,
    pub cluster: Cluster,
}

/// Another controller.
#[derive(Debug, Clone, Deserialize)]
pub struct Peer {
    pub member: String,
    #[serde(default)]
    pub zone: String,
    pub address: SocketAddr,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Endpoints {
    pub cloud: SocketAddr,
    pub state: SocketAddr,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Cluster {
    #[serde(default)]
    pub zones: Vec<String>,
    #[serde(default)]
    pub teams: Vec<Team>,
    #[serde(default)]
    pub objectives: Vec<Objective>,
    pub workers: Workers,
    pub state: StateLimits,
    pub cloud: CloudLimits,
    pub limits: Limits,
    #[serde(default)]
    pub clock_off_ms: f64,
}

/// A team's guarantee and limit; 0 stands for none.
#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    pub name: String,
    #[serde(default)]
    pub cpus: f64,
    #[serde(default)]
    pub cpus_max: f64,
    #[serde(default)]
    pub gpus: f64,
    #[serde(default)]
    pub gpus_max: f64,
}

/// An aim on starting or finishing.
#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    pub kind: String,
    #[serde(default)]
    pub class: Option<String>,
    #[serde(default)]
    pub within_s: Option<f64>,
    #[serde(default)]
    pub share: Option<f64>,
    #[serde(default)]
    pub times: Option<f64>,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Workers {
    pub report_s: f64,
    pub lease_s: f64,
    pub gang_wait_s: f64,
    pub gang_peer_s: f64,
    pub cancel_s: f64,
}

#[derive(Debug, Clone, Deserialize)]
pub struct StateLimits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
    /// What it will hold to from some moment after all controllers run this version.
    #[serde(default)]
    pub next: Option<NextLimits>,
}

/// Limits of the state service that will come without notice; those that are not
/// named stay.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct NextLimits {
    #[serde(default)]
    pub write_rps: Option<f64>,
    #[serde(default)]
    pub value_kb: Option<f64>,
    #[serde(default)]
    pub txn_ops: Option<usize>,
}

impl StateLimits {
    /// The lower of each, now and next.
    pub fn lowered(&self) -> StateLimits {
        let Some(n) = &self.next else {
            return self.clone();
        };
        StateLimits {
            write_rps: n
                .write_rps
                .map_or(self.write_rps, |x| x.min(self.write_rps)),
            value_kb: n.value_kb.map_or(self.value_kb, |x| x.min(self.value_kb)),
            txn_ops: n.txn_ops.map_or(self.txn_ops, |x| x.min(self.txn_ops)),
            ..self.clone()
        }
    }
}

#[derive(Debug, Clone, Deserialize)]
pub struct CloudLimits {
    pub rps: f64,
    pub list_lag_s: f64,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Limits {
    pub cpu_share: f64,
    pub ram_mb: f64,
    pub fd_limit: usize,
}

/// The operators' own settings. Every key has a default.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Operator {
    /// Life of the leader's grant, as a share of a worker's lease.
    pub leader_life_share: f64,
    /// A machine this many report intervals silent is looked after directly.
    pub silent_reports: f64,
    /// Silent this share of a worker's lease, a machine is given back.
    pub lost_lease_share: f64,
    /// How long an ordinary machine may lie idle, in boot times.
    pub idle_boots: f64,
    /// The same for a spot machine.
    pub idle_boots_spot: f64,
    /// Ordinary machines held ready for work that can't use spot ones, as a
    /// share of what comes in one boot time.
    pub reserve_boots: f64,
    /// Ordinary machines are rented for spot work that would wait longer than
    /// this many boot times.
    pub dear_wait_boots: f64,
    /// What such an ordinary machine may cost for a task, as a multiple of the
    /// cheapest spot machine.
    pub dear_times: f64,
    /// Longest backoff of a gang that found no room, in seconds.
    pub backoff_max_s: f64,
}

impl Default for Operator {
    fn default() -> Self {
        Operator {
            leader_life_share: 0.083,
            silent_reports: 2.0,
            lost_lease_share: 0.5,
            idle_boots: 0.15,
            idle_boots_spot: 0.5,
            reserve_boots: 0.4,
            dear_times: 4.0,
            dear_wait_boots: 2.5,
            backoff_max_s: 10.0,
        }
    }
}

/// What a value must be able to hold under limits to come.
const VALUE_KB_LEAST: f64 = 1.0;
/// Changes of the largest transaction that can't be divided, an election.
const TXN_OPS_LEAST: usize = 3;

fn read(path: &Path) -> Result<String, SettingsError> {
    std::fs::read_to_string(path).map_err(|source| SettingsError::Read {
        file: path.display().to_string(),
        source,
    })
}

fn positive(field: &'static str, v: f64) -> Result<(), SettingsError> {
    if v.is_finite() && v > 0.0 {
        Ok(())
    } else {
        Err(SettingsError::Bad {
            field,
            problem: format!("must be a number above 0, not {v}"),
        })
    }
}

impl Settings {
    /// Reads and checks the platform's file.
    pub fn load(path: &Path) -> Result<Settings, SettingsError> {
        let text = read(path)?;
        let s: Settings = serde_json::from_str(&text).map_err(|source| SettingsError::Json {
            file: path.display().to_string(),
            source,
        })?;
        s.check()?;
        Ok(s)
    }

    /// Checks what the types alone don't say.
    pub fn check(&self) -> Result<(), SettingsError> {
        let bad = |field, problem: String| Err(SettingsError::Bad { field, problem });
        if self.member.is_empty() {
            return bad("member", "is empty".into());
        }
        if self.known.iter().any(|p| p.member == self.member) {
            return bad("known", format!("names this member, {}", self.member));
        }
        let c = &self.cluster;
        positive("cluster.workers.report_s", c.workers.report_s)?;
        positive("cluster.workers.lease_s", c.workers.lease_s)?;
        positive("cluster.workers.gang_wait_s", c.workers.gang_wait_s)?;
        positive("cluster.workers.gang_peer_s", c.workers.gang_peer_s)?;
        positive("cluster.workers.cancel_s", c.workers.cancel_s)?;
        positive("cluster.state.rps", c.state.rps)?;
        positive("cluster.state.write_rps", c.state.write_rps)?;
        positive("cluster.state.value_kb", c.state.value_kb)?;
        positive("cluster.cloud.rps", c.cloud.rps)?;
        positive("cluster.limits.cpu_share", c.limits.cpu_share)?;
        positive("cluster.limits.ram_mb", c.limits.ram_mb)?;
        if !c.cloud.list_lag_s.is_finite() || c.cloud.list_lag_s < 0.0 {
            return bad("cluster.cloud.list_lag_s", "must be 0 or more".into());
        }
        if c.state.txn_ops < TXN_OPS_LEAST {
            let problem = format!("must be at least {TXN_OPS_LEAST}: an election needs as many");
            return bad("cluster.state.txn_ops", problem);
        }
        let low = c.state.lowered();
        positive("cluster.state.next.write_rps", low.write_rps)?;
        if low.txn_ops < TXN_OPS_LEAST {
            let problem = format!("must be at least {TXN_OPS_LEAST}: an election needs as many");
            return bad("cluster.state.next.txn_ops", problem);
        }
        // A record's fields and a few dozen of its tasks' places.
        if low.value_kb < VALUE_KB_LEAST && c.state.next.is_some() {
            return bad(
                "cluster.state.next.value_kb",
                format!("must be at least {VALUE_KB_LEAST}: records don't fit"),
            );
        }
        if c.limits.fd_limit < 32 {
            return bad("cluster.limits.fd_limit", "must be at least 32".into());
        }
        if c.workers.cancel_s <= c.workers.lease_s {
            return bad(
                "cluster.workers.cancel_s",
                "must be longer than lease_s, or a cut worker can't be told in time".into(),
            );
        }
        for t in &c.teams {
            for v in [t.cpus, t.cpus_max, t.gpus, t.gpus_max] {
                if !v.is_finite() || v < 0.0 {
                    return bad("cluster.teams", format!("{}: a negative amount", t.name));
                }
            }
        }
        Ok(())
    }
}

impl Operator {
    /// Reads and checks the operators' file.
    pub fn load(path: &Path) -> Result<Operator, SettingsError> {
        let text = read(path)?;
        let o: Operator = toml::from_str(&text).map_err(|source| SettingsError::Toml {
            file: path.display().to_string(),
            source: Box::new(source),
        })?;
        positive("leader_life_share", o.leader_life_share)?;
        positive("silent_reports", o.silent_reports)?;
        positive("lost_lease_share", o.lost_lease_share)?;
        positive("idle_boots", o.idle_boots)?;
        positive("idle_boots_spot", o.idle_boots_spot)?;
        positive("reserve_boots", o.reserve_boots)?;
        positive("dear_wait_boots", o.dear_wait_boots)?;
        positive("dear_times", o.dear_times)?;
        positive("backoff_max_s", o.backoff_max_s)?;
        Ok(o)
    }
}
