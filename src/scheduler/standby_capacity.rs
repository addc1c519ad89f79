//! Standby capacity: on-demand machines that are held ready for jobs that spot machines must
//! not run.

use std::collections::HashSet;
use std::sync::Arc;

use super::arrivals::ArrivalRate;
use super::Scheduler;
use crate::cloud::{self, Demand};
use crate::machine::Machine;
use crate::plan::{is_allowed, Resources, ZoneCounts};

/// The standby capacity of all job classes.
#[derive(Default)]
pub(super) struct StandbyCapacity {
    /// Machines that are held ready.
    pub machines: HashSet<Arc<str>>,
    /// Standby capacity that has yet to be provisioned.
    pub unmet: Vec<Demand>,
}

/// A machine that could be held ready, and how many tasks of the class fit on it.
struct StandbyCandidate<'a> {
    machine: &'a Machine,
    task_slots: usize,
}

impl Scheduler {
    /// The standby capacity, sized by how often such jobs arrived recently.
    pub(super) fn standby_capacity(&self, now: u64) -> StandbyCapacity {
        let mut standby_capacity = StandbyCapacity::default();
        let boot_s = self.catalog.longest_boot_s();
        for arrivals in self.arrivals.iter() {
            let tasks = arrivals.per_second(now, boot_s) * boot_s * self.operator.reserve_boots;
            let wanted = tasks.round() as usize;
            if wanted > 0 {
                self.add_standby_for(arrivals, wanted, &mut standby_capacity);
            }
        }
        standby_capacity
    }

    fn add_standby_for(
        &self,
        arrivals: &ArrivalRate,
        wanted: usize,
        standby_capacity: &mut StandbyCapacity,
    ) {
        let machines = self.machines.values();
        let mut candidates: Vec<StandbyCandidate> = machines
            .filter_map(|machine| self.standby_candidate(machine, arrivals))
            .filter(|candidate| !standby_capacity.machines.contains(&candidate.machine.name))
            .collect();
        // The more images a machine has, the sooner tasks begin there.
        candidates.sort_by(|a, b| {
            let most_images = b.machine.images.count().cmp(&a.machine.images.count());
            most_images.then(a.machine.name.cmp(&b.machine.name))
        });
        let mut held = 0;
        for candidate in candidates {
            if held >= wanted {
                break;
            }
            held += candidate.task_slots;
            let name = candidate.machine.name.clone();
            standby_capacity.machines.insert(name);
        }
        if wanted > held {
            standby_capacity.unmet.push(Demand {
                spec: arrivals.spec.clone(),
                count: (wanted - held) as u32,
                zones: ZoneCounts::new(),
                on_demand_price_ratio: 0.0,
            });
        }
    }

    /// A machine as standby capacity for a class, if it can be.
    fn standby_candidate<'a>(
        &self,
        machine: &'a Machine,
        arrivals: &ArrivalRate,
    ) -> Option<StandbyCandidate<'a>> {
        let spec = &arrivals.spec;
        // Each plan asks for all machines: the cheap checks come first.
        let is_usable = !machine.spot
            && machine.termination_reason.is_none()
            && machine.bound_tasks.iter().all(|task| task.spot)
            && is_allowed(spec, &machine.machine_type, &machine.zone, false);
        if !is_usable {
            return None;
        }
        let machine_type = self.catalog.machine_type(&machine.machine_type)?;
        let task_slots = cloud::capacity(machine_type).count_of(Resources::of(spec)) as usize;
        (task_slots > 0).then_some(StandbyCandidate {
            machine,
            task_slots,
        })
    }
}
