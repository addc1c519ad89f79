//! Duties of the controllers under fenced leases: their records in the store,
//! and a report on them for operators.
//!
//! The leases and the order book are in the package `duty-lease`; what a controller does
//! with them is in [`crate::controller`].

mod query;
mod records;
mod report;

pub use query::{read_report, QueryError};
pub use records::{
    holder_key, order_key, refusal_key, token_key, DutyRecords, OrderChange, OrderKey, OrderPhase,
    OrderRecord, RefusalRecord, StoredHolder, DUTIES_FORMAT, DUTIES_PREFIX, LEASES_PREFIX,
};
pub use report::{DutyReport, DutyStatus, OrderStatus};
