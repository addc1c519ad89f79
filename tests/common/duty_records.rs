//! The records of orders in the store, decoded without the controllers' code.

use ciborium::Value;

use super::values::{field, number, texts};

/// Key prefix of the records of orders.
pub(super) const ORDERS_PREFIX: &str = "g/d/o/";
/// Key prefix of the leases of duties.
pub(super) const LEASES_PREFIX: &str = "g/d/l/";

/// Identifies a recorded order within its duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct OrderNumber {
    pub(super) token: u64,
    pub(super) sequence: u64,
}

/// An order's record.
pub(super) struct LoggedOrder {
    /// The machines that the order deletes; empty for other orders.
    pub(super) machines: Vec<String>,
    /// Whether the order deletes only machines without tasks.
    pub(super) if_empty: bool,
    /// The number that the duty's holder recorded; `None` in other phases.
    pub(super) number: Option<OrderNumber>,
}

impl LoggedOrder {
    /// `None` if the value is not the record of an order.
    pub(super) fn from_value(value: &Value) -> Option<LoggedOrder> {
        let order = field(value, "order")?;
        let delete = field(order, "delete");
        let id = field(field(value, "phase")?, "recorded");
        let part = |name| id.and_then(|id| number(field(id, name)?));
        let number = part("token").zip(part("sequence"));
        Some(LoggedOrder {
            machines: texts(delete.and_then(|delete| field(delete, "machines"))),
            if_empty: delete.and_then(|delete| field(delete, "if_empty")?.as_bool()) == Some(true),
            number: number.map(|(token, sequence)| OrderNumber { token, sequence }),
        })
    }
}

/// Whether the record of an order is in a phase.
pub(super) fn is_in_phase(record: &Value, phase: &str) -> bool {
    let current = field(record, "phase");
    current
        .is_some_and(|current| current.as_text() == Some(phase) || field(current, phase).is_some())
}

/// Whether the holder rejected the scaling request of a record.
pub(super) fn is_rejected(record: &Value) -> bool {
    let result = field(record, "phase").and_then(|phase| field(phase, "completed"));
    result.and_then(Value::as_text) == Some("rejected")
}
