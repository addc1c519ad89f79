//! Packing of a job record's body.

use std::fmt::Write;

use super::{done_tasks, ATTEMPT_MARK, COUNT_MARK, PART_SEPARATOR, POSITION_MARK, WORD_SEPARATOR};
use crate::task_runs::{TaskRun, TaskSet};

/// Characters with a meaning in the packed form, which no machine name may contain.
const RESERVED_CHARACTERS: [char; 5] = [
    WORD_SEPARATOR,
    COUNT_MARK,
    POSITION_MARK,
    ATTEMPT_MARK,
    PART_SEPARATOR,
];

/// Packs the body of a job's record. `tasks` is the number of the job's tasks.
///
/// Returns `None` if the packed form can't express it: a machine's name is empty or contains a
/// reserved character, or a run overlaps another one or a task that is done.
pub fn pack(tasks: u32, done: &TaskSet, runs: &[TaskRun]) -> Option<String> {
    if !runs.iter().all(has_packable_machine) {
        return None;
    }
    let prefix = common_prefix(runs);
    let runs = positioned_runs(done, runs)?;
    let done = done_tasks::pack(tasks, done);
    let mut body = format!("{done}{PART_SEPARATOR}{prefix}{PART_SEPARATOR}");
    RunPacker::new(&mut body, prefix).push_all(&runs);
    let length = body.trim_end().len();
    body.truncate(length);
    Some(body)
}

fn has_packable_machine(run: &TaskRun) -> bool {
    !run.machine.is_empty() && !run.machine.contains(RESERVED_CHARACTERS)
}

/// Returns the longest common prefix of all machine names that leaves each name a remainder.
fn common_prefix(runs: &[TaskRun]) -> &str {
    let Some(first) = runs.first().map(|run| &run.machine) else {
        return "";
    };
    let mut length = first.len() - 1;
    for run in runs {
        let pairs = first.bytes().zip(run.machine.bytes());
        let equal = pairs.take_while(|(a, b)| a == b).count();
        length = length.min(equal).min(run.machine.len() - 1);
    }
    while !first.is_char_boundary(length) {
        length -= 1;
    }
    &first[..length]
}

/// A run by position among the unfinished tasks.
struct PositionedRun<'a> {
    position: u32,
    count: u32,
    attempt: u64,
    machine: &'a str,
}

impl PositionedRun<'_> {
    /// Returns the position after the last task.
    fn end(&self) -> u32 {
        self.position + self.count
    }

    /// Returns whether another run continues this one.
    fn is_continued_by(&self, other: &PositionedRun) -> bool {
        self.end() == other.position
            && self.attempt == other.attempt
            && self.machine == other.machine
    }
}

/// Returns the runs by position, adjacent ones with the same machine and attempt merged. `None`
/// if a run is empty, or overlaps another one or a task that is done.
fn positioned_runs<'a>(done: &TaskSet, runs: &'a [TaskRun]) -> Option<Vec<PositionedRun<'a>>> {
    let mut merged: Vec<PositionedRun> = Vec::new();
    for run in runs {
        let run = positioned_run(done, run)?;
        match merged.last_mut() {
            Some(last) if run.position < last.end() => return None,
            Some(last) if last.is_continued_by(&run) => last.count += run.count,
            _ => merged.push(run),
        }
    }
    Some(merged)
}

fn positioned_run<'a>(done: &TaskSet, run: &'a TaskRun) -> Option<PositionedRun<'a>> {
    let last = run.first.checked_add(run.count)?.checked_sub(1)?;
    let positioned = PositionedRun {
        position: position(done, run.first)?,
        count: run.count,
        attempt: run.attempt,
        machine: &run.machine,
    };
    let spans_done_tasks = position(done, last)? + 1 != positioned.end();
    if run.count == 0 || spans_done_tasks {
        return None;
    }
    Some(positioned)
}

/// Returns the position of a task among the unfinished tasks; `None` if the task is done.
fn position(done: &TaskSet, task: u32) -> Option<u32> {
    let mut done_before = 0;
    for range in done.ranges() {
        if range.first > task {
            break;
        }
        if range.last >= task {
            return None;
        }
        done_before += range.len();
    }
    Some(task - done_before)
}

/// Writes runs as words, each followed by a separator.
struct RunPacker<'a> {
    text: &'a mut String,
    /// Length of the common prefix of all machine names in bytes, which is left out.
    prefix_length: usize,
    /// The position after the last run.
    next_position: u32,
    /// The attempt of the last run.
    attempt: u64,
}

impl RunPacker<'_> {
    /// Creates a packer that appends to a text.
    fn new<'a>(text: &'a mut String, prefix: &str) -> RunPacker<'a> {
        RunPacker {
            text,
            prefix_length: prefix.len(),
            next_position: 0,
            attempt: 0,
        }
    }

    fn push_all(mut self, runs: &[PositionedRun]) {
        for run in runs {
            self.push(run);
        }
    }

    fn push(&mut self, run: &PositionedRun) {
        if run.position != self.next_position {
            self.push_word(format_args!("{POSITION_MARK}{}", run.position));
        }
        if run.attempt != self.attempt {
            self.push_word(format_args!("{ATTEMPT_MARK}{}", run.attempt));
        }
        let name = &run.machine[self.prefix_length..];
        match run.count {
            1 => self.push_word(format_args!("{name}")),
            count => self.push_word(format_args!("{name}{COUNT_MARK}{count}")),
        }
        self.next_position = run.end();
        self.attempt = run.attempt;
    }

    fn push_word(&mut self, word: std::fmt::Arguments) {
        write!(self.text, "{word}{WORD_SEPARATOR}").expect("writing to a string never fails");
    }
}
