//! Why machines are terminated.

use std::fmt;

/// Why a machine is terminated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TerminationReason {
    /// The cloud lists it as failed.
    Failed,
    /// The cloud has reclaimed it after a spot interruption notice.
    SpotInterruption,
    /// It is not listed any more.
    NotListed,
    /// Its agent is silent.
    Silent,
    /// Its agent sends heartbeats, but commands and answers do not reach it.
    Unreachable,
    /// It is idle.
    Idle,
    /// Only a record names it; neither its agent nor the cloud's list has shown it.
    Unknown,
    /// It was rented long ago and never came up.
    NeverBooted,
    /// A task failed on it, and it is drained first.
    TaskFailed,
    /// Its agent still reports although its deletion was sent.
    TerminationSent,
    /// An earlier leader recorded its termination.
    OnRecord,
}

/// What has to be checked before a machine is terminated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum TerminationClass {
    /// It is idle: the holder of the duty checks that once more.
    Idle,
    /// It was drained, and is terminated only if it is empty.
    Drained,
    /// It is given up together with all tasks that are recorded on it.
    Lost,
}

impl TerminationReason {
    /// What has to be checked before the termination.
    pub fn class(self) -> TerminationClass {
        match self {
            TerminationReason::Idle | TerminationReason::OnRecord => TerminationClass::Idle,
            TerminationReason::TaskFailed => TerminationClass::Drained,
            TerminationReason::Failed
            | TerminationReason::SpotInterruption
            | TerminationReason::NotListed
            | TerminationReason::Silent
            | TerminationReason::Unreachable
            | TerminationReason::Unknown
            | TerminationReason::NeverBooted
            | TerminationReason::TerminationSent => TerminationClass::Lost,
        }
    }
}

impl fmt::Display for TerminationReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            TerminationReason::Failed => "failed",
            TerminationReason::SpotInterruption => "spot interruption",
            TerminationReason::NotListed => "not listed any more",
            TerminationReason::Silent => "silent",
            TerminationReason::Unreachable => "commands do not reach it",
            TerminationReason::Idle => "idle",
            TerminationReason::Unknown => "unknown to the cloud",
            TerminationReason::NeverBooted => "never booted",
            TerminationReason::TaskFailed => "task failed",
            TerminationReason::TerminationSent => "termination was sent",
            TerminationReason::OnRecord => "termination is recorded",
        })
    }
}
