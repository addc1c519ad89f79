//! What the cloud offers, rents and lists.

use serde::{Deserialize, Serialize};

use super::words::ListedState;
use super::{number, optional_number};
use crate::machine::CloudStatus;

/// Where provisioning requests go.
pub const PROVISION_PATH: &str = "/machines";
/// Where requests to terminate machines go.
pub const TERMINATE_PATH: &str = "/machines/delete";

/// All machine types of the cloud.
#[derive(Debug, Deserialize, Serialize)]
pub struct MachineTypes {
    /// In no particular order.
    #[serde(rename = "flavors")]
    pub types: Vec<MachineType>,
}

/// A type of machine.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct MachineType {
    /// The type's name.
    #[serde(rename = "sku")]
    pub name: String,
    /// CPUs of a machine.
    #[serde(rename = "cores", deserialize_with = "number")]
    pub cpus: f64,
    /// GPUs of a machine.
    #[serde(deserialize_with = "number")]
    pub gpus: f64,
    /// Memory of a machine, in GB.
    #[serde(rename = "memGb", deserialize_with = "number")]
    pub memory_gb: f64,
    /// Capacity of the image cache, in GB.
    #[serde(rename = "cacheGb", deserialize_with = "number")]
    pub cache_gb: f64,
    /// Rate at which a machine pulls images, in GB a second.
    #[serde(rename = "fetchGbPerS", deserialize_with = "number")]
    pub fetch_gb_per_s: f64,
    /// Price of an on-demand machine for an hour.
    #[serde(rename = "hourly", deserialize_with = "number")]
    pub hourly_price: f64,
    /// Present price of a spot machine for an hour.
    #[serde(rename = "spotPrice", deserialize_with = "number")]
    pub spot_price: f64,
    /// How long a machine usually takes to boot, in seconds.
    #[serde(rename = "bootS", deserialize_with = "number")]
    pub boot_s: f64,
    /// Zones in which it is offered.
    #[serde(rename = "halls")]
    pub zones: Vec<String>,
}

/// A request to provision machines.
#[derive(Serialize)]
pub struct ProvisionRequest<'a> {
    /// The idempotency key: a repeated request with the same key provisions nothing.
    pub booking: &'a str,
    /// The machine type's name.
    #[serde(rename = "flavor")]
    pub machine_type: &'a str,
    /// Where the machines are to be.
    #[serde(rename = "hall")]
    pub zone: &'a str,
    /// Whether spot machines are asked for.
    #[serde(rename = "loaner")]
    pub spot: bool,
    /// How many machines at most.
    #[serde(rename = "howMany")]
    pub count: u64,
    /// For a provider that refuses lower tokens.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub fencing: Option<FencingToken>,
}

/// A request to terminate machines.
#[derive(Serialize)]
pub struct TerminateRequest<'a> {
    /// Their names.
    #[serde(rename = "hosts")]
    pub names: &'a [String],
    /// For a provider that refuses lower tokens.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub fencing: Option<FencingToken>,
}

/// The token under which an order is given, which the published protocol does not have: a
/// provider that knows it refuses an order of the same duty with a lower one (409).
#[derive(Debug, Clone, Copy, Serialize)]
pub struct FencingToken {
    /// The duty.
    pub duty: &'static str,
    /// Its holder's token.
    pub token: u64,
}

/// Machines that were provisioned.
#[derive(Serialize, Deserialize)]
pub struct MachineNames {
    /// Their names.
    #[serde(rename = "hosts")]
    pub names: Vec<String>,
}

/// A page of the machine list.
#[derive(Debug, Deserialize)]
pub struct MachineList {
    /// In the order of their names.
    #[serde(rename = "hosts")]
    pub machines: Vec<ListedMachine>,
    /// Whether there are further pages.
    #[serde(default)]
    pub truncated: bool,
}

/// A machine in the list.
#[derive(Debug, Clone, Deserialize)]
pub struct ListedMachine {
    /// The machine's name.
    #[serde(rename = "nameId")]
    pub name: String,
    /// The address at which its agent takes commands.
    #[serde(default)]
    pub endpoint: Option<String>,
    /// The name of its type.
    #[serde(rename = "flavor")]
    pub machine_type: String,
    /// Its zone.
    #[serde(rename = "hall")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "loaner", default)]
    pub spot: bool,
    /// Its state.
    pub status: ListedState,
    /// Age since the provisioning request, in seconds.
    #[serde(rename = "heldS", default, deserialize_with = "optional_number")]
    pub age_s: Option<f64>,
}

impl From<ListedState> for CloudStatus {
    fn from(state: ListedState) -> CloudStatus {
        match state {
            ListedState::Starting => CloudStatus::Starting,
            ListedState::Running => CloudStatus::Running,
            ListedState::Failed => CloudStatus::Failed,
        }
    }
}

/// Whether a refusal says that the kind of machine is sold out.
pub fn is_no_capacity(body: &[u8]) -> bool {
    const NO_CAPACITY: &[u8] = b"no capacity";
    body.windows(NO_CAPACITY.len())
        .any(|part| part == NO_CAPACITY)
}
