//! The decoding of messages.

use ciborium::{cbor, Value};
use gaugesill::epoch::Epoch;
use gaugesill::wire;

/// An encoded valid submission whose fields `change` has modified.
fn body(change: impl FnOnce(&mut Vec<(Value, Value)>)) -> Vec<u8> {
    let submission = cbor!({
        "nameId" => "run-000412", "jobclass" => "train", "owner" => "vision",
        "shape" => "group", "urgency" => "high", "pieces" => 16, "cores" => 8, "gpus" => 1.0,
        "memGb" => 64.0, "bundle" => "img-07", "imageGb" => 6.2, "flavors" => ["g8"],
        "samePlace" => true, "scatter" => false, "loaner" => true, "expectedS" => 240.0,
        "snapshotEveryS" => 30.0, "snapshotS" => 4.0, "dueS" => 900.0, "later" => "unknown"
    });
    let Ok(Value::Map(mut fields)) = submission else {
        panic!("a map");
    };
    change(&mut fields);
    wire::encode(&Value::Map(fields))
}

/// Replaces a field's value.
fn set(fields: &mut [(Value, Value)], name: &str, value: &Value) {
    for (key, old) in fields {
        if key.as_text() == Some(name) {
            *old = value.clone();
        }
    }
}

#[test]
#[expect(clippy::too_many_lines, reason = "one case for each field")]
fn malformed_submissions_are_rejected() {
    let (id, spec) = wire::parse_submission(&body(|_| {})).expect("a valid submission");
    assert_eq!(
        (id.as_str(), spec.tasks, spec.cpus),
        ("run-000412", 16, 8.0)
    );
    assert_eq!(spec.deadline_s, Some(900.0));
    let invalid_values: Vec<(&str, Value)> = vec![
        ("nameId", Value::Text("job-1".into())),
        ("nameId", Value::Text("run-1/2".into())),
        ("pieces", Value::Integer(0.into())),
        ("pieces", Value::Integer(100_001.into())),
        ("pieces", Value::Float(2.0)),
        ("cores", Value::Float(f64::NAN)),
        ("cores", Value::Float(-1.0)),
        ("cores", Value::Text("8".into())),
        ("gpus", Value::Float(f64::INFINITY)),
        ("shape", Value::Text("ring".into())),
        ("urgency", Value::Null),
        ("flavors", Value::Text("g8".into())),
        ("loaner", Value::Integer(1.into())),
        ("dueS", Value::Text("soon".into())),
    ];
    for (name, value) in invalid_values {
        let malformed = body(|fields| set(fields, name, &value));
        assert!(
            wire::parse_submission(&malformed).is_err(),
            "{name} {value:?}"
        );
    }
    for name in [
        "nameId",
        "jobclass",
        "owner",
        "shape",
        "urgency",
        "pieces",
        "cores",
        "gpus",
        "memGb",
        "bundle",
        "imageGb",
        "samePlace",
        "scatter",
        "loaner",
        "expectedS",
        "snapshotEveryS",
        "snapshotS",
    ] {
        let malformed = body(|fields| fields.retain(|(key, _)| key.as_text() != Some(name)));
        assert!(
            wire::parse_submission(&malformed).is_err(),
            "without {name}"
        );
    }
    assert!(wire::parse_submission(b"not cbor").is_err());
    assert!(wire::parse_submission(&wire::encode(&Value::Array(vec![]))).is_err());
}

#[test]
fn integers_are_read_as_decimals() {
    let types = cbor!({"flavors" => [{"sku" => "g8", "cores" => 96, "gpus" => 8, "memGb" => 768,
        "cacheGb" => 200, "fetchGbPerS" => 1, "hourly" => 12, "spotPrice" => 4.5, "bootS" => 45,
        "halls" => ["a"], "new" => null}]});
    let types: wire::MachineTypes =
        wire::decode(&wire::encode(&types.expect("value"))).expect("machine types");
    assert_eq!(types.types[0].cpus, 96.0);
    let status = cbor!({"host" => "m-000001", "endpoint" => "10.1.0.1:9", "flavor" => "g8",
        "hall" => "a", "tenure" => 1, "serial" => 2, "reclaimInS" => 5, "pieces" => []});
    let status: wire::AgentStatus =
        wire::decode(&wire::encode(&status.expect("value"))).expect("a status");
    assert_eq!(
        (status.interruption_in_s, status.epoch),
        (Some(5.0), Epoch::NONE)
    );
}
