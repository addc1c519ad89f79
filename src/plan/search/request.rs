//! What a search is asked for, goes by and finds.

use crate::plan::fleet::{FleetView, TaskIndex};
use crate::plan::indexes::FleetIndexes;
use crate::plan::preemption::Preemptor;
use crate::plan::snapshot::JobView;

/// Which machines a job is tried on.
#[derive(Clone, Copy, PartialEq)]
pub(in crate::plan) enum SearchMode {
    /// Machines with free capacity that have or fetch its image.
    Cached,
    /// Machines with free capacity.
    Free,
    /// Also machines on which others would be preempted.
    WithVictims,
}

/// A task with its machine.
pub(in crate::plan) struct TaskAssignment {
    /// The task's number.
    pub task: u32,
    /// The machine's index.
    pub machine: usize,
}

/// What a search found.
#[derive(Default)]
pub(in crate::plan) struct Assignment {
    /// Machines for the first of the pending tasks, in their order.
    pub tasks: Vec<TaskAssignment>,
    /// The victims that make capacity for them.
    pub victims: Vec<TaskIndex>,
    /// A machine with capacity was skipped because it lacks the image.
    pub skipped_uncached_machines: bool,
}

/// What is searched for.
#[derive(Clone, Copy)]
pub(in crate::plan) struct SearchRequest<'a> {
    /// The job.
    pub job: &'a JobView,
    /// Its tasks that need machines.
    pub pending: &'a [u32],
    /// Which machines are tried.
    pub mode: SearchMode,
    /// The least number of tasks: the search finds that many or nothing.
    pub min_count: usize,
}

/// What a search goes by. The job's image, and with victims its preemption candidates, have to
/// be prepared in the indexes before.
#[derive(Clone, Copy)]
pub(in crate::plan) struct SearchContext<'a> {
    /// The fleet.
    pub view: FleetView<'a>,
    /// The indexes made from the same view.
    pub indexes: &'a FleetIndexes,
    /// What is searched for.
    pub request: SearchRequest<'a>,
    /// The job as a preemptor.
    pub preemptor: &'a Preemptor,
}
