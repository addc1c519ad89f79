//! The watch cache of the store.

use crate::support::*;
use gaugesill::epoch::Epoch;
use gaugesill::job::{FinalState, JobRecord, Priority, Shape};
use gaugesill::leadership_keys::{LeaderKey, LEADER_KEY};
use gaugesill::watch_cache::{CacheEvent, VersionedLeaderKey, WatchCache};
use gaugesill::wire::KeyChange;

/// A controller learns of its own election before the watch reports the deletion of the old
/// leader key. The late change must not end the new leadership.
#[test]
fn late_changes_of_the_old_leader_key_are_ignored() {
    let mut cache = WatchCache::default();
    cache.loaded = true;
    cache.revision = 5;
    let own = LeaderKey {
        member: "c1".into(),
        epoch: Epoch::new(2),
    };
    cache.leader_key = Some(VersionedLeaderKey {
        key: own,
        version: 9,
    });
    let deletion = KeyChange {
        set: None,
        value: None,
        delete: Some(LEADER_KEY.into()),
        version: 7,
    };
    assert!(cache
        .apply_changes(8, 5, std::slice::from_ref(&deletion))
        .is_empty());
    assert!(cache.leader().is_some());
    let later = KeyChange {
        version: 12,
        ..deletion
    };
    assert_eq!(
        cache.apply_changes(12, 8, &[later]),
        [CacheEvent::LeaderChanged]
    );
    assert!(cache.leader().is_none());
}

/// The watch may report a job's record after the controller's own commit has made the job final.
/// The late record must not add the job again. Seen with a cancellation at the exit of the last
/// task.
#[test]
fn late_changes_of_a_finished_job_are_ignored() {
    let mut cache = WatchCache::default();
    cache.loaded = true;
    cache.record_final_state("run-1", FinalState::Done);
    let record = JobRecord::new(spec(Shape::Array, 1, 1.0, Priority::Low), 1);
    let late = KeyChange {
        set: Some("g/j/run-1".into()),
        value: Some(record.to_value(0)),
        delete: None,
        version: 3,
    };
    assert!(cache.apply_changes(3, 0, &[late]).is_empty());
    assert!(cache.jobs.is_empty());
}
