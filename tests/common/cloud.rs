//! A simulated cloud.

use ciborium::{cbor, Value};
use gaugesill::wire;
use std::collections::{BTreeMap, HashMap};
use std::ops::Bound;

use super::addresses::agent_address;
use super::cloud_orders::duty_of;
use super::store::query;
use super::values::{field, number};

/// Default page size of the machine list.
const PAGE_SIZE: usize = 500;

/// A rented machine.
pub(crate) struct Rented {
    pub up_at: u64,
    pub spot: bool,
    pub machine_type: String,
    pub zone: String,
}

/// The rented machines and the state of the cloud's API.
#[derive(Default)]
pub(crate) struct Cloud {
    pub machines: BTreeMap<String, Rented>,
    /// The machines that were rented under each idempotency key.
    pub idempotency_keys: HashMap<String, Vec<String>>,
    /// How many machines were ever rented.
    pub rented_total: u64,
    /// How long a machine takes to boot.
    pub boot_ms: u64,
    /// How many machines can be rented at the same time.
    pub capacity: usize,
    /// How many pages of the machine list were requested.
    pub pages_read: u64,
    /// The fault that is injected into pages of the machine list.
    pub list_fault: Option<ListFault>,
    /// Whether an order is refused if its token is lower than the highest one for the same duty.
    pub checks_tokens: bool,
    /// The highest token received for each duty.
    pub highest_tokens: HashMap<String, u64>,
}

/// A fault of a machine list with several pages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListFault {
    /// The first page is returned whatever is requested.
    Repeats,
    /// Pages after the first are empty, but marked as truncated.
    Empty,
    /// The list never ends: pages after the first consist of machines that do not exist.
    Endless,
    /// Every other page is refused.
    RefusesHalf,
}

/// An order's duty and token.
#[derive(Clone, Debug)]
pub(crate) struct TokenCheck {
    pub duty: &'static str,
    pub token: Option<u64>,
    /// Whether the order is refused because a higher token was received before.
    pub refused: bool,
}

impl Cloud {
    pub(crate) fn with_capacity(machines: usize, boot_ms: u64) -> Cloud {
        Cloud {
            capacity: machines,
            boot_ms,
            ..Cloud::default()
        }
    }

    /// The fencing token in an order.
    pub(crate) fn token_of(body: &[u8]) -> Option<u64> {
        let order: Value = ciborium::from_reader(body).ok()?;
        number(field(field(&order, "fencing")?, "token")?)
    }

    /// Compares an order's token with the highest one, and updates the highest one.
    pub(crate) fn check_token(&mut self, path: &str, body: &[u8]) -> TokenCheck {
        let duty = duty_of(path);
        let token = Cloud::token_of(body);
        let highest = self.highest_tokens.entry(duty.into()).or_insert(0);
        let refused = self.checks_tokens && token.is_some_and(|token| token < *highest);
        *highest = token.unwrap_or(0).max(*highest);
        TokenCheck {
            duty,
            token,
            refused,
        }
    }

    /// Status and body of the answer to a request.
    pub(crate) fn handle(
        &mut self,
        method: &str,
        path: &str,
        body: &[u8],
        now: u64,
    ) -> (u16, Vec<u8>) {
        match (method, path.split('?').next().unwrap_or("")) {
            ("GET", "/flavors") => (200, wire::encode(&machine_types())),
            ("GET", "/machines") => self.list(path, now),
            ("POST", "/machines") => self.rent(body, now),
            ("POST", "/machines/delete") => self.delete(body),
            _ => (400, vec![]),
        }
    }

    fn list(&mut self, path: &str, now: u64) -> (u16, Vec<u8>) {
        let mut from = query(path, "from").unwrap_or("").to_string();
        let size = query(path, "most").and_then(|size| size.parse().ok());
        let size: usize = size.unwrap_or(PAGE_SIZE);
        self.pages_read += 1;
        if let Some(answer) = self.faulty_page(&mut from, size) {
            return answer;
        }
        let range = (Bound::Excluded(from), Bound::Unbounded);
        let is_truncated = self.machines.range(range.clone()).count() > size;
        let page = self.machines.range(range).take(size);
        let listed = page.map(|(name, machine)| listed_machine(name, machine, now));
        (
            200,
            wire::encode(&list_page(listed.collect(), is_truncated)),
        )
    }

