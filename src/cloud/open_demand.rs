//! A demand that is being satisfied step by step.

use super::offerings::{allowed_offerings, InstanceOffering};
use super::Demand;
use crate::plan::{Resources, ZoneCounts};

/// A demand and the number of its tasks that are still without a machine.
pub(super) struct OpenDemand<'a> {
    pub demand: &'a Demand,
    /// The demand's index among all demands.
    pub index: usize,
    /// The resources that each task requests.
    pub per_task: Resources,
    /// For each offering, whether the job may use its machines.
    pub allowed: Vec<bool>,
    /// The number of tasks without a machine.
    pub unmet_count: u32,
    zones: ZoneCounts,
}

impl<'a> OpenDemand<'a> {
    /// Creates a demand with all its tasks unmet. `zones`: the job's other tasks by zone.
    pub(super) fn new(
        index: usize,
        demand: &'a Demand,
        zones: &ZoneCounts,
        offerings: &[InstanceOffering],
    ) -> OpenDemand<'a> {
        OpenDemand {
            demand,
            index,
            per_task: Resources::of(&demand.spec),
            allowed: allowed_offerings(&demand.spec, offerings),
            unmet_count: demand.count,
            zones: zones.clone(),
        }
    }

    /// How many more tasks of the job may be in a zone.
    pub(super) fn allowed_in_zone(&self, zone: &str) -> u32 {
        self.demand.allowed_in_zone(zone, &self.zones)
    }

    /// How many of the tasks without a machine may be in a zone.
    pub(super) fn unmet_in_zone(&self, zone: &str) -> u32 {
        self.unmet_count.min(self.allowed_in_zone(zone))
    }

    /// Counts tasks as placed in a zone.
    pub(super) fn add_placed(&mut self, zone: &str, count: u32) {
        self.unmet_count -= count;
        *self.zones.entry(zone.into()).or_insert(0) += count;
    }
}
