//! Messages.

use ciborium::{cbor, Value};
use gaugesill::wire::{self};

fn body(change: impl FnOnce(&mut Vec<(Value, Value)>)) -> Vec<u8> {
    let v = cbor!({
        "nameId" => "run-000412", "jobclass" => "train", "owner" => "vision",
        "shape" => "group", "urgency" => "high", "pieces" => 16, "cores" => 8, "gpus" => 1.0,
        "memGb" => 64.0, "bundle" => "img-07", "imageGb" => 6.2, "flavors" => ["g8"],
        "samePlace" => true, "scatter" => false, "loaner" => true, "expectedS" => 240.0,
        "snapshotEveryS" => 30.0, "snapshotS" => 4.0, "dueS" => 900.0, "later" => "unknown"
    });
    let Ok(Value::Map(mut m)) = v else {
        panic!("a map");
    };
    change(&mut m);
    wire::encode(&Value::Map(m))
}

fn set(m: &mut [(Value, Value)], key: &str, v: Value) {
    for x in m.iter_mut().filter(|x| x.0.as_text() == Some(key)) {
        x.1 = v.clone();
    }
}

#[test]
fn malformed_submissions_are_refused() {
    let (id, s) = wire::parse_submission(&body(|_| {})).expect("a good one");
    assert_eq!((id.as_str(), s.tasks, s.cpus), ("run-000412", 16, 8.0));
    assert_eq!(s.deadline_s, Some(900.0));
    let bad: Vec<(&str, Value)> = vec![
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
    for (k, v) in bad {
        let b = body(|m| set(m, k, v.clone()));
        assert!(wire::parse_submission(&b).is_err(), "{k} {v:?}");
    }
    for k in [
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
        let b = body(|m| m.retain(|x| x.0.as_text() != Some(k)));
        assert!(wire::parse_submission(&b).is_err(), "without {k}");
    }
    assert!(wire::parse_submission(b"not cbor").is_err());
    assert!(wire::parse_submission(&wire::encode(&Value::Array(vec![]))).is_err());
}

#[test]
fn whole_numbers_are_read_as_decimals() {
    let v = cbor!({"flavors" => [{"sku" => "g8", "cores" => 96, "gpus" => 8, "memGb" => 768,
        "cacheGb" => 200, "fetchGbPerS" => 1, "hourly" => 12, "spotPrice" => 4.5, "bootS" => 45,
        "halls" => ["a"], "new" => null}]});
    let f: wire::MachineTypes = wire::decode(&wire::encode(&v.expect("value"))).expect("flavors");
    assert_eq!(f.types[0].cpus, 96.0);
    let v = cbor!({"host" => "m-000001", "endpoint" => "10.1.0.1:9", "flavor" => "g8",
        "hall" => "a", "tenure" => 1, "serial" => 2, "reclaimInS" => 5, "pieces" => []});
    let r: wire::AgentStatus = wire::decode(&wire::encode(&v.expect("value"))).expect("a report");
    assert_eq!((r.interruption_in_s, r.epoch), (Some(5.0), 0));
}
