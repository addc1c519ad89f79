//! What agents report.

use std::sync::Arc;

use tracing::{debug, warn};

use super::job_state::StartDelivery;
use super::{to_ms, Job, Placement, Scheduler};
use crate::job::{task_name, Shape};
use crate::machine::{BoundTask, ExitCause, Machine, TaskPhase, TerminationReason};
use crate::plan::Resources;
use crate::wire::{self, AgentStatus, Command};

/// How often a start on record is sent at most, before the place is given up.
const START_ATTEMPTS_MAX: u32 = 3;
/// A machine that was answered within this share of a lease must not have lost it.
const ANSWERED_LEASE_SHARE: (u64, u64) = (3, 4);
/// Longest rests after failures, as powers of two.
const FAILURE_DOUBLINGS_MAX: u32 = 5;
const REFUSED_DOUBLINGS_MAX: u32 = 4;

/// How a report came.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StatusOrigin {
    /// By itself: a heartbeat.
    Heartbeat,
    /// In answer to a direct request.
    DirectResponse,
}

/// What a report says of a task on record.
enum TaskObservation {
    /// The task is there, in this state.
    Present(TaskPhase),
    /// The task is not there, and its place is proven empty.
    ConfirmedAbsent,
    /// The task is not there, but a start may still be on its way.
    MayStillStart,
}

/// What a report's tasks brought.
#[derive(Default)]
struct StatusEffects {
    /// Capacity came free.
    freed_capacity: bool,
    /// A direct start may still be on its way.
    start_pending: bool,
}

impl Scheduler {
    /// Takes in an agent's report. True if it tells of capacity that waiting tasks could have:
    /// an answer that waits a moment can carry their starts, instead of the next one a
    /// Heartbeat interval later.
    pub fn on_agent_status(
        &mut self,
        report: &AgentStatus,
        origin: StatusOrigin,
        now: u64,
    ) -> bool {
        if self.terminated_machines.contains_key(&report.machine) {
            // Gone for good: its report comes late.
            return false;
        }
        let Some(became_schedulable) = self.apply_status(report, origin, now) else {
            return false;
        };
        let Some(machine) = self.machines.get(&report.machine) else {
            return false;
        };
        let name = machine.name.clone();
        let current = report.epoch >= self.term.epoch;
        let may_start = machine.is_retained() && current;
        let free = !machine.is_occupied()
            && (became_schedulable || machine.idle_since == Some(now) || report.tasks.is_empty());
        let mut effects = StatusEffects {
            freed_capacity: free,
            start_pending: false,
        };
        // A report without our epoch may be a copy from before an earlier leader cleared a
        // task and started it again under its attempt, or of an incarnation that is over: what
        // it says of places proves nothing.
        if current {
            for recorded in machine.bound_tasks.clone() {
                self.apply_task(&recorded, report, origin, may_start, &mut effects, now);
            }
        }
        self.complete_status(&name, effects.start_pending, became_schedulable, now);
        effects.freed_capacity && may_start && self.has_pending_jobs
    }

