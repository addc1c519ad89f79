//! The leader lease.

use gaugesill::leader_lease::{lease_life_ms, LeaderLease, LeaseRequest, LeaseResponse};
use gaugesill::replica::{LeaderKey, Replica};
use gaugesill::settings::OperatorSettings;

#[test]
fn leadership_is_certain_only_as_long_as_its_grant() {
    let mut l = LeaderLease::new("c0", 3000);
    let mut p = Replica::default();
    p.loaded = true;
    assert_eq!(l.tick(100, &p, 0.0), Some(LeaseRequest::Grant));
    l.on_response(110, LeaseResponse::Granted(4));
    assert!(matches!(
        l.tick(110, &p, 0.0),
        Some(LeaseRequest::Elect {
            epoch: 1,
            leader_version: 0,
            ..
        })
    ));
    assert!(l.on_response(
        120,
        LeaseResponse::Elected {
            epoch: 1,
            version: 3
        }
    ));
    assert!(
        l.is_certain(2000) && !l.is_certain(2900),
        "counted from when it was asked"
    );
    p.leader_key = Some((
        LeaderKey {
            member: "c0".into(),
            epoch: 1,
        },
        3,
    ));
    assert!(!l.on_replica_change(&p));
    p.leader_key = None;
    assert!(l.on_replica_change(&p), "the key is gone");
    // A key of the same member's earlier life is taken over at once.
    let mut l = LeaderLease::new("c0", 3000);
    p.leader_key = Some((
        LeaderKey {
            member: "c0".into(),
            epoch: 1,
        },
        3,
    ));
    assert_eq!(l.tick(1, &p, 0.0), Some(LeaseRequest::Grant));
    l.on_response(2, LeaseResponse::Granted(5));
    assert!(matches!(
        l.tick(2, &p, 0.0),
        Some(LeaseRequest::Elect {
            leader_version: 3,
            ..
        })
    ));
}

/// Found on lean lenteks, rough: leaders lost their grants to a second or two of
/// work that came at once. A grant outlasts that, however small the share.
#[test]
fn a_grant_outlasts_a_processor_stall() {
    let life = |share: f64| {
        let text = format!(
            r#"{{"workers":{{"report_s":8,"lease_s":36,"gang_wait_s":35,"gang_peer_s":4,"cancel_s":66}},
            "state":{{"rps":9,"write_rps":9,"value_kb":16,"txn_ops":20}},"cloud":{{"rps":9,"list_lag_s":1}},
            "limits":{{"cpu_share":{share},"ram_mb":123,"fd_limit":1000}}}}"#
        );
        let cluster = serde_json::from_str(&text).expect("settings");
        lease_life_ms(&cluster, &OperatorSettings::default())
    };
    assert_eq!(life(0.16), 2988, "a twelfth of a lease");
    assert_eq!(life(0.04), 5000, "0.2 core-seconds at that share");
    assert_eq!(life(0.001), 9000, "a quarter of a lease at most");
}
