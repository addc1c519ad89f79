//! Two versions that run at the same time, and limits of the store that are announced and later
//! reduced. The fixtures were written by the version in production (`tests/fixtures/make.rs`).

#[path = "../common/mod.rs"]
mod common;
mod packed_records;
mod production_format;
mod record_limit;
mod reduced_limits;
mod rolling_upgrade;
mod support;
