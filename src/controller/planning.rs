//! Decides when to take a snapshot for planning, and applies the resulting decision.

use super::{Controller, Timestamp};
use crate::epoch::Epoch;
use crate::plan::{Decision, Snapshot};

/// Minimum interval between two plans: in general, while nothing has changed, and while this
/// controller is overloaded.
const PLAN_INTERVAL_MS: u64 = 50;
const IDLE_PLAN_INTERVAL_MS: u64 = 1000;
const OVERLOADED_PLAN_INTERVAL_MS: u64 = 1500;
/// Pause after a plan, as a multiple of its duration. On a busy fleet something changes all the
/// time, and this limits planning to a third of the process's time.
const PLAN_PAUSE_MULTIPLIER: u64 = 2;

/// When the next plan may begin, and whether one is in progress.
#[derive(Debug, Default)]
pub(super) struct PlanTimer {
    next_at: u64,
    in_progress: bool,
}

impl PlanTimer {
    /// Forgets a plan in progress, because the term has changed or ended.
    pub(super) fn reset(&mut self) {
        self.in_progress = false;
    }

    /// Whether no plan is in progress and the pause after the last one is over.
    fn is_due(&self, now: u64) -> bool {
        !self.in_progress && now >= self.next_at
    }

    /// Whether a deferred plan has been due for at least `interval_ms`, the longest that its
    /// reason for deferral allows.
    fn has_been_due_for(&self, interval_ms: u64, now: u64) -> bool {
        now >= self.next_at + interval_ms
    }

    fn begin(&mut self, now: u64) {
        self.in_progress = true;
        self.next_at = now;
    }

    /// Ends the plan in progress and schedules the next. Returns its duration.
    fn complete(&mut self, now: u64) -> u64 {
        let took_ms = now.saturating_sub(self.next_at);
        self.in_progress = false;
        self.next_at = now + (PLAN_PAUSE_MULTIPLIER * took_ms).max(PLAN_INTERVAL_MS);
        took_ms
    }
}

impl Controller {
    /// Takes a snapshot to plan on, if a plan is due.
    pub fn take_due_snapshot(&mut self, now: Timestamp) -> Option<Snapshot> {
        self.clock.set(now);
        if !self.plan_timer.is_due(now.steady) || !self.leadership.holds_valid_lease(now.steady) {
            return None;
        }
        // While writes wait for the store's rate limit, another plan would only add small ones;
        // a later plan places more tasks at a time.
        if self.store.has_waiting_leader_writes() {
            return None;
        }
        let scheduler = self.scheduler.as_mut()?;
        if !scheduler.is_ready_to_plan(now.steady) {
            return None;
        }
        // Without changes, occasional plans are still needed: a backoff ends without an event.
        let idle_ms = IDLE_PLAN_INTERVAL_MS;
        if !scheduler.needs_planning && !self.plan_timer.has_been_due_for(idle_ms, now.steady) {
            return None;
        }
        // Pending heartbeats take precedence, for a limited time.
        let overloaded_ms = OVERLOADED_PLAN_INTERVAL_MS;
        let is_overloaded = scheduler.is_overloaded(now.steady);
        if is_overloaded && !self.plan_timer.has_been_due_for(overloaded_ms, now.steady) {
            return None;
        }
        self.plan_timer.begin(now.steady);
        Some(scheduler.snapshot(now.steady, now.wall))
    }

    /// Applies the decision on the last snapshot, which was taken in this epoch.
    pub fn apply_plan(&mut self, now: Timestamp, epoch: Epoch, decision: Decision) {
        self.clock.set(now);
        let took_ms = self.plan_timer.complete(now.steady);
        self.stats.record_plan(took_ms);
        let calls = if self.are_duties_active() {
            self.scale_out_budget()
        } else {
            self.provider.provisioning_budget(now.steady)
        };
        if let Some(scheduler) = self.scheduler_in_epoch(epoch) {
            scheduler.apply_decision(decision, calls, now.steady, now.wall);
        }
        self.flush();
    }
}
