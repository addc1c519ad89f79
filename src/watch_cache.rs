//! The local watch cache of the store: live jobs, who leads, the epoch counter and
//! the format version, fed by a watch, and a bounded memory of how jobs ended.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;

use ciborium::Value;
use tracing::error;

use crate::dependencies::{DependencyEvent, DependencyGraph, DependencyState};
use crate::duties::{DutyRecords, DUTIES_PREFIX};
use crate::job::{FinalState, JobRecord};
use crate::leadership_keys::{
    read_number, Fence, LeaderKey, EPOCH_KEY, FORMAT_KEY, LEADER_KEY, LEASE_KEY, SUPERSEDED,
};
use crate::wire::{KeyChange, Page};

/// All keys of this service.
pub const ROOT_PREFIX: &str = "g/";
/// Records of live jobs.
pub const JOBS_PREFIX: &str = "g/j/";
/// How jobs ended. Not read at start, so that a start costs what is alive.
const FINALS_PREFIX: &str = "g/f/";
/// Controllers that have run this version, or a later one.
const MEMBERS_PREFIX: &str = "g/l/m/";
/// How many ended jobs are remembered; others are read again when asked for.
const FINALS_MAX: usize = 50_000;

/// The key of a live job's record.
pub fn job_key(id: &str) -> String {
    format!("{JOBS_PREFIX}{id}")
}

/// The key by which a controller says that it runs this version.
pub fn member_key(member: &str) -> String {
    format!("{MEMBERS_PREFIX}{member}")
}

/// The key that says how a job ended.
pub fn final_key(id: &str) -> String {
    format!("{FINALS_PREFIX}{id}")
}

/// A live job as committed.
#[derive(Debug, Clone)]
pub struct LiveJob {
    /// Its record.
    pub record: Arc<JobRecord>,
    /// The version of the record's key.
    pub version: u64,
}

/// What a change of the watch cache means to the rest of the program.
#[derive(Debug, Clone, PartialEq)]
pub enum CacheEvent {
    /// A job's record is new or has changed.
    JobUpdated(String),
    /// A job is not live any more.
    JobRemoved(String),
    /// A key that says who leads has changed.
    LeaderChanged,
}

/// The local watch cache of the store.
#[derive(Debug, Default)]
pub struct WatchCache {
    /// All of it has been read since the last restart.
    pub loaded: bool,
    /// It holds all changes up to this revision.
    pub revision: u64,
    /// Jobs that are not over.
    pub jobs: BTreeMap<String, LiveJob>,
    /// The value of [`LEADER_KEY`] and its version.
    pub leader_key: Option<(LeaderKey, u64)>,
    /// The value of [`LEASE_KEY`] and its version.
    pub lease_key: Option<(LeaderKey, u64)>,
    /// The last epoch that was used.
    pub epoch: u64,
    /// The version of [`EPOCH_KEY`].
    pub epoch_version: u64,
    /// The format that all controllers know.
    pub format: u64,
    /// The version of [`FORMAT_KEY`].
    pub format_version: u64,
    /// Controllers that have made themselves known as running this version.
    pub members: BTreeSet<String>,
    /// What is on record of duties.
    pub duties: DutyRecords,
    /// Which of the live jobs wait for which.
    pub dependencies: DependencyGraph,
    dependency_events: Vec<DependencyEvent>,
    finals: HashMap<String, FinalState>,
    /// The keys of `finals`, the oldest first.
    finals_order: VecDeque<String>,
}

impl WatchCache {
    /// Forgets everything but the ended jobs, before it is read anew.
    pub fn restart(&mut self) {
        self.loaded = false;
        self.revision = 0;
        self.jobs.clear();
        self.leader_key = None;
        self.lease_key = None;
        self.epoch = 0;
        self.epoch_version = 0;
        self.duties.restart();
        self.dependencies = DependencyGraph::default();
        self.dependency_events.clear();
    }

