//! Selects the commands that the response to a heartbeat carries.

use super::placement::{Placement, StartDelivery, StopRequest};
use super::starts::{start_command, StartPermission};
use super::{to_ms, Scheduler, COMMANDS_PER_MESSAGE_MAX};
use crate::epoch::Epoch;
use crate::job::task_name;
use crate::machine::{ExitCause, ExpectedEffect, ReportedTask, TaskAttempt, TaskPhase};
use crate::wire::{self, AgentStatus, Command};

/// Shortest interval between two sends of the same stop.
const STOP_RETRY_INTERVAL_MS: u64 = 500;

/// The commands of a heartbeat response, and the effects that the agent's next heartbeat shows if
/// it received the response.
#[derive(Default)]
struct ResponseBuilder {
    commands: Vec<Command>,
    expected: Vec<ExpectedEffect>,
}

impl ResponseBuilder {
    fn is_full(&self) -> bool {
        self.commands.len() >= COMMANDS_PER_MESSAGE_MAX
    }
}

impl Scheduler {
    /// The epoch of the next message to a machine's agent.
    pub fn command_epoch(&self, machine: &str) -> Epoch {
        let term = self.term.epoch;
        let machine = self.machines.get(machine);
        machine.map_or(term, |machine| machine.command_epoch(term))
    }

    /// Commands for the response to a heartbeat; starts only with permission. The response has the
    /// epoch that [`Scheduler::command_epoch`] returns afterwards.
    pub fn heartbeat_response_commands(
        &mut self,
        status: &AgentStatus,
        permission: StartPermission,
        now: u64,
    ) -> Vec<Command> {
        let Some(machine) = self.machines.get_mut(&status.machine) else {
            return vec![];
        };
        if (status.incarnation, status.serial) != (machine.incarnation, machine.serial) {
            // A delayed heartbeat, superseded by a newer status: the agent no longer waits for
            // the response.
            return vec![];
        }
        machine.record_heartbeat_response(now);
        let name = machine.name.clone();
        let mut response = ResponseBuilder::default();
        if status.epoch >= self.term.epoch {
            self.add_clears(&name, &mut response);
        } else {
            // Exits in a status with an older epoch were not applied, so they are not cleared.
            let epoch = ExpectedEffect::Epoch(self.term.epoch);
            response.expected.push(epoch);
        }
        response.commands.extend(self.direct_commands.take(&name));
        self.add_stops(&name, &mut response, now);
        if permission == StartPermission::Granted {
            self.add_starts(&name, status, &mut response, now);
        }
        if !response.expected.is_empty() {
            if let Some(machine) = self.machines.get_mut(&*name) {
                machine.expect_effects(status, response.expected);
            }
        }
        response.commands
    }

    /// Adds commands by which the agent forgets exited tasks, and raises the epoch of the response
    /// so that it also rejects repeats of their starts.
    fn add_clears(&mut self, name: &str, response: &mut ResponseBuilder) {
        let cleared = self.clearable_tasks(name);
        if let Some(machine) = self.machines.get_mut(name) {
            machine.fence_starts(&cleared, self.term.epoch);
        }
        for task in cleared {
            let clear = wire::clear_command(task_name(&task.job, task.task), task.attempt);
            response.commands.push(clear);
            response.expected.push(ExpectedEffect::Cleared(task));
        }
    }

    /// The tasks that a machine's agent may forget, at most as many as a response may carry.
    fn clearable_tasks(&self, name: &str) -> Vec<TaskAttempt> {
        let Some(machine) = self.machines.get(name) else {
            return vec![];
        };
        let reported = machine.reported_tasks.iter();
        let clearable = reported.filter(|task| self.may_clear(task));
        let clearable = clearable.take(COMMANDS_PER_MESSAGE_MAX);
        clearable.map(TaskAttempt::from).collect()
    }

    /// Whether the agent may forget a task: it has exited, and if it is done, this is committed to
    /// the job's record.
    fn may_clear(&self, task: &ReportedTask) -> bool {
        let TaskPhase::Exited(cause) = task.phase else {
            return false;
        };
        let job = self.jobs.get(&task.job);
        cause != ExitCause::Done
            || job.is_none_or(|job| job.record.committed_done().contains(task.task))
    }

    /// Adds stops that are to be sent again because they have shown no effect.
    fn add_stops(&mut self, name: &str, response: &mut ResponseBuilder, now: u64) {
        let exit_margin_s = 2.0 * self.cluster.workers.gang_peer_s;
        let Some(machine) = self.machines.get(name) else {
            return;
        };
        for task in &machine.bound_tasks {
            if response.is_full() {
                return;
            }
            let job = self.jobs.get_mut(&*task.job);
            let Some(placement) = job.and_then(|job| job.placement_mut(task.task)) else {
                continue;
            };
            if let Some(grace_s) = stop_to_repeat(placement, exit_margin_s, now) {
                let name = task_name(&task.job, task.task);
                let command = wire::stop_command(name, placement.attempt, grace_s);
                response.commands.push(command);
            }
        }
    }

    /// Adds the starts of committed placements.
    fn add_starts(
        &mut self,
        name: &str,
        status: &AgentStatus,
        response: &mut ResponseBuilder,
        now: u64,
    ) {
        let delivery = StartDelivery::HeartbeatResponse {
            incarnation: status.incarnation,
            serial: status.serial,
        };
        for start in self.take_starts(name, delivery, now) {
            response.commands.push(start_command(&start));
            response.expected.push(ExpectedEffect::Started(start));
        }
    }
}

/// The grace period in seconds with which the stop of a task is to be sent again, and `None` if
/// it is not; 0 once the task should have exited long ago. Marks the stop as sent.
fn stop_to_repeat(placement: &mut Placement, exit_margin_s: f64, now: u64) -> Option<f64> {
    let is_checkpointing = placement.phase == Some(TaskPhase::Checkpointing);
    let stop: &mut StopRequest = placement.stop.as_mut()?;
    let is_overdue = now > stop.requested_at + to_ms(stop.grace_s + exit_margin_s);
    let is_recently_sent = stop
        .sent_at
        .is_some_and(|at| now < at + STOP_RETRY_INTERVAL_MS);
    if is_recently_sent || (is_checkpointing && !is_overdue) {
        return None;
    }
    stop.sent_at = Some(now);
    Some(if is_overdue { 0.0 } else { stop.grace_s })
}
