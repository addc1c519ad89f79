//! Report on duties for operators, as text and as JSON.
//!
//! Field names and texts are command-line output that operators' tools may parse: don't
//! change them.

use std::fmt::{self, Display};

use duty_lease::{Duty, Order, Token};
use serde::de::DeserializeOwned;
use serde::Serialize;

use super::keys::{holder_key, refusal_key, token_key, OrderKey, DUTIES_FORMAT};
use super::records::{DutyRecords, OrderPhase, OrderRecord, RefusalRecord, StoredHolder};
use crate::wire::KeyValue;

const MS_PER_S: f64 = 1000.0;
/// Placeholder for an absent value in the text output.
const MISSING_VALUE: &str = "-";

/// The state of all duties, as of one read of the store.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct DutyReport {
    /// Whether duties are carried out under leases; otherwise the leader carries them out.
    pub active: bool,
    /// The state of each duty.
    pub duties: Vec<DutyStatus>,
    /// Orders that are open, or whose result the leader has not processed yet.
    pub orders: Vec<OrderStatus>,
    /// Keys whose values can't be decoded.
    pub unreadable: Vec<String>,
}

/// The state of a duty.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct DutyStatus {
    /// The name of the duty.
    pub duty: &'static str,
    /// The controller that holds it.
    pub holder: Option<String>,
    /// The last token that was issued; 0 for none.
    pub token: Token,
    /// Time for which it has been held, in seconds: the difference between the wall clocks of
    /// the holder and of the reader.
    pub held_s: Option<f64>,
    /// The last order that the provider refused for its token.
    pub last_refusal: Option<RefusalRecord>,
}

/// The state of an order.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct OrderStatus {
    /// The name of the duty that carries it out.
    pub duty: &'static str,
    /// The name of the scaling request.
    pub need: String,
    /// `needed`, `recorded` or `completed`.
    pub phase: &'static str,
    /// The name under which it may have been sent; present in the phase `recorded` only.
    pub order: Option<String>,
    /// The order in words, such as `rent 4 spot TYPE in ZONE`.
    pub what: String,
    /// Time since it was requested, in seconds: the difference between the wall clocks of the
    /// leader and of the reader.
    pub age_s: f64,
}

impl DutyReport {
    /// Builds the report from all keys that start with [`super::DUTIES_PREFIX`] and the
    /// stored format. `now_ms` is the wall-clock time.
    pub fn new(pairs: &[KeyValue], format: u64, now_ms: u64) -> DutyReport {
        let mut records = DutyRecords::default();
        for pair in pairs {
            records.apply_set(&pair.key, &pair.value, pair.version);
        }
        let duties = Duty::ALL.map(|duty| DutyStatus::new(duty, pairs, now_ms));
        let orders = records.orders();
        DutyReport {
            active: format >= DUTIES_FORMAT,
            duties: duties.to_vec(),
            orders: orders
                .map(|order| OrderStatus::new(order.key, order.record, now_ms))
                .collect(),
            unreadable: records.unreadable().map(str::to_string).collect(),
        }
    }
}

impl DutyStatus {
    fn new(duty: Duty, pairs: &[KeyValue], now_ms: u64) -> DutyStatus {
        let holder: Option<StoredHolder> = read_value(pairs, &holder_key(duty));
        let token: Option<Token> = read_value(pairs, &token_key(duty));
        DutyStatus {
            duty: duty.name(),
            held_s: holder.as_ref().map(|stored| age_s(stored.since_ms, now_ms)),
            holder: holder.map(|stored| stored.holder.member),
            token: token.unwrap_or(0),
            last_refusal: read_value(pairs, &refusal_key(duty)),
        }
    }
}

impl OrderStatus {
    fn new(key: &OrderKey, record: &OrderRecord, now_ms: u64) -> OrderStatus {
        let order = match record.phase {
            OrderPhase::Recorded(id) => Some(id.to_string()),
            OrderPhase::Needed | OrderPhase::Completed(_) => None,
        };
        OrderStatus {
            duty: key.duty.name(),
            need: key.request.clone(),
            phase: phase_name(&record.phase),
            order,
            what: describe(&record.order),
            age_s: age_s(record.since_ms, now_ms),
        }
    }
}

/// The value of a key; `None` if the key does not exist or its value can't be decoded.
fn read_value<T: DeserializeOwned>(pairs: &[KeyValue], key: &str) -> Option<T> {
    let pair = pairs.iter().find(|pair| pair.key == key)?;
    pair.value.deserialized().ok()
}

fn age_s(since_ms: u64, now_ms: u64) -> f64 {
    now_ms.saturating_sub(since_ms) as f64 / MS_PER_S
}

fn phase_name(phase: &OrderPhase) -> &'static str {
    match phase {
        OrderPhase::Needed => "needed",
        OrderPhase::Recorded(_) => "recorded",
        OrderPhase::Completed(_) => "completed",
    }
}

fn describe(order: &Order) -> String {
    match order {
        Order::Rent {
            machine_type,
            zone,
            spot,
            count,
        } => {
            let kind = if *spot { "spot" } else { "ordinary" };
            format!("rent {count} {kind} {machine_type} in {zone}")
        }
        Order::Delete { machines, .. } => format!("return {}", machines.join(" ")),
    }
}

impl Display for DutyReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if !self.active {
            writeln!(
                f,
                "duties are with the leader: not every controller holds any"
            )?;
        }
        write_duties(f, &self.duties)?;
        write_orders(f, &self.orders)?;
        for key in &self.unreadable {
            writeln!(f, "can't be read, and is kept: {key}")?;
        }
        Ok(())
    }
}

fn write_duties(f: &mut fmt::Formatter<'_>, duties: &[DutyStatus]) -> fmt::Result {
    writeln!(
        f,
        "{:14} {:16} {:>6} {:>9}  last refusal",
        "duty", "holder", "token", "held"
    )?;
    duties.iter().try_for_each(|duty| writeln!(f, "{duty}"))
}

/// Writes the table of orders, or nothing if there are no orders.
fn write_orders(f: &mut fmt::Formatter<'_>, orders: &[OrderStatus]) -> fmt::Result {
    if orders.is_empty() {
        return Ok(());
    }
    writeln!(
        f,
        "\n{:14} {:20} {:10} {:16} {:>9}  what",
        "duty", "need", "phase", "order", "age"
    )?;
    orders.iter().try_for_each(|order| writeln!(f, "{order}"))
}

/// A row of the report's table of duties.
impl Display for DutyStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let holder = self.holder.as_deref().unwrap_or(MISSING_VALUE);
        let held = self
            .held_s
            .map_or(MISSING_VALUE.to_string(), format_seconds);
        let refusal = self.last_refusal.as_ref();
        let refusal = refusal.map_or(MISSING_VALUE.to_string(), format_refusal);
        let (duty, token) = (self.duty, self.token);
        write!(f, "{duty:14} {holder:16} {token:>6} {held:>9}  {refusal}")
    }
}

/// A row of the report's table of orders.
impl Display for OrderStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = self.order.as_deref().unwrap_or(MISSING_VALUE);
        let age = format_seconds(self.age_s);
        write!(
            f,
            "{:14} {:20} {:10} {:16} {:>9}  {}",
            self.duty, self.need, self.phase, name, age, self.what
        )
    }
}

fn format_seconds(seconds: f64) -> String {
    format!("{seconds:.1} s")
}

fn format_refusal(refusal: &RefusalRecord) -> String {
    let RefusalRecord {
        member,
        token,
        order,
        ..
    } = refusal;
    format!("{order} of {member} under token {token}")
}
