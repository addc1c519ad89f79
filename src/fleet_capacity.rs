//! Estimates how many machines the resource limits of a process suffice for, from the cost per
//! machine (`docs/operations.md`).
//!
//! The estimate is only reported, never enforced: a larger fleet is served as well as possible.

use std::fmt;

use crate::settings::ClusterSettings;

/// Processor time of a heartbeat on an open connection, system calls and packets included, in
/// core-seconds.
const HEARTBEAT_CORE_S: f64 = 100e-6;
/// Processor time of a heartbeat that opens a connection, in core-seconds.
const CONNECTING_HEARTBEAT_CORE_S: f64 = 250e-6;
/// Ratio of a leader's processor time that heartbeats may take. Planning, starts, users' requests
/// and calls to the store need the rest.
const HEARTBEAT_CPU_RATIO: f64 = 0.5;
/// Ratio of the agents' lease within which all of them have to connect to a new leader.
const TAKEOVER_LEASE_RATIO: f64 = 0.5;
/// Memory that a leader needs for the state of a machine with its tasks, in bytes.
const MACHINE_STATE_BYTES: f64 = 6.0 * 1024.0;
/// Ratio of a leader's memory that is available for the state of machines.
const MACHINES_MEMORY_RATIO: f64 = 0.5;
/// Ratio of the fleet that may be lost at once.
const LOST_FLEET_RATIO: f64 = 1.0 / 3.0;
/// Maximum number of machines that the cloud deletes in one request.
const MACHINES_PER_DELETION_MAX: f64 = 100.0;
/// Ratio of the agents' lease within which all lost machines have to be deleted.
const DELETION_LEASE_RATIO: f64 = 0.5;
/// A fleet of at least this ratio of a capacity is near it.
const NEAR_CAPACITY_RATIO: f64 = 0.8;

/// A resource limit, and the number of machines that it suffices for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitCapacity {
    /// The settings key of the limit.
    pub limit: &'static str,
    /// The workload that the limit does not suffice for in a larger fleet.
    pub workload: &'static str,
    /// The approximate number of machines.
    pub machines: usize,
}

impl fmt::Display for LimitCapacity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let LimitCapacity {
            limit,
            workload,
            machines,
        } = self;
        write!(
            f,
            "{limit} suffices for {workload} of about {machines} machines"
        )
    }
}

impl LimitCapacity {
    fn new(limit: &'static str, workload: &'static str, machines: f64) -> LimitCapacity {
        LimitCapacity {
            limit,
            workload,
            machines: machines as usize,
        }
    }

    /// Returns whether a fleet of this size is near or above the capacity.
    pub fn is_nearly_reached_by(&self, machines: usize) -> bool {
        machines as f64 >= self.machines as f64 * NEAR_CAPACITY_RATIO
    }
}

/// Returns the capacity of each resource limit, lowest first.
pub fn limit_capacities(cluster: &ClusterSettings) -> Vec<LimitCapacity> {
    let mut capacities = vec![
        LimitCapacity::new(
            "cluster.limits.cpu_share",
            "the check-ins",
            heartbeat_machines(cluster),
        ),
        LimitCapacity::new(
            "cluster.limits.cpu_share",
            "a takeover",
            takeover_machines(cluster),
        ),
        LimitCapacity::new(
            "cluster.limits.ram_mb",
            "the state",
            memory_machines(cluster),
        ),
        LimitCapacity::new(
            "cluster.cloud.rps",
            "the loss of a third",
            loss_machines(cluster),
        ),
    ];
    capacities.sort_by_key(|capacity| capacity.machines);
    capacities
}

/// Returns for how many machines' heartbeats the processor share suffices.
fn heartbeat_machines(cluster: &ClusterSettings) -> f64 {
    let cpu_share = cluster.limits.cpu_share;
    cpu_share * HEARTBEAT_CPU_RATIO * cluster.workers.report_s / HEARTBEAT_CORE_S
}

/// Returns for how many agents' connections after a takeover the processor share suffices.
fn takeover_machines(cluster: &ClusterSettings) -> f64 {
    let takeover_s = cluster.workers.lease_s * TAKEOVER_LEASE_RATIO;
    cluster.limits.cpu_share * takeover_s / CONNECTING_HEARTBEAT_CORE_S
}

/// Returns how many machines' state fits into the memory.
fn memory_machines(cluster: &ClusterSettings) -> f64 {
    let memory_bytes = cluster.limits.memory_share_bytes(MACHINES_MEMORY_RATIO) as f64;
    memory_bytes / MACHINE_STATE_BYTES
}

/// Returns the largest fleet for which the cloud's rate limit suffices to delete the machines that
/// may be lost at once.
fn loss_machines(cluster: &ClusterSettings) -> f64 {
    let deletion_s = cluster.workers.lease_s * DELETION_LEASE_RATIO;
    let deleted = cluster.cloud.rps * deletion_s * MACHINES_PER_DELETION_MAX;
    deleted / LOST_FLEET_RATIO
}
