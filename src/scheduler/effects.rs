//! What the scheduler wants done outside.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::cloud::MachineKind;
use crate::job::FinalState;
use crate::wire::{Command, Condition, Write};

/// One start that went straight to an agent.
#[derive(Debug, Clone, PartialEq)]
pub struct DirectStart {
    /// The job.
    pub job: Arc<str>,
    /// The task's number.
    pub task: u32,
    /// The task's attempt.
    pub attempt: u64,
}

/// What the scheduler wants done outside.
#[derive(Debug, Clone)]
pub enum Effect {
    /// Write a job's record, or how it ended.
    Write {
        /// The job.
        job: String,
        /// The job's count of changes that the record holds.
        change: u64,
        /// How the job ended, if it did.
        final_state: Option<FinalState>,
        /// All have to hold.
        conditions: Vec<Condition>,
        /// The changes.
        writes: Vec<Write>,
    },
    /// Send commands straight to an agent.
    Commands {
        /// The machine's name.
        machine: Arc<str>,
        /// The agent's address.
        address: SocketAddr,
        /// The incarnation that the commands are for.
        incarnation: u64,
        /// The commands.
        commands: Vec<Command>,
        /// Which of them are starts.
        starts: Vec<DirectStart>,
    },
    /// Ask an agent for a report.
    Inspect {
        /// The machine's name.
        machine: Arc<str>,
        /// The agent's address.
        address: SocketAddr,
    },
    /// Provision machines.
    Provision {
        /// The provisioning request's unique name.
        idempotency_key: String,
        /// What kind of machine.
        kind: MachineKind,
        /// How many.
        count: u64,
    },
    /// Terminate machines.
    Terminate {
        /// Their names.
        machines: Vec<String>,
    },
}
