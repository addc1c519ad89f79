//! Which of a job's changes are recorded in the store, and when the record may be written.
//!
//! Changes are numbered from 1 in each term. A record carries the number of the last change
//! that it contains, so that the watch cache and the store's answers show what is recorded.

use crate::job::TaskSet;
use crate::write_queue::CommitResult;

/// Pause before a rejected change is written again.
const REJECTED_PAUSE_MS: u64 = 150;
/// Pause before a change with an unknown outcome is written again.
const UNKNOWN_PAUSE_MS: u64 = 50;

/// Whether, and how soon, a job's record is to be written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WriteState {
    /// All changes are recorded, or one is being written.
    None,
    /// A change has to be recorded before something else can happen.
    Urgent,
    /// A change may wait for others; the time since when it does.
    Deferred(u64),
}

/// A change that is being written.
#[derive(Debug)]
struct WritingChange {
    change: u64,
    /// The tasks that were done as of this change.
    done: TaskSet,
}

/// The state of a job's record in the store.
#[derive(Debug)]
pub(super) struct RecordState {
    /// The version of the record's key.
    key_version: u64,
    /// Number of changes in this term.
    change: u64,
    /// Changes up to this one are to be recorded at once; later ones may wait and be written
    /// together.
    urgent_change: u64,
    /// The last change that is recorded.
    committed_change: u64,
    /// Since when a change waits to be recorded.
    changed_at: u64,
    /// The tasks that were done as of the last recorded change.
    committed_done: TaskSet,
    writing: Option<WritingChange>,
    /// The record is not written before this time.
    write_after: u64,
    /// The record is not written before the watch cache has reached this revision.
    write_after_revision: u64,
}

impl RecordState {
    /// The state of a record that was read at `key_version`.
    pub(super) fn new(key_version: u64, done: &TaskSet, now: u64) -> RecordState {
        RecordState {
            key_version,
            change: 0,
            urgent_change: 0,
            committed_change: 0,
            changed_at: now,
            committed_done: done.clone(),
            writing: None,
            write_after: 0,
            write_after_revision: 0,
        }
    }

    pub(super) fn key_version(&self) -> u64 {
        self.key_version
    }

    /// The number of the last change.
    pub(super) fn change(&self) -> u64 {
        self.change
    }

    /// Whether a change of this term is recorded; 0 is any change of an earlier term.
    pub(super) fn is_committed(&self, change: u64) -> bool {
        change <= self.committed_change
    }

    /// The tasks that are recorded as done.
    pub(super) fn committed_done(&self) -> &TaskSet {
        &self.committed_done
    }

    /// Counts a change, which is to be written. Returns its number.
    pub(super) fn add_change(&mut self, now: u64) -> u64 {
        if self.change <= self.committed_change {
            self.changed_at = now;
        }
        self.change += 1;
        self.change
    }

    /// Counts a change that is to be written at once. Returns its number.
    pub(super) fn add_urgent_change(&mut self, now: u64) -> u64 {
        self.urgent_change = self.add_change(now);
        self.urgent_change
    }

    /// Whether, and how soon, the record has to be written for its changes.
    pub(super) fn required_write(&self) -> WriteState {
        if self.change <= self.committed_change || self.writing.is_some() {
            WriteState::None
        } else if self.urgent_change > self.committed_change {
            WriteState::Urgent
        } else {
            WriteState::Deferred(self.changed_at)
        }
    }

    /// Whether the record may be written now, with the watch cache at `revision`.
    pub(super) fn may_write(&self, now: u64, revision: u64) -> bool {
        now >= self.write_after && revision >= self.write_after_revision
    }

    /// The last change is being written; `done` are the tasks done as of it.
    pub(super) fn begin_write(&mut self, done: &TaskSet) {
        self.writing = Some(WritingChange {
            change: self.change,
            done: done.clone(),
        });
    }

    /// The watch cache shows the record at a version of its key.
    pub(super) fn on_version(&mut self, version: u64) {
        self.key_version = self.key_version.max(version);
    }

    /// The watch cache shows the record as this leader has written it. Returns whether a change
    /// is newly recorded.
    pub(super) fn on_own_record(&mut self, change: u64, done: &TaskSet) -> bool {
        let is_newer = change > self.committed_change;
        if is_newer {
            self.committed_change = change;
            self.committed_done = done.clone();
        }
        self.take_writing(change);
        is_newer
    }

    /// The store has answered the write of a change.
    pub(super) fn on_write_result(&mut self, change: u64, result: &CommitResult, now: u64) {
        let written = self.take_writing(change);
        match result {
            CommitResult::Committed { revision } => {
                self.on_version(*revision);
                self.write_after = now;
                if change > self.committed_change {
                    self.committed_change = change;
                    self.changed_at = now;
                    if let Some(written) = written {
                        self.committed_done = written.done;
                    }
                }
            }
            CommitResult::Conflict { revision, .. } => self.write_after_revision = *revision,
            CommitResult::Rejected => self.write_after = now + REJECTED_PAUSE_MS,
            // The same change under the same condition is written again: if the first write
            // was executed, this one fails and the watch cache shows the record.
            CommitResult::Unknown => self.write_after = now + UNKNOWN_PAUSE_MS,
        }
    }

    /// The change that is being written, if it is this one; it then no longer is.
    fn take_writing(&mut self, change: u64) -> Option<WritingChange> {
        self.writing.take_if(|writing| writing.change == change)
    }
}
