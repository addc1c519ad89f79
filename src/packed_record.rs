//! The packed form of a job record's body, in use from format 1 on: which tasks are
//! done and where the others are, in few characters.
//!
//! There are three parts, separated by `|`:
//!
//! 1. The tasks that are done: the lengths of unfinished and finished stretches in turn,
//!    or the bits of all tasks in hexadecimal after `=`, whichever is shorter.
//! 2. The common prefix of all machine names.
//! 3. The runs, by position among the unfinished tasks: the machine's name without the
//!    prefix, followed by `*` and a count if there are several. `^` and a number come
//!    first where the attempt changes, `>` and a position where there is a gap.
//!
//! A task that ends makes no run longer, as it is no longer among the unfinished.

use std::str::FromStr;

use thiserror::Error;

use crate::task_runs::{TaskRun, TaskSet};

/// Characters with a meaning, which no machine name may contain.
const MARKS: [char; 5] = [' ', '*', '>', '^', '|'];

/// A run by position among the unfinished tasks.
struct PositionedRun<'a> {
    position: u32,
    count: u32,
    attempt: u64,
    machine: &'a str,
}

/// Packs a record's body. `None` if a name or a run does not suit the form.
pub fn pack(tasks: u32, done: &TaskSet, runs: &[TaskRun]) -> Option<String> {
    let unsuitable = |run: &TaskRun| run.machine.is_empty() || run.machine.contains(MARKS);
    if runs.iter().any(unsuitable) {
        return None;
    }
    let prefix = common_prefix(runs);
    let mut out = format!("{}|{prefix}|", pack_done(tasks, done));
    let (mut next_position, mut last_attempt) = (0, 0);
    for run in positioned_runs(done, runs)? {
        if run.position != next_position {
            out += &format!(">{} ", run.position);
        }
        if run.attempt != last_attempt {
            out += &format!("^{} ", run.attempt);
        }
        out += &run.machine[prefix.len()..];
        if run.count > 1 {
            out += &format!("*{}", run.count);
        }
        out.push(' ');
        next_position = run.position + run.count;
        last_attempt = run.attempt;
    }
    Some(out.trim_end().to_string())
}

/// Runs that follow one another on a machine are merged. `None` if a run overlaps
/// another one or a task that is done.
fn positioned_runs<'a>(done: &TaskSet, runs: &'a [TaskRun]) -> Option<Vec<PositionedRun<'a>>> {
    let mut merged: Vec<PositionedRun> = Vec::new();
    for run in runs {
        let position = position(done, run.first)?;
        let end = position_after(done, run.first, run.count)?;
        if run.count == 0 || end != position + run.count {
            return None;
        }
        match merged.last_mut() {
            Some(last) if position < last.position + last.count => return None,
            Some(last)
                if last.position + last.count == position
                    && last.attempt == run.attempt
                    && last.machine == run.machine =>
            {
                last.count += run.count;
            }
            _ => merged.push(PositionedRun {
                position,
                count: run.count,
                attempt: run.attempt,
                machine: &run.machine,
            }),
        }
    }
    Some(merged)
}

/// Why a packed body can't be read.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum UnpackError {
    /// One of the three parts is missing.
    #[error("a part is missing")]
    MissingPart,
    /// A number is malformed or out of range.
    #[error("invalid number {0:?}")]
    Number(String),
    /// It names more tasks than the job has unfinished.
    #[error("more tasks than the job has")]
    TooManyTasks,
}

fn parse_number<T: FromStr>(word: &str) -> Result<T, UnpackError> {
    word.parse()
        .map_err(|_| UnpackError::Number(word.to_string()))
}

/// Unpacks what [`pack`] packed.
///
/// # Errors
///
/// If the text is malformed, or does not suit a job of so many tasks.
pub fn unpack(tasks: u32, text: &str) -> Result<(TaskSet, Vec<TaskRun>), UnpackError> {
    let mut parts = text.splitn(3, '|');
    let mut next_part = || parts.next().ok_or(UnpackError::MissingPart);
    let done = unpack_done(tasks, next_part()?)?;
    let prefix = next_part()?;
    let words = next_part()?.split_whitespace();
    let (mut next_position, mut attempt) = (0u32, 0u64);
    let mut unfinished = UnfinishedTasks::new(tasks, &done);
    let mut runs: Vec<TaskRun> = Vec::new();
    for word in words {
        if let Some(number) = word.strip_prefix('>') {
            let position: u32 = parse_number(number)?;
            let gap = position.checked_sub(next_position);
            let gap = gap.ok_or_else(|| UnpackError::Number(number.to_string()))?;
            unfinished.skip(gap)?;
            next_position = position;
        } else if let Some(number) = word.strip_prefix('^') {
            attempt = parse_number(number)?;
        } else {
            let (name, count) = match word.rsplit_once('*') {
                Some((name, count)) => (name, parse_number::<u32>(count)?),
                None => (word, 1),
            };
            if count > tasks {
                return Err(UnpackError::TooManyTasks);
            }
            let machine = format!("{prefix}{name}");
            for (first, count) in unfinished.take(count)? {
                runs.push(TaskRun {
                    first,
                    count,
                    attempt,
                    machine: machine.clone(),
                });
            }
            next_position += count;
        }
    }
    Ok((done, runs))
}

