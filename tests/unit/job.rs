//! Job records.

use crate::support::*;
use ciborium::Value;
use gaugesill::job::{JobRecord, Priority, Shape, TaskRun, TaskSet};
use gaugesill::wire;

#[test]
fn task_sets_merge_their_ranges() {
    let mut tasks = TaskSet::default();
    for task in [5, 3, 4, 9, 0, 1, 5] {
        tasks.insert(task);
    }
    assert_eq!(tasks.0, [(0, 1), (3, 5), (9, 9)]);
    assert_eq!(tasks.len(), 6);
    assert!(tasks.contains(4) && !tasks.contains(2) && !tasks.contains(10));
}

#[test]
fn records_are_read_as_they_were_written() {
    let mut record = JobRecord::new(spec(Shape::Array, 100_000, 4.0, Priority::Low), 17);
    record.done.insert(7);
    record
        .runs
        .push(TaskRun::from((0, 3, 5, "m-000001".into())));
    let bytes = wire::encode(&record.to_value(0));
    let value: Value = wire::decode(&bytes).expect("a value");
    assert_eq!(JobRecord::from_value(&value).ok(), Some(record));
}