    /// Who leads, and the version of the key that says so.
    pub fn leader(&self) -> Option<&(LeaderKey, u64)> {
        let unfenced = self.leader_key.as_ref();
        self.lease_key
            .as_ref()
            .or(unfenced.filter(|key| key.0.member != SUPERSEDED))
    }

    /// Whether leaders are elected by [`LEASE_KEY`], out of reach of the version in
    /// production.
    pub fn is_superseded(&self) -> bool {
        let leader = self.leader_key.as_ref();
        leader.is_some_and(|key| key.0.member == SUPERSEDED)
    }

    /// An election of ours was carried out.
    pub fn apply_own_election(&mut self, key: LeaderKey, version: u64, fence: Fence) {
        self.epoch = key.epoch;
        self.epoch_version = version;
        match fence {
            Fence::None => self.leader_key = Some((key, version)),
            Fence::Raise => {
                self.leader_key = Some((LeaderKey::superseded(), version));
                self.lease_key = Some((key, version));
            }
            Fence::Raised => self.lease_key = Some((key, version)),
        }
    }

    /// What changes since the last call mean for jobs with dependencies.
    pub fn take_dependency_events(&mut self) -> Vec<DependencyEvent> {
        std::mem::take(&mut self.dependency_events)
    }

    /// What is known of a job.
    pub fn dependency_state(&self, id: &str) -> DependencyState {
        dependency_state(&self.jobs, &self.finals, id)
    }

    /// Whether users are told that a live job is cancelled: by its own record, or because
    /// one that it depends on is.
    pub fn is_cancelled(&self, id: &str) -> bool {
        let own = |job: &LiveJob| job.record.cancelled;
        self.dependencies.is_cancelled(id) || self.jobs.get(id).is_some_and(own)
    }

    /// How a job ended, if that is remembered.
    pub fn final_state(&self, id: &str) -> Option<FinalState> {
        self.finals.get(id).copied()
    }

    /// Takes in a page of keys.
    pub fn apply_page(&mut self, page: &Page) {
        for pair in &page.pairs {
            self.apply_set(&pair.key, &pair.value, pair.version, &mut vec![]);
        }
    }

    /// Takes in what a watch told, complete from `from` up to `revision`.
    pub fn apply_changes(
        &mut self,
        revision: u64,
        from: u64,
        changes: &[KeyChange],
    ) -> Vec<CacheEvent> {
        let mut effects = Vec::new();
        if from > self.revision {
            // There would be a gap; can't happen as reads start from `revision`.
            return effects;
        }
        for change in changes {
            if change.version <= self.revision {
                continue;
            }
            if let (Some(key), Some(value)) = (&change.set, &change.value) {
                self.apply_set(key, value, change.version, &mut effects);
            } else if let Some(key) = &change.delete {
                self.apply_delete(key, change.version, &mut effects);
            }
        }
        self.revision = self.revision.max(revision);
        self.duties.discard_removals_up_to(self.revision);
        effects
    }

    fn apply_set(&mut self, key: &str, value: &Value, version: u64, effects: &mut Vec<CacheEvent>) {
        if let Some(id) = key.strip_prefix(JOBS_PREFIX) {
            self.apply_job(id, value, version, effects);
        } else if key.starts_with(DUTIES_PREFIX) {
            self.duties.apply_set(key, value, version);
        } else if let Some(id) = key.strip_prefix(FINALS_PREFIX) {
            if let Some(state) = FinalState::from_value(value) {
                self.jobs.remove(id);
                self.record_final(id, state);
                effects.push(CacheEvent::JobRemoved(id.to_string()));
            }
        } else if let Some(known) = self.leadership_key(key) {
            if let Ok(leader) = value.deserialized::<LeaderKey>() {
                if known.as_ref().is_none_or(|old| old.1 < version) {
                    *known = Some((leader, version));
                    effects.push(CacheEvent::LeaderChanged);
                }
            }
        } else if let Some(member) = key.strip_prefix(MEMBERS_PREFIX) {
            self.members.insert(member.to_string());
        } else if key == FORMAT_KEY && version > self.format_version {
            // What can't be read is of a version to come.
            let format = read_number(value).unwrap_or(u64::MAX);
            self.format = format.max(self.format);
            self.format_version = version;
        } else if key == EPOCH_KEY && version > self.epoch_version {
            let epoch = read_number(value).unwrap_or(0);
            self.epoch = epoch.max(self.epoch);
            self.epoch_version = version;
        }
    }

