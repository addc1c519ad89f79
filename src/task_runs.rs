//! The task sets and task runs that job records store.

use serde::{Deserialize, Serialize};

/// Consecutive task numbers from `first` to `last`, inclusive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct TaskRange {
    pub(crate) first: u32,
    pub(crate) last: u32,
}

impl TaskRange {
    /// Returns the number of tasks.
    pub(crate) fn len(self) -> u32 {
        self.last - self.first + 1
    }
}

/// A set of task numbers as inclusive ranges `(first, last)`. Serialized as a list of pairs.
///
/// Invariant: the ranges are sorted and separated by at least one task.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct TaskSet(pub Vec<(u32, u32)>);

impl TaskSet {
    /// Returns whether a task is in the set.
    pub fn contains(&self, task: u32) -> bool {
        let index = self.first_range_from(task);
        self.0.get(index).is_some_and(|(first, _)| *first <= task)
    }

    /// Adds a task, and merges the ranges that it joins.
    pub fn insert(&mut self, task: u32) {
        if self.contains(task) {
            return;
        }
        let index = self.first_range_from(task);
        self.0.insert(index, (task, task));
        self.merge_with_next(index);
        if let Some(previous) = index.checked_sub(1) {
            self.merge_with_next(previous);
        }
    }

    /// Merges a range with the next one if they are adjacent.
    fn merge_with_next(&mut self, index: usize) {
        let Some((next_first, next_last)) = self.0.get(index + 1).copied() else {
            return;
        };
        let last = &mut self.0[index].1;
        if *last + 1 == next_first {
            *last = next_last;
            self.0.remove(index + 1);
        }
    }

    /// Returns the index of the first range that ends at this task or later.
    fn first_range_from(&self, task: u32) -> usize {
        self.0.partition_point(|(_, last)| *last < task)
    }

    /// Replaces the contents with the first `count` tasks, from 0.
    pub fn set_to_first(&mut self, count: u32) {
        self.0.clear();
        if let Some(last) = count.checked_sub(1) {
            self.push_range(TaskRange { first: 0, last });
        }
    }

    /// Appends a range. It has to begin at least two tasks after the last one ends, or the invariant
    /// breaks.
    pub(crate) fn push_range(&mut self, range: TaskRange) {
        self.0.push((range.first, range.last));
    }

    /// Returns the ranges in ascending order.
    pub(crate) fn ranges(&self) -> impl DoubleEndedIterator<Item = TaskRange> + '_ {
        let ranges = self.0.iter();
        ranges.map(|&(first, last)| TaskRange { first, last })
    }

    /// Returns the number of tasks in the set.
    pub fn len(&self) -> u64 {
        // Computed in 64 bits, because the range of all 32-bit task numbers has 2^32 elements.
        let length = |range: TaskRange| u64::from(range.last - range.first) + 1;
        self.ranges().map(length).sum()
    }

    /// Returns whether no task is in the set.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// Consecutive tasks of one attempt that may be on the same machine. Serialized as a list of
/// four values.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(from = "(u32, u32, u64, String)", into = "(u32, u32, u64, String)")]
pub struct TaskRun {
    /// The number of the first task.
    pub first: u32,
    /// The number of tasks.
    pub count: u32,
    /// The attempt that the tasks belong to.
    pub attempt: u64,
    /// The machine's name.
    pub machine: String,
}

impl TaskRun {
    /// Creates the run of a single task.
    pub fn single(task: u32, attempt: u64, machine: impl Into<String>) -> TaskRun {
        TaskRun {
            first: task,
            count: 1,
            attempt,
            machine: machine.into(),
        }
    }
}

impl From<(u32, u32, u64, String)> for TaskRun {
    fn from((first, count, attempt, machine): (u32, u32, u64, String)) -> TaskRun {
        TaskRun {
            first,
            count,
            attempt,
            machine,
        }
    }
}

impl From<TaskRun> for (u32, u32, u64, String) {
    fn from(run: TaskRun) -> Self {
        (run.first, run.count, run.attempt, run.machine)
    }
}
