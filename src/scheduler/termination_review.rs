//! Whether, and why, a machine is to be terminated: a decision on what is known of the machine,
//! without any effect.

use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;

use super::machine_catalog::MachineCatalog;
use super::placement::StartDelivery;
use super::{to_ms, Job};
use crate::machine::{BoundTask, CloudStatus, ExitCause, Machine, TaskPhase, TerminationReason};
use crate::settings::{AgentTimings, OperatorSettings};

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

/// What a review of all machines is based on.
pub(super) struct TerminationReview<'a> {
    pub jobs: &'a BTreeMap<String, Job>,
    pub catalog: &'a MachineCatalog,
    pub agents: &'a AgentTimings,
    pub operator: &'a OperatorSettings,
    /// The cloud's machine list has been read in this term.
    pub has_machine_list: bool,
    /// When the term began.
    pub began_at: u64,
    /// For how long a machine may be silent and still get new tasks.
    pub silence_tolerance_ms: u64,
    /// After this silence machines count as lost.
    pub lost_after_ms: u64,
    /// It is probably this controller that is cut off.
    pub is_partitioned: bool,
    /// Machines that are held ready as standby capacity.
    pub standby_machines: HashSet<Arc<str>>,
    pub now: u64,
}

impl TerminationReview<'_> {
    /// Why a machine is to be terminated, if it is.
    pub(super) fn find_reason(&self, machine: &Machine) -> Option<TerminationReason> {
        let silent_ms = machine.silent_ms(self.began_at, self.now);
        let not_listed_ms = to_ms(self.agents.report_s * UNLISTED_INTERVALS);
        if machine.cloud_status == CloudStatus::Failed {
            return Some(TerminationReason::Failed);
        }
        if self.is_interrupted(machine) {
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
            return self.find_reason_while_up(machine, silent_ms);
        }
        if machine.cloud_status == CloudStatus::NotListed && machine.machine_type.is_empty() {
            // Only a record names it: it was not seen since this leader began.
            let is_unknown =
                self.has_machine_list && silent_ms > self.lost_after_ms && !self.is_partitioned;
            return is_unknown.then_some(TerminationReason::Unknown);
        }
        let boot_ms = to_ms(self.boot_s_of(machine) * NEVER_BOOTED_BOOTS);
        (self.now > machine.known_since + boot_ms).then_some(TerminationReason::NeverBooted)
    }

    fn is_interrupted(&self, machine: &Machine) -> bool {
        let margin_ms = to_ms(self.agents.gang_peer_s) / 2;
        machine.interruption_deadline.is_some_and(|at| {
            let is_silent_since = machine.last_status_at.is_none_or(|heard| heard < at);
            self.now > at + margin_ms && is_silent_since
        })
    }

    fn find_reason_while_up(&self, machine: &Machine, silent_ms: u64) -> Option<TerminationReason> {
        // After that no task is left on it, whichever side was cut off. And of an empty one
        // nothing is lost even if the fault is ours.
        let expired_ms = to_ms(self.agents.lease_s * EXPIRED_LEASES);
        let has_nothing_to_lose = !machine.is_occupied() || silent_ms > expired_ms;
        if silent_ms > self.lost_after_ms && (!self.is_partitioned || has_nothing_to_lose) {
            return Some(TerminationReason::Silent);
        }
        let is_unreachable =
            machine.ineffective_answers >= INEFFECTIVE_ANSWERS_MAX || self.has_lost_start(machine);
        if is_unreachable && !self.is_partitioned {
            return Some(TerminationReason::Unreachable);
        }
        let is_idle = self.is_idle_for_long(machine)
            && !self.standby_machines.contains(&machine.name)
            && !self.has_unrecorded_result(machine);
        is_idle.then_some(TerminationReason::Idle)
    }

    fn is_idle_for_long(&self, machine: &Machine) -> bool {
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
            && (machine.needed_at == 0 || self.now > machine.needed_at + peer_ms)
            && machine.last_status_at.is_some()
    }

    fn boot_s_of(&self, machine: &Machine) -> f64 {
        let machine_type = self.catalog.machine_type(&machine.machine_type);
        machine_type.map_or(BOOT_DEFAULT_S, |machine_type| machine_type.boot_s)
    }

    /// Whether a task was done on a machine and that is not recorded yet: if this leader ends
    /// now, the machine's status is all that the next leader has of it.
    fn has_unrecorded_result(&self, machine: &Machine) -> bool {
        machine.reported_tasks.iter().any(|task| {
            let is_unrecorded =
                |job: &Job| !job.cancelled && !job.record.committed_done().contains(task.task);
            task.phase == TaskPhase::Exited(ExitCause::Done)
                && self.jobs.get(&task.job).is_some_and(is_unrecorded)
        })
    }

    /// Whether the outcome of a direct start has been unknown for longer than the machine's
    /// next heartbeats took.
    fn has_lost_start(&self, machine: &Machine) -> bool {
        machine.direct_start_at.is_some()
            && machine
                .bound_tasks
                .iter()
                .any(|task| self.is_start_lost(task))
    }

    fn is_start_lost(&self, task: &BoundTask) -> bool {
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
