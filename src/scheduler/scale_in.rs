//! Which machines are terminated, and why.

use std::collections::HashSet;
use std::sync::Arc;

use tracing::info;

use super::job_state::StartDelivery;
use super::reconcile::Reachability;
use super::{to_ms, Effect, Scheduler};
use crate::machine::{CloudStatus, Machine, TerminationClass, TerminationReason};

/// Heartbeats in a row that show no effect of the answers, after which a machine counts as
/// out of reach.
const INEFFECTIVE_ANSWERS_MAX: u32 = 2;
/// Of the silent machines, one in so many that others redirected lately shows that the
/// silence is ours.
const REDIRECTED_FRACTION: usize = 4;
/// Fewer machines that should report say nothing about who is cut off.
const PARTITION_MACHINES_MIN: usize = 3;
/// Leases after which a silent machine is returned in any case.
const EXPIRED_LEASES: f64 = 2.0;
/// AgentStatus intervals after which a machine that is not listed any more counts as silent.
const UNLISTED_INTERVALS: f64 = 2.5;
/// Boot times after which a machine is not expected to come up any more.
const NEVER_BOOTED_BOOTS: f64 = 3.5;
/// The boot time of a machine whose type is not known.
const BOOT_DEFAULT_S: f64 = 60.0;
/// A deletion that was not confirmed is sent again after this time.
pub(super) const TERMINATION_RETRY_MS: u64 = 4000;
/// Most machines of one deletion.
const TERMINATION_BATCH_MAX: usize = 100;

/// What holds for all machines as they are reviewed.
struct TerminationContext {
    /// After this silence machines count as lost.
    lost_after_ms: u64,
    /// This controller is rather cut off itself.
    is_partitioned: bool,
    /// Machines in the reserve.
    standby_capacity: HashSet<Arc<str>>,
}

impl Scheduler {
    /// So many machines are silent at once that it is rather this controller that is cut
    /// off: surely if they came to others, and not if some are still heard, or if the
    /// others hear nothing, either. Then they are gone, or a zone of them is, and nobody
    /// waits for them.
    fn is_partitioned(&self, now: u64) -> bool {
        let Reachability { silent, up } = self.reachability(now);
        if up < PARTITION_MACHINES_MIN || silent * 2 <= up {
            return false;
        }
        // Of many, one reports at any time.
        let half_interval_ms = to_ms(self.cluster.workers.report_s / 2.0);
        let heard = now < self.last_status_at + half_interval_ms;
        self.redirected_elsewhere
            .map_or(!heard, |n| n as usize * REDIRECTED_FRACTION >= silent)
    }

    /// Whether machines that can't be reached were returned in this term.
    pub fn has_terminated_unreachable(&self) -> bool {
        self.has_terminated_unreachable
    }

    /// Returns what is of no use any more: machines that are gone, silent, out of reach,
    /// drained or idle.
    pub(super) fn terminate_machines(&mut self, now: u64) {
        let is_partitioned = self.is_partitioned(now);
        self.drain_recorded_terminations();
        for machine in self.machines.values_mut() {
            machine.update_idle(self.term.epoch, now);
        }
        let context = TerminationContext {
            lost_after_ms: self.lost_after_ms(now),
            is_partitioned,
            standby_capacity: self.standby_capacity(now).machines,
        };
        let machines = self.machines.values();
        let due: Vec<(Arc<str>, TerminationReason)> = machines
            .filter_map(|machine| {
                let reason = self.find_termination_reason(machine, &context, now)?;
                Some((machine.name.clone(), reason))
            })
            .collect();
        let mut terminations = Vec::new();
        for (name, reason) in due {
            if self.begin_termination(&name, reason, now) {
                terminations.push(name.to_string());
            }
        }
        for part in terminations.chunks(TERMINATION_BATCH_MAX) {
            self.effects.push(Effect::Terminate {
                machines: part.to_vec(),
            });
        }
    }

    /// Machines are on record to be returned: they get no work from here on, under this
    /// leader and those after it.
    pub fn on_termination_recorded(&mut self, machines: &[String]) {
        self.recorded_terminations.extend(machines.iter().cloned());
        self.drain_recorded_terminations();
    }

    fn drain_recorded_terminations(&mut self) {
        for name in &self.recorded_terminations {
            if let Some(machine) = self.machines.get_mut(name) {
                if machine.termination_reason.is_none() {
                    machine.termination_reason = Some(TerminationReason::OnRecord);
                    self.needs_planning = true;
                }
            }
        }
    }

    /// Machines are not returned after all: those that were idle may have work again.
    pub fn on_termination_rejected(&mut self, machines: &[String]) {
        for name in machines {
            self.recorded_terminations.remove(name);
            let Some(machine) = self.machines.get_mut(name) else {
                continue;
            };
            let group = machine.termination_reason.map(TerminationReason::group);
            if group == Some(TerminationClass::Idle) {
                machine.termination_reason = None;
                machine.termination_sent_at = None;
                machine.next_termination_at = 0;
                machine.idle_since = None;
                machine.view = None;
                self.needs_planning = true;
            }
        }
    }

