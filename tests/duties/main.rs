//! Duties under fenced leases, while their holders fail: whole controllers in the simulation, with
//! the settings of `deploy/duties.toml`. `tests/common/duty_checks.rs` checks the invariants over
//! the history of a run.

mod assignment;
#[path = "../common/mod.rs"]
mod common;
mod holder_failures;
mod random_failures;
mod records;
mod scale_in;
mod support;
