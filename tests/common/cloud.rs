//! A stand-in of the cloud.

use ciborium::{cbor, Value};
use gaugesill::wire::{self};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::ops::Bound;

use super::duties::{duty_of, field, number};
use super::store::query;

pub struct Rented {
    pub up_at: u64,
    pub spot: bool,
    pub machine_type: String,
    pub zone: String,
}

#[derive(Default)]
pub struct Cloud {
    pub machines: BTreeMap<String, Rented>,
    pub idempotency_keys: HashMap<String, Vec<String>>,
    pub next: u64,
    pub boot_ms: u64,
    pub most: usize,
    /// Pages of the list that were asked for.
    pub pages_read: u64,
    /// What is wrong with pages behind the first.
    pub list_fault: Option<ListFault>,
    /// It refuses an order with a lower token than it has seen for the same duty.
    pub checks_tokens: bool,
    pub highest_tokens: HashMap<String, u64>,
}

/// What can be wrong with a list of several pages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListFault {
    /// The first page comes again, whatever is asked for.
    Repeats,
    /// There is more, but nothing of it comes.
    Empty,
    /// No machine is the last: names are made up for ever.
    Endless,
    /// Every other page is refused.
    RefusesHalf,
}

/// An order's duty and token.
#[derive(Clone, Debug)]
pub struct TokenCheck {
    pub duty: &'static str,
    pub token: Option<u64>,
    /// A higher token was seen.
    pub refused: bool,
}

impl Cloud {
    /// The token that an order has with it.
    pub fn token_of(body: &[u8]) -> Option<u64> {
        let order: Value = ciborium::from_reader(body).ok()?;
        number(field(field(&order, "fencing")?, "token")?)
    }

    /// Takes note of an order's token.
    pub fn check_token(&mut self, path: &str, body: &[u8]) -> TokenCheck {
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

    /// A page as the fault of the list has it, if that is another than it should be.
    fn faulty_page(&mut self, from: &mut String, most: usize) -> Option<(u16, Vec<u8>)> {
        let fault = self.list_fault?;
        let page = |names: Vec<String>| {
            let machines = names.into_iter().map(|name| {
                cbor!({"nameId" => name, "flavor" => "f8", "hall" => "a", "loaner" => false,
                    "heldS" => 1.0, "status" => "starting"})
                .expect("value")
            });
            let machines: Vec<Value> = machines.collect();
            let v = cbor!({"hosts" => machines, "truncated" => true}).expect("value");
            Some((200, wire::encode(&v)))
        };
        match fault {
            ListFault::RefusesHalf if self.pages_read % 2 == 0 => Some((429, vec![])),
            ListFault::RefusesHalf => None,
            _ if from.is_empty() => None,
            ListFault::Repeats => {
                from.clear();
                None
            }
            ListFault::Empty => page(vec![]),
            ListFault::Endless => {
                let page_number = self.pages_read;
                page(
                    (0..most)
                        .map(|n| format!("x-{page_number:08}-{n}"))
                        .collect(),
                )
            }
        }
    }

    pub fn handle(&mut self, method: &str, path: &str, body: &[u8], now: u64) -> (u16, Vec<u8>) {
        match (method, path.split('?').next().unwrap_or("")) {
            ("GET", "/flavors") => {
                let f = cbor!({"flavors" => [{
                    "sku" => "f8", "cores" => 8, "gpus" => 0, "memGb" => 64, "cacheGb" => 100.0,
                    "fetchGbPerS" => 1.0, "hourly" => 10.0, "spotPrice" => 3.0, "bootS" => 5.0,
                    "halls" => ["a", "b"]}]});
                (200, wire::encode(&f.expect("value")))
            }
            ("GET", "/machines") => {
                let mut from = query(path, "from").unwrap_or("").to_string();
                let most: usize = query(path, "most")
                    .and_then(|m| m.parse().ok())
                    .unwrap_or(500);
                self.pages_read += 1;
                if let Some(answer) = self.faulty_page(&mut from, most) {
                    return answer;
                }
                let behind = (Bound::Excluded(from), Bound::Unbounded);
                let truncated = self.machines.range(behind.clone()).count() > most;
                let machines: Vec<Value> = self
                    .machines
                    .range(behind)
                    .take(most)
                    .map(|(n, m)| {
                        cbor!({"nameId" => n.as_str(), "endpoint" => addr_of(n).to_string(),
                            "flavor" => m.machine_type.as_str(), "hall" => m.zone.as_str(),
                            "loaner" => m.spot, "heldS" => 1.0,
                            "status" => if now >= m.up_at { "running" } else { "starting" }})
                        .expect("value")
                    })
                    .collect();
                let v = cbor!({"hosts" => machines, "truncated" => truncated}).expect("value");
                (200, wire::encode(&v))
            }
            ("POST", "/machines") => {
                let v: Value = ciborium::from_reader(body).expect("a rental");
                let get = |k: &str| field(&v, k).cloned().unwrap_or(Value::Null);
                let booking = get("booking").as_text().unwrap_or("").to_string();
                let n = get("howMany")
                    .as_integer()
                    .and_then(|i| usize::try_from(i).ok())
                    .unwrap_or(0);
                if !self.idempotency_keys.contains_key(&booking) {
                    let mut machines = Vec::new();
                    while machines.len() < n && self.machines.len() < self.most {
                        let name = format!("m-{:06}", self.next);
                        self.next += 1;
                        self.machines.insert(
                            name.clone(),
                            Rented {
                                up_at: now + self.boot_ms,
                                spot: get("loaner").as_bool().unwrap_or(false),
                                machine_type: get("flavor").as_text().unwrap_or("").into(),
                                zone: get("hall").as_text().unwrap_or("").into(),
                            },
                        );
                        machines.push(name);
                    }
                    if machines.is_empty() {
                        let e = cbor!({"error" => "no capacity"}).expect("value");
                        return (503, wire::encode(&e));
                    }
                    self.idempotency_keys.insert(booking.clone(), machines);
                }
                let machines = wire::MachineNames {
                    names: self.idempotency_keys[&booking].clone(),
                };
                (200, wire::encode(&machines))
            }
            ("POST", "/machines/delete") => {
                let h: wire::MachineNames = wire::decode(body).expect("names");
                for n in h.names {
                    self.machines.remove(&n);
                }
                (200, vec![])
            }
            _ => (400, vec![]),
        }
    }
}

pub fn addr_of(machine: &str) -> SocketAddr {
    let n: u16 = machine[2..].parse().expect("a machine's name");
    SocketAddr::from(([10, 1, 0, 1], 1000 + n))
}
