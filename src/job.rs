//! Jobs as the state service keeps them: one compact record each.

use ciborium::Value;
use serde::{Deserialize, Serialize};

use crate::packed;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Shape {
    #[serde(rename = "a")]
    Array,
    #[serde(rename = "g")]
    Gang,
    /// Placed like an array; its tasks run until the job is cancelled.
    #[serde(rename = "s")]
    Service,
}

/// In rising order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Urgency {
    #[serde(rename = "l")]
    Low,
    #[serde(rename = "n")]
    Normal,
    #[serde(rename = "h")]
    High,
    #[serde(rename = "p")]
    Prod,
}

/// What the user asked for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Spec {
    #[serde(rename = "c")]
    pub class: String,
    #[serde(rename = "t")]
    pub team: String,
    #[serde(rename = "s")]
    pub shape: Shape,
    #[serde(rename = "u")]
    pub urgency: Urgency,
    #[serde(rename = "n")]
    pub tasks: u32,
    #[serde(rename = "cp", deserialize_with = "crate::wire::num")]
    pub cpus: f64,
    #[serde(rename = "gp", deserialize_with = "crate::wire::num")]
    pub gpus: f64,
    #[serde(rename = "me", deserialize_with = "crate::wire::num")]
    pub mem: f64,
    #[serde(rename = "ty", default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<String>>,
    #[serde(rename = "z", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    #[serde(rename = "oz", default)]
    pub one_zone: bool,
    #[serde(rename = "sp", default)]
    pub spread: bool,
    #[serde(rename = "so", default)]
    pub spot: bool,
    #[serde(rename = "i")]
    pub image: String,
    #[serde(rename = "ig", deserialize_with = "crate::wire::num")]
    pub image_gb: f64,
    #[serde(rename = "ex", deserialize_with = "crate::wire::num")]
    pub expected_s: f64,
    #[serde(rename = "ck", deserialize_with = "crate::wire::num")]
    pub checkpoint_s: f64,
    #[serde(rename = "sv", deserialize_with = "crate::wire::num")]
    pub save_s: f64,
    #[serde(rename = "d", default, skip_serializing_if = "Option::is_none")]
    pub due_s: Option<f64>,
    /// Jobs that have to be done before any task of this one starts.
    #[serde(rename = "dp", default, skip_serializing_if = "Vec::is_empty")]
    pub needs: Vec<String>,
}

/// A set of task numbers, kept as sorted inclusive ranges.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Ranges(pub Vec<(u32, u32)>);

impl Ranges {
    pub fn contains(&self, n: u32) -> bool {
        let i = self.0.partition_point(|r| r.1 < n);
        self.0.get(i).is_some_and(|r| r.0 <= n)
    }
    pub fn insert(&mut self, n: u32) {
        let i = self.0.partition_point(|r| r.1 < n);
        if self.0.get(i).is_some_and(|r| r.0 <= n) {
            return;
        }
        self.0.insert(i, (n, n));
        if i + 1 < self.0.len() && self.0[i + 1].0 == n + 1 {
            self.0[i].1 = self.0[i + 1].1;
            self.0.remove(i + 1);
        }
        if i > 0 && self.0[i - 1].1 + 1 == n {
            self.0[i - 1].1 = self.0[i].1;
            self.0.remove(i);
        }
    }
    pub fn fill(&mut self, count: u32) {
        self.0 = if count == 0 {
            vec![]
        } else {
            vec![(0, count - 1)]
        };
    }
    pub fn len(&self) -> u64 {
        self.0.iter().map(|r| u64::from(r.1 - r.0) + 1).sum()
    }
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// `count` tasks from `first` on that may be on `machine` under `attempt`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Run(pub u32, pub u32, pub u64, pub String);

/// The record of a job that is not over.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Record {
    #[serde(rename = "j")]
    pub spec: Spec,
    /// Time of day of the first submission, in milliseconds.
    #[serde(rename = "at")]
    pub at: u64,
    #[serde(rename = "x", default)]
    pub cancelled: bool,
    /// The next attempt: numbers below were given out.
    #[serde(rename = "a")]
    pub next: u64,
    #[serde(rename = "f", default)]
    pub done: Ranges,
    #[serde(rename = "r", default)]
    pub runs: Vec<Run>,
    /// Which leader wrote this last, and its count of changes then.
    #[serde(rename = "w", default)]
    pub writer: (u64, u64),
}

