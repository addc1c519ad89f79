//! The local watch cache of the store.
//!
//! The cache owns the state of all keys that the rest of the program reads: live jobs, the
//! leadership keys, the epoch counter, the format version, the announced members and the records
//! of duties. It is filled from pages of keys at start and updated by a watch from then on. This
//! controller's own commits may be applied before the watch reports them.
//!
//! Invariants:
//!
//! - A value that is cached with its key's version is replaced only by a later version, so that
//!   a change which the watch reports late doesn't undo an own commit.
//! - A job whose final state is cached never becomes live again.
//! - The epoch and the format only increase.
//! - The dependency graph holds each live job that has unfinished dependencies.

mod final_states;
mod keys;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use ciborium::Value;
use tracing::error;

use crate::dependencies::{DependencyEvent, DependencyGraph, DependencyState};
use crate::duties::DutyRecords;
use crate::epoch::Epoch;
use crate::job::{FinalState, JobRecord};
use crate::leadership_keys::{decode_u64, LeaderKey, VersionFence, SUPERSEDED_LEADER};
use crate::wire::{KeyChange, Page};
use final_states::FinalStates;
use keys::{KeyKind, LeaderKeyName};

pub use keys::{final_state_key, job_key, member_key, JOBS_PREFIX, ROOT_PREFIX};

/// The committed state of a live job.
#[derive(Debug, Clone)]
pub struct LiveJob {
    /// The job's record.
    pub record: Arc<JobRecord>,
    /// The version of the record's key.
    pub version: u64,
}

/// A change of the watch cache that the rest of the program has to handle.
#[derive(Debug, Clone, PartialEq)]
pub enum CacheEvent {
    /// A job's record is new or has changed.
    JobUpdated(String),
    /// A job is no longer live.
    JobRemoved(String),
    /// A key that names the leader has changed.
    LeaderChanged,
}

/// The value of a key that names the leader, and the version of that key.
#[derive(Debug, Clone, PartialEq)]
pub struct VersionedLeaderKey {
    /// Names the leader and its epoch, or [`SUPERSEDED_LEADER`] in place of a leader.
    pub key: LeaderKey,
    /// The version of the key in the store.
    pub version: u64,
}

impl VersionedLeaderKey {
    /// Returns whether the key only keeps versions before format 1 from leading.
    fn is_superseded(&self) -> bool {
        self.key.member == SUPERSEDED_LEADER
    }
}

/// The local watch cache of the store, see the module's documentation.
#[derive(Debug, Default)]
pub struct WatchCache {
    /// Whether all keys have been read since the start, or since the last
    /// [`WatchCache::clear_for_reload`].
    pub loaded: bool,
    /// The revision up to which all changes have been applied.
    pub revision: u64,
    /// Live jobs, by id.
    pub jobs: BTreeMap<String, LiveJob>,
    /// The value of [`crate::leadership_keys::LEADER_KEY`].
    pub leader_key: Option<VersionedLeaderKey>,
    /// The value of [`crate::leadership_keys::LEASE_KEY`].
    pub lease_key: Option<VersionedLeaderKey>,
    /// The last epoch that is reserved for a term.
    pub epoch: Epoch,
    /// The version of [`crate::leadership_keys::EPOCH_KEY`]; 0 if it does not exist.
    pub epoch_version: u64,
    /// The stored format version, which all controllers support.
    pub format: u64,
    /// The version of [`crate::leadership_keys::FORMAT_KEY`]; 0 if it does not exist.
    pub format_version: u64,
    /// The version of [`crate::leadership_keys::REQUESTS_KEY`]; 0 if it does not exist.
    pub requests_version: u64,
    /// The controllers that have announced that they run this version, or a later one.
    pub members: BTreeSet<String>,
    /// The records of duties.
    pub duties: DutyRecords,
    /// The dependency graph of live jobs.
    pub dependencies: DependencyGraph,
    dependency_events: Vec<DependencyEvent>,
    final_states: FinalStates,
}

impl WatchCache {
    /// Clears the cache before all keys are read again. Values that never become invalid are
    /// kept: final states, the format, and the announced members.
    pub fn clear_for_reload(&mut self) {
        self.loaded = false;
        self.revision = 0;
        self.jobs.clear();
        self.leader_key = None;
        self.lease_key = None;
        self.epoch = Epoch::NONE;
        self.epoch_version = 0;
        self.requests_version = 0;
        self.duties.clear_for_reload();
        self.dependencies = DependencyGraph::default();
        self.dependency_events.clear();
    }

    /// Returns the key that names the present leader, with its version.
    pub fn leader(&self) -> Option<&VersionedLeaderKey> {
        let leader_key = self.leader_key.as_ref();
        self.lease_key
            .as_ref()
            .or(leader_key.filter(|leader| !leader.is_superseded()))
    }

