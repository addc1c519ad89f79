//! Two versions side by side, and limits of the store that are reduced. The fixtures were
//! written by the version in production (`tests/fixtures/make.rs`).

#[path = "../common/mod.rs"]
mod common;
mod packed_records;
mod production_format;
mod record_limit;
mod reduced_limits;
mod rolling_upgrade;
mod support;
