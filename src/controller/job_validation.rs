//! Checks whether a job can ever run, and whether its record fits into the store. No I/O.

use super::user_types::RejectionReason;
use crate::cloud;
use crate::job::{json_length, JobRecord, JobSpec, Shape};
use crate::settings::{ClusterSettings, StoreLimits, Team};
use crate::wire::MachineType;

/// Tolerance for rounding errors when amounts are compared with a limit.
const AMOUNT_TOLERANCE: f64 = 1e-6;
const BYTES_PER_KB: f64 = 1024.0;
/// Ratio of a stored value that a job's own fields may take, which leaves room for its
/// placements.
const SPEC_VALUE_RATIO: f64 = 0.6;
/// Largest size of a placement in a packed record, with a machine name of usual length that is
/// stored whole.
const PLACEMENT_BYTES_MAX: f64 = 16.0;

/// Checks whether a job can ever run, and whether its record fits into the store.
///
/// # Errors
///
/// Why the job is rejected.
pub(super) fn check_runnable(
    spec: &JobSpec,
    cluster: &ClusterSettings,
    machine_types: &[MachineType],
    wall_ms: u64,
) -> Result<(), RejectionReason> {
    let team = cluster.teams.iter().find(|team| team.name == spec.team);
    check_quota_limit(spec, team.ok_or(RejectionReason::UnknownTeam)?)?;
    if machine_types.is_empty() {
        return Err(RejectionReason::MachineTypesNotLoaded);
    }
    if !cloud::can_run(spec, machine_types) {
        return Err(RejectionReason::NoFittingMachineType);
    }
    check_fits_record(spec, &cluster.state, wall_ms)
}

/// Checks whether the tasks that start together (all of a gang, otherwise one) fit into a team's
/// limit.
fn check_quota_limit(spec: &JobSpec, team: &Team) -> Result<(), RejectionReason> {
    let tasks_at_once = match spec.shape {
        Shape::Gang => f64::from(spec.tasks),
        Shape::Array | Shape::Service => 1.0,
    };
    let exceeds = |limit: f64, per_task: f64| {
        limit > 0.0 && per_task * tasks_at_once > limit + AMOUNT_TOLERANCE
    };
    if exceeds(team.cpus_max, spec.cpus) || exceeds(team.gpus_max, spec.gpus) {
        return Err(RejectionReason::ExceedsTeamLimit);
    }
    Ok(())
}

/// Checks whether a job's record fits into a stored value, also under announced lower limits:
/// its own fields beside some placements, and for a gang, whose tasks start together, all of them.
fn check_fits_record(
    spec: &JobSpec,
    limits: &StoreLimits,
    wall_ms: u64,
) -> Result<(), RejectionReason> {
    let value_bytes = limits.strictest().value_kb * BYTES_PER_KB;
    let record = JobRecord::new(spec.clone(), wall_ms).to_value(0);
    let record_bytes = json_length(&record) as f64;
    if record_bytes > value_bytes * SPEC_VALUE_RATIO {
        return Err(RejectionReason::RecordTooLarge);
    }
    let placements_bytes = f64::from(spec.tasks) * PLACEMENT_BYTES_MAX;
    if spec.shape == Shape::Gang && record_bytes + placements_bytes > value_bytes {
        return Err(RejectionReason::GangRecordTooLarge);
    }
    Ok(())
}
