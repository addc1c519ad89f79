//! Periodic log statistics: traffic, durations and delays, and warnings about limits that the
//! fleet approaches.

use tracing::{info, warn};

use super::Controller;
use crate::fleet_capacity::limit_capacities;
use crate::net::Listener;
use crate::wire;

/// Interval between two logs of the statistics.
const LOG_INTERVAL_MS: u64 = 10_000;

/// Requests, plans and delays since the last log.
#[derive(Debug, Default)]
struct Traffic {
    heartbeats: u64,
    user_requests: u64,
    peers: u64,
    plans: u64,
    plan_ms: u64,
    /// The largest delay of a tick.
    tick_late_ms: u64,
    /// The longest time that input waited to be read.
    read_delay_ms: u64,
}

/// The controller's statistics.
#[derive(Debug)]
pub(super) struct ControllerStats {
    next_at: u64,
    traffic: Traffic,
    /// How many limits, in ascending order of capacity, were already warned about.
    warned_limits: usize,
}

impl ControllerStats {
    pub(super) fn new() -> ControllerStats {
        ControllerStats {
            next_at: LOG_INTERVAL_MS,
            traffic: Traffic::default(),
            warned_limits: 0,
        }
    }

    /// Counts a received request.
    pub(super) fn count_request(&mut self, listener: Listener, path: &str) {
        let count = match (listener, path) {
            (Listener::Peers, _) => &mut self.traffic.peers,
            (Listener::Front, wire::HEARTBEAT_PATH) => &mut self.traffic.heartbeats,
            (Listener::Front, _) => &mut self.traffic.user_requests,
        };
        *count += 1;
    }

    /// Records a plan and its duration.
    pub(super) fn record_plan(&mut self, took_ms: u64) {
        self.traffic.plans += 1;
        self.traffic.plan_ms += took_ms;
    }

    /// Records by how much a tick was late.
    pub(super) fn record_late_tick(&mut self, late_ms: u64) {
        self.traffic.tick_late_ms = self.traffic.tick_late_ms.max(late_ms);
    }

    /// Records how long input waited before it was read.
    pub(super) fn record_read_delay(&mut self, delay_ms: u64) {
        self.traffic.read_delay_ms = self.traffic.read_delay_ms.max(delay_ms);
    }

    fn begin_log_if_due(&mut self, now: u64) -> bool {
        if now < self.next_at {
            return false;
        }
        self.next_at = now + LOG_INTERVAL_MS;
        true
    }
}

impl Controller {
    pub(super) fn tick_stats(&mut self) {
        if !self.stats.begin_log_if_due(self.clock.steady_ms()) {
            return;
        }
        self.log_user_requests();
        self.log_writes();
        self.log_traffic();
        if let Some(scheduler) = &self.scheduler {
            let summary = scheduler.summary();
            info!(
                epoch = summary.epoch.get(),
                jobs = summary.jobs,
                placed_tasks = summary.placed_tasks,
                machines = summary.machines,
                machines_up = summary.machines_up,
                preemptions_by_priority = summary.preemptions.by_priority,
                preemptions_by_nominal_quota = summary.preemptions.by_nominal_quota,
                "leader status"
            );
        }
        self.warn_of_near_limits();
    }

    fn log_user_requests(&mut self) {
        let Some(times) = self.user_requests.take_response_times() else {
            return;
        };
        info!(
            count = times.count,
            median_ms = times.median_ms,
            p99_ms = times.p99_ms,
            limit = self.user_requests.limit(),
            "user requests"
        );
    }

    fn log_writes(&mut self) {
        let stats = self.store.take_write_stats();
        if stats.transactions == 0 {
            return;
        }
        info!(
            writes = stats.writes,
            transactions = stats.transactions,
            waiting = self.store.waiting_writes(),
            throttled = stats.throttled,
            conflicts = stats.conflicts,
            unknown = stats.unknown,
            "store writes"
        );
    }

    fn log_traffic(&mut self) {
        let traffic = std::mem::take(&mut self.stats.traffic);
        let calls = self.outbox.take_stats();
        info!(
            heartbeats = traffic.heartbeats,
            users = traffic.user_requests,
            peers = traffic.peers,
            replies = calls.replies,
            store_calls = calls.store_calls,
            cloud_calls = calls.cloud_calls,
            agent_calls = calls.agent_calls,
            peer_calls = calls.peer_calls,
            plans = traffic.plans,
            plan_ms = traffic.plan_ms,
            tick_late_ms = traffic.tick_late_ms,
            read_delay_ms = traffic.read_delay_ms,
            "controller traffic"
        );
    }

    /// Warns once about each limit that the fleet approaches.
    fn warn_of_near_limits(&mut self) {
        let Some(scheduler) = &self.scheduler else {
            return;
        };
        let machines = scheduler.machines.len();
        let capacities = limit_capacities(&self.settings.cluster);
        let near = capacities
            .iter()
            .filter(|c| c.is_nearly_reached_by(machines))
            .count();
        let warned = self.stats.warned_limits;
        for capacity in capacities.iter().take(near).skip(warned) {
            warn!(
                machines,
                limit = %capacity,
                "number of machines approaches a limit of the cluster settings"
            );
        }
        self.stats.warned_limits = warned.max(near);
    }
}