    /// After this silence machines count as lost. A leader that does not keep up gives
    /// them their whole lease.
    fn lost_after_ms(&self, now: u64) -> u64 {
        let mut share = self.operator.lost_lease_share;
        if self.is_lagging(now) {
            share = share.max(1.0);
        }
        to_ms(self.cluster.workers.lease_s * share)
    }

    /// Why a machine is to be returned, if it is.
    fn find_termination_reason(
        &self,
        machine: &Machine,
        context: &TerminationContext,
        now: u64,
    ) -> Option<TerminationReason> {
        let silent_ms = self.silent_ms(machine, now);
        let not_listed_ms = to_ms(self.cluster.workers.report_s * UNLISTED_INTERVALS);
        if machine.cloud_status == CloudStatus::Failed {
            return Some(TerminationReason::Failed);
        }
        if self.is_interrupted(machine, now) {
            return Some(TerminationReason::SpotInterruption);
        }
        if machine.cloud_status == CloudStatus::Gone && silent_ms > not_listed_ms {
            return Some(TerminationReason::NotListed);
        }
        let drained = !machine.is_occupied() && !self.has_unrecorded_result(machine);
        if machine.termination_reason.is_some() && drained {
            return machine.termination_reason;
        }
        if machine.is_up() {
            return self.find_reason_while_up(machine, context, silent_ms, now);
        }
        if machine.cloud_status == CloudStatus::NotListed && machine.machine_type.is_empty() {
            // On record only: nobody has seen it since this leader began.
            let unknown = self.has_machine_list
                && silent_ms > context.lost_after_ms
                && !context.is_partitioned;
            return unknown.then_some(TerminationReason::Unknown);
        }
        let boot_ms = to_ms(self.boot_s_of(machine) * NEVER_BOOTED_BOOTS);
        (now > machine.known_since + boot_ms).then_some(TerminationReason::NeverBooted)
    }

    fn is_interrupted(&self, machine: &Machine, now: u64) -> bool {
        let margin_ms = to_ms(self.cluster.workers.gang_peer_s) / 2;
        machine.interruption_deadline.is_some_and(|at| {
            let silent_since = machine.last_status_at.is_none_or(|heard| heard < at);
            now > at + margin_ms && silent_since
        })
    }

    fn find_reason_while_up(
        &self,
        machine: &Machine,
        context: &TerminationContext,
        silent_ms: u64,
        now: u64,
    ) -> Option<TerminationReason> {
        // By then nothing is left to save on it, whoever was cut off. And of an empty one
        // nothing is lost even if it is our fault.
        let expired_ms = to_ms(self.cluster.workers.lease_s * EXPIRED_LEASES);
        let nothing_to_lose = !machine.is_occupied() || silent_ms > expired_ms;
        if silent_ms > context.lost_after_ms && (!context.is_partitioned || nothing_to_lose) {
            return Some(TerminationReason::Silent);
        }
        let unreachable = machine.ineffective_answers >= INEFFECTIVE_ANSWERS_MAX
            || self.has_lost_start(machine, now);
        if unreachable && !context.is_partitioned {
            return Some(TerminationReason::Unreachable);
        }
        let idle = self.is_idle_for_long(machine, now)
            && !context.standby_capacity.contains(&machine.name)
            && !self.has_unrecorded_result(machine);
        idle.then_some(TerminationReason::Idle)
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
        let machine_type = self.machine_type(&machine.machine_type);
        machine_type.map_or(BOOT_DEFAULT_S, |t| t.boot_s)
    }

    /// Whether nothing was heard of a start that went straight to a machine, for longer
    /// than its next heartbeats took.
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

    /// Drains a machine from now on. True if its deletion is to be sent.
    fn begin_termination(&mut self, name: &str, reason: TerminationReason, now: u64) -> bool {
        let Some(machine) = self.machines.get_mut(name) else {
            return false;
        };
        if machine.termination_reason.is_none() {
            self.needs_planning = true;
        }
        // One that was drained and is lost meanwhile is not waited for any more.
        if machine.termination_reason.is_none() || reason.group() == TerminationClass::Lost {
            machine.termination_reason = Some(reason);
        }
        if now < machine.next_termination_at {
            return false;
        }
        machine.next_termination_at = now + TERMINATION_RETRY_MS;
        if machine.termination_sent_at.is_none() {
            info!("returning {name}: {reason}");
            self.has_terminated_unreachable |= matches!(
                reason,
                TerminationReason::Silent | TerminationReason::Unreachable
            );
        }
        machine.termination_sent_at = Some(now);
        true
    }

    /// The limit of calls to the cloud has no capacity for a deletion yet. It is asked for again
    /// as soon as a call may be made, not only when an answer would be overdue: after the
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
