//! Delivery of messages to the store, the provider and the controllers.

use duty_lease::OrderOutcome;
use rand::Rng;

use super::network::{Answer, Message, Process, StoreOperation, StoreRequest, StoreResult};
use super::snapshot::Snapshot;
use super::{World, TTL_MS};
use crate::checker::Event;
use crate::provider::ProviderOrder;
use crate::store::{keys, Transaction, TransactionOutcome, Write};

/// Network delay of the provider's answers.
const PROVIDER_DELAY_MS: u64 = 20;
/// Time without an answer of the provider after which the outcome is unknown.
const PROVIDER_TIMEOUT_MS: u64 = TTL_MS / 4;

impl World {
    pub(super) fn deliver(&mut self, message: Message) {
        match message {
            Message::ToStore {
                from,
                request,
                answer,
            } => self.deliver_to_store(from, request, answer),
            Message::ToProvider { from, order } => self.deliver_to_provider(from, order),
            Message::FromStore { to, reply, result } => {
                if self.is_running(to) {
                    self.controllers[to.controller].on_store_result(reply, result, self.now);
                }
            }
            Message::FromProvider { to, id, outcome } => {
                if self.is_running(to) {
                    self.controllers[to.controller].on_order_outcome(id, outcome, self.now);
                }
            }
        }
    }

    /// Whether a process receives messages. A real paused process would receive them when it
    /// resumes; here they are lost, which controllers must tolerate as well.
    fn is_running(&self, process: Process) -> bool {
        let controller = &self.controllers[process.controller];
        controller.process() == process && controller.is_running(self.now)
    }

    fn deliver_to_store(&mut self, from: Process, request: StoreRequest, answer: Answer) {
        let StoreRequest { reply, operation } = request;
        let refuses = self.faults.store_refuses == Some(from.controller);
        let result = if self.faults.is_store_down || refuses {
            StoreResult::Refused
        } else {
            self.execute(operation)
        };
        if answer == Answer::Lost {
            return;
        }
        let delay_ms = self.store_delay_ms();
        let to = from;
        self.send(delay_ms, Message::FromStore { to, reply, result });
    }

    fn execute(&mut self, operation: StoreOperation) -> StoreResult {
        match operation {
            StoreOperation::Read => StoreResult::Snapshot(Box::new(Snapshot::read(&self.store))),
            StoreOperation::Commit(transaction) => {
                StoreResult::Committed(self.commit(&transaction))
            }
            StoreOperation::Lease(duty, request) => {
                let response = self.store.handle_lease_request(duty, request, self.now);
                StoreResult::Lease(response)
            }
        }
    }

    /// Commits a transaction, and adds the tasks that it places or ends to the history.
    fn commit(&mut self, transaction: &Transaction) -> TransactionOutcome {
        let outcome = self.store.commit(transaction);
        if matches!(outcome, TransactionOutcome::Written(_)) {
            for event in transaction.writes.iter().filter_map(task_event) {
                self.history.add(self.now, event);
            }
        }
        outcome
    }

    fn deliver_to_provider(&mut self, from: Process, order: ProviderOrder) {
        let is_lost = self.rng.random_range(0..100) < self.faults.provider_lost_percent;
        if is_lost {
            return self.lose_order(from, order);
        }
        let outcome = self.provider.execute(&order, self.now, &mut self.history);
        let answer = Message::FromProvider {
            to: from,
            id: order.id,
            outcome,
        };
        self.send(PROVIDER_DELAY_MS, answer);
    }

    /// The order gets no answer; half of such orders are executed late, up to four times to live
    /// later.
    fn lose_order(&mut self, from: Process, order: ProviderOrder) {
        let answer = Message::FromProvider {
            to: from,
            id: order.id,
            outcome: OrderOutcome::Unknown,
        };
        self.send(PROVIDER_TIMEOUT_MS, answer);
        if self.rng.random_bool(0.5) {
            let late = Message::ToProvider {
                from: Process::ended(from.controller),
                order,
            };
            let delay_ms = self.rng.random_range(TTL_MS / 2..4 * TTL_MS);
            self.send(delay_ms, late);
        }
    }
}

fn task_event(write: &Write) -> Option<Event> {
    match write {
        Write::Set { key, .. } => {
            let machine = key.strip_prefix(keys::TASKS)?;
            Some(Event::TaskPlaced(machine.to_string()))
        }
        Write::Delete { key } => {
            let machine = key.strip_prefix(keys::TASKS)?;
            Some(Event::TaskEnded(machine.to_string()))
        }
    }
}
