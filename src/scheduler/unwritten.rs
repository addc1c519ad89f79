//! Which jobs have changes that are not on record, so that no event looks at all jobs.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::job_state::WriteSlot;
use super::Scheduler;

/// Jobs with changes that are not on record and not being written.
#[derive(Debug, Default)]
pub(super) struct UnwrittenJobs {
    /// Jobs whose changes go out at once.
    pub urgent: BTreeSet<Arc<str>>,
    /// Jobs whose changes may wait, by since when they do.
    pub deferred: BTreeSet<(u64, Arc<str>)>,
}

impl UnwrittenJobs {
    /// Takes a job out of where it stands.
    pub fn remove(&mut self, id: &Arc<str>, slot: WriteSlot) {
        match slot {
            WriteSlot::None => false,
            WriteSlot::Urgent => self.urgent.remove(id),
            WriteSlot::Deferred(since) => self.deferred.remove(&(since, id.clone())),
        };
    }

    fn insert(&mut self, id: &Arc<str>, slot: WriteSlot) {
        match slot {
            WriteSlot::None => false,
            WriteSlot::Urgent => self.urgent.insert(id.clone()),
            WriteSlot::Deferred(since) => self.deferred.insert((since, id.clone())),
        };
    }
}

impl Scheduler {
    /// Brings the index up to date with a job whose changes, or their being on record, have
    /// changed.
    pub(super) fn update_write_slot(&mut self, id: &str) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let wanted = job.wanted_write_slot();
        if wanted != job.write_slot {
            self.unwritten.remove(&job.id, job.write_slot);
            self.unwritten.insert(&job.id, wanted);
            job.write_slot = wanted;
        }
    }
}
