//! Provisioning requests that were decided on, until the cloud has answered.

use std::collections::HashMap;

use tracing::info;

use super::{to_ms, Effect, Scheduler};
use crate::cloud::MachineKind;
use crate::machine::Machine;

/// A kind that is sold out is tried again after this share of a boot time.
const SOLD_OUT_BOOTS: f64 = 0.25;
/// The same for a type that is not known, in seconds.
const SOLD_OUT_DEFAULT_S: f64 = 10.0;
/// Pause after a failed try, for each try so far.
const RETRY_MS: u64 = 1000;
const RETRY_STEPS_MAX: u32 = 4;
/// Tries after which a provisioning request is given up. It may yet be carried out: the machines then
/// show up in the list and are taken in.
const ATTEMPTS_MAX: u32 = 8;

/// A provisioning request that was decided on.
#[derive(Debug, Clone)]
pub(super) struct ProvisioningRequest {
    /// Its unique name.
    pub idempotency_key: String,
    pub kind: MachineKind,
    pub count: u64,
    next_try_at: u64,
    in_flight: bool,
    tries: u32,
}

/// What the cloud has answered a provisioning request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ProvisioningOutcome {
    /// Machines were rented, perhaps fewer than asked for.
    Provisioned(Vec<String>),
    /// There are none of this kind, or the request was malformed.
    Unavailable,
    /// Nothing is known, or the cloud is in trouble.
    Failed,
    /// It was never sent, and will not be.
    Cancelled,
}

/// Provisioning requests that were decided on, and kinds that are sold out.
#[derive(Debug, Default)]
pub(super) struct ProvisioningRequests {
    pub open: Vec<ProvisioningRequest>,
    last_number: u64,
    /// Until when each is not tried again.
    sold_out_until: HashMap<MachineKind, u64>,
}

impl ProvisioningRequests {
    /// Adds a provisioning request. `prefix` makes its name unique among all terms.
    pub fn add(&mut self, prefix: &str, kind: MachineKind, count: u64, now: u64) {
        self.last_number += 1;
        self.open.push(ProvisioningRequest {
            idempotency_key: format!("{prefix}-{}", self.last_number),
            kind,
            count,
            next_try_at: now,
            in_flight: false,
            tries: 0,
        });
    }

    /// Whether a kind was refused lately.
    pub fn is_sold_out(&self, kind: &MachineKind, now: u64) -> bool {
        self.sold_out_until.get(kind).is_some_and(|at| now < *at)
    }

    /// Whether a kind has ever been refused.
    pub fn has_been_sold_out(&self, kind: &MachineKind) -> bool {
        self.sold_out_until.contains_key(kind)
    }

    /// Adds a provisioning request that is in progress.
    fn adopt(&mut self, idempotency_key: &str, kind: MachineKind, count: u64, now: u64) {
        if self.position(idempotency_key).is_none() {
            self.open.push(ProvisioningRequest {
                idempotency_key: idempotency_key.to_string(),
                kind,
                count,
                next_try_at: now,
                in_flight: true,
                tries: 0,
            });
        }
    }

    fn position(&self, idempotency_key: &str) -> Option<usize> {
        self.open
            .iter()
            .position(|r| r.idempotency_key == idempotency_key)
    }
}

impl Scheduler {
    /// Sends provisioning requests that are due.
    pub(super) fn send_provisioning_requests(&mut self, now: u64) {
        for provisioning_request in &mut self.provisioning.open {
            if !provisioning_request.in_flight && now >= provisioning_request.next_try_at {
                provisioning_request.in_flight = true;
                self.effects.push(Effect::Provision {
                    idempotency_key: provisioning_request.idempotency_key.clone(),
                    kind: provisioning_request.kind.clone(),
                    count: provisioning_request.count,
                });
            }
        }
    }

    /// The cloud has answered a provisioning request, or there was no answer.
    pub fn on_provisioning_outcome(
        &mut self,
        idempotency_key: &str,
        outcome: ProvisioningOutcome,
        now: u64,
    ) {
        let Some(index) = self.provisioning.position(idempotency_key) else {
            return;
        };
        match outcome {
            ProvisioningOutcome::Provisioned(names) => {
                let provisioning_request = self.provisioning.open.remove(index);
                self.add_provisioned(&provisioning_request, names, now);
                self.needs_planning = true;
            }
            ProvisioningOutcome::Unavailable => {
                let provisioning_request = self.provisioning.open.remove(index);
                self.mark_sold_out(&provisioning_request.kind, now);
                self.needs_planning = true;
            }
            ProvisioningOutcome::Cancelled => {
                self.provisioning.open.remove(index);
                self.needs_planning = true;
            }
            ProvisioningOutcome::Failed => {
                let provisioning_request = &mut self.provisioning.open[index];
                provisioning_request.in_flight = false;
                provisioning_request.tries += 1;
                let steps = u64::from(provisioning_request.tries.min(RETRY_STEPS_MAX));
                provisioning_request.next_try_at = now + RETRY_MS * steps;
                if provisioning_request.tries > ATTEMPTS_MAX {
                    self.provisioning.open.remove(index);
                }
            }
        }
    }

    /// A provisioning request is on record with the holder of that duty, whoever needed it: its machines
    /// come.
    pub fn adopt_provisioning(
        &mut self,
        idempotency_key: &str,
        kind: MachineKind,
        count: u64,
        now: u64,
    ) {
        self.provisioning.adopt(idempotency_key, kind, count, now);
    }

    fn add_provisioned(
        &mut self,
        provisioning_request: &ProvisioningRequest,
        names: Vec<String>,
        now: u64,
    ) {
        let kind = &provisioning_request.kind;
        info!(
            "rented {kind:?} {}: {names:?}",
            provisioning_request.idempotency_key
        );
        if (names.len() as u64) < provisioning_request.count {
            self.mark_sold_out(kind, now);
        }
        for name in names {
            let machine = self.machines.entry(name.clone());
            machine.or_insert_with(|| {
                Machine::new(&name, &kind.machine_type, &kind.zone, kind.spot, now)
            });
        }
    }

    /// The limit of calls to the cloud has no capacity for a provisioning request yet.
    pub fn on_provisioning_postponed(&mut self, idempotency_key: &str, now: u64) {
        if let Some(index) = self.provisioning.position(idempotency_key) {
            let provisioning_request = &mut self.provisioning.open[index];
            provisioning_request.in_flight = false;
            provisioning_request.next_try_at = now + to_ms(1.0 / self.cluster.cloud.rps);
        }
    }

    fn mark_sold_out(&mut self, kind: &MachineKind, now: u64) {
        let machine_type = self.machine_type(&kind.machine_type);
        let pause_s = machine_type.map_or(SOLD_OUT_DEFAULT_S, |t| t.boot_s * SOLD_OUT_BOOTS);
        info!("no capacity for {kind:?}");
        let until = now + to_ms(pause_s);
        self.provisioning.sold_out_until.insert(kind.clone(), until);
    }
}
