//! What goes out: responses to requests that were received, and calls to others. Owns the
//! table of calls in flight, in which each tag occurs once.

use std::collections::HashMap;
use std::net::SocketAddr;

use super::calls::PendingCall;
use super::http::{HttpCall, HttpResponse};
use crate::net::Action;
use crate::settings::Endpoints;

/// Calls and responses to calls since the statistics were last taken.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct CallStats {
    pub replies: u64,
    pub store_calls: u64,
    pub cloud_calls: u64,
    pub agent_calls: u64,
    pub peer_calls: u64,
}

/// What goes out, and what the calls in flight are for.
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

    /// The tag of the next call.
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
        self.actions.push(Action::Answer {
            connection,
            status: response.status,
            retry_after: response.retry_after_s,
            body: response.body,
        });
    }

    /// A call has its outcome. Returns what it was for, or `None` if that is not known.
    pub(super) fn complete(&mut self, tag: u64) -> Option<PendingCall> {
        let pending = self.in_flight.remove(&tag)?;
        self.stats.replies += 1;
        Some(pending)
    }

    /// What is to be done since the last call.
    pub(super) fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// The statistics since the last call.
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
