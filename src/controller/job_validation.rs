//! Whether a job can run at all, and whether its record can be kept. Pure.

use super::user_types::Refusal;
use crate::cloud;
use crate::job::{json_length, JobRecord, JobSpec, Shape};
use crate::settings::{ClusterSettings, StoreLimits, Team};
use crate::wire::MachineType;

/// Amounts that differ by less are the same.
const EPSILON: f64 = 1e-6;
const BYTES_PER_KB: f64 = 1024.0;
/// Part of a value that a job's own fields may take, so that there is room for its
/// placements.
const SPEC_SHARE: f64 = 0.6;
/// What a placement takes in a packed record at most, with a machine's name of usual length
/// of which nothing is left out.
const PLACEMENT_BYTES: f64 = 16.0;

/// Checks whether a job can run at all.
///
/// # Errors
///
/// Why it is not accepted.
pub(super) fn check_runnable(
    spec: &JobSpec,
    cluster: &ClusterSettings,
    machine_types: &[MachineType],
    wall_ms: u64,
) -> Result<(), Refusal> {
    let team = cluster.teams.iter().find(|team| team.name == spec.team);
    check_quota_limit(spec, team.ok_or(Refusal::UnknownTeam)?)?;
    if machine_types.is_empty() {
        return Err(Refusal::MachineTypesUnknown);
    }
    if !cloud::can_run(spec, machine_types) {
        return Err(Refusal::FitsNoMachineType);
    }
    check_fits_record(spec, &cluster.state, wall_ms)
}

/// Checks whether what has to run at once fits into a team's limit.
fn check_quota_limit(spec: &JobSpec, team: &Team) -> Result<(), Refusal> {
    let tasks_at_once = match spec.shape {
        Shape::Gang => f64::from(spec.tasks),
        Shape::Array | Shape::Service => 1.0,
    };
    let is_beyond =
        |limit: f64, per_task: f64| limit > 0.0 && per_task * tasks_at_once > limit + EPSILON;
    if is_beyond(team.cpus_max, spec.cpus) || is_beyond(team.gpus_max, spec.gpus) {
        return Err(Refusal::BeyondTeamLimit);
    }
    Ok(())
}

/// Checks whether a job's record fits into a value, also under limits to come: its own fields
/// beside some placements, and for a gang, whose tasks start together, all of them.
fn check_fits_record(spec: &JobSpec, limits: &StoreLimits, wall_ms: u64) -> Result<(), Refusal> {
    let value_bytes = limits.lowered().value_kb * BYTES_PER_KB;
    let record = JobRecord::new(spec.clone(), wall_ms).to_value(0);
    let record_bytes = json_length(&record) as f64;
    if record_bytes > value_bytes * SPEC_SHARE {
        return Err(Refusal::TooLongToKeep);
    }
    let placements_bytes = f64::from(spec.tasks) * PLACEMENT_BYTES;
    if spec.shape == Shape::Gang && record_bytes + placements_bytes > value_bytes {
        return Err(Refusal::GangTooLargeToKeep);
    }
    Ok(())
}
