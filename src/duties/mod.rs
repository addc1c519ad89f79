//! Duties of the controllers under fenced leases: their records in the store, and a report
//! on them for operators.
//!
//! The leases and the order book are in the package `duty-lease`; what a controller does
//! with them is in [`crate::controller`].
//!
//! - `keys`: the keys of the records;
//! - `records`: the types of the stored values, and the local copy of all records;
//! - `report`: the state of duties as operators see it;
//! - `query`: reads that state from the store.

mod keys;
mod query;
mod records;
mod report;

pub use keys::{
    holder_key, order_key, refusal_key, token_key, OrderKey, DUTIES_FORMAT, DUTIES_PREFIX,
    LEASES_PREFIX,
};
pub use query::{read_report, QueryError};
pub use records::{
    DutyRecords, OrderChange, OrderPhase, OrderRecord, RefusalRecord, StoredHolder, StoredOrderRef,
};
pub use report::{DutyReport, DutyStatus, OrderStatus};
