//! What the version in production reads and writes.

use ciborium::Value;
use gaugesill::net::Action;
use gaugesill::peer_protocol::PeerStatus;
use gaugesill::wire::{self, Transaction};
use prost::Message;

use super::sim::*;

/// A record as the version before this one has it.
#[derive(serde::Serialize, serde::Deserialize)]
pub struct PreviousRecord {
    #[serde(rename = "j")]
    pub spec: PreviousSpec,
    pub at: u64,
    #[serde(rename = "x", default)]
    pub cancelled: bool,
    #[serde(rename = "a")]
    pub next: u64,
    #[serde(rename = "f", default)]
    pub done: Vec<(u32, u32)>,
    #[serde(rename = "r", default)]
    pub runs: Vec<(u32, u32, u64, String)>,
    #[serde(rename = "w", default)]
    pub writer: (u64, u64),
}

/// What was asked for, as the version before this one has it.
#[derive(serde::Serialize, serde::Deserialize)]
pub struct PreviousSpec {
    #[serde(rename = "c")]
    pub(super) class: String,
    #[serde(rename = "t")]
    pub(super) team: String,
    #[serde(rename = "s")]
    pub(super) shape: String,
    #[serde(rename = "u")]
    pub(super) priority: String,
    #[serde(rename = "n")]
    pub(super) tasks: u32,
    #[serde(rename = "cp", deserialize_with = "wire::number")]
    pub(super) cpus: f64,
    #[serde(rename = "gp", deserialize_with = "wire::number")]
    pub(super) gpus: f64,
    #[serde(rename = "me", deserialize_with = "wire::number")]
    pub(super) memory_gb: f64,
    #[serde(rename = "ty", default, skip_serializing_if = "Option::is_none")]
    pub(super) machine_types: Option<Vec<String>>,
    #[serde(rename = "z", default, skip_serializing_if = "Option::is_none")]
    pub(super) zone: Option<String>,
    #[serde(rename = "oz", default)]
    pub(super) single_zone: bool,
    #[serde(rename = "sp", default)]
    pub(super) spread: bool,
    #[serde(rename = "so", default)]
    pub(super) spot: bool,
    #[serde(rename = "i")]
    pub(super) image: String,
    #[serde(rename = "ig", deserialize_with = "wire::number")]
    pub(super) image_gb: f64,
    #[serde(rename = "ex", deserialize_with = "wire::number")]
    pub(super) expected_s: f64,
    #[serde(rename = "ck", deserialize_with = "wire::number")]
    pub(super) checkpoint_interval_s: f64,
    #[serde(rename = "sv", deserialize_with = "wire::number")]
    pub(super) checkpoint_grace_s: f64,
    #[serde(rename = "d", default, skip_serializing_if = "Option::is_none")]
    pub(super) deadline_s: Option<f64>,
}

impl Sim {
    /// The version before this one says nothing of formats.
    pub(super) fn status_as_previous_version(&self, controller: usize, mut a: Action) -> Action {
        let (Action::Answer { body, .. } | Action::Call { body, .. }) = &mut a;
        if self.previous_version.contains(&controller) {
            if let Ok(s) = PeerStatus::decode(body.as_slice()) {
                let back = s.encode_to_vec();
                if back == *body && s.member == format!("c{controller}") {
                    *body = PeerStatus {
                        known_format: 0,
                        ..s
                    }
                    .encode_to_vec();
                }
            }
        }
        a
    }

    /// What the version before this one makes of a transaction: it does not make itself
    /// known, and drops fields that it does not know. While it runs anywhere, all that is
    /// written must be what it can read.
    pub(super) fn as_previous_version(
        &mut self,
        controller: usize,
        path: &str,
        body: Vec<u8>,
    ) -> Vec<u8> {
        if self.previous_version.is_empty() || path != "/txn" {
            return body;
        }
        let mut t: Transaction = wire::decode(&body).expect("a transaction");
        let old = self.previous_version.contains(&controller);
        if old {
            let changes = |k: &str| k == "g/l/format" || k.starts_with("g/l/m/");
            t.writes.retain(|w| !changes(w.key()));
        }
        for w in &mut t.writes {
            if w.key() == "g/l/format" {
                self.violations.push("the format is raised too soon".into());
            }
            let Some(value) = w.value.as_mut().filter(|_| {
                let key = w.set.as_deref().unwrap_or("");
                key.starts_with("g/j/")
            }) else {
                continue;
            };
            match value.deserialized::<PreviousRecord>() {
                Ok(r) if old => *value = Value::serialized(&r).expect("a value"),
                Ok(r) if Value::serialized(&r).expect("a value") == *value => {}
                _ => self
                    .violations
                    .push(format!("unreadable before: {value:?}")),
            }
        }
        wire::encode(&t)
    }
}
