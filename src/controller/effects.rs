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
use crate::machine::TaskAttempt;
use crate::net::Outcome;
use crate::scheduler::{Effect, StatusOrigin};
use crate::wire::{self, CommandBatch, Condition, Write};
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
                epoch,
                incarnation,
                commands,
                starts,
            } => {
                trace!(%machine, ?commands, "sending commands");
                let call = commands_call(&CommandBatch {
                    epoch,
                    incarnation: Some(incarnation),
                    commands,
                });
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

    fn call_agent(
        &mut self,
        machine: Arc<str>,
        address: SocketAddr,
        starts: Vec<TaskAttempt>,
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
        if scheduler.is_fenced_by(agent_status.epoch) {
            return self.resign(StepDownReason::HigherEpochSeen, 0);
        }
        scheduler.on_agent_status(&agent_status, StatusOrigin::DirectResponse, now);
    }
}

/// The call that sends commands directly to an agent.
fn commands_call(batch: &CommandBatch) -> HttpCall {
    HttpCall::post(wire::COMMANDS_PATH, wire::encode(batch), AGENT_TIMEOUT_MS)
}
