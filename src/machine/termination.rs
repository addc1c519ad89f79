//! The reasons for terminating machines.

use std::fmt;

/// Why a machine is drained and terminated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TerminationReason {
    /// The cloud lists the machine as failed.
    Failed,
    /// The cloud has reclaimed the machine after a spot interruption notice.
    SpotInterruption,
    /// The cloud no longer lists the machine.
    NoLongerListed,
    /// No status has been received from its agent for too long.
    Silent,
    /// Its agent sends heartbeats, but neither commands nor responses reach the agent.
    Unreachable,
    /// The machine has been idle for too long.
    Idle,
    /// Only a record names the machine; neither its agent nor the cloud's list has shown it.
    NeverSeen,
    /// The machine did not boot in the expected time.
    NeverBooted,
    /// A task failed on the machine, which is drained before it is terminated.
    TaskFailed,
    /// Its agent still sends statuses although a request to terminate the machine was sent.
    StillReporting,
    /// The termination is recorded in the store, perhaps by an earlier leader.
    AlreadyRecorded,
}

/// Which checks precede the termination of a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum TerminationClass {
    /// The machine is idle: the holder of the duty checks that it is still empty.
    Idle,
    /// The machine is drained, and terminated only once it is empty.
    Drained,
    /// The machine is lost, and with it all tasks that the records place on it.
    Lost,
}

impl TerminationReason {
    /// Returns which checks precede a termination for this reason.
    pub fn class(self) -> TerminationClass {
        match self {
            TerminationReason::Idle | TerminationReason::AlreadyRecorded => TerminationClass::Idle,
            TerminationReason::TaskFailed => TerminationClass::Drained,
            TerminationReason::Failed
            | TerminationReason::SpotInterruption
            | TerminationReason::NoLongerListed
            | TerminationReason::Silent
            | TerminationReason::Unreachable
            | TerminationReason::NeverSeen
            | TerminationReason::NeverBooted
            | TerminationReason::StillReporting => TerminationClass::Lost,
        }
    }
}

impl fmt::Display for TerminationReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            TerminationReason::Failed => "failed",
            TerminationReason::SpotInterruption => "spot interruption",
            TerminationReason::NoLongerListed => "no longer listed by the cloud",
            TerminationReason::Silent => "silent",
            TerminationReason::Unreachable => "commands do not reach the agent",
            TerminationReason::Idle => "idle",
            TerminationReason::NeverSeen => "unknown to the cloud",
            TerminationReason::NeverBooted => "never booted",
            TerminationReason::TaskFailed => "task failed",
            TerminationReason::StillReporting => {
                "agent still running after the termination request"
            }
            TerminationReason::AlreadyRecorded => "termination recorded earlier",
        })
    }
}
