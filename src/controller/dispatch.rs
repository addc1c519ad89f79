//! Routes events: requests to the module that handles them, outcomes of calls to the module
//! that made the call.

use prost::Message;

use super::calls::PendingCall;
use super::http::HttpResponse;
use super::user_types::{Caller, RequestOrigin};
use super::Controller;
use crate::net::{status, Listener, Outcome, Request};
use crate::peer_protocol::{ForwardedRequest, PeerStatus, FORWARD_PATH, STATUS_PATH};
use crate::wire;

impl Controller {
    pub(super) fn on_request(&mut self, connection: usize, listener: Listener, request: Request) {
        self.stats.count_request(listener, &request.path);
        match listener {
            Listener::Peers => self.on_peer_request(connection, request),
            Listener::Front => self.on_front_request(connection, request),
        }
    }

    fn on_peer_request(&mut self, connection: usize, request: Request) {
        match request.path.as_str() {
            STATUS_PATH => match PeerStatus::decode(request.body.as_slice()) {
                Ok(status) => self.on_status_request(connection, status),
                Err(_) => self.respond_empty(connection, status::BAD_REQUEST),
            },
            FORWARD_PATH => match ForwardedRequest::decode(request.body.as_slice()) {
                Ok(forwarded) => {
                    let origin = RequestOrigin::Peer;
                    let caller = Caller { connection, origin };
                    let ForwardedRequest { method, path, body } = forwarded;
                    self.on_user_request(caller, &method, &path, body);
                }
                Err(_) => self.respond_empty(connection, status::BAD_REQUEST),
            },
            _ => self.respond_empty(connection, status::NOT_FOUND),
        }
    }

    fn on_front_request(&mut self, connection: usize, request: Request) {
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", wire::HEARTBEAT_PATH) => self.on_heartbeat(connection, &request.body),
            ("GET", wire::HEALTH_PATH) if self.is_healthy() => {
                self.respond_empty(connection, status::OK);
            }
            ("GET", wire::HEALTH_PATH) => self.respond_empty(connection, status::UNAVAILABLE),
            (_, wire::HEARTBEAT_PATH | wire::HEALTH_PATH) => {
                self.respond_empty(connection, status::METHOD_NOT_ALLOWED);
            }
            _ => {
                let origin = RequestOrigin::User;
                let caller = Caller { connection, origin };
                let Request { method, path, body } = request;
                self.on_user_request(caller, &method, &path, body);
            }
        }
    }

    fn respond_empty(&mut self, connection: usize, status: u16) {
        self.outbox.respond(connection, HttpResponse::empty(status));
    }

    pub(super) fn on_reply(&mut self, tag: u64, call: PendingCall, outcome: Outcome) {
        if call.is_store_call() {
            let now = self.clock.steady_ms();
            self.store.record_outcome(&outcome, now);
        }
        match call {
            PendingCall::LoadPage(range) => self.on_page(range, &outcome),
            PendingCall::Changes(call) => self.on_changes(call, &outcome),
            PendingCall::Transaction => self.on_transaction_outcome(tag, &outcome),
            PendingCall::Lease(request) => self.on_lease_outcome(&request, &outcome),
            PendingCall::Revoke => {}
            PendingCall::DutyLease(call) => self.on_duty_lease_outcome(&call, &outcome),
            PendingCall::DutyOrder(sent) => self.on_duty_order_reply(sent, &outcome),
            PendingCall::ReadFinalState { request_id } => self.on_final_state(request_id, &outcome),
            PendingCall::ReadDependency {
                request_id,
                dependency,
                record,
            } => self.on_dependency_read(request_id, dependency, record, &outcome),
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
            PendingCall::Agent(call) => self.on_agent_outcome(&call, &outcome),
            PendingCall::PeerStatus { member, sent_at } => {
                self.on_status_outcome(&member, sent_at, &outcome);
            }
            PendingCall::Forward { request_id } => self.on_forward_outcome(request_id, &outcome),
        }
    }
}
