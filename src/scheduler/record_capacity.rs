//! Limits how many placements a job's record may hold, by the store's limit for a value.

use super::Job;
use crate::epoch::Epoch;
use crate::job::{json_length, TaskRun, PACKED_FORMAT};
use crate::plan::TaskBinding;
use crate::settings::StoreLimits;

/// Bytes of a run in a JSON record, excluding the machine's name: its numbers and separators.
const JSON_RUN_OVERHEAD_BYTES: f64 = 26.0;
/// Bytes of a JSON record, excluding its runs.
const JSON_RECORD_OVERHEAD_BYTES: f64 = 2000.0;
/// Bytes of the shortest packed run.
const PACKED_RUN_MIN_BYTES: f64 = 4.0;
/// Assumed length of a machine's name while no machine is known, in bytes.
const DEFAULT_NAME_BYTES: usize = 16;
/// Lower bound of the limit for runs in a JSON record: this many always fit.
const RUNS_MIN: f64 = 4.0;
/// Bytes of the longest packed run, excluding the machine's name.
const PACKED_RUN_OVERHEAD_MAX_BYTES: usize = 16;
/// Bytes by which a record's counters may grow.
const COUNTER_GROWTH_BYTES: usize = 40;
/// Runs added to the estimate of a record's length, to account for everything but its runs.
const ESTIMATE_OVERHEAD_RUNS: usize = 40;
/// The exact length of a record is not computed while its estimate is less than the limit for a
/// value divided by this.
const ESTIMATE_VALUE_DIVISOR: usize = 4;

/// The format in which job records are written, and the store's limits for them.
#[derive(Debug)]
pub(super) struct RecordCapacity {
    format: u64,
    limits: StoreLimits,
}

impl RecordCapacity {
    pub(super) fn new(format: u64, limits: &StoreLimits) -> RecordCapacity {
        RecordCapacity {
            format,
            limits: limits.clone(),
        }
    }

    /// The format in which records are written.
    pub(super) fn format(&self) -> u64 {
        self.format
    }

    /// How many runs a record may hold. A run in JSON takes the name of its machine, three
    /// numbers and their separators. The length of packed runs varies: this is an upper bound,
    /// and [`RecordCapacity::fits`] computes when a task is placed whether they fit.
    pub(super) fn runs_max<'a>(&self, machine_names: impl Iterator<Item = &'a String>) -> usize {
        let value_bytes = self.limits.value_kb * 1024.0;
        if self.format >= PACKED_FORMAT {
            return (value_bytes / PACKED_RUN_MIN_BYTES) as usize;
        }
        let longest_name = machine_names.map(String::len).max();
        let run_bytes = longest_name.unwrap_or(DEFAULT_NAME_BYTES) as f64 + JSON_RUN_OVERHEAD_BYTES;
        ((value_bytes - JSON_RECORD_OVERHEAD_BYTES) / run_bytes).max(RUNS_MIN) as usize
    }

    /// Whether a job's record has capacity for further placements, whichever of the job's tasks
    /// end first. The exact length is not computed if the worst case fits beside the longest
    /// lists that a submission may have, or if [`RecordCapacity::runs_max`] already limits it.
    pub(super) fn fits(&self, job: &Job, bindings: &[TaskBinding], epoch: Epoch) -> bool {
        // The lower limits apply before they take effect: a record that is stored by then has to
        // be written again, if only because its job is cancelled.
        let value_bytes = (self.limits.strictest().value_kb * 1024.0) as usize;
        let names = bindings.iter().map(|binding| binding.machine.len());
        let longest_name = names.max().unwrap_or(0);
        let runs = job.placements.len() + bindings.len();
        let needs_exact_check = self.format >= PACKED_FORMAT || self.limits.next.is_some();
        let worst_bytes =
            (runs + ESTIMATE_OVERHEAD_RUNS) * (longest_name + PACKED_RUN_OVERHEAD_MAX_BYTES);
        if !needs_exact_check || worst_bytes < value_bytes / ESTIMATE_VALUE_DIVISOR {
            return true;
        }
        // The record grows when tasks end in scattered order, and when counters get longer.
        let scattered_ends_bytes =
            (job.spec.tasks as usize / 4).min(PACKED_RUN_OVERHEAD_MAX_BYTES * runs);
        packed_length(job, bindings, epoch) + scattered_ends_bytes + COUNTER_GROWTH_BYTES
            <= value_bytes
    }
}

/// The length of a job's packed record with further placements, in bytes.
fn packed_length(job: &Job, bindings: &[TaskBinding], epoch: Epoch) -> usize {
    let mut record = job.to_record(epoch);
    let mut bindings: Vec<&TaskBinding> = bindings.iter().collect();
    bindings.sort_unstable();
    for binding in bindings {
        let run = TaskRun::single(binding.task, job.next_attempt, &*binding.machine);
        record.runs.push(run);
    }
    record.runs.sort_by_key(|run| run.first);
    json_length(&record.to_value(PACKED_FORMAT))
}