    /// Takes the report into the machine's state. `None` if it is not new; else whether
    /// the machine may now have work for the first time.
    fn apply_status(
        &mut self,
        report: &AgentStatus,
        origin: StatusOrigin,
        now: u64,
    ) -> Option<bool> {
        let lease_ms = to_ms(self.cluster.workers.lease_s);
        let heartbeat_interval_ms = to_ms(self.cluster.workers.report_s);
        let lagging = self.is_lagging(now);
        let machine = self
            .machines
            .entry(report.machine.clone())
            .or_insert_with(|| {
                let kind = (&report.machine_type, &report.zone, report.spot);
                Machine::new(&report.machine, kind.0, kind.1, kind.2, now)
            });
        let had_orphans = machine.orphans().next().is_some();
        let was_heard = machine.last_status_at.is_some();
        let (old_epoch, old_incarnation) = (machine.epoch, machine.incarnation);
        if !machine.apply_status(report, now) {
            return None;
        }
        if had_orphans || machine.orphans().next().is_some() {
            self.quota_cache.on_change();
        }
        self.last_status_at = now;
        let verifies = origin == StatusOrigin::DirectResponse && machine.reachability_unverified;
        let became_schedulable = !was_heard || old_epoch != machine.epoch || verifies;
        if machine.termination_sent_at.is_some() && machine.termination_reason.is_none() {
            machine.termination_reason = Some(TerminationReason::TerminationSent);
        }
        let (part, whole) = ANSWERED_LEASE_SHARE;
        let answered = machine
            .heartbeat_answered_at
            .is_some_and(|at| now < at + lease_ms * part / whole);
        if origin == StatusOrigin::Heartbeat {
            if lagging {
                // Our answer may have come too late to be taken.
                machine.sent_answer = None;
            } else {
                machine.check_effects(report);
                let is_new_incarnation = was_heard && machine.incarnation > old_incarnation;
                machine.reachability_unverified |= is_new_incarnation && answered;
            }
        }
        machine.reachability_unverified &= !verifies;
        if origin == StatusOrigin::Heartbeat {
            machine.last_heartbeat_at = Some(now);
            // What hears no answer for a lease begins a new incarnation.
            machine.clear_expired_suspicion(lease_ms + heartbeat_interval_ms, now);
        }
        Some(became_schedulable)
    }

    /// Takes in what a report says of a task on record.
    fn apply_task(
        &mut self,
        recorded: &BoundTask,
        report: &AgentStatus,
        origin: StatusOrigin,
        may_start: bool,
        effects: &mut StatusEffects,
        now: u64,
    ) {
        let (id, task) = (&recorded.job, recorded.task);
        let Some((_, placement)) = self.placement_of(recorded) else {
            return;
        };
        if overtakes_second_start(placement, report, origin) {
            return;
        }
        match self.observe_task(recorded, placement, report, origin) {
            TaskObservation::Present(TaskPhase::Exited(cause)) => {
                let timed_out = cause == ExitCause::GangTimeout;
                if timed_out && may_start && self.is_gang_forming(id, now) {
                    // The image of another took longer than it may wait. The
                    // answer clears it, then starts it anew: the attempt is
                    // the same, as the protocol has it for replacements.
                    self.restart_in_place(id, task);
                } else {
                    effects.freed_capacity = true;
                    self.on_exit(id, task, &report.machine, cause, now);
                }
            }
            TaskObservation::Present(phase) => self.update_phase(recorded, report, phase, now),
            TaskObservation::MayStillStart => {
                let direct = matches!(placement.delivery, Some(StartDelivery::Direct { .. }));
                effects.start_pending |= direct;
            }
            TaskObservation::ConfirmedAbsent => {
                // It is on record, so it may as well be started: also what
                // an earlier leader did not come to.
                let startable = placement.phase.is_none()
                    && placement.start_attempts < START_ATTEMPTS_MAX
                    && placement.stop.is_none();
                let cancelled = self.jobs.get(&**id).is_none_or(|job| job.cancelled);
                if startable
                    && may_start
                    && !cancelled
                    && self.has_capacity_for(recorded, &report.machine)
                {
                    self.restart_in_place(id, task);
                } else {
                    debug!("{} is not on {}", task_name(id, task), report.machine);
                    effects.freed_capacity = true;
                    self.remove_placement(id, task, now);
                }
            }
        }
    }

    fn observe_task(
        &self,
        recorded: &BoundTask,
        placement: &Placement,
        report: &AgentStatus,
        origin: StatusOrigin,
    ) -> TaskObservation {
        let reported = self.machines[&report.machine]
            .reported_tasks
            .iter()
            .find(|t| {
                t.task == recorded.task && t.attempt == recorded.attempt && *t.job == *recorded.job
            });
        match reported {
            Some(reported) => TaskObservation::Present(reported.phase),
            None if confirms_absence(placement, report, origin) => TaskObservation::ConfirmedAbsent,
            None => TaskObservation::MayStillStart,
        }
    }

