//! The owners of writes to the store, and how the outcome of a write is applied to its owner.

use super::duties::DutyWrite;
use super::{Controller, StepDownReason};
use crate::epoch::Epoch;
use crate::job::FinalState;
use crate::leadership_keys::{LEADER_KEY, LEASE_KEY};
use crate::net::Outcome;
use crate::write_queue::CommitResult;

/// The originator of a write.
#[derive(Debug, Clone)]
pub(super) enum WriteOwner {
    /// The user request with this id.
    User(u64),
    /// The announcement of this controller's version, or an upgrade of the stored format.
    FormatVersion,
    /// A duty.
    Duty(Box<DutyWrite>),
    /// The scheduler, for a job.
    Job(JobWrite),
}

impl WriteOwner {
    /// Whether the write is only valid within the leader's term.
    pub(super) fn requires_leadership(&self) -> bool {
        match self {
            WriteOwner::Job(_) => true,
            WriteOwner::Duty(write) => write.requires_leadership(),
            WriteOwner::User(_) | WriteOwner::FormatVersion => false,
        }
    }
}

/// A write of a job's record or of its final state.
#[derive(Debug, Clone)]
pub(super) struct JobWrite {
    pub job: String,
    /// The job's change number up to which the record includes its changes.
    pub change: u64,
    /// The final state, if the job has ended.
    pub final_state: Option<FinalState>,
    /// The epoch of the leader that wrote it.
    pub epoch: Epoch,
}

impl Controller {
    pub(super) fn on_transaction_outcome(&mut self, tag: u64, outcome: &Outcome) {
        self.on_store_refusal(outcome);
        for (owner, result) in self.store.on_transaction_outcome(tag, outcome) {
            self.on_commit(owner, &result);
        }
    }

    fn on_commit(&mut self, owner: WriteOwner, result: &CommitResult) {
        match owner {
            WriteOwner::User(request_id) => self.on_user_commit(request_id, result),
            WriteOwner::FormatVersion => {}
            WriteOwner::Duty(write) => self.on_duty_commit(*write, result),
            WriteOwner::Job(write) => self.on_job_commit(&write, result),
        }
    }

    fn on_job_commit(&mut self, write: &JobWrite, result: &CommitResult) {
        let now = self.clock.steady_ms();
        let final_state = write.final_state;
        if let (CommitResult::Committed { .. }, Some(state)) = (result, final_state) {
            self.watch_cache.record_final_state(&write.job, state);
            self.watch_cache.jobs.remove(&write.job);
            self.forward_dependency_events();
        }
        let Some(scheduler) = self.scheduler_in_epoch(write.epoch) else {
            return;
        };
        scheduler.on_commit(&write.job, write.change, final_state, result, now);
        self.step_down_if_deposed(result);
    }

    /// Steps down if a write of the leader conflicted on a leadership key: another controller
    /// leads.
    pub(super) fn step_down_if_deposed(&mut self, result: &CommitResult) {
        let CommitResult::Conflict { failed, .. } = result else {
            return;
        };
        let is_leadership_key = |key: &String| key == LEADER_KEY || key == LEASE_KEY;
        if failed.iter().any(is_leadership_key) {
            self.leadership.abandon(self.clock.steady_ms());
            self.step_down(StepDownReason::WriteConflict);
        }
    }
}
