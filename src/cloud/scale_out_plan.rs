//! The plan under construction: machines in provisioning and to be rented, with their free
//! capacity.

use super::offerings::InstanceOffering;
use super::open_demand::OpenDemand;
use super::IncomingMachines;
use crate::plan::Resources;

/// Machines of an offering, in provisioning or to be rented, with equal free capacity.
#[derive(Debug, Clone, Copy)]
pub(super) struct MachineGroup {
    /// The offering's index.
    pub offering: usize,
    /// The free capacity of each machine.
    pub free: Resources,
    /// The number of machines.
    pub count: u64,
}

/// Machines of an offering to be rented.
#[derive(Debug, Clone, Copy)]
pub(super) struct RentedMachines {
    /// The offering's index.
    pub offering: usize,
    /// The number of machines.
    pub count: u64,
}

/// Machines of a group that receive the same number of tasks each.
struct GroupPart {
    count: u64,
    tasks_each: u32,
}

/// The machines to rent so far, and the free capacity of all machines that demands can use.
#[derive(Clone)]
pub(super) struct ScaleOutPlan {
    groups: Vec<MachineGroup>,
    /// Machines to rent, in the order of the demands that they are for.
    rented: Vec<RentedMachines>,
    rented_count: u64,
    price: f64,
}

impl ScaleOutPlan {
    /// Creates a plan that rents nothing. Ignores machines in provisioning of kinds that the cloud
    /// no longer offers.
    pub(super) fn new(
        incoming: &[IncomingMachines],
        offerings: &[InstanceOffering],
    ) -> ScaleOutPlan {
        let group = |machines: &IncomingMachines| {
            let mut kinds = offerings.iter().map(|offering| &offering.kind);
            let offering = kinds.position(|kind| *kind == machines.kind)?;
            Some(MachineGroup {
                offering,
                free: offerings[offering].capacity,
                count: machines.count,
            })
        };
        ScaleOutPlan {
            groups: incoming.iter().filter_map(group).collect(),
            rented: vec![],
            rented_count: 0,
            price: 0.0,
        }
    }

    /// The machines in provisioning or to be rented.
    pub(super) fn groups(&self) -> &[MachineGroup] {
        &self.groups
    }

    /// The machines to be rented.
    pub(super) fn rented(&self) -> &[RentedMachines] {
        &self.rented
    }

    /// The number of machines to be rented.
    pub(super) fn rented_count(&self) -> u64 {
        self.rented_count
    }

    /// The hourly price of all machines to be rented.
    pub(super) fn price(&self) -> f64 {
        self.price
    }

    /// Rents machines, and returns the index of their group.
    pub(super) fn rent(
        &mut self,
        offering: usize,
        details: &InstanceOffering,
        count: u64,
    ) -> usize {
        self.price += details.price * count as f64;
        self.rented_count += count;
        let mut rented = self.rented.iter_mut();
        match rented.find(|rented| rented.offering == offering) {
            Some(rented) => rented.count += count,
            None => self.rented.push(RentedMachines { offering, count }),
        }
        self.groups.push(MachineGroup {
            offering,
            free: details.capacity,
            count,
        });
        self.groups.len() - 1
    }

    /// Places tasks of a demand on the machines of a group in `zone`, as many as they hold.
    /// Machines that receive tasks become groups of their own.
    pub(super) fn use_group(&mut self, index: usize, open: &mut OpenDemand, zone: &str) {
        let group = self.groups[index];
        let tasks_each = group.free.max_task_count(open.per_task);
        let tasks_max = open.unmet_in_zone(zone);
        if tasks_each == 0 || tasks_max == 0 {
            return;
        }
        let full_count = group.count.min(u64::from(tasks_max / tasks_each));
        let rest = if full_count < group.count {
            tasks_max % tasks_each
        } else {
            0
        };
        let full = GroupPart {
            count: full_count,
            tasks_each,
        };
        let partly_used = GroupPart {
            count: u64::from(rest > 0),
            tasks_each: rest,
        };
        self.split_group(index, &full, open.per_task);
        self.split_group(index, &partly_used, open.per_task);
        open.add_placed(zone, full_count as u32 * tasks_each + rest);
    }

    /// Moves a part of a group to a group of its own, with the capacity that remains after its
    /// tasks are placed.
    fn split_group(&mut self, index: usize, part: &GroupPart, per_task: Resources) {
        if part.count == 0 {
            return;
        }
        let MachineGroup {
            offering, mut free, ..
        } = self.groups[index];
        for _ in 0..part.tasks_each {
            free.sub(per_task);
        }
        self.groups[index].count -= part.count;
        self.groups.push(MachineGroup {
            offering,
            free,
            count: part.count,
        });
    }

    /// Removes the groups without machines.
    pub(super) fn remove_empty_groups(&mut self) {
        self.groups.retain(|group| group.count > 0);
    }
}
