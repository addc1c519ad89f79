//! Orders' records as they stand in the store, read without the controllers' code.

use ciborium::Value;

use super::values::{field, number, texts};

/// Prefix of the keys of orders' records.
pub(super) const ORDERS_PREFIX: &str = "g/d/o/";
/// Prefix of the keys of duties' leases.
pub(super) const LEASES_PREFIX: &str = "g/d/l/";

/// Identifies a recorded order within its duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct OrderNumber {
    pub(super) token: u64,
    pub(super) sequence: u64,
}

/// An order's record.
pub(super) struct LoggedOrder {
    /// The machines that it deletes.
    pub(super) machines: Vec<String>,
    /// Whether it deletes only machines without tasks.
    pub(super) if_empty: bool,
    /// Set once its holder has recorded it.
    pub(super) number: Option<OrderNumber>,
}

impl LoggedOrder {
    /// `None` if a value is no order's record.
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

/// Whether an order's record is in a phase.
pub(super) fn is_in_phase(record: &Value, phase: &str) -> bool {
    let present = field(record, "phase");
    present
        .is_some_and(|present| present.as_text() == Some(phase) || field(present, phase).is_some())
}

/// Whether the holder refused the scaling request of a record.
pub(super) fn is_rejected(record: &Value) -> bool {
    let result = field(record, "phase").and_then(|phase| field(phase, "completed"));
    result.and_then(Value::as_text) == Some("rejected")
}
