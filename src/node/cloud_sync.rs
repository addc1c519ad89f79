//! Reading the cloud's machine types and its list of machines.

use std::sync::Arc;

use super::calls::{HttpCall, PendingCall};
use super::Node;
use crate::net::Outcome;
use crate::time_units::to_ms;
use crate::wire::{self, ListedMachine};

/// Most machines that a page of the list holds.
const PAGE_MAX: u64 = 500;
/// How often the machine types are asked for, before and after they were read.
const TYPES_RETRY_MS: u64 = 2000;
const TYPES_INTERVAL_MS: u64 = 60_000;
/// Least time between two reads of the list, for each of its pages, and after a failure.
const LIST_INTERVAL_MS: u64 = 2000;
const LIST_RETRY_MS: u64 = 1000;
const TIMEOUT_MS: u64 = 4000;
/// Shares of the cloud's limit that these reads leave to others.
const TYPES_RESERVE: f64 = 0.2;
const LIST_RESERVE: f64 = 0.3;

/// Reads the cloud's list page by page.
#[derive(Debug, Default)]
pub(super) struct MachineListReader {
    next_at: u64,
    /// What has been read so far, if a read is in progress.
    read: Option<Vec<ListedMachine>>,
    started_at: u64,
    /// Pages of the last complete read.
    pages: u64,
}

impl MachineListReader {
    /// Gives up a read in progress and begins anew.
    pub fn restart(&mut self, now: u64) {
        self.next_at = now;
        self.read = None;
    }
}

impl Node {
    pub(super) fn machine_types_tick(&mut self) {
        let now = self.now.steady;
        if now < self.next_machine_types_at {
            return;
        }
        self.next_machine_types_at = now + TYPES_RETRY_MS;
        if self.cloud_requests.try_take(now, 1.0, TYPES_RESERVE) {
            let call = HttpCall::get("/flavors", TIMEOUT_MS);
            self.call_cloud(PendingCall::MachineTypes, call);
        }
    }

    pub(super) fn on_machine_types(&mut self, outcome: &Outcome) {
        let Outcome::Answer { status: 200, body } = outcome else {
            return;
        };
        let Some(reply) = wire::decode::<wire::MachineTypes>(body) else {
            return;
        };
        self.machine_types = Arc::new(reply.types);
        if let Some(scheduler) = &mut self.scheduler {
            scheduler.set_machine_types(self.machine_types.clone());
        }
        self.next_machine_types_at = self.now.steady + TYPES_INTERVAL_MS;
    }

    pub(super) fn machine_list_tick(&mut self) {
        let now = self.now.steady;
        let list = &self.machine_list;
        if self.scheduler.is_none() || list.read.is_some() || now < list.next_at {
            return;
        }
        let lag_ms = to_ms(self.settings.cluster.cloud.list_lag_s);
        // A long list costs calls and time, and tells little that reports
        // don't: the longer, the rarer.
        let interval_ms = (lag_ms / 2).max(LIST_INTERVAL_MS) * list.pages.max(1);
        self.machine_list.next_at = now + interval_ms;
        if self.cloud_requests.try_take(now, 1.0, LIST_RESERVE) {
            self.machine_list.started_at = now;
            self.machine_list.read = Some(vec![]);
            self.read_machine_list(None);
        }
    }

    fn read_machine_list(&mut self, from: Option<&str>) {
        let from = from.map(|name| format!("from={name}&")).unwrap_or_default();
        let pending = PendingCall::MachineList {
            started_at: self.machine_list.started_at,
            epoch: self.epoch(),
        };
        let path = format!("/machines?{from}most={PAGE_MAX}");
        self.call_cloud(pending, HttpCall::get(path, TIMEOUT_MS));
    }

    pub(super) fn on_machine_list_page(&mut self, started_at: u64, epoch: u64, outcome: &Outcome) {
        let now = self.now.steady;
        if self.scheduler_of(epoch).is_none() {
            self.machine_list.read = None;
            return;
        }
        let page = match outcome {
            Outcome::Answer { status: 200, body } => wire::decode::<wire::MachineList>(body),
            _ => None,
        };
        let Some(page) = page else {
            self.machine_list.read = None;
            self.machine_list.next_at = now + LIST_RETRY_MS;
            return;
        };
        let mut machines = self.machine_list.read.take().unwrap_or_default();
        machines.extend(page.machines);
        if page.truncated {
            let last = machines.last().map(|machine| machine.name.clone());
            self.machine_list.read = Some(machines);
            self.read_machine_list(last.as_deref());
            return;
        }
        self.machine_list.pages = 1 + machines.len() as u64 / PAGE_MAX;
        if let Some(scheduler) = self.scheduler_of(epoch) {
            scheduler.on_machine_list(&machines, started_at, now);
        }
    }
}
