//! Where duties are: which of them this controller stands for.

use std::collections::BTreeMap;

use duty_lease::{assign, AssignmentRules, Duty, LiveMember};
use tracing::{debug, warn};

use super::Controller;
use crate::duties::DUTIES_FORMAT;

/// How often it is decided anew, as a share of a lease's life.
const INTERVAL_SHARE: f64 = 0.1;
/// Lives for which a duty may be without a holder before any controller stands for it, and
/// before the leader says so.
const UNHELD_TTLS: u64 = 2;

/// What is known of the live controllers and of duties that nobody holds.
#[derive(Debug, Default)]
pub(super) struct DutyAssignment {
    next_at: u64,
    /// Since when each live controller has been heard without a gap.
    live_since: BTreeMap<String, u64>,
    /// Since when a duty has had no holder.
    unheld_since: BTreeMap<Duty, u64>,
}

impl Controller {
    /// Decides which duties this controller stands for.
    pub(super) fn assign_duties(&mut self) {
        let now = self.clock.steady_ms();
        let live = self.duty_candidates();
        let present: BTreeMap<Duty, String> = Duty::ALL
            .into_iter()
            .filter_map(|duty| Some((duty, self.watch_cache.duties.holder(duty)?.member.clone())))
            .collect();
        let member = self.settings.member.clone();
        let Some(control) = &mut self.duties.control else {
            return;
        };
        if now < control.assignment.next_at {
            return;
        }
        let ttl_ms = control.timing.ttl_ms;
        control.assignment.next_at = now + (ttl_ms as f64 * INTERVAL_SHARE) as u64;
        let live = control.assignment.update_live(live, now);
        let rules = AssignmentRules {
            settle_ms: ttl_ms,
            pinned: control.settings.holders.clone(),
        };
        let assigned = assign(&Duty::ALL, &live, &present, &rules);
        for duty in Duty::ALL {
            let assignment = &mut control.assignment;
            let unheld_ms = assignment.unheld_for_ms(duty, present.contains_key(&duty), now);
            let is_unclaimed = unheld_ms > UNHELD_TTLS * ttl_ms;
            let is_assigned = assigned.get(&duty) == Some(&member);
            let Some(runtime) = control.runtimes.get_mut(&duty) else {
                continue;
            };
            runtime.lease.set_candidate(is_assigned || is_unclaimed);
            if is_assigned && present.get(&duty).is_some_and(|name| *name != member) {
                debug!(
                    duty = duty.name(),
                    member, "waits for the duty to be handed over"
                );
            }
        }
    }

    /// Controllers that can hold duties as far as is known here. This one is always among
    /// them: if it can't reach the store, what it holds ends by itself, and in an
    /// outage it must not be given up.
    fn duty_candidates(&self) -> Vec<String> {
        let mut names = vec![self.settings.member.clone()];
        let now = self.clock.steady_ms();
        for peer in self.peers.iter() {
            let status = peer.recent_status(now);
            let can_hold =
                status.is_some_and(|s| s.store_reachable && s.known_format >= DUTIES_FORMAT);
            if can_hold {
                names.push(peer.member.clone());
            }
        }
        names
    }

    /// The leader says so if what it needs is not done. It goes on with what is there and
    /// never acts in the holder's stead.
    pub(super) fn warn_of_missing_holders(&mut self) {
        if self.scheduler.is_none() {
            return;
        }
        let now = self.clock.steady_ms();
        let lease_s = self.settings.cluster.workers.lease_s;
        let settings = self.operator.duties.clone().unwrap_or_default();
        let bound_ms = UNHELD_TTLS * settings.timing(lease_s).ttl_ms;
        for duty in Duty::ALL {
            let is_held = self.watch_cache.duties.holder(duty).is_some();
            let waiting = self.watch_cache.duties.orders_of(duty).count();
            if let Some(unheld_ms) = self
                .duties
                .requests
                .newly_unheld_for(duty, is_held, bound_ms, now)
            {
                warn!(
                    duty = duty.name(),
                    "no controller has held the duty for {unheld_ms} ms: {waiting} orders wait"
                );
            }
        }
    }
}

impl DutyAssignment {
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

    fn unheld_for_ms(&mut self, duty: Duty, is_held: bool, now: u64) -> u64 {
        if is_held {
            self.unheld_since.remove(&duty);
            return 0;
        }
        let since = *self.unheld_since.entry(duty).or_insert(now);
        now.saturating_sub(since)
    }
}
