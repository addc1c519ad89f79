//! The client of the cloud provider: this controller's share of its rate limit, the machine
//! types, the list of machines, and the requests to provision and to terminate machines, which
//! are put together here and nowhere else.

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

/// Share of the provider's limit that is used, all calls counted.
const FULL_SHARE: f64 = 0.875;
/// Shares of the limit once provisioning and terminating are with other controllers than the
/// leader, which reads the list. Their bursts rarely coincide.
const HOLDER_SHARE: f64 = 0.6;
const LEADER_SHARE: f64 = 0.4;
/// Calls a second that suffice for a call at a time, however low the limit is.
const RATE_MIN: f64 = 1.5;

/// Shares of a second's calls that these leave to others: the list and terminations need
/// calls, too.
const PROVISIONING_RESERVE: f64 = 0.25;
const TYPES_RESERVE: f64 = 0.2;
const LIST_RESERVE: f64 = 0.3;

const TIMEOUT_MS: u64 = 4000;
/// Most machines that a page of the list holds.
const PAGE_MAX: u64 = 500;
/// The part of the memory that a list may take while it is read, and what a machine of it
/// takes, its name in the set of those read included.
const LIST_MEMORY_SHARE: f64 = 1.0 / 16.0;
const LISTED_MACHINE_BYTES: usize = 512;
/// How often the machine types are read, before and after the first success.
const TYPES_RETRY_MS: u64 = 2000;
const TYPES_INTERVAL_MS: u64 = 60_000;
/// How soon after an election they are read again.
const TYPES_AFTER_ELECTION_MS: u64 = 1000;
/// Least time between two reads of the list, for each of its pages.
const LIST_INTERVAL_MS: u64 = 2000;

/// Machines to be provisioned.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct MachineRequest {
    pub kind: MachineKind,
    /// How many at most.
    pub count: u64,
}

/// Which calls to the provider a controller makes, once duties are with their holders.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ProviderRole {
    /// It reads the list, if it leads.
    Reader,
    /// It provisions or terminates machines.
    Holder,
    /// It does both.
    LeaderAndHolder,
}

/// The client of the cloud provider.
#[derive(Debug)]
pub(super) struct ProviderClient {
    /// The provider's limit of calls a second.
    calls_per_s: f64,
    limit: TokenBucket,
    machine_types: Arc<Vec<MachineType>>,
    next_machine_types_at: u64,
    machine_list: MachineListReader,
    /// Time between two reads of the list, for each of its pages.
    list_interval_ms: u64,
    /// How many machines a list may have, by the memory that there is.
    listed_machines_max: usize,
}

impl ProviderClient {
    pub(super) fn new(cluster: &ClusterSettings) -> ProviderClient {
        let lag_ms = to_ms(cluster.cloud.list_lag_s);
        let list_bytes = cluster.limits.memory_part(LIST_MEMORY_SHARE);
        ProviderClient {
            calls_per_s: cluster.cloud.rps,
            limit: TokenBucket::new(cluster.cloud.rps * FULL_SHARE),
            machine_types: Arc::new(vec![]),
            next_machine_types_at: 0,
            machine_list: MachineListReader::default(),
            list_interval_ms: (lag_ms / 2).max(LIST_INTERVAL_MS),
            listed_machines_max: list_bytes / LISTED_MACHINE_BYTES,
        }
    }

    /// Uses the share of the limit that belongs to a role from now on.
    pub(super) fn set_share(&mut self, role: ProviderRole, now: u64) {
        let share = match role {
            ProviderRole::LeaderAndHolder => FULL_SHARE,
            ProviderRole::Holder => HOLDER_SHARE,
            ProviderRole::Reader => LEADER_SHARE,
        };
        let rate = (self.calls_per_s * share).max(RATE_MIN);
        let rate = rate.min(self.calls_per_s * FULL_SHARE);
        self.limit.set_rate(now, rate);
    }

