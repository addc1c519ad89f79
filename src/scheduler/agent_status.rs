//! Applies agent statuses to the machines and to the tasks that are bound to them.

use std::collections::BTreeMap;

use tracing::debug;

use super::placement::{StartDelivery, TaskKey};
use super::task_observation::{ReceivedStatus, TaskObservation};
use super::{to_ms, Scheduler};
use crate::job::task_name;
use crate::machine::{
    BoundTask, ExitCause, Machine, ReachabilityCheck, TaskPhase, TerminationReason,
};
use crate::plan::Resources;
use crate::wire::{self, AgentStatus, Command};

/// Maximum number of times that the start of a committed placement is sent; if it still has no
/// effect, the placement is removed.
const START_ATTEMPTS_MAX: u32 = 3;

/// How a status was received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StatusOrigin {
    /// In a heartbeat, which the agent sends periodically on its own.
    Heartbeat,
    /// In the response to a direct request.
    DirectResponse,
}

/// Whether a status shows that its machine has newly free capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FreedCapacity {
    /// The machine has, and pending tasks could use it: their starts may be committed soon.
    UsableByPendingTasks,
    /// The machine has none, or no pending task could use it.
    Unused,
}

/// Whether a status made its machine available for new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Schedulability {
    Unchanged,
    BecameSchedulable,
}

/// The combined effects of applying a status to all tasks that are bound to its machine.
struct StatusEffects {
    /// Tasks may be started on the machine.
    may_start: bool,
    /// Capacity became free.
    freed_capacity: bool,
    /// A direct start may still be in flight.
    start_pending: bool,
}

impl Scheduler {
    /// Applies an agent's status. If it frees capacity that pending tasks could use, the caller
    /// may briefly delay the response to the heartbeat, so that this response carries their
    /// starts instead of the next one, a heartbeat interval later.
    pub fn on_agent_status(
        &mut self,
        status: &AgentStatus,
        origin: StatusOrigin,
        now: u64,
    ) -> FreedCapacity {
        if self.terminations.is_confirmed(&status.machine) {
            // The machine is permanently deleted: this status was delayed in the network.
            return FreedCapacity::Unused;
        }
        let received = ReceivedStatus {
            status,
            origin,
            now,
        };
        let Some(schedulability) = self.apply_status(received) else {
            return FreedCapacity::Unused;
        };
        let Some(effects) = self.apply_tasks(received, schedulability) else {
            return FreedCapacity::Unused;
        };
        self.complete_status(&status.machine, effects.start_pending, now);
        if schedulability == Schedulability::BecameSchedulable {
            self.retry_backed_off_jobs();
        }
        if effects.freed_capacity && effects.may_start && self.has_pending_jobs {
            FreedCapacity::UsableByPendingTasks
        } else {
            FreedCapacity::Unused
        }
    }

    /// Applies a status to the machine's state. `None` if the status is not newer than the
    /// last one.
    fn apply_status(&mut self, received: ReceivedStatus) -> Option<Schedulability> {
        let ReceivedStatus {
            status,
            origin,
            now,
        } = received;
        let is_lagging = self.is_lagging(now);
        let machine = find_or_add_machine(&mut self.machines, status, now);
        let had_orphans = machine.orphans().next().is_some();
        let was_heard = machine.last_status_at.is_some();
        let (old_epoch, old_incarnation) = (machine.epoch, machine.incarnation);
        if !machine.apply_status(status, now) {
            return None;
        }
        if had_orphans || machine.orphans().next().is_some() {
            self.quota_cache.invalidate();
        }
        self.partition.on_status(now);
        if machine.termination_sent_at.is_some() && machine.termination_reason.is_none() {
            machine.termination_reason = Some(TerminationReason::StillReporting);
        }
        let was_verified = match origin {
            StatusOrigin::DirectResponse => machine.mark_reachable(),
            StatusOrigin::Heartbeat => {
                machine.check_reachability(&ReachabilityCheck {
                    status,
                    is_new_incarnation: was_heard && machine.incarnation > old_incarnation,
                    is_lagging,
                    lease_ms: to_ms(self.cluster.workers.lease_s),
                    heartbeat_interval_ms: to_ms(self.cluster.workers.report_s),
                    now,
                });
                false
            }
        };
        let became_schedulable = !was_heard || old_epoch != machine.epoch || was_verified;
        Some(if became_schedulable {
            Schedulability::BecameSchedulable
        } else {
            Schedulability::Unchanged
        })
    }

    /// Applies what a status shows of the tasks that are bound to its machine. `None` if the
    /// machine is unknown.
    fn apply_tasks(
        &mut self,
        received: ReceivedStatus,
        schedulability: Schedulability,
    ) -> Option<StatusEffects> {
        let status = received.status;
        let machine = self.machines.get(&status.machine)?;
        let has_current_epoch = status.epoch >= self.term.epoch;
        let mut effects = StatusEffects {
            may_start: machine.is_in_service() && has_current_epoch,
            freed_capacity: is_newly_free(machine, received, schedulability),
            start_pending: false,
        };
        // A status with an older epoch may be a copy from before an earlier leader cleared a
        // task and started it again with the same attempt number, or may come from an
        // incarnation that has ended: it is no evidence about the state of tasks.
        if has_current_epoch {
            for bound_task in machine.bound_tasks.clone() {
                self.apply_task(&bound_task, received, &mut effects);
            }
        }
        Some(effects)
    }

