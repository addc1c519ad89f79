//! For how long machines have been silent, and which of them cannot be reached.

use super::{to_ms, Scheduler};

/// Heartbeat intervals after which a machine that should report counts as silent.
const SILENT_INTERVALS: f64 = 2.5;
/// The same as a share of the silence after which it is terminated.
const SILENT_SHARE: f64 = 0.7;

/// How many machines should report, and how many of them do not.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reachability {
    /// Machines that cannot be reached.
    pub silent: usize,
    /// All machines that should report.
    pub up: usize,
}

impl Scheduler {
    /// For how long a machine may be silent and still get new tasks.
    pub(super) fn silence_tolerance_ms(&self) -> u64 {
        to_ms(self.cluster.workers.report_s * self.operator.silent_reports)
    }

    /// The silence after which machines count as lost. A leader that is lagging gives them
    /// their whole lease.
    pub(super) fn lost_after_ms(&self, now: u64) -> u64 {
        let mut share = self.operator.lost_lease_share;
        if self.is_lagging(now) {
            share = share.max(1.0);
        }
        to_ms(self.cluster.workers.lease_s * share)
    }

    /// How many machines should report, and how many of them cannot be reached.
    pub fn reachability(&self, now: u64) -> Reachability {
        // Sooner than a machine is terminated for its silence.
        let agents = &self.cluster.workers;
        let lost_after_s = agents.lease_s * self.operator.lost_lease_share;
        let silent_s = (agents.report_s * SILENT_INTERVALS).min(lost_after_s * SILENT_SHARE);
        let silent_ms = to_ms(silent_s);
        let mut reachability = Reachability { silent: 0, up: 0 };
        for machine in self.machines.values().filter(|machine| machine.is_up()) {
            reachability.up += 1;
            if machine.silent_ms(self.began_at, now) > silent_ms || machine.ineffective_answers > 0
            {
                reachability.silent += 1;
            }
        }
        reachability
    }

    /// Whether it is probably this controller that is cut off, and not the machines.
    pub(super) fn is_partitioned(&self, now: u64) -> bool {
        let heartbeat_interval_s = self.cluster.workers.report_s;
        self.partition
            .is_partitioned(self.reachability(now), heartbeat_interval_s, now)
    }

    /// Records how many agents recently went to other controllers and were redirected; `None`
    /// if too few controllers can be heard.
    pub fn set_redirected_elsewhere(&mut self, redirected: Option<u32>) {
        self.partition.set_redirected_elsewhere(redirected);
    }

    /// Records that a message waited `delay_ms` before it was read. If that is long, this
    /// controller's own delay may be why machines look silent or show no effect of commands.
    pub fn on_read_delay(&mut self, delay_ms: u64, now: u64) {
        self.read_delay.record(delay_ms, now);
    }

    /// Whether this controller was seconds behind recently.
    pub(super) fn is_lagging(&self, now: u64) -> bool {
        self.read_delay
            .is_lagging(self.cluster.workers.report_s, now)
    }

    /// Whether more is currently waiting to be read than can be read: nothing should be
    /// requested that may arrive unasked.
    pub fn is_overloaded(&self, now: u64) -> bool {
        self.read_delay.is_overloaded(now)
    }
}
