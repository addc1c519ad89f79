//! The keys of the store's records in the simulation.

use duty_lease::{Duty, OrderId};

pub const REQUESTS: &str = "request/";
pub const INTENTS: &str = "intent/";
pub const MACHINES: &str = "machine/";
pub const TASKS: &str = "task/";
pub const TERMINATIONS: &str = "return/";

pub fn lease(duty: Duty) -> String {
    format!("lease/{}", duty.name())
}

pub fn token(duty: Duty) -> String {
    format!("token/{}", duty.name())
}

pub fn request(id: &str) -> String {
    format!("{REQUESTS}{id}")
}

pub fn intent(id: OrderId) -> String {
    format!("{INTENTS}{id}")
}

/// A machine that the controllers own.
pub fn machine(name: &str) -> String {
    format!("{MACHINES}{name}")
}

/// A task on a machine.
pub fn task(machine: &str) -> String {
    format!("{TASKS}{machine}")
}

/// A machine that is to be returned.
pub fn termination(machine: &str) -> String {
    format!("{TERMINATIONS}{machine}")
}
