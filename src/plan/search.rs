//! The search for places for a job's tasks.
//!
//! The machines come from the indexes of [`CapacityTracker`](super::capacity_tracker::CapacityTracker) in
//! the order of what a place on them costs, so a search costs by what it takes and not by
//! how many machines there are.

use super::cycle_state::{CycleState, TaskIndex};
use super::resources::{fetch_s, Resources};
use super::snapshot::JobView;
use super::victims::Preemptor;
use super::zone_search::{Search, VictimMachines};
use crate::job::JobSpec;

/// Which machines a job is tried on.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum SearchMode {
    /// Where its image is, or is on its way.
    Cached,
    /// Where there is capacity.
    Free,
    /// Also where others would have to go.
    WithVictims,
}

/// What a search found.
#[derive(Default)]
pub(super) struct Assignment {
    /// Tasks, each with the index of its machine.
    pub tasks: Vec<(u32, usize)>,
    /// Tasks that would have to go.
    pub victims: Vec<TaskIndex>,
    /// A machine with capacity was skipped, as it lacks the image.
    pub skipped_uncached_machines: bool,
}

impl CycleState {
    /// Tries to place `pending` tasks of a job, at least `min_count` of them or none, in
    /// the best zone if the job must be in one.
    pub fn search(
        &mut self,
        job: &JobView,
        pending: &[u32],
        mode: SearchMode,
        min_count: usize,
    ) -> Option<Assignment> {
        let preemptor = Preemptor::new(self, job);
        self.ensure_capacity();
        if mode != SearchMode::WithVictims && self.capacity().is_full() {
            // On a full fleet nothing need be prepared for the many jobs that wait.
            return (min_count == 0).then(Assignment::default);
        }
        self.prepare_image(&job.spec.image);
        self.prepare_capacity(|tracker, state| {
            tracker.prepare_image(state, job);
            if mode == SearchMode::WithVictims {
                tracker.prepare_candidates(state, &preemptor);
            }
        });
        let query = Query {
            job,
            preemptor: &preemptor,
            mode,
            min_count,
        };
        self.search_zones(&query, pending)
    }

    fn search_zones(&self, query: &Query, pending: &[u32]) -> Option<Assignment> {
        let job = query.job;
        if !job.spec.single_zone {
            return self.search_zone(query, pending, None);
        }
        let mut best: Option<(Assignment, f64)> = None;
        for zone in self.possible_zones(job) {
            let found = self.search_zone(query, pending, Some(zone));
            let Some(found) = found else { continue };
            let cost_s = self.assignment_cost_s(job, &found);
            let better = best.as_ref().is_none_or(|(other, other_cost_s)| {
                let tasks_if_preempted = other.tasks.len().cmp(&found.tasks.len());
                tasks_if_preempted
                    .then(found.victims.len().cmp(&other.victims.len()))
                    .then(cost_s.total_cmp(other_cost_s))
                    .is_lt()
            });
            if better {
                best = Some((found, cost_s));
            }
        }
        best.map(|(assignment, _)| assignment)
    }

    fn possible_zones<'a>(&'a self, job: &'a JobView) -> Vec<&'a str> {
        // Tasks that remain of an old attempt keep the job in their zone.
        if let Some((zone, _)) = job.zones.iter().find(|(_, count)| **count > 0) {
            return vec![zone];
        }
        let kinds = self.kinds.iter();
        let mut zones: Vec<&str> = kinds.map(|kind| &*self.machines[*kind].zone).collect();
        zones.sort_unstable();
        zones.dedup();
        zones
    }

    fn assignment_cost_s(&self, job: &JobView, assignment: &Assignment) -> f64 {
        let machines = assignment.tasks.iter().map(|(_, machine)| *machine);
        let costs = machines.map(|machine| {
            let fetch_cost_s = self.fetch_cost_s(machine, job, self.has_image(machine, job));
            fetch_cost_s + self.placement_cost_s(machine, &job.spec, self.machines[machine].total)
        });
        costs.sum()
    }

    /// Whether a job's image is on a machine, or being fetched; known once a search for the
    /// job was prepared.
    pub fn has_image(&self, machine: usize, job: &JobView) -> bool {
        let known = self.image_machines(&job.spec.image);
        known.is_some_and(|known| known.contains(machine))
    }

    pub fn fetch_cost_s(&self, machine: usize, job: &JobView, has_image: bool) -> f64 {
        if has_image {
            return 0.0;
        }
        fetch_s(job.spec.image_gb, self.machines[machine].fetch_gb_per_s)
    }

    /// The cost of a place, fetches aside: a penalty for an on-demand machine where a spot one
    /// would do, and what is left over.
    pub fn placement_cost_s(&self, machine: usize, spec: &JobSpec, free: Resources) -> f64 {
        let view = &self.machines[machine];
        let penalty_s = if spec.spot && !view.spot {
            self.on_demand_penalty_s
        } else {
            0.0
        };
        let mut left = free;
        left.sub(Resources::of(spec));
        // A nearly empty machine may soon be returned: fill the others first.
        penalty_s + self.on_demand_penalty_s * left.share_of(view.total)
    }

    /// Tries to place tasks on the machines of `zone`, or of all zones.
    fn search_zone(
        &self,
        query: &Query,
        pending: &[u32],
        zone: Option<&str>,
    ) -> Option<Assignment> {
        let min_count = query.min_count;
        let mut search = Search::new(self, query, zone);
        let mut found = Assignment::default();
        if query.mode == SearchMode::WithVictims && !search.can_hold(min_count) {
            return None;
        }
        let mut free = search.free_machines();
        let mut with_victims: Option<VictimMachines> = None;
        for (index, task) in pending.iter().enumerate() {
            // The cycle ends once the minimum count is out of reach.
            if found.tasks.len() + (pending.len() - index) < min_count {
                return None;
            }
            let mut candidate = search.next_free(&mut free);
            if candidate.is_none() && query.mode == SearchMode::WithVictims {
                let machines = with_victims.get_or_insert_with(|| search.victim_machines());
                candidate = search.next_with_victims(machines);
            }
            // Tasks are alike: where one finds nothing, none does.
            let Some(candidate) = candidate else { break };
            search.take(*task, candidate, &mut found, &mut free, &mut with_victims);
        }
        found.skipped_uncached_machines = query.mode == SearchMode::Cached
            && found.tasks.len() < pending.len()
            && search.has_uncached_capacity();
        (found.tasks.len() >= min_count).then_some(found)
    }
}

/// What is searched for.
pub(super) struct Query<'a> {
    pub job: &'a JobView,
    pub preemptor: &'a Preemptor,
    pub mode: SearchMode,
    pub min_count: usize,
}
