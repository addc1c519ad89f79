//! Heartbeats whose responses wait for start commands, in order of arrival.

use std::collections::{BTreeMap, HashMap};

use crate::wire::AgentStatus;

/// A heartbeat whose response waits for start commands.
#[derive(Debug)]
pub(super) struct DeferredHeartbeat {
    pub connection: usize,
    pub status: AgentStatus,
    /// When the response is sent at the latest, in milliseconds of the steady clock.
    pub until: u64,
}

/// The deferred heartbeats, indexed by order of arrival and by machine, so that an event of one
/// machine does not iterate over those of others.
#[derive(Debug, Default)]
pub(super) struct DeferredHeartbeats {
    next_number: u64,
    by_number: BTreeMap<u64, DeferredHeartbeat>,
    number_by_machine: HashMap<String, u64>,
}

impl DeferredHeartbeats {
    /// Adds a heartbeat. Returns an earlier one of the same machine, whose connection the agent
    /// may have given up.
    pub(super) fn insert(&mut self, heartbeat: DeferredHeartbeat) -> Option<DeferredHeartbeat> {
        let number = self.next_number;
        self.next_number += 1;
        let machine = heartbeat.status.machine.clone();
        let earlier = self.number_by_machine.insert(machine, number);
        self.by_number.insert(number, heartbeat);
        earlier.and_then(|number| self.by_number.remove(&number))
    }

    /// Removes and returns the heartbeats of the given machines, in order of arrival.
    pub(super) fn take_for_machines<'a>(
        &mut self,
        machines: impl Iterator<Item = &'a str>,
    ) -> Vec<DeferredHeartbeat> {
        let numbers = machines.filter_map(|machine| self.number_by_machine.remove(machine));
        let mut numbers: Vec<u64> = numbers.collect();
        numbers.sort_unstable();
        let heartbeats = numbers.iter();
        heartbeats
            .filter_map(|number| self.by_number.remove(number))
            .collect()
    }

    /// Removes and returns the heartbeats whose deferral is over. All are deferred equally long,
    /// so these are the first ones.
    pub(super) fn take_due(&mut self, now: u64) -> Vec<DeferredHeartbeat> {
        let mut due = Vec::new();
        while let Some(first) = self.by_number.first_entry() {
            if now < first.get().until {
                break;
            }
            let heartbeat = first.remove();
            self.number_by_machine.remove(&heartbeat.status.machine);
            due.push(heartbeat);
        }
        due
    }

    /// Removes and returns all heartbeats.
    pub(super) fn take_all(&mut self) -> Vec<DeferredHeartbeat> {
        self.number_by_machine.clear();
        std::mem::take(&mut self.by_number).into_values().collect()
    }
}
