//! Handles the exit of a task, by its cause.

use tracing::{debug, warn};

use super::placement::TaskKey;
use super::retry_state::RefusedStartDelay;
use super::{to_ms, Job, Scheduler};
use crate::job::Shape;
use crate::machine::{ExitCause, Machine, TerminationReason};

impl Scheduler {
    /// Handles a task that has exited, or whose start the agent refused.
    pub(super) fn on_exit(&mut self, task: &TaskKey, machine: &str, cause: ExitCause, now: u64) {
        debug!(%task, machine, ?cause, "task exited");
        match cause {
            ExitCause::Done => self.on_task_done(task, machine),
            ExitCause::Error => self.on_task_error(task, machine, now),
            ExitCause::InsufficientCapacity | ExitCause::InUse | ExitCause::UnknownTask => {
                let backoff = RefusedStartDelay {
                    base_s: self.cluster.workers.report_s / 4.0,
                    max_s: f64::INFINITY,
                };
                self.back_off_after_refusal(&task.job, &backoff, now);
            }
            ExitCause::GangTimeout => {
                let backoff = RefusedStartDelay {
                    base_s: 1.0,
                    max_s: self.operator.backoff_max_s,
                };
                self.back_off_after_refusal(&task.job, &backoff, now);
            }
            ExitCause::Stopped { .. } | ExitCause::GangMemberLost => {}
        }
        self.remove_placement(task, now);
    }

    fn on_task_done(&mut self, task: &TaskKey, machine: &str) {
        let Some(job) = self.jobs.get_mut(&*task.job) else {
            return;
        };
        match job.spec.shape {
            // The tasks of a gang complete together: if one is done, all are.
            Shape::Gang => job.done.set_to_first(job.spec.tasks),
            Shape::Array => job.done.insert(task.task),
            Shape::Service => {}
        }
        job.retry.on_task_done();
        if let Some(machine) = self.machines.get_mut(machine) {
            machine.failed_jobs.clear();
        }
    }

    /// Attributes a failure to the machine or to the job. A job that has failed on several
    /// machines on which no other job has, and that has never run, is itself at fault: it backs
    /// off, and no machine is drained for it. Many tasks that fail together count once.
    fn on_task_error(&mut self, task: &TaskKey, machine: &str, now: u64) {
        let heartbeat_interval_s = self.cluster.workers.report_s;
        let Some(job) = self.jobs.get_mut(&*task.job) else {
            return;
        };
        let has_run = has_run_before(job, to_ms(heartbeat_interval_s), now);
        let is_first_machine = job.retry.avoid_machine(machine);
        let is_job_presumed_sound = has_run || is_first_machine;
        let machine = self.machines.get_mut(machine);
        let is_machine_at_fault = machine
            .is_some_and(|machine| record_task_failure(machine, task, is_job_presumed_sound));
        if !is_machine_at_fault {
            let lease_s = self.cluster.workers.lease_s;
            job.retry
                .delay_after_task_error(heartbeat_interval_s, lease_s, now);
        }
    }

    fn back_off_after_refusal(&mut self, id: &str, backoff: &RefusedStartDelay, now: u64) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.retry.delay_after_refused_start(backoff, now);
        }
    }
}

/// Records a failed task on its machine. Returns whether the machine is at fault; it is then
/// drained.
fn record_task_failure(machine: &mut Machine, task: &TaskKey, is_job_presumed_sound: bool) -> bool {
    machine.failed_jobs.insert(task.job.clone());
    let is_at_fault = is_job_presumed_sound || machine.failed_jobs.len() > 1;
    if is_at_fault && machine.termination_reason.is_none() {
        warn!(machine = %machine.name, %task, "draining machine: a task on it failed");
        machine.termination_reason = Some(TerminationReason::TaskFailed);
        machine.cached_view = None;
    }
    is_at_fault
}

/// Whether a job has completed a task, or run for a heartbeat interval.
fn has_run_before(job: &Job, heartbeat_interval_ms: u64, now: u64) -> bool {
    let exceeds_interval = |since: u64| now > since + heartbeat_interval_ms;
    let has_run = |running_since: Option<u64>| running_since.is_some_and(exceeds_interval);
    !job.done.is_empty()
        || job
            .placements
            .iter()
            .any(|placement| has_run(placement.running_since))
}
