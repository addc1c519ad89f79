//! The scheduler's output: requests and writes for the controller to perform.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::cloud::MachineKind;
use crate::epoch::Epoch;
use crate::job::FinalState;
use crate::machine::TaskAttempt;
use crate::wire::Incarnation;
use crate::wire::{Command, Condition, Write};

/// A request or write for the controller to perform.
#[derive(Debug, Clone)]
pub enum Effect {
    /// Write a job's record, or its final state, by a transaction.
    Write {
        /// The id of the job.
        job: String,
        /// The number of the job's last change that the record contains.
        change: u64,
        /// The final state that is written, if the job has ended.
        final_state: Option<FinalState>,
        /// The conditions of the transaction.
        conditions: Vec<Condition>,
        /// The writes of the transaction.
        writes: Vec<Write>,
    },
    /// Send commands directly to an agent.
    Commands {
        /// The machine's name.
        machine: Arc<str>,
        /// The agent's address.
        address: SocketAddr,
        /// The epoch of the commands.
        epoch: Epoch,
        /// The incarnation that the commands are for.
        incarnation: Incarnation,
        /// The commands; empty in a probe that only raises the agent's epoch.
        commands: Vec<Command>,
        /// The attempts that the commands start.
        starts: Vec<TaskAttempt>,
    },
    /// Request the status of an agent.
    Inspect {
        /// The machine's name.
        machine: Arc<str>,
        /// The agent's address.
        address: SocketAddr,
    },
    /// Provision machines.
    Provision {
        /// Identifies the request, so that a retry provisions no further machines.
        idempotency_key: String,
        /// Machine type and zone, and whether spot machines are requested.
        kind: MachineKind,
        /// Maximum number of machines; the cloud may provision fewer.
        count: u64,
    },
    /// Terminate machines.
    Terminate {
        /// The names of the machines.
        machines: Vec<String>,
    },
}
