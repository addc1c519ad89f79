//! A simulated provider of machines.

use std::collections::{BTreeMap, BTreeSet};

use duty_lease::{Duty, Order, OrderId, OrderOutcome, OrderResult, Token};

use crate::checker::{Event, History};

/// Maximum number of machines that are rented at the same time.
const MACHINES_MAX: usize = 6;

/// How the provider rejects or deduplicates orders.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fence {
    /// It refuses an order whose token is lower than an earlier one of the same duty.
    Token,
    /// It ignores tokens, but executes an order only once per idempotency key.
    IdempotencyKeys,
}

/// An order as sent to the provider.
#[derive(Debug, Clone)]
pub(crate) struct ProviderOrder {
    pub id: OrderId,
    pub order: Order,
    /// The sender's token.
    pub token: Token,
}

/// The machines that were rented under an idempotency key.
#[derive(Debug)]
struct Rental {
    id: OrderId,
    machines: Vec<String>,
}

#[derive(Debug)]
pub(crate) struct Provider {
    pub fence: Fence,
    pub machines: BTreeSet<String>,
    highest_tokens: BTreeMap<Duty, Token>,
    /// By the order's idempotency key.
    rentals: BTreeMap<String, Rental>,
    next_machine: u64,
}

impl Provider {
    pub(crate) fn new(fence: Fence) -> Provider {
        Provider {
            fence,
            machines: BTreeSet::new(),
            highest_tokens: BTreeMap::new(),
            rentals: BTreeMap::new(),
            next_machine: 1,
        }
    }

    pub(crate) fn execute(
        &mut self,
        sent: &ProviderOrder,
        now: u64,
        history: &mut History,
    ) -> OrderOutcome {
        let ProviderOrder { id, order, token } = sent;
        let refused = self.is_fenced(id.duty, *token);
        let event = Event::Order {
            duty: id.duty,
            token: *token,
            refused,
        };
        history.add(now, event);
        if refused {
            return OrderOutcome::Fenced;
        }
        OrderOutcome::Done(match order {
            Order::Rent { count, .. } => self.rent(*id, *count as usize, now, history),
            Order::Delete { machines, .. } => self.delete(machines, now, history),
        })
    }

    /// Whether an order is refused for its token; updates the highest token.
    fn is_fenced(&mut self, duty: Duty, token: Token) -> bool {
        let highest = self.highest_tokens.entry(duty).or_insert(0);
        let is_old = token < *highest;
        *highest = token.max(*highest);
        is_old && self.fence == Fence::Token
    }

    /// A repeated idempotency key returns the same answer and rents nothing.
    fn rent(&mut self, id: OrderId, count: usize, now: u64, history: &mut History) -> OrderResult {
        let name = id.to_string();
        if let Some(rental) = self.rentals.get(&name) {
            if rental.id != id {
                history.add(now, Event::IdempotencyKeyReused(name));
            }
            return OrderResult::Rented(rental.machines.clone());
        }
        let count = count.min(MACHINES_MAX.saturating_sub(self.machines.len()));
        if count == 0 {
            return OrderResult::NoCapacity;
        }
        let machines: Vec<String> = (0..count).map(|_| self.new_machine()).collect();
        let rental = Rental {
            id,
            machines: machines.clone(),
        };
        self.rentals.insert(name, rental);
        OrderResult::Rented(machines)
    }

    fn new_machine(&mut self) -> String {
        let machine = format!("m-{:06}", self.next_machine);
        self.next_machine += 1;
        self.machines.insert(machine.clone());
        machine
    }

    fn delete(&mut self, machines: &[String], now: u64, history: &mut History) -> OrderResult {
        for machine in machines {
            if self.machines.remove(machine) {
                history.add(now, Event::Deleted(machine.clone()));
            }
        }
        OrderResult::Deleted
    }
}
