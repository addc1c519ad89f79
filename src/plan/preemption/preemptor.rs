//! The job that tasks of other jobs are preempted for.

use std::sync::Arc;

use crate::job::JobSpec;
use crate::plan::resources::Resources;
use crate::plan::snapshot::JobView;

/// A job that may preempt tasks of other jobs.
#[derive(Debug, Clone)]
pub(in crate::plan) struct Preemptor {
    /// The job's id.
    pub job: Arc<str>,
    /// The job's specification.
    pub spec: Arc<JobSpec>,
    /// Whether all unfinished work of the job's team fits into the team's nominal quota.
    pub is_within_nominal_quota: bool,
}

impl Preemptor {
    /// Makes a preemptor of a job.
    pub(crate) fn new(job: &JobView, is_within_nominal_quota: bool) -> Preemptor {
        Preemptor {
            job: job.id.clone(),
            spec: job.spec.clone(),
            is_within_nominal_quota,
        }
    }

    /// Whether both preemptors have the same preemption candidates at the same costs.
    pub(crate) fn shares_candidates_with(&self, other: &Preemptor) -> bool {
        let alike = Resources::of(&self.spec) == Resources::of(&other.spec)
            && self.spec.priority == other.spec.priority
            && self.spec.spot == other.spec.spot;
        // Whether a task runs on borrowed quota depends on the preemptor's team.
        let same_quota = !self.is_within_nominal_quota || self.job == other.job;
        alike && self.is_within_nominal_quota == other.is_within_nominal_quota && same_quota
    }
}
