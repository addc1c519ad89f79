//! When to plan, and what becomes of a plan.

use super::{Controller, Timestamp};
use crate::epoch::Epoch;
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
    pub(super) fn reset(&mut self) {
        self.in_progress = false;
    }

    /// Whether a plan may begin at all.
    fn is_due(&self, now: u64) -> bool {
        !self.in_progress && now >= self.next_at
    }

    /// Whether a plan may begin although it was put off, by a reason that counts for
    /// `interval_ms` at most.
    fn has_waited(&self, interval_ms: u64, now: u64) -> bool {
        now >= self.next_at + interval_ms
    }

    fn begin(&mut self, now: u64) {
        self.in_progress = true;
        self.next_at = now;
    }

    /// A plan was made. Returns how long it took.
    fn complete(&mut self, now: u64) -> u64 {
        let took_ms = now.saturating_sub(self.next_at);
        self.in_progress = false;
        self.next_at = now + (PAUSE_FACTOR * took_ms).max(PLAN_INTERVAL_MS);
        took_ms
    }
}

impl Controller {
    /// A snapshot to plan on, when it is time.
    pub fn take_due_snapshot(&mut self, now: Timestamp) -> Option<Snapshot> {
        self.clock.set(now);
        if !self.plan_timer.is_due(now.steady) || !self.leadership.is_certain(now.steady) {
            return None;
        }
        // While records wait for the store, a further plan would only add small ones: better
        // a later one that places more at a time.
        if self.store.has_waiting_leader_writes() {
            return None;
        }
        let scheduler = self.scheduler.as_mut()?;
        if !scheduler.is_ready_to_plan(now.steady) {
            return None;
        }
        // Without changes a plan now and then, so that backoffs end without an event.
        let idle_ms = IDLE_PLAN_INTERVAL_MS;
        if !scheduler.needs_planning && !self.plan_timer.has_waited(idle_ms, now.steady) {
            return None;
        }
        // Heartbeats that wait go first, but not for ever.
        let overloaded_ms = OVERLOADED_PLAN_INTERVAL_MS;
        let is_overloaded = scheduler.is_overloaded(now.steady);
        if is_overloaded && !self.plan_timer.has_waited(overloaded_ms, now.steady) {
            return None;
        }
        self.plan_timer.begin(now.steady);
        Some(scheduler.snapshot(now.steady, now.wall))
    }

    /// Applies what was planned on the last snapshot, which was taken under this epoch.
    pub fn apply_plan(&mut self, now: Timestamp, epoch: Epoch, decision: Decision) {
        self.clock.set(now);
        let took_ms = self.plan_timer.complete(now.steady);
        self.stats.record_plan(took_ms);
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
