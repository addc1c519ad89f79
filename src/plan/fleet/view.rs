//! Read access to a fleet, with earmarked capacity counted as free or as used.

use std::sync::Arc;

use super::{Earmarks, Fleet, ReservedCapacity, TaskIndex};
use crate::plan::precedence::Precedence;
use crate::plan::resources::Resources;

/// The read-only view of a fleet that a search uses.
///
/// Capacity that is earmarked for unplaced jobs is free for any job that can start now, but must
/// not count for two jobs when unmet demand is calculated; hence the two kinds of view.
#[derive(Clone, Copy)]
pub(in crate::plan) struct FleetView<'a> {
    /// The machines and teams.
    pub fleet: &'a Fleet,
    /// Capacity that counts as used; `None` if earmarked capacity counts as free.
    earmarks: Option<&'a Earmarks>,
}

impl<'a> FleetView<'a> {
    /// Creates a view in which the capacity of `earmarks`, if any, counts as used.
    pub(crate) fn new(fleet: &'a Fleet, earmarks: Option<&'a Earmarks>) -> FleetView<'a> {
        FleetView { fleet, earmarks }
    }

    /// The view for placements and preemptions: earmarked capacity counts as free.
    pub(crate) fn actual(fleet: &'a Fleet) -> FleetView<'a> {
        FleetView::new(fleet, None)
    }

    /// The view for unmet demand: earmarked capacity counts as used.
    pub(crate) fn without_earmarks(fleet: &'a Fleet, earmarks: &'a Earmarks) -> FleetView<'a> {
        FleetView::new(fleet, Some(earmarks))
    }

    /// The free capacity for a job: reservations of other jobs count as used, except those of
    /// lower precedence.
    pub(crate) fn free_for(
        &self,
        machine: usize,
        job: &Arc<str>,
        precedence: Precedence,
    ) -> Resources {
        self.free_excluding(machine, |reserved| {
            reserved.job != *job && reserved.precedence >= precedence
        })
    }

    /// The free capacity for a job of this precedence that has no reservation on the machine.
    pub(crate) fn free_for_precedence(&self, machine: usize, precedence: Precedence) -> Resources {
        self.free_excluding(machine, |reserved| reserved.precedence >= precedence)
    }

    /// The free capacity with all reservations counted as used.
    pub(crate) fn unreserved_capacity(&self, machine: usize) -> Resources {
        self.free_excluding(machine, |_| true)
    }

    fn free_excluding(
        &self,
        machine: usize,
        counts: impl Fn(&ReservedCapacity) -> bool,
    ) -> Resources {
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

    /// Whether a task has already been chosen as a victim.
    pub(crate) fn is_victim(&self, task: TaskIndex) -> bool {
        let is_prospective = |earmarks: &Earmarks| earmarks.is_prospective_victim(task);
        self.fleet.victims[task.machine].contains(&task.task)
            || self.earmarks.is_some_and(is_prospective)
    }
}
