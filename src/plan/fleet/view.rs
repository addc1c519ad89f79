//! What a reader sees of a fleet, with or without earmarked capacity.

use std::sync::Arc;

use super::{Earmarks, Fleet, TaskIndex};
use crate::job::Priority;
use crate::plan::resources::Resources;
use crate::plan::snapshot::Reservation;

/// A fleet as a search sees it.
///
/// Capacity that is earmarked for gangs without a placement is free for any job that can start
/// now, but counts only once when unmet demand is calculated. So there are two views.
#[derive(Clone, Copy)]
pub(in crate::plan) struct FleetView<'a> {
    /// The machines and teams.
    pub fleet: &'a Fleet,
    /// What does not count as free; `None`: earmarked capacity counts as free.
    earmarks: Option<&'a Earmarks>,
}

impl<'a> FleetView<'a> {
    /// The fleet without the capacity of the earmarks, if any.
    pub(crate) fn new(fleet: &'a Fleet, earmarks: Option<&'a Earmarks>) -> FleetView<'a> {
        FleetView { fleet, earmarks }
    }

    /// The fleet as it is, for placements and preemptions.
    pub(crate) fn actual(fleet: &'a Fleet) -> FleetView<'a> {
        FleetView::new(fleet, None)
    }

    /// The fleet without earmarked capacity, for unmet demand.
    pub(crate) fn without_earmarks(fleet: &'a Fleet, earmarks: &'a Earmarks) -> FleetView<'a> {
        FleetView::new(fleet, Some(earmarks))
    }

    /// The free capacity for a job: reservations of others count as used, unless the job has
    /// a higher priority.
    pub(crate) fn free_for(&self, machine: usize, job: &Arc<str>, priority: Priority) -> Resources {
        self.free_excluding(machine, |reservation| {
            reservation.job != *job && reservation.priority >= priority
        })
    }

    /// The free capacity for a job of a priority without a reservation on the machine.
    pub(crate) fn free_for_priority(&self, machine: usize, priority: Priority) -> Resources {
        self.free_excluding(machine, |reservation| reservation.priority >= priority)
    }

    /// The free capacity beside all reservations.
    pub(crate) fn unreserved_capacity(&self, machine: usize) -> Resources {
        self.free_excluding(machine, |_| true)
    }

    fn free_excluding(&self, machine: usize, counts: impl Fn(&Reservation) -> bool) -> Resources {
        let mut free = self.fleet.free[machine];
        for reservation in self.fleet.reservations.on(machine) {
            if counts(reservation) {
                free.sub(reservation.resources);
            }
        }
        if let Some(earmarks) = self.earmarks {
            free.sub(earmarks.capacity_on(machine));
        }
        free
    }

    /// Whether a task is a victim of another job already.
    pub(crate) fn is_victim(&self, task: TaskIndex) -> bool {
        let is_prospective = |earmarks: &Earmarks| earmarks.is_prospective_victim(task);
        self.fleet.victims[task.machine].contains(&task.task)
            || self.earmarks.is_some_and(is_prospective)
    }
}
