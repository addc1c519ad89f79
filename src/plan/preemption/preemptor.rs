//! The job that tasks of other jobs are preempted for.

use std::sync::Arc;

use crate::job::JobSpec;
use crate::plan::precedence::Precedence;
use crate::plan::resources::Resources;
use crate::plan::snapshot::JobView;

/// A job that may preempt tasks of other jobs.
#[derive(Debug, Clone)]
pub(in crate::plan) struct Preemptor {
    /// The job's id.
    pub job: Arc<str>,
    /// The job's specification.
    pub spec: Arc<JobSpec>,
    /// The job's precedence.
    pub precedence: Precedence,
}

impl Preemptor {
    /// Makes a preemptor of a job.
    pub(crate) fn new(job: &JobView, precedence: Precedence) -> Preemptor {
        Preemptor {
            job: job.id.clone(),
            spec: job.spec.clone(),
            precedence,
        }
    }

    /// Whether both preemptors have the same preemption candidates at the same costs.
    pub(crate) fn shares_candidates_with(&self, other: &Preemptor) -> bool {
        Resources::of(&self.spec) == Resources::of(&other.spec)
            && self.precedence == other.precedence
            && self.spec.spot == other.spec.spot
    }
}
