//! Machines with starts that are recorded and may not have been sent.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::rate_limit::TokenBucket;

/// Starts that a whole core sends per second to agents without a heartbeat to answer; a part
/// of a core accordingly fewer. Each needs a connection of its own.
const DIRECT_STARTS_PER_CORE: f64 = 600.0;

/// Machines with recorded starts that may not be on their way, and the rate limit for sending
/// such starts directly.
#[derive(Debug)]
pub(super) struct StartQueue {
    machines: BTreeSet<Arc<str>>,
    /// Those added since [`StartQueue::take_new`] was last called.
    new_machines: Vec<Arc<str>>,
    direct_limit: TokenBucket,
    /// How many machines were considered for direct starts.
    considered: u64,
}

impl StartQueue {
    pub(super) fn new(cpu_share: f64) -> StartQueue {
        let rate = (cpu_share * DIRECT_STARTS_PER_CORE).max(1.0);
        StartQueue {
            machines: BTreeSet::new(),
            new_machines: vec![],
            direct_limit: TokenBucket::new(rate),
            considered: 0,
        }
    }

    /// A machine has recorded starts that may not be on their way.
    pub(super) fn insert(&mut self, machine: Arc<str>) {
        self.new_machines.push(machine.clone());
        self.machines.insert(machine);
    }

    pub(super) fn remove(&mut self, machine: &str) {
        self.machines.remove(machine);
    }

    pub(super) fn contains(&self, machine: &str) -> bool {
        self.machines.contains(machine)
    }

    /// The machines that were added since the last call.
    pub(super) fn take_new(&mut self) -> Vec<Arc<str>> {
        std::mem::take(&mut self.new_machines)
    }

    /// Removes the next machine to consider for direct starts. `None` if there is none or the
    /// rate limit is reached: the machines that are left may send a heartbeat first.
    pub(super) fn pop_within_limit(&mut self, now: u64) -> Option<Arc<str>> {
        if self.direct_limit.available(now, 0.0) == 0 {
            return None;
        }
        let machine = self.machines.pop_first()?;
        self.considered += 1;
        Some(machine)
    }

    /// Counts a machine's direct starts against the rate limit.
    pub(super) fn charge(&mut self, now: u64) {
        let _ = self.direct_limit.try_take(now, 1.0, 0.0);
    }

    pub(super) fn considered(&self) -> u64 {
        self.considered
    }
}