impl Record {
    pub fn new(spec: Spec, at: u64) -> Record {
        Record {
            spec,
            at,
            cancelled: false,
            next: 1,
            done: Ranges::default(),
            runs: vec![],
            writer: (0, 0),
        }
    }
    /// Tasks that may be on a machine.
    pub fn placed(&self) -> u64 {
        self.runs.iter().map(|r| u64::from(r.1)).sum()
    }
    /// As it is stored: so that the version before this one can read it, or from
    /// format 1 on with its body packed.
    pub fn to_value(&self, format: u64) -> Value {
        let packed = (format >= PACKED)
            .then(|| packed::pack(self.spec.tasks, &self.done, &self.runs))
            .flatten();
        match packed {
            Some(body) => Value::serialized(&Stored {
                spec: self.spec.clone(),
                at: self.at,
                cancelled: self.cancelled,
                next: self.next,
                body,
                writer: self.writer,
            }),
            None => Value::serialized(self),
        }
        .unwrap_or(Value::Null)
    }
    pub fn from_value(v: &Value) -> Option<Record> {
        if let Ok(r) = v.deserialized() {
            return Some(r);
        }
        let s: Stored = v.deserialized().ok()?;
        let (done, runs) = packed::unpack(s.spec.tasks, &s.body)?;
        Some(Record {
            spec: s.spec,
            at: s.at,
            cancelled: s.cancelled,
            next: s.next,
            done,
            runs,
            writer: s.writer,
        })
    }
}

/// From this format on records are packed, and a version that does not know them
/// runs nowhere any more.
pub const PACKED: u64 = 1;

/// A record in format 1. The next attempt has another name than before, so that a
/// version which does not know the form can't take the record for an empty one.
#[derive(Serialize, Deserialize)]
struct Stored {
    #[serde(rename = "j")]
    spec: Spec,
    #[serde(rename = "at")]
    at: u64,
    #[serde(rename = "x", default, skip_serializing_if = "is_false")]
    cancelled: bool,
    #[serde(rename = "n")]
    next: u64,
    #[serde(rename = "p")]
    body: String,
    #[serde(rename = "w")]
    writer: (u64, u64),
}

fn is_false(b: &bool) -> bool {
    !b
}

/// A value's size as the state service counts it.
pub fn json_len(v: &Value) -> usize {
    serde_json::to_vec(v).map_or(usize::MAX, |t| t.len())
}

/// How a job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Final {
    Done,
    Withdrawn,
}

impl Final {
    pub fn to_value(self) -> Value {
        Value::Text(match self {
            Final::Done => "d".into(),
            Final::Withdrawn => "w".into(),
        })
    }
    pub fn from_value(v: &Value) -> Option<Final> {
        match v.as_text()? {
            "d" => Some(Final::Done),
            "w" => Some(Final::Withdrawn),
            _ => None,
        }
    }
    pub fn name(self) -> &'static str {
        match self {
            Final::Done => crate::wire::DONE,
            Final::Withdrawn => crate::wire::WITHDRAWN,
        }
    }
}

/// `run-000412/3`, as workers name tasks.
pub fn task_name(job: &str, task: u32) -> String {
    format!("{job}/{task}")
}

pub fn split_task(name: &str) -> Option<(&str, u32)> {
    let (job, n) = name.rsplit_once('/')?;
    Some((job, n.parse().ok()?))
}
