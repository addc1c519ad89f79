//! Client of the cloud provider: this controller's share of the provider's rate limit, the machine
//! types, the list of machines, and the requests to provision and to terminate machines, which
//! are built only here.

use std::sync::Arc;

use tracing::{debug, error};

use super::calls::PendingCall;
use super::http::HttpCall;
use super::machine_list_reader::{MachineListReader, PageResult};
use super::outbox::Outbox;
use super::responses;
use crate::cloud::MachineKind;
use crate::epoch::Epoch;
use crate::net::Outcome;
use crate::rate_limit::TokenBucket;
use crate::settings::ClusterSettings;
use crate::time_units::to_ms;
use crate::wire::{self, FencingToken, ListedMachine, MachineType};

/// Ratio of the provider's rate limit that a controller uses at most, for all its calls together.
const USED_LIMIT_RATIO: f64 = 0.875;
/// Ratios of the provider's rate limit when other controllers than the leader, which reads the
/// list, provision and terminate machines. Their sum may exceed [`USED_LIMIT_RATIO`], since the
/// bursts rarely coincide.
const HOLDER_LIMIT_RATIO: f64 = 0.6;
const LEADER_LIMIT_RATIO: f64 = 0.4;
/// Lower bound of a share in calls per second, which still lets the token bucket hold one call.
const SHARE_CALLS_PER_S_MIN: f64 = 1.5;

/// Ratio of a second's calls that each kind of call leaves to the others, so that none starves
/// the list or terminations.
const PROVISIONING_RESERVE_RATIO: f64 = 0.25;
const MACHINE_TYPES_RESERVE_RATIO: f64 = 0.2;
const LIST_RESERVE_RATIO: f64 = 0.3;

const CALL_TIMEOUT_MS: u64 = 4000;
/// Maximum number of machines in a page of the list.
const PAGE_MACHINES_MAX: u64 = 500;
/// Ratio of the process's memory that a list may take while it is read.
const LIST_MEMORY_RATIO: f64 = 1.0 / 16.0;
/// Memory that a listed machine takes, including its name in the set of names read so far.
const LISTED_MACHINE_BYTES: usize = 512;
/// Delay until the machine types are read again after a failure.
const MACHINE_TYPES_RETRY_MS: u64 = 2000;
/// Delay until the machine types are read again after a success.
const MACHINE_TYPES_INTERVAL_MS: u64 = 60_000;
/// Longest delay until the machine types are read again after an election.
const MACHINE_TYPES_AFTER_ELECTION_MS: u64 = 1000;
/// Lower bound of the interval between two reads of the list, per page of the list.
const LIST_INTERVAL_MIN_MS: u64 = 2000;

/// A request for machines of one kind.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct MachineRequest {
    pub kind: MachineKind,
    /// Maximum number of machines.
    pub count: u64,
}

/// Which calls to the provider a controller makes when controllers other than the leader may hold
/// duties.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ProviderRole {
    /// It reads the list while it leads, and holds no duty.
    Reader,
    /// It provisions or terminates machines and does not lead.
    Holder,
    /// It leads, and provisions or terminates machines.
    LeaderAndHolder,
}

/// Client of the cloud provider. Times are in milliseconds of the steady clock.
#[derive(Debug)]
pub(super) struct ProviderClient {
    /// The provider's rate limit, in calls per second.
    calls_per_s: f64,
    /// This controller's share of the rate limit.
    limit: TokenBucket,
    machine_types: Arc<Vec<MachineType>>,
    next_machine_types_at: u64,
    machine_list: MachineListReader,
    /// Interval between two reads of the list, per page of the list.
    list_interval_ms: u64,
    /// Maximum number of machines in a list, so that it fits into memory.
    listed_machines_max: usize,
}

impl ProviderClient {
    pub(super) fn new(cluster: &ClusterSettings) -> ProviderClient {
        let lag_ms = to_ms(cluster.cloud.list_lag_s);
        let list_bytes = cluster.limits.memory_share_bytes(LIST_MEMORY_RATIO);
        ProviderClient {
            calls_per_s: cluster.cloud.rps,
            limit: TokenBucket::new(cluster.cloud.rps * USED_LIMIT_RATIO),
            machine_types: Arc::new(vec![]),
            next_machine_types_at: 0,
            machine_list: MachineListReader::default(),
            list_interval_ms: (lag_ms / 2).max(LIST_INTERVAL_MIN_MS),
            listed_machines_max: list_bytes / LISTED_MACHINE_BYTES,
        }
    }

    /// Sets this controller's share of the rate limit to that of a role.
    pub(super) fn apply_role_limits(&mut self, role: ProviderRole, now: u64) {
        let share = match role {
            ProviderRole::LeaderAndHolder => USED_LIMIT_RATIO,
            ProviderRole::Holder => HOLDER_LIMIT_RATIO,
            ProviderRole::Reader => LEADER_LIMIT_RATIO,
        };
        let rate = (self.calls_per_s * share).max(SHARE_CALLS_PER_S_MIN);
        let rate = rate.min(self.calls_per_s * USED_LIMIT_RATIO);
        self.limit.set_rate(now, rate);
    }