    /// The page that the injected fault returns in place of the correct one, if any.
    fn faulty_page(&mut self, from: &mut String, size: usize) -> Option<(u16, Vec<u8>)> {
        let fault = self.list_fault?;
        let is_first = from.is_empty();
        let page = |machines| Some((200, wire::encode(&list_page(machines, true))));
        match fault {
            ListFault::RefusesHalf if self.pages_read % 2 == 0 => Some((429, vec![])),
            ListFault::RefusesHalf => None,
            _ if is_first => None,
            ListFault::Repeats => {
                from.clear();
                None
            }
            ListFault::Empty => page(vec![]),
            ListFault::Endless => page(invented_machines(self.pages_read, size)),
        }
    }

    /// A repeated idempotency key returns the same answer and rents nothing.
    fn rent(&mut self, body: &[u8], now: u64) -> (u16, Vec<u8>) {
        let order: Value = ciborium::from_reader(body).expect("a provisioning request");
        let text = |name| field(&order, name).and_then(Value::as_text).unwrap_or("");
        let key = text("booking").to_string();
        if !self.idempotency_keys.contains_key(&key) {
            let count = field(&order, "howMany").and_then(number).unwrap_or(0);
            let is_spot = field(&order, "loaner").and_then(Value::as_bool);
            let mut names = Vec::new();
            while (names.len() as u64) < count && self.machines.len() < self.capacity {
                let rented = Rented {
                    up_at: now + self.boot_ms,
                    spot: is_spot.unwrap_or(false),
                    machine_type: text("flavor").into(),
                    zone: text("hall").into(),
                };
                names.push(self.add_machine(rented));
            }
            if names.is_empty() {
                let error = cbor!({"error" => "no capacity"}).expect("value");
                return (503, wire::encode(&error));
            }
            self.idempotency_keys.insert(key.clone(), names);
        }
        let names = self.idempotency_keys[&key].clone();
        (200, wire::encode(&wire::MachineNames { names }))
    }

    fn add_machine(&mut self, rented: Rented) -> String {
        let name = format!("m-{:06}", self.rented_total);
        self.rented_total += 1;
        self.machines.insert(name.clone(), rented);
        name
    }

    fn delete(&mut self, body: &[u8]) -> (u16, Vec<u8>) {
        let deleted: wire::MachineNames = wire::decode(body).expect("names");
        for name in deleted.names {
            self.machines.remove(&name);
        }
        (200, vec![])
    }
}

fn machine_types() -> Value {
    let types = cbor!({"flavors" => [{
        "sku" => "f8", "cores" => 8, "gpus" => 0, "memGb" => 64, "cacheGb" => 100.0,
        "fetchGbPerS" => 1.0, "hourly" => 10.0, "spotPrice" => 3.0, "bootS" => 5.0,
        "halls" => ["a", "b"]}]});
    types.expect("value")
}

fn list_page(machines: Vec<Value>, is_truncated: bool) -> Value {
    cbor!({"hosts" => machines, "truncated" => is_truncated}).expect("value")
}

fn listed_machine(name: &str, machine: &Rented, now: u64) -> Value {
    let is_up = now >= machine.up_at;
    let listed = cbor!({"nameId" => name, "endpoint" => agent_address(name).to_string(),
        "flavor" => machine.machine_type.as_str(), "hall" => machine.zone.as_str(),
        "loaner" => machine.spot, "heldS" => 1.0,
        "status" => if is_up { "running" } else { "starting" }});
    listed.expect("value")
}

fn invented_machines(page_number: u64, count: usize) -> Vec<Value> {
    let machine = |number| {
        let name = format!("x-{page_number:08}-{number}");
        let listed = cbor!({"nameId" => name, "flavor" => "f8", "hall" => "a", "loaner" => false,
            "heldS" => 1.0, "status" => "starting"});
        listed.expect("value")
    };
    (0..count).map(machine).collect()
}
