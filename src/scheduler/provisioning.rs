//! Provisioning requests, from the scale-out decision to the cloud's response.
//!
//! [`ProvisioningRequests`] owns the open requests and the kinds of machine that the cloud has
//! refused; the scheduler adds the machines that a request provisions.

use std::collections::HashMap;

use tracing::info;

use super::{to_ms, Effect, Scheduler};
use crate::cloud::MachineKind;
use crate::machine::Machine;

/// A kind of machine that is sold out is requested again after this share of its boot time.
const SOLD_OUT_BOOT_RATIO: f64 = 0.25;
/// The same for a machine type that is missing in the catalog, in seconds.
const SOLD_OUT_DEFAULT_S: f64 = 10.0;
/// The backoff after a failed attempt grows by this much with each attempt.
const RETRY_STEP_MS: u64 = 1000;
/// The highest number of steps in the backoff.
const RETRY_STEPS_MAX: u32 = 4;
/// A provisioning request is abandoned when more attempts than this have failed. The cloud may
/// still execute it; the machines then appear in the cloud's list and are used.
const FAILED_ATTEMPTS_MAX: u32 = 8;

/// An open provisioning request.
#[derive(Debug, Clone)]
pub(super) struct ProvisioningRequest {
    /// Unique among all terms.
    idempotency_key: String,
    pub kind: MachineKind,
    pub count: u64,
    next_attempt_at: u64,
    is_in_flight: bool,
    failed_attempts: u32,
}

impl ProvisioningRequest {
    fn to_effect(&self) -> Effect {
        Effect::Provision {
            idempotency_key: self.idempotency_key.clone(),
            kind: self.kind.clone(),
            count: self.count,
        }
    }
}

/// How the cloud has responded to a provisioning request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ProvisioningOutcome {
    /// Machines were rented, perhaps fewer than requested.
    Provisioned(Vec<String>),
    /// The cloud has no capacity for this kind of machine, or the request was malformed.
    Unavailable,
    /// The request failed, or its outcome is unknown; it is retried.
    Failed,
    /// The request was never sent and will not be.
    Cancelled,
}

/// Open provisioning requests, and the kinds of machine that are sold out.
#[derive(Debug, Default)]
pub(super) struct ProvisioningRequests {
    open: Vec<ProvisioningRequest>,
    last_number: u64,
    /// The last refusal of each refused kind of machine.
    refusals: HashMap<MachineKind, Refusal>,
}

/// A refusal of a kind of machine.
#[derive(Debug, Clone, Copy)]
struct Refusal {
    /// When the kind may be requested again.
    retry_at: u64,
    /// How long requests are paused after a refusal.
    pause_ms: u64,
}

impl ProvisioningRequests {
    /// The open requests, oldest first.
    pub(super) fn open(&self) -> &[ProvisioningRequest] {
        &self.open
    }

    /// Adds a request to be sent. `prefix` makes its idempotency key unique among all terms.
    pub(super) fn add(&mut self, prefix: &str, kind: MachineKind, count: u64, now: u64) {
        self.last_number += 1;
        self.open.push(ProvisioningRequest {
            idempotency_key: format!("{prefix}-{}", self.last_number),
            kind,
            count,
            next_attempt_at: now,
            is_in_flight: false,
            failed_attempts: 0,
        });
    }

    /// Adds a request that is already in flight.
    fn adopt(&mut self, idempotency_key: &str, kind: MachineKind, count: u64, now: u64) {
        if self.position(idempotency_key).is_none() {
            self.open.push(ProvisioningRequest {
                idempotency_key: idempotency_key.to_string(),
                kind,
                count,
                next_attempt_at: now,
                is_in_flight: true,
                failed_attempts: 0,
            });
        }
    }

