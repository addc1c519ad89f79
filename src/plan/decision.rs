//! The output of a cycle.

use std::sync::Arc;

use super::resources::Resources;
use super::snapshot::ZoneCounts;

/// A task and the machine that it is to be bound to.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct TaskBinding {
    /// The task's number.
    pub task: u32,
    /// The machine's name.
    pub machine: Arc<str>,
}

/// Placements of tasks of a job.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedPlacement {
    /// The job.
    pub job: Arc<str>,
    /// Its tasks, each with its machine.
    pub tasks: Vec<TaskBinding>,
}

/// A task to be preempted.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedStop {
    /// The victim's job.
    pub job: Arc<str>,
    /// The victim's number.
    pub task: u32,
    /// The victim's machine.
    pub machine: Arc<str>,
    /// The job that it is preempted for.
    pub preemptor: Arc<str>,
}

/// Capacity to be reserved for a preemptor until the victims are stopped.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedReservation {
    /// The preemptor.
    pub job: Arc<str>,
    /// The machine.
    pub machine: Arc<str>,
    /// The capacity.
    pub resources: Resources,
}

/// What the cycle decided.
#[derive(Debug, Clone, Default)]
pub struct Decision {
    /// Placements, at most one entry for each job.
    pub placements: Vec<PlannedPlacement>,
    /// Victims; all of a gang's victims or none.
    pub stops: Vec<PlannedStop>,
    /// Reservations for the preemptors of these victims, one for each task.
    pub reservations: Vec<PlannedReservation>,
    /// Gangs without a placement, by capacity or quota: they back off.
    pub failed: Vec<Arc<str>>,
    /// Arrays that skipped machines with free capacity because these lack their image.
    pub arrays_skipping_uncached: Vec<Arc<str>>,
    /// Tasks for which machines would have to be rented, in the order of the decisions.
    pub unmet: Vec<UnmetDemand>,
    /// How often the cycle examined a machine for a job: the measure of what it cost.
    pub machines_examined: u64,
}

/// Tasks of a job for which there is no capacity, and where its others are or would be.
#[derive(Debug, Clone, PartialEq)]
pub struct UnmetDemand {
    /// The job.
    pub job: Arc<str>,
    /// The number of tasks.
    pub count: u32,
    /// Where its other tasks are or would be.
    pub zones: ZoneCounts,
    /// Machines that the others would use, which must not be terminated meanwhile.
    pub machines: Vec<Arc<str>>,
}
