//! The commands that go out in the answer to a heartbeat.

use super::job_state::StartDelivery;
use super::starts::start_command;
use super::{to_ms, Scheduler, COMMANDS_MAX};
use crate::job::task_name;
use crate::machine::{ExitCause, ExpectedEffect, Machine, ReportedTask, SentAnswer, TaskPhase};
use crate::wire::{self, AgentStatus, Command};

/// A stop is not sent again within this time.
const STOP_REPEAT_MS: u64 = 500;

/// The commands of an answer, and what the next heartbeat shows if it was taken.
#[derive(Default)]
struct Answer {
    commands: Vec<Command>,
    expected: Vec<ExpectedEffect>,
}

impl Scheduler {
    /// Commands for a machine whose heartbeat is being answered.
    pub fn answer_commands(
        &mut self,
        report: &AgentStatus,
        may_start: bool,
        now: u64,
    ) -> Vec<Command> {
        let Some(machine) = self.machines.get_mut(&report.machine) else {
            return vec![];
        };
        if (report.incarnation, report.serial) != (machine.incarnation, machine.serial) {
            // An old report that arrives late: nobody waits for the answer.
            return vec![];
        }
        machine.heartbeat_answered_at = Some(now);
        let name = machine.name.clone();
        let mut answer = Answer::default();
        if report.epoch >= self.term.epoch {
            self.add_clears(&name, &mut answer);
        } else {
            // What was not taken in is not to be forgotten, either.
            let epoch = ExpectedEffect::Epoch(self.term.epoch);
            answer.expected.push(epoch);
        }
        let direct = self.direct_commands.remove(&*name);
        answer.commands.extend(direct.unwrap_or_default());
        self.add_stops(&name, &mut answer, now);
        if may_start {
            let delivery = StartDelivery::Answer {
                incarnation: report.incarnation,
                serial: report.serial,
            };
            for start in self.take_starts(&name, delivery, now) {
                answer.commands.push(start_command(&start));
                let started = ExpectedEffect::Started(start.job, start.task, start.attempt);
                answer.expected.push(started);
            }
        }
        if !answer.expected.is_empty() {
            if let Some(machine) = self.machines.get_mut(&*name) {
                machine.sent_answer = Some(SentAnswer {
                    incarnation: report.incarnation,
                    serial: report.serial,
                    expected: answer.expected,
                });
            }
        }
        answer.commands
    }

    /// Clears exited tasks.
    fn add_clears(&self, name: &str, answer: &mut Answer) {
        let reported = self
            .machines
            .get(name)
            .map(|machine| &machine.reported_tasks);
        for task in reported.into_iter().flatten() {
            if !self.may_clear(task) || answer.commands.len() >= COMMANDS_MAX {
                continue;
            }
            let name = task_name(&task.job, task.task);
            let clear = wire::clear_command(name, task.attempt);
            answer.commands.push(clear);
            let cleared = ExpectedEffect::Cleared(task.job.clone(), task.task, task.attempt);
            answer.expected.push(cleared);
        }
    }

    /// Whether a task has exited; if it is done, that is on record before the agent
    /// forgets it.
    fn may_clear(&self, task: &ReportedTask) -> bool {
        let TaskPhase::Exited(cause) = task.phase else {
            return false;
        };
        let job = self.jobs.get(&task.job);
        cause != ExitCause::Done || job.is_none_or(|job| job.committed_done.contains(task.task))
    }

    /// Repeats stops that have shown no effect.
    fn add_stops(&mut self, name: &str, answer: &mut Answer, now: u64) {
        let slack_s = 2.0 * self.cluster.workers.gang_peer_s;
        let recorded = self.machines.get(name).map(|machine| &machine.bound_tasks);
        for task in recorded.into_iter().flatten() {
            let job = self.jobs.get_mut(&*task.job);
            let Some(placement) = job.and_then(|job| job.placement_mut(task.task)) else {
                continue;
            };
            let Some(stop) = &mut placement.stop else {
                continue;
            };
            let stuck = now > stop.since + to_ms(stop.grace_s + slack_s);
            let grace_s = if stuck { 0.0 } else { stop.grace_s };
            let just_sent = stop.sent_at.is_some_and(|at| now < at + STOP_REPEAT_MS);
            let is_checkpointing = placement.phase == Some(TaskPhase::Checkpointing);
            if !just_sent && (stuck || !is_checkpointing) && answer.commands.len() < COMMANDS_MAX {
                stop.sent_at = Some(now);
                let name = task_name(&task.job, task.task);
                let command = wire::stop_command(name, placement.attempt, grace_s);
                answer.commands.push(command);
            }
        }
    }

    /// A task was done on a machine and that is not on record yet: if this leader ends
    /// now, the machine's report is all that a successor has of it.
    pub(super) fn has_unrecorded_result(&self, machine: &Machine) -> bool {
        machine.reported_tasks.iter().any(|task| {
            let unrecorded =
                |job: &super::Job| !job.cancelled && !job.committed_done.contains(task.task);
            task.phase == TaskPhase::Exited(ExitCause::Done)
                && self.jobs.get(&task.job).is_some_and(unrecorded)
        })
    }
}
