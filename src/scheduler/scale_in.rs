//! Which machines are terminated, and why.

use std::collections::HashSet;
use std::sync::Arc;

use tracing::info;

use super::placement::StartDelivery;
use super::{to_ms, Effect, Scheduler};
use crate::machine::{CloudStatus, Machine, TerminationClass, TerminationReason};

/// Heartbeats in a row that show no effect of the answers, after which a machine counts as
/// unreachable.
const INEFFECTIVE_ANSWERS_MAX: u32 = 2;
/// Leases after which a silent machine is terminated in any case.
const EXPIRED_LEASES: f64 = 2.0;
/// Heartbeat intervals after which a machine that is not listed any more counts as silent.
const UNLISTED_INTERVALS: f64 = 2.5;
/// Boot times after which a machine is not expected to come up any more.
const NEVER_BOOTED_BOOTS: f64 = 3.5;
/// The boot time of a machine whose type is not known.
const BOOT_DEFAULT_S: f64 = 60.0;
/// A deletion that was not confirmed is sent again after this time.
pub(super) const TERMINATION_RETRY_MS: u64 = 4000;
/// At most how many machines one deletion names.
const TERMINATION_BATCH_MAX: usize = 100;

/// What holds for all machines during a review.
struct TerminationReview {
    now: u64,
    /// After this silence machines count as lost.
    lost_after_ms: u64,
    /// It is probably this controller that is cut off.
    is_partitioned: bool,
    /// Machines that are held ready as standby capacity.
    standby_machines: HashSet<Arc<str>>,
}

/// A machine that is to be terminated.
struct DueTermination {
    machine: Arc<str>,
    reason: TerminationReason,
}

impl Scheduler {
    /// Whether machines were terminated in this term because they could not be reached.
    pub fn has_terminated_unreachable(&self) -> bool {
        self.terminations.has_terminated_unreachable()
    }

    /// Terminates machines that have no more use: they are gone, silent, unreachable, drained
    /// or idle.
    pub(super) fn terminate_machines(&mut self, now: u64) {
        let is_partitioned = self.is_partitioned(now);
        self.drain_recorded_terminations();
        for machine in self.machines.values_mut() {
            machine.update_idle(self.term.epoch, now);
        }
        let review = TerminationReview {
            now,
            lost_after_ms: self.lost_after_ms(now),
            is_partitioned,
            standby_machines: self.standby_capacity(now).machines,
        };
        let mut terminations = Vec::new();
        for due in self.due_terminations(&review) {
            if self.begin_termination(&due, now) {
                terminations.push(due.machine.to_string());
            }
        }
        for batch in terminations.chunks(TERMINATION_BATCH_MAX) {
            self.effects.push(Effect::Terminate {
                machines: batch.to_vec(),
            });
        }
    }

    fn due_terminations(&self, review: &TerminationReview) -> Vec<DueTermination> {
        let machines = self.machines.values();
        let due = machines.filter_map(|machine| {
            let reason = self.find_termination_reason(machine, review)?;
            Some(DueTermination {
                machine: machine.name.clone(),
                reason,
            })
        });
        due.collect()
    }

    /// The termination of machines is recorded: they get no more tasks, under this leader and
    /// the next ones.
    pub fn on_termination_recorded(&mut self, machines: &[String]) {
        self.terminations.record(machines);
        self.drain_recorded_terminations();
    }

    fn drain_recorded_terminations(&mut self) {
        for name in self.terminations.recorded() {
            if let Some(machine) = self.machines.get_mut(name) {
                if machine.termination_reason.is_none() {
                    machine.termination_reason = Some(TerminationReason::OnRecord);
                    self.needs_planning = true;
                }
            }
        }
    }

    /// The termination of machines was rejected: those that were idle may get tasks again.
    pub fn on_termination_rejected(&mut self, machines: &[String]) {
        for name in machines {
            self.terminations.reject(name);
            let Some(machine) = self.machines.get_mut(name) else {
                continue;
            };
            let class = machine.termination_reason.map(TerminationReason::group);
            if class == Some(TerminationClass::Idle) {
                machine.termination_reason = None;
                machine.termination_sent_at = None;
                machine.next_termination_at = 0;
                machine.idle_since = None;
                machine.view = None;
                self.needs_planning = true;
            }
        }
    }

    /// Why a machine is to be terminated, if it is.
    fn find_termination_reason(
        &self,
        machine: &Machine,
        review: &TerminationReview,
    ) -> Option<TerminationReason> {
        let silent_ms = self.silent_ms(machine, review.now);
        let not_listed_ms = to_ms(self.cluster.workers.report_s * UNLISTED_INTERVALS);
        if machine.cloud_status == CloudStatus::Failed {
            return Some(TerminationReason::Failed);
        }
        if self.is_interrupted(machine, review.now) {
            return Some(TerminationReason::SpotInterruption);
        }
        if machine.cloud_status == CloudStatus::Gone && silent_ms > not_listed_ms {
            return Some(TerminationReason::NotListed);
        }
        let is_drained = !machine.is_occupied() && !self.has_unrecorded_result(machine);
        if machine.termination_reason.is_some() && is_drained {
            return machine.termination_reason;
        }
        if machine.is_up() {
            return self.find_reason_while_up(machine, review, silent_ms);
        }
        if machine.cloud_status == CloudStatus::NotListed && machine.machine_type.is_empty() {
            // Only a record names it: it was not seen since this leader began.
            let is_unknown =
                self.has_machine_list && silent_ms > review.lost_after_ms && !review.is_partitioned;
            return is_unknown.then_some(TerminationReason::Unknown);
        }
        let boot_ms = to_ms(self.boot_s_of(machine) * NEVER_BOOTED_BOOTS);
        (review.now > machine.known_since + boot_ms).then_some(TerminationReason::NeverBooted)
    }

