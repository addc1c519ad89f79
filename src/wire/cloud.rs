//! Messages of the cloud: machine types, provisioning, termination and the machine list.

use serde::{Deserialize, Serialize};

use super::protocol_enums::ListedState;
use super::{number, optional_number};
use crate::machine::CloudStatus;

/// Path of provisioning requests.
pub const PROVISION_PATH: &str = "/machines";
/// Path of requests to terminate machines.
pub const TERMINATE_PATH: &str = "/machines/delete";

/// The response that lists all machine types of the cloud.
#[derive(Debug, Deserialize, Serialize)]
pub struct MachineTypes {
    /// The machine types, in no particular order.
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
    /// Current price of a spot machine for an hour.
    #[serde(rename = "spotPrice", deserialize_with = "number")]
    pub spot_price: f64,
    /// Usual boot time of a machine, in seconds.
    #[serde(rename = "bootS", deserialize_with = "number")]
    pub boot_s: f64,
    /// Zones in which the type is offered.
    #[serde(rename = "halls")]
    pub zones: Vec<String>,
}

/// A request to provision machines.
#[derive(Serialize)]
pub struct ProvisionRequest<'a> {
    /// The idempotency key: a repeated request with the same key provisions no further machines.
    pub booking: &'a str,
    /// The machine type's name.
    #[serde(rename = "flavor")]
    pub machine_type: &'a str,
    /// The zone of the machines.
    #[serde(rename = "hall")]
    pub zone: &'a str,
    /// Whether spot machines are requested.
    #[serde(rename = "loaner")]
    pub spot: bool,
    /// Maximum number of machines.
    #[serde(rename = "howMany")]
    pub count: u64,
    /// The fencing token; absent unless the provider supports fencing.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub fencing: Option<FencingToken>,
}

/// A request to terminate machines.
#[derive(Serialize)]
pub struct TerminateRequest<'a> {
    /// Names of the machines to terminate.
    #[serde(rename = "hosts")]
    pub names: &'a [String],
    /// The fencing token; absent unless the provider supports fencing.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub fencing: Option<FencingToken>,
}

/// The fencing token of a request, an extension of the published protocol: a provider that
/// supports it refuses a request for the same duty with a lower token (409).
#[derive(Debug, Clone, Copy, Serialize)]
pub struct FencingToken {
    /// Name of the duty that the request belongs to.
    pub duty: &'static str,
    /// The token under which the sender holds the duty.
    pub token: u64,
}

/// The response to a provisioning request.
#[derive(Serialize, Deserialize)]
pub struct MachineNames {
    /// Names of the provisioned machines.
    #[serde(rename = "hosts")]
    pub names: Vec<String>,
}

/// A page of the machine list.
#[derive(Debug, Deserialize)]
pub struct MachineList {
    /// The machines, ordered by name.
    #[serde(rename = "hosts")]
    pub machines: Vec<ListedMachine>,
    /// Whether there are further pages.
    #[serde(default)]
    pub truncated: bool,
}

/// A machine in the machine list.
#[derive(Debug, Clone, Deserialize)]
pub struct ListedMachine {
    /// The machine's name.
    #[serde(rename = "nameId")]
    pub name: String,
    /// The address at which its agent receives commands; absent until the cloud knows it.
    #[serde(default)]
    pub endpoint: Option<String>,
    /// The name of its type.
    #[serde(rename = "flavor")]
    pub machine_type: String,
    /// The zone that the machine was provisioned in.
    #[serde(rename = "hall")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "loaner", default)]
    pub spot: bool,
    /// The machine's state.
    pub status: ListedState,
    /// Time since the provisioning request, in seconds.
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

/// Whether the body of a refusal reports that the cloud has no capacity of the requested kind.
pub fn reports_no_capacity(body: &[u8]) -> bool {
    const NO_CAPACITY: &[u8] = b"no capacity";
    body.windows(NO_CAPACITY.len())
        .any(|part| part == NO_CAPACITY)
}
