//! For how long a job rests after failures, and which machines it avoids.

use std::collections::HashSet;
use std::sync::Arc;

use crate::time_units::to_ms;

/// Longest rest after task errors, as a power of two.
const FAILURE_DOUBLINGS_MAX: u32 = 5;
/// Longest rest after refused starts, as a power of two.
const REFUSED_DOUBLINGS_MAX: u32 = 4;
/// Longest backoff, as a power of two, in failed cycles.
const FAILED_CYCLES_MAX: u32 = 8;

/// The rest of a job after a refused start, in seconds: `unit_s` doubles with each failure, up
/// to `max_s`.
pub(super) struct RefusalRest {
    pub unit_s: f64,
    pub max_s: f64,
}

/// A job's failures since it last succeeded.
#[derive(Debug, Default)]
pub(super) struct RetryState {
    /// The job rests until then after a failure.
    retry_after: u64,
    /// Failures in a row.
    failures: u32,
    /// Planning cycles in a row that found no capacity for the job.
    failed_cycles: u32,
    /// The planner passes the job over until then, for lack of capacity.
    backoff_until: u64,
    /// Machines on which the job failed.
    avoided_machines: HashSet<Arc<str>>,
}

impl RetryState {
    /// Whether the job rests, or backs off for lack of capacity.
    pub(super) fn is_backing_off(&self, now: u64) -> bool {
        now < self.retry_after.max(self.backoff_until)
    }

    /// A task of the job is done.
    pub(super) fn on_task_done(&mut self) {
        self.failures = 0;
    }

    /// A task of the job failed on a machine. Returns whether this is the first such machine.
    pub(super) fn avoid_machine(&mut self, machine: &str) -> bool {
        self.avoided_machines.insert(machine.into());
        self.avoided_machines.len() == 1
    }

    /// Machines that the job avoids, as it failed there. Faulty machines are terminated
    /// meanwhile, and for its own faults the job rests; a lease after that it must not wait
    /// beside machines with capacity.
    pub(super) fn avoided_machines(&self, lease_s: f64, now: u64) -> HashSet<Arc<str>> {
        if now > self.retry_after + to_ms(lease_s) {
            return HashSet::new();
        }
        self.avoided_machines.clone()
    }

    /// The job rests after an error of its own, twice as long each time, at most for a lease.
    /// Tasks that fail while it rests count once.
    pub(super) fn rest_after_error(&mut self, heartbeat_interval_s: f64, lease_s: f64, now: u64) {
        if now < self.retry_after {
            return;
        }
        self.failures += 1;
        let doublings = (self.failures - 1).min(FAILURE_DOUBLINGS_MAX);
        let rest_s = heartbeat_interval_s * f64::from(1u32 << doublings);
        self.retry_after = now + to_ms(rest_s.min(lease_s));
    }

    /// The job rests after a refused start, twice as long each time.
    pub(super) fn rest_after_refusal(&mut self, rest: &RefusalRest, now: u64) {
        self.failures += 1;
        let doublings = self.failures.min(REFUSED_DOUBLINGS_MAX);
        let rest_s = (rest.unit_s * f64::from(1u32 << doublings)).min(rest.max_s);
        self.retry_after = now + to_ms(rest_s);
    }

    /// A planning cycle found no capacity. The KEP's standard backoff: it starts at a second
    /// and doubles up to `max_s`.
    pub(super) fn back_off(&mut self, max_s: f64, now: u64) {
        self.failed_cycles = (self.failed_cycles + 1).min(FAILED_CYCLES_MAX);
        let backoff_s = f64::from(1u32 << (self.failed_cycles - 1));
        self.backoff_until = now + to_ms(backoff_s.min(max_s));
    }

    /// Capacity became free: the backoff ends.
    pub(super) fn end_backoff(&mut self) {
        self.backoff_until = 0;
    }

    /// The job has got capacity.
    pub(super) fn on_placed(&mut self) {
        self.failed_cycles = 0;
    }
}
