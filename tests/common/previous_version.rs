//! Emulation of controllers of the version in production: the records that they can read, and
//! their messages, which lack fields of this version.

use ciborium::Value;
use gaugesill::net::Action;
use gaugesill::peer_protocol::PeerStatus;
use gaugesill::wire::{self, Transaction, Write};
use prost::Message;

use super::sim::Sim;

/// A job record in the format of the previous version.
#[derive(serde::Serialize, serde::Deserialize)]
pub(crate) struct PreviousRecord {
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

/// A job's specification in the format of the previous version.
#[derive(serde::Serialize, serde::Deserialize)]
pub(crate) struct PreviousSpec {
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
    /// Removes the known format from the status: the previous version does not send it.
    pub(super) fn status_as_previous_version(
        &self,
        controller: usize,
        mut action: Action,
    ) -> Action {
        if self.deployment.previous_version.contains(&controller) {
            let (Action::Response { body, .. } | Action::Call { body, .. }) = &mut action;
            if let Some(status) = own_status(controller, body) {
                let previous = PeerStatus {
                    supported_format: 0,
                    ..status
                };
                *body = previous.encode_to_vec();
            }
        }
        action
    }

    /// A transaction as a controller's version sends it: the previous version does not announce
    /// its own version, and drops fields that it does not know. Also checks that every record is
    /// readable for the previous version while any controller runs it.
    pub(super) fn as_previous_version(
        &mut self,
        controller: usize,
        path: &str,
        body: Vec<u8>,
    ) -> Vec<u8> {
        if self.deployment.previous_version.is_empty() || path != "/txn" {
            return body;
        }
        let mut transaction: Transaction = wire::decode(&body).expect("a transaction");
        let is_previous = self.deployment.previous_version.contains(&controller);
        if is_previous {
            let is_version_key = |key: &str| key == "g/l/format" || key.starts_with("g/l/m/");
            transaction
                .writes
                .retain(|write| !is_version_key(write.key()));
        }
        for write in &mut transaction.writes {
            if write.key() == "g/l/format" {
                self.log.violation(
                    "the format was raised while a controller runs the previous version",
                );
            }
            self.check_record(write, is_previous);
        }
        wire::encode(&transaction)
    }

    /// Checks that the previous version can read a record; `is_previous`: the writer runs it.
    fn check_record(&mut self, write: &mut Write, is_previous: bool) {
        let is_record = write
            .set
            .as_ref()
            .is_some_and(|key| key.starts_with("g/j/"));
        let Some(value) = write.value.as_mut().filter(|_| is_record) else {
            return;
        };
        let previous = value.deserialized::<PreviousRecord>().ok();
        let rewritten = previous.map(|record| Value::serialized(&record).expect("a value"));
        match rewritten {
            Some(rewritten) if is_previous => *value = rewritten,
            Some(rewritten) if rewritten == *value => {}
            _ => self.log.violation(format!(
                "a record is unreadable for the previous version: {value:?}"
            )),
        }
    }
}

/// Decodes a message that consists of the controller's own status; `None` for any other.
fn own_status(controller: usize, body: &[u8]) -> Option<PeerStatus> {
    let status = PeerStatus::decode(body).ok()?;
    let is_whole = status.encode_to_vec() == body;
    (is_whole && status.member == format!("c{controller}")).then_some(status)
}
