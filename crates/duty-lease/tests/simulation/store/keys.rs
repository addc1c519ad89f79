//! The keys of the store's records in the simulation.

use duty_lease::{Duty, OrderId};

pub(crate) const REQUESTS: &str = "request/";
pub(crate) const INTENTS: &str = "intent/";
pub(crate) const MACHINES: &str = "machine/";
pub(crate) const TASKS: &str = "task/";
pub(crate) const TERMINATIONS: &str = "return/";

pub(crate) fn lease(duty: Duty) -> String {
    format!("lease/{}", duty.name())
}

pub(crate) fn token(duty: Duty) -> String {
    format!("token/{}", duty.name())
}

pub(crate) fn request(id: &str) -> String {
    format!("{REQUESTS}{id}")
}

pub(crate) fn intent(id: OrderId) -> String {
    format!("{INTENTS}{id}")
}

/// A machine that the controllers own.
pub(crate) fn machine(name: &str) -> String {
    format!("{MACHINES}{name}")
}

/// A task on a machine.
pub(crate) fn task(machine: &str) -> String {
    format!("{TASKS}{machine}")
}

/// A requested termination of a machine.
pub(crate) fn termination(machine: &str) -> String {
    format!("{TERMINATIONS}{machine}")
}
