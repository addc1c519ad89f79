//! Index of the jobs with uncommitted changes, so that no event has to examine all jobs.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::record_state::WriteState;
use super::Job;

/// Jobs with changes that are neither committed nor in flight.
///
/// A job's own `write_state` tells where the index has it; [`DirtyJobs::update`] keeps the two
/// consistent.
#[derive(Debug, Default)]
pub(super) struct DirtyJobs {
    /// Jobs whose changes are to be written immediately.
    urgent: BTreeSet<Arc<str>>,
    /// Jobs whose changes may be deferred, by the time since when they are pending.
    deferred: BTreeSet<(u64, Arc<str>)>,
    /// Number of jobs considered for writing since the term began.
    considered: u64,
}

impl DirtyJobs {
    /// Updates the index after a job has new changes, or the state of their write has changed.
    pub(super) fn update(&mut self, job: &mut Job) {
        let required = job.required_write_state();
        if required != job.write_state {
            self.remove(job);
            self.insert(&job.id, required);
            job.write_state = required;
        }
    }

    /// Removes a job that is no longer live.
    pub(super) fn remove(&mut self, job: &Job) {
        match job.write_state {
            WriteState::None => false,
            WriteState::Urgent => self.urgent.remove(&job.id),
            WriteState::Deferred(since) => self.deferred.remove(&(since, job.id.clone())),
        };
    }

    fn insert(&mut self, id: &Arc<str>, state: WriteState) {
        match state {
            WriteState::None => false,
            WriteState::Urgent => self.urgent.insert(id.clone()),
            WriteState::Deferred(since) => self.deferred.insert((since, id.clone())),
        };
    }

    /// The jobs to write now: all urgent ones, and up to `deferrable_write_budget` of those
    /// that have been deferred for `max_wait_ms`, longest first. `may_write` tells whether a job's record may
    /// be written now.
    pub(super) fn due(
        &mut self,
        may_write: impl Fn(&str) -> bool,
        deferrable_write_budget: usize,
        max_wait_ms: u64,
        now: u64,
    ) -> Vec<Arc<str>> {
        let mut considered = 0;
        let mut may_write = |id: &&Arc<str>| {
            considered += 1;
            may_write(id)
        };
        let urgent = self.urgent.iter();
        let mut due: Vec<Arc<str>> = urgent.filter(&mut may_write).cloned().collect();
        let deferred = self.deferred.iter();
        let expired = deferred.take_while(|(since, _)| now >= since + max_wait_ms);
        let expired = expired.map(|(_, id)| id).filter(&mut may_write);
        due.extend(expired.take(deferrable_write_budget).cloned());
        self.considered += considered;
        due
    }

    pub(super) fn considered(&self) -> u64 {
        self.considered
    }
}
