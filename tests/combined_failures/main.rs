//! Two faults at once: each test injects one of the combinations that the operators list (the
//! table in `docs/design.md`). The simulation checks every task start, the answers of every
//! controller to users and the tasks of cancelled jobs, and records each broken rule as a
//! violation.

#[path = "../common/mod.rs"]
mod common;
mod guarantees;
mod leader_changes;
mod load;
mod machines;
mod outages;
mod repeats;
mod support;
mod user_requests;
