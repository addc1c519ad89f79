//! Job records.

use crate::support::*;
use ciborium::Value;
use gaugesill::job::{JobRecord, Priority, Shape, TaskRun, TaskSet};
use gaugesill::wire::{self};

#[test]
fn task_sets_merge_their_ranges() {
    let mut r = TaskSet::default();
    for n in [5, 3, 4, 9, 0, 1, 5] {
        r.insert(n);
    }
    assert_eq!(r.0, [(0, 1), (3, 5), (9, 9)]);
    assert_eq!(r.len(), 6);
    assert!(r.contains(4) && !r.contains(2) && !r.contains(10));
}

#[test]
fn records_are_read_as_they_were_written() {
    let mut r = JobRecord::new(spec(Shape::Array, 100_000, 4.0, Priority::Low), 17);
    r.done.insert(7);
    r.runs.push(TaskRun::from((0, 3, 5, "m-000001".into())));
    let bytes = wire::encode(&r.to_value(0));
    let v: Value = wire::decode(&bytes).expect("a value");
    assert_eq!(JobRecord::from_value(&v).ok(), Some(r));
}