    /// Returns whether leaders are elected by [`crate::leadership_keys::LEASE_KEY`], which versions
    /// before format 1 do not know.
    pub fn is_superseded(&self) -> bool {
        let leader_key = self.leader_key.as_ref();
        leader_key.is_some_and(VersionedLeaderKey::is_superseded)
    }

    /// Applies an election that this controller has won, without waiting for the watch to report
    /// it. `version` is the revision of the election's transaction.
    pub fn apply_own_election(&mut self, key: LeaderKey, version: u64, fence: VersionFence) {
        self.epoch = key.epoch.last_of_term();
        self.epoch_version = version;
        let elected = VersionedLeaderKey { key, version };
        match fence {
            VersionFence::None => self.leader_key = Some(elected),
            VersionFence::Raise => {
                let key = LeaderKey::superseded();
                self.leader_key = Some(VersionedLeaderKey { key, version });
                self.lease_key = Some(elected);
            }
            VersionFence::Raised => self.lease_key = Some(elected),
        }
    }

    /// Removes and returns the events of jobs with dependencies since the last call.
    pub fn take_dependency_events(&mut self) -> Vec<DependencyEvent> {
        std::mem::take(&mut self.dependency_events)
    }

    /// Returns the state of a job as a possible dependency of another one.
    pub fn dependency_state(&self, id: &str) -> DependencyState {
        dependency_state(&self.jobs, &self.final_states, id)
    }

    /// Returns whether a live job counts as cancelled for users: by its own record, or because a
    /// job that it depends on is cancelled.
    pub fn is_cancelled(&self, id: &str) -> bool {
        let is_record_cancelled = |job: &LiveJob| job.record.cancelled;
        self.dependencies.is_cancelled(id) || self.jobs.get(id).is_some_and(is_record_cancelled)
    }

    /// Returns the final state of a job, if it is cached.
    pub fn final_state(&self, id: &str) -> Option<FinalState> {
        self.final_states.get(id)
    }

    /// Applies a page of keys that was read to fill the cache.
    pub fn apply_page(&mut self, page: &Page) {
        for pair in &page.pairs {
            self.apply_set(&pair.key, &pair.value, pair.version);
        }
    }

    /// Applies the changes that a watch reported. They are complete after revision `from`, up to
    /// and including `revision`.
    pub fn apply_changes(
        &mut self,
        revision: u64,
        from: u64,
        changes: &[KeyChange],
    ) -> Vec<CacheEvent> {
        if from > self.revision {
            // Changes in between would be missing. Not expected, as watches start at `revision`.
            return vec![];
        }
        let mut events = Vec::new();
        for change in changes {
            if change.version > self.revision {
                events.extend(self.apply_change(change));
            }
        }
        self.revision = self.revision.max(revision);
        self.duties.discard_removals_up_to(self.revision);
        events
    }

    fn apply_change(&mut self, change: &KeyChange) -> Option<CacheEvent> {
        if let (Some(key), Some(value)) = (&change.set, &change.value) {
            return self.apply_set(key, value, change.version);
        }
        let key = change.delete.as_ref()?;
        self.apply_delete(key, change.version)
    }

    fn apply_set(&mut self, key: &str, value: &Value, version: u64) -> Option<CacheEvent> {
        match KeyKind::of(key) {
            KeyKind::Job { id } => return self.apply_job(id, value, version),
            KeyKind::FinalState { id } => return self.apply_final_state(id, value),
            KeyKind::LeaderKey(key) => return self.apply_leader_key(key, value, version),
            KeyKind::Duties => self.duties.apply_set(key, value, version),
            KeyKind::Member { member } => {
                self.members.insert(member.to_string());
            }
            KeyKind::Format => self.apply_format(value, version),
            KeyKind::Epoch => self.apply_epoch(value, version),
            KeyKind::Requests => self.apply_requests_change(version),
            KeyKind::Other => {}
        }
        None
    }

    fn apply_job(&mut self, id: &str, value: &Value, version: u64) -> Option<CacheEvent> {
        if !self.is_newer_record(id, version) {
            return None;
        }
        let record = match JobRecord::from_value(value) {
            Ok(record) => record,
            Err(error) => {
                error!(job = id, %error, "cannot decode a job record; ignoring it");
                return None;
            }
        };
        self.update_dependencies(id, &record);
        let job = LiveJob {
            record: Arc::new(record),
            version,
        };
        self.jobs.insert(id.to_string(), job);
        Some(CacheEvent::JobUpdated(id.to_string()))
    }

