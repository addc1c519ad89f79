//! Sending of the controllers' messages: requests to the store, orders, and the planner's
//! transactions.

use duty_lease::OrderRequest;
use rand::Rng;

use super::network::{Answer, Message, Process, Reply, StoreOperation, StoreRequest};
use super::planner::{Plan, PLANNER};
use super::{transactions, World, TTL_MS};
use crate::provider::ProviderOrder;
use crate::store::{keys, Condition, Transaction};

/// Probability that the planner plans in a step.
const PLAN_PROBABILITY: f64 = 0.1;

impl World {
    pub(super) fn send(&mut self, after_ms: u64, message: Message) {
        self.network.send(self.now + after_ms, message);
    }

    /// Network delay of a message to or from the store.
    pub(super) fn store_delay_ms(&mut self) -> u64 {
        self.rng.random_range(1..30) + self.faults.store_delay_ms
    }

    pub(super) fn send_to_store(&mut self, from: Process, request: StoreRequest) {
        let mut delay_ms = self.store_delay_ms();
        let is_lost = self.rng.random_range(0..100) < self.faults.lost_percent;
        let is_late = is_lost && self.rng.random_bool(0.5);
        if is_late {
            delay_ms += self.rng.random_range(TTL_MS / 4..2 * TTL_MS);
        }
        let answer = if is_lost {
            Answer::Lost
        } else {
            Answer::Delivered
        };
        let message = Message::ToStore {
            from,
            request,
            answer,
        };
        self.send(delay_ms, message);
    }

    fn commit_at_store(&mut self, from: Process, reply: Reply, transaction: Transaction) {
        let operation = StoreOperation::Commit(transaction);
        self.send_to_store(from, StoreRequest { reply, operation });
    }

    pub(super) fn send_order_requests(&mut self, index: usize) {
        let controller = &mut self.controllers[index];
        let from = controller.process();
        for request in controller.due_order_requests(self.now, &mut self.history) {
            self.send_order_request(from, request);
        }
    }

    fn send_order_request(&mut self, from: Process, request: OrderRequest) {
        match request {
            OrderRequest::Send { id, order, token } => {
                let order = ProviderOrder { id, order, token };
                let delay_ms = self.rng.random_range(5..60);
                self.send(delay_ms, Message::ToProvider { from, order });
            }
            OrderRequest::Record {
                intent,
                request,
                guard,
            } => {
                let reply = Reply::Recorded(intent.id);
                let transaction = transactions::record(intent, &request, guard);
                self.commit_at_store(from, reply, transaction);
            }
            OrderRequest::Complete {
                intent,
                result,
                guard,
            } => {
                let reply = Reply::Completed(intent.id);
                let transaction = transactions::complete(&intent, &result, guard);
                self.commit_at_store(from, reply, transaction);
            }
        }
    }

    /// Sends the planner's next transaction, which is committed only while it holds its lease.
    pub(super) fn plan(&mut self, index: usize) {
        let controller = &mut self.controllers[index];
        let Some(lease) = controller.planner_lease(self.now) else {
            return;
        };
        if !self.rng.random_bool(PLAN_PROBABILITY) {
            return;
        }
        let request_suffix = controller.next_plan_suffix(lease.token);
        let plan = Plan {
            view: &controller.view,
            scaling: self.scaling,
            request_suffix,
        };
        let Some(mut transaction) = plan.next(&self.provider, &mut self.rng) else {
            return;
        };
        let guard = Condition::new(keys::lease(PLANNER), lease.version);
        transaction.conditions.push(guard);
        let from = controller.process();
        self.commit_at_store(from, Reply::Nothing, transaction);
    }
}
