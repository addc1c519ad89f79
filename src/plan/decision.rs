//! What a cycle decides.

use std::sync::Arc;

use super::resources::Resources;
use super::snapshot::ZoneCounts;

/// Places for tasks of a job.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedPlacement {
    /// The job.
    pub job: Arc<str>,
    /// Its tasks, each with a machine.
    pub tasks: Vec<(u32, Arc<str>)>,
}

/// A task that is to be stopped to make capacity.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedStop {
    /// The victim's job.
    pub job: Arc<str>,
    /// The victim's number.
    pub task: u32,
    /// The victim's machine.
    pub machine: Arc<str>,
    /// The job that needs the capacity.
    pub preemptor: Arc<str>,
}

/// Capacity that is to be held until the victims have left.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedReservation {
    /// The job that needs the capacity.
    pub job: Arc<str>,
    /// The machine.
    pub machine: Arc<str>,
    /// How much.
    pub resources: Resources,
}

/// What the cycle decided.
#[derive(Debug, Clone, Default)]
pub struct Decision {
    /// Places for tasks.
    pub placements: Vec<PlannedPlacement>,
    /// Victims.
    pub stops: Vec<PlannedStop>,
    /// Capacity that is held for those who need the victims' capacity.
    pub reservations: Vec<PlannedReservation>,
    /// Gangs without capacity: they back off.
    pub failed: Vec<Arc<str>>,
    /// Arrays that skipped free machines for want of their image.
    pub skipped_uncached_machines: Vec<Arc<str>>,
    /// Tasks for which machines would have to be rented, in queue order.
    pub unmet: Vec<UnmetDemand>,
    /// How often the cycle looked at a machine for a job: what it cost.
    pub machines_examined: u64,
}

/// Tasks of a job that found no capacity, and where the others are or would be.
#[derive(Debug, Clone, PartialEq)]
pub struct UnmetDemand {
    /// The job.
    pub job: Arc<str>,
    /// How many tasks.
    pub count: u32,
    /// Where its other tasks are or would be.
    pub zones: ZoneCounts,
    /// Machines that the others would use: not to be returned meanwhile.
    pub machines: Vec<Arc<str>>,
}
