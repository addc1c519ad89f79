//! Two faults at once: each test causes one of the combinations that the operators name (the
//! table in `docs/design.md`). The simulation records a violation when a rule is broken: it
//! checks every start, what users are told by every controller, and the tasks of cancelled
//! jobs.

#[path = "../common/mod.rs"]
mod common;
mod leader_changes;
mod load;
mod machines;
mod outages;
mod support;
mod user_requests;
