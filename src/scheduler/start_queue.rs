//! Queue of the machines with committed starts that may not have been sent.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::rate_limit::TokenBucket;

/// Machines per second to which a controller with a whole core sends direct starts; with a share
/// of a core proportionally fewer. Each of them needs a connection of its own.
const DIRECT_STARTS_PER_CORE_PER_S: f64 = 600.0;

/// Machines with committed starts that may not be in flight, and the rate limit for sending such
/// starts directly.
#[derive(Debug)]
pub(super) struct StartQueue {
    machines: BTreeSet<Arc<str>>,
    /// Machines added since [`StartQueue::take_new`] was last called.
    new_machines: Vec<Arc<str>>,
    direct_limit: TokenBucket,
    /// Number of machines considered for direct starts since the term began.
    considered: u64,
}

impl StartQueue {
    pub(super) fn new(cpu_share: f64) -> StartQueue {
        let rate = (cpu_share * DIRECT_STARTS_PER_CORE_PER_S).max(1.0);
        StartQueue {
            machines: BTreeSet::new(),
            new_machines: vec![],
            direct_limit: TokenBucket::new(rate),
            considered: 0,
        }
    }

    /// Adds a machine with committed starts that may not be in flight.
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

    /// Returns the machines that were added since the last call.
    pub(super) fn take_new(&mut self) -> Vec<Arc<str>> {
        std::mem::take(&mut self.new_machines)
    }

    /// Removes and returns the next machine to consider for direct starts. `None` if there is
    /// none or the rate limit is reached; the remaining machines may send a heartbeat before the
    /// next call, and then get their starts in the response.
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