    /// Whether machines may be provisioned or terminated now, by the rate limit.
    pub(super) fn try_order(&mut self, now: u64) -> bool {
        self.limit.try_take(now, 1.0, 0.0)
    }

    /// How many provisioning requests may be sent now.
    pub(super) fn provisioning_budget(&mut self, now: u64) -> usize {
        self.limit.available(now, PROVISIONING_RESERVE)
    }

    /// The provider says that the limit was reached.
    pub(super) fn on_throttled(&mut self) {
        self.limit.drain();
    }

    /// The request to provision machines, which the provider carries out once for each
    /// idempotency key.
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
        HttpCall::post(wire::PROVISION_PATH, body, TIMEOUT_MS)
    }

    /// The request to terminate machines.
    pub(super) fn terminate_call(machines: &[String], fencing: Option<FencingToken>) -> HttpCall {
        let body = wire::encode(&wire::TerminateRequest {
            names: machines,
            fencing,
        });
        HttpCall::post(wire::TERMINATE_PATH, body, TIMEOUT_MS)
    }

    /// The machine types; none if they were not read yet.
    pub(super) fn machine_types(&self) -> Arc<Vec<MachineType>> {
        self.machine_types.clone()
    }

    /// Reads the machine types when it is time and the limit allows.
    pub(super) fn read_machine_types_if_due(&mut self, outbox: &mut Outbox, now: u64) {
        if now < self.next_machine_types_at {
            return;
        }
        self.next_machine_types_at = now + TYPES_RETRY_MS;
        if self.limit.try_take(now, 1.0, TYPES_RESERVE) {
            let call = HttpCall::get(wire::machine_types_path(), TIMEOUT_MS);
            outbox.call_cloud(PendingCall::MachineTypes, call);
        }
    }

    /// Processes the response with the machine types. Returns whether they were read.
    pub(super) fn on_machine_types(&mut self, outcome: &Outcome, now: u64) -> bool {
        match responses::decode_success::<wire::MachineTypes>(outcome) {
            Ok(reply) => {
                self.machine_types = Arc::new(reply.types);
                self.next_machine_types_at = now + TYPES_INTERVAL_MS;
                true
            }
            Err(error) => {
                debug!(%error, "machine types not read");
                false
            }
        }
    }

    /// This controller leads: the list is read from its beginning, and the machine types soon.
    pub(super) fn on_term_begun(&mut self, now: u64) {
        self.machine_list.restart(now);
        let soon = now + TYPES_AFTER_ELECTION_MS;
        self.next_machine_types_at = self.next_machine_types_at.min(soon);
    }

    /// Reads the next page of the list, for the leader of an epoch, when it is due and the
    /// limit allows.
    pub(super) fn read_machine_list_if_due(&mut self, outbox: &mut Outbox, epoch: Epoch, now: u64) {
        if !self.machine_list.is_due(now) || !self.limit.try_take(now, 1.0, LIST_RESERVE) {
            return;
        }
        let from = self.machine_list.begin_page(now, self.list_interval_ms);
        let path = wire::machine_list_path(from.as_deref(), PAGE_MAX);
        let pending = PendingCall::MachineList {
            started_at: self.machine_list.started_at().unwrap_or(now),
            epoch,
        };
        outbox.call_cloud(pending, HttpCall::get(path, TIMEOUT_MS));
    }

    /// Whether the read of the list that began at `started_at` is in progress.
    pub(super) fn is_reading_list(&self, started_at: u64) -> bool {
        self.machine_list.started_at() == Some(started_at)
    }

    /// Gives up the read of the list in progress.
    pub(super) fn restart_machine_list(&mut self, now: u64) {
        self.machine_list.restart(now);
    }

    /// Processes a page of the list, and asks for the next one. Returns the list if it is
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
                debug!(%error, "page of the machine list not read");
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
                error!(%error, "invalid machine list: the last one stays");
                None
            }
        }
    }
}
