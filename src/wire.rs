//! The names that go over the wire, and nothing else.

use std::collections::HashSet;

use ciborium::Value;
use serde::de::{self, DeserializeOwned, Deserializer, Visitor};
use serde::{Deserialize, Serialize};

/// Encodes a message as CBOR.
pub fn encode<T: Serialize>(v: &T) -> Vec<u8> {
    let mut out = Vec::with_capacity(128);
    if let Err(e) = ciborium::into_writer(v, &mut out) {
        tracing::error!("a message could not be encoded: {e}");
    }
    out
}

/// Decodes a message.
pub fn decode<T: DeserializeOwned>(b: &[u8]) -> Option<T> {
    ciborium::from_reader(b).ok()
}

struct Num;
impl Visitor<'_> for Num {
    type Value = f64;
    fn expecting(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str("a number")
    }
    fn visit_f64<E: de::Error>(self, v: f64) -> Result<f64, E> {
        Ok(v)
    }
    fn visit_u64<E: de::Error>(self, v: u64) -> Result<f64, E> {
        Ok(v as f64)
    }
    fn visit_i64<E: de::Error>(self, v: i64) -> Result<f64, E> {
        Ok(v as f64)
    }
}

/// A decimal number that a sender may have written as a whole one.
pub fn num<'de, D: Deserializer<'de>>(d: D) -> Result<f64, D::Error> {
    d.deserialize_any(Num)
}

fn opt_num<'de, D: Deserializer<'de>>(d: D) -> Result<Option<f64>, D::Error> {
    #[derive(Deserialize)]
    struct W(#[serde(deserialize_with = "num")] f64);
    Ok(Option::<W>::deserialize(d)?.map(|w| w.0))
}

// ---- users

#[derive(Serialize)]
pub struct JobStatus<'a> {
    #[serde(rename = "nameId")]
    pub id: &'a str,
    pub status: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub done: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub running: Option<u64>,
}

/// Whether an answer to a user calls the job cancelled.
pub fn says_withdrawn(body: &[u8]) -> bool {
    #[derive(Deserialize)]
    struct Told {
        #[serde(default)]
        status: String,
    }
    decode::<Told>(body).is_some_and(|t| t.status == WITHDRAWN)
}

#[derive(Serialize)]
pub struct Fault<'a> {
    pub error: &'a str,
}

pub const PENDING: &str = "pending";
pub const RUNNING: &str = "running";
pub const DONE: &str = "done";
pub const WITHDRAWN: &str = "withdrawn";

// ---- workers

#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Report {
    pub host: String,
    pub endpoint: String,
    pub flavor: String,
    pub hall: String,
    #[serde(default)]
    pub loaner: bool,
    pub tenure: u64,
    pub serial: u64,
    #[serde(default)]
    pub epoch: u64,
    #[serde(default, rename = "reclaimInS", deserialize_with = "opt_num")]
    pub notice_s: Option<f64>,
    #[serde(default)]
    pub pieces: Vec<Piece>,
}

#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Piece {
    pub piece: String,
    #[serde(rename = "try")]
    pub attempt: u64,
    pub status: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kept: Option<bool>,
}

#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct Order {
    pub verb: String,
    pub piece: String,
    #[serde(rename = "try")]
    pub attempt: u64,
    #[serde(
        rename = "windDownS",
        default,
        skip_serializing_if = "Option::is_none",
        deserialize_with = "opt_num"
    )]
    pub grace_s: Option<f64>,
}

#[derive(Debug, Serialize, Deserialize)]
pub struct Orders {
    pub epoch: u64,
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub tenure: Option<u64>,
    pub orders: Vec<Order>,
}

#[derive(Debug, Serialize, Deserialize)]
pub struct Elsewhere {
    #[serde(rename = "reportsTo", skip_serializing_if = "Option::is_none")]
    pub reports_to: Option<String>,
}

// ---- cloud

#[derive(Debug, Deserialize, Serialize)]
pub struct Flavors {
    pub flavors: Vec<Flavor>,
}

#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Flavor {
    pub sku: String,
    #[serde(deserialize_with = "num")]
    pub cores: f64,
    #[serde(deserialize_with = "num")]
    pub gpus: f64,
    #[serde(rename = "memGb", deserialize_with = "num")]
    pub mem_gb: f64,
    #[serde(rename = "cacheGb", deserialize_with = "num")]
    pub cache_gb: f64,
    #[serde(rename = "fetchGbPerS", deserialize_with = "num")]
    pub fetch: f64,
    #[serde(deserialize_with = "num")]
    pub hourly: f64,
    #[serde(rename = "spotPrice", deserialize_with = "num")]
    pub spot_price: f64,
    #[serde(rename = "bootS", deserialize_with = "num")]
    pub boot_s: f64,
    pub halls: Vec<String>,
}