    fn update_phase(
        &mut self,
        recorded: &BoundTask,
        report: &AgentStatus,
        phase: TaskPhase,
        now: u64,
    ) {
        let Some(job) = self.jobs.get_mut(&*recorded.job) else {
            return;
        };
        let spec = job.spec.clone();
        let Some(placement) = job.placement_mut(recorded.task) else {
            return;
        };
        let Some(machine) = self.machines.get_mut(&report.machine) else {
            return;
        };
        if phase == TaskPhase::Running && placement.running_since.is_none() {
            let name = task_name(&recorded.job, recorded.task);
            debug!("{name} runs on {}", report.machine);
            placement.running_since = Some(now);
            machine.view = None;
        }
        let was_fetching = placement
            .phase
            .is_none_or(|old| old == TaskPhase::PullingImage);
        placement.phase = Some(phase);
        if was_fetching && phase != TaskPhase::PullingImage {
            let mut types = self.machine_types.iter();
            let machine_type = types.find(|t| t.name == report.machine_type);
            machine.add_image(&spec.image, spec.image_gb, machine_type);
        }
    }

    /// Stops orphans and brings what follows from the machine's tasks up to date.
    fn complete_status(
        &mut self,
        name: &Arc<str>,
        start_pending: bool,
        became_schedulable: bool,
        now: u64,
    ) {
        let Some(machine) = self.machines.get_mut(&**name) else {
            return;
        };
        // What has no place on record must not be there.
        let stops: Vec<Command> = machine
            .orphans()
            .map(|t| wire::stop_command(task_name(&t.job, t.task), t.attempt, 0.0))
            .collect();
        if !start_pending {
            machine.direct_start_at = None;
        }
        machine.update_orphans();
        machine.update_idle(self.term.epoch, now);
        self.queue_commands(name.clone(), stops);
        if became_schedulable {
            self.retry_backed_off();
        }
    }

    /// Whether a place on record that is proven empty may still be used. Not if its
    /// task was stopped to make capacity, the capacity was given to another and that recorded,
    /// and the leader ended before it removed the first: then the machine's capacity or
    /// the team's limit is given out twice.
    fn has_capacity_for(&mut self, recorded: &BoundTask, machine: &str) -> bool {
        let machine = self.machines.get(machine);
        let (Some(machine), Some(job)) = (machine, self.jobs.get(&*recorded.job)) else {
            return false;
        };
        let spec = job.spec.clone();
        self.free_resources(machine).fits(Resources::default())
            && self.is_team_within_limit(&spec.team)
    }

    /// A task has exited, or was refused.
    fn on_exit(&mut self, id: &str, task: u32, machine: &str, cause: ExitCause, now: u64) {
        debug!("{id}/{task} on {machine} exited: {cause:?}");
        match cause {
            ExitCause::Done => self.on_task_done(id, task, machine),
            ExitCause::Error => self.on_task_error(id, task, machine, now),
            ExitCause::InsufficientCapacity | ExitCause::InUse | ExitCause::UnknownTask => {
                let unit_s = self.cluster.workers.report_s / 4.0;
                self.back_off_after_refusal(id, unit_s, f64::INFINITY, now);
            }
            ExitCause::GangTimeout => {
                self.back_off_after_refusal(id, 1.0, self.operator.backoff_max_s, now)
            }
            ExitCause::Stopped { .. } | ExitCause::GangMemberLost => {}
        }
        self.remove_placement(id, task, now);
    }