    fn is_interrupted(&self, machine: &Machine, now: u64) -> bool {
        let margin_ms = to_ms(self.cluster.workers.gang_peer_s) / 2;
        machine.interruption_deadline.is_some_and(|at| {
            let is_silent_since = machine.last_status_at.is_none_or(|heard| heard < at);
            now > at + margin_ms && is_silent_since
        })
    }

    fn find_reason_while_up(
        &self,
        machine: &Machine,
        review: &TerminationReview,
        silent_ms: u64,
    ) -> Option<TerminationReason> {
        // After that no task is left on it, whichever side was cut off. And of an empty one
        // nothing is lost even if the fault is ours.
        let expired_ms = to_ms(self.cluster.workers.lease_s * EXPIRED_LEASES);
        let has_nothing_to_lose = !machine.is_occupied() || silent_ms > expired_ms;
        if silent_ms > review.lost_after_ms && (!review.is_partitioned || has_nothing_to_lose) {
            return Some(TerminationReason::Silent);
        }
        let is_unreachable = machine.ineffective_answers >= INEFFECTIVE_ANSWERS_MAX
            || self.has_lost_start(machine, review.now);
        if is_unreachable && !review.is_partitioned {
            return Some(TerminationReason::Unreachable);
        }
        let is_idle = self.is_idle_for_long(machine, review.now)
            && !review.standby_machines.contains(&machine.name)
            && !self.has_unrecorded_result(machine);
        is_idle.then_some(TerminationReason::Idle)
    }

    fn is_idle_for_long(&self, machine: &Machine, now: u64) -> bool {
        let idle_boots = if machine.spot {
            self.operator.idle_boots_spot
        } else {
            self.operator.idle_boots
        };
        let idle_ms = to_ms(idle_boots * self.boot_s_of(machine));
        let peer_ms = to_ms(self.cluster.workers.gang_peer_s);
        machine
            .idle_since
            .is_some_and(|since| now > since + idle_ms)
            && (machine.needed_at == 0 || now > machine.needed_at + peer_ms)
            && machine.last_status_at.is_some()
    }

    fn boot_s_of(&self, machine: &Machine) -> f64 {
        let machine_type = self.catalog.machine_type(&machine.machine_type);
        machine_type.map_or(BOOT_DEFAULT_S, |machine_type| machine_type.boot_s)
    }

    /// Whether the outcome of a direct start has been unknown for longer than the machine's
    /// next heartbeats took.
    fn has_lost_start(&self, machine: &Machine, now: u64) -> bool {
        if machine.direct_start_at.is_none() {
            return false;
        }
        let wait_ms = self.silence_tolerance_ms();
        machine.bound_tasks.iter().any(|task| {
            self.placement_of(task).is_some_and(|(_, placement)| {
                let sent_at = match placement.delivery {
                    Some(StartDelivery::Direct { at, .. }) => at,
                    _ => return false,
                };
                placement.phase.is_none() && now > sent_at + wait_ms
            })
        })
    }

    /// Drains a machine from now on. Returns whether its deletion is to be sent.
    fn begin_termination(&mut self, due: &DueTermination, now: u64) -> bool {
        let reason = due.reason;
        let Some(machine) = self.machines.get_mut(&*due.machine) else {
            return false;
        };
        if machine.termination_reason.is_none() {
            self.needs_planning = true;
        }
        // One that was being drained and is lost meanwhile need not be empty any more.
        if machine.termination_reason.is_none() || reason.group() == TerminationClass::Lost {
            machine.termination_reason = Some(reason);
        }
        if now < machine.next_termination_at {
            return false;
        }
        machine.next_termination_at = now + TERMINATION_RETRY_MS;
        if machine.termination_sent_at.is_none() {
            info!(machine = %due.machine, %reason, "terminating machine");
            let is_unreachable = matches!(
                reason,
                TerminationReason::Silent | TerminationReason::Unreachable
            );
            if is_unreachable {
                self.terminations.note_unreachable();
            }
        }
        machine.termination_sent_at = Some(now);
        true
    }

    /// The rate limit for calls to the cloud does not allow a deletion yet. It is requested
    /// again as soon as a call may be made, not only when an answer would be overdue: after the
    /// loss of a third of the fleet there are many calls.
    pub fn on_termination_postponed(&mut self, machines: &[String], now: u64) {
        let retry_at = now + to_ms(1.0 / self.cluster.cloud.rps);
        for name in machines {
            if let Some(machine) = self.machines.get_mut(name) {
                machine.next_termination_at = retry_at;
            }
        }
    }
}
