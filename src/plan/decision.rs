//! The output of a planning cycle.

use std::sync::Arc;

use super::resources::Resources;
use super::snapshot::ZoneCounts;

/// A binding of a task to a machine.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct TaskBinding {
    /// The task's number within its job, from 0.
    pub task: u32,
    /// The machine's name.
    pub machine: Arc<str>,
}

/// Placements of one or more tasks of a job.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedPlacement {
    /// The job's id.
    pub job: Arc<str>,
    /// The tasks to place, each with its machine.
    pub tasks: Vec<TaskBinding>,
}

/// Why a task may be preempted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PreemptionReason {
    /// The preemptor has a higher priority.
    HigherPriority,
    /// The preemptor's team is within its nominal quota, and the victim's team borrows quota.
    NominalQuota,
}

/// A task to be preempted.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedPreemption {
    /// The id of the victim's job.
    pub job: Arc<str>,
    /// The victim's task number within its job.
    pub task: u32,
    /// The name of the victim's machine.
    pub machine: Arc<str>,
    /// The id of the job that the victim is preempted for.
    pub preemptor: Arc<str>,
    /// Why the victim may be preempted.
    pub reason: PreemptionReason,
}

/// Capacity to be reserved for a preemptor until the victims are stopped.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedReservation {
    /// The preemptor's job id.
    pub job: Arc<str>,
    /// The machine's name.
    pub machine: Arc<str>,
    /// The reserved capacity, enough for one task.
    pub resources: Resources,
}

/// The decisions of one planning cycle.
#[derive(Debug, Clone, Default)]
pub struct Decision {
    /// Placements, at most one entry for each job.
    pub placements: Vec<PlannedPlacement>,
    /// Tasks to preempt. For a gang the list has all required victims or none.
    pub preemptions: Vec<PlannedPreemption>,
    /// Reservations for the preemptors, one for each of their tasks that is to be placed.
    pub reservations: Vec<PlannedReservation>,
    /// Gangs that could not be placed for lack of capacity or quota; the scheduler lets them back
    /// off.
    pub unplaced_gangs: Vec<Arc<str>>,
    /// Arrays that skipped machines with free capacity because the machines lack their image.
    pub arrays_skipping_uncached: Vec<Arc<str>>,
    /// Tasks for which machines would have to be rented, in the order in which the cycle visited
    /// their jobs.
    pub unmet: Vec<UnmetDemand>,
    /// How often the cycle examined a machine for a job; measures the work of the cycle.
    pub machines_examined: u64,
}

/// Tasks of a job for which there is no capacity, and the locations of its other tasks.
#[derive(Debug, Clone, PartialEq)]
pub struct UnmetDemand {
    /// The job's id.
    pub job: Arc<str>,
    /// The number of tasks without capacity.
    pub count: u32,
    /// The zones of the job's other tasks: placed, or with earmarked capacity.
    pub zones: ZoneCounts,
    /// Machines with capacity earmarked for the other tasks. They are not to be terminated before
    /// the job is placed, or the demand would grow again.
    pub machines: Vec<Arc<str>>,
}
