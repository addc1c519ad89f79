//! Decides which duties this controller is a candidate for.

use std::collections::BTreeMap;

use duty_lease::{assign, AssignmentRules, Candidacy, Duty, LeaseTiming, LiveMember};
use tracing::{debug, warn};

use super::Controller;
use crate::duties::DUTIES_FORMAT;
use crate::settings::DutySettings;

/// Interval between two assignments, as a share of a lease's time to live.
const ASSIGNMENT_INTERVAL_TTL_RATIO: f64 = 0.1;
/// Time for which a duty may be without a holder before every controller is a candidate for it
/// and the leader logs a warning, in times to live of a lease.
pub(super) const UNHELD_TTL_MULTIPLIER: u64 = 2;

/// Observations of the live controllers and of duties without a holder, and the assignment
/// rules.
#[derive(Debug)]
pub(super) struct DutyAssignment {
    rules: AssignmentRules,
    /// Time for which a duty may be without a holder before every controller is a candidate.
    unheld_limit_ms: u64,
    interval_ms: u64,
    next_at: u64,
    /// When each live controller was first seen live, without an interruption since.
    live_since: BTreeMap<String, u64>,
    /// When each duty without a holder was first seen without one.
    unheld_since: BTreeMap<Duty, u64>,
}

impl DutyAssignment {
    pub(super) fn new(settings: &DutySettings, timing: &LeaseTiming) -> DutyAssignment {
        DutyAssignment {
            rules: AssignmentRules {
                settle_ms: timing.ttl_ms,
                pinned: settings.holders.clone(),
            },
            unheld_limit_ms: UNHELD_TTL_MULTIPLIER * timing.ttl_ms,
            interval_ms: (timing.ttl_ms as f64 * ASSIGNMENT_INTERVAL_TTL_RATIO) as u64,
            next_at: 0,
            live_since: BTreeMap::new(),
            unheld_since: BTreeMap::new(),
        }
    }

    fn is_due(&self, now: u64) -> bool {
        now >= self.next_at
    }

    /// Computes the controller that each duty is assigned to.
    fn assign(
        &mut self,
        live: Vec<String>,
        holders: &BTreeMap<Duty, String>,
        now: u64,
    ) -> BTreeMap<Duty, String> {
        self.next_at = now + self.interval_ms;
        let live = self.update_live(live, now);
        assign(&Duty::ALL, &live, holders, &self.rules)
    }

    fn update_live(&mut self, names: Vec<String>, now: u64) -> Vec<LiveMember> {
        self.live_since.retain(|name, _| names.contains(name));
        let members = names.into_iter().map(|name| {
            let since = *self.live_since.entry(name.clone()).or_insert(now);
            LiveMember {
                name,
                live_for_ms: now.saturating_sub(since),
            }
        });
        members.collect()
    }

    /// Whether a duty has been without a holder for longer than the limit, so that every
    /// controller is a candidate.
    fn is_unclaimed(&mut self, duty: Duty, holder: Option<&String>, now: u64) -> bool {
        if holder.is_some() {
            self.unheld_since.remove(&duty);
            return false;
        }
        let since = *self.unheld_since.entry(duty).or_insert(now);
        now.saturating_sub(since) > self.unheld_limit_ms
    }
}

impl Controller {
    /// Decides which duties this controller is a candidate for.
    pub(super) fn assign_duties(&mut self) {
        let now = self.clock.steady_ms();
        let control = self.duties.control.as_ref();
        if !control.is_some_and(|control| control.assignment.is_due(now)) {
            return;
        }
        let live = self.eligible_controllers();
        let holders = self.duty_holders();
        let member = &self.settings.member;
        let Some(control) = &mut self.duties.control else {
            return;
        };
        let assigned = control.assignment.assign(live, &holders, now);
        for duty in Duty::ALL {
            let holder = holders.get(&duty);
            let is_unclaimed = control.assignment.is_unclaimed(duty, holder, now);
            let is_assigned = assigned.get(&duty) == Some(member);
            let Some(runtime) = control.runtimes.get_mut(&duty) else {
                continue;
            };
            let candidacy = if is_assigned || is_unclaimed {
                Candidacy::Candidate
            } else {
                Candidacy::Observer
            };
            runtime.set_candidacy(candidacy);
            if is_assigned && holder.is_some_and(|holder| holder != member) {
                debug!(
                    duty = duty.name(),
                    member, "waiting for the current holder to release the duty"
                );
            }
        }
    }

    /// The present holder of each duty that has one.
    fn duty_holders(&self) -> BTreeMap<Duty, String> {
        let records = &self.watch_cache.duties;
        let holder = |duty| Some((duty, records.holder(duty)?.member.clone()));
        Duty::ALL.into_iter().filter_map(holder).collect()
    }

    /// Controllers that can hold duties, as far as this one knows. It always includes itself:
    /// if it alone can't reach the store, its leases expire by themselves, and in an outage
    /// of the store it must not release them.
    fn eligible_controllers(&self) -> Vec<String> {
        let mut names = vec![self.settings.member.clone()];
        let now = self.clock.steady_ms();
        for peer in self.peers.iter() {
            let status = peer.recent_status(now);
            let can_hold =
                status.is_some_and(|s| s.store_reachable && s.supported_format >= DUTIES_FORMAT);
            if can_hold {
                names.push(peer.member.clone());
            }
        }
        names
    }

    /// As the leader, warns about duties without a holder, whose requests are not satisfied.
    /// The leader continues with the present machines and never acts in the holder's place.
    pub(super) fn warn_about_missing_holders(&mut self) {
        if self.scheduler.is_none() {
            return;
        }
        let now = self.clock.steady_ms();
        for duty in Duty::ALL {
            if self.watch_cache.duties.holder(duty).is_some() {
                self.duties.unheld.on_held(duty);
                continue;
            }
            if let Some(unheld_ms) = self.duties.unheld.on_unheld(duty, now) {
                let orders = self.watch_cache.duties.orders_of(duty).count();
                warn!(
                    duty = duty.name(),
                    unheld_ms, orders, "no controller holds the duty"
                );
            }
        }
    }
}
