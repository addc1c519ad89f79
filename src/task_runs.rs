//! Sets of tasks, and runs of tasks on their machines.

use serde::{Deserialize, Serialize};

/// A set of task numbers, kept as sorted inclusive ranges.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct TaskSet(pub Vec<(u32, u32)>);

impl TaskSet {
    /// Whether a task is in the set.
    pub fn contains(&self, task: u32) -> bool {
        let index = self.first_range_from(task);
        self.0.get(index).is_some_and(|range| range.0 <= task)
    }

    /// Adds a task.
    pub fn insert(&mut self, task: u32) {
        if self.contains(task) {
            return;
        }
        let index = self.first_range_from(task);
        self.0.insert(index, (task, task));
        if index + 1 < self.0.len() && self.0[index + 1].0 == task + 1 {
            self.0[index].1 = self.0[index + 1].1;
            self.0.remove(index + 1);
        }
        if index > 0 && self.0[index - 1].1 + 1 == task {
            self.0[index - 1].1 = self.0[index].1;
            self.0.remove(index);
        }
    }

    /// The first range that ends at this task or later.
    fn first_range_from(&self, task: u32) -> usize {
        self.0.partition_point(|range| range.1 < task)
    }

    /// Makes it the set of the first `count` tasks.
    pub fn fill(&mut self, count: u32) {
        self.0.clear();
        if count > 0 {
            self.0.push((0, count - 1));
        }
    }

    /// The number of tasks in the set.
    pub fn len(&self) -> u64 {
        let lengths = self.0.iter().map(|range| u64::from(range.1 - range.0) + 1);
        lengths.sum()
    }

    /// Whether no task is in the set.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// Tasks with successive numbers that may be on a machine under one attempt. Stored
/// as a list of four.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(from = "(u32, u32, u64, String)", into = "(u32, u32, u64, String)")]
pub struct TaskRun {
    /// The first task.
    pub first: u32,
    /// How many tasks.
    pub count: u32,
    /// Their attempt.
    pub attempt: u64,
    /// The machine's name.
    pub machine: String,
}

impl TaskRun {
    /// The run of a single task.
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
