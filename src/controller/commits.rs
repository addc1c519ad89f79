//! Whose change a write to the store is, and what follows from its outcome.

use super::duties::DutyWrite;
use super::{Controller, StepDownReason};
use crate::epoch::Epoch;
use crate::job::FinalState;
use crate::leadership_keys::{LEADER_KEY, LEASE_KEY};
use crate::net::Outcome;
use crate::write_queue::CommitResult;

/// Whose change a write is.
#[derive(Debug, Clone)]
pub(super) enum WriteOwner {
    /// A user's request, by its number.
    User(u64),
    /// That this controller runs this version, or that all do.
    FormatVersion,
    /// A duty's.
    Duty(Box<DutyWrite>),
    /// The scheduler's.
    Job(JobWrite),
}

impl WriteOwner {
    /// Whether the write depends on the leader's term.
    pub(super) fn is_of_leader(&self) -> bool {
        match self {
            WriteOwner::Job(_) => true,
            WriteOwner::Duty(write) => write.is_of_leader(),
            WriteOwner::User(_) | WriteOwner::FormatVersion => false,
        }
    }
}

/// The write of a job's record, or of how the job ended.
#[derive(Debug, Clone)]
pub(super) struct JobWrite {
    pub job: String,
    /// The job's count of changes that the record holds.
    pub change: u64,
    /// How the job ended, if it did.
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
            WriteOwner::User(user) => self.on_user_commit(user, result),
            WriteOwner::FormatVersion => {}
            WriteOwner::Duty(write) => self.on_duty_commit(*write, result),
            WriteOwner::Job(write) => self.on_job_commit(&write, result),
        }
    }

    fn on_job_commit(&mut self, write: &JobWrite, result: &CommitResult) {
        let now = self.clock.steady_ms();
        let final_state = write.final_state;
        if let (CommitResult::Committed { .. }, Some(state)) = (result, final_state) {
            self.watch_cache.record_final(&write.job, state);
            self.watch_cache.jobs.remove(&write.job);
            self.forward_dependency_events();
        }
        let Some(scheduler) = self.scheduler_of(write.epoch) else {
            return;
        };
        scheduler.on_commit(&write.job, write.change, final_state, result, now);
        self.step_down_if_deposed(result);
    }

    /// Steps down if a write of the leader failed on the leader key: another one leads.
    pub(super) fn step_down_if_deposed(&mut self, result: &CommitResult) {
        let CommitResult::Conflict { failed, .. } = result else {
            return;
        };
        let is_leader_key = |key: &String| key == LEADER_KEY || key == LEASE_KEY;
        if failed.iter().any(is_leader_key) {
            self.leadership.abandon(self.clock.steady_ms());
            self.step_down(StepDownReason::WriteConflict);
        }
    }
}
