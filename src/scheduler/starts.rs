//! Sends the starts of committed placements, and direct commands.

use std::net::SocketAddr;
use std::sync::Arc;

use super::placement::{Placement, StartDelivery, TaskKey};
use super::{to_ms, Effect, Scheduler};
use crate::epoch::Epoch;
use crate::job::task_name;
use crate::machine::{Machine, TaskAttempt};
use crate::wire;
use crate::wire::Incarnation;

/// Why starts that were sent directly to an agent were certainly not executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartFailure {
    /// No connection was established.
    NotSent,
    /// The agent rejected the commands.
    Rejected,
}

/// Whether this controller may start tasks now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartPermission {
    /// Its lease is certainly valid, and its watch cache recent.
    Granted,
    /// It may have lost leadership, or its watch cache may lack recent changes.
    Withheld,
}

/// Where direct commands for an agent are sent.
struct AgentTarget {
    address: SocketAddr,
    epoch: Epoch,
    incarnation: Incarnation,
}

impl AgentTarget {
    /// `None` if the machine's agent has not sent a status yet. `term` is the term's first epoch.
    fn of(machine: &Machine, term: Epoch) -> Option<AgentTarget> {
        let address = machine
            .address
            .filter(|_| machine.incarnation > Incarnation::NONE)?;
        Some(AgentTarget {
            address,
            epoch: machine.command_epoch(term),
            incarnation: machine.incarnation,
        })
    }
}

impl Scheduler {
    /// Whether a machine may have committed starts that are not in flight.
    pub fn may_have_unsent_starts(&self, machine: &str) -> bool {
        self.start_queue.contains(machine)
    }

    /// Machines that have become startable since the last call: the caller now sends the
    /// heartbeat responses to them that it has delayed.
    pub fn take_machines_with_new_starts(&mut self) -> Vec<Arc<str>> {
        self.start_queue.take_new()
    }

    /// Handles direct starts that were certainly not executed: they may be sent again.
    pub fn on_start_failed(
        &mut self,
        machine: &str,
        starts: &[TaskAttempt],
        failure: StartFailure,
        now: u64,
    ) {
        if failure == StartFailure::NotSent {
            if let Some(machine) = self.machines.get_mut(machine) {
                machine.direct_starts_paused_until = now + to_ms(self.cluster.workers.report_s);
            }
        }
        for start in starts {
            let Some(job) = self.jobs.get_mut(&*start.job) else {
                continue;
            };
            let mut placements = job.placements.iter_mut();
            let is_failed = |placement: &&mut Placement| {
                *placement.machine == *machine && placement.awaits_direct_start(start)
            };
            let Some(placement) = placements.find(is_failed) else {
                continue;
            };
            placement.delivery = None;
            self.start_queue.insert(placement.machine.clone());
            self.needs_planning = true;
        }
    }

    /// Queues the machines on which a job has committed starts that are to be sent: the starts
    /// go into the next heartbeat responses, or are sent directly.
    pub(super) fn queue_committed_starts(&mut self, id: &str) {
        let Some(job) = self.jobs.get(id) else { return };
        let is_due = |placement: &&Placement| {
            placement.is_start_pending() && job.record.is_committed(placement.change)
        };
        for placement in job.placements.iter().filter(is_due) {
            self.start_queue.insert(placement.machine.clone());
        }
    }

    /// Lets a task with a committed placement that is certainly not on its machine be started
    /// there again with the same attempt number.
    pub(super) fn restart_in_place(&mut self, task: &TaskKey) {
        let job = self.jobs.get_mut(&*task.job);
        if let Some(placement) = job.and_then(|job| job.placement_mut(task.task)) {
            placement.restart_in_place();
        }
    }

    /// Returns the starts that are due on a machine, and marks them as sent.
    pub(super) fn take_starts(
        &mut self,
        name: &str,
        delivery: StartDelivery,
        now: u64,
    ) -> Vec<TaskAttempt> {
        self.start_queue.remove(name);
        let Some(machine) = self.machines.get(name) else {
            return vec![];
        };
        if !machine.is_in_service() {
            return vec![];
        }
        let mut starts = Vec::new();
        for bound_task in &machine.bound_tasks {
            let Some(job) = self.jobs.get_mut(&*bound_task.job) else {
                continue;
            };
            if job.cancelled {
                continue;
            }
            let Some(placement) = job
                .placements
                .iter_mut()
                .find(|placement| placement.task == bound_task.task)
            else {
                continue;
            };
            if !job.record.is_committed(placement.change) || !placement.may_start(delivery) {
                continue;
            }
            placement.on_start_sent(delivery, now);
            starts.push(TaskAttempt {
                job: bound_task.job.clone(),
                task: bound_task.task,
                attempt: bound_task.attempt,
            });
        }
        if let Some(machine) = self.machines.get_mut(name) {
            machine.record_sent_starts(&starts);
        }
        starts
    }

    /// Sends queued starts directly to the agents that have this term's epoch, without waiting
    /// for a heartbeat to respond to.
    pub fn send_direct_starts(&mut self, permission: StartPermission, now: u64) {
        if permission == StartPermission::Withheld || self.is_overloaded(now) {
            return;
        }
        while let Some(name) = self.start_queue.pop_within_limit(now) {
            let Some(target) = self.direct_start_target(&name, now) else {
                // The response to its next heartbeat carries these starts.
                continue;
            };
            let delivery = StartDelivery::Direct {
                incarnation: target.incarnation,
                epoch: target.epoch,
                at: now,
            };
            let starts = self.take_starts(&name, delivery, now);
            if starts.is_empty() {
                continue;
            }
            self.start_queue.charge(now);
            if let Some(machine) = self.machines.get_mut(&*name) {
                machine.unconfirmed_direct_start_at = Some(now);
            }
            self.effects.push(Effect::Commands {
                machine: name,
                address: target.address,
                epoch: target.epoch,
                incarnation: target.incarnation,
                commands: starts.iter().map(start_command).collect(),
                starts,
            });
        }
    }

    /// Where direct starts for a machine are sent. `None` if the agent is unreachable, or the
    /// machine may not get tasks now.
    fn direct_start_target(&self, name: &str, now: u64) -> Option<AgentTarget> {
        let machine = self.machines.get(name)?;
        let target = AgentTarget::of(machine, self.term.epoch)?;
        let is_usable =
            now >= machine.direct_starts_paused_until && self.accepts_tasks(machine, now);
        is_usable.then_some(target)
    }

    /// Sends the queued direct commands.
    pub(super) fn send_direct_commands(&mut self) {
        for (name, mut commands) in self.direct_commands.take_all() {
            let Some(machine) = self.machines.get(&*name) else {
                continue;
            };
            let Some(target) = AgentTarget::of(machine, self.term.epoch) else {
                continue;
            };
            commands.truncate(super::COMMANDS_PER_MESSAGE_MAX);
            self.effects.push(Effect::Commands {
                machine: name,
                address: target.address,
                epoch: target.epoch,
                incarnation: target.incarnation,
                commands,
                starts: vec![],
            });
        }
    }
}

/// The command that starts a task on its agent.
pub(super) fn start_command(start: &TaskAttempt) -> wire::Command {
    wire::start_command(task_name(&start.job, start.task), start.attempt)
}