    fn on_task_done(&mut self, id: &str, task: u32, machine: &str) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        match job.spec.shape {
            // They complete together: if one is done, all are.
            Shape::Gang => job.done.fill(job.spec.tasks),
            Shape::Array => job.done.insert(task),
            Shape::Service => {}
        }
        job.failures = 0;
        if let Some(machine) = self.machines.get_mut(machine) {
            machine.failed_jobs.clear();
        }
    }

    /// What has failed on several machines, on which nothing else has, and has never run
    /// is itself to blame: it rests, and machines are not blamed for it. Many tasks that
    /// fail together count once.
    fn on_task_error(&mut self, id: &str, task: u32, name: &str, now: u64) {
        let report_s = self.cluster.workers.report_s;
        let lease_s = self.cluster.workers.lease_s;
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let has_run = has_shown_that_it_runs(job, to_ms(report_s), now);
        job.avoided_machines.insert(name.into());
        let is_first = job.avoided_machines.len() == 1;
        let machine = self.machines.get_mut(name);
        let machine_at_fault = machine.is_some_and(|machine| {
            machine.failed_jobs.insert(job.id.clone());
            let at_fault = is_first || has_run || machine.failed_jobs.len() > 1;
            if at_fault && machine.termination_reason.is_none() {
                warn!("{name} failed {id}/{task}: it is drained and returned");
                machine.termination_reason = Some(TerminationReason::TaskFailed);
                machine.view = None;
            }
            at_fault
        });
        if !machine_at_fault && now >= job.retry_after {
            job.failures += 1;
            let doublings = (job.failures - 1).min(FAILURE_DOUBLINGS_MAX);
            let rest_s = report_s * f64::from(1u32 << doublings);
            job.retry_after = now + to_ms(rest_s.min(lease_s));
        }
    }

    /// A job rests after a refusal, twice as long each time.
    fn back_off_after_refusal(&mut self, id: &str, unit_s: f64, max_s: f64, now: u64) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.failures += 1;
        let doublings = job.failures.min(REFUSED_DOUBLINGS_MAX);
        let rest_s = (unit_s * f64::from(1u32 << doublings)).min(max_s);
        job.retry_after = now + to_ms(rest_s);
    }
}

/// A second start has the attempt of the first: a report that overtook the answer which
/// carries it tells of the first one's end.
fn overtakes_second_start(
    placement: &Placement,
    report: &AgentStatus,
    origin: StatusOrigin,
) -> bool {
    let Some(StartDelivery::Answer {
        incarnation,
        serial,
    }) = placement.delivery
    else {
        return false;
    };
    let is_later_heartbeat = origin == StatusOrigin::Heartbeat && report.serial > serial;
    placement.restarts_in_place && report.incarnation == incarnation && !is_later_heartbeat
}

/// Whether a report that lacks a task proves that its place is empty.
fn confirms_absence(placement: &Placement, report: &AgentStatus, origin: StatusOrigin) -> bool {
    if placement.phase.is_some() {
        return true;
    }
    match (placement.change, placement.delivery) {
        // An earlier leader's start can't be taken any more once the agent
        // has seen this epoch.
        (0, None) => !placement.restarts_in_place,
        (_, None) => false,
        // A start travels in the answer to a heartbeat, and the next heartbeat
        // comes after it was taken or dropped. Other bodies may overtake the
        // answer.
        (
            _,
            Some(StartDelivery::Answer {
                incarnation,
                serial,
            }),
        ) => {
            let later = (report.incarnation, report.serial) > (incarnation, serial);
            origin == StatusOrigin::Heartbeat && later
        }
        // One that went straight to the agent may lie in the network until
        // the incarnation is over.
        (_, Some(StartDelivery::Direct { incarnation, .. })) => report.incarnation > incarnation,
    }
}

/// Whether a job has completed a task, or run for a heartbeat interval.
fn has_shown_that_it_runs(job: &Job, heartbeat_interval_ms: u64, now: u64) -> bool {
    let long_ago = |since: u64| now > since + heartbeat_interval_ms;
    let ran = |p: &Placement| p.running_since.is_some_and(long_ago);
    !job.done.is_empty() || job.placements.iter().any(ran)
}
