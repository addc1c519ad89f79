//! Chooses the controller that is the candidate for each duty's lease.
//!
//! The assignment is a pure function of the local view of live controllers and holders.
//! Controllers with different views may choose different candidates; the leases then decide
//! which of them holds the duty.

use std::collections::BTreeMap;

use crate::Duty;

/// Number of duties by which a controller must exceed another before one is moved.
const REBALANCE_MIN_DIFFERENCE: usize = 2;

/// A live controller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LiveMember {
    /// Its id in the cluster, as in the lease keys that it holds.
    pub name: String,
    /// Time for which it has been live without interruption, in milliseconds.
    pub live_for_ms: u64,
}

/// Constraints on an assignment.
#[derive(Debug, Clone, Default)]
pub struct AssignmentRules {
    /// Time for which a controller must have been live before it gets duties of others, in
    /// milliseconds, so that a flapping controller moves no duties.
    pub settle_ms: u64,
    /// The controllers that operators chose for duties; ignored while they are not live.
    pub pinned: BTreeMap<Duty, String>,
}

/// Assigns duties to the live controllers; empty if there are none.
///
/// A duty stays with its holder while the holder is live, unless operators pinned it to
/// another controller or another controller has at least two duties fewer. Controllers with
/// the same view compute the same assignment.
pub fn assign(
    duties: &[Duty],
    live: &[LiveMember],
    current_holders: &BTreeMap<Duty, String>,
    rules: &AssignmentRules,
) -> BTreeMap<Duty, String> {
    if live.is_empty() {
        return BTreeMap::new();
    }
    let mut assignment = Assignment::new(live);
    assignment.keep(duties, current_holders, rules);
    let settled = settled_members(live, rules.settle_ms);
    assignment.distribute(duties, &settled);
    assignment.balance(&settled, rules);
    assignment.assigned
}

/// Controllers that may get duties; all live ones if none has been live for `settle_ms`.
fn settled_members(live: &[LiveMember], settle_ms: u64) -> Vec<&str> {
    let is_settled = |member: &LiveMember| member.live_for_ms >= settle_ms;
    let none_settled = !live.iter().any(is_settled);
    let mut names: Vec<&str> = live
        .iter()
        .filter(|member| none_settled || is_settled(member))
        .map(|member| member.name.as_str())
        .collect();
    names.sort_unstable();
    names
}

/// An assignment under construction.
struct Assignment<'a> {
    assigned: BTreeMap<Duty, String>,
    /// Number of duties assigned to each live controller.
    loads: BTreeMap<&'a str, usize>,
}

impl<'a> Assignment<'a> {
    fn new(live: &'a [LiveMember]) -> Assignment<'a> {
        let names = live.iter().map(|member| member.name.as_str());
        Assignment {
            assigned: BTreeMap::new(),
            loads: names.map(|name| (name, 0)).collect(),
        }
    }

    /// Assigns duties that are pinned to, or held by, a live controller. Runs before any duty
    /// moves, so that the loads include them.
    fn keep(
        &mut self,
        duties: &[Duty],
        current_holders: &BTreeMap<Duty, String>,
        rules: &AssignmentRules,
    ) {
        for duty in duties {
            let preferred = [rules.pinned.get(duty), current_holders.get(duty)];
            let mut names = preferred.into_iter().flatten();
            if let Some(name) = names.find(|name| self.loads.contains_key(name.as_str())) {
                self.add(*duty, name);
            }
        }
    }

    /// Assigns each remaining duty to the settled controller with the fewest duties.
    fn distribute(&mut self, duties: &[Duty], settled: &[&'a str]) {
        for duty in duties {
            if self.assigned.contains_key(duty) {
                continue;
            }
            if let Some(name) = self.least_loaded(settled) {
                self.add(*duty, name);
            }
        }
    }

    /// Moves unpinned duties from controllers that have at least
    /// [`REBALANCE_MIN_DIFFERENCE`] more than the least loaded one.
    fn balance(&mut self, settled: &[&'a str], rules: &AssignmentRules) {
        let duties: Vec<Duty> = self.assigned.keys().copied().collect();
        for duty in duties {
            let name = &self.assigned[&duty];
            if rules.pinned.get(&duty) == Some(name) {
                continue;
            }
            let Some(target) = self.least_loaded(settled) else {
                continue;
            };
            if self.load(name) >= self.load(target) + REBALANCE_MIN_DIFFERENCE {
                self.remove(duty);
                self.add(duty, target);
            }
        }
    }

    fn add(&mut self, duty: Duty, name: &str) {
        if let Some(load) = self.loads.get_mut(name) {
            *load += 1;
        }
        self.assigned.insert(duty, name.to_string());
    }

    fn remove(&mut self, duty: Duty) {
        let name = self.assigned.remove(&duty);
        if let Some(load) = name.and_then(|name| self.loads.get_mut(name.as_str())) {
            *load -= 1;
        }
    }

    fn load(&self, name: &str) -> usize {
        self.loads.get(name).copied().unwrap_or(0)
    }

    /// The controller with the fewest duties; the first by name among equals.
    fn least_loaded(&self, members: &[&'a str]) -> Option<&'a str> {
        members.iter().copied().min_by_key(|name| self.load(name))
    }
}
