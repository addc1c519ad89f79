//! A stand-in of the provider of machines.

use std::collections::{BTreeMap, BTreeSet};

use duty_lease::{Duty, Order, OrderId, OrderOutcome, OrderResult, Token};

use crate::checker::{Event, History};

/// Most machines at a time.
const CAPACITY: usize = 6;

/// Whether the provider checks tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fence {
    /// It refuses an order whose token is lower than one that it has seen.
    Token,
    /// It knows no tokens; an order's name is carried out once.
    Names,
}

/// An order as it is sent.
#[derive(Debug, Clone)]
pub(crate) struct ProviderOrder {
    pub id: OrderId,
    pub order: Order,
    /// The sender's token.
    pub token: Token,
}

/// The machines that were rented under a name.
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
    /// By the name of the order.
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

    /// Whether an order's token is too low. Remembers the highest one.
    fn is_fenced(&mut self, duty: Duty, token: Token) -> bool {
        let highest = self.highest_tokens.entry(duty).or_insert(0);
        let is_old = token < *highest;
        *highest = token.max(*highest);
        is_old && self.fence == Fence::Token
    }

    /// The same name gets the same answer and rents nothing more.
    fn rent(&mut self, id: OrderId, count: usize, now: u64, history: &mut History) -> OrderResult {
        let name = id.to_string();
        if let Some(rental) = self.rentals.get(&name) {
            if rental.id != id {
                history.add(now, Event::NameReused(name));
            }
            return OrderResult::Rented(rental.machines.clone());
        }
        let count = count.min(CAPACITY.saturating_sub(self.machines.len()));
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