/// The tasks that are not done, in stretches of `(first, count)`.
struct UnfinishedTasks {
    stretches: Vec<(u32, u32)>,
    next_stretch: usize,
}

impl UnfinishedTasks {
    fn new(tasks: u32, done: &TaskSet) -> UnfinishedTasks {
        let mut stretches = Vec::new();
        let mut from = 0;
        for (first, last) in &done.0 {
            if *first > from {
                stretches.push((from, first - from));
            }
            from = last + 1;
        }
        if tasks > from {
            stretches.push((from, tasks - from));
        }
        UnfinishedTasks {
            stretches,
            next_stretch: 0,
        }
    }

    /// The next `count` of them.
    fn take(&mut self, mut count: u32) -> Result<Vec<(u32, u32)>, UnpackError> {
        let mut taken = Vec::new();
        while count > 0 {
            let stretch = self.stretches.get_mut(self.next_stretch);
            let stretch = stretch.ok_or(UnpackError::TooManyTasks)?;
            let part = stretch.1.min(count);
            taken.push((stretch.0, part));
            *stretch = (stretch.0 + part, stretch.1 - part);
            count -= part;
            if stretch.1 == 0 {
                self.next_stretch += 1;
            }
        }
        Ok(taken)
    }

    fn skip(&mut self, count: u32) -> Result<(), UnpackError> {
        self.take(count).map(|_| ())
    }
}

/// The position of a task among the unfinished; `None` if it is done.
fn position(done: &TaskSet, task: u32) -> Option<u32> {
    let mut done_before = 0;
    for (first, last) in &done.0 {
        if *first > task {
            break;
        }
        if *last >= task {
            return None;
        }
        done_before += last - first + 1;
    }
    Some(task - done_before)
}

/// The position behind a run's last task.
fn position_after(done: &TaskSet, first: u32, count: u32) -> Option<u32> {
    let last = first.checked_add(count)?.checked_sub(1)?;
    Some(position(done, last)? + 1)
}

fn common_prefix(runs: &[TaskRun]) -> &str {
    let Some(first) = runs.first().map(|run| &run.machine) else {
        return "";
    };
    // Of each name something must be left.
    let mut length = first.len() - 1;
    for run in runs {
        let pairs = first.bytes().zip(run.machine.bytes());
        let same = pairs.take_while(|(a, b)| a == b).count();
        length = length.min(same).min(run.machine.len() - 1);
    }
    while !first.is_char_boundary(length) {
        length -= 1;
    }
    &first[..length]
}

fn pack_done(tasks: u32, done: &TaskSet) -> String {
    let digits = tasks.div_ceil(4);
    let lengths = pack_lengths(done);
    if lengths.len() <= 1 + digits as usize {
        return lengths;
    }
    let digit = |index: u32| {
        let bits = (0..4).filter(|bit| done.contains(4 * index + bit));
        char::from_digit(bits.map(|bit| 1 << bit).sum(), 16).unwrap_or('0')
    };
    let bits: String = (0..digits).map(digit).collect();
    format!("={}", bits.trim_end_matches('0'))
}

fn pack_lengths(done: &TaskSet) -> String {
    let mut lengths = Vec::new();
    let mut from = 0;
    for (first, last) in &done.0 {
        lengths.push((first - from).to_string());
        lengths.push((last - first + 1).to_string());
        from = last + 1;
    }
    lengths.join(" ")
}

fn unpack_done(tasks: u32, text: &str) -> Result<TaskSet, UnpackError> {
    let done = match text.strip_prefix('=') {
        Some(bits) => unpack_bits(bits)?,
        None => unpack_lengths(text)?,
    };
    let fits = done.0.last().is_none_or(|range| range.1 < tasks);
    if fits {
        Ok(done)
    } else {
        Err(UnpackError::TooManyTasks)
    }
}

fn unpack_bits(bits: &str) -> Result<TaskSet, UnpackError> {
    let mut done = TaskSet::default();
    for (index, digit) in (0u32..).zip(bits.chars()) {
        let value = digit.to_digit(16);
        let value = value.ok_or_else(|| UnpackError::Number(digit.to_string()))?;
        for bit in (0..4).filter(|bit| value & (1 << bit) != 0) {
            done.insert(4 * index + bit);
        }
    }
    Ok(done)
}

fn unpack_lengths(text: &str) -> Result<TaskSet, UnpackError> {
    let out_of_range = |word: &str| UnpackError::Number(word.to_string());
    let mut done = TaskSet::default();
    let mut from = 0u32;
    let mut words = text.split_whitespace();
    while let Some(unfinished) = words.next() {
        let first = from.checked_add(parse_number(unfinished)?);
        let first = first.ok_or_else(|| out_of_range(unfinished))?;
        let word = words.next().ok_or(UnpackError::MissingPart)?;
        let end = first.checked_add(parse_number(word)?);
        let last = end.and_then(|end| end.checked_sub(1));
        let last = last.ok_or_else(|| out_of_range(word))?;
        done.0.push((first, last));
        from = last + 1;
    }
    Ok(done)
}
