//! A check of the complete history of duties and their orders, independent of the controllers'
//! code.

use std::collections::{BTreeMap, BTreeSet};

use super::cloud_orders::DutyEvent;
use super::duty_records::{LoggedOrder, OrderNumber, LEASES_PREFIX, ORDERS_PREFIX};
use super::sim::Sim;
use super::values::number;

/// Whether the controllers' clocks were correct during a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ControllerClocks {
    Reliable,
    /// A clock jumped or stopped: a former holder may decide on orders.
    Faulty,
}

impl Sim {
    /// Fails if the history breaks a rule of duties.
    pub(crate) fn assert_duty_rules(&self, clocks: ControllerClocks) {
        let mut problems = self.token_problems();
        problems.extend(self.record_problems());
        for event in &self.duty_history {
            problems.extend(self.event_problem(event, clocks));
        }
        problems.extend(self.machines_without_owner());
        assert!(problems.is_empty(), "{problems:#?}\n{}", self.trace_text());
    }

    /// Violations of the rule that the tokens of a duty strictly increase.
    fn token_problems(&self) -> Vec<String> {
        let mut highest: BTreeMap<&str, u64> = BTreeMap::new();
        let mut problems = Vec::new();
        for change in &self.store.log {
            let key = change.set.as_deref().unwrap_or("");
            if !key.starts_with(LEASES_PREFIX) || !key.ends_with("/token") {
                continue;
            }
            let Some(token) = change.value.as_ref().and_then(number) else {
                continue;
            };
            let last = highest.insert(key, token).unwrap_or(0);
            if token <= last {
                problems.push(format!("{key}: token {token} was issued after {last}"));
            }
        }
        problems
    }

    /// Violations of the rule that at most one order serves a scaling request.
    fn record_problems(&self) -> Vec<String> {
        let mut numbers: BTreeMap<&str, BTreeSet<OrderNumber>> = BTreeMap::new();
        for change in &self.store.log {
            let key = change.set.as_deref().unwrap_or("");
            if !key.starts_with(ORDERS_PREFIX) {
                continue;
            }
            let order = change.value.as_ref().and_then(LoggedOrder::from_value);
            if let Some(number) = order.and_then(|order| order.number) {
                numbers.entry(key).or_default().insert(number);
            }
        }
        let repeated = numbers.iter().filter(|(_, numbers)| numbers.len() > 1);
        repeated
            .map(|(key, numbers)| format!("{key} was served by several orders: {numbers:?}"))
            .collect()
    }

    fn event_problem(&self, event: &DutyEvent, clocks: ControllerClocks) -> Option<String> {
        match event {
            DutyEvent::Decided {
                controller, holder, ..
            } if clocks == ControllerClocks::Reliable && *holder != Some(*controller) => Some(
                format!("a controller that is not the holder decided on an order: {event:?}"),
            ),
            DutyEvent::Received {
                duty: "return",
                refused: false,
                busy_machines,
                machines_on_record,
                ..
            } => {
                let mut in_use = busy_machines.iter().chain(machines_on_record);
                let wrong = in_use.find(|name| !self.is_unconditionally_terminated(name));
                wrong.map(|name| format!("{name} is terminated while it has a task: {event:?}"))
            }
            _ => None,
        }
    }

    /// Whether the termination of a machine regardless of its tasks was ever requested.
    fn is_unconditionally_terminated(&self, machine: &str) -> bool {
        let values = self
            .store
            .log
            .iter()
            .filter_map(|change| change.value.as_ref());
        let orders = values.filter_map(LoggedOrder::from_value);
        let mut unconditional = orders.filter(|order| !order.if_empty);
        unconditional.any(|order| order.machines.iter().any(|name| name == machine))
    }

    /// Rented machines that the leader does not know.
    fn machines_without_owner(&self) -> Vec<String> {
        let mut controllers = self.controllers.iter().flatten();
        let leader = controllers.find_map(|controller| controller.scheduler.as_ref());
        let is_known =
            |name: &String| leader.is_some_and(|scheduler| scheduler.machines.contains_key(name));
        let unknown = self.cloud.machines.keys().filter(|name| !is_known(name));
        unknown
            .map(|name| format!("{name} is rented and unknown to the leader"))
            .collect()
    }
}
