//! Orders to the cloud: injected faults, and the history of the orders that were decided and
//! received.

use std::collections::BTreeSet;

use ciborium::Value;
use gaugesill::job::JobRecord;
use gaugesill::net::{Action, Outcome};

use super::addresses::CLOUD_IP;
use super::faults::LateCall;
use super::messages::{Call, SimMessage};
use super::sim::Sim;
use super::values::{field, texts};

/// Network delay of the cloud's answers.
const CLOUD_ANSWER_DELAY_MS: u64 = 100;

/// How the cloud handles orders.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum CloudOrderBehavior {
    #[default]
    Answered,
    /// Executed, but the answer is lost.
    Unanswered,
    /// Not answered, and executed later.
    Late { delay_ms: u64 },
    /// Refused with 503.
    Unavailable,
}

/// An event in the lifecycle of an order to the cloud.
#[derive(Clone, Debug)]
pub(crate) enum DutyEvent {
    /// A controller decided on an order.
    Decided {
        at: u64,
        controller: usize,
        duty: &'static str,
        /// The duty's holder according to the store.
        holder: Option<usize>,
    },
    /// The cloud received an order.
    Received {
        at: u64,
        controller: usize,
        duty: &'static str,
        /// The idempotency key, or the machines to be deleted.
        targets: Vec<String>,
        token: Option<u64>,
        /// Whether the cloud refused the order because it had received a higher token.
        refused: bool,
        /// The machines to be deleted that have live tasks.
        busy_machines: Vec<String>,
        /// The machines to be deleted on which job records place tasks.
        machines_on_record: Vec<String>,
    },
}

/// Whether an action asks the cloud to rent or delete machines.
pub(super) fn is_cloud_order(action: &Action) -> bool {
    matches!(action, Action::Call { method: "POST", address, .. } if address.ip() == CLOUD_IP)
}

/// The duty that an order with this path belongs to.
pub(super) fn duty_of(path: &str) -> &'static str {
    if path.ends_with("delete") {
        "return"
    } else {
        "rent"
    }
}

impl Sim {
    /// How many orders of a duty the cloud has received.
    pub(crate) fn orders_received(&self, duty: &str) -> usize {
        let is_of_duty = |event: &&DutyEvent| matches!(event, DutyEvent::Received { duty: of, .. } if *of == duty);
        self.duty_history.iter().filter(is_of_duty).count()
    }

    pub(super) fn record_decision(&mut self, controller: usize, action: &Action) {
        let Action::Call { path, .. } = action else {
            return;
        };
        if !is_cloud_order(action) {
            return;
        }
        let duty = duty_of(path);
        let event = DutyEvent::Decided {
            at: self.now,
            controller,
            duty,
            holder: self.holder_of(duty),
        };
        self.duty_history.push(event);
    }

    pub(super) fn deliver_to_cloud(&mut self, call: Call) {
        let behavior = match call.method {
            "POST" => self.faults.cloud_orders,
            _ => CloudOrderBehavior::Answered,
        };
        match behavior {
            CloudOrderBehavior::Late { delay_ms } => {
                let due_at = self.now + delay_ms;
                self.held.late_cloud_orders.push(LateCall { due_at, call });
            }
            CloudOrderBehavior::Unavailable => {
                self.respond_status(CLOUD_ANSWER_DELAY_MS, call.ticket, 503);
            }
            CloudOrderBehavior::Unanswered => drop(self.execute_at_cloud(&call)),
            CloudOrderBehavior::Answered => {
                let outcome = self.execute_at_cloud(&call);
                self.respond(CLOUD_ANSWER_DELAY_MS, call.ticket, outcome);
            }
        }
    }

    pub(super) fn execute_late_cloud_orders(&mut self) {
        for late in std::mem::take(&mut self.held.late_cloud_orders) {
            if self.now >= late.due_at {
                self.execute_at_cloud(&late.call);
            } else {
                self.held.late_cloud_orders.push(late);
            }
        }
    }

    fn execute_at_cloud(&mut self, call: &Call) -> Outcome {
        if call.method == "POST" && self.is_refused_by_cloud(call) {
            let (status, body) = (409, vec![]);
            return Outcome::Response { status, body };
        }
        let (status, body) = self
            .cloud
            .handle(call.method, &call.path, &call.body, self.now);
        if status == 200 {
            self.repeat_call(call, SimMessage::ToCloud);
        }
        Outcome::Response { status, body }
    }

    /// Adds an order to the history; true if the cloud refuses it because it has received a higher
    /// token.
    fn is_refused_by_cloud(&mut self, call: &Call) -> bool {
        let order: Value = ciborium::from_reader(call.body.as_slice()).expect("an order");
        let check = self.cloud.check_token(&call.path, &call.body);
        let idempotency_key = field(&order, "booking").and_then(Value::as_text);
        let machines = texts(field(&order, "hosts"));
        let existing = machines
            .iter()
            .filter(|name| self.cloud.machines.contains_key(*name));
        let existing: Vec<&String> = existing.collect();
        let on_record = self.machines_on_record();
        let has_live_tasks = |name: &str| {
            let agent = self.agents.get(name);
            agent.is_some_and(|agent| agent.live_tasks().next().is_some())
        };
        let event = DutyEvent::Received {
            at: self.now,
            controller: call.ticket.controller,
            duty: check.duty,
            busy_machines: matching(&existing, has_live_tasks),
            machines_on_record: matching(&existing, |name| on_record.contains(name)),
            targets: idempotency_key.map_or(machines.clone(), |key| vec![key.to_string()]),
            token: check.token,
            refused: check.refused,
        };
        self.duty_history.push(event);
        check.refused
    }

    /// Machines on which job records place tasks.
    fn machines_on_record(&self) -> BTreeSet<String> {
        let keys = self.store.keys.iter();
        let records = keys.filter(|(key, _)| key.starts_with("g/j/"));
        let records = records.filter_map(|(_, stored)| JobRecord::from_value(&stored.value).ok());
        let runs = records.flat_map(|record| record.runs);
        runs.map(|run| run.machine.clone()).collect()
    }
}

fn matching(names: &[&String], is_wanted: impl Fn(&str) -> bool) -> Vec<String> {
    let wanted = names.iter().filter(|name| is_wanted(name));
    wanted.map(|name| (*name).clone()).collect()
}
