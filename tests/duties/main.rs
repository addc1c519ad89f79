//! Duties under fenced leases: whole controllers in the simulation, with the settings of
//! `deploy/duties.toml`, while their holders fail. What has to hold over the whole history is
//! checked in `tests/common/duty_checks.rs`.

mod assignment;
#[path = "../common/mod.rs"]
mod common;
mod holder_failures;
mod random_failures;
mod records;
mod scale_in;
mod support;