    /// Returns whether a record is newer than what is cached. As own commits may be applied ahead
    /// of the watch, a job that is over does not become live again, and a record is not replaced
    /// by an older one.
    fn is_newer_record(&self, id: &str, version: u64) -> bool {
        let known = self.jobs.get(id);
        !self.final_states.contains(id) && known.is_none_or(|job| job.version < version)
    }

    /// Updates the dependency graph before a job's record is inserted or replaced.
    fn update_dependencies(&mut self, id: &str, record: &JobRecord) {
        let was_cancelled = self.jobs.get(id).map(|job| job.record.cancelled);
        let events = &mut self.dependency_events;
        if was_cancelled.is_none() {
            let state = |id: &str| dependency_state(&self.jobs, &self.final_states, id);
            let dependencies = &record.spec.dependencies;
            self.dependencies.add(id, dependencies, state, events);
        }
        if record.cancelled && was_cancelled != Some(true) {
            self.dependencies.on_cancelled(id, events);
        }
    }

    fn apply_final_state(&mut self, id: &str, value: &Value) -> Option<CacheEvent> {
        let state = FinalState::from_value(value)?;
        self.jobs.remove(id);
        self.record_final_state(id, state);
        Some(CacheEvent::JobRemoved(id.to_string()))
    }

    fn apply_leader_key(
        &mut self,
        key: LeaderKeyName,
        value: &Value,
        version: u64,
    ) -> Option<CacheEvent> {
        let cached = self.leader_key_older_than(key, version)?;
        let key = value.deserialized::<LeaderKey>().ok()?;
        *cached = Some(VersionedLeaderKey { key, version });
        Some(CacheEvent::LeaderChanged)
    }

    fn apply_format(&mut self, value: &Value, version: u64) {
        if version > self.format_version {
            // A value that can't be decoded was written by a later version.
            let format = decode_u64(value).unwrap_or(u64::MAX);
            self.format = format.max(self.format);
            self.format_version = version;
        }
    }

    fn apply_epoch(&mut self, value: &Value, version: u64) {
        if version > self.epoch_version {
            let epoch = decode_u64(value).map_or(Epoch::NONE, Epoch::new);
            self.epoch = epoch.max(self.epoch);
            self.epoch_version = version;
        }
    }

    /// Applies a change of [`crate::leadership_keys::REQUESTS_KEY`], which this controller may have
    /// made itself.
    pub fn apply_requests_change(&mut self, version: u64) {
        self.requests_version = version.max(self.requests_version);
    }

    fn apply_delete(&mut self, key: &str, version: u64) -> Option<CacheEvent> {
        match KeyKind::of(key) {
            KeyKind::Job { id } => {
                self.jobs.remove(id);
                Some(CacheEvent::JobRemoved(id.to_string()))
            }
            KeyKind::Duties => {
                self.duties.apply_delete(key, version);
                None
            }
            KeyKind::LeaderKey(key) => self.delete_leader_key(key, version),
            KeyKind::FinalState { .. }
            | KeyKind::Member { .. }
            | KeyKind::Format
            | KeyKind::Epoch
            | KeyKind::Requests
            | KeyKind::Other => None,
        }
    }

    fn delete_leader_key(&mut self, key: LeaderKeyName, version: u64) -> Option<CacheEvent> {
        let cached = self.leader_key_older_than(key, version)?;
        cached.take().map(|_| CacheEvent::LeaderChanged)
    }

    /// Returns the cached value of a leader key, unless it has this version or a later one: an own
    /// election may be applied before the watch reports the deletion of the preceding leader's key.
    fn leader_key_older_than(
        &mut self,
        key: LeaderKeyName,
        version: u64,
    ) -> Option<&mut Option<VersionedLeaderKey>> {
        let cached = match key {
            LeaderKeyName::Leader => &mut self.leader_key,
            LeaderKeyName::Lease => &mut self.lease_key,
        };
        let is_older = cached.as_ref().is_none_or(|known| known.version < version);
        is_older.then_some(cached)
    }

    /// Caches the final state of a job once it is committed, and updates the dependency graph.
    pub fn record_final_state(&mut self, id: &str, state: FinalState) {
        let events = &mut self.dependency_events;
        match state {
            FinalState::Done => self.dependencies.on_done(id, events),
            FinalState::Cancelled => self.dependencies.on_cancelled(id, events),
        }
        self.dependencies.remove(id);
        self.final_states.insert(id, state);
    }
}

fn dependency_state(
    jobs: &BTreeMap<String, LiveJob>,
    final_states: &FinalStates,
    id: &str,
) -> DependencyState {
    match (final_states.get(id), jobs.get(id)) {
        (Some(state), _) => DependencyState::Ended(state),
        (None, Some(job)) => DependencyState::Live {
            cancelled: job.record.cancelled,
        },
        (None, None) => DependencyState::Unknown,
    }
}
