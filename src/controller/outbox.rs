//! Outgoing responses and calls. Owns the table of calls in flight, keyed by a tag that is never
//! reused.

use std::collections::HashMap;
use std::net::SocketAddr;

use super::calls::PendingCall;
use super::http::{HttpCall, HttpResponse};
use crate::net::Action;
use crate::settings::Endpoints;

/// Counts of outgoing calls and of their replies since the last [`Outbox::take_stats`].
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct CallStats {
    pub replies: u64,
    pub store_calls: u64,
    pub cloud_calls: u64,
    pub agent_calls: u64,
    pub peer_calls: u64,
}

/// Outgoing actions, and the purpose of each call in flight.
#[derive(Debug)]
pub(super) struct Outbox {
    endpoints: Endpoints,
    in_flight: HashMap<u64, PendingCall>,
    next_tag: u64,
    actions: Vec<Action>,
    stats: CallStats,
}

impl Outbox {
    pub(super) fn new(endpoints: Endpoints) -> Outbox {
        Outbox {
            endpoints,
            in_flight: HashMap::new(),
            next_tag: 1,
            actions: vec![],
            stats: CallStats::default(),
        }
    }

    /// The tag that the next call will get.
    pub(super) fn next_tag(&self) -> u64 {
        self.next_tag
    }

    /// Sends a request to an address.
    pub(super) fn call(&mut self, pending: PendingCall, address: SocketAddr, call: HttpCall) {
        self.count_call(&pending);
        let tag = self.next_tag;
        self.next_tag += 1;
        self.in_flight.insert(tag, pending);
        self.actions.push(Action::Call {
            tag,
            address,
            method: call.method,
            path: call.path,
            body: call.body,
            timeout_ms: call.timeout_ms,
        });
    }

    /// Sends a request to the store.
    pub(super) fn call_store(&mut self, pending: PendingCall, call: HttpCall) {
        self.call(pending, self.endpoints.state, call);
    }

    /// Sends a request to the cloud provider.
    pub(super) fn call_cloud(&mut self, pending: PendingCall, call: HttpCall) {
        self.call(pending, self.endpoints.cloud, call);
    }

    /// Responds to a request that was received on a connection.
    pub(super) fn respond(&mut self, connection: usize, response: HttpResponse) {
        self.actions.push(Action::Response {
            connection,
            status: response.status,
            retry_after_s: response.retry_after_s,
            body: response.body,
        });
    }

    /// Removes a call that has its outcome. Returns its purpose, or `None` for an unknown tag.
    pub(super) fn complete(&mut self, tag: u64) -> Option<PendingCall> {
        let pending = self.in_flight.remove(&tag)?;
        self.stats.replies += 1;
        Some(pending)
    }

    /// Takes the actions that were added since the last call.
    pub(super) fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Takes the statistics since the last call.
    pub(super) fn take_stats(&mut self) -> CallStats {
        std::mem::take(&mut self.stats)
    }

    fn count_call(&mut self, call: &PendingCall) {
        let count = match call {
            PendingCall::Agent { .. } => &mut self.stats.agent_calls,
            PendingCall::PeerStatus { .. } | PendingCall::Forward { .. } => {
                &mut self.stats.peer_calls
            }
            PendingCall::MachineTypes
            | PendingCall::MachineList { .. }
            | PendingCall::Provision { .. }
            | PendingCall::Terminate { .. }
            | PendingCall::DutyOrder(_) => &mut self.stats.cloud_calls,
            _ => &mut self.stats.store_calls,
        };
        *count += 1;
    }
}
