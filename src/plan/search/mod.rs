//! The search for placements for a job's tasks.
//!
//! The machines come from [`FleetIndexes`](super::indexes::FleetIndexes) lazily, in the order
//! of what a placement on them costs, so a search costs in proportion to the tasks it places
//! and not to the number of machines. A search changes nothing: its [`Assignment`] is applied
//! by the cycle.
//!
//! Within this folder `request` has the input and output, `scope` what stays the same during a
//! search in one zone, and `progress` what it has assigned so far. `free_machines` and
//! `preemptable_machines` are the two queues that candidates come from, `zone_search` takes
//! from them, and `best_zone` compares zones.

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
