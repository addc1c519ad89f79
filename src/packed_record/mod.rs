//! The packed form of a job record's body, in use from format 1 on. It encodes which tasks are
//! done, and which machines the others are on, in few characters.
//!
//! There are three parts, separated by `|`:
//!
//! 1. The tasks that are done: the lengths of unfinished and finished stretches of tasks in
//!    turn, or `=` and the bits of all tasks in hexadecimal, whichever is shorter. See
//!    `done_tasks`.
//! 2. The common prefix of all machine names.
//! 3. The runs of tasks on the same machine, by position among the unfinished tasks: the
//!    machine's name without the prefix, followed by `*` and a count if the run has several
//!    tasks. A run is preceded by `^` and a number where the attempt changes, and by `>` and a
//!    position where there is a gap.
//!
//! For example, `5 1|m-0002|^2 31*3 >6 40` says that the first five tasks are unfinished and
//! the sixth is done, that tasks 0 to 2 are on `m-000231` under attempt 2, and that task 7 (the
//! unfinished task at position 6) is on `m-000240` under the same attempt.
//!
//! Invariant: when a task completes, the encoding of no run becomes longer, as positions count
//! only unfinished tasks. A record that fits into the store's limit therefore continues to fit.

mod done_tasks;
mod pack;
mod unpack;

pub use pack::pack;
pub use unpack::{unpack, UnpackError};

/// Separates the three parts.
const PART_SEPARATOR: char = '|';
/// Precedes the position of the next run, after a gap.
const POSITION_MARK: char = '>';
/// Precedes the attempt of the runs that follow.
const ATTEMPT_MARK: char = '^';
/// Precedes the number of tasks of a run, if it is not 1.
const COUNT_MARK: char = '*';
/// Separates the words of a part.
const WORD_SEPARATOR: char = ' ';
