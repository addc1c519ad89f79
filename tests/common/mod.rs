//! Stand-ins for the outside world, written after the protocol: the state
//! service, the cloud and the agents, on a clock of their own. Whole
//! controllers run against them without sockets, so every run repeats.

// Each test file is a program of its own that uses a part of this module.
#![allow(dead_code, unused_imports)]
#![allow(clippy::collapsible_match, clippy::collapsible_if)]

mod agent;
mod agent_events;
mod checks;
mod cloud;
mod delivery;
mod digest;
mod duties;
mod faults;
mod fleet;
mod messages;
mod meter;
mod production;
mod settings;
mod sim;
mod store;
mod users;

pub use agent::{Agent, AgentTask};
pub use checks::assert_kept_trace;
pub use cloud::{addr_of, Cloud, ListFault, Rented, TokenCheck};
pub use duties::{CloudOrders, DutyEvent};
pub use fleet::{jobs_for, RunTimes};
pub use messages::{Job, UserAnswer, Writes};
pub use meter::{Meter, Spent};
pub use production::{PreviousRecord, PreviousSpec};
pub use settings::{settings, settings_with, submission, PlatformLimits};
pub use sim::Sim;
pub use store::{FallenLimits, Served, Store};
