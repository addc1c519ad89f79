//! A stand-in of the provider of machines.

use std::collections::{BTreeMap, BTreeSet};

use duty_lease::{Duty, Order, OrderId, OrderOutcome, OrderResult, Token};

use crate::checker::{Event, History};

/// Whether the provider knows tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fence {
    /// It refuses an order whose token is lower than one that it has seen.
    Token,
    /// It knows none; an order's name is carried out once.
    Names,
}

#[derive(Debug)]
pub struct Provider {
    pub fence: Fence,
    pub machines: BTreeSet<String>,
    highest: BTreeMap<Duty, Token>,
    /// By the names that they were asked for under.
    rentals: BTreeMap<String, (OrderId, Vec<String>)>,
    next_machine: u64,
    pub capacity: usize,
}

impl Provider {
    pub fn new(fence: Fence) -> Provider {
        Provider {
            fence,
            machines: BTreeSet::new(),
            highest: BTreeMap::new(),
            rentals: BTreeMap::new(),
            next_machine: 1,
            capacity: 6,
        }
    }

    pub fn execute(
        &mut self,
        id: OrderId,
        order: &Order,
        token: Token,
        now: u64,
        history: &mut History,
    ) -> OrderOutcome {
        let highest = self.highest.entry(id.duty).or_insert(0);
        let is_old = token < *highest;
        *highest = token.max(*highest);
        let refused = is_old && self.fence == Fence::Token;
        history.add(
            now,
            Event::Order {
                duty: id.duty,
                token,
                refused,
            },
        );
        if refused {
            return OrderOutcome::Fenced;
        }
        OrderOutcome::Done(match order {
            Order::Rent { count, .. } => {
                let known = self.rentals.get(&id.to_string());
                if known.is_some_and(|(other, _)| *other != id) {
                    history.add(now, Event::NameReused(id.to_string()));
                }
                self.rent(id, *count as usize)
            }
            Order::Delete { machines, .. } => {
                for machine in machines {
                    if self.machines.remove(machine) {
                        history.add(now, Event::Deleted(machine.clone()));
                    }
                }
                OrderResult::Deleted
            }
        })
    }

    /// The same name gets the same answer and rents nothing more.
    fn rent(&mut self, id: OrderId, count: usize) -> OrderResult {
        if let Some((_, machines)) = self.rentals.get(&id.to_string()) {
            return OrderResult::Rented(machines.clone());
        }
        let count = count.min(self.capacity.saturating_sub(self.machines.len()));
        if count == 0 {
            return OrderResult::NoCapacity;
        }
        let names = (0..count).map(|i| format!("m-{:06}", self.next_machine + i as u64));
        let names: Vec<String> = names.collect();
        self.next_machine += count as u64;
        self.machines.extend(names.iter().cloned());
        self.rentals.insert(id.to_string(), (id, names.clone()));
        OrderResult::Rented(names)
    }
}
