//! Counts preemptions by reason, and detects tasks that are preempted again and again.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use tracing::{info, warn};

use super::placement::TaskKey;
use crate::plan::{PlannedPreemption, PreemptionReason};

/// Time within which the preemptions of one task count as repeated.
const REPEAT_WINDOW_MS: u64 = 60_000;
/// Number of preemptions of one task within that time that is logged as a warning.
const REPEATS_WARNED: usize = 3;

/// How many tasks were preempted in this term, by reason.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PreemptionCounts {
    /// For work of a higher priority.
    pub by_priority: u64,
    /// For work within its team's nominal quota, as the preempted task's team borrowed quota.
    pub by_nominal_quota: u64,
}

/// The preemptions of this term.
#[derive(Debug, Default)]
pub(super) struct Preemptions {
    counts: PreemptionCounts,
    /// When each task was preempted within the last window.
    recent: HashMap<Arc<str>, HashMap<u32, VecDeque<u64>>>,
}

impl Preemptions {
    pub(super) fn counts(&self) -> PreemptionCounts {
        self.counts
    }

    /// Records a preemption. Returns how often the task was preempted within the last window.
    pub(super) fn record(&mut self, preemption: &PlannedPreemption, now: u64) -> usize {
        match preemption.reason {
            PreemptionReason::HigherPriority => self.counts.by_priority += 1,
            PreemptionReason::NominalQuota => self.counts.by_nominal_quota += 1,
        }
        let tasks = self.recent.entry(preemption.job.clone()).or_default();
        let times = tasks.entry(preemption.task).or_default();
        times.retain(|at| now <= *at + REPEAT_WINDOW_MS);
        times.push_back(now);
        times.len()
    }

    /// Discards what is known of a job that has ended.
    pub(super) fn forget_job(&mut self, job: &str) {
        self.recent.remove(job);
    }
}

/// Logs a preemption, and warns if the same task is preempted again and again: then preemptions
/// undo each other. `repeats` is how often it was preempted within the last window.
pub(super) fn log_preemption(task: &TaskKey, preemption: &PlannedPreemption, repeats: usize) {
    let PlannedPreemption {
        preemptor, reason, ..
    } = preemption;
    info!(%task, %preemptor, ?reason, "stopping task for preemption");
    if repeats >= REPEATS_WARNED {
        warn!(%task, %preemptor, ?reason, repeats, "task is preempted again and again");
    }
}
