//! A stand-in of an agent.

use gaugesill::wire::{AgentStatus, TaskStatus};

use super::cloud::*;

#[derive(Clone, Debug)]
pub struct AgentTask {
    pub name: String,
    pub attempt: u64,
    pub state: &'static str,
    pub cause: Option<&'static str>,
    pub(super) until: u64,
}

pub struct Agent {
    pub machine: String,
    pub incarnation: u64,
    pub serial: u64,
    pub epoch: u64,
    pub tasks: Vec<AgentTask>,
    pub to: usize,
    pub(super) waiting: Option<(u64, u64)>,
    pub(super) last_acknowledged_at: u64,
    pub(super) next: u64,
    pub(super) changed: bool,
    pub killed: u64,
}

impl Agent {
    pub(super) fn report(&mut self, r: &Rented) -> AgentStatus {
        self.serial += 1;
        AgentStatus {
            machine: self.machine.clone(),
            endpoint: addr_of(&self.machine).to_string(),
            machine_type: r.machine_type.clone(),
            zone: r.zone.clone(),
            spot: r.spot,
            incarnation: self.incarnation,
            serial: self.serial,
            epoch: self.epoch,
            interruption_in_s: None,
            tasks: self
                .tasks
                .iter()
                .map(|t| TaskStatus {
                    task: t.name.clone(),
                    attempt: t.attempt,
                    status: t.state.into(),
                    cause: t.cause.map(Into::into),
                    kept: None,
                })
                .collect(),
        }
    }
}
