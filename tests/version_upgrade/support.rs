//! Fixtures of the version in production, and simulations with announced limits.

use ciborium::Value;
use gaugesill::job::JobRecord;
use gaugesill::wire;

use crate::common::{submission, ReducedLimits, Sim};

/// A value that was written by the version in production.
pub(crate) struct Fixture {
    /// The debug form of the value, with the names that the fields had in that version.
    pub readable: &'static str,
    pub bytes: Vec<u8>,
}

/// Reads a fixture. The file has three lines for each: its name, its readable form and its bytes
/// as hexadecimal digits.
pub(crate) fn fixture(name: &str) -> Fixture {
    let text = include_str!("../fixtures/production.txt");
    let lines: Vec<&str> = text.lines().map(str::trim).collect();
    let found = lines.chunks(3).find(|entry| entry[0] == name);
    let entry = found.unwrap_or_else(|| panic!("the file has no fixture named {name}"));
    Fixture {
        readable: entry[1],
        bytes: decode_hexadecimal(entry[2]),
    }
}

fn decode_hexadecimal(text: &str) -> Vec<u8> {
    let byte = |digits: &[u8]| {
        let digits = std::str::from_utf8(digits).expect("fixture bytes are not ASCII");
        u8::from_str_radix(digits, 16).expect("fixture bytes are not hexadecimal digits")
    };
    text.as_bytes().chunks(2).map(byte).collect()
}

/// Decodes the job record of a fixture.
pub(crate) fn fixture_record(name: &str) -> JobRecord {
    let value: Value = wire::decode(&fixture(name).bytes).expect("fixture is not CBOR");
    JobRecord::from_value(&value).expect("fixture is not a job record")
}

/// Future limits of the store, as the settings announce them.
pub(crate) const ANNOUNCED_LIMITS: &str =
    r#","next":{"value_kb":2.0,"txn_ops":4,"write_rps":15.0}"#;

/// The limits of [`ANNOUNCED_LIMITS`], once the store enforces them.
pub(crate) const REDUCED_LIMITS: ReducedLimits = ReducedLimits {
    value_bytes: 2048,
    transaction_writes: 4,
    writes_per_s: 15.0,
};

/// Starts controllers whose settings announce [`ANNOUNCED_LIMITS`].
pub(crate) fn with_announced_limits() -> Sim {
    with_limits(ANNOUNCED_LIMITS)
}

/// Starts controllers whose settings announce `limits`; the trace begins after the start.
pub(crate) fn with_limits(limits: &str) -> Sim {
    let mut sim = Sim::new();
    sim.deployment.announced_limits = limits.into();
    sim.crash_all(|_| 1);
    sim.log.trace.clear();
    sim.run(5);
    sim
}

/// The format of job records on record in the store, if it was ever raised.
pub(crate) fn format_of(sim: &Sim) -> Option<u64> {
    let format = sim.store.keys.get("g/l/format")?;
    format
        .value
        .as_integer()
        .and_then(|number| u64::try_from(number).ok())
}

/// Submits an array and a gang.
pub(crate) fn submit_two_jobs(sim: &mut Sim) {
    sim.submit(
        0,
        &submission("run-000001", "sweep", 5, 4.0, "best_effort"),
        9000,
    );
    sim.submit(
        1,
        &submission("run-000002", "group", 3, 6.0, "normal"),
        12_000,
    );
}
