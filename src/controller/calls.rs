//! What the calls to others are for, by which their outcomes are told apart.

use std::sync::Arc;

use super::dependencies::DependencyRecord;
use super::duties::{DutyLeaseCall, SentOrder};
use super::store_sync::{ChangesCall, KeyRange};
use crate::epoch::Epoch;
use crate::leader_lease::LeaseRequest;
use crate::scheduler::DirectStart;

/// What a call was for.
#[derive(Debug)]
pub(super) enum PendingCall {
    /// A page of keys, when everything is read.
    LoadPage(KeyRange),
    /// Changes since a revision.
    Changes(ChangesCall),
    /// A transaction of the write queue.
    Transaction,
    /// The election or renewal of the lease.
    Lease(LeaseRequest),
    /// The end of a grant.
    Revoke,
    /// A request for the lease of a duty.
    DutyLease(DutyLeaseCall),
    /// An order of a duty's holder.
    DutyOrder(SentOrder),
    /// The final state of a job that a user asks about.
    ReadFinal { user: u64 },
    /// A record of a job that a submission names.
    ReadDependency {
        user: u64,
        dependency: String,
        record: DependencyRecord,
    },
    /// The final state of a job that a live one depends on.
    LookUpDependency { dependency: String },
    /// The cloud's machine types.
    MachineTypes,
    /// A page of the cloud's list.
    MachineList { started_at: u64, epoch: Epoch },
    /// A provisioning request.
    Provision {
        idempotency_key: String,
        epoch: Epoch,
    },
    /// A termination.
    Terminate { machines: Vec<String>, epoch: Epoch },
    /// Commands to an agent, or a request for its status.
    Agent(AgentCall),
    /// Another controller's status.
    PeerStatus { member: String, sent_at: u64 },
    /// A user's request that another controller is to decide.
    Forward { user: u64 },
}

/// A call to an agent.
#[derive(Debug)]
pub(super) struct AgentCall {
    pub machine: Arc<str>,
    /// The epoch of the leader that made it.
    pub epoch: Epoch,
    /// The starts among its commands.
    pub starts: Vec<DirectStart>,
}

impl PendingCall {
    /// Whether the outcome shows if the store is reachable.
    pub(super) fn is_store_call(&self) -> bool {
        matches!(
            self,
            PendingCall::LoadPage(_)
                | PendingCall::Changes(_)
                | PendingCall::Transaction
                | PendingCall::Lease(_)
                | PendingCall::DutyLease(_)
                | PendingCall::ReadFinal { .. }
                | PendingCall::ReadDependency { .. }
                | PendingCall::LookUpDependency { .. }
        )
    }
}
