//! Decides whether and why a machine has to be terminated. The decision has no side effects.

use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;

use super::machine_catalog::MachineCatalog;
use super::placement::StartDelivery;
use super::{to_ms, Job};
use crate::machine::{BoundTask, CloudStatus, ExitCause, Machine, TaskPhase, TerminationReason};
use crate::settings::{AgentTimings, OperatorSettings};

/// Consecutive heartbeats showing that the responses had no effect, after which a machine counts
/// as unreachable.
const INEFFECTIVE_RESPONSES_MAX: u32 = 2;
/// Agent leases after which a silent machine is terminated even during a network partition.
const SILENT_LEASE_MULTIPLIER: f64 = 2.0;
/// Heartbeat intervals of silence after which a machine that is no longer listed is terminated.
const UNLISTED_HEARTBEAT_INTERVALS: f64 = 2.5;
/// Boot times after which a machine that has not booted is terminated.
const BOOT_TIMEOUT_MULTIPLIER: f64 = 3.5;
/// The boot time assumed for a machine whose type is missing in the catalog.
const DEFAULT_BOOT_S: f64 = 60.0;

/// The state on which a review of all machines is based.
pub(super) struct TerminationReview<'a> {
    pub jobs: &'a BTreeMap<String, Job>,
    pub catalog: &'a MachineCatalog,
    pub agents: &'a AgentTimings,
    pub operator: &'a OperatorSettings,
    /// The cloud's machine list has been read in this term.
    pub has_machine_list: bool,
    /// When the term began.
    pub began_at: u64,
    /// How long a machine may be silent and still get new tasks.
    pub silence_tolerance_ms: u64,
    /// How long a machine may be silent before it counts as lost.
    pub lost_after_ms: u64,
    /// This controller is probably cut off by the network.
    pub is_partitioned: bool,
    /// Machines that are kept as standby capacity.
    pub standby_machines: HashSet<Arc<str>>,
    pub now: u64,
}

impl TerminationReview<'_> {
    /// Why a machine has to be terminated; `None` if it is kept.
    pub(super) fn find_reason(&self, machine: &Machine) -> Option<TerminationReason> {
        let silent_ms = machine.silent_ms(self.began_at, self.now);
        let unlisted_ms = to_ms(self.agents.report_s * UNLISTED_HEARTBEAT_INTERVALS);
        if machine.cloud_status == CloudStatus::Failed {
            return Some(TerminationReason::Failed);
        }
        if self.is_interrupted(machine) {
            return Some(TerminationReason::SpotInterruption);
        }
        if machine.cloud_status == CloudStatus::NoLongerListed && silent_ms > unlisted_ms {
            return Some(TerminationReason::NoLongerListed);
        }
        let is_drained = !machine.is_occupied() && !self.has_uncommitted_result(machine);
        if machine.termination_reason.is_some() && is_drained {
            return machine.termination_reason;
        }
        if machine.has_booted() {
            return self.termination_reason_after_boot(machine, silent_ms);
        }
        if machine.cloud_status == CloudStatus::NotYetListed && machine.machine_type.is_empty() {
            // Only a job record names the machine; it has not been seen in this term.
            let is_unknown =
                self.has_machine_list && silent_ms > self.lost_after_ms && !self.is_partitioned;
            return is_unknown.then_some(TerminationReason::NeverSeen);
        }
        let boot_ms = to_ms(self.boot_s_of(machine) * BOOT_TIMEOUT_MULTIPLIER);
        (self.now > machine.first_seen_at + boot_ms).then_some(TerminationReason::NeverBooted)
    }

    fn is_interrupted(&self, machine: &Machine) -> bool {
        let margin_ms = to_ms(self.agents.gang_peer_s) / 2;
        machine.interruption_deadline.is_some_and(|at| {
            let is_silent_since = machine.last_status_at.is_none_or(|heard| heard < at);
            self.now > at + margin_ms && is_silent_since
        })
    }

    fn termination_reason_after_boot(
        &self,
        machine: &Machine,
        silent_ms: u64,
    ) -> Option<TerminationReason> {
        // After `expired_ms` the agent's lease has ended and its tasks have stopped, whichever
        // side is cut off. An empty machine can be terminated without losing work even if this
        // controller is the one that is cut off.
        let expired_ms = to_ms(self.agents.lease_s * SILENT_LEASE_MULTIPLIER);
        let has_no_running_task = !machine.is_occupied() || silent_ms > expired_ms;
        if silent_ms > self.lost_after_ms && (!self.is_partitioned || has_no_running_task) {
            return Some(TerminationReason::Silent);
        }
        let is_unreachable = machine.ineffective_responses >= INEFFECTIVE_RESPONSES_MAX
            || self.has_unconfirmed_start(machine);
        if is_unreachable && !self.is_partitioned {
            return Some(TerminationReason::Unreachable);
        }
        let is_idle = self.is_idle_timeout_over(machine)
            && !self.standby_machines.contains(&machine.name)
            && !self.has_uncommitted_result(machine);
        is_idle.then_some(TerminationReason::Idle)
    }

    fn is_idle_timeout_over(&self, machine: &Machine) -> bool {
        let idle_boots = if machine.spot {
            self.operator.idle_boots_spot
        } else {
            self.operator.idle_boots
        };
        let idle_ms = to_ms(idle_boots * self.boot_s_of(machine));
        let peer_ms = to_ms(self.agents.gang_peer_s);
        machine
            .idle_since
            .is_some_and(|since| self.now > since + idle_ms)
            && (machine.last_needed_by_gang_at == 0
                || self.now > machine.last_needed_by_gang_at + peer_ms)
            && machine.last_status_at.is_some()
    }

    fn boot_s_of(&self, machine: &Machine) -> f64 {
        let machine_type = self.catalog.machine_type(&machine.machine_type);
        machine_type.map_or(DEFAULT_BOOT_S, |machine_type| machine_type.boot_s)
    }

    /// Whether a task has finished on a machine and its result is not committed yet. If this
    /// leader fails now, the next one can learn the result only from the machine's status.
    fn has_uncommitted_result(&self, machine: &Machine) -> bool {
        machine.reported_tasks.iter().any(|task| {
            let is_uncommitted =
                |job: &Job| !job.cancelled && !job.record.committed_done().contains(task.task);
            task.phase == TaskPhase::Exited(ExitCause::Done)
                && self.jobs.get(&task.job).is_some_and(is_uncommitted)
        })
    }

    /// Whether the outcome of a direct start is still unknown although the machine's next
    /// heartbeats should have shown it.
    fn has_unconfirmed_start(&self, machine: &Machine) -> bool {
        machine.unconfirmed_direct_start_at.is_some()
            && machine
                .bound_tasks
                .iter()
                .any(|task| self.is_start_unconfirmed(task))
    }

    fn is_start_unconfirmed(&self, task: &BoundTask) -> bool {
        let job = self.jobs.get(&*task.job);
        let Some(placement) = job.and_then(|job| job.placement(task.task)) else {
            return false;
        };
        let Some(StartDelivery::Direct { at: sent_at, .. }) = placement.delivery else {
            return false;
        };
        placement.phase.is_none() && self.now > sent_at + self.silence_tolerance_ms
    }
}
