//! Whether it is this controller, rather than the machines, that is cut off by the network.

use super::reachability::Reachability;
use crate::time_units::to_ms;

/// If other controllers recently redirected at least one agent for this many silent
/// machines, the silence is the fault of this controller's network.
const REDIRECTED_FRACTION: usize = 4;
/// With fewer machines that should report, silence says nothing about who is cut off.
const PARTITION_MACHINES_MIN: usize = 3;

/// Evidence about the network between this controller and the agents.
#[derive(Debug, Default)]
pub(super) struct PartitionDetector {
    /// When any machine last sent a new status.
    last_status_at: u64,
    /// Agents that other controllers recently redirected; `None` if too few controllers
    /// can be heard.
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
    /// that is cut off. It certainly is if they went to other controllers; it is not if some
    /// machines are still heard, or if the other controllers hear nothing either. Then the
    /// machines are gone, or a whole zone of them is, and waiting for them has no use.
    pub(super) fn is_partitioned(
        &self,
        reachability: Reachability,
        heartbeat_interval_s: f64,
        now: u64,
    ) -> bool {
        let Reachability { silent, up } = reachability;
        if up < PARTITION_MACHINES_MIN || silent * 2 <= up {
            return false;
        }
        // Of many machines, one reports at any time.
        let half_interval_ms = to_ms(heartbeat_interval_s / 2.0);
        let heard = now < self.last_status_at + half_interval_ms;
        self.redirected_elsewhere
            .map_or(!heard, |n| n as usize * REDIRECTED_FRACTION >= silent)
    }
}
