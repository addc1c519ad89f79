//! Starts that are on record and have not gone out.

use std::sync::Arc;

use super::job_state::StartDelivery;
use super::{to_ms, DirectStart, Effect, Scheduler};
use crate::job::task_name;
use crate::wire;

/// Why starts that were sent straight to an agent were surely not carried out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartFailure {
    /// No connection came about.
    NotSent,
    /// The agent has rejected the commands.
    Rejected,
}

impl Scheduler {
    /// Starts for a machine may be on record and not on their way.
    pub fn is_startable(&self, machine: &str) -> bool {
        self.startable.contains(machine)
    }

    /// Machines with starts on record that may not be on their way, and that have come up
    /// since the last call: a heartbeat of theirs that waits is answered.
    pub fn take_newly_startable(&mut self) -> Vec<Arc<str>> {
        std::mem::take(&mut self.newly_startable)
    }

    /// A machine has starts on record that may not be on their way.
    pub(super) fn mark_startable(&mut self, machine: Arc<str>) {
        self.newly_startable.push(machine.clone());
        self.startable.insert(machine);
    }

    /// An agent has said that it did not carry out a start that went straight to it, or
    /// the start was never sent: it may go out anew.
    pub fn on_start_failed(
        &mut self,
        machine: &str,
        starts: &[DirectStart],
        failure: StartFailure,
        now: u64,
    ) {
        if failure == StartFailure::NotSent {
            if let Some(machine) = self.machines.get_mut(machine) {
                machine.unreachable_until = now + to_ms(self.cluster.workers.report_s);
            }
        }
        for start in starts {
            let Some(job) = self.jobs.get_mut(&*start.job) else {
                continue;
            };
            let placement = job.placements.iter_mut().find(|p| {
                p.task == start.task
                    && p.attempt == start.attempt
                    && *p.machine == *machine
                    && p.phase.is_none()
                    && matches!(p.delivery, Some(StartDelivery::Direct { .. }))
            });
            let Some(placement) = placement else {
                continue;
            };
            placement.delivery = None;
            let machine = placement.machine.clone();
            self.mark_startable(machine);
            self.needs_planning = true;
        }
    }

    /// The starts that are due on a machine, marked as sent.
    pub(super) fn take_starts(
        &mut self,
        name: &str,
        delivery: StartDelivery,
        now: u64,
    ) -> Vec<DirectStart> {
        let mut starts = Vec::new();
        self.startable.remove(name);
        let Some(machine) = self.machines.get(name) else {
            return starts;
        };
        if !machine.is_retained() {
            return starts;
        }
        let direct = matches!(delivery, StartDelivery::Direct { .. });
        for recorded in &machine.bound_tasks {
            let Some(job) = self.jobs.get_mut(&*recorded.job) else {
                continue;
            };
            if job.cancelled {
                continue;
            }
            let committed_change = job.committed_change;
            let Some(placement) = job.placement_mut(recorded.task) else {
                continue;
            };
            let due = placement.is_start_pending()
                && placement.change <= committed_change
                && placement.stop.is_none();
            if due && !(direct && placement.restarts_in_place) {
                placement.delivery = Some(delivery);
                placement.start_attempts += 1;
                placement.since = now;
                starts.push(DirectStart {
                    job: recorded.job.clone(),
                    task: recorded.task,
                    attempt: recorded.attempt,
                });
            }
        }
        starts
    }

    /// Sends starts that have no heartbeat to go with straight to the agents that are
    /// known to have our epoch.
    pub fn send_direct_starts(&mut self, may_start: bool, now: u64) {
        if !may_start || self.is_overloaded(now) {
            return;
        }
        // What the limit leaves no capacity for stays: a heartbeat may come first.
        while self.direct_start_limit.available(now, 0.0) > 0 {
            let Some(name) = self.startable.pop_first() else {
                return;
            };
            self.work.starts_considered += 1;
            let Some(machine) = self.machines.get(&*name) else {
                continue;
            };
            let (Some(address), incarnation) = (machine.address, machine.incarnation) else {
                continue;
            };
            if incarnation == 0
                || now < machine.unreachable_until
                || !self.is_placeable(machine, now)
            {
                // Its next heartbeat takes them.
                continue;
            }
            let delivery = StartDelivery::Direct {
                incarnation,
                at: now,
            };
            let starts = self.take_starts(&name, delivery, now);
            if starts.is_empty() {
                continue;
            }
            let _ = self.direct_start_limit.try_take(now, 1.0, 0.0);
            if let Some(machine) = self.machines.get_mut(&*name) {
                machine.direct_start_at = Some(now);
            }
            let commands = starts.iter().map(start_command).collect();
            self.effects.push(Effect::Commands {
                machine: name,
                address,
                incarnation,
                commands,
                starts,
            });
        }
    }

    /// Sends commands that are to go straight to agents.
    pub(super) fn send_direct_commands(&mut self) {
        for (name, mut commands) in std::mem::take(&mut self.direct_commands) {
            let Some(machine) = self.machines.get(&*name) else {
                continue;
            };
            let Some(address) = machine.address.filter(|_| machine.incarnation > 0) else {
                continue;
            };
            commands.truncate(super::COMMANDS_MAX);
            self.effects.push(Effect::Commands {
                machine: Arc::clone(&name),
                address,
                incarnation: machine.incarnation,
                commands,
                starts: vec![],
            });
        }
    }
}

pub(super) fn start_command(start: &DirectStart) -> wire::Command {
    wire::start_command(task_name(&start.job, start.task), start.attempt)
}
