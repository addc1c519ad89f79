//! Runs a holder's orders: records them, sends them to the cloud and completes them.

use std::collections::HashSet;

use duty_lease::{
    Duty, FencingStatus, Order, OrderId, OrderOutcome, OrderRequest, OrderResult, RecordOutcome,
    ScalingRequest, Token,
};
use tracing::{error, info, warn};

use super::machine_orders::MachineOrder;
use super::writes::{DutyWrite, RecordChange, WritePurpose};
use super::Controller;
use crate::controller::calls::PendingCall;
use crate::controller::commits::WriteOwner;
use crate::controller::provider_client::ProviderClient;
use crate::controller::responses::{self, ProviderError};
use crate::duties::{refusal_key, OrderKey, OrderPhase, RefusalRecord};
use crate::net::Outcome;
use crate::settings::FencingMode;
use crate::termination_check::{TerminationCheck, TerminationVerdict};
use crate::wire::{FencingToken, Write};
use crate::write_queue::{CommitResult, WriteClass, WriteRequest};

/// The idempotency key of an order at the cloud. It never equals the key of a leader's
/// provisioning request, which ends in a dash and a number.
fn idempotency_key(id: OrderId) -> String {
    format!("{}.{}.{}", id.duty.name(), id.token, id.sequence)
}

/// The kind of a sent order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SentOrderKind {
    Provisioning,
    Termination,
}

/// An order that was sent to the cloud.
#[derive(Debug, Clone, Copy)]
pub(in crate::controller) struct SentOrder {
    id: OrderId,
    /// The sender's token.
    token: Token,
    kind: SentOrderKind,
}

impl Controller {
    /// Executes the requests of the order book that are due, if this controller holds the duty.
    pub(super) fn run_orders(&mut self, duty: Duty) {
        if !matches!(duty, Duty::Rent | Duty::Return) || !self.duties.holds(duty) {
            return;
        }
        self.sync_order_book(duty);
        let now = self.clock.steady_ms();
        let Some(runtime) = self.duties.runtime(duty) else {
            return;
        };
        for request in runtime.due_order_requests(now) {
            self.execute_order_request(duty, request);
        }
    }

    /// Passes the records to the order book if they have changed.
    fn sync_order_book(&mut self, duty: Duty) {
        let generation = self.watch_cache.duties.generation();
        let runtime = self.duties.runtime(duty);
        if !runtime.is_some_and(|runtime| runtime.begin_order_sync(generation)) {
            return;
        }
        let intents = self.watch_cache.duties.intents(duty);
        let requests = self.watch_cache.duties.requests(duty);
        let allowed = self.allowed_requests(&requests);
        if let Some(runtime) = self.duties.runtime(duty) {
            if allowed.len() < requests.len() {
                // The requests that were left out are checked again at the next sync.
                runtime.repeat_order_sync();
            }
            runtime.sync_orders(&intents, &allowed);
        }
    }

    /// The requests that may be carried out according to the records.
    fn allowed_requests(&self, requests: &[ScalingRequest]) -> Vec<ScalingRequest> {
        let revision = self.watch_cache.revision;
        let depends_on_occupied =
            |request| TerminationCheck::new(request, revision).needs_occupied_machines();
        let occupied = if requests.iter().any(depends_on_occupied) {
            self.occupied_machines()
        } else {
            HashSet::new()
        };
        let is_allowed = |request: &&ScalingRequest| {
            let verdict = TerminationCheck::new(request, revision).verdict(&occupied);
            verdict == TerminationVerdict::Allowed
        };
        requests.iter().filter(is_allowed).cloned().collect()
    }

    fn execute_order_request(&mut self, duty: Duty, request: OrderRequest) {
        match request {
            OrderRequest::Record {
                intent, request, ..
            } => {
                let key = OrderKey {
                    duty,
                    request: request.id,
                };
                let phase = OrderPhase::Recorded(intent.id);
                self.write_phase(WritePurpose::Record(intent.id), key, phase);
            }
            OrderRequest::Send { id, order, token } => self.send_order(id, &order, token),
            OrderRequest::Complete { intent, result, .. } => {
                let key = OrderKey {
                    duty,
                    request: intent.request,
                };
                let purpose = WritePurpose::Complete(intent.id);
                // The leader needs no result record for these: it learns from the removal that
                // the order has ended.
                if matches!(result, OrderResult::Deleted | OrderResult::NoCapacity) {
                    let changes = vec![RecordChange::remove(key)];
                    self.write_as_holder(duty, DutyWrite::new(purpose, changes));
                } else {
                    self.write_phase(purpose, key, OrderPhase::Completed(result));
                }
            }
        }
    }

