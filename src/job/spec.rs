//! The specification of a job, as submitted by its user.

use serde::{Deserialize, Serialize};

/// How the tasks of a job depend on one another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Shape {
    /// Independent tasks.
    #[serde(rename = "a")]
    Array,
    /// All tasks run at the same time, or none does.
    #[serde(rename = "g")]
    Gang,
    /// Placed like an array; the tasks run until the job is cancelled.
    #[serde(rename = "s")]
    Service,
}

/// The priority of a job, lowest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Priority {
    /// Runs only on capacity that no other job needs.
    #[serde(rename = "l")]
    Low,
    /// Placed before low-priority jobs.
    #[serde(rename = "n")]
    Normal,
    /// Placed before normal jobs.
    #[serde(rename = "h")]
    High,
    /// Placed before all other jobs.
    #[serde(rename = "p")]
    Production,
}

/// The specification of a job. It is stored as a part of the job's record, so the stored field
/// names are short.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The class of jobs, which determines its service-level objectives.
    #[serde(rename = "c")]
    pub class: String,
    /// The team whose nominal quota and quota limit apply.
    #[serde(rename = "t")]
    pub team: String,
    /// How its tasks depend on one another.
    #[serde(rename = "s")]
    pub shape: Shape,
    /// The submitted priority; the leader's copy is raised to that of the most urgent dependent.
    #[serde(rename = "u")]
    pub priority: Priority,
    /// The number of tasks, at least 1. Tasks are numbered from 0.
    #[serde(rename = "n")]
    pub tasks: u32,
    /// CPU cores of each task.
    #[serde(rename = "cp", deserialize_with = "crate::wire::number")]
    pub cpus: f64,
    /// GPUs of each task.
    #[serde(rename = "gp", deserialize_with = "crate::wire::number")]
    pub gpus: f64,
    /// Memory of each task in GB.
    #[serde(rename = "me", deserialize_with = "crate::wire::number")]
    pub memory_gb: f64,
    /// Allowed machine types; `None` for any.
    #[serde(rename = "ty", default, skip_serializing_if = "Option::is_none")]
    pub machine_types: Option<Vec<String>>,
    /// The only allowed zone; `None` for any.
    #[serde(rename = "z", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// Whether all tasks must be in the same zone.
    #[serde(rename = "oz", default)]
    pub single_zone: bool,
    /// Whether at most half of the tasks, rounded up, may be in one zone.
    #[serde(rename = "sp", default)]
    pub spread: bool,
    /// Whether the job may use spot machines.
    #[serde(rename = "so", default)]
    pub spot: bool,
    /// The image that a machine must have before a task can start.
    #[serde(rename = "i")]
    pub image: String,
    /// The size of the image in GB.
    #[serde(rename = "ig", deserialize_with = "crate::wire::number")]
    pub image_gb: f64,
    /// The user's estimate of a task's run time, without the time to fetch the image, in seconds.
    #[serde(rename = "ex", deserialize_with = "crate::wire::number")]
    pub expected_s: f64,
    /// Seconds of progress between two checkpoints; 0 if tasks save no checkpoints.
    #[serde(rename = "ck", deserialize_with = "crate::wire::number")]
    pub checkpoint_interval_s: f64,
    /// Seconds that a task needs to save a checkpoint when it is stopped.
    #[serde(rename = "sv", deserialize_with = "crate::wire::number")]
    pub checkpoint_grace_s: f64,
    /// When the job should be done, in seconds from its submission; `None` for no deadline.
    #[serde(rename = "d", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
    /// The ids of jobs that must be done before any task of this one starts.
    #[serde(rename = "dp", default, skip_serializing_if = "Vec::is_empty")]
    pub dependencies: Vec<String>,
}
