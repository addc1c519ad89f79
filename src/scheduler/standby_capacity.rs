//! Standby capacity: on-demand machines that are kept for jobs that must not run on spot
//! machines.

use std::collections::HashSet;
use std::sync::Arc;

use super::arrivals::ArrivalRate;
use super::Scheduler;
use crate::cloud::{self, Demand};
use crate::machine::Machine;
use crate::plan::{is_kind_allowed, Resources, ZoneCounts};

/// The standby capacity of all job classes.
#[derive(Default)]
pub(super) struct StandbyCapacity {
    /// Existing machines that are kept.
    pub machines: HashSet<Arc<str>>,
    /// Demand for machines that still have to be provisioned.
    pub unmet: Vec<Demand>,
}

/// A machine that could be kept, and how many tasks of the class fit on it.
struct StandbyCandidate<'a> {
    machine: &'a Machine,
    task_slots: usize,
}

impl Scheduler {
    /// The standby capacity, sized by the recent arrival rate of such jobs.
    pub(super) fn standby_capacity(&self, now: u64) -> StandbyCapacity {
        let mut standby_capacity = StandbyCapacity::default();
        let boot_s = self.catalog.longest_boot_s();
        for arrivals in self.arrivals.iter() {
            let tasks =
                arrivals.tasks_per_second(now, boot_s) * boot_s * self.operator.reserve_boots;
            let target_slots = tasks.round() as usize;
            if target_slots > 0 {
                self.add_standby_for(arrivals, target_slots, &mut standby_capacity);
            }
        }
        standby_capacity
    }

    fn add_standby_for(
        &self,
        arrivals: &ArrivalRate,
        target_slots: usize,
        standby_capacity: &mut StandbyCapacity,
    ) {
        let machines = self.machines.values();
        let mut candidates: Vec<StandbyCandidate> = machines
            .filter_map(|machine| self.standby_candidate(machine, arrivals))
            .filter(|candidate| !standby_capacity.machines.contains(&candidate.machine.name))
            .collect();
        // Tasks start sooner on machines that already have their image, so machines with the most
        // images come first.
        candidates.sort_by(|a, b| {
            let most_images = b.machine.images.count().cmp(&a.machine.images.count());
            most_images.then(a.machine.name.cmp(&b.machine.name))
        });
        let mut kept_slots = 0;
        for candidate in candidates {
            if kept_slots >= target_slots {
                break;
            }
            kept_slots += candidate.task_slots;
            let name = candidate.machine.name.clone();
            standby_capacity.machines.insert(name);
        }
        if target_slots > kept_slots {
            standby_capacity.unmet.push(Demand {
                spec: arrivals.spec.clone(),
                count: (target_slots - kept_slots) as u32,
                zones: ZoneCounts::new(),
                on_demand_price_ratio: 0.0,
            });
        }
    }

    /// The machine as standby capacity for a job class; `None` if it is unsuitable.
    fn standby_candidate<'a>(
        &self,
        machine: &'a Machine,
        arrivals: &ArrivalRate,
    ) -> Option<StandbyCandidate<'a>> {
        let spec = &arrivals.spec;
        // Runs for every machine in each plan, so the cheap checks come first.
        let is_usable = !machine.spot
            && machine.termination_reason.is_none()
            && machine.bound_tasks.iter().all(|task| task.spot)
            && is_kind_allowed(spec, &machine.machine_type, &machine.zone, false);
        if !is_usable {
            return None;
        }
        let machine_type = self.catalog.machine_type(&machine.machine_type)?;
        let task_slots = cloud::capacity(machine_type).max_task_count(Resources::of(spec)) as usize;
        (task_slots > 0).then_some(StandbyCandidate {
            machine,
            task_slots,
        })
    }
}
