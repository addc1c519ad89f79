//! What a status proves about a bound task.
//!
//! Statuses and commands overtake each other in the network, so that a task that is not in a
//! status may still be started by a command that is on its way.

use super::agent_status::StatusOrigin;
use super::placement::{Placement, StartDelivery};
use crate::machine::{ReportedTask, TaskPhase};
use crate::wire::AgentStatus;

/// A status as it was received.
#[derive(Clone, Copy)]
pub(super) struct ReceivedStatus<'a> {
    pub status: &'a AgentStatus,
    pub origin: StatusOrigin,
    pub now: u64,
}

/// What a status says of a bound task.
pub(super) enum TaskObservation {
    /// The status may be older than the last start: it says nothing.
    Outdated,
    /// The task is present, in this phase.
    Present(TaskPhase),
    /// The task is absent, and cannot be started by a command that is still on its way.
    ConfirmedAbsent,
    /// The task is absent, but a start may still be on its way.
    MayStillStart,
}

impl TaskObservation {
    /// What a received status shows of a placement; `reported` is the task in that status.
    pub(super) fn new(
        placement: &Placement,
        reported: Option<&ReportedTask>,
        received: ReceivedStatus,
    ) -> TaskObservation {
        if overtakes_second_start(placement, received) {
            return TaskObservation::Outdated;
        }
        match reported {
            Some(reported) => TaskObservation::Present(reported.phase),
            None if confirms_absence(placement, received) => TaskObservation::ConfirmedAbsent,
            None => TaskObservation::MayStillStart,
        }
    }
}

/// Whether a status may have overtaken the answer that carries a second start. Such a start
/// has the attempt of the first one: the status may show how the first one ended.
fn overtakes_second_start(placement: &Placement, received: ReceivedStatus) -> bool {
    let Some(StartDelivery::Answer {
        incarnation,
        serial,
    }) = placement.delivery
    else {
        return false;
    };
    let ReceivedStatus { status, origin, .. } = received;
    let is_later_heartbeat = origin == StatusOrigin::Heartbeat && status.serial > serial;
    placement.restarts_in_place && status.incarnation == incarnation && !is_later_heartbeat
}

/// Whether a status that lacks a task proves that the task is not on the machine and will not
/// be started there by a command that is still on its way.
fn confirms_absence(placement: &Placement, received: ReceivedStatus) -> bool {
    if placement.phase.is_some() {
        return true;
    }
    let ReceivedStatus { status, origin, .. } = received;
    match (placement.change, placement.delivery) {
        // An earlier leader's start is no longer accepted once the agent has seen this epoch.
        (0, None) => !placement.restarts_in_place,
        (_, None) => false,
        // A start travels in the answer to a heartbeat, and the next heartbeat is sent after
        // the answer was accepted or dropped. Other bodies may overtake the answer.
        (
            _,
            Some(StartDelivery::Answer {
                incarnation,
                serial,
            }),
        ) => {
            let is_later = (status.incarnation, status.serial) > (incarnation, serial);
            origin == StatusOrigin::Heartbeat && is_later
        }
        // A start that went straight to the agent may be held back in the network until the
        // incarnation has ended.
        (_, Some(StartDelivery::Direct { incarnation, .. })) => status.incarnation > incarnation,
    }
}
