//! Detects machines that are silent or unreachable, and whether this controller is the cause.

use super::{to_ms, Scheduler};

/// Number of heartbeat intervals without a status after which a machine counts as silent.
const SILENT_AFTER_HEARTBEAT_INTERVALS: f64 = 2.5;
/// Upper bound of the same time, as a ratio of the silence after which a machine is terminated:
/// it has to count as silent before that.
const SILENT_TO_TERMINATED_RATIO: f64 = 0.7;

/// How many machines should report, and how many of them do not.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reachability {
    /// Machines that cannot be reached.
    pub silent: usize,
    /// All machines that should report.
    pub total: usize,
}

impl Scheduler {
    /// For how long a machine may be silent and still get new tasks, in milliseconds.
    pub(super) fn silence_tolerance_ms(&self) -> u64 {
        to_ms(self.cluster.workers.report_s * self.operator.silent_reports)
    }

    /// The silence after which machines count as lost, in milliseconds. While this leader lags,
    /// it is at least the machines' whole lease.
    pub(super) fn lost_after_ms(&self, now: u64) -> u64 {
        let mut share = self.operator.lost_lease_share;
        if self.is_lagging(now) {
            share = share.max(1.0);
        }
        to_ms(self.cluster.workers.lease_s * share)
    }

    /// How many machines should report, and how many of them cannot be reached.
    pub fn reachability(&self, now: u64) -> Reachability {
        let agents = &self.cluster.workers;
        let lost_after_s = agents.lease_s * self.operator.lost_lease_share;
        let silent_s = (agents.report_s * SILENT_AFTER_HEARTBEAT_INTERVALS)
            .min(lost_after_s * SILENT_TO_TERMINATED_RATIO);
        let silent_ms = to_ms(silent_s);
        let mut reachability = Reachability {
            silent: 0,
            total: 0,
        };
        for machine in self
            .machines
            .values()
            .filter(|machine| machine.has_booted())
        {
            reachability.total += 1;
            if machine.silent_ms(self.began_at, now) > silent_ms
                || machine.ineffective_responses > 0
            {
                reachability.silent += 1;
            }
        }
        reachability
    }

    /// Whether this controller, rather than the machines, is probably cut off from the network.
    pub(super) fn is_partitioned(&self, now: u64) -> bool {
        let heartbeat_interval_s = self.cluster.workers.report_s;
        self.partition
            .is_partitioned(self.reachability(now), heartbeat_interval_s, now)
    }

    /// Sets how many agents recently contacted other controllers and were redirected by them;
    /// `None` if too few controllers respond.
    pub fn set_redirected_elsewhere(&mut self, redirected: Option<u32>) {
        self.partition.set_redirected_elsewhere(redirected);
    }

    /// Records that a message waited `delay_ms` before it was read. If this delay is long, it may
    /// be the reason why machines look silent or show no effect of commands.
    pub fn on_read_delay(&mut self, delay_ms: u64, now: u64) {
        self.read_delay.record(delay_ms, now);
    }

    /// Whether this controller recently read messages with a delay of seconds.
    pub(super) fn is_lagging(&self, now: u64) -> bool {
        self.read_delay
            .is_lagging(self.cluster.workers.report_s, now)
    }

    /// Whether messages arrive faster than this controller can read them: it should send no
    /// request whose outcome the next heartbeats bring anyway.
    pub fn is_overloaded(&self, now: u64) -> bool {
        self.read_delay.is_overloaded(now)
    }
}
