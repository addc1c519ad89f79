//! Interprets what a status proves about a bound task.
//!
//! Statuses and commands overtake each other in the network, so a task that is absent from a
//! status may still be started by a command that is in flight.

use super::agent_status::StatusOrigin;
use super::placement::{Placement, StartDelivery};
use crate::machine::{ReportedTask, TaskPhase};
use crate::wire::AgentStatus;

/// A status, how it was received and when.
#[derive(Clone, Copy)]
pub(super) struct ReceivedStatus<'a> {
    pub status: &'a AgentStatus,
    pub origin: StatusOrigin,
    pub now: u64,
}

/// What a status shows of a bound task.
pub(super) enum TaskObservation {
    /// The status may be older than the last start, and is no evidence about this task.
    Outdated,
    /// The task is present, in this phase.
    Present(TaskPhase),
    /// The task is absent, and no command in flight can start it.
    ConfirmedAbsent,
    /// The task is absent, but a start may still be in flight.
    MayStillStart,
}

impl TaskObservation {
    /// What a received status shows of a placement; `reported` is the task in that status.
    pub(super) fn new(
        placement: &Placement,
        reported: Option<&ReportedTask>,
        received: ReceivedStatus,
    ) -> TaskObservation {
        if may_predate_second_start(placement, received) {
            return TaskObservation::Outdated;
        }
        match reported {
            Some(reported) => TaskObservation::Present(reported.phase),
            None if confirms_absence(placement, received) => TaskObservation::ConfirmedAbsent,
            None => TaskObservation::MayStillStart,
        }
    }
}

/// Whether a status may have overtaken the heartbeat response that carries a second start. That
/// start has the attempt number of the first one: the status may show how the first one ended.
fn may_predate_second_start(placement: &Placement, received: ReceivedStatus) -> bool {
    let Some(StartDelivery::HeartbeatResponse {
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

/// Whether a status that lacks a task proves that the task is not on the machine, and that no
/// command in flight will start it there.
fn confirms_absence(placement: &Placement, received: ReceivedStatus) -> bool {
    if placement.phase.is_some() {
        return true;
    }
    let ReceivedStatus { status, origin, .. } = received;
    match (placement.change, placement.delivery) {
        // The agent has seen this epoch, and so rejects starts from earlier leaders.
        (0, None) => !placement.restarts_in_place,
        (_, None) => false,
        // The start was sent in the response to a heartbeat, and the agent sends the next
        // heartbeat only after it has accepted or dropped that response. Other messages may
        // overtake the response.
        (
            _,
            Some(StartDelivery::HeartbeatResponse {
                incarnation,
                serial,
            }),
        ) => {
            let is_later = (status.incarnation, status.serial) > (incarnation, serial);
            origin == StatusOrigin::Heartbeat && is_later
        }
        // The network may delay a direct start, but the agent rejects it once it has begun another
        // incarnation or seen a higher epoch.
        (
            _,
            Some(StartDelivery::Direct {
                incarnation, epoch, ..
            }),
        ) => status.incarnation > incarnation || status.epoch > epoch,
    }
}
