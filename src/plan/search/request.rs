//! The input and output of a search.

use crate::plan::fleet::{FleetView, TaskIndex};
use crate::plan::indexes::FleetIndexes;
use crate::plan::preemption::Preemptor;
use crate::plan::snapshot::JobView;

/// Which machines a search considers.
#[derive(Clone, Copy, PartialEq)]
pub(in crate::plan) enum SearchMode {
    /// Only machines with free capacity that have the job's image or are fetching it.
    Cached,
    /// Only machines with free capacity.
    Free,
    /// Also machines on which tasks of other jobs would be preempted.
    WithVictims,
}

/// A task and the machine that it is assigned to.
pub(in crate::plan) struct TaskAssignment {
    /// The task's number within its job, from 0.
    pub task: u32,
    /// The machine's index in the snapshot.
    pub machine: usize,
}

/// The result of a search.
#[derive(Default)]
pub(in crate::plan) struct Assignment {
    /// Machines for a prefix of the pending tasks, in the same order.
    pub tasks: Vec<TaskAssignment>,
    /// The victims that have to be preempted for these tasks.
    pub victims: Vec<TaskIndex>,
    /// Whether a machine with enough capacity was skipped because it lacks the image.
    pub skipped_uncached_machines: bool,
}

/// A request for machines for pending tasks of one job.
#[derive(Clone, Copy)]
pub(in crate::plan) struct SearchRequest<'a> {
    pub job: &'a JobView,
    /// The numbers of the tasks that need machines.
    pub pending: &'a [u32],
    /// Which machines are considered.
    pub mode: SearchMode,
    /// The minimum number of tasks: with fewer the search returns no assignment.
    pub min_count: usize,
}

/// The data that a search reads. The indexes must have been prepared for the job's image and,
/// with [`SearchMode::WithVictims`], for its preemption candidates: otherwise the search misses
/// machines.
#[derive(Clone, Copy)]
pub(in crate::plan) struct SearchContext<'a> {
    pub view: FleetView<'a>,
    /// The indexes built from the same view.
    pub indexes: &'a FleetIndexes,
    pub request: SearchRequest<'a>,
    /// The job as a preemptor.
    pub preemptor: &'a Preemptor,
}
