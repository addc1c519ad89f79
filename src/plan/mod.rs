//! The planner: a pure function from a [`Snapshot`] of machines, jobs and teams to a
//! [`Decision`] about placements, victims, reservations and unmet demand.
//!
//! This module uses no sockets, clocks or stored records. The same snapshot always gives the
//! same decision.
//!
//! # Layers
//!
//! A module depends only on modules of its own layer and of lower ones, lowest first:
//!
//! 1. `resources`, `snapshot`, `decision`: the input and output of a cycle, public.
//! 2. `precedence`, `cost`, `ranked_machine`, `queue_order`: pure functions and types on these.
//! 3. `fleet`: the cycle's view of the machines and teams. It owns what changes within a
//!    cycle: free capacity, reservations, chosen victims, quota in use, earmarked capacity.
//! 4. `preemption`: which tasks a job may preempt, and which victims have the lowest cost.
//! 5. `indexes`: the machines of a fleet in the orders that searches need.
//! 6. `search`: finds machines for the tasks of one job; read-only.
//! 7. `cycle`: iterates over the queue, applies search results to the fleet, keeps the indexes
//!    up to date and builds the decision.
//!
//! # Invariants
//!
//! - Within a cycle a machine is identified by its index in the snapshot.
//! - Capacity only shrinks within a cycle: victims are stopped later, so the capacity that they
//!   free is reserved for their preemptor and not used in the same cycle.
//! - No task is chosen as a victim twice.
//! - The time of a search is proportional to the number of tasks that it places, not to the
//!   number of machines.

mod cost;
mod cycle;
mod decision;
mod fleet;
mod indexes;
mod precedence;
mod preemption;
mod queue_order;
mod ranked_machine;
mod resources;
mod search;
mod snapshot;

pub use cycle::run_cycle;
pub use decision::{
    Decision, PlannedPlacement, PlannedPreemption, PlannedReservation, PreemptionReason,
    TaskBinding, UnmetDemand,
};
pub use precedence::Precedence;
pub use resources::{estimated_fetch_s, Resources};
pub use snapshot::{
    is_kind_allowed, lowest_preemptable_priority, tasks_per_zone_max, JobView, MachineView,
    Reservation, Snapshot, TaskView, TeamView, ZoneCounts,
};
