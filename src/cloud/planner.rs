//! Satisfies demands one after the other: machines in provisioning first, then rented ones.

use super::offerings::{allowed_offerings, InstanceOffering};
use super::open_demand::OpenDemand;
use super::scale_out_plan::ScaleOutPlan;
use super::Demand;
use crate::plan::ZoneCounts;

/// Hourly prices per task that differ by less count as equal.
const PRICE_EPSILON: f64 = 1e-9;

/// An offering with its price per task that would be placed on a machine.
struct PricedOffering {
    offering: usize,
    price: f64,
}

/// The result of satisfying a demand in one zone.
struct ZoneAttempt {
    unmet_count: u32,
    plan: ScaleOutPlan,
}

/// The demands and offerings that a plan is made from.
pub(super) struct ScaleOutPlanner<'a> {
    demands: &'a [Demand],
    offerings: &'a [InstanceOffering],
    /// For each demand and offering, the number of tasks of this and all later demands that may
    /// use the offering; followed by one row of zeros.
    tasks_from_demand: Vec<Vec<u32>>,
    /// The most machines to rent.
    machines_max: u64,
}

impl<'a> ScaleOutPlanner<'a> {
    /// Creates a planner that rents at most `machines_max` machines.
    pub(super) fn new(
        demands: &'a [Demand],
        offerings: &'a [InstanceOffering],
        machines_max: u64,
    ) -> ScaleOutPlanner<'a> {
        ScaleOutPlanner {
            demands,
            offerings,
            tasks_from_demand: count_tasks_from_demand(demands, offerings),
            machines_max,
        }
    }

    /// Satisfies a demand in the zone that leaves the fewest tasks unmet; of equal zones, in the
    /// cheapest.
    pub(super) fn satisfy_in_best_zone(
        &self,
        index: usize,
        zones: &[&str],
        plan: &mut ScaleOutPlan,
    ) {
        let attempts = zones.iter().map(|zone| {
            let mut attempt = plan.clone();
            let only = ZoneCounts::from([((*zone).into(), 1)]);
            ZoneAttempt {
                unmet_count: self.satisfy(index, &only, &mut attempt),
                plan: attempt,
            }
        });
        let best = attempts.min_by(|a, b| {
            let by_count = a.unmet_count.cmp(&b.unmet_count);
            by_count.then(a.plan.price().total_cmp(&b.plan.price()))
        });
        if let Some(best) = best {
            *plan = best.plan;
        }
    }

    /// Satisfies a demand from the machines in the plan, rents machines for the rest, and
    /// returns how many tasks remain unmet. `zones`: the job's other tasks by zone.
    pub(super) fn satisfy(&self, index: usize, zones: &ZoneCounts, plan: &mut ScaleOutPlan) -> u32 {
        let demand = &self.demands[index];
        let mut open = OpenDemand::new(index, demand, zones, self.offerings);
        self.use_planned_machines(&mut open, plan);
        while open.unmet_count > 0 && plan.rented_count() < self.machines_max {
            let Some(offering) = self.cheapest_offering(&open) else {
                break;
            };
            self.rent(offering, &mut open, plan);
        }
        open.unmet_count
    }

    /// Places tasks on machines in provisioning, or rented for earlier demands.
    fn use_planned_machines(&self, open: &mut OpenDemand, plan: &mut ScaleOutPlan) {
        for index in 0..plan.groups().len() {
            if open.unmet_count == 0 {
                break;
            }
            let group = plan.groups()[index];
            let is_usable = open.allowed[group.offering] && group.count > 0;
            if is_usable && group.free.fits(open.per_task) {
                let zone = &self.offerings[group.offering].kind.zone;
                plan.use_group(index, open, zone);
            }
        }
        plan.remove_empty_groups();
    }

    /// Rents machines of an offering: as many as the demand's tasks fill, at least one.
    fn rent(&self, offering: usize, open: &mut OpenDemand, plan: &mut ScaleOutPlan) {
        let details = &self.offerings[offering];
        let zone = &details.kind.zone;
        let tasks_each = details.capacity.max_task_count(open.per_task).max(1);
        let count_max = self.machines_max - plan.rented_count();
        let count = u64::from(open.unmet_in_zone(zone) / tasks_each).clamp(1, count_max);
        let group = plan.rent(offering, details, count);
        plan.use_group(group, open, zone);
        plan.remove_empty_groups();
    }

    /// Returns the offering with the lowest price per task that would be placed on a machine; of
    /// equal prices, the first.
    fn cheapest_offering(&self, open: &OpenDemand) -> Option<usize> {
        let on_demand_price_max = open.demand.on_demand_price_ratio * self.lowest_spot_price(open);
        let mut best: Option<PricedOffering> = None;
        for offering in 0..self.offerings.len() {
            if !self.is_candidate(offering, open, on_demand_price_max) {
                continue;
            }
            let price = self.price_per_expected_task(offering, open);
            let is_lower = |best: &PricedOffering| price < best.price - PRICE_EPSILON;
            if best.as_ref().is_none_or(is_lower) {
                best = Some(PricedOffering { offering, price });
            }
        }
        best.map(|best| best.offering)
    }

    /// The lowest hourly price per task on a full spot machine, whether the job may use it or not.
    fn lowest_spot_price(&self, open: &OpenDemand) -> f64 {
        let offerings = self.offerings.iter();
        let spot = offerings.filter(|offering| offering.kind.spot);
        spot.map(|offering| offering.price_per_task(open.per_task))
            .fold(f64::INFINITY, f64::min)
    }

    /// Whether machines of an offering may be rented for a demand. `on_demand_price_max`: the
    /// highest hourly price per task on an on-demand machine, if the job may use spot machines.
    fn is_candidate(&self, offering: usize, open: &OpenDemand, on_demand_price_max: f64) -> bool {
        let details = &self.offerings[offering];
        let is_on_demand_for_spot = open.demand.spec.spot && !details.kind.spot;
        details.capacity.max_task_count(open.per_task) > 0
            && open.allowed[offering]
            && !details.is_sold_out
            && open.allowed_in_zone(&details.kind.zone) > 0
            && !(is_on_demand_for_spot
                && details.price_per_task(open.per_task) > on_demand_price_max)
    }

    /// The hourly price per task that would be placed on a machine, including tasks of later demands
    /// that could share it.
    fn price_per_expected_task(&self, offering: usize, open: &OpenDemand) -> f64 {
        let details = &self.offerings[offering];
        let fitting = details.capacity.max_task_count(open.per_task);
        let later = self.tasks_from_demand[open.index + 1][offering];
        let tasks = fitting.min(open.unmet_count.saturating_add(later)).max(1);
        details.price / f64::from(tasks)
    }
}

fn count_tasks_from_demand(demands: &[Demand], offerings: &[InstanceOffering]) -> Vec<Vec<u32>> {
    let mut later = vec![vec![0u32; offerings.len()]; demands.len() + 1];
    for (index, demand) in demands.iter().enumerate().rev() {
        let allowed = allowed_offerings(&demand.spec, offerings);
        for (offering, allowed) in allowed.into_iter().enumerate() {
            let own = if allowed { demand.count } else { 0 };
            later[index][offering] = later[index + 1][offering].saturating_add(own);
        }
    }
    later
}
