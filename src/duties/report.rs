//! What operators are shown of duties.

use std::fmt::{self, Display, Write};

use duty_lease::{Duty, Order, Token};
use serde::Serialize;

use super::records::{
    holder_key, refusal_key, token_key, DutyRecords, OrderPhase, OrderRecord, RefusalRecord,
    StoredHolder, DUTIES_FORMAT,
};
use crate::wire::KeyValue;

/// The state of all duties, as of one read of the store.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct DutyReport {
    /// Whether duties have left the leader.
    pub active: bool,
    /// All duties.
    pub duties: Vec<DutyStatus>,
    /// Orders that are open or whose result was not taken in yet.
    pub orders: Vec<OrderStatus>,
    /// Keys that can't be read.
    pub unreadable: Vec<String>,
}

/// The state of a duty.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct DutyStatus {
    /// Its name.
    pub duty: &'static str,
    /// The controller that holds it.
    pub holder: Option<String>,
    /// The last token that was given out; 0 for none.
    pub token: Token,
    /// For how long it has been held, in seconds, by the times of day of both sides.
    pub held_s: Option<f64>,
    /// The last order that the provider refused for its token.
    pub last_refusal: Option<RefusalRecord>,
}

/// The state of an order.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct OrderStatus {
    /// The duty.
    pub duty: &'static str,
    /// The name of the need.
    pub need: String,
    /// `needed`, `recorded` or `completed`.
    pub phase: &'static str,
    /// The name under which it may have been sent.
    pub order: Option<String>,
    /// What is to be done.
    pub what: String,
    /// Since when it has been needed, in seconds, by the times of day of both sides.
    pub age_s: f64,
}

impl DutyReport {
    /// From all keys below [`super::DUTIES_PREFIX`] and the format. `now_ms` is the time of
    /// day.
    pub fn new(pairs: &[KeyValue], format: u64, now_ms: u64) -> DutyReport {
        let mut records = DutyRecords::default();
        for pair in pairs {
            records.apply_set(&pair.key, &pair.value, pair.version);
        }
        let orders = records.orders();
        let orders = orders.map(|(key, record, _)| OrderStatus {
            duty: key.duty.name(),
            need: key.request.clone(),
            phase: phase_name(&record.phase),
            order: match record.phase {
                OrderPhase::Recorded(id) => Some(id.to_string()),
                _ => None,
            },
            what: describe(record),
            age_s: age_s(record.since_ms, now_ms),
        });
        DutyReport {
            active: format >= DUTIES_FORMAT,
            duties: Duty::ALL.map(|duty| status(duty, pairs, now_ms)).to_vec(),
            orders: orders.collect(),
            unreadable: records.unreadable().map(str::to_string).collect(),
        }
    }
}

fn status(duty: Duty, pairs: &[KeyValue], now_ms: u64) -> DutyStatus {
    let value = |key: String| pairs.iter().find(|pair| pair.key == key).map(|p| &p.value);
    let holder = value(holder_key(duty)).and_then(|v| v.deserialized::<StoredHolder>().ok());
    let token = value(token_key(duty)).and_then(|v| v.deserialized::<Token>().ok());
    DutyStatus {
        duty: duty.name(),
        held_s: holder.as_ref().map(|h| age_s(h.since_ms, now_ms)),
        holder: holder.map(|h| h.holder.member),
        token: token.unwrap_or(0),
        last_refusal: value(refusal_key(duty)).and_then(|v| v.deserialized().ok()),
    }
}

fn age_s(since_ms: u64, now_ms: u64) -> f64 {
    now_ms.saturating_sub(since_ms) as f64 / 1000.0
}

fn phase_name(phase: &OrderPhase) -> &'static str {
    match phase {
        OrderPhase::Needed => "needed",
        OrderPhase::Recorded(_) => "recorded",
        OrderPhase::Completed(_) => "completed",
    }
}

fn describe(record: &OrderRecord) -> String {
    match &record.order {
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
        writeln!(
            f,
            "{:14} {:16} {:>6} {:>9}  last refusal",
            "duty", "holder", "token", "held"
        )?;
        for duty in &self.duties {
            let holder = duty.holder.as_deref().unwrap_or("-");
            let held = duty.held_s.map_or("-".into(), |s| format!("{s:.1} s"));
            let refusal = duty.last_refusal.as_ref();
            let refusal = refusal.map_or("-".into(), |r| {
                format!("{} of {} under token {}", r.order, r.member, r.token)
            });
            let (name, token) = (duty.duty, duty.token);
            writeln!(f, "{name:14} {holder:16} {token:>6} {held:>9}  {refusal}")?;
        }
        let mut lines = String::new();
        for order in &self.orders {
            let name = order.order.as_deref().unwrap_or("-");
            let age = format!("{:.1} s", order.age_s);
            writeln!(
                lines,
                "{:14} {:20} {:10} {:16} {:>9}  {}",
                order.duty, order.need, order.phase, name, age, order.what
            )?;
        }
        if !lines.is_empty() {
            writeln!(
                f,
                "\n{:14} {:20} {:10} {:16} {:>9}  what",
                "duty", "need", "phase", "order", "age"
            )?;
            f.write_str(&lines)?;
        }
        for key in &self.unreadable {
            writeln!(f, "can't be read, and is kept: {key}")?;
        }
        Ok(())
    }
}
