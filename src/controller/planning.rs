//! When to plan, and what becomes of a plan.

use super::{Controller, Timestamp};
use crate::plan::{Decision, Snapshot};

/// Least time between two plans, if nothing has changed, and if this controller is
/// overloaded.
const PLAN_INTERVAL_MS: u64 = 50;
const IDLE_PLAN_INTERVAL_MS: u64 = 1000;
const OVERLOADED_PLAN_INTERVAL_MS: u64 = 1500;
/// Pause after a plan, as a multiple of the time that it took: planning takes a third of
/// the process' time at most, as on a busy fleet something changes all the time.
const PAUSE_FACTOR: u64 = 2;

/// When the next plan may begin, and whether one is in progress.
#[derive(Debug, Default)]
pub(super) struct PlanTimer {
    next_at: u64,
    in_progress: bool,
}

impl PlanTimer {
    /// Another term has begun, or none: a plan in progress does not count any more.
    pub fn reset(&mut self) {
        self.in_progress = false;
    }
}

impl Controller {
    /// A snapshot to plan on, when it is time.
    pub fn take_due_snapshot(&mut self, now: Timestamp) -> Option<Snapshot> {
        self.clock.set(now);
        let next_at = self.plan_timer.next_at;
        let certain = self.leadership.is_certain(now.steady);
        if self.plan_timer.in_progress || now.steady < next_at || !certain {
            return None;
        }
        // While records wait for the store, a further plan would only
        // add small ones: better a later one that places more at a time.
        if self.store.has_waiting_leader_writes() {
            return None;
        }
        let scheduler = self.scheduler.as_mut()?;
        if !scheduler.is_ready(now.steady) {
            return None;
        }
        // Without changes a plan now and then, so that backoffs end without an event.
        if !scheduler.needs_planning && now.steady < next_at + IDLE_PLAN_INTERVAL_MS {
            return None;
        }
        // heartbeats that wait go first, but not for ever.
        if scheduler.is_overloaded(now.steady) && now.steady < next_at + OVERLOADED_PLAN_INTERVAL_MS
        {
            return None;
        }
        self.plan_timer.in_progress = true;
        self.plan_timer.next_at = now.steady;
        Some(scheduler.snapshot(now.steady, now.wall))
    }

    /// Takes in what was planned on the last snapshot, which was made under this epoch.
    pub fn apply_plan(&mut self, now: Timestamp, epoch: u64, decision: Decision) {
        self.clock.set(now);
        let took_ms = now.steady.saturating_sub(self.plan_timer.next_at);
        self.stats.record_plan(took_ms);
        self.plan_timer.in_progress = false;
        self.plan_timer.next_at = now.steady + (PAUSE_FACTOR * took_ms).max(PLAN_INTERVAL_MS);
        let calls = if self.are_duties_active() {
            self.scale_out_budget()
        } else {
            self.provider.provisioning_budget(now.steady)
        };
        if let Some(scheduler) = self.scheduler_of(epoch) {
            scheduler.apply_decision(decision, calls, now.steady, now.wall);
        }
        self.flush();
    }
}
