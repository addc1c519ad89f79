//! Detects whether this controller, rather than the machines, is cut off by a network partition.

use super::reachability::Reachability;
use crate::time_units::to_ms;

/// If other controllers recently redirected at least one agent per this many silent machines, the
/// machines are silent because of this controller's network.
const SILENT_MACHINES_PER_REDIRECT: usize = 4;
/// With fewer machines that should report, their silence does not tell which side is cut off.
const PARTITION_MACHINES_MIN: usize = 3;

/// Evidence about the network between this controller and the agents.
#[derive(Debug, Default)]
pub(super) struct PartitionDetector {
    /// When any machine last sent a new status.
    last_status_at: u64,
    /// Agents that other controllers recently redirected; `None` if too few controllers
    /// respond.
    redirected_elsewhere: Option<u32>,
}

impl PartitionDetector {
    /// Records that a machine sent a new status.
    pub(super) fn on_status(&mut self, now: u64) {
        self.last_status_at = now;
    }

    /// Records how many agents the other controllers recently redirected.
    pub(super) fn set_redirected_elsewhere(&mut self, redirected: Option<u32>) {
        self.redirected_elsewhere = redirected;
    }

    /// Whether so many machines are silent at once that this controller is probably the one
    /// that is cut off. It certainly is if their agents contacted other controllers. It is not if
    /// some machines still report here, or if the other controllers get no reports either: then
    /// the machines, perhaps those of a whole zone, have failed and are not waited for.
    pub(super) fn is_partitioned(
        &self,
        reachability: Reachability,
        heartbeat_interval_s: f64,
        now: u64,
    ) -> bool {
        let Reachability { silent, total } = reachability;
        if total < PARTITION_MACHINES_MIN || silent * 2 <= total {
            return false;
        }
        // With many machines, some status arrives in any half heartbeat interval.
        let half_interval_ms = to_ms(heartbeat_interval_s / 2.0);
        let has_recent_status = now < self.last_status_at + half_interval_ms;
        self.redirected_elsewhere
            .map_or(!has_recent_status, |redirected| {
                redirected as usize * SILENT_MACHINES_PER_REDIRECT >= silent
            })
    }
}
