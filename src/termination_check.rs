//! Checks by the records in the watch cache whether machines that may only be terminated when
//! empty are empty. Both the holders that review requests and the holder that orders the
//! termination use this check, so that they decide alike; it has no side effects.

use std::collections::HashSet;

use duty_lease::{Order, ScalingRequest};

/// The first part of the check of a scaling request against the records at one revision. It
/// tells whether the occupied machines are needed, as collecting them iterates over all jobs.
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

/// The result of checking a scaling request against the records.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TerminationVerdict {
    /// The request may be carried out.
    Allowed,
    /// The request can't be checked before the watch cache has caught up with it.
    Postponed,
    /// The request must not be carried out, as tasks would be lost.
    Rejected {
        /// The requested machines that have recorded tasks.
        occupied: Vec<String>,
    },
}

impl<'a> TerminationCheck<'a> {
    /// Begins the check of a request. The watch cache is complete up to `revision`; this
    /// controller's own writes, such as the request itself, may be ahead of it.
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

    /// Completes the check. `occupied` contains all machines with a recorded task; it is used
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
