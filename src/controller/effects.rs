//! Executes the scheduler's effects and processes the responses of agents.

use std::net::SocketAddr;
use std::sync::Arc;

use tracing::trace;

use super::calls::{AgentCall, PendingCall};
use super::commits::{JobWrite, WriteOwner};
use super::http::HttpCall;
use super::provider_client::MachineRequest;
use super::responses::AgentResponse;
use super::{Controller, StepDownReason};
use crate::net::Outcome;
use crate::scheduler::{DirectStart, Effect, StatusOrigin};
use crate::wire::Incarnation;
use crate::wire::{self, Command, Condition, Write};
use crate::write_queue::{WriteClass, WriteRequest};

/// Timeout for a call to an agent.
const AGENT_TIMEOUT_MS: u64 = 2000;

impl Controller {
    pub(super) fn execute_effect(&mut self, effect: Effect) {
        match effect {
            Effect::Write {
                job,
                change,
                final_state,
                conditions,
                writes,
            } => {
                let write = JobWrite {
                    job,
                    change,
                    final_state,
                    epoch: self.epoch(),
                };
                self.write_job(write, conditions, writes);
            }
            Effect::Commands {
                machine,
                address,
                incarnation,
                commands,
                starts,
            } => {
                let call = self.commands_call(&machine, incarnation, commands);
                self.call_agent(machine, address, starts, call);
            }
            Effect::Inspect { machine, address } => {
                let call = HttpCall::get(wire::INSPECT_PATH, AGENT_TIMEOUT_MS);
                self.call_agent(machine, address, vec![], call);
            }
            Effect::Provision {
                idempotency_key,
                kind,
                count,
            } => self.provision(idempotency_key, &MachineRequest { kind, count }),
            Effect::Terminate { machines } => self.terminate(machines),
        }
    }

    fn write_job(&mut self, write: JobWrite, conditions: Vec<Condition>, writes: Vec<Write>) {
        self.store.push_write(WriteRequest {
            owner: WriteOwner::Job(write),
            conditions,
            writes,
            class: WriteClass::Leader,
        });
    }

    fn commands_call(
        &self,
        machine: &str,
        incarnation: Incarnation,
        commands: Vec<Command>,
    ) -> HttpCall {
        trace!(machine, ?commands, "sending commands");
        let body = wire::encode(&wire::CommandBatch {
            epoch: self.epoch(),
            incarnation: Some(incarnation),
            commands,
        });
        HttpCall::post(wire::COMMANDS_PATH, body, AGENT_TIMEOUT_MS)
    }

    fn call_agent(
        &mut self,
        machine: Arc<str>,
        address: SocketAddr,
        starts: Vec<DirectStart>,
        call: HttpCall,
    ) {
        let pending = PendingCall::Agent(AgentCall {
            machine,
            epoch: self.epoch(),
            starts,
        });
        self.outbox.call(pending, address, call);
    }

    pub(super) fn on_agent_outcome(&mut self, call: &AgentCall, outcome: &Outcome) {
        let now = self.clock.steady_ms();
        let Some(scheduler) = self.scheduler_in_epoch(call.epoch) else {
            return;
        };
        let response = AgentResponse::new(outcome, &call.machine);
        if let Some(failure) = response.failure {
            scheduler.on_start_failed(&call.machine, &call.starts, failure, now);
        }
        let Some(agent_status) = response.status else {
            return;
        };
        if agent_status.epoch > call.epoch {
            return self.resign(StepDownReason::HigherEpochSeen, 0);
        }
        scheduler.on_agent_status(&agent_status, StatusOrigin::DirectResponse, now);
    }
}
