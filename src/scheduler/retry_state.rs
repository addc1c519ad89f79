//! A job's retry delays after failures, and the machines that it avoids.

use std::collections::HashSet;
use std::sync::Arc;

use crate::time_units::to_ms;

/// The highest number of doublings of the delay after task errors.
const TASK_ERROR_DOUBLINGS_MAX: u32 = 5;
/// The highest number of doublings of the delay after refused starts.
const REFUSED_START_DOUBLINGS_MAX: u32 = 4;
/// The highest number of failed planning cycles that lengthen the backoff.
const FAILED_CYCLES_MAX: u32 = 8;

/// The retry delay of a job after a refused start, in seconds: `base_s` doubled with each
/// failure, up to `max_s`.
pub(super) struct RefusedStartDelay {
    pub base_s: f64,
    pub max_s: f64,
}

/// A job's recent failures, and when it may be planned again.
#[derive(Debug, Default)]
pub(super) struct RetryState {
    /// End of the retry delay after a failure.
    retry_after: u64,
    /// Consecutive failures.
    failures: u32,
    /// Consecutive planning cycles that found no capacity for the job.
    failed_cycles: u32,
    /// End of the backoff for lack of capacity.
    backoff_until: u64,
    /// Machines on which the job failed.
    avoided_machines: HashSet<Arc<str>>,
}

impl RetryState {
    /// Whether the job is not to be planned yet, after a failure or for lack of capacity.
    pub(super) fn is_backing_off(&self, now: u64) -> bool {
        now < self.retry_after.max(self.backoff_until)
    }

    /// Resets the failures, as a task of the job is done.
    pub(super) fn on_task_done(&mut self) {
        self.failures = 0;
    }

    /// Adds a machine on which a task of the job failed. Returns whether it is the only one.
    pub(super) fn avoid_machine(&mut self, machine: &str) -> bool {
        self.avoided_machines.insert(machine.into());
        self.avoided_machines.len() == 1
    }

    /// Machines that the job avoids because a task failed there. The avoidance ends one lease
    /// after the retry delay: a faulty machine is terminated by then, and if the job itself is at
    /// fault, it would otherwise wait although machines have capacity.
    pub(super) fn avoided_machines(&self, lease_s: f64, now: u64) -> HashSet<Arc<str>> {
        if now > self.retry_after + to_ms(lease_s) {
            return HashSet::new();
        }
        self.avoided_machines.clone()
    }

    /// Delays the job after an error of one of its tasks; the delay doubles with each error, up to
    /// one lease. Errors during the delay are not counted again.
    pub(super) fn delay_after_task_error(
        &mut self,
        heartbeat_interval_s: f64,
        lease_s: f64,
        now: u64,
    ) {
        if now < self.retry_after {
            return;
        }
        self.failures += 1;
        let doublings = (self.failures - 1).min(TASK_ERROR_DOUBLINGS_MAX);
        let delay_s = heartbeat_interval_s * f64::from(1u32 << doublings);
        self.retry_after = now + to_ms(delay_s.min(lease_s));
    }

    /// Delays the job after a refused start; the delay doubles each time.
    pub(super) fn delay_after_refused_start(&mut self, delay: &RefusedStartDelay, now: u64) {
        self.failures += 1;
        let doublings = self.failures.min(REFUSED_START_DOUBLINGS_MAX);
        let delay_s = (delay.base_s * f64::from(1u32 << doublings)).min(delay.max_s);
        self.retry_after = now + to_ms(delay_s);
    }

    /// Backs off after a planning cycle that found no capacity. As in the KEP, the backoff starts
    /// at 1 s and doubles up to `max_s`.
    pub(super) fn back_off(&mut self, max_s: f64, now: u64) {
        self.failed_cycles = (self.failed_cycles + 1).min(FAILED_CYCLES_MAX);
        let backoff_s = f64::from(1u32 << (self.failed_cycles - 1));
        self.backoff_until = now + to_ms(backoff_s.min(max_s));
    }

    /// Ends the backoff, as capacity became free.
    pub(super) fn end_backoff(&mut self) {
        self.backoff_until = 0;
    }

    /// Resets the backoff, as the job was placed.
    pub(super) fn on_placed(&mut self) {
        self.failed_cycles = 0;
    }
}
