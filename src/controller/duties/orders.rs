//! A holder's orders: recorded, sent to the cloud, completed.

use std::collections::HashSet;

use duty_lease::{
    Duty, Order, OrderId, OrderOutcome, OrderRequest, OrderResult, RecordOutcome, Token,
};
use tracing::{error, info, warn};

use super::machine_orders::MachineOrder;
use super::{Controller, DutyWrite, WritePurpose};
use crate::controller::calls::PendingCall;
use crate::controller::commits::WriteOwner;
use crate::controller::provider_client::ProviderClient;
use crate::controller::responses::{self, ProviderError};
use crate::duties::{refusal_key, OrderKey, OrderPhase, OrderRecord, RefusalRecord};
use crate::net::Outcome;
use crate::settings::DutyFence;
use crate::termination_check::{TerminationCheck, TerminationVerdict};
use crate::wire::{FencingToken, Write};
use crate::write_queue::{CommitResult, WriteClass, WriteRequest};

/// The name under which an order goes to the cloud. It never equals a leader's provisioning request,
/// which ends in a dash and a number.
fn idempotency_key(id: OrderId) -> String {
    format!("{}.{}.{}", id.duty.name(), id.token, id.sequence)
}

/// What an order asks the cloud for.
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
    /// Takes a holder's orders further.
    pub(super) fn run_orders(&mut self, duty: Duty) {
        if !matches!(duty, Duty::Rent | Duty::Return) || !self.holds(duty) {
            return;
        }
        self.sync_order_book(duty);
        let now = self.clock.steady_ms();
        let Some(runtime) = self.duties.runtime(duty) else {
            return;
        };
        let order_token = runtime.lease.order_token(now);
        for request in runtime.orders.tick(order_token, now) {
            self.execute_order_request(duty, request);
        }
    }

    /// Shows the order book the records, if they have changed.
    fn sync_order_book(&mut self, duty: Duty) {
        let generation = self.watch_cache.duties.generation();
        let Some(runtime) = self.duties.runtime(duty) else {
            return;
        };
        if runtime.orders_generation == Some(generation) {
            return;
        }
        runtime.orders_generation = Some(generation);
        let intents = self.watch_cache.duties.intents(duty);
        let mut requests = self.watch_cache.duties.requests(duty);
        let all = requests.len();
        let revision = self.watch_cache.revision;
        let depends_on_occupied =
            |request| TerminationCheck::new(request, revision).needs_occupied_machines();
        let occupied = if requests.iter().any(depends_on_occupied) {
            self.occupied_machines()
        } else {
            HashSet::new()
        };
        requests.retain(|request| {
            let verdict = TerminationCheck::new(request, revision).verdict(&occupied);
            verdict == TerminationVerdict::Allowed
        });
        if let Some(runtime) = self.duties.runtime(duty) {
            if requests.len() < all {
                // What was left out is looked at again, even if nothing else changes.
                runtime.orders_generation = None;
            }
            runtime.orders.on_view(&intents, &requests);
        }
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
                // Of these nothing but the end is to be told.
                if matches!(result, OrderResult::Deleted | OrderResult::NoCapacity) {
                    let changes = vec![(key, None)];
                    self.write_as_holder(duty, DutyWrite { purpose, changes });
                } else {
                    self.write_phase(purpose, key, OrderPhase::Completed(result));
                }
            }
        }
    }

    /// Takes an order's record to its next phase.
    pub(super) fn write_phase(&mut self, purpose: WritePurpose, key: OrderKey, phase: OrderPhase) {
        let duty = key.duty;
        let Some((record, _)) = self.watch_cache.duties.order(&key) else {
            // It has gone since: the order book learns of it as of a change that failed.
            return self.on_duty_commit(
                DutyWrite {
                    purpose,
                    changes: vec![(key, None)],
                },
                &CommitResult::Conflict {
                    failed: vec![],
                    revision: self.watch_cache.revision,
                },
            );
        };
        let record = OrderRecord {
            phase,
            ..record.clone()
        };
        let changes = vec![(key, Some(record))];
        self.write_as_holder(duty, DutyWrite { purpose, changes });
    }

    fn send_order(&mut self, id: OrderId, order: &Order, token: Token) {
        let now = self.clock.steady_ms();
        if !self.provider.try_order(now) {
            return self.on_order_outcome(id, OrderOutcome::Unknown);
        }
        let fence = self.duties.control.as_ref().map(|c| c.settings.fence);
        let fencing = (fence == Some(DutyFence::ProviderToken)).then_some(FencingToken {
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

    /// The cloud has answered an order, or there was no answer.
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
                error!(order = %id, "malformed order");
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
        if runtime.orders.on_sent(id, outcome, now) {
            runtime.lease.on_fenced(now);
            self.forward_lease_events(id.duty);
        }
    }

    /// Leaves on record that the provider refused an order, for operators.
    fn record_refusal(&mut self, sent: SentOrder) {
        let SentOrder { id, token, .. } = sent;
        let member = self.settings.member.clone();
        warn!(duty = id.duty.name(), token, member, order = %id, "refused: a higher token was seen");
        let refusal = RefusalRecord {
            member,
            token,
            order: id.to_string(),
            at_ms: self.clock.wall_ms(),
        };
        self.store.push_write(WriteRequest {
            owner: WriteOwner::Duty(Box::new(DutyWrite {
                purpose: WritePurpose::Refusal,
                changes: vec![],
            })),
            conditions: vec![],
            writes: vec![Write::serialized(refusal_key(id.duty), &refusal)],
            class: WriteClass::Duty,
        });
    }

    pub(super) fn on_order_recorded(&mut self, id: OrderId, result: &CommitResult) {
        let now = self.clock.steady_ms();
        if let Some(runtime) = self.duties.runtime(id.duty) {
            runtime.orders.on_recorded(id, record_outcome(result), now);
        }
    }

    pub(super) fn on_order_completed(&mut self, id: OrderId, result: &CommitResult) {
        let now = self.clock.steady_ms();
        if let Some(runtime) = self.duties.runtime(id.duty) {
            runtime.orders.on_completed(id, record_outcome(result), now);
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