    /// Applies what a status shows of one bound task.
    fn apply_task(
        &mut self,
        bound_task: &BoundTask,
        received: ReceivedStatus,
        effects: &mut StatusEffects,
    ) {
        let Some((_, placement)) = self.placement_of(bound_task) else {
            return;
        };
        let machine = &self.machines[&received.status.machine];
        let reported = machine.reported_task(bound_task);
        match TaskObservation::new(placement, reported, received) {
            TaskObservation::Outdated => {}
            TaskObservation::Present(TaskPhase::Exited(cause)) => {
                self.apply_exit(bound_task, cause, received, effects);
            }
            TaskObservation::Present(phase) => self.update_phase(bound_task, received, phase),
            TaskObservation::MayStillStart => {
                let is_direct = matches!(placement.delivery, Some(StartDelivery::Direct { .. }));
                effects.start_pending |= is_direct;
            }
            TaskObservation::ConfirmedAbsent => {
                self.apply_absence(bound_task, received, effects);
            }
        }
    }

    /// Handles a bound task that has exited, or whose start the agent refused.
    fn apply_exit(
        &mut self,
        bound_task: &BoundTask,
        cause: ExitCause,
        received: ReceivedStatus,
        effects: &mut StatusEffects,
    ) {
        let task = TaskKey::new(&bound_task.job, bound_task.task);
        let timed_out = cause == ExitCause::GangTimeout;
        if timed_out && effects.may_start && self.is_gang_forming(&task.job, received.now) {
            // Pulling the image of another gang member took longer than this task may wait. The
            // response clears this task, then starts it again: with the same attempt number, as
            // the protocol requires for replacements.
            self.restart_in_place(&task);
            return;
        }
        effects.freed_capacity = true;
        self.on_exit(&task, &received.status.machine, cause, received.now);
    }

    /// Handles a bound task that is absent from its machine, with no start in flight. Its
    /// placement is committed, so the task is started if that is still possible; this includes
    /// starts that an earlier leader had not sent.
    fn apply_absence(
        &mut self,
        bound_task: &BoundTask,
        received: ReceivedStatus,
        effects: &mut StatusEffects,
    ) {
        let Some((job, placement)) = self.placement_of(bound_task) else {
            return;
        };
        let is_startable = !job.cancelled
            && placement.phase.is_none()
            && placement.start_attempts < START_ATTEMPTS_MAX
            && placement.stop.is_none();
        let machine = &received.status.machine;
        let task = TaskKey::new(&bound_task.job, bound_task.task);
        if is_startable && effects.may_start && self.has_capacity_for(bound_task, machine) {
            self.restart_in_place(&task);
            return;
        }
        debug!(%task, machine, "bound task is not on its machine; removing its placement");
        effects.freed_capacity = true;
        self.remove_placement(&task, received.now);
    }

    /// Whether an absent task may still use the capacity that it is bound to. It may not if an
    /// earlier leader stopped the task to free capacity, committed the placement of another task
    /// in this capacity, and lost leadership before it removed the first placement: the
    /// machine's capacity or the team's quota is then allocated twice.
    fn has_capacity_for(&mut self, bound_task: &BoundTask, machine: &str) -> bool {
        let machine = self.machines.get(machine);
        let (Some(machine), Some(job)) = (machine, self.jobs.get(&*bound_task.job)) else {
            return false;
        };
        let spec = job.spec.clone();
        self.free_resources(machine).fits(Resources::default())
            && self.is_team_within_limit(&spec.team)
    }

    /// Records the phase of a bound task that its agent reports.
    fn update_phase(&mut self, bound_task: &BoundTask, received: ReceivedStatus, phase: TaskPhase) {
        let status = received.status;
        let Some(job) = self.jobs.get_mut(&*bound_task.job) else {
            return;
        };
        let spec = job.spec.clone();
        let Some(placement) = job.placement_mut(bound_task.task) else {
            return;
        };
        let Some(machine) = self.machines.get_mut(&status.machine) else {
            return;
        };
        if phase == TaskPhase::Running && placement.running_since.is_none() {
            let task = task_name(&bound_task.job, bound_task.task);
            debug!(task, machine = status.machine, "task is running");
            placement.running_since = Some(received.now);
            machine.cached_view = None;
        }
        let was_fetching = placement
            .phase
            .is_none_or(|old| old == TaskPhase::PullingImage);
        placement.phase = Some(phase);
        if was_fetching && phase != TaskPhase::PullingImage {
            let machine_type = self.catalog.machine_type(&status.machine_type);
            machine.add_image(&spec.image, spec.image_gb, machine_type);
        }
    }

    /// Stops orphans, and updates the machine's orphans, idle time and direct start.
    fn complete_status(&mut self, name: &str, start_pending: bool, now: u64) {
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        let stops: Vec<Command> = machine
            .orphans()
            .map(|orphan| {
                let task = task_name(&orphan.job, orphan.task);
                wire::stop_command(task, orphan.attempt, 0.0)
            })
            .collect();
        if !start_pending {
            machine.unconfirmed_direct_start_at = None;
        }
        machine.update_orphan_flag();
        machine.update_idle(self.term.epoch, now);
        self.direct_commands.extend(machine.name.clone(), stops);
    }
}

/// The machine that sent a status; it is added if it was unknown.
fn find_or_add_machine<'a>(
    machines: &'a mut BTreeMap<String, Machine>,
    status: &AgentStatus,
    now: u64,
) -> &'a mut Machine {
    machines.entry(status.machine.clone()).or_insert_with(|| {
        let (machine_type, zone) = (&status.machine_type, &status.zone);
        Machine::new(&status.machine, now).with_kind(machine_type, zone, status.spot)
    })
}

/// Whether the machine has no tasks, and has just become idle or schedulable.
fn is_newly_free(
    machine: &Machine,
    received: ReceivedStatus,
    schedulability: Schedulability,
) -> bool {
    !machine.is_occupied()
        && (schedulability == Schedulability::BecameSchedulable
            || machine.idle_since == Some(received.now)
            || received.status.tasks.is_empty())
}
