//! Tracks which of a job's changes are committed to the store, and when its record may be
//! written.
//!
//! Changes are numbered from 1 in each term. A record carries the number of the last change
//! that it contains, so that the watch cache and the store's responses show what is committed.

use crate::job::TaskSet;
use crate::write_queue::CommitResult;

/// Backoff before a rejected change is written again.
const REJECTED_WRITE_BACKOFF_MS: u64 = 150;
/// Backoff before a change is written again whose write has an unknown outcome.
const UNKNOWN_OUTCOME_BACKOFF_MS: u64 = 50;

/// Whether, and how urgently, a job's record is to be written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WriteState {
    /// All changes are committed, or a write is in flight.
    None,
    /// A change is to be written immediately, because a further step waits until it is committed.
    Urgent,
    /// A change may be written later, together with others; since when it is pending.
    Deferred(u64),
}

/// A write in flight.
#[derive(Debug)]
struct InFlightWrite {
    /// The last change that the write contains.
    change: u64,
    /// The tasks that were done as of this change.
    done: TaskSet,
}

/// How far a job's changes are committed to its record in the store.
#[derive(Debug)]
pub(super) struct RecordState {
    /// The latest known version of the record's key in the store.
    key_version: u64,
    /// Number of changes in this term.
    change: u64,
    /// Changes up to this one are to be written immediately; later ones may be deferred and written
    /// together.
    urgent_change: u64,
    /// The last change that is committed; 0 if none of this term is.
    committed_change: u64,
    /// Since when uncommitted changes are pending; the commit of earlier changes restarts it.
    pending_since: u64,
    /// The tasks that were done as of the last committed change.
    committed_done: TaskSet,
    in_flight: Option<InFlightWrite>,
    /// The record is not written before this time.
    write_not_before: u64,
    /// The record is not written before the watch cache has reached this revision.
    write_min_revision: u64,
}

impl RecordState {
    /// The state of a record that was read at `key_version`.
    pub(super) fn new(key_version: u64, done: &TaskSet, now: u64) -> RecordState {
        RecordState {
            key_version,
            change: 0,
            urgent_change: 0,
            committed_change: 0,
            pending_since: now,
            committed_done: done.clone(),
            in_flight: None,
            write_not_before: 0,
            write_min_revision: 0,
        }
    }

    pub(super) fn key_version(&self) -> u64 {
        self.key_version
    }

    /// The number of the last change.
    pub(super) fn change(&self) -> u64 {
        self.change
    }

    /// Whether a change of this term is committed; 0 stands for any change of an earlier term.
    pub(super) fn is_committed(&self, change: u64) -> bool {
        change <= self.committed_change
    }

    /// The tasks that the committed record shows as done.
    pub(super) fn committed_done(&self) -> &TaskSet {
        &self.committed_done
    }

    /// Adds a change, whose write may be deferred. Returns its number.
    pub(super) fn add_change(&mut self, now: u64) -> u64 {
        if self.change <= self.committed_change {
            self.pending_since = now;
        }
        self.change += 1;
        self.change
    }

    /// Adds a change that is to be written immediately. Returns its number.
    pub(super) fn add_urgent_change(&mut self, now: u64) -> u64 {
        self.urgent_change = self.add_change(now);
        self.urgent_change
    }

    /// Whether, and how urgently, the record has to be written for its changes.
    pub(super) fn required_write(&self) -> WriteState {
        if self.change <= self.committed_change || self.in_flight.is_some() {
            WriteState::None
        } else if self.urgent_change > self.committed_change {
            WriteState::Urgent
        } else {
            WriteState::Deferred(self.pending_since)
        }
    }

    /// Whether the record may be written now, with the watch cache at `revision`.
    pub(super) fn may_write(&self, now: u64, revision: u64) -> bool {
        now >= self.write_not_before && revision >= self.write_min_revision
    }

    /// Marks the last change as in flight; `done` are the tasks done as of it.
    pub(super) fn begin_write(&mut self, done: &TaskSet) {
        self.in_flight = Some(InFlightWrite {
            change: self.change,
            done: done.clone(),
        });
    }

    /// Handles a version of the record's key that the watch cache or the store shows.
    pub(super) fn on_version(&mut self, version: u64) {
        self.key_version = self.key_version.max(version);
    }

    /// Handles a record in the watch cache that this leader has written. Returns whether it
    /// shows that further changes are committed.
    pub(super) fn on_own_record(&mut self, change: u64, done: &TaskSet) -> bool {
        let is_newer = change > self.committed_change;
        if is_newer {
            self.committed_change = change;
            self.committed_done = done.clone();
        }
        self.take_in_flight(change);
        is_newer
    }

    /// Handles the store's response to the write of a change.
    pub(super) fn on_write_result(&mut self, change: u64, result: &CommitResult, now: u64) {
        let written = self.take_in_flight(change);
        match result {
            CommitResult::Committed { revision } => {
                self.on_version(*revision);
                self.write_not_before = now;
                if change > self.committed_change {
                    self.committed_change = change;
                    self.pending_since = now;
                    if let Some(written) = written {
                        self.committed_done = written.done;
                    }
                }
            }
            CommitResult::Conflict { revision, .. } => self.write_min_revision = *revision,
            CommitResult::Rejected => self.write_not_before = now + REJECTED_WRITE_BACKOFF_MS,
            // The same change is written again under the same condition: if the first write was
            // executed, the second one conflicts and the watch cache shows the record.
            CommitResult::Unknown => self.write_not_before = now + UNKNOWN_OUTCOME_BACKOFF_MS,
        }
    }

    /// Removes and returns the write in flight if it is that of `change`.
    fn take_in_flight(&mut self, change: u64) -> Option<InFlightWrite> {
        self.in_flight.take_if(|write| write.change == change)
    }
}
