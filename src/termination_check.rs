//! Whether machines that are to be terminated only if they are empty may be terminated, judged
//! by the records in the watch cache. Pure: the one place in which this is decided, for the
//! holders that review requests as well as for the holder that orders the termination.

use std::collections::HashSet;

use duty_lease::{Order, ScalingRequest};

/// A scaling request as far as it can be judged by the records at one revision, before the
/// occupied machines are collected, which takes a walk over all jobs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TerminationCheck<'a> {
    /// The request does not depend on whether machines are empty.
    Unconditional,
    /// The records may lack tasks that were placed before the request was written.
    RecordsTooOld,
    /// The records hold every task that was placed before the request was written.
    RecordsSuffice {
        /// The machines that the request names.
        machines: &'a [String],
    },
}

/// What the records say about a scaling request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TerminationVerdict {
    /// The request may be carried out.
    Allowed,
    /// The request can't be judged before the watch cache has caught up with it.
    Postponed,
    /// The request must not be carried out.
    Rejected {
        /// Its machines that have tasks on record.
        occupied: Vec<String>,
    },
}

impl<'a> TerminationCheck<'a> {
    /// Begins the check of a request. `revision`: the watch cache is complete up to it. Own
    /// writes, such as the request itself, may be ahead of it.
    pub fn new(request: &'a ScalingRequest, revision: u64) -> TerminationCheck<'a> {
        let Order::Delete {
            machines,
            if_empty: true,
        } = &request.order
        else {
            return TerminationCheck::Unconditional;
        };
        if request.version > revision {
            return TerminationCheck::RecordsTooOld;
        }
        TerminationCheck::RecordsSuffice { machines }
    }

    /// Whether the verdict depends on which machines are occupied.
    pub fn needs_occupied_machines(&self) -> bool {
        matches!(self, TerminationCheck::RecordsSuffice { .. })
    }

    /// Completes the check. `occupied`: all machines with a task on record, which are examined
    /// only if [`Self::needs_occupied_machines`].
    pub fn verdict(&self, occupied: &HashSet<String>) -> TerminationVerdict {
        let machines = match self {
            TerminationCheck::Unconditional => return TerminationVerdict::Allowed,
            TerminationCheck::RecordsTooOld => return TerminationVerdict::Postponed,
            TerminationCheck::RecordsSuffice { machines } => *machines,
        };
        let is_occupied = |machine: &&String| occupied.contains(*machine);
        let occupied: Vec<String> = machines.iter().filter(is_occupied).cloned().collect();
        if occupied.is_empty() {
            TerminationVerdict::Allowed
        } else {
            TerminationVerdict::Rejected { occupied }
        }
    }
}