    /// Uses up one call of the rate limit for provisioning or terminating machines. Returns
    /// whether the limit allows the call.
    pub(super) fn try_acquire_call(&mut self, now: u64) -> bool {
        self.limit.try_take(now, 1.0, 0.0)
    }

    /// How many provisioning requests the rate limit allows now.
    pub(super) fn provisioning_budget(&mut self, now: u64) -> usize {
        self.limit.available(now, PROVISIONING_RESERVE_RATIO)
    }

    /// Uses up this controller's share after the provider has rejected a call for its rate limit.
    pub(super) fn on_throttled(&mut self) {
        self.limit.drain();
    }

    /// The request to provision machines, which the provider executes once per idempotency key.
    pub(super) fn provision_call(
        idempotency_key: &str,
        request: &MachineRequest,
        fencing: Option<FencingToken>,
    ) -> HttpCall {
        let body = wire::encode(&wire::ProvisionRequest {
            booking: idempotency_key,
            machine_type: &request.kind.machine_type,
            zone: &request.kind.zone,
            spot: request.kind.spot,
            count: request.count,
            fencing,
        });
        HttpCall::post(wire::PROVISION_PATH, body, CALL_TIMEOUT_MS)
    }

    /// The request to terminate machines.
    pub(super) fn terminate_call(machines: &[String], fencing: Option<FencingToken>) -> HttpCall {
        let body = wire::encode(&wire::TerminateRequest {
            names: machines,
            fencing,
        });
        HttpCall::post(wire::TERMINATE_PATH, body, CALL_TIMEOUT_MS)
    }

    /// The machine types; empty until they are first read.
    pub(super) fn machine_types(&self) -> Arc<Vec<MachineType>> {
        self.machine_types.clone()
    }

    /// Reads the machine types if they are due and the rate limit allows the call.
    pub(super) fn read_machine_types_if_due(&mut self, outbox: &mut Outbox, now: u64) {
        if now < self.next_machine_types_at {
            return;
        }
        self.next_machine_types_at = now + MACHINE_TYPES_RETRY_MS;
        if self.limit.try_take(now, 1.0, MACHINE_TYPES_RESERVE_RATIO) {
            let call = HttpCall::get(wire::machine_types_path(), CALL_TIMEOUT_MS);
            outbox.call_cloud(PendingCall::MachineTypes, call);
        }
    }

    /// Handles the response with the machine types. Returns whether it was valid.
    pub(super) fn on_machine_types(&mut self, outcome: &Outcome, now: u64) -> bool {
        match responses::decode_success::<wire::MachineTypes>(outcome) {
            Ok(reply) => {
                self.machine_types = Arc::new(reply.types);
                self.next_machine_types_at = now + MACHINE_TYPES_INTERVAL_MS;
                true
            }
            Err(error) => {
                debug!(%error, "failed to read the machine types; will retry");
                false
            }
        }
    }

    /// Restarts the read of the list and hastens that of the machine types, when this controller
    /// becomes the leader.
    pub(super) fn on_term_started(&mut self, now: u64) {
        self.machine_list.restart(now);
        let soon = now + MACHINE_TYPES_AFTER_ELECTION_MS;
        self.next_machine_types_at = self.next_machine_types_at.min(soon);
    }

    /// Reads the next page of the list, for the leader of an epoch, if it is due and the rate
    /// limit allows the call.
    pub(super) fn read_machine_list_if_due(&mut self, outbox: &mut Outbox, epoch: Epoch, now: u64) {
        if !self.machine_list.is_due(now) || !self.limit.try_take(now, 1.0, LIST_RESERVE_RATIO) {
            return;
        }
        let from = self.machine_list.begin_page(now, self.list_interval_ms);
        let path = wire::machine_list_path(from.as_deref(), PAGE_MACHINES_MAX);
        let pending = PendingCall::MachineList {
            started_at: self.machine_list.started_at().unwrap_or(now),
            epoch,
        };
        outbox.call_cloud(pending, HttpCall::get(path, CALL_TIMEOUT_MS));
    }

    /// Whether the read of the list that began at `started_at` is in progress.
    pub(super) fn is_reading_list(&self, started_at: u64) -> bool {
        self.machine_list.started_at() == Some(started_at)
    }

    /// Aborts the read of the list in progress, so that it starts again.
    pub(super) fn restart_machine_list(&mut self, now: u64) {
        self.machine_list.restart(now);
    }

    /// Handles a page of the list and requests the next one. Returns the list when it is
    /// complete.
    pub(super) fn on_machine_list_page(
        &mut self,
        outbox: &mut Outbox,
        epoch: Epoch,
        outcome: &Outcome,
        now: u64,
    ) -> Option<Vec<ListedMachine>> {
        let page = match responses::decode_success::<wire::MachineList>(outcome) {
            Ok(page) => page,
            Err(error) => {
                debug!(%error, "failed to read a page of the machine list; will retry");
                self.machine_list.on_failure(now);
                return None;
            }
        };
        match self
            .machine_list
            .on_page(page, self.listed_machines_max, now)
        {
            PageResult::More => {
                self.read_machine_list_if_due(outbox, epoch, now);
                None
            }
            PageResult::Complete(machines) => Some(machines),
            PageResult::Invalid(error) => {
                error!(%error, "invalid machine list; keeping the last complete one");
                None
            }
        }
    }
}