    fn apply_job(&mut self, id: &str, value: &Value, version: u64, effects: &mut Vec<CacheEvent>) {
        // The answer to an own change may be ahead of the watch: what is over does not
        // come back to life.
        if self.finals.contains_key(id) {
            return;
        }
        if self.jobs.get(id).is_some_and(|job| job.version >= version) {
            return;
        }
        let record = match JobRecord::from_value(value) {
            Ok(record) => record,
            Err(error) => return error!(job = id, %error, "unreadable job record"),
        };
        let was_cancelled = self.jobs.get(id).map(|job| job.record.cancelled);
        let events = &mut self.dependency_events;
        if was_cancelled.is_none() {
            let state = |id: &str| dependency_state(&self.jobs, &self.finals, id);
            let dependencies = &record.spec.dependencies;
            self.dependencies.add(id, dependencies, state, events);
        }
        if record.cancelled && was_cancelled != Some(true) {
            self.dependencies.on_cancelled(id, events);
        }
        let job = LiveJob {
            record: Arc::new(record),
            version,
        };
        self.jobs.insert(id.to_string(), job);
        effects.push(CacheEvent::JobUpdated(id.to_string()));
    }

    fn apply_delete(&mut self, key: &str, version: u64, effects: &mut Vec<CacheEvent>) {
        if let Some(id) = key.strip_prefix(JOBS_PREFIX) {
            self.jobs.remove(id);
            effects.push(CacheEvent::JobRemoved(id.to_string()));
        } else if key.starts_with(DUTIES_PREFIX) {
            self.duties.apply_delete(key, version);
        } else if let Some(known) = self.leadership_key(key) {
            // An own election may be ahead of the watch, which tells of the
            // old key's end only now.
            if known.as_ref().is_some_and(|old| old.1 < version) {
                *known = None;
                effects.push(CacheEvent::LeaderChanged);
            }
        }
    }

    fn leadership_key(&mut self, key: &str) -> Option<&mut Option<(LeaderKey, u64)>> {
        match key {
            LEADER_KEY => Some(&mut self.leader_key),
            LEASE_KEY => Some(&mut self.lease_key),
            _ => None,
        }
    }

    /// It is on record how a job ended.
    pub fn record_final(&mut self, id: &str, state: FinalState) {
        let events = &mut self.dependency_events;
        match state {
            FinalState::Done => self.dependencies.on_done(id, events),
            FinalState::Cancelled => self.dependencies.on_cancelled(id, events),
        }
        self.dependencies.remove(id);
        if self.finals.insert(id.to_string(), state).is_some() {
            return;
        }
        self.finals_order.push_back(id.to_string());
        if self.finals_order.len() > FINALS_MAX {
            if let Some(oldest) = self.finals_order.pop_front() {
                self.finals.remove(&oldest);
            }
        }
    }
}

fn dependency_state(
    jobs: &BTreeMap<String, LiveJob>,
    finals: &HashMap<String, FinalState>,
    id: &str,
) -> DependencyState {
    match (finals.get(id), jobs.get(id)) {
        (Some(state), _) => DependencyState::Over(*state),
        (_, Some(job)) => DependencyState::Live {
            cancelled: job.record.cancelled,
        },
        _ => DependencyState::Unknown,
    }
}
