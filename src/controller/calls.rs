//! Calls to others, and what their outcomes mean.

use std::sync::Arc;

use duty_lease::Duty;

use super::clock::EventTime;
use super::dependencies::DependencyRecord;
use super::duties::SentOrder;
use super::responses::{self, AgentResponse};
use super::store_sync::ChangeRead;
use super::{Controller, StepDownReason};
use crate::leader_lease::LeaseRequest;
use crate::net::Outcome;
use crate::peer_protocol::PeerStatus;
use crate::scheduler::{DirectStart, StatusOrigin};

/// What a call was for.
#[derive(Debug)]
pub(super) enum PendingCall {
    /// The keys of leadership and versions.
    LoadLeadership,
    /// A page of job records.
    LoadJobs,
    /// Changes since a revision, as they come.
    Watch { from: u64, asked: EventTime },
    /// Changes since a revision, at once.
    ReadChanges { from: u64, asked: EventTime },
    /// A transaction of the write queue.
    Transaction,
    /// The election or renewal of the lease.
    Lease(LeaseRequest),
    /// The end of a grant.
    Revoke,
    /// A page of the records of duties.
    LoadDuties,
    /// A request for the lease of a duty, by its number.
    DutyLease {
        duty: Duty,
        id: u64,
        request: duty_lease::LeaseRequest,
    },
    /// An order of a duty's holder.
    DutyOrder(SentOrder),
    /// How a job ended that a user asks about.
    ReadFinal { user: u64 },
    /// The record of a job that a submission names, or how it ended.
    ReadDependency {
        user: u64,
        dependency: String,
        record: DependencyRecord,
    },
    /// How a job ended that a live one depends on.
    LookUpDependency { dependency: String },
    /// The cloud's machine types.
    MachineTypes,
    /// A page of the cloud's list.
    MachineList { started_at: u64, epoch: u64 },
    /// A provisioning request.
    Provision { idempotency_key: String, epoch: u64 },
    /// A deletion.
    Terminate { machines: Vec<String>, epoch: u64 },
    /// Commands to an agent, or a question.
    Agent {
        machine: Arc<str>,
        epoch: u64,
        starts: Vec<DirectStart>,
    },
    /// Another controller's status.
    PeerStatus { member: String, sent_at: u64 },
    /// A user's request that another controller is to decide.
    Forward { user: u64 },
}

impl PendingCall {
    fn is_store_call(&self) -> bool {
        matches!(
            self,
            PendingCall::LoadLeadership
                | PendingCall::LoadJobs
                | PendingCall::Watch { .. }
                | PendingCall::ReadChanges { .. }
                | PendingCall::Transaction
                | PendingCall::Lease(_)
                | PendingCall::LoadDuties
                | PendingCall::DutyLease { .. }
                | PendingCall::ReadFinal { .. }
                | PendingCall::ReadDependency { .. }
                | PendingCall::LookUpDependency { .. }
        )
    }
}

impl Controller {
    pub(super) fn on_reply(&mut self, tag: u64, call: PendingCall, outcome: Outcome) {
        if call.is_store_call() {
            let now = self.clock.steady_ms();
            self.store.record_outcome(&outcome, now);
        }
        match call {
            PendingCall::LoadLeadership => self.on_leadership_page(&outcome),
            PendingCall::LoadJobs => self.on_jobs_page(&outcome),
            PendingCall::Watch { from, asked } => {
                self.store_sync.watching = false;
                self.on_changes(&outcome, from, asked, ChangeRead::Watch);
            }
            PendingCall::ReadChanges { from, asked } => {
                self.store_sync.reading = false;
                self.on_changes(&outcome, from, asked, ChangeRead::ForWaitingUsers);
            }
            PendingCall::Transaction => {
                self.on_store_refusal(&outcome);
                for (owner, result) in self.store.on_transaction_outcome(tag, &outcome) {
                    self.on_commit(owner, &result);
                }
            }
            PendingCall::Lease(request) => self.on_lease_outcome(&request, &outcome),
            PendingCall::Revoke => {}
            PendingCall::LoadDuties => self.on_duties_page(&outcome),
            PendingCall::DutyLease { duty, id, request } => {
                self.on_duty_lease_outcome(duty, id, &request, &outcome);
            }
            PendingCall::DutyOrder(sent) => self.on_duty_order_reply(sent, &outcome),
            PendingCall::ReadFinal { user } => self.on_final_read(user, &outcome),
            PendingCall::ReadDependency {
                user,
                dependency,
                record,
            } => self.on_dependency_read(user, dependency, record, &outcome),
            PendingCall::LookUpDependency { dependency } => {
                self.on_dependency_lookup(&dependency, &outcome);
            }
            PendingCall::MachineTypes => self.on_machine_types(&outcome),
            PendingCall::MachineList { started_at, epoch } => {
                self.on_machine_list_page(started_at, epoch, &outcome);
            }
            PendingCall::Provision {
                idempotency_key,
                epoch,
            } => self.on_provisioning_outcome(&idempotency_key, epoch, &outcome),
            PendingCall::Terminate { machines, epoch } => {
                self.on_termination_outcome(&machines, epoch, &outcome);
            }
            PendingCall::Agent {
                machine,
                epoch,
                starts,
            } => self.on_agent_outcome(&machine, epoch, &starts, &outcome),
            PendingCall::PeerStatus { member, sent_at } => {
                self.on_status_outcome(&member, sent_at, &outcome);
            }
            PendingCall::Forward { user } => self.on_forward_outcome(user, &outcome),
        }
    }

    fn on_agent_outcome(
        &mut self,
        machine: &str,
        epoch: u64,
        starts: &[DirectStart],
        outcome: &Outcome,
    ) {
        let now = self.clock.steady_ms();
        let Some(scheduler) = self.scheduler_of(epoch) else {
            return;
        };
        let response = AgentResponse::new(outcome, machine);
        if let Some(failure) = response.failure {
            scheduler.on_start_failed(machine, starts, failure, now);
        }
        let Some(agent_status) = response.status else {
            return;
        };
        if agent_status.epoch > epoch {
            return self.resign(StepDownReason::HigherEpochSeen, 0);
        }
        scheduler.on_agent_status(&agent_status, StatusOrigin::DirectResponse, now);
    }

    fn on_status_outcome(&mut self, member: &str, sent_at: u64, outcome: &Outcome) {
        if let Some(status) = responses::decode_peer::<PeerStatus>(outcome) {
            self.sync_cancellations(member, &status, sent_at);
            self.on_peer_status(member, status);
        }
    }
}
