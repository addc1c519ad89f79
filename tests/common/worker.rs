//! A stand-in of a worker.

use gaugesill::wire::{Report, TaskReport};

use super::cloud::*;

#[derive(Clone, Debug)]
pub struct OnWorker {
    pub name: String,
    pub attempt: u64,
    pub state: &'static str,
    pub cause: Option<&'static str>,
    pub(super) until: u64,
}

pub struct Worker {
    pub machine: String,
    pub session: u64,
    pub serial: u64,
    pub epoch: u64,
    pub tasks: Vec<OnWorker>,
    pub to: usize,
    pub(super) waiting: Option<(u64, u64)>,
    pub(super) acked: u64,
    pub(super) next: u64,
    pub(super) changed: bool,
    pub killed: u64,
}

impl Worker {
    pub(super) fn report(&mut self, r: &Rented) -> Report {
        self.serial += 1;
        Report {
            machine: self.machine.clone(),
            endpoint: addr_of(&self.machine).to_string(),
            machine_type: r.machine_type.clone(),
            zone: r.zone.clone(),
            spot: r.spot,
            session: self.session,
            serial: self.serial,
            epoch: self.epoch,
            reclaim_in_s: None,
            tasks: self
                .tasks
                .iter()
                .map(|t| TaskReport {
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
