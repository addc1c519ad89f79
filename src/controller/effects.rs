//! Carrying out what the scheduler wants done.

use tracing::{info, trace};

use super::calls::PendingCall;
use super::http::HttpCall;
use super::{Controller, WriteOwner};
use crate::cloud::MachineKind;
use crate::scheduler::Effect;
use crate::wire;
use crate::write_queue::{WriteClass, WriteRequest};

/// Longest times for calls to agents and to the cloud.
const AGENT_TIMEOUT_MS: u64 = 2000;
pub(super) const CLOUD_TIMEOUT_MS: u64 = 4000;

impl Controller {
    pub(super) fn execute_effect(&mut self, effect: Effect) {
        let epoch = self.epoch();
        match effect {
            Effect::Write {
                job,
                change,
                final_state,
                conditions,
                writes,
            } => self.writes.push(WriteRequest {
                owner: WriteOwner::Job {
                    id: job,
                    change,
                    final_state,
                    epoch,
                },
                conditions,
                writes,
                class: WriteClass::Leader,
            }),
            Effect::Commands {
                machine,
                address,
                incarnation,
                commands,
                starts,
            } => {
                trace!("{machine} gets commands {commands:?}");
                let body = wire::encode(&wire::CommandBatch {
                    epoch,
                    incarnation: Some(incarnation),
                    commands,
                });
                let pending = PendingCall::Agent {
                    machine,
                    epoch,
                    starts,
                };
                let call = HttpCall::post(wire::COMMANDS_PATH, body, AGENT_TIMEOUT_MS);
                self.outbox.call(pending, address, call);
            }
            Effect::Inspect { machine, address } => {
                let pending = PendingCall::Agent {
                    machine,
                    epoch,
                    starts: vec![],
                };
                let call = HttpCall::get(wire::INSPECT_PATH, AGENT_TIMEOUT_MS);
                self.outbox.call(pending, address, call);
            }
            Effect::Provision {
                idempotency_key,
                kind,
                count,
            } => self.send_provision_request(idempotency_key, &kind, count, epoch),
            Effect::Terminate { machines } => self.send_terminate_request(machines, epoch),
        }
    }

    /// Without certain leadership nothing is rented or deleted: a cut may hold the request
    /// and deliver it to a successor's machines.
    fn may_call_provider(&mut self) -> bool {
        let now = self.clock.steady_ms();
        self.lease.is_certain(now) && self.cloud_requests.try_take(now, 1.0, 0.0)
    }

    fn send_provision_request(
        &mut self,
        idempotency_key: String,
        kind: &MachineKind,
        count: u64,
        epoch: u64,
    ) {
        if self.are_duties_active() {
            return self.request_scale_out(idempotency_key, kind, count);
        }
        if !self.may_call_provider() {
            let now = self.clock.steady_ms();
            if let Some(scheduler) = &mut self.scheduler {
                scheduler.on_provisioning_postponed(&idempotency_key, now);
            }
            return;
        }
        info!("renting {count} of {kind:?} as {idempotency_key}");
        let body = wire::encode(&wire::ProvisionRequest {
            booking: &idempotency_key,
            machine_type: &kind.machine_type,
            zone: &kind.zone,
            spot: kind.spot,
            count,
            fencing: None,
        });
        let call = HttpCall::post(wire::PROVISION_PATH, body, CLOUD_TIMEOUT_MS);
        self.outbox.call_cloud(
            PendingCall::Provision {
                idempotency_key,
                epoch,
            },
            call,
        );
    }

    fn send_terminate_request(&mut self, machines: Vec<String>, epoch: u64) {
        if self.are_duties_active() {
            return self.request_scale_in(machines);
        }
        if !self.may_call_provider() {
            let now = self.clock.steady_ms();
            if let Some(scheduler) = &mut self.scheduler {
                scheduler.on_termination_postponed(&machines, now);
            }
            return;
        }
        let body = wire::encode(&wire::TerminateRequest {
            names: &machines,
            fencing: None,
        });
        let call = HttpCall::post(wire::TERMINATE_PATH, body, CLOUD_TIMEOUT_MS);
        self.outbox
            .call_cloud(PendingCall::Terminate { machines, epoch }, call);
    }
}
