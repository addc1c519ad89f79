//! On-demand machines that are held ready for work that spot machines must not take.

use std::collections::HashSet;
use std::sync::Arc;

use super::arrivals::ArrivalRate;
use super::Scheduler;
use crate::cloud::{self, Demand};
use crate::machine::Machine;
use crate::plan::{is_allowed, Resources, ZoneCounts};

/// Machines held ready, and what of them is missing.
#[derive(Default)]
pub(super) struct StandbyCapacity {
    pub machines: HashSet<Arc<str>>,
    pub missing: Vec<Demand>,
}

impl Scheduler {
    /// The reserve, by how often such work came lately.
    pub(super) fn standby_capacity(&self, now: u64) -> StandbyCapacity {
        let mut standby_capacity = StandbyCapacity::default();
        let boot_s = self.boot_s();
        for arrivals in self.arrivals.values() {
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
        let mut suitable: Vec<(&Machine, usize)> = self
            .machines
            .values()
            .filter_map(|machine| Some((machine, self.standby_tasks_on(machine, arrivals)?)))
            .filter(|(machine, _)| !standby_capacity.machines.contains(&machine.name))
            .collect();
        // The more images are there already, the sooner work begins.
        suitable.sort_by(|(a, _), (b, _)| {
            let most_images = b.images.len().cmp(&a.images.len());
            most_images.then(a.name.cmp(&b.name))
        });
        let mut held = 0;
        for (machine, task_slots) in suitable {
            if held >= wanted {
                break;
            }
            held += task_slots;
            standby_capacity.machines.insert(machine.name.clone());
        }
        if wanted > held {
            standby_capacity.missing.push(Demand {
                spec: arrivals.spec.clone(),
                count: (wanted - held) as u32,
                zones: ZoneCounts::new(),
                ordinary_price_ratio: 0.0,
            });
        }
    }

    /// How many tasks of a class a machine could hold in the reserve, if any.
    fn standby_tasks_on(&self, machine: &Machine, arrivals: &ArrivalRate) -> Option<usize> {
        let spec = &arrivals.spec;
        // Each plan asks for all machines: what is quick to see goes first.
        let usable = !machine.spot
            && machine.termination_reason.is_none()
            && machine.bound_tasks.iter().all(|task| task.spot)
            && is_allowed(spec, &machine.machine_type, &machine.zone, false);
        if !usable {
            return None;
        }
        let machine_type = self.machine_type(&machine.machine_type)?;
        let task_slots = cloud::capacity(machine_type).count_of(Resources::of(spec)) as usize;
        (task_slots > 0).then_some(task_slots)
    }
}
