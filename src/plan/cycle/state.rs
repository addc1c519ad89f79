//! The state of a cycle: the fleet, the earmarked capacity, and the indexes of both.

use std::collections::BTreeSet;

use crate::plan::cost::CostModel;
use crate::plan::fleet::{Earmarks, Fleet, FleetView, ReservedCapacity, TaskIndex};
use crate::plan::indexes::FleetIndexes;
use crate::plan::preemption::Preemptor;
use crate::plan::resources::Resources;
use crate::plan::search::{search, Assignment, SearchContext, SearchMode, SearchRequest};
use crate::plan::snapshot::{JobView, Snapshot};

/// The fleet with the decisions of the cycle applied so far.
///
/// Owns the fleet and its indexes, and updates the indexes with each change of the fleet.
pub(super) struct CycleState {
    fleet: Fleet,
    earmarks: Earmarks,
    /// The indexes of the fleet with earmarked capacity counted as free.
    indexes: FleetIndexes,
    /// The indexes of the fleet without earmarked capacity; `None` until unmet demand is first
    /// calculated.
    unearmarked_indexes: Option<FleetIndexes>,
}

impl CycleState {
    /// Creates the state at the beginning of a cycle. `smallest_demand`: the minimum of each
    /// resource over all queued jobs.
    pub(super) fn new(snapshot: Snapshot, smallest_demand: Resources) -> CycleState {
        let costs = CostModel {
            now_s: snapshot.now_s,
            on_demand_penalty_s: snapshot.on_demand_penalty_s,
        };
        let fleet = Fleet::new(snapshot.machines, snapshot.teams, costs);
        CycleState {
            earmarks: Earmarks::new(fleet.len()),
            indexes: FleetIndexes::new(FleetView::actual(&fleet), smallest_demand),
            unearmarked_indexes: None,
            fleet,
        }
    }

    pub(super) fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Whether a job has held a reservation since the cycle began.
    pub(super) fn has_reservation(&self, job: &JobView) -> bool {
        self.fleet.reservations.is_holder(&job.id)
    }

    /// Charges tasks of a job to its team's quota.
    pub(super) fn charge_team(&mut self, job: &JobView, count: usize) {
        self.fleet.quotas.charge(job, count);
    }

    /// Searches for machines for a job's tasks.
    pub(super) fn search(&mut self, request: SearchRequest) -> Option<Assignment> {
        prepare_and_search(&mut self.fleet, None, &mut self.indexes, request)
    }

    /// Searches for machines, with earmarked capacity counted as used.
    fn search_without_earmarks(&mut self, request: SearchRequest) -> Option<Assignment> {
        let indexes = self.unearmarked_indexes.get_or_insert_with(|| {
            let view = FleetView::without_earmarks(&self.fleet, &self.earmarks);
            FleetIndexes::new(view, self.indexes.smallest_demand())
        });
        prepare_and_search(&mut self.fleet, Some(&self.earmarks), indexes, request)
    }

    /// Places the tasks of an assignment and releases the job's reservations.
    pub(super) fn place(&mut self, job: &JobView, assignment: &Assignment) {
        let demand = Resources::of(&job.spec);
        let mut changed = BTreeSet::new();
        for assigned in &assignment.tasks {
            self.fleet.reserve_capacity(assigned.machine, demand);
            changed.insert(assigned.machine);
        }
        self.charge_team(job, assignment.tasks.len());
        changed.extend(self.fleet.reservations.release(&job.id));
        self.update_indexes(&changed);
    }

    /// Marks the victims of an assignment, and reserves capacity for the preemptor's tasks until
    /// the victims are stopped.
    pub(super) fn preempt(&mut self, job: &JobView, assignment: &Assignment) {
        let mut changed = BTreeSet::new();
        for victim in &assignment.victims {
            self.fleet.mark_victim(*victim);
            changed.insert(victim.machine);
        }
        for assigned in &assignment.tasks {
            let reservation = ReservedCapacity {
                job: job.id.clone(),
                resources: Resources::of(&job.spec),
                precedence: self
                    .fleet
                    .quotas
                    .precedence(&job.spec.team, job.spec.priority),
            };
            self.fleet.reservations.add(assigned.machine, reservation);
            changed.insert(assigned.machine);
        }
        self.update_indexes(&changed);
    }

    /// Earmarks the capacity that an unplaced job could use, so that the unmet demand of later
    /// jobs does not count on it. Returns the earmarked assignment.
    pub(super) fn earmark(&mut self, job: &JobView) -> Option<Assignment> {
        let assignment = self.search_to_earmark(job)?;
        let mut changed = BTreeSet::new();
        for victim in &assignment.victims {
            let TaskIndex { machine, task } = *victim;
            let freed = self.fleet.machine(machine).tasks[task].resources;
            self.earmarks.add_victim(*victim, freed);
            changed.insert(machine);
        }
        let demand = Resources::of(&job.spec);
        for assigned in &assignment.tasks {
            self.earmarks.add_task(assigned.machine, demand);
            changed.insert(assigned.machine);
        }
        self.update_unearmarked_indexes(&changed);
        Some(assignment)
    }

    fn search_to_earmark(&mut self, job: &JobView) -> Option<Assignment> {
        let request = SearchRequest {
            job,
            pending: &job.pending,
            mode: SearchMode::Free,
            min_count: 0,
        };
        let found = self.search_without_earmarks(request);
        let is_partial = |found: &Assignment| found.tasks.len() < job.pending.len();
        if job.awaiting_task_exits && found.as_ref().is_none_or(is_partial) {
            return self.search_without_earmarks(SearchRequest {
                mode: SearchMode::WithVictims,
                ..request
            });
        }
        found
    }

    /// Updates the indexes after a change of the fleet.
    fn update_indexes(&mut self, machines: &BTreeSet<usize>) {
        let view = FleetView::actual(&self.fleet);
        for machine in machines {
            self.indexes.update(view, *machine);
        }
        self.update_unearmarked_indexes(machines);
    }

    /// Updates the indexes without earmarked capacity, if they exist.
    fn update_unearmarked_indexes(&mut self, machines: &BTreeSet<usize>) {
        let Some(indexes) = &mut self.unearmarked_indexes else {
            return;
        };
        let view = FleetView::without_earmarks(&self.fleet, &self.earmarks);
        for machine in machines {
            indexes.update(view, *machine);
        }
    }
}

/// Prepares the image and candidate indexes that a search needs, and runs it. `indexes` have to
/// be those of the view with the same earmarks.
fn prepare_and_search(
    fleet: &mut Fleet,
    earmarks: Option<&Earmarks>,
    indexes: &mut FleetIndexes,
    request: SearchRequest,
) -> Option<Assignment> {
    let spec = &request.job.spec;
    let with_victims = request.mode == SearchMode::WithVictims;
    if !with_victims && indexes.is_full() {
        // Skips the preparation for the many jobs that wait while the fleet is full.
        return (request.min_count == 0).then(Assignment::default);
    }
    fleet.prepare_image(&spec.image);
    let view = FleetView::new(fleet, earmarks);
    let precedence = fleet.quotas.precedence(&spec.team, spec.priority);
    let preemptor = Preemptor::new(request.job, precedence);
    indexes.prepare_image(view, &spec.image);
    if with_victims {
        indexes.prepare_candidates(view, &preemptor);
    }
    search(&SearchContext {
        view,
        indexes,
        request,
        preemptor: &preemptor,
    })
}
