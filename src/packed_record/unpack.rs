//! Unpacking of a job record's body.

use std::str::FromStr;

use thiserror::Error;

use super::{done_tasks, ATTEMPT_MARK, COUNT_MARK, PART_SEPARATOR, POSITION_MARK};
use crate::task_runs::{TaskRun, TaskSet};

/// Number of parts of a packed body.
const PART_COUNT: usize = 3;

/// Why a packed body can't be unpacked.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum UnpackError {
    /// One of the three parts, or a length of the first part, is missing.
    #[error("a part is missing")]
    MissingPart,
    /// A number is malformed or out of range.
    #[error("invalid number {0:?}")]
    InvalidNumber(String),
    /// The body names more tasks than the job has.
    #[error("more tasks than the job has")]
    TooManyTasks,
}

pub(super) fn parse_number<T: FromStr>(word: &str) -> Result<T, UnpackError> {
    word.parse()
        .map_err(|_| UnpackError::InvalidNumber(word.to_string()))
}

/// Unpacks what [`super::pack()`] packed. `tasks` is the number of the job's tasks.
///
/// # Errors
///
/// If the text is malformed, or has tasks that a job of `tasks` tasks does not have.
pub fn unpack(tasks: u32, text: &str) -> Result<(TaskSet, Vec<TaskRun>), UnpackError> {
    let mut parts = text.splitn(PART_COUNT, PART_SEPARATOR);
    let mut next_part = || parts.next().ok_or(UnpackError::MissingPart);
    let done = done_tasks::unpack(tasks, next_part()?)?;
    let mut unpacker = RunUnpacker::new(tasks, &done, next_part()?);
    for word in next_part()?.split_whitespace() {
        unpacker.apply(Word::parse(word)?)?;
    }
    Ok((done, unpacker.runs))
}

/// A word of the third part.
enum Word<'a> {
    /// The position of the next run.
    Position(u32),
    /// The attempt of the runs that follow.
    Attempt(u64),
    /// A run on the machine with this name, without the common prefix.
    Run { name: &'a str, count: u32 },
}

impl Word<'_> {
    fn parse(word: &str) -> Result<Word<'_>, UnpackError> {
        if let Some(position) = word.strip_prefix(POSITION_MARK) {
            return parse_number(position).map(Word::Position);
        }
        if let Some(attempt) = word.strip_prefix(ATTEMPT_MARK) {
            return parse_number(attempt).map(Word::Attempt);
        }
        let (name, count) = match word.rsplit_once(COUNT_MARK) {
            Some((name, count)) => (name, parse_number(count)?),
            None => (word, 1),
        };
        Ok(Word::Run { name, count })
    }
}

/// Assigns the unfinished tasks to runs, in order.
struct RunUnpacker<'a> {
    /// The number of the job's tasks.
    tasks: u32,
    /// The common prefix of all machine names.
    prefix: &'a str,
    unfinished: UnfinishedTasks,
    next_position: u32,
    attempt: u64,
    runs: Vec<TaskRun>,
}

impl<'a> RunUnpacker<'a> {
    fn new(tasks: u32, done: &TaskSet, prefix: &'a str) -> RunUnpacker<'a> {
        RunUnpacker {
            tasks,
            prefix,
            unfinished: UnfinishedTasks::new(tasks, done),
            next_position: 0,
            attempt: 0,
            runs: Vec::new(),
        }
    }

    fn apply(&mut self, word: Word) -> Result<(), UnpackError> {
        match word {
            Word::Position(position) => self.skip_to(position),
            Word::Attempt(attempt) => {
                self.attempt = attempt;
                Ok(())
            }
            Word::Run { name, count } => self.push_run(name, count),
        }
    }

    fn skip_to(&mut self, position: u32) -> Result<(), UnpackError> {
        let gap = position.checked_sub(self.next_position);
        let mut gap = gap.ok_or_else(|| UnpackError::InvalidNumber(position.to_string()))?;
        while gap > 0 {
            gap -= self.unfinished.take(gap)?.count;
        }
        self.next_position = position;
        Ok(())
    }

    fn push_run(&mut self, name: &str, count: u32) -> Result<(), UnpackError> {
        if count > self.tasks {
            return Err(UnpackError::TooManyTasks);
        }
        let machine = format!("{}{name}", self.prefix);
        let mut remaining = count;
        while remaining > 0 {
            let stretch = self.unfinished.take(remaining)?;
            self.runs.push(TaskRun {
                first: stretch.first,
                count: stretch.count,
                attempt: self.attempt,
                machine: machine.clone(),
            });
            remaining -= stretch.count;
        }
        self.next_position += count;
        Ok(())
    }
}

/// A stretch of successive tasks, at least one.
struct Stretch {
    first: u32,
    count: u32,
}

/// The tasks that are not done, lowest number first.
struct UnfinishedTasks {
    stretches: Vec<Stretch>,
    /// Index of the first stretch that has tasks left.
    next_stretch: usize,
}

impl UnfinishedTasks {
    fn new(tasks: u32, done: &TaskSet) -> UnfinishedTasks {
        let mut stretches = Vec::new();
        let mut first = 0;
        for range in done.ranges() {
            if range.first > first {
                let count = range.first - first;
                stretches.push(Stretch { first, count });
            }
            first = range.last + 1;
        }
        if tasks > first {
            let count = tasks - first;
            stretches.push(Stretch { first, count });
        }
        UnfinishedTasks {
            stretches,
            next_stretch: 0,
        }
    }

    /// Removes successive tasks from the front and returns them: at least one, and at most
    /// `count_max`, which must be at least 1.
    ///
    /// # Errors
    ///
    /// If no task is left.
    fn take(&mut self, count_max: u32) -> Result<Stretch, UnpackError> {
        let stretch = self.stretches.get_mut(self.next_stretch);
        let stretch = stretch.ok_or(UnpackError::TooManyTasks)?;
        let taken = Stretch {
            first: stretch.first,
            count: stretch.count.min(count_max),
        };
        stretch.first += taken.count;
        stretch.count -= taken.count;
        if stretch.count == 0 {
            self.next_stretch += 1;
        }
        Ok(taken)
    }
}
