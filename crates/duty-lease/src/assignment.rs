//! Which controller is to be the candidate for each duty.
//!
//! A pure function of what a controller knows. Controllers that know different things may
//! come to different results; the leases decide then.

use std::collections::BTreeMap;

use crate::Duty;

/// A duty moves for balance only from a controller that has this many more than another.
const IMBALANCE: usize = 2;

/// A controller that is live.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LiveMember {
    /// Its name.
    pub name: String,
    /// For how long it has been live without a gap, in milliseconds.
    pub live_for_ms: u64,
}

/// The rules of an assignment.
#[derive(Debug, Clone, Default)]
pub struct AssignmentRules {
    /// A controller gets duties of others only once it has been live for this time, in
    /// milliseconds, so that one that comes and goes moves nothing.
    pub settle_ms: u64,
    /// Where operators want a duty to be, while that controller is live.
    pub pinned: BTreeMap<Duty, String>,
}

/// Assigns duties to the live controllers; without any, to none.
///
/// A duty stays where it is while its controller is live, unless operators want it elsewhere
/// or another controller has at least two duties less. All controllers that know the same
/// come to the same result.
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

/// Controllers that may get duties; all that are live if none has been for long enough.
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

/// An assignment in the making.
struct Assignment<'a> {
    assigned: BTreeMap<Duty, String>,
    /// How many duties each live controller has.
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

    /// Assigns duties that are pinned to, or held by, a live controller. They are counted
    /// before any duty moves.
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

    /// Assigns the duties that are left, each to the settled controller with the least.
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

    /// Moves duties that are not pinned from controllers that have too many more than
    /// another.
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
            if self.load(name) >= self.load(target) + IMBALANCE {
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
