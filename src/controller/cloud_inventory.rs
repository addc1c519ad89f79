//! Reading the cloud's machine types and its list of machines.

use std::sync::Arc;

use tracing::{debug, error};

use super::calls::PendingCall;
use super::http::HttpCall;
use super::machine_list_reader::PageResult;
use super::{responses, Controller};
use crate::net::Outcome;
use crate::time_units::to_ms;
use crate::wire;

/// Most machines that a page of the list holds.
const PAGE_MAX: u64 = 500;
/// The part of the memory that a list may take while it is read, and what a machine of it
/// takes, its names in the set of those read included.
const LIST_MEMORY_SHARE: f64 = 1.0 / 16.0;
const LISTED_MACHINE_BYTES: usize = 512;
/// How often the machine types are asked for, before and after they were read.
const TYPES_RETRY_MS: u64 = 2000;
const TYPES_INTERVAL_MS: u64 = 60_000;
/// Least time between two reads of the list, for each of its pages.
const LIST_INTERVAL_MS: u64 = 2000;
const TIMEOUT_MS: u64 = 4000;
/// Shares of the cloud's limit that these reads leave to others.
const TYPES_RESERVE: f64 = 0.2;
const LIST_RESERVE: f64 = 0.3;

impl Controller {
    pub(super) fn machine_types_tick(&mut self) {
        let now = self.clock.steady_ms();
        if now < self.next_machine_types_at {
            return;
        }
        self.next_machine_types_at = now + TYPES_RETRY_MS;
        if self.cloud_requests.try_take(now, 1.0, TYPES_RESERVE) {
            let call = HttpCall::get("/flavors", TIMEOUT_MS);
            self.outbox.call_cloud(PendingCall::MachineTypes, call);
        }
    }

    pub(super) fn on_machine_types(&mut self, outcome: &Outcome) {
        let reply = match responses::decode_success::<wire::MachineTypes>(outcome) {
            Ok(reply) => reply,
            Err(error) => return debug!(%error, "machine types not read"),
        };
        self.machine_types = Arc::new(reply.types);
        if let Some(scheduler) = &mut self.scheduler {
            scheduler.set_machine_types(self.machine_types.clone());
        }
        self.next_machine_types_at = self.clock.steady_ms() + TYPES_INTERVAL_MS;
    }

    /// Asks for the next page of the list when it is due and the limit of calls allows.
    pub(super) fn machine_list_tick(&mut self) {
        let now = self.clock.steady_ms();
        if self.scheduler.is_none() || !self.machine_list.is_due(now) {
            return;
        }
        if !self.cloud_requests.try_take(now, 1.0, LIST_RESERVE) {
            return;
        }
        let lag_ms = to_ms(self.settings.cluster.cloud.list_lag_s);
        let interval_ms = (lag_ms / 2).max(LIST_INTERVAL_MS);
        let from = self.machine_list.begin_page(now, interval_ms);
        let from = from.map(|name| format!("from={name}&")).unwrap_or_default();
        let path = format!("/machines?{from}most={PAGE_MAX}");
        let pending = PendingCall::MachineList {
            started_at: self.machine_list.started_at().unwrap_or(now),
            epoch: self.epoch(),
        };
        self.outbox
            .call_cloud(pending, HttpCall::get(path, TIMEOUT_MS));
    }

    pub(super) fn on_machine_list_page(&mut self, started_at: u64, epoch: u64, outcome: &Outcome) {
        let now = self.clock.steady_ms();
        if self.machine_list.started_at() != Some(started_at) {
            return;
        }
        if self.scheduler_of(epoch).is_none() {
            return self.machine_list.restart(now);
        }
        let page = match responses::decode_success::<wire::MachineList>(outcome) {
            Ok(page) => page,
            Err(error) => {
                debug!(%error, "page of the machine list not read");
                return self.machine_list.on_failure(now);
            }
        };
        let machines_max = self.listed_machines_max();
        match self.machine_list.on_page(page, machines_max, now) {
            PageResult::More => self.machine_list_tick(),
            PageResult::Complete(machines) => {
                if let Some(scheduler) = self.scheduler_of(epoch) {
                    scheduler.on_machine_list(&machines, started_at, now);
                }
            }
            PageResult::Invalid(problem) => {
                error!("the cloud's list of machines can't be right: {problem}; the last one stays")
            }
        }
    }

    /// How many machines a list may have, by the memory that there is.
    fn listed_machines_max(&self) -> usize {
        let limits = &self.settings.cluster.limits;
        limits.memory_part(LIST_MEMORY_SHARE) / LISTED_MACHINE_BYTES
    }
}
