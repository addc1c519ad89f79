//! What came in and went out, for the log.

use tracing::{info, warn};

use super::Controller;
use crate::fleet_capacity::limit_capacities;

/// How often it is logged.
const INTERVAL_MS: u64 = 10_000;

/// When it is logged next.
#[derive(Debug)]
pub(super) struct StatsTimer {
    next_at: u64,
}

impl Default for StatsTimer {
    fn default() -> StatsTimer {
        StatsTimer {
            next_at: INTERVAL_MS,
        }
    }
}

/// What came in and went out since the last look.
#[derive(Debug, Default)]
pub(super) struct TrafficStats {
    pub heartbeats: u64,
    pub users: u64,
    pub peers: u64,
    pub plans: u64,
    pub plan_ms: u64,
    /// The longest that a tick was late.
    pub tick_late_ms: u64,
    /// The longest that anything waited to be read.
    pub read_delay_ms: u64,
}

impl Controller {
    pub(super) fn stats_tick(&mut self) {
        let now = self.clock.steady_ms();
        if now < self.stats_timer.next_at {
            return;
        }
        self.stats_timer.next_at = now + INTERVAL_MS;
        if let Some(times) = self.users.take_times() {
            info!(
                "{} user requests, median {} ms, 99% {} ms, limit {}",
                times.count,
                times.median_ms,
                times.p99_ms,
                self.users.limit()
            );
        }
        let writes = self.store.take_write_stats();
        if writes.transactions > 0 {
            info!(
                "{} changes in {} transactions, {} waiting; {} throttled, {} in conflict, {} without answer",
                writes.changes,
                writes.transactions,
                self.store.waiting_writes(),
                writes.throttled,
                writes.conflicts,
                writes.unknown
            );
        }
        let stats = std::mem::take(&mut self.stats);
        let calls = self.outbox.take_stats();
        info!(
            "in: {} check-ins, {} users, {} peers, {} replies; calls: {} state, {} cloud, {} workers, {} mesh; {} plans in {} ms; late by {} ms, behind by {} ms",
            stats.heartbeats,
            stats.users,
            stats.peers,
            calls.replies,
            calls.store_calls,
            calls.cloud_calls,
            calls.agent_calls,
            calls.peer_calls,
            stats.plans,
            stats.plan_ms,
            stats.tick_late_ms,
            stats.read_delay_ms
        );
        if let Some(scheduler) = &self.scheduler {
            info!("leading: {}", scheduler.summary());
        }
        self.warn_of_near_limits();
    }

    /// Warns once of each grant that the fleet comes near the end of.
    fn warn_of_near_limits(&mut self) {
        let Some(scheduler) = &self.scheduler else {
            return;
        };
        let machines = scheduler.machines.len();
        let capacities = limit_capacities(&self.settings.cluster);
        let near = capacities.iter().filter(|c| c.is_near(machines)).count();
        for capacity in capacities.iter().take(near).skip(self.warned_limits) {
            warn!("{machines} machines: {capacity}");
        }
        self.warned_limits = self.warned_limits.max(near);
    }
}
