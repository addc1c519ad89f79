//! Records and messages of the version in production are read, and written byte for byte.

use ciborium::Value;
use gaugesill::epoch::Epoch;
use gaugesill::job::{FinalState, JobRecord};
use gaugesill::leadership_keys::LeaderKey;
use gaugesill::peer_protocol::{ForwardedReply, ForwardedRequest, PeerStatus};
use gaugesill::watch_cache::WatchCache;
use gaugesill::wire::{self, KeyChange};
use prost::Message;

use crate::common::PreviousRecord;
use crate::support::{fixture, Fixture};

/// Records that the version in production stored can be read, and those that are written before
/// the format is raised have the same bytes.
#[test]
fn records_of_production_are_read_and_written() {
    for name in ["fresh", "array", "gang", "cancelled"] {
        let Fixture { readable, bytes } = fixture(&format!("record {name}"));
        let value: Value = wire::decode(&bytes).expect("fixture is not CBOR");
        let record = JobRecord::from_value(&value).expect("fixture is not a job record");
        assert_eq!(
            serde_json::to_string(&record).expect("record cannot be serialized as JSON"),
            readable
        );
        assert_eq!(wire::encode(&record.to_value(0)), bytes, "{name}");
        assert!(record.spec.dependencies.is_empty());
        // The packed form is equivalent, and the version in production fails to read it rather
        // than read an empty record.
        let packed = record.to_value(1);
        assert_eq!(JobRecord::from_value(&packed).ok().as_ref(), Some(&record));
        assert!(packed.deserialized::<PreviousRecord>().is_err());
    }
    for (name, state) in [
        ("done", FinalState::Done),
        ("withdrawn", FinalState::Cancelled),
    ] {
        let Fixture { bytes, .. } = fixture(&format!("final {name}"));
        assert_eq!(wire::encode(&state.to_value()), bytes);
        let value: Value = wire::decode(&bytes).expect("fixture is not CBOR");
        assert_eq!(FinalState::from_value(&value), Some(state));
    }
    let Fixture { bytes, .. } = fixture("leader");
    let key: LeaderKey = wire::decode(&bytes).expect("fixture is not a leader key");
    assert_eq!(
        (key.member.as_str(), key.epoch),
        ("worker-1", Epoch::new(7))
    );
    assert_eq!(wire::encode(&key), bytes);
}

/// Messages of the version in production are decoded and encoded unchanged. The readable form in
/// the fixtures has the field names of that version.
#[test]
fn messages_of_production_are_read_and_written() {
    let Fixture { readable, bytes } = fixture("status");
    let status = PeerStatus::decode(bytes.as_slice()).expect("fixture is not a peer status");
    let in_old_names = format!(
        "Status {{ member: {:?}, served: {}, leads: {}, turned_away: {}, age_ms: {}, withdrawn: {:?} }}",
        status.member,
        status.store_reachable,
        status.leading_epoch,
        status.redirected_agents,
        status.process_age_ms,
        status.acknowledged_cancellations
    );
    assert_eq!(in_old_names, readable);
    // The field that was added later has its default value, which is not encoded.
    assert_eq!(status.supported_format, 0);
    assert_eq!(status.encode_to_vec(), bytes);
    let Fixture { readable, bytes } = fixture("hand");
    let request =
        ForwardedRequest::decode(bytes.as_slice()).expect("fixture is not a forwarded request");
    let in_old_names = format!(
        "Hand {{ method: {:?}, path: {:?}, body: {:?} }}",
        request.method, request.path, request.body
    );
    assert_eq!(in_old_names, readable);
    assert_eq!(request.encode_to_vec(), bytes);
    let Fixture { readable, bytes } = fixture("handed");
    let reply = ForwardedReply::decode(bytes.as_slice()).expect("fixture is not a forwarded reply");
    let in_old_names = format!(
        "Handed {{ status: {}, retry_after: {:?}, body: {:?} }}",
        reply.status, reply.retry_after, reply.body
    );
    assert_eq!(in_old_names, readable);
    assert_eq!(reply.encode_to_vec(), bytes);
}

/// The keys of versions and formats are stored where the previous version ignores them: below
/// `g/` it reads only `g/j/`, `g/f/`, `g/l/leader` and `g/l/epoch`.
#[test]
fn version_keys_do_not_affect_jobs_and_leaders() {
    let mut cache = WatchCache::default();
    cache.revision = 1;
    let set = |key: &str, number: u64, version| KeyChange {
        set: Some(key.into()),
        value: Some(Value::Integer(number.into())),
        delete: None,
        version,
    };
    let events = cache.apply_changes(
        4,
        1,
        &[
            set("g/l/m/worker-1", 1, 2),
            set("g/l/format", 1, 3),
            set("g/l/epoch", 7, 4),
        ],
    );
    assert!(events.is_empty());
    assert_eq!((cache.format, cache.epoch), (1, Epoch::new(7)));
    assert!(
        cache.members.contains("worker-1") && cache.jobs.is_empty() && cache.leader().is_none()
    );
    // The format is never lowered.
    cache.apply_changes(5, 4, &[set("g/l/format", 0, 5)]);
    assert_eq!(cache.format, 1);
}
