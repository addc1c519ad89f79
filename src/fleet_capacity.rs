//! How many machines the resource limits of a process suffice for, by the measured cost of the
//! service (`docs/operations.md`).
//!
//! The result is only reported, never enforced: the service serves what it can.

use std::fmt;

use crate::settings::ClusterSettings;

/// Processor time of a heartbeat on an open connection, system calls and packets included, in
/// core-seconds.
const HEARTBEAT_CORE_S: f64 = 100e-6;
/// Processor time of a heartbeat that opens a connection, in core-seconds.
const CONNECTING_HEARTBEAT_CORE_S: f64 = 250e-6;
/// Share of a leader's processor time that heartbeats may take. Plans, starts, users and the
/// store need the rest.
const HEARTBEAT_SHARE: f64 = 0.5;
/// Share of their lease within which all agents have to connect to a new leader.
const TAKEOVER_LEASE_SHARE: f64 = 0.5;
/// Memory that a leader needs for a machine with its tasks, in bytes.
const MACHINE_BYTES: f64 = 6.0 * 1024.0;
/// Share of a leader's memory that is available for machines.
const MACHINES_MEMORY_SHARE: f64 = 0.5;
/// Share of the fleet that may be lost at once.
const LOST_SHARE: f64 = 1.0 / 3.0;
/// Maximum number of machines that the cloud deletes in one request.
const DELETED_PER_REQUEST: f64 = 100.0;
/// Share of an agent's lease within which all lost machines are to be deleted.
const DELETION_LEASE_SHARE: f64 = 0.5;
/// A fleet of this share of a capacity is near it.
const NEAR_SHARE: f64 = 0.8;

/// A resource limit, and the number of machines that it suffices for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitCapacity {
    /// The settings key of the limit.
    pub limit: &'static str,
    /// What the limit does not suffice for in a larger fleet.
    pub limited: &'static str,
    /// The approximate number of machines.
    pub machines: usize,
}

impl fmt::Display for LimitCapacity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let LimitCapacity {
            limit,
            limited,
            machines,
        } = self;
        write!(
            f,
            "{limit} suffices for {limited} of about {machines} machines"
        )
    }
}

impl LimitCapacity {
    fn new(limit: &'static str, limited: &'static str, machines: f64) -> LimitCapacity {
        LimitCapacity {
            limit,
            limited,
            machines: machines as usize,
        }
    }

    /// Returns whether a fleet of this number of machines is near the capacity, or beyond it.
    pub fn is_near(&self, machines: usize) -> bool {
        machines as f64 >= self.machines as f64 * NEAR_SHARE
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

/// Returns how many machines' heartbeats the processor share suffices for.
fn heartbeat_machines(cluster: &ClusterSettings) -> f64 {
    let cpu_share = cluster.limits.cpu_share;
    cpu_share * HEARTBEAT_SHARE * cluster.workers.report_s / HEARTBEAT_CORE_S
}

/// Returns how many agents the processor share suffices to connect after a takeover.
fn takeover_machines(cluster: &ClusterSettings) -> f64 {
    let takeover_s = cluster.workers.lease_s * TAKEOVER_LEASE_SHARE;
    cluster.limits.cpu_share * takeover_s / CONNECTING_HEARTBEAT_CORE_S
}

/// Returns how many machines' state fits into the memory.
fn memory_machines(cluster: &ClusterSettings) -> f64 {
    let memory_bytes = cluster.limits.memory_part(MACHINES_MEMORY_SHARE) as f64;
    memory_bytes / MACHINE_BYTES
}

/// Returns the size of a fleet of which the cloud's rate limit suffices to delete the machines
/// that may be lost at once.
fn loss_machines(cluster: &ClusterSettings) -> f64 {
    let deletion_s = cluster.workers.lease_s * DELETION_LEASE_SHARE;
    let deleted = cluster.cloud.rps * deletion_s * DELETED_PER_REQUEST;
    deleted / LOST_SHARE
}