    fn send_order(&mut self, id: OrderId, order: &Order, token: Token) {
        let now = self.clock.steady_ms();
        if !self.provider.try_acquire_call(now) {
            return self.on_order_outcome(id, OrderOutcome::Unknown);
        }
        let fence = self.operator.duties.as_ref().map(|duties| duties.fence);
        let fencing = (fence == Some(FencingMode::ProviderToken)).then_some(FencingToken {
            duty: id.duty.name(),
            token,
        });
        let (kind, call) = match MachineOrder::from(order) {
            MachineOrder::Provision(request) => {
                info!(order = %id, token, ?request, "provisioning machines");
                let key = idempotency_key(id);
                let call = ProviderClient::provision_call(&key, &request, fencing);
                (SentOrderKind::Provisioning, call)
            }
            MachineOrder::Terminate(machines) => {
                info!(order = %id, token, ?machines, "terminating machines");
                let call = ProviderClient::terminate_call(machines, fencing);
                (SentOrderKind::Termination, call)
            }
        };
        let pending = PendingCall::DutyOrder(SentOrder { id, token, kind });
        self.outbox.call_cloud(pending, call);
    }

    /// Handles the cloud's response to an order, or the lack of one.
    pub(in crate::controller) fn on_duty_order_reply(
        &mut self,
        sent: SentOrder,
        outcome: &Outcome,
    ) {
        let SentOrder { id, kind, .. } = sent;
        let result = match kind {
            SentOrderKind::Provisioning => {
                responses::provisioned_machines(outcome).map(OrderResult::Rented)
            }
            SentOrderKind::Termination => {
                responses::termination(outcome).map(|()| OrderResult::Deleted)
            }
        };
        let order_outcome = match result {
            Ok(result) => OrderOutcome::Done(result),
            Err(ProviderError::NoCapacity) => OrderOutcome::Done(OrderResult::NoCapacity),
            Err(ProviderError::Malformed) => {
                error!(order = %id, "cloud rejected the order as malformed; giving it up");
                OrderOutcome::Done(OrderResult::Rejected)
            }
            Err(ProviderError::Fenced) => {
                self.record_refusal(sent);
                OrderOutcome::Fenced
            }
            Err(ProviderError::Throttled) => {
                self.provider.on_throttled();
                OrderOutcome::Unknown
            }
            Err(ProviderError::Unknown) => OrderOutcome::Unknown,
        };
        self.on_order_outcome(id, order_outcome);
    }

    fn on_order_outcome(&mut self, id: OrderId, outcome: OrderOutcome) {
        let now = self.clock.steady_ms();
        let Some(runtime) = self.duties.runtime(id.duty) else {
            return;
        };
        if runtime.on_order_outcome(id, outcome, now) == FencingStatus::Fenced {
            self.process_lease_events(id.duty);
        }
    }

    /// Records for operators that the provider refused an order for its token.
    fn record_refusal(&mut self, sent: SentOrder) {
        let SentOrder { id, token, .. } = sent;
        let member = self.settings.member.clone();
        warn!(
            duty = id.duty.name(),
            token,
            member,
            order = %id,
            "cloud refused the order: it has seen a higher fencing token"
        );
        let refusal = RefusalRecord {
            member,
            token,
            order: id.to_string(),
            at_ms: self.clock.wall_ms(),
        };
        self.store.push_write(WriteRequest {
            owner: WriteOwner::Duty(Box::new(DutyWrite::new(WritePurpose::Refusal, vec![]))),
            conditions: vec![],
            writes: vec![Write::serialized(refusal_key(id.duty), &refusal)],
            class: WriteClass::Duty,
        });
    }

    pub(super) fn on_order_recorded(&mut self, id: OrderId, result: &CommitResult) {
        let now = self.clock.steady_ms();
        if let Some(runtime) = self.duties.runtime(id.duty) {
            runtime.on_order_recorded(id, record_outcome(result), now);
        }
    }

    pub(super) fn on_order_completed(&mut self, id: OrderId, result: &CommitResult) {
        let now = self.clock.steady_ms();
        if let Some(runtime) = self.duties.runtime(id.duty) {
            runtime.on_order_completed(id, record_outcome(result), now);
        }
    }
}

fn record_outcome(result: &CommitResult) -> RecordOutcome {
    match result {
        CommitResult::Committed { revision } => RecordOutcome::Written { version: *revision },
        CommitResult::Conflict { .. } => RecordOutcome::Conflict,
        CommitResult::Rejected | CommitResult::Unknown => RecordOutcome::Unknown,
    }
}
