//! Connects the scheduler with the cloud provider: machine types, the list of machines, and the
//! machines that the leader provisions and terminates itself while duties are inactive.

use tracing::{info, warn};

use super::calls::PendingCall;
use super::provider_client::{MachineRequest, ProviderClient};
use super::responses::{self, ProviderError};
use super::Controller;
use crate::epoch::Epoch;
use crate::net::Outcome;
use crate::scheduler::{ProvisioningOutcome, TerminationOutcome};

impl Controller {
    pub(super) fn tick_machine_types(&mut self) {
        let now = self.clock.steady_ms();
        self.provider
            .read_machine_types_if_due(&mut self.outbox, now);
    }

    pub(super) fn on_machine_types(&mut self, outcome: &Outcome) {
        let now = self.clock.steady_ms();
        if !self.provider.on_machine_types(outcome, now) {
            return;
        }
        if let Some(scheduler) = &mut self.scheduler {
            scheduler.set_machine_types(self.provider.machine_types());
        }
    }

    pub(super) fn tick_machine_list(&mut self) {
        let now = self.clock.steady_ms();
        if let Some(scheduler) = &self.scheduler {
            let epoch = scheduler.epoch();
            self.provider
                .read_machine_list_if_due(&mut self.outbox, epoch, now);
        }
    }

    pub(super) fn on_machine_list_page(
        &mut self,
        started_at: u64,
        epoch: Epoch,
        outcome: &Outcome,
    ) {
        let now = self.clock.steady_ms();
        if !self.provider.is_reading_list(started_at) {
            return;
        }
        if self.scheduler_in_epoch(epoch).is_none() {
            return self.provider.restart_machine_list(now);
        }
        let outbox = &mut self.outbox;
        let machines = self
            .provider
            .on_machine_list_page(outbox, epoch, outcome, now);
        if let (Some(machines), Some(scheduler)) = (machines, &mut self.scheduler) {
            scheduler.on_machine_list(&machines, started_at, now);
        }
    }

    /// Provisions machines, or requests it from the holder of that duty if duties are active.
    pub(super) fn provision(&mut self, idempotency_key: String, request: &MachineRequest) {
        if self.are_duties_active() {
            return self.request_scale_out(idempotency_key, request);
        }
        if !self.acquire_provider_call() {
            let now = self.clock.steady_ms();
            if let Some(scheduler) = &mut self.scheduler {
                scheduler.on_provisioning_postponed(&idempotency_key, now);
            }
            return;
        }
        info!(
            request = idempotency_key,
            kind = ?request.kind,
            count = request.count,
            "provisioning machines"
        );
        let call = ProviderClient::provision_call(&idempotency_key, request, None);
        let pending = PendingCall::Provision {
            idempotency_key,
            epoch: self.epoch(),
        };
        self.outbox.call_cloud(pending, call);
    }

    /// Terminates machines, or requests it from the holder of that duty if duties are active.
    pub(super) fn terminate(&mut self, machines: Vec<String>) {
        if self.are_duties_active() {
            return self.request_scale_in(machines);
        }
        if !self.acquire_provider_call() {
            let now = self.clock.steady_ms();
            if let Some(scheduler) = &mut self.scheduler {
                scheduler.on_termination_postponed(&machines, now);
            }
            return;
        }
        let call = ProviderClient::terminate_call(&machines, None);
        let pending = PendingCall::Terminate {
            machines,
            epoch: self.epoch(),
        };
        self.outbox.call_cloud(pending, call);
    }

    /// Returns whether machines may be provisioned or terminated now, and uses up one call of
    /// the provider's rate limit if so. They may not while the leadership is uncertain: a
    /// partition could delay the request until it affects the machines of a successor.
    fn acquire_provider_call(&mut self) -> bool {
        let now = self.clock.steady_ms();
        self.leadership.holds_valid_lease(now) && self.provider.try_acquire_call(now)
    }

    pub(super) fn on_provisioning_outcome(
        &mut self,
        idempotency_key: &str,
        epoch: Epoch,
        outcome: &Outcome,
    ) {
        let now = self.clock.steady_ms();
        let Some(scheduler) = self.scheduler_in_epoch(epoch) else {
            return;
        };
        let result = match responses::provisioned_machines(outcome) {
            Ok(names) => ProvisioningOutcome::Provisioned(names),
            Err(ProviderError::NoCapacity) => ProvisioningOutcome::Unavailable,
            Err(ProviderError::Malformed) => {
                warn!(
                    request = idempotency_key,
                    "cloud provider rejected a provisioning request as malformed"
                );
                ProvisioningOutcome::Unavailable
            }
            Err(ProviderError::Fenced | ProviderError::Throttled | ProviderError::Unknown) => {
                ProvisioningOutcome::Failed
            }
        };
        scheduler.on_provisioning_outcome(idempotency_key, result, now);
    }

    pub(super) fn on_termination_outcome(
        &mut self,
        machines: &[String],
        epoch: Epoch,
        outcome: &Outcome,
    ) {
        let now = self.clock.steady_ms();
        let result = match responses::termination(outcome) {
            Ok(()) => TerminationOutcome::Confirmed,
            Err(_) => TerminationOutcome::Unconfirmed,
        };
        if let Some(scheduler) = self.scheduler_in_epoch(epoch) {
            scheduler.on_termination_outcome(machines, result, now);
        }
    }
}
