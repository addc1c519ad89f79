//! Checks a history of events independently of the code under test.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::AddAssign;

use duty_lease::{Duty, Token};

#[derive(Debug, Clone)]
pub(crate) enum Event {
    /// A controller was allowed to send orders at this moment.
    OrderAllowed {
        duty: Duty,
        controller: usize,
        token: Token,
    },
    /// The provider received an order.
    Order {
        duty: Duty,
        token: Token,
        refused: bool,
    },
    /// An idempotency key was used for two orders.
    IdempotencyKeyReused(String),
    /// A machine was deleted.
    Deleted(String),
    /// A task was placed on a machine.
    TaskPlaced(String),
    /// A task on a machine has ended.
    TaskEnded(String),
}

#[derive(Debug)]
struct TimedEvent {
    at: u64,
    event: Event,
}

#[derive(Debug, Default)]
pub(crate) struct History {
    events: Vec<TimedEvent>,
}

/// The rules that apply to a run in addition to those that always apply.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Rules {
    /// The provider refuses tokens that are lower than an earlier one.
    pub tokens_refused: bool,
    /// All clocks stay within the allowed drift, so that there are never two effective holders.
    pub clocks_correct: bool,
}

/// Counts of events in a history.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Summary {
    pub orders: usize,
    pub refused: usize,
    pub holder_changes: usize,
    pub tasks: usize,
    pub deletions: usize,
}

impl AddAssign for Summary {
    fn add_assign(&mut self, other: Summary) {
        self.orders += other.orders;
        self.refused += other.refused;
        self.holder_changes += other.holder_changes;
        self.tasks += other.tasks;
        self.deletions += other.deletions;
    }
}

/// The result of a check.
#[derive(Debug, Default)]
pub(crate) struct Verdict {
    pub violations: Vec<String>,
    pub summary: Summary,
}

impl History {
    pub(crate) fn add(&mut self, at: u64, event: Event) {
        self.events.push(TimedEvent { at, event });
    }

    pub(crate) fn check(&self, rules: Rules) -> Verdict {
        let mut checker = Checker::new(rules);
        for TimedEvent { at, event } in &self.events {
            checker.check(*at, event);
        }
        checker.verdict
    }
}

/// The last moment at which a controller was allowed to send orders.
#[derive(Debug, Clone, Copy)]
struct Effective {
    at: u64,
    controller: usize,
}

/// The state that follows from the events so far.
struct Checker<'a> {
    rules: Rules,
    verdict: Verdict,
    owners: BTreeMap<(Duty, Token), usize>,
    effective: BTreeMap<Duty, Effective>,
    highest_tokens: BTreeMap<Duty, Token>,
    /// Machines with a task.
    tasks: BTreeSet<&'a str>,
}

impl<'a> Checker<'a> {
    fn new(rules: Rules) -> Checker<'a> {
        Checker {
            rules,
            verdict: Verdict::default(),
            owners: BTreeMap::new(),
            effective: BTreeMap::new(),
            highest_tokens: BTreeMap::new(),
            tasks: BTreeSet::new(),
        }
    }

    fn check(&mut self, at: u64, event: &'a Event) {
        match event {
            Event::OrderAllowed {
                duty,
                controller,
                token,
            } => {
                self.check_token_owner(at, *duty, *token, *controller);
                self.check_single_holder(at, *duty, *controller);
            }
            Event::Order {
                duty,
                token,
                refused,
            } => self.check_order(at, *duty, *token, *refused),
            Event::IdempotencyKeyReused(name) => self.report(format!(
                "{at}: idempotency key {name} was used for two orders"
            )),
            Event::Deleted(machine) => self.check_deletion(at, machine),
            Event::TaskPlaced(machine) => {
                self.verdict.summary.tasks += 1;
                self.tasks.insert(machine);
            }
            Event::TaskEnded(machine) => {
                self.tasks.remove(machine.as_str());
            }
        }
    }

    fn report(&mut self, violation: String) {
        self.verdict.violations.push(violation);
    }

    fn check_token_owner(&mut self, at: u64, duty: Duty, token: Token, controller: usize) {
        let owner = *self.owners.entry((duty, token)).or_insert_with(|| {
            self.verdict.summary.holder_changes += 1;
            controller
        });
        if owner != controller {
            self.report(format!(
                "{at}: token {token} of {duty:?} was issued to two controllers"
            ));
        }
    }

    fn check_single_holder(&mut self, at: u64, duty: Duty, controller: usize) {
        let effective = Effective { at, controller };
        let last = self.effective.insert(duty, effective);
        let are_two = last.is_some_and(|last| last.at == at && last.controller != controller);
        if are_two && self.rules.clocks_correct {
            self.report(format!("{at}: {duty:?} has two effective holders"));
        }
    }

    fn check_order(&mut self, at: u64, duty: Duty, token: Token, refused: bool) {
        self.verdict.summary.orders += 1;
        self.verdict.summary.refused += usize::from(refused);
        let highest = self.highest_tokens.entry(duty).or_insert(0);
        let is_fenced = token < *highest;
        *highest = token.max(*highest);
        if is_fenced && !refused && self.rules.tokens_refused {
            self.report(format!(
                "{at}: the provider accepted an order of a fenced holder of {duty:?}"
            ));
        }
    }

    fn check_deletion(&mut self, at: u64, machine: &str) {
        self.verdict.summary.deletions += 1;
        if self.tasks.contains(machine) {
            self.report(format!("{at}: {machine} was deleted with a task on it"));
        }
    }
}