#[derive(Serialize)]
pub struct Rent<'a> {
    pub booking: &'a str,
    pub flavor: &'a str,
    pub hall: &'a str,
    pub loaner: bool,
    #[serde(rename = "howMany")]
    pub how_many: u64,
}

#[derive(Serialize, Deserialize)]
pub struct Hosts {
    pub hosts: Vec<String>,
}

#[derive(Debug, Deserialize)]
pub struct Listing {
    pub hosts: Vec<Listed>,
    #[serde(default)]
    pub truncated: bool,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Listed {
    #[serde(rename = "nameId")]
    pub name: String,
    #[serde(default)]
    pub endpoint: Option<String>,
    pub flavor: String,
    pub hall: String,
    #[serde(default)]
    pub loaner: bool,
    pub status: String,
    #[serde(rename = "heldS", default, deserialize_with = "opt_num")]
    pub held_s: Option<f64>,
}

// ---- state service

#[derive(Debug, Deserialize)]
pub struct Pair {
    pub key: String,
    pub data: Value,
    pub stamp: u64,
}

/// How a job ended, as read by its key.
pub fn final_read(body: &[u8]) -> Option<Final> {
    #[derive(Deserialize)]
    struct Read {
        data: Value,
    }
    Final::from_value(&decode::<Read>(body)?.data)
}

#[derive(Debug, Deserialize)]
pub struct Page {
    pub pairs: Vec<Pair>,
    #[serde(default)]
    pub truncated: bool,
    #[serde(rename = "ledgerRev")]
    pub rev: u64,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Cond {
    pub key: String,
    pub stamp: u64,
}

impl Cond {
    /// The key must have this stamp; 0 if it must not exist.
    pub fn new(key: impl Into<String>, stamp: u64) -> Cond {
        Cond {
            key: key.into(),
            stamp,
        }
    }
}

#[derive(Debug, Clone, Serialize, Deserialize, Default)]
pub struct Write {
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub set: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub data: Option<Value>,
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub permit: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub drop: Option<String>,
}

impl Write {
    pub fn set(key: String, data: Value) -> Write {
        Write {
            set: Some(key),
            data: Some(data),
            ..Write::default()
        }
    }
    /// Who leads, as long as the grant lives if there is one.
    pub fn leader(key: &str, leader: &LeaderKey, grant: Option<u64>) -> Write {
        let data = Value::serialized(leader).unwrap_or(Value::Null);
        Write {
            permit: grant,
            ..Write::set(key.into(), data)
        }
    }
    pub fn drop(key: String) -> Write {
        Write {
            drop: Some(key),
            ..Write::default()
        }
    }
    /// The key that it changes.
    pub fn key(&self) -> &str {
        let key = self.set.as_ref().or(self.drop.as_ref());
        key.map_or("", String::as_str)
    }
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Txn {
    #[serde(rename = "if")]
    pub conds: Vec<Cond>,
    pub writes: Vec<Write>,
}

#[derive(Debug, Deserialize, Serialize)]
pub struct TxnReply {
    #[serde(default)]
    pub failed: Vec<String>,
    #[serde(rename = "ledgerRev", default)]
    pub rev: u64,
}

#[derive(Debug, Serialize, Deserialize)]
pub struct GrantAsk {
    #[serde(rename = "lifeMs")]
    pub life_ms: u64,
}

#[derive(Debug, Serialize, Deserialize)]
pub struct Grant {
    pub permit: u64,
}

#[derive(Debug, Serialize, Deserialize)]
pub struct News {
    #[serde(rename = "ledgerRev")]
    pub rev: u64,
    #[serde(default)]
    pub news: Vec<Change>,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Change {
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub set: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub data: Option<Value>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub drop: Option<String>,
    pub stamp: u64,
}

// ---- a submission, checked field by field

use crate::job::{Final, Shape, Spec, Urgency};
use crate::store::LeaderKey;

/// Job ids have one form only.
pub fn job_id_ok(id: &str) -> bool {
    let tail = id.strip_prefix("run-").unwrap_or("");
    !tail.is_empty() && tail.len() <= 24 && tail.bytes().all(|b| b.is_ascii_digit())
}

fn get<'a>(m: &'a [(Value, Value)], k: &str) -> Option<&'a Value> {
    m.iter()
        .find(|(key, _)| key.as_text() == Some(k))
        .map(|(_, v)| v)
        .filter(|v| !v.is_null())
}

fn amount(m: &[(Value, Value)], k: &str) -> Option<Option<f64>> {
    let v = match get(m, k) {
        None => return Some(None),
        Some(Value::Float(f)) => *f,
        Some(Value::Integer(i)) => i128::from(*i) as f64,
        Some(_) => return None,
    };
    (v.is_finite() && v >= 0.0).then_some(Some(v))
}

fn text(m: &[(Value, Value)], k: &str, most: usize) -> Option<String> {
    let t = get(m, k)?.as_text()?;
    (!t.is_empty() && t.len() <= most).then(|| t.to_string())
}

fn flag(m: &[(Value, Value)], k: &str) -> Option<bool> {
    get(m, k)?.as_bool()
}

/// A body as people can read it, for the log.
pub fn readable(body: &[u8]) -> String {
    match ciborium::from_reader::<Value, _>(body) {
        Ok(v) => format!("{v:?}").chars().take(2000).collect(),
        Err(_) => format!("{} bytes, not CBOR", body.len()),
    }
}

/// Reads a submission; `None` stands for malformed.
pub fn submission(body: &[u8]) -> Option<(String, Spec)> {
    let v: Value = ciborium::from_reader(body).ok()?;
    let m = v.as_map()?;
    let id = text(m, "nameId", 64)?;
    if !job_id_ok(&id) {
        return None;
    }
    let shape = match text(m, "shape", 16)?.as_str() {
        "sweep" => Shape::Array,
        "group" => Shape::Gang,
        "service" => Shape::Service,
        _ => return None,
    };
    let urgency = match text(m, "urgency", 16)?.as_str() {
        "prod" => Urgency::Prod,
        "high" => Urgency::High,
        "normal" => Urgency::Normal,
        "best_effort" => Urgency::Low,
        _ => return None,
    };
    let tasks = match get(m, "pieces")? {
        Value::Integer(i) => u32::try_from(i128::from(*i)).ok()?,
        _ => return None,
    };
    if tasks == 0 || tasks > 100_000 {
        return None;
    }
    let types = match get(m, "flavors") {
        None => None,
        Some(v) => {
            let list = v.as_array()?;
            let mut names = Vec::new();
            for x in list {
                names.push(x.as_text()?.to_string());
            }
            Some(names)
        }
    };
    let zone = match get(m, "hall") {
        None => None,
        Some(v) => Some(v.as_text()?.to_string()),
    };
    let needs = match get(m, "waitsOn") {
        None => vec![],
        Some(v) => {
            let mut named = HashSet::new();
            let mut names = Vec::new();
            for x in v.as_array()? {
                let name = x.as_text().filter(|n| job_id_ok(n))?;
                if named.insert(name) {
                    names.push(name.to_string());
                }
            }
            names
        }
    };
    Some((
        id,
        Spec {
            class: text(m, "jobclass", 256)?,
            team: text(m, "owner", 256)?,
            shape,
            urgency,
            tasks,
            cpus: amount(m, "cores")??,
            gpus: amount(m, "gpus")??,
            mem: amount(m, "memGb")??,
            types,
            zone,
            one_zone: flag(m, "samePlace")?,
            spread: flag(m, "scatter")?,
            spot: flag(m, "loaner")?,
            image: text(m, "bundle", 512)?,
            image_gb: amount(m, "imageGb")??,
            expected_s: amount(m, "expectedS")??,
            checkpoint_s: amount(m, "snapshotEveryS")??,
            save_s: amount(m, "snapshotS")??,
            due_s: amount(m, "dueS")?,
            needs,
        },
    ))
}

// ---- what workers say of tasks, in the project's own terms

use crate::fleet::{Cause, Listed as Standing, Phase};

/// Reads a task's state. One that is not known counts as running: it holds
/// its place until a report shows otherwise.
pub fn phase(status: &str, cause: Option<&str>, kept: Option<bool>) -> Phase {
    match status {
        "pulling" => Phase::Fetching,
        "gathering" => Phase::Waiting,
        "flushing" => Phase::Saving,
        "ended" => Phase::Ended(match cause {
            Some("done") => Cause::Done,
            Some("stopped") => Cause::Stopped {
                kept: kept.unwrap_or(false),
            },
            Some("mates_gone") => Cause::MatesGone,
            Some("alone") => Cause::Alone,
            Some("full") => Cause::NoRoom,
            Some("in_use") => Cause::InUse,
            Some("no_such") => Cause::Unknown,
            _ => Cause::Error,
        }),
        _ => Phase::Running,
    }
}

/// Reads a machine's state in the cloud's list.
pub fn standing(status: &str) -> Standing {
    match status {
        "starting" => Standing::Starting,
        "failed" => Standing::Failed,
        _ => Standing::Running,
    }
}

pub fn start(piece: String, attempt: u64) -> Order {
    Order {
        verb: "start".into(),
        piece,
        attempt,
        grace_s: None,
    }
}

pub fn stop(piece: String, attempt: u64, grace_s: f64) -> Order {
    Order {
        verb: "stop".into(),
        piece,
        attempt,
        grace_s: Some(grace_s),
    }
}

pub fn clear(piece: String, attempt: u64) -> Order {
    Order {
        verb: "clear".into(),
        piece,
        attempt,
        grace_s: None,
    }
}
