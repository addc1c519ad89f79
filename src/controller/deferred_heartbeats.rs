//! Heartbeats whose responses wait a moment for starts, in the order in which they came.

use std::collections::{BTreeMap, HashMap};

use crate::wire::AgentStatus;

/// A heartbeat whose response waits.
#[derive(Debug)]
pub(super) struct DeferredHeartbeat {
    pub connection: usize,
    pub status: AgentStatus,
    /// When it is answered in any case.
    pub until: u64,
}

/// The deferred heartbeats. An event of one machine costs no walk over those of others.
#[derive(Debug, Default)]
pub(super) struct DeferredHeartbeats {
    next_number: u64,
    by_number: BTreeMap<u64, DeferredHeartbeat>,
    number_of: HashMap<String, u64>,
}

impl DeferredHeartbeats {
    /// Adds a heartbeat. Returns an earlier one of the same machine, for which nobody may
    /// wait any more.
    pub(super) fn insert(&mut self, heartbeat: DeferredHeartbeat) -> Option<DeferredHeartbeat> {
        let number = self.next_number;
        self.next_number += 1;
        let machine = heartbeat.status.machine.clone();
        let earlier = self.number_of.insert(machine, number);
        self.by_number.insert(number, heartbeat);
        earlier.and_then(|number| self.by_number.remove(&number))
    }

    /// Removes those of the given machines, in the order in which they came.
    pub(super) fn take_of<'a>(
        &mut self,
        machines: impl Iterator<Item = &'a str>,
    ) -> Vec<DeferredHeartbeat> {
        let numbers = machines.filter_map(|machine| self.number_of.remove(machine));
        let mut numbers: Vec<u64> = numbers.collect();
        numbers.sort_unstable();
        let heartbeats = numbers.iter();
        heartbeats
            .filter_map(|number| self.by_number.remove(number))
            .collect()
    }

    /// Removes those whose time is over. All wait equally long, so these came first.
    pub(super) fn take_due(&mut self, now: u64) -> Vec<DeferredHeartbeat> {
        let mut due = Vec::new();
        while let Some(first) = self.by_number.first_entry() {
            if now < first.get().until {
                break;
            }
            let heartbeat = first.remove();
            self.number_of.remove(&heartbeat.status.machine);
            due.push(heartbeat);
        }
        due
    }

    /// Removes all.
    pub(super) fn take_all(&mut self) -> Vec<DeferredHeartbeat> {
        self.number_of.clear();
        std::mem::take(&mut self.by_number).into_values().collect()
    }
}
