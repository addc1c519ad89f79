//! The first part of the packed form: the tasks that are done.
//!
//! It has the lengths of unfinished and finished stretches of tasks in turn (`5 1 0 2`), or,
//! after [`BITS_MARK`], a bit for each task. Four bits make a hexadecimal digit, with the lowest
//! task in the lowest bit; trailing zeros are left out.

use super::unpack::{parse_number, UnpackError};
use crate::task_runs::{TaskRange, TaskSet};

/// Precedes the bits of the tasks.
const BITS_MARK: char = '=';
/// Number of tasks for each hexadecimal digit.
const TASKS_PER_DIGIT: u32 = 4;
const HEXADECIMAL_RADIX: u32 = 16;

/// Packs the tasks that are done into the shorter of the two forms.
pub(super) fn pack(tasks: u32, done: &TaskSet) -> String {
    let digits = tasks.div_ceil(TASKS_PER_DIGIT);
    let lengths = pack_lengths(done);
    if lengths.len() <= 1 + digits as usize {
        return lengths;
    }
    pack_bits(digits, done)
}

fn pack_lengths(done: &TaskSet) -> String {
    let mut lengths = Vec::new();
    let mut next_task = 0;
    for range in done.ranges() {
        lengths.push((range.first - next_task).to_string());
        lengths.push(range.len().to_string());
        next_task = range.last + 1;
    }
    lengths.join(" ")
}

fn pack_bits(digits: u32, done: &TaskSet) -> String {
    let digit = |index: u32| {
        let bits = (0..TASKS_PER_DIGIT).filter(|bit| done.contains(TASKS_PER_DIGIT * index + bit));
        let value = bits.map(|bit| 1 << bit).sum();
        char::from_digit(value, HEXADECIMAL_RADIX).unwrap_or('0')
    };
    let bits: String = (0..digits).map(digit).collect();
    format!("{BITS_MARK}{}", bits.trim_end_matches('0'))
}

/// Unpacks what [`pack`] packed.
///
/// # Errors
///
/// If the text is malformed, or has tasks that a job of `tasks` tasks does not have.
pub(super) fn unpack(tasks: u32, text: &str) -> Result<TaskSet, UnpackError> {
    let done = match text.strip_prefix(BITS_MARK) {
        Some(bits) => unpack_bits(bits)?,
        None => unpack_lengths(text)?,
    };
    let last = done.ranges().next_back();
    if last.is_some_and(|range| range.last >= tasks) {
        return Err(UnpackError::TooManyTasks);
    }
    Ok(done)
}

fn unpack_bits(bits: &str) -> Result<TaskSet, UnpackError> {
    let mut done = TaskSet::default();
    for (index, digit) in (0u32..).zip(bits.chars()) {
        let value = digit.to_digit(HEXADECIMAL_RADIX);
        let value = value.ok_or_else(|| UnpackError::InvalidNumber(digit.to_string()))?;
        for bit in (0..TASKS_PER_DIGIT).filter(|bit| value & (1 << bit) != 0) {
            done.insert(TASKS_PER_DIGIT * index + bit);
        }
    }
    Ok(done)
}

fn unpack_lengths(text: &str) -> Result<TaskSet, UnpackError> {
    let mut done = TaskSet::default();
    let mut next_task = 0;
    let mut words = text.split_whitespace();
    while let Some(unfinished) = words.next() {
        let first = add_length(next_task, unfinished)?;
        let finished = words.next().ok_or(UnpackError::MissingPart)?;
        let end = add_length(first, finished)?;
        let last = end.checked_sub(1);
        let last = last.ok_or_else(|| UnpackError::InvalidNumber(finished.to_string()))?;
        done.push_range(TaskRange { first, last });
        next_task = end;
    }
    Ok(done)
}

/// Returns the first task after a stretch that begins with `first` and has the given length.
fn add_length(first: u32, length: &str) -> Result<u32, UnpackError> {
    let end = first.checked_add(parse_number(length)?);
    end.ok_or_else(|| UnpackError::InvalidNumber(length.to_string()))
}
