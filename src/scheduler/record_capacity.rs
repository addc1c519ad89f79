//! How many placements fit into a job's record.

use super::Job;
use crate::epoch::Epoch;
use crate::job::{json_length, TaskRun, PACKED_FORMAT};
use crate::plan::TaskBinding;
use crate::settings::StoreLimits;

/// The numbers and separators of a run in a record that is not packed.
const RUN_BYTES: f64 = 26.0;
/// Everything in a record that is not packed, except for its runs.
const OTHER_BYTES: f64 = 2000.0;
/// The least that a packed run takes.
const PACKED_RUN_BYTES: f64 = 4.0;
/// Length of a machine's name before any is known.
const NAME_BYTES: usize = 16;
/// This many runs always fit into a record that is not packed.
const RUNS_MIN: f64 = 4.0;
/// The numbers and separators that a packed run may take beside a name.
const LONGEST_RUN_BYTES: usize = 16;
/// What a record's counters may grow by.
const COUNTERS_BYTES: usize = 40;
/// Runs that make up for the rest of a record where its length is not computed.
const UNMEASURED_RUNS: usize = 40;
/// The length of a record is not computed while its runs take at most one part of a value in
/// this many.
const UNMEASURED_PART: usize = 4;

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

    /// At most how many runs a record may hold: a run in JSON takes the name of its machine,
    /// three numbers and their separators. The length of packed runs varies; whether they fit
    /// is computed when a task is placed.
    pub(super) fn runs_max<'a>(&self, machine_names: impl Iterator<Item = &'a String>) -> usize {
        let value_bytes = self.limits.value_kb * 1024.0;
        if self.format >= PACKED_FORMAT {
            return (value_bytes / PACKED_RUN_BYTES) as usize;
        }
        let longest_name = machine_names.map(String::len).max();
        let run_bytes = longest_name.unwrap_or(NAME_BYTES) as f64 + RUN_BYTES;
        ((value_bytes - OTHER_BYTES) / run_bytes).max(RUNS_MIN) as usize
    }

    /// Whether a job's record has capacity for these placements, too, whichever of its tasks
    /// end first. The length is not computed where there is capacity for the worst case beside
    /// the longest lists that a submission may have, or where [`RecordCapacity::runs_max`]
    /// allows for it in advance.
    pub(super) fn fits(&self, job: &Job, bindings: &[TaskBinding], epoch: Epoch) -> bool {
        // Before the limits fall, too: a record stored by then has to be written again, if
        // only because its job is cancelled.
        let value_bytes = (self.limits.lowered().value_kb * 1024.0) as usize;
        let names = bindings.iter().map(|binding| binding.machine.len());
        let longest_name = names.max().unwrap_or(0);
        let runs = job.placements.len() + bindings.len();
        let limit_falls = self.format >= PACKED_FORMAT || self.limits.next.is_some();
        let worst_bytes = (runs + UNMEASURED_RUNS) * (longest_name + LONGEST_RUN_BYTES);
        if !limit_falls || worst_bytes < value_bytes / UNMEASURED_PART {
            return true;
        }
        // Ends scattered over the tasks, and counters that grow.
        let ends_bytes = (job.spec.tasks as usize / 4).min(LONGEST_RUN_BYTES * runs);
        packed_length(job, bindings, epoch) + ends_bytes + COUNTERS_BYTES <= value_bytes
    }
}

/// The length of a job's packed record with further placements.
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
