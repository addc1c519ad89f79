//! The search for machines for one job; compares the zones if all its tasks must be in one.

use super::request::{Assignment, SearchContext, SearchMode};
use super::scope::SearchScope;
use super::zone_search::ZoneSearch;
use crate::plan::cost::fetch_cost_s;

/// The assignment found in one zone, with its cost.
struct ZoneResult {
    assignment: Assignment,
    cost_s: f64,
}

impl ZoneResult {
    /// Whether this result has more tasks, then fewer victims, then a lower cost than the other.
    fn is_better(&self, other: &ZoneResult) -> bool {
        let (own, others) = (&self.assignment, &other.assignment);
        let by_tasks = others.tasks.len().cmp(&own.tasks.len());
        by_tasks
            .then(own.victims.len().cmp(&others.victims.len()))
            .then(self.cost_s.total_cmp(&other.cost_s))
            .is_lt()
    }
}

/// Finds machines for a job: in the best zone if the job requires a single one, else in all.
pub(in crate::plan) fn search(context: &SearchContext) -> Option<Assignment> {
    if !context.request.job.spec.single_zone {
        return search_zone(context, None);
    }
    let mut best: Option<ZoneResult> = None;
    for zone in possible_zones(context) {
        let Some(assignment) = search_zone(context, Some(zone)) else {
            continue;
        };
        let result = ZoneResult {
            cost_s: assignment_cost_s(context, &assignment),
            assignment,
        };
        if best.as_ref().is_none_or(|best| result.is_better(best)) {
            best = Some(result);
        }
    }
    best.map(|result| result.assignment)
}

/// Finds machines in `zone`, or in all zones if it is `None`.
fn search_zone(context: &SearchContext, zone: Option<&str>) -> Option<Assignment> {
    let scope = SearchScope::new(context, zone);
    let min_count = context.request.min_count;
    if scope.mode == SearchMode::WithVictims && !scope.can_hold(min_count) {
        return None;
    }
    ZoneSearch::new(&scope).run(context.request.pending, min_count)
}

fn possible_zones<'a>(context: &SearchContext<'a>) -> Vec<&'a str> {
    let zones = &context.request.job.zones;
    // Tasks of an earlier attempt that may still be placed tie the job to their zone.
    if let Some((zone, _)) = zones.iter().find(|(_, count)| **count > 0) {
        return vec![zone];
    }
    let fleet = context.view.fleet;
    let kinds = fleet.kinds.representatives().iter();
    let mut zones: Vec<&str> = kinds.map(|kind| &*fleet.machine(*kind).zone).collect();
    zones.sort_unstable();
    zones.dedup();
    zones
}

/// The cost of an assignment with its machines counted as empty; used to compare zones.
fn assignment_cost_s(context: &SearchContext, assignment: &Assignment) -> f64 {
    let fleet = context.view.fleet;
    let spec = &context.request.job.spec;
    let image_machines = fleet.images.get(&spec.image);
    let costs = assignment.tasks.iter().map(|assigned| {
        let has_image = image_machines.is_some_and(|machines| machines.contains(assigned.machine));
        let view = fleet.machine(assigned.machine);
        fetch_cost_s(view, spec, has_image) + fleet.costs.placement_cost_s(view, spec, view.total)
    });
    costs.sum()
}
