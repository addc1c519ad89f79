//! Duties on the stand-ins: orders to the cloud and what becomes of them, and a checker of
//! the whole history that shares no code with the controllers.

use std::collections::{BTreeMap, BTreeSet};

use ciborium::Value;
use gaugesill::net::{Action, Event, Listener, Outcome, Request};
use gaugesill::peer_protocol::{PeerStatus, STATUS_PATH};
use gaugesill::settings::{DutyFence, DutySettings, OperatorSettings};
use gaugesill::wire::KeyChange;
use prost::Message;

use super::messages::*;
use super::sim::*;

const DUTIES: [&str; 4] = ["rent", "return", "reclaim-idle", "clean-state"];

/// What becomes of orders to the cloud.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CloudOrders {
    Answered,
    /// Carried out, and the answer is lost.
    Unanswered,
    /// Not answered, and carried out this much later.
    Late(u64),
    /// Refused: the cloud is in trouble.
    Trouble,
}

/// What a controller decided on, or the cloud was asked to do.
#[derive(Clone, Debug)]
pub enum DutyEvent {
    Decided {
        at: u64,
        controller: usize,
        duty: &'static str,
        /// Whom the store has as the duty's holder.
        holder: Option<usize>,
    },
    Asked {
        at: u64,
        controller: usize,
        duty: &'static str,
        /// The booking, or the machines.
        what: Vec<String>,
        token: Option<u64>,
        refused: bool,
        /// Machines with tasks that run, and those that a record names.
        busy: Vec<String>,
        recorded: Vec<String>,
    },
}

/// Whether an action asks the cloud to rent or delete machines.
pub(super) fn is_cloud_order(action: &Action) -> bool {
    matches!(action, Action::Call { method: "POST", address, .. } if address.ip().to_string() == "10.2.0.2")
}

/// The duty that an order of this path is of.
pub(super) fn duty_of(path: &str) -> &'static str {
    if path.ends_with("delete") {
        "return"
    } else {
        "rent"
    }
}

pub(super) fn field<'a>(value: &'a Value, name: &str) -> Option<&'a Value> {
    let found = value
        .as_map()?
        .iter()
        .find(|(key, _)| key.as_text() == Some(name));
    found.map(|(_, value)| value)
}

pub(super) fn number(value: &Value) -> Option<u64> {
    u64::try_from(i128::from(value.as_integer()?)).ok()
}

fn texts(value: Option<&Value>) -> Vec<String> {
    let items = value.and_then(Value::as_array).into_iter().flatten();
    items
        .filter_map(|item| item.as_text().map(str::to_string))
        .collect()
}

/// An order's record as it stands in the store's log: what it names and its phase.
struct LoggedOrder {
    machines: Vec<String>,
    if_empty: bool,
    /// Token and number of the recorded order.
    recorded: Option<(u64, u64)>,
}

fn logged_order(value: &Value) -> Option<LoggedOrder> {
    let order = field(value, "order")?;
    let delete = field(order, "delete");
    let id = field(field(value, "phase")?, "recorded");
    let part = |name| id.and_then(|id| number(field(id, name)?));
    Some(LoggedOrder {
        machines: texts(delete.and_then(|d| field(d, "machines"))),
        if_empty: delete.and_then(|d| field(d, "if_empty")?.as_bool()) == Some(true),
        recorded: part("token").zip(part("sequence")),
    })
}

impl Sim {
    /// Three controllers with the settings of `deploy/duties.toml`, once all duties are held.
    pub fn with_duties(fence: DutyFence) -> Sim {
        let mut sim = Sim::new();
        sim.switch_duties_on(fence);
        for controller in 0..3 {
            sim.crash(controller, 1);
        }
        assert!(
            sim.until(60_000, |sim| sim.are_duties_held()),
            "no duties: {:?}",
            sim.trace
        );
        sim
    }

    pub fn switch_duties_on(&mut self, fence: DutyFence) {
        let text = include_str!("../../deploy/duties.toml");
        self.operator = toml::from_str(text).expect("settings");
        self.operator.duties.as_mut().expect("duties").fence = fence;
        self.cloud.checks_tokens = fence == DutyFence::ProviderToken;
    }

    pub fn duty_settings(&mut self) -> &mut DutySettings {
        self.operator.duties.as_mut().expect("duties are on")
    }

    pub(super) fn operator_of(&self, controller: usize) -> OperatorSettings {
        if self.previous_version.contains(&controller) || self.without_duties.contains(&controller)
        {
            return OperatorSettings::default();
        }
        self.operator.clone()
    }

    /// Whom the store has as the holder of a duty.
    pub fn holder_of(&self, duty: &str) -> Option<usize> {
        let (value, ..) = self.store.keys.get(&format!("g/d/l/{duty}/holder"))?;
        field(value, "member")?.as_text()?[1..].parse().ok()
    }

