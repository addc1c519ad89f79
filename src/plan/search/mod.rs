//! The search for placements for a job's tasks.
//!
//! The machines come from [`FleetIndexes`](super::indexes::FleetIndexes) lazily, ordered by the
//! cost of a placement, so the time of a search is proportional to the number of tasks that it
//! places and not to the number of machines. A search is read-only: the cycle applies its
//! [`Assignment`].
//!
//! `request` has the input and output of a search, `scope` its constant parameters within one
//! zone, and `progress` its assignments so far. `free_machines` and `preemptable_machines` are
//! the two candidate queues, `zone_search` pops candidates from them, and `best_zone` compares
//! zones.

mod best_zone;
mod candidate;
mod free_machines;
mod preemptable_machines;
mod progress;
mod request;
mod scope;
mod zone_search;

pub(super) use best_zone::search;
pub(super) use request::{Assignment, SearchContext, SearchMode, SearchRequest};
