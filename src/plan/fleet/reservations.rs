//! Capacity that is reserved on machines for preemptors.

use std::collections::HashMap;
use std::sync::Arc;

use super::team_quotas::TeamQuotas;
use crate::plan::precedence::Precedence;
use crate::plan::resources::Resources;
use crate::plan::snapshot::{MachineView, Reservation};

/// Capacity that is reserved for a preemptor.
#[derive(Debug, Clone)]
pub(in crate::plan) struct ReservedCapacity {
    /// The preemptor's job id.
    pub job: Arc<str>,
    /// The reserved capacity; jobs of a higher precedence may still use it.
    pub resources: Resources,
    /// The preemptor's precedence.
    pub precedence: Precedence,
}

impl ReservedCapacity {
    fn new(reservation: &Reservation, quotas: &TeamQuotas) -> ReservedCapacity {
        ReservedCapacity {
            job: reservation.job.clone(),
            resources: reservation.resources,
            precedence: quotas.precedence(&reservation.team, reservation.priority),
        }
    }
}

/// The reservations on all machines.
pub(in crate::plan) struct Reservations {
    by_machine: Vec<Vec<ReservedCapacity>>,
    /// Jobs that had reservations when the cycle began and still have them, with their machines.
    holders: HashMap<Arc<str>, Vec<usize>>,
}

impl Reservations {
    /// Collects the reservations at the beginning of a cycle.
    pub(crate) fn new(machines: &[Arc<MachineView>], quotas: &TeamQuotas) -> Reservations {
        let mut holders: HashMap<Arc<str>, Vec<usize>> = HashMap::new();
        for (index, machine) in machines.iter().enumerate() {
            for reservation in &machine.reservations {
                let holder = holders.entry(reservation.job.clone());
                holder.or_default().push(index);
            }
        }
        let by_machine = machines.iter().map(|machine| {
            let reservations = machine.reservations.iter();
            let reserved = reservations.map(|held| ReservedCapacity::new(held, quotas));
            reserved.collect()
        });
        Reservations {
            by_machine: by_machine.collect(),
            holders,
        }
    }

    /// The reservations on a machine.
    pub(crate) fn on(&self, machine: usize) -> &[ReservedCapacity] {
        &self.by_machine[machine]
    }

    /// Whether a job had a reservation when the cycle began, and still has it.
    pub(crate) fn is_holder(&self, job: &str) -> bool {
        self.holders.contains_key(job)
    }

    /// The machines that a job had reservations on when the cycle began, and still has.
    pub(crate) fn machines_of(&self, job: &str) -> &[usize] {
        self.holders.get(job).map_or(&[], Vec::as_slice)
    }

    /// Adds a reservation on a machine. The job does not become a holder in this cycle, because a
    /// preemptor gets no further search before the next one.
    pub(crate) fn add(&mut self, machine: usize, reservation: ReservedCapacity) {
        self.by_machine[machine].push(reservation);
    }

    /// Releases the reservations of a holder, and returns their machines.
    pub(crate) fn release(&mut self, job: &str) -> Vec<usize> {
        let machines = self.holders.remove(job).unwrap_or_default();
        for machine in &machines {
            self.by_machine[*machine].retain(|reservation| *reservation.job != *job);
        }
        machines
    }
}