    pub fn are_duties_held(&self) -> bool {
        DUTIES.iter().all(|duty| self.holder_of(duty).is_some())
    }

    /// A controller hears another's status.
    pub fn deliver_status(&mut self, controller: usize, status: &PeerStatus) {
        let connection = self.next_connection;
        self.next_connection += 1;
        let request = Request {
            method: "POST".into(),
            path: STATUS_PATH.into(),
            body: status.encode_to_vec(),
        };
        let listener = Listener::Peers;
        let event = Event::Request {
            connection,
            listener,
            request,
        };
        self.event(controller, event);
    }

    /// Whether no controller is down or stands still.
    pub fn are_all_awake(&self) -> bool {
        self.paused.is_empty() && self.controllers.iter().all(Option::is_some)
    }

    /// How many orders of a duty are in a phase.
    pub fn orders_in(&self, duty: &str, phase: &str) -> usize {
        let prefix = format!("g/d/o/{duty}/");
        let of_duty = self
            .store
            .keys
            .iter()
            .filter(|(key, _)| key.starts_with(&prefix));
        let is_in = |value: &Value| {
            let now = field(value, "phase");
            now.is_some_and(|p| p.as_text() == Some(phase) || field(p, phase).is_some())
        };
        of_duty.filter(|(_, (value, ..))| is_in(value)).count()
    }

    /// Machines that are on record to be returned.
    pub fn terminated_machines(&self) -> Vec<String> {
        let orders = self
            .store
            .keys
            .iter()
            .filter(|(key, _)| key.starts_with("g/d/o/"));
        let orders = orders.filter_map(|(_, (value, ..))| logged_order(value));
        orders.flat_map(|order| order.machines).collect()
    }

    /// Needs that holders refused.
    pub fn rejected_requests(&self) -> usize {
        let result = |value: &Value| {
            let result = field(field(value, "phase")?, "completed")?;
            Some(result.as_text()? == "rejected")
        };
        let refused = |change: &&KeyChange| change.value.as_ref().and_then(result) == Some(true);
        self.store.log.iter().filter(refused).count()
    }

    /// Changes of keys so far.
    pub fn changes(&self) -> usize {
        self.store.log.len()
    }

    pub fn asked(&self, duty: &str) -> usize {
        let is_of = |e: &&DutyEvent| matches!(e, DutyEvent::Asked { duty: d, .. } if *d == duty);
        self.duty_history.iter().filter(is_of).count()
    }

