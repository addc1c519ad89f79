//! Service-level objectives: bounds on the time until the jobs of a class start or finish.

use serde::Deserialize;

/// The quantity that a service-level objective bounds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(from = "String")]
pub enum ObjectiveKind {
    /// Time from submission until a job's tasks have started.
    Wait,
    /// Time from submission until all tasks of a job are done.
    Finished,
    /// Completion relative to the deadline that the job's owner has set.
    Deadline,
    /// Any other kind; ignored, as it does not affect the order of the queue.
    Other,
}

impl From<String> for ObjectiveKind {
    fn from(kind: String) -> ObjectiveKind {
        match kind.as_str() {
            "wait" => ObjectiveKind::Wait,
            "finished" => ObjectiveKind::Finished,
            "deadline" => ObjectiveKind::Deadline,
            _ => ObjectiveKind::Other,
        }
    }
}

/// A service-level objective on starting or finishing.
#[derive(Debug, Clone, Deserialize)]
pub struct ServiceLevelObjective {
    /// The quantity that is bounded.
    pub kind: ObjectiveKind,
    /// The class of jobs that the objective applies to; `None` for all classes.
    #[serde(default)]
    pub class: Option<String>,
    /// The bound, in seconds.
    #[serde(default)]
    pub within_s: Option<f64>,
    /// The share of tasks or jobs that must stay within the bound, from 0 to 1.
    #[serde(default)]
    pub share: Option<f64>,
    /// For [`ObjectiveKind::Deadline`]: the bound as a multiple of the job's deadline.
    #[serde(default)]
    pub times: Option<f64>,
}
