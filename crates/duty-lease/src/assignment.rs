//! Which controller each duty is to be with.

use std::collections::BTreeMap;

use crate::Duty;

/// A controller that is heard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LiveMember {
    /// Its name.
    pub name: String,
    /// For how long it has been heard without a gap.
    pub live_for_ms: u64,
}

/// What an assignment goes by.
#[derive(Debug, Clone, Default)]
pub struct AssignmentRules {
    /// A controller gets duties of others only once it has been live for so long, so that
    /// one that comes and goes moves nothing.
    pub settle_ms: u64,
    /// Where operators want a duty to be, for as long as that controller is live.
    pub pinned: BTreeMap<Duty, String>,
}

/// Spreads duties over the live controllers.
///
/// A duty stays where it is as long as its controller is live, unless operators want it
/// elsewhere or another controller has at least two duties less. All controllers that know
/// the same come to the same result; if they don't, the leases decide.
pub fn assign(
    duties: &[Duty],
    live: &[LiveMember],
    current_holders: &BTreeMap<Duty, String>,
    rules: &AssignmentRules,
) -> BTreeMap<Duty, String> {
    let mut assigned = BTreeMap::new();
    let mut loads: BTreeMap<&str, usize> = live.iter().map(|m| (m.name.as_str(), 0)).collect();
    if loads.is_empty() {
        return assigned;
    }
    // What is pinned, and what stays, is counted before anything is moved.
    for duty in duties {
        let pinned = rules.pinned.get(duty);
        let wanted = [pinned, current_holders.get(duty)].into_iter().flatten();
        let stays = wanted
            .map(String::as_str)
            .find(|name| loads.contains_key(name));
        if let Some(name) = stays {
            loads.entry(name).and_modify(|load| *load += 1);
            assigned.insert(*duty, name.to_string());
        }
    }
    let settled = settled_members(live, rules.settle_ms);
    for duty in duties {
        if assigned.contains_key(duty) {
            continue;
        }
        if let Some(name) = least_loaded(&settled, &loads) {
            loads.entry(name).and_modify(|load| *load += 1);
            assigned.insert(*duty, name.to_string());
        }
    }
    balance(&mut assigned, &settled, &mut loads, rules);
    assigned
}

/// Controllers that may get duties; all that are live if none has been for long.
fn settled_members(live: &[LiveMember], settle_ms: u64) -> Vec<&str> {
    let is_settled = |member: &&LiveMember| member.live_for_ms >= settle_ms;
    let none_settled = !live.iter().any(|member| is_settled(&member));
    let members = live.iter().filter(|m| none_settled || is_settled(m));
    let mut names: Vec<&str> = members.map(|m| m.name.as_str()).collect();
    names.sort_unstable();
    names
}

fn least_loaded<'a>(members: &[&'a str], loads: &BTreeMap<&'a str, usize>) -> Option<&'a str> {
    let load = |name: &&'a str| loads.get(*name).copied().unwrap_or(0);
    members.iter().copied().min_by_key(load)
}

/// Moves duties that are not pinned from who has at least two more than another.
fn balance<'a>(
    assigned: &mut BTreeMap<Duty, String>,
    settled: &[&'a str],
    loads: &mut BTreeMap<&'a str, usize>,
    rules: &AssignmentRules,
) {
    for (duty, name) in assigned.iter_mut() {
        let is_pinned = rules.pinned.get(duty) == Some(name);
        let Some(target) = least_loaded(settled, loads).filter(|_| !is_pinned) else {
            continue;
        };
        let load = loads.get(name.as_str()).copied().unwrap_or(0);
        let target_load = loads.get(target).copied().unwrap_or(0);
        if load >= target_load + 2 {
            loads.entry(target).and_modify(|load| *load += 1);
            if let Some(load) = loads.get_mut(name.as_str()) {
                *load -= 1;
            }
            *name = target.to_string();
        }
    }
}
