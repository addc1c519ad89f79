//! Which jobs have changes that are not on record, so that no event looks at all jobs.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::job_state::WriteState;
use super::Scheduler;

/// Jobs with changes that are not on record and not being written.
#[derive(Debug, Default)]
pub(super) struct DirtyJobs {
    /// Jobs whose changes go out at once.
    pub urgent: BTreeSet<Arc<str>>,
    /// Jobs whose changes may wait, by since when they do.
    pub deferred: BTreeSet<(u64, Arc<str>)>,
}

impl DirtyJobs {
    /// Takes a job out of where it stands.
    pub fn remove(&mut self, id: &Arc<str>, slot: WriteState) {
        match slot {
            WriteState::None => false,
            WriteState::Urgent => self.urgent.remove(id),
            WriteState::Deferred(since) => self.deferred.remove(&(since, id.clone())),
        };
    }

    fn insert(&mut self, id: &Arc<str>, slot: WriteState) {
        match slot {
            WriteState::None => false,
            WriteState::Urgent => self.urgent.insert(id.clone()),
            WriteState::Deferred(since) => self.deferred.insert((since, id.clone())),
        };
    }
}

impl Scheduler {
    /// Brings the index up to date with a job whose changes, or their being on record, have
    /// changed.
    pub(super) fn update_write_state(&mut self, id: &str) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let wanted = job.required_write_state();
        if wanted != job.write_state {
            self.dirty_jobs.remove(&job.id, job.write_state);
            self.dirty_jobs.insert(&job.id, wanted);
            job.write_state = wanted;
        }
    }
}
