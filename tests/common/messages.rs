//! Messages between the stand-ins and the controllers.

use gaugesill::net::Outcome;
use std::collections::BTreeSet;

/// Whose call it is that an answer belongs to.
#[derive(Clone, Copy)]
pub(super) struct Ticket {
    pub(super) controller: usize,
    pub(super) generation: u64,
    pub(super) tag: u64,
}

/// A watch that waits for a change.
pub(super) struct Watch {
    pub(super) ticket: Ticket,
    pub(super) under: String,
    pub(super) from: u64,
    pub(super) until: u64,
}

#[derive(Clone)]
pub(super) enum SimMessage {
    State {
        ticket: Ticket,
        method: &'static str,
        path: String,
        body: Vec<u8>,
    },
    Cloud {
        ticket: Ticket,
        method: &'static str,
        path: String,
        body: Vec<u8>,
    },
    Agent {
        ticket: Ticket,
        machine: String,
        path: String,
        body: Vec<u8>,
    },
    Peer {
        ticket: Ticket,
        to: usize,
        path: String,
        body: Vec<u8>,
    },
    Reply {
        ticket: Ticket,
        outcome: Outcome,
    },
    Heartbeat {
        machine: String,
        serial: u64,
        to: usize,
        body: Vec<u8>,
        /// Arrives once more: nobody waits for the answer.
        copy: bool,
    },
    Answer {
        machine: String,
        serial: u64,
        from: usize,
        status: u16,
        body: Vec<u8>,
    },
}

/// What becomes of transactions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Writes {
    Answered,
    /// One in so many is carried out, and its answer is lost.
    Unanswered(u64),
    /// One in so many gets no answer and is carried out this much later.
    Late(u64, u64),
}

pub(super) enum Origin {
    Agent(String, u64),
    Peer(Ticket),
    User(usize),
}

pub struct Job {
    pub tasks: u32,
    pub gang: bool,
    pub single_zone: bool,
    pub spread: bool,
    pub dependencies: Vec<String>,
    pub accepted: bool,
    /// When a task of it was first started.
    pub begun: Option<u64>,
    pub cpus: f64,
    pub run_ms: u64,
    pub cancelled_at: Option<u64>,
    pub done: BTreeSet<u32>,
}

/// Status, `Retry-After` and body.
pub type UserAnswer = (u16, Option<u32>, Vec<u8>);
