//! How many machines the platform's grants suffice for, by what was measured of the service
//! (`docs/operations.md`). Only said, never enforced: the service serves what it can.

use std::fmt;

use crate::settings::ClusterSettings;

/// Processor time of a heartbeat on a kept connection, system calls and packets included.
const HEARTBEAT_CORE_S: f64 = 100e-6;
/// The same for one that brings a connection.
const CONNECTING_HEARTBEAT_CORE_S: f64 = 250e-6;
/// The part of a leader's processor share that heartbeats may take; plans, starts, users and
/// the store need the rest.
const HEARTBEAT_SHARE: f64 = 0.5;
/// After a takeover all agents have to come within this part of their lease.
const TAKEOVER_LEASE_SHARE: f64 = 0.5;
/// What a leader holds for a machine with its tasks, and the part of its memory for that.
const MACHINE_BYTES: f64 = 6.0 * 1024.0;
const MACHINES_MEMORY_SHARE: f64 = 0.5;
/// A third of the fleet may be lost at once, a hundred machines a deletion, and is to be
/// given up within this part of a lease.
const LOST_PART: f64 = 1.0 / 3.0;
const DELETED_AT_ONCE: f64 = 100.0;
const DELETION_LEASE_SHARE: f64 = 0.5;
/// A warning is given from this part of a capacity on.
const WARNING_SHARE: f64 = 0.8;

/// A grant and the number of machines that it suffices for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitCapacity {
    /// The setting.
    pub limit: &'static str,
    /// What falls short beyond the number.
    pub limited: &'static str,
    /// About so many machines.
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
    /// Whether a fleet of this size comes near it.
    pub fn is_near(&self, machines: usize) -> bool {
        machines as f64 >= self.machines as f64 * WARNING_SHARE
    }
}

/// What each grant suffices for, the least first.
pub fn limit_capacities(cluster: &ClusterSettings) -> Vec<LimitCapacity> {
    let (workers, limits) = (&cluster.workers, &cluster.limits);
    let heartbeats = limits.cpu_share * HEARTBEAT_SHARE * workers.report_s / HEARTBEAT_CORE_S;
    let takeover_s = workers.lease_s * TAKEOVER_LEASE_SHARE;
    let takeover = limits.cpu_share * takeover_s / CONNECTING_HEARTBEAT_CORE_S;
    let memory_bytes = limits.memory_part(MACHINES_MEMORY_SHARE) as f64;
    let deletion_s = workers.lease_s * DELETION_LEASE_SHARE;
    let deleted = cluster.cloud.rps * deletion_s * DELETED_AT_ONCE;
    let capacity = |limit, limited, machines: f64| LimitCapacity {
        limit,
        limited,
        machines: machines as usize,
    };
    let mut capacities = vec![
        capacity("cluster.limits.cpu_share", "the check-ins", heartbeats),
        capacity("cluster.limits.cpu_share", "a takeover", takeover),
        capacity(
            "cluster.limits.ram_mb",
            "the state",
            memory_bytes / MACHINE_BYTES,
        ),
        capacity(
            "cluster.cloud.rps",
            "the loss of a third",
            deleted / LOST_PART,
        ),
    ];
    capacities.sort_by_key(|capacity| capacity.machines);
    capacities
}