    /// Marks the requests that are due as in flight and returns their effects.
    fn begin_due_attempts(&mut self, now: u64) -> impl Iterator<Item = Effect> + '_ {
        let due = self
            .open
            .iter_mut()
            .filter(move |request| !request.is_in_flight && now >= request.next_attempt_at);
        due.map(|request| {
            request.is_in_flight = true;
            request.to_effect()
        })
    }

    /// Removes and returns an open request.
    fn remove(&mut self, idempotency_key: &str) -> Option<ProvisioningRequest> {
        let index = self.position(idempotency_key)?;
        Some(self.open.remove(index))
    }

    /// Schedules another attempt after a failed one, or abandons the request.
    fn retry(&mut self, idempotency_key: &str, now: u64) {
        let Some(index) = self.position(idempotency_key) else {
            return;
        };
        let request = &mut self.open[index];
        request.is_in_flight = false;
        request.failed_attempts += 1;
        let steps = u64::from(request.failed_attempts.min(RETRY_STEPS_MAX));
        request.next_attempt_at = now + RETRY_STEP_MS * steps;
        if request.failed_attempts > FAILED_ATTEMPTS_MAX {
            self.open.remove(index);
        }
    }

    /// Makes a request that was not sent due at `retry_at`.
    fn postpone(&mut self, idempotency_key: &str, retry_at: u64) {
        if let Some(index) = self.position(idempotency_key) {
            let request = &mut self.open[index];
            request.is_in_flight = false;
            request.next_attempt_at = retry_at;
        }
    }

    fn position(&self, idempotency_key: &str) -> Option<usize> {
        self.open
            .iter()
            .position(|request| request.idempotency_key == idempotency_key)
    }

    /// Pauses requests for a kind of machine for which the cloud has no capacity. `boot_s` is the
    /// machine type's boot time, if known.
    fn mark_sold_out(&mut self, kind: &MachineKind, boot_s: Option<f64>, now: u64) {
        let pause_s = boot_s.map_or(SOLD_OUT_DEFAULT_S, |boot_s| boot_s * SOLD_OUT_BOOT_RATIO);
        info!(
            ?kind,
            "cloud has no capacity for this kind of machine; pausing requests for it"
        );
        let pause_ms = to_ms(pause_s);
        let refusal = Refusal {
            retry_at: now + pause_ms,
            pause_ms,
        };
        self.refusals.insert(kind.clone(), refusal);
    }

    /// Whether requests for a kind of machine are paused because the cloud refused one.
    pub(super) fn is_sold_out(&self, kind: &MachineKind, now: u64) -> bool {
        let refusal = self.refusals.get(kind);
        refusal.is_some_and(|refusal| now < refusal.retry_at)
    }

    /// Whether the cloud has refused a kind of machine at any time in this term.
    pub(super) fn has_been_sold_out(&self, kind: &MachineKind) -> bool {
        self.refusals.contains_key(kind)
    }

    /// Whether the cloud refused a kind of machine so lately that it has not been requested again
    /// since, or only just: as many kinds are requested one after the other, not all of them are
    /// paused at the same time.
    pub(super) fn was_refused_lately(&self, kind: &MachineKind, now: u64) -> bool {
        let refusal = self.refusals.get(kind);
        refusal.is_some_and(|refusal| now < refusal.retry_at + refusal.pause_ms)
    }
}

impl Scheduler {
    /// Sends the provisioning requests that are due.
    pub(super) fn send_provisioning_requests(&mut self, now: u64) {
        self.effects
            .extend(self.provisioning.begin_due_attempts(now));
    }

    /// Applies the outcome of a provisioning request.
    pub fn on_provisioning_outcome(
        &mut self,
        idempotency_key: &str,
        outcome: ProvisioningOutcome,
        now: u64,
    ) {
        if outcome == ProvisioningOutcome::Failed {
            self.provisioning.retry(idempotency_key, now);
            return;
        }
        let Some(request) = self.provisioning.remove(idempotency_key) else {
            return;
        };
        match outcome {
            ProvisioningOutcome::Provisioned(names) => self.add_provisioned(&request, names, now),
            ProvisioningOutcome::Unavailable => self.mark_sold_out(&request.kind, now),
            ProvisioningOutcome::Cancelled | ProvisioningOutcome::Failed => {}
        }
        self.needs_planning = true;
    }

    /// Adopts a provisioning request that is recorded with the holder of the provisioning duty:
    /// its machines will be provisioned, whichever leader requested them.
    pub fn adopt_provisioning(
        &mut self,
        idempotency_key: &str,
        kind: MachineKind,
        count: u64,
        now: u64,
    ) {
        self.provisioning.adopt(idempotency_key, kind, count, now);
    }

    /// Postpones a provisioning request that the rate limit for calls to the cloud does not allow
    /// yet.
    pub fn on_provisioning_postponed(&mut self, idempotency_key: &str, now: u64) {
        let retry_at = now + to_ms(1.0 / self.cluster.cloud.rps);
        self.provisioning.postpone(idempotency_key, retry_at);
    }

    fn add_provisioned(&mut self, request: &ProvisioningRequest, names: Vec<String>, now: u64) {
        let kind = &request.kind;
        info!(request = %request.idempotency_key, ?kind, machines = ?names, "machines provisioned");
        if (names.len() as u64) < request.count {
            self.mark_sold_out(kind, now);
        }
        for name in names {
            let machine = self.machines.entry(name.clone());
            machine.or_insert_with(|| {
                Machine::new(&name, now).with_kind(&kind.machine_type, &kind.zone, kind.spot)
            });
        }
    }

    fn mark_sold_out(&mut self, kind: &MachineKind, now: u64) {
        let machine_type = self.catalog.machine_type(&kind.machine_type);
        let boot_s = machine_type.map(|machine_type| machine_type.boot_s);
        self.provisioning.mark_sold_out(kind, boot_s, now);
    }
}
