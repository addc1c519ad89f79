//! Stored records of duties under fenced leases, and a report on them for operators.
//!
//! The state machines of leases and order books are in the package `duty-lease`; the
//! controller runs them in [`crate::controller`].
//!
//! - `keys`: the keys of the records;
//! - `records`: the types of the stored values, and the local copy of all records;
//! - `report`: the report on duties for operators;
//! - `query`: reads the data of the report from the store.

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
