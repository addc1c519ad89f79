//! The lease of the leader.

use gaugesill::epoch::Epoch;
use gaugesill::leader_lease::{
    leader_lease_ttl_ms, Election, LeaderLease, LeadershipTransition, LeaseRequest, LeaseResponse,
};
use gaugesill::leadership_keys::{LeaderKey, VersionFence};
use gaugesill::settings::OperatorSettings;
use gaugesill::watch_cache::{VersionedLeaderKey, WatchCache};

/// A watch cache that is loaded, with a leader key or none.
fn loaded_cache(leader_key: Option<VersionedLeaderKey>) -> WatchCache {
    let mut cache = WatchCache::default();
    cache.loaded = true;
    cache.leader_key = leader_key;
    cache
}

/// The leader key of member `c0` at epoch 1, with its version.
fn own_key() -> Option<VersionedLeaderKey> {
    let key = LeaderKey {
        member: "c0".into(),
        epoch: Epoch::new(1),
    };
    Some(VersionedLeaderKey { key, version: 3 })
}

#[test]
fn leadership_is_certain_only_while_its_grant_is_valid() {
    let mut lease = LeaderLease::new("c0", 3000, 20);
    let mut cache = loaded_cache(None);
    assert_eq!(lease.tick(100, &cache, 0.0), Some(LeaseRequest::Grant));
    lease.on_response(110, LeaseResponse::Granted(4));
    assert!(matches!(
        lease.tick(110, &cache, 0.0),
        Some(LeaseRequest::Elect(Election {
            epoch: Epoch::FIRST,
            leader_version: 0,
            ..
        }))
    ));
    let (epoch, version) = (Epoch::FIRST, 3);
    assert_eq!(
        lease.on_response(120, LeaseResponse::Elected { epoch, version }),
        Some(LeadershipTransition::Began)
    );
    assert!(
        lease.holds_valid_lease(2000) && !lease.holds_valid_lease(2900),
        "the time to live counts from the request for the grant"
    );
    cache.leader_key = own_key();
    assert_eq!(lease.on_cache_event(&cache), None);
    cache.leader_key = None;
    assert_eq!(
        lease.on_cache_event(&cache),
        Some(LeadershipTransition::Ended),
        "the leader key was deleted"
    );
}

#[test]
fn the_leader_key_of_an_earlier_process_is_replaced_at_once() {
    let mut lease = LeaderLease::new("c0", 3000, 20);
    let cache = loaded_cache(own_key());
    assert_eq!(lease.tick(1, &cache, 0.0), Some(LeaseRequest::Grant));
    lease.on_response(2, LeaseResponse::Granted(5));
    assert!(matches!(
        lease.tick(2, &cache, 0.0),
        Some(LeaseRequest::Elect(Election {
            leader_version: 3,
            ..
        }))
    ));
}

/// Guards against lost grants of leaders with a small share of a processor, which could not renew
/// them during bursts of one or two seconds of work. The time to live grows as the share shrinks.
#[test]
fn a_grant_outlasts_a_processor_stall() {
    let ttl_ms = |share: f64| {
        let text = format!(
            r#"{{"workers":{{"report_s":8,"lease_s":36,"gang_wait_s":35,"gang_peer_s":4,"cancel_s":66}},
            "state":{{"rps":9,"write_rps":9,"value_kb":16,"txn_ops":20}},"cloud":{{"rps":9,"list_lag_s":1}},
            "limits":{{"cpu_share":{share},"ram_mb":123,"fd_limit":1000}}}}"#
        );
        let cluster = serde_json::from_str(&text).expect("settings");
        leader_lease_ttl_ms(&cluster, &OperatorSettings::default())
    };
    assert_eq!(ttl_ms(0.16), 2988, "a twelfth of a lease");
    assert_eq!(ttl_ms(0.04), 5000, "0.2 core-seconds at that share");
    assert_eq!(ttl_ms(0.001), 9000, "a quarter of a lease at most");
}

/// Raising the fence takes a transaction of three writes; later elections need two. Where a
/// transaction cannot hold three, the lease keeps using the key that all versions know.
#[test]
fn the_fence_is_raised_only_if_a_transaction_can_hold_its_writes() {
    let fence_of = |writes_max: usize, format: u64, superseded: bool| {
        let mut lease = LeaderLease::new("c0", 3000, writes_max);
        let mut watch_cache = WatchCache::default();
        watch_cache.loaded = true;
        watch_cache.format = format;
        watch_cache.leader_key = superseded.then(|| VersionedLeaderKey {
            key: LeaderKey::superseded(),
            version: 3,
        });
        assert_eq!(lease.tick(1, &watch_cache, 0.0), Some(LeaseRequest::Grant));
        lease.on_response(2, LeaseResponse::Granted(5));
        match lease.tick(2, &watch_cache, 0.0) {
            Some(LeaseRequest::Elect(election)) => election.fence,
            other => panic!("{other:?}"),
        }
    };
    assert_eq!(fence_of(20, 0, false), VersionFence::None);
    assert_eq!(fence_of(3, 1, false), VersionFence::Raise);
    assert_eq!(fence_of(2, 1, false), VersionFence::None);
    assert_eq!(fence_of(2, 1, true), VersionFence::Raised);
    assert_eq!(fence_of(20, 0, true), VersionFence::Raised);
}
