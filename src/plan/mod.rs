//! The gang cycle: a pure function from a snapshot to placements, victims and
//! held capacity. Nothing here knows of sockets, clocks or records.

mod capacity_index;
mod capacity_tracker;
mod cycle;
mod cycle_state;
mod decision;
mod image_map;
mod order;
mod resources;
mod search;
mod snapshot;
mod victims;
mod zone_search;

pub use cycle::cycle;
pub use decision::{Decision, PlannedPlacement, PlannedReservation, PlannedStop, UnmetDemand};
pub use resources::{fetch_s, Resources};
pub use snapshot::{
    is_allowed, lowest_priority, tasks_per_zone_max, JobView, MachineView, Reservation, Snapshot,
    TaskView, TeamView, ZoneCounts,
};