    pub(super) fn note_decision(&mut self, controller: usize, action: &Action) {
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

    pub(super) fn deliver_to_cloud(
        &mut self,
        ticket: Ticket,
        method: &'static str,
        path: String,
        body: Vec<u8>,
    ) {
        let is_order = method == "POST";
        match self.orders {
            CloudOrders::Late(ms) if is_order => {
                let order = SimMessage::Cloud {
                    ticket,
                    method,
                    path,
                    body,
                };
                return self.late_orders.push((self.now + ms, order));
            }
            CloudOrders::Trouble if is_order => {
                let outcome = Outcome::Answer {
                    status: 503,
                    body: vec![],
                };
                return self.respond(100, ticket, outcome);
            }
            _ => {}
        }
        let outcome = self.execute_at_cloud(ticket.controller, method, &path, &body);
        if !(is_order && self.orders == CloudOrders::Unanswered) {
            self.respond(100, ticket, outcome);
        }
    }

    pub(super) fn carry_out_late_orders(&mut self) {
        for (at, message) in std::mem::take(&mut self.late_orders) {
            match message {
                SimMessage::Cloud {
                    ticket,
                    method,
                    path,
                    body,
                } if self.now >= at => {
                    self.execute_at_cloud(ticket.controller, method, &path, &body);
                }
                message => self.late_orders.push((at, message)),
            }
        }
    }

    fn execute_at_cloud(
        &mut self,
        controller: usize,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> Outcome {
        if method == "POST" && self.is_refused(controller, path, body) {
            let (status, body) = (409, vec![]);
            return Outcome::Answer { status, body };
        }
        let (status, body) = self.cloud.handle(method, path, body, self.now);
        Outcome::Answer { status, body }
    }

    /// Notes an order; true if its token is lower than one that the cloud has seen.
    fn is_refused(&mut self, controller: usize, path: &str, body: &[u8]) -> bool {
        let order: Value = ciborium::from_reader(body).expect("an order");
        let check = self.cloud.check_token(path, body);
        let booking = field(&order, "booking").and_then(Value::as_text);
        let machines = texts(field(&order, "hosts"));
        let there: Vec<&String> = machines
            .iter()
            .filter(|m| self.cloud.machines.contains_key(*m))
            .collect();
        let runs = |name: &&&String| {
            let agent = self.agents.get(**name);
            agent.is_some_and(|w| w.tasks.iter().any(|task| task.state != "ended"))
        };
        let named = self.machines_on_record();
        let event = DutyEvent::Asked {
            at: self.now,
            controller,
            duty: check.duty,
            busy: there.iter().filter(runs).map(|n| n.to_string()).collect(),
            recorded: there
                .iter()
                .filter(|n| named.contains(**n))
                .map(|n| n.to_string())
                .collect(),
            what: booking.map_or(machines.clone(), |booking| vec![booking.to_string()]),
            token: check.token,
            refused: check.refused,
        };
        self.duty_history.push(event);
        check.refused
    }

    fn machines_on_record(&self) -> BTreeSet<String> {
        let records = self
            .store
            .keys
            .iter()
            .filter(|(key, _)| key.starts_with("g/j/"));
        let records = records
            .filter_map(|(_, (value, ..))| gaugesill::job::JobRecord::from_value(value).ok());
        records
            .flat_map(|r| r.runs)
            .map(|run| run.machine.to_string())
            .collect()
    }

    /// Whatever happened, these hold over the whole history. `clocks_sound`: no controller's
    /// clock leapt or stood still.
    pub fn assert_duties_sound(&self, clocks_sound: bool) {
        let mut problems = self.token_problems();
        problems.extend(self.record_problems());
        for event in &self.duty_history {
            problems.extend(self.event_problem(event, clocks_sound));
        }
        problems.extend(self.machines_without_owner());
        assert!(
            problems.is_empty(),
            "{problems:#?}\n{}",
            self.trace.join("\n")
        );
    }

    /// Tokens only rise, and none is given out twice.
    fn token_problems(&self) -> Vec<String> {
        let mut highest: BTreeMap<&str, u64> = BTreeMap::new();
        let mut problems = Vec::new();
        for change in self.store.log.iter() {
            let key = change.set.as_deref().unwrap_or("");
            let token = change.value.as_ref().and_then(number);
            if let Some(token) =
                token.filter(|_| key.starts_with("g/d/l/") && key.ends_with("/token"))
            {
                let last = highest.insert(key, token).unwrap_or(0);
                if token <= last {
                    problems.push(format!("{key}: {token} after {last}"));
                }
            }
        }
        problems
    }

    /// Each need is met by one order at most.
    fn record_problems(&self) -> Vec<String> {
        let mut orders: BTreeMap<&str, BTreeSet<(u64, u64)>> = BTreeMap::new();
        for change in self.store.log.iter() {
            let key = change.set.as_deref().unwrap_or("");
            let order = change.value.as_ref().and_then(logged_order);
            if let Some(id) = order
                .and_then(|o| o.recorded)
                .filter(|_| key.starts_with("g/d/o/"))
            {
                orders.entry(key).or_default().insert(id);
            }
        }
        let twice = orders.iter().filter(|(_, ids)| ids.len() > 1);
        twice
            .map(|(key, ids)| format!("{key} was met by {ids:?}"))
            .collect()
    }

    fn event_problem(&self, event: &DutyEvent, clocks_sound: bool) -> Option<String> {
        match event {
            DutyEvent::Decided {
                controller, holder, ..
            } if clocks_sound && *holder != Some(*controller) => {
                Some(format!("an order of one that is not the holder: {event:?}"))
            }
            DutyEvent::Asked {
                duty: "return",
                refused: false,
                busy,
                recorded,
                ..
            } => {
                let mut at_work = busy.iter().chain(recorded);
                let wrong = at_work.find(|name| !self.was_given_up(name));
                wrong.map(|name| format!("{name} is returned with a task: {event:?}"))
            }
            _ => None,
        }
    }

    /// Whether it was decided to terminate a machine with all that is on it.
    fn was_given_up(&self, machine: &str) -> bool {
        let orders = self
            .store
            .log
            .iter()
            .filter_map(|change| logged_order(change.value.as_ref()?));
        let mut orders = orders.filter(|order| !order.if_empty);
        orders.any(|order| order.machines.iter().any(|name| name == machine))
    }

    /// Machines that are paid for, and that the leader does not know.
    fn machines_without_owner(&self) -> Vec<String> {
        let leader = self
            .controllers
            .iter()
            .flatten()
            .find_map(|controller| controller.scheduler.as_ref());
        let known = |name: &String| leader.is_some_and(|s| s.machines.contains_key(name));
        let unknown = self.cloud.machines.keys().filter(|name| !known(name));
        unknown
            .map(|name| format!("{name} is paid for without owner"))
            .collect()
    }
}
