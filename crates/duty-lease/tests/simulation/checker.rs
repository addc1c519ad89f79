//! Checks a history on its own: it knows what happened, and nothing of the code.

use std::collections::{BTreeMap, BTreeSet};

use duty_lease::{Duty, Token};

#[derive(Debug, Clone)]
pub enum Event {
    /// A controller could have given an order at this moment.
    MayOrder {
        duty: Duty,
        controller: usize,
        token: Token,
    },
    /// The provider got an order.
    Order {
        duty: Duty,
        token: Token,
        refused: bool,
    },
    /// A name was used for two orders.
    NameReused(String),
    /// A machine was deleted.
    Deleted(String),
    /// A task was placed on a machine.
    TaskPlaced(String),
    /// A task on a machine has ended.
    TaskEnded(String),
}

#[derive(Debug, Default)]
pub struct History {
    events: Vec<(u64, Event)>,
}

/// What a history shows beside broken rules.
#[derive(Debug, Default, Clone, Copy)]
pub struct Summary {
    pub orders: usize,
    pub refused: usize,
    pub changes_of_hands: usize,
    pub tasks: usize,
    pub deletions: usize,
}

impl History {
    pub fn add(&mut self, at: u64, event: Event) {
        self.events.push((at, event));
    }

    /// Broken rules. `tokens_refused`: the provider refuses lower tokens.
    /// `clocks_sound`: all clocks keep to the drift that is allowed.
    pub fn check(&self, tokens_refused: bool, clocks_sound: bool) -> (Vec<String>, Summary) {
        let mut broken = Vec::new();
        let mut summary = Summary::default();
        let mut owner: BTreeMap<(Duty, Token), usize> = BTreeMap::new();
        let mut effective: BTreeMap<Duty, (u64, usize)> = BTreeMap::new();
        let mut highest: BTreeMap<Duty, Token> = BTreeMap::new();
        let mut tasks: BTreeSet<&String> = BTreeSet::new();
        for (at, event) in &self.events {
            match event {
                Event::MayOrder {
                    duty,
                    controller,
                    token,
                } => {
                    let first = *owner.entry((*duty, *token)).or_insert_with(|| {
                        summary.changes_of_hands += 1;
                        *controller
                    });
                    if first != *controller {
                        broken.push(format!("{at}: token {token} of {duty:?} given out twice"));
                    }
                    let last = effective.insert(*duty, (*at, *controller));
                    let both = last.is_some_and(|(t, c)| t == *at && c != *controller);
                    if both && clocks_sound {
                        broken.push(format!("{at}: two effective holders of {duty:?}"));
                    }
                }
                Event::Order {
                    duty,
                    token,
                    refused,
                } => {
                    summary.orders += 1;
                    summary.refused += usize::from(*refused);
                    let highest = highest.entry(*duty).or_insert(0);
                    if *token < *highest && !refused && tokens_refused {
                        broken.push(format!("{at}: an order of a fenced holder of {duty:?}"));
                    }
                    *highest = (*highest).max(*token);
                }
                Event::NameReused(name) => broken.push(format!("{at}: {name} was used twice")),
                Event::Deleted(machine) => {
                    summary.deletions += 1;
                    if tasks.contains(machine) {
                        broken.push(format!("{at}: {machine} was deleted with a task on it"));
                    }
                }
                Event::TaskPlaced(machine) => {
                    summary.tasks += 1;
                    tasks.insert(machine);
                }
                Event::TaskEnded(machine) => {
                    tasks.remove(machine);
                }
            }
        }
        (broken, summary)
    }
}
