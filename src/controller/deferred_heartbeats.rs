//! Heartbeats whose answers wait a moment for starts.

use std::collections::{BTreeMap, HashMap};

use crate::wire::AgentStatus;

/// A heartbeat whose answer waits.
#[derive(Debug)]
pub(super) struct DeferredHeartbeat {
    pub connection: usize,
    pub report: AgentStatus,
    /// When it is answered in any case.
    pub until: u64,
}

/// The heartbeats that wait, in the order in which they came. Whatever happens to one machine
/// looks at that machine's heartbeat only.
#[derive(Debug, Default)]
pub(super) struct DeferredHeartbeats {
    next_number: u64,
    by_number: BTreeMap<u64, DeferredHeartbeat>,
    number_of: HashMap<String, u64>,
}

impl DeferredHeartbeats {
    /// Adds a heartbeat. Returns an earlier one of the same machine, for which nobody may
    /// wait any more.
    pub fn insert(&mut self, held: DeferredHeartbeat) -> Option<DeferredHeartbeat> {
        let number = self.next_number;
        self.next_number += 1;
        let machine = held.report.machine.clone();
        let earlier = self.number_of.insert(machine, number);
        self.by_number.insert(number, held);
        earlier.and_then(|number| self.by_number.remove(&number))
    }

    /// Takes out those of the given machines, in the order in which they came.
    pub fn take_of<'a>(
        &mut self,
        machines: impl Iterator<Item = &'a str>,
    ) -> Vec<DeferredHeartbeat> {
        let numbers = machines.filter_map(|machine| self.number_of.remove(machine));
        let mut numbers: Vec<u64> = numbers.collect();
        numbers.sort_unstable();
        let held = numbers
            .iter()
            .filter_map(|number| self.by_number.remove(number));
        held.collect()
    }

    /// Takes out those whose time is over. All wait equally long, so these came first.
    pub fn take_due(&mut self, now: u64) -> Vec<DeferredHeartbeat> {
        let mut due = Vec::new();
        while let Some(first) = self.by_number.first_entry() {
            if now < first.get().until {
                break;
            }
            let held = first.remove();
            self.number_of.remove(&held.report.machine);
            due.push(held);
        }
        due
    }

    /// Takes out all.
    pub fn take_all(&mut self) -> Vec<DeferredHeartbeat> {
        self.number_of.clear();
        std::mem::take(&mut self.by_number).into_values().collect()
    }
}
