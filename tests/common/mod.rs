//! A simulation of the controllers' environment: the store, the cloud, the agents and the
//! users, implemented from the protocol specification and driven by a simulated clock. Complete
//! controllers run in it without sockets, so that every run is reproducible.
//!
//! [`Sim`] owns the parts: the network, the controller processes with their clocks and
//! pauses, the injected faults, the users, and the log of the run. It records a violation
//! whenever a rule of the protocol is broken; [`Sim::assert_no_violations`] then fails the test.

#![allow(
    dead_code,
    unused_imports,
    reason = "each test program uses only a part of the simulation"
)]

mod addresses;
mod agent;
mod agent_commands;
mod agent_ticks;
mod calls;
mod checks;
mod cloud;
mod cloud_orders;
mod controller_processes;
mod delivery;
mod deployment;
mod digest;
mod duties;
mod duty_checks;
mod duty_records;
mod faults;
mod fleet;
mod messages;
mod meter;
mod network;
mod previous_version;
mod repeats;
mod run_log;
mod settings;
mod sim;
mod store;
mod task_start;
mod users;
mod values;

pub(crate) use agent::{Agent, AgentTask};
pub(crate) use checks::assert_kept_trace;
pub(crate) use cloud::{Cloud, ListFault, Rented, TokenCheck};
pub(crate) use cloud_orders::{CloudOrderBehavior, DutyEvent};
pub(crate) use duty_checks::ControllerClocks;
pub(crate) use faults::{Faults, WriteBehavior};
pub(crate) use fleet::{jobs_for, RunTimes};
pub(crate) use messages::Job;
pub(crate) use meter::{Meter, WorkCost};
pub(crate) use previous_version::{PreviousRecord, PreviousSpec};
pub(crate) use repeats::Repeats;
pub(crate) use settings::{settings, settings_with, submission, PlatformLimits};
pub(crate) use sim::Sim;
pub(crate) use store::{ReducedLimits, Store, StoreResponse, StoredValue};
pub(crate) use users::{job_reply, JobReply, UserAnswer};
