//! The search for placements for a job's tasks.
//!
//! The machines come from [`FleetIndexes`] lazily, in the order of what a placement on them
//! costs, so a search costs in proportion to the tasks it places and not to the number of
//! machines. A search changes nothing: its [`Assignment`] is applied by the cycle.
//!
//! Within this folder `scope` holds what stays the same during a search in one zone,
//! `progress` what it has assigned so far, `free_machines` and `preemptable_machines` are the
//! two queues that candidates come from, and `zone_search` takes from them.

mod candidate;
mod free_machines;
mod preemptable_machines;
mod progress;
mod scope;
mod zone_search;

use super::cost::fetch_cost_s;
use super::fleet::{FleetView, TaskIndex};
use super::indexes::FleetIndexes;
use super::preemption::Preemptor;
use super::snapshot::JobView;
use scope::SearchScope;
use zone_search::ZoneSearch;

/// Which machines a job is tried on.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum SearchMode {
    /// Machines with free capacity that have or fetch its image.
    Cached,
    /// Machines with free capacity.
    Free,
    /// Also machines on which others would be preempted.
    WithVictims,
}

/// A task with its machine.
pub(super) struct TaskAssignment {
    /// The task's number.
    pub task: u32,
    /// The machine's index.
    pub machine: usize,
}

/// What a search found.
#[derive(Default)]
pub(super) struct Assignment {
    /// Machines for the first of the pending tasks, in their order.
    pub tasks: Vec<TaskAssignment>,
    /// The victims that make capacity for them.
    pub victims: Vec<TaskIndex>,
    /// A machine with capacity was skipped because it lacks the image.
    pub skipped_uncached_machines: bool,
}

/// What is searched for.
#[derive(Clone, Copy)]
pub(super) struct SearchRequest<'a> {
    /// The job.
    pub job: &'a JobView,
    /// Its tasks that need machines.
    pub pending: &'a [u32],
    /// Which machines are tried.
    pub mode: SearchMode,
    /// The least number of tasks: the search finds that many or nothing.
    pub min_count: usize,
}

/// A search over the machines of a fleet. The job's image, and with victims its preemption
/// candidates, have to be prepared in the indexes before.
#[derive(Clone, Copy)]
pub(super) struct Search<'a> {
    /// The fleet.
    pub view: FleetView<'a>,
    /// The indexes made from the same view.
    pub indexes: &'a FleetIndexes,
    /// What is searched for.
    pub request: SearchRequest<'a>,
    /// The job as a preemptor.
    pub preemptor: &'a Preemptor,
}

impl<'a> Search<'a> {
    /// Finds machines in the best zone if the job must be in one, else in all zones.
    pub fn run(&self) -> Option<Assignment> {
        let job = self.request.job;
        if !job.spec.single_zone {
            return self.run_in(None);
        }
        let mut best: Option<ZoneResult> = None;
        for zone in self.possible_zones() {
            let Some(assignment) = self.run_in(Some(zone)) else {
                continue;
            };
            let result = ZoneResult {
                cost_s: self.assignment_cost_s(&assignment),
                assignment,
            };
            if best.as_ref().is_none_or(|best| result.is_better(best)) {
                best = Some(result);
            }
        }
        best.map(|result| result.assignment)
    }

    fn run_in(&self, zone: Option<&str>) -> Option<Assignment> {
        let scope = SearchScope::new(self, zone);
        let min_count = self.request.min_count;
        if scope.mode == SearchMode::WithVictims && !scope.can_hold(min_count) {
            return None;
        }
        ZoneSearch::new(&scope).run(self.request.pending, min_count)
    }

    fn possible_zones(&self) -> Vec<&'a str> {
        let zones = &self.request.job.zones;
        // Tasks that remain of an old attempt keep the job in their zone.
        if let Some((zone, _)) = zones.iter().find(|(_, count)| **count > 0) {
            return vec![zone];
        }
        let fleet = self.view.fleet;
        let kinds = fleet.kinds.representatives().iter();
        let mut zones: Vec<&str> = kinds.map(|kind| &*fleet.machine(*kind).zone).collect();
        zones.sort_unstable();
        zones.dedup();
        zones
    }

    fn assignment_cost_s(&self, assignment: &Assignment) -> f64 {
        let fleet = self.view.fleet;
        let spec = &self.request.job.spec;
        let image_machines = fleet.images.get(&spec.image);
        let costs = assignment.tasks.iter().map(|assigned| {
            let has_image = image_machines.is_some_and(|known| known.contains(assigned.machine));
            let view = fleet.machine(assigned.machine);
            fetch_cost_s(view, spec, has_image)
                + fleet.costs.placement_cost_s(view, spec, view.total)
        });
        costs.sum()
    }
}

/// What was found in a zone.
struct ZoneResult {
    assignment: Assignment,
    cost_s: f64,
}

impl ZoneResult {
    /// More tasks are better, then fewer victims, then a lower cost.
    fn is_better(&self, other: &ZoneResult) -> bool {
        let (own, others) = (&self.assignment, &other.assignment);
        let by_tasks = others.tasks.len().cmp(&own.tasks.len());
        by_tasks
            .then(own.victims.len().cmp(&others.victims.len()))
            .then(self.cost_s.total_cmp(&other.cost_s))
            .is_lt()
    }
}
