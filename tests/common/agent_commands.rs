//! How agents handle answers to their heartbeats and the commands in them.

use gaugesill::wire::{self, Command, CommandBatch, CommandVerb, Redirect};

use super::messages::HeartbeatAnswer;
use super::sim::Sim;

/// Delay before a redirected agent sends its next heartbeat.
const REDIRECT_DELAY_MS: u64 = 100;

impl Sim {
    pub(super) fn on_heartbeat_answer(&mut self, answer: &HeartbeatAnswer) {
        let now = self.now;
        if self.faults.is_hung(&answer.machine) {
            return;
        }
        let Some(agent) = self.agents.get_mut(&answer.machine) else {
            return;
        };
        let pending = agent.pending_heartbeat;
        let Some(pending) = pending.filter(|pending| pending.serial == answer.serial) else {
            return;
        };
        agent.pending_heartbeat = None;
        match (answer.status, redirect_target(answer)) {
            (200, _) => {
                let batch: CommandBatch = wire::decode(&answer.body).expect("commands");
                if batch.epoch >= agent.epoch {
                    agent.last_acknowledged_at = pending.sent_at;
                    self.execute_commands(&answer.machine, batch);
                }
            }
            (421, Some(member)) if member != answer.from => {
                agent.report_to(member, now + REDIRECT_DELAY_MS);
            }
            _ => agent.report_to_next_after(answer.from, now),
        }
    }

    pub(super) fn execute_commands(&mut self, machine: &str, batch: CommandBatch) {
        let now = self.now;
        if let Some(agent) = self.agents.get_mut(machine) {
            agent.observe_epoch(batch.epoch, now);
        }
        for command in batch.commands {
            self.execute_command(machine, &command);
        }
    }

    fn execute_command(&mut self, machine: &str, command: &Command) {
        let (task, attempt) = (&command.task, command.attempt);
        if command.verb == CommandVerb::Start {
            return self.start_task(machine, task, attempt);
        }
        let Some(agent) = self.agents.get_mut(machine) else {
            return;
        };
        if command.verb == CommandVerb::Clear {
            agent.clear(task, attempt);
        } else if agent.stop(task, attempt) {
            self.trace_event(format!("{task} try {attempt} stopped on {machine}"));
        }
    }
}

/// The controller that an answer redirects the agent to.
fn redirect_target(answer: &HeartbeatAnswer) -> Option<usize> {
    if answer.status != 421 {
        return None;
    }
    let redirect: Redirect = wire::decode(&answer.body).ok()?;
    redirect.reports_to?[1..].parse().ok()
}
