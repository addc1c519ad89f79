//! The purpose of each outgoing call, by which its outcome is routed.

use std::sync::Arc;

use super::cache_reads::{ChangesCall, KeyRange};
use super::dependencies::DependencyRecord;
use super::duties::{DutyLeaseCall, SentOrder};
use crate::epoch::Epoch;
use crate::leader_lease::LeaseRequest;
use crate::machine::TaskAttempt;

/// The purpose of a call in flight.
#[derive(Debug)]
pub(super) enum PendingCall {
    /// A page of keys of the initial load.
    LoadPage(KeyRange),
    /// Changes since a revision.
    Changes(ChangesCall),
    /// A transaction of the write queue.
    Transaction,
    /// A request of the leader lease other than the revocation of its grant.
    Lease(LeaseRequest),
    /// The revocation of a grant; its outcome is ignored.
    Revoke,
    /// A request for the lease of a duty.
    DutyLease(DutyLeaseCall),
    /// An order that this controller sent as a duty's holder.
    DutyOrder(SentOrder),
    /// The final state of a job that a user queries.
    ReadFinalState { request_id: u64 },
    /// A record of a job that a submission names as a dependency.
    ReadDependency {
        request_id: u64,
        dependency: String,
        record: DependencyRecord,
    },
    /// The final state of a job on which a live job depends.
    LookUpDependency { dependency: String },
    /// The cloud provider's machine types.
    MachineTypes,
    /// A page of the cloud provider's list of machines.
    MachineList { started_at: u64, epoch: Epoch },
    /// A provisioning request.
    Provision {
        idempotency_key: String,
        epoch: Epoch,
    },
    /// A request to terminate machines.
    Terminate { machines: Vec<String>, epoch: Epoch },
    /// Commands to an agent, or a request for its status.
    Agent(AgentCall),
    /// The exchange of statuses with another controller.
    PeerStatus { member: String, sent_at: u64 },
    /// A user's request forwarded to another controller.
    Forward { request_id: u64 },
}

/// A call to an agent.
#[derive(Debug)]
pub(super) struct AgentCall {
    pub machine: Arc<str>,
    /// The epoch of the leader that made the call.
    pub epoch: Epoch,
    /// The task starts among the commands sent.
    pub starts: Vec<TaskAttempt>,
}

impl PendingCall {
    /// Whether the outcome counts as evidence of the store's reachability.
    pub(super) fn is_store_call(&self) -> bool {
        matches!(
            self,
            PendingCall::LoadPage(_)
                | PendingCall::Changes(_)
                | PendingCall::Transaction
                | PendingCall::Lease(_)
                | PendingCall::DutyLease(_)
                | PendingCall::ReadFinalState { .. }
                | PendingCall::ReadDependency { .. }
                | PendingCall::LookUpDependency { .. }
        )
    }
}
