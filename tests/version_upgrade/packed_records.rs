//! The packed form of job records.

use gaugesill::job::{json_length, JobRecord, Shape, TaskRun, TaskSet};
use gaugesill::packed_record;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::support::fixture_record;

/// Random tasks of a record: done, placed on one of up to `machines` machines, or neither.
fn random_tasks(rng: &mut StdRng, tasks: u32, machines: u32) -> (TaskSet, Vec<TaskRun>) {
    let mut done = TaskSet::default();
    let mut runs: Vec<TaskRun> = Vec::new();
    for task in 0..tasks {
        match rng.random_range(0..4) {
            0 => done.insert(task),
            1 => {}
            _ => {
                let machine = format!("m-{:06}", rng.random_range(0..machines));
                let attempt = rng.random_range(1..4);
                add_run(&mut runs, TaskRun::single(task, attempt, machine));
            }
        }
    }
    (done, runs)
}

/// Adds a run of one task, or extends the last run if the task continues it.
fn add_run(runs: &mut Vec<TaskRun>, run: TaskRun) {
    match runs.last_mut() {
        Some(last)
            if last.first + last.count == run.first
                && last.attempt == run.attempt
                && last.machine == run.machine =>
        {
            last.count += 1;
        }
        _ => runs.push(run),
    }
}

/// Unpacking returns what was packed, whichever tasks are done and wherever the others run.
#[test]
fn unpacking_returns_what_was_packed() {
    let mut rng = StdRng::seed_from_u64(5);
    for round in 0..400 {
        let tasks = rng.random_range(1..300u32);
        let (done, runs) = random_tasks(&mut rng, tasks, 1 + round % 40);
        let text = packed_record::pack(tasks, &done, &runs).expect("the names can be packed");
        let unpacked = packed_record::unpack(tasks, &text).ok();
        assert_eq!(unpacked, Some((done, runs)), "{text}");
    }
}

#[test]
fn malformed_packed_records_are_refused() {
    for (tasks, text) in [
        (3, "|m-|1*4"),
        (3, "0 9|m-|"),
        (3, "=f|m-|"),
        (3, "|m-|1*x"),
        (3, "0 1"),
        (9, "|m-|>4 1 >2 1"),
    ] {
        assert_eq!(packed_record::unpack(tasks, text).ok(), None, "{text}");
    }
}

#[test]
fn records_that_cannot_be_packed_are_refused() {
    let with_space = [TaskRun::single(0, 1, "m 1")];
    assert_eq!(
        packed_record::pack(2, &TaskSet::default(), &with_space),
        None
    );
    let done = TaskSet(vec![(0, 0)]);
    let runs = [TaskRun::single(0, 1, "m-1")];
    assert_eq!(
        packed_record::pack(2, &done, &runs),
        None,
        "a task cannot be done and placed"
    );
}

/// What must fit into 2 KB: a gang of 32 tasks and an array of 240 tasks, with a machine for each
/// task, also while the array's tasks exit.
#[test]
fn gangs_and_arrays_fit_into_two_kilobytes() {
    let mut record: JobRecord = fixture_record("record array");
    let spread = |count: u32| -> Vec<TaskRun> {
        let machine = |task: u32| format!("m-{:06}", (task * 37) % 1700);
        (0..count)
            .map(|task| TaskRun::single(task, 1, machine(task)))
            .collect()
    };
    record.done = TaskSet::default();
    record.spec.shape = Shape::Gang;
    record.spec.tasks = 32;
    record.runs = spread(32);
    assert!(
        json_length(&record.to_value(0)) < 2048,
        "a gang must fit even unpacked"
    );
    assert!(json_length(&record.to_value(1)) < 800);
    record.spec.shape = Shape::Array;
    record.spec.tasks = 240;
    record.runs = spread(240);
    assert!(json_length(&record.to_value(0)) > 4096);
    assert!(json_length(&record.to_value(1)) < 2048);
    for task in (0..240).step_by(2) {
        record.done.insert(task);
        record.runs.retain(|run| run.first != task);
        assert!(json_length(&record.to_value(1)) < 2048);
    }
}
