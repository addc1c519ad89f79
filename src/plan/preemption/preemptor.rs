//! The job that others are preempted for.

use std::sync::Arc;

use crate::job::JobSpec;
use crate::plan::resources::Resources;
use crate::plan::snapshot::JobView;

/// A job that may preempt others.
#[derive(Debug, Clone)]
pub(in crate::plan) struct Preemptor {
    /// The job.
    pub job: Arc<str>,
    /// What it asks for.
    pub spec: Arc<JobSpec>,
    /// All unfinished work of its team fits into the nominal quota.
    pub is_within_nominal_quota: bool,
}

impl Preemptor {
    /// A job as a preemptor, given how its team's unfinished work compares to its nominal quota.
    pub(crate) fn new(job: &JobView, is_within_nominal_quota: bool) -> Preemptor {
        Preemptor {
            job: job.id.clone(),
            spec: job.spec.clone(),
            is_within_nominal_quota,
        }
    }

    /// Whether both have the same preemption candidates at the same costs.
    pub(crate) fn is_like(&self, other: &Preemptor) -> bool {
        let alike = Resources::of(&self.spec) == Resources::of(&other.spec)
            && self.spec.priority == other.spec.priority
            && self.spec.spot == other.spec.spot;
        // Whether a task runs on borrowed quota depends on the preemptor's team.
        let same_quota = !self.is_within_nominal_quota || self.job == other.job;
        alike && self.is_within_nominal_quota == other.is_within_nominal_quota && same_quota
    }
}
