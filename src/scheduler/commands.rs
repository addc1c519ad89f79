//! The commands in the answer to a heartbeat.

use super::placement::{Placement, StartDelivery, StopRequest};
use super::starts::{start_command, StartPermission};
use super::{to_ms, Scheduler, COMMANDS_MAX};
use crate::job::task_name;
use crate::machine::{ExitCause, ExpectedEffect, ReportedTask, TaskPhase};
use crate::wire::{self, AgentStatus, Command};

/// A stop is not sent again within this time.
const STOP_REPEAT_MS: u64 = 500;

/// The commands of an answer, and what the next heartbeat shows if it was received.
#[derive(Default)]
struct Answer {
    commands: Vec<Command>,
    expected: Vec<ExpectedEffect>,
}

impl Answer {
    fn is_full(&self) -> bool {
        self.commands.len() >= COMMANDS_MAX
    }
}

impl Scheduler {
    /// Commands for the answer to a heartbeat; starts only with permission.
    pub fn answer_commands(
        &mut self,
        status: &AgentStatus,
        permission: StartPermission,
        now: u64,
    ) -> Vec<Command> {
        let Some(machine) = self.machines.get_mut(&status.machine) else {
            return vec![];
        };
        if (status.incarnation, status.serial) != (machine.incarnation, machine.serial) {
            // An old heartbeat that was delayed: its sender does not wait for the answer.
            return vec![];
        }
        machine.on_heartbeat_answered(now);
        let name = machine.name.clone();
        let mut answer = Answer::default();
        if status.epoch >= self.term.epoch {
            self.add_clears(&name, &mut answer);
        } else {
            // Exits in a status without our epoch were not applied, so they are not cleared.
            let epoch = ExpectedEffect::Epoch(self.term.epoch);
            answer.expected.push(epoch);
        }
        answer.commands.extend(self.direct_commands.take(&name));
        self.add_stops(&name, &mut answer, now);
        if permission == StartPermission::Granted {
            self.add_starts(&name, status, &mut answer, now);
        }
        if !answer.expected.is_empty() {
            if let Some(machine) = self.machines.get_mut(&*name) {
                machine.expect_effects(status, answer.expected);
            }
        }
        answer.commands
    }

    /// Clears exited tasks.
    fn add_clears(&self, name: &str, answer: &mut Answer) {
        let Some(machine) = self.machines.get(name) else {
            return;
        };
        for task in &machine.reported_tasks {
            if !self.may_clear(task) || answer.is_full() {
                continue;
            }
            let clear = wire::clear_command(task_name(&task.job, task.task), task.attempt);
            answer.commands.push(clear);
            answer.expected.push(ExpectedEffect::Cleared {
                job: task.job.clone(),
                task: task.task,
                attempt: task.attempt,
            });
        }
    }

    /// Whether a task has exited; if it is done, that has to be recorded before the agent
    /// forgets it.
    fn may_clear(&self, task: &ReportedTask) -> bool {
        let TaskPhase::Exited(cause) = task.phase else {
            return false;
        };
        let job = self.jobs.get(&task.job);
        cause != ExitCause::Done
            || job.is_none_or(|job| job.record.committed_done().contains(task.task))
    }

    /// Repeats stops that have shown no effect.
    fn add_stops(&mut self, name: &str, answer: &mut Answer, now: u64) {
        let slack_s = 2.0 * self.cluster.workers.gang_peer_s;
        let Some(machine) = self.machines.get(name) else {
            return;
        };
        for task in &machine.bound_tasks {
            if answer.is_full() {
                return;
            }
            let job = self.jobs.get_mut(&*task.job);
            let Some(placement) = job.and_then(|job| job.placement_mut(task.task)) else {
                continue;
            };
            if let Some(grace_s) = repeat_stop(placement, slack_s, now) {
                let name = task_name(&task.job, task.task);
                let command = wire::stop_command(name, placement.attempt, grace_s);
                answer.commands.push(command);
            }
        }
    }

    /// Starts tasks that are recorded.
    fn add_starts(&mut self, name: &str, status: &AgentStatus, answer: &mut Answer, now: u64) {
        let delivery = StartDelivery::Answer {
            incarnation: status.incarnation,
            serial: status.serial,
        };
        for start in self.take_starts(name, delivery, now) {
            answer.commands.push(start_command(&start));
            answer.expected.push(ExpectedEffect::Started {
                job: start.job,
                task: start.task,
                attempt: start.attempt,
            });
        }
    }
}

/// The grace period with which to repeat the stop of a task, if it is to be repeated: in
/// seconds, 0 once the task should have exited long ago. The stop then counts as sent.
fn repeat_stop(placement: &mut Placement, slack_s: f64, now: u64) -> Option<f64> {
    let is_checkpointing = placement.phase == Some(TaskPhase::Checkpointing);
    let stop: &mut StopRequest = placement.stop.as_mut()?;
    let is_stuck = now > stop.since + to_ms(stop.grace_s + slack_s);
    let is_just_sent = stop.sent_at.is_some_and(|at| now < at + STOP_REPEAT_MS);
    if is_just_sent || (is_checkpointing && !is_stuck) {
        return None;
    }
    stop.sent_at = Some(now);
    Some(if is_stuck { 0.0 } else { stop.grace_s })
}
