//! Delivery of messages to the simulated hosts and to the controllers.

use gaugesill::net::{Event, Listener, Outcome, Request};
use gaugesill::wire::{self, CommandBatch};

use super::faults::{HungCall, LateCall, WriteFate};
use super::messages::{Call, Heartbeat, Origin, SimMessage, Ticket};
use super::sim::Sim;
use super::store::StoreResponse;

/// Network delay of the store's answers.
const STORE_ANSWER_DELAY_MS: u64 = 2;

/// A pending watch of the store.
pub(super) struct Watch {
    pub(super) ticket: Ticket,
    pub(super) prefix: String,
    pub(super) from_revision: u64,
    pub(super) until: u64,
}

impl Sim {
    pub(super) fn deliver(&mut self, message: SimMessage) {
        match message {
            SimMessage::ToStore(call) => self.deliver_to_store(call),
            SimMessage::ToCloud(call) => self.deliver_to_cloud(call),
            SimMessage::ToAgent { machine, call } => self.deliver_to_agent(machine, call),
            SimMessage::ToPeer { to, call } => self.deliver_to_peer(to, call),
            SimMessage::Reply { ticket, outcome } => self.reply(ticket, outcome),
            SimMessage::Heartbeat(heartbeat) => self.deliver_heartbeat(heartbeat),
            SimMessage::HeartbeatAnswer(answer) => self.on_heartbeat_answer(&answer),
        }
    }

    fn deliver_to_store(&mut self, mut call: Call) {
        let controller = call.ticket.controller;
        if self.faults.cut_from_store.contains(&controller) {
            return self.held.to_store.push(call);
        }
        if self.faults.is_refused_by_store(controller) {
            return self.respond_status(STORE_ANSWER_DELAY_MS, call.ticket, 503);
        }
        let is_read = matches!(call.method, "GET" | "DELETE");
        if is_read && self.faults.unanswered_reads.contains(&controller) {
            return;
        }
        if call.ticket.is_copy() {
            return drop(self.serve_store(&call));
        }
        call.body = self.as_previous_version(controller, &call.path, call.body);
        match self.write_fate(&call.path) {
            WriteFate::Late { delay_ms } => {
                let due_at = self.now + delay_ms;
                self.held.late_writes.push(LateCall { due_at, call });
            }
            WriteFate::Unanswered => drop(self.serve_store(&call)),
            WriteFate::Answered => match self.serve_store(&call) {
                StoreResponse::Now(status, body) => {
                    let outcome = Outcome::Response { status, body };
                    self.respond(STORE_ANSWER_DELAY_MS, call.ticket, outcome);
                }
                StoreResponse::Wait {
                    prefix,
                    from_revision,
                    until,
                } => self.watches.push(Watch {
                    ticket: call.ticket,
                    prefix,
                    from_revision,
                    until,
                }),
            },
        }
    }

    /// How the store handles a call. Faults apply only to transactions.
    fn write_fate(&mut self, path: &str) -> WriteFate {
        if path != "/txn" {
            return WriteFate::Answered;
        }
        self.transactions += 1;
        self.faults.writes.fate_of(self.transactions)
    }

    fn serve_store(&mut self, call: &Call) -> StoreResponse {
        let served = self
            .store
            .handle(call.method, &call.path, &call.body, self.now);
        for commit in std::mem::take(&mut self.store.commits) {
            self.trace_event(commit);
        }
        if matches!(served, StoreResponse::Now(200, _)) {
            self.repeat_call(call, SimMessage::ToStore);
        }
        served
    }

    fn deliver_to_agent(&mut self, machine: String, call: Call) {
        if self.faults.is_hung(&machine) {
            return self.held.to_hung_machines.push(HungCall { machine, call });
        }
        let can_receive = self.faults.can_receive(&machine, call.ticket.controller);
        if !can_receive || !self.agents.contains_key(&machine) {
            return;
        }
        let mut status = 200;
        if call.path == wire::COMMANDS_PATH {
            let batch: CommandBatch = wire::decode(&call.body).expect("commands");
            if self.agents[&machine].accepts(&batch) {
                self.execute_commands(&machine, batch);
                let machine = machine.clone();
                self.repeat_call(&call, |call| SimMessage::ToAgent { machine, call });
            } else {
                status = 409;
            }
        }
        let agent = self.agents.get_mut(&machine);
        let (Some(agent), Some(rented)) = (agent, self.cloud.machines.get(&machine)) else {
            return;
        };
        let body = wire::encode(&agent.next_status(rented));
        self.respond(1, call.ticket, Outcome::Response { status, body });
    }

    fn deliver_to_peer(&mut self, to: usize, call: Call) {
        let is_cut = self.faults.are_peers_cut(call.ticket.controller, to);
        if is_cut || self.controllers[to].is_none() {
            return;
        }
        self.repeat_call(&call, |call| SimMessage::ToPeer { to, call });
        let connection = self.network.connect(Origin::Peer(call.ticket));
        self.post(to, connection, Listener::Peers, call.path, call.body);
    }

    fn deliver_heartbeat(&mut self, heartbeat: Heartbeat) {
        let (machine, to) = (&heartbeat.machine, heartbeat.to);
        if self.faults.holds_back_heartbeats(machine, to) {
            return self.held.heartbeats.push(heartbeat);
        }
        if !heartbeat.is_copy {
            if self.faults.unable_to_send.contains(machine) {
                return;
            }
            self.copy_heartbeat(&heartbeat);
        }
        let is_cut = self.faults.are_partitioned(to, &heartbeat.machine);
        if is_cut || self.controllers[to].is_none() {
            return;
        }
        let connection = if heartbeat.is_copy {
            self.network.new_connection()
        } else {
            self.network.connect(Origin::Agent {
                machine: heartbeat.machine,
                serial: heartbeat.serial,
            })
        };
        let path = wire::HEARTBEAT_PATH.to_string();
        self.post(to, connection, Listener::Front, path, heartbeat.body);
    }

    /// Stores or sends copies of a heartbeat, as the injected faults demand. They go to every
    /// controller, so that one of them reaches the leader at that time.
    fn copy_heartbeat(&mut self, heartbeat: &Heartbeat) {
        let copy = |to| Heartbeat {
            to,
            is_copy: true,
            ..heartbeat.clone()
        };
        if self.faults.copies_to_next_leader_after_ms.is_some() {
            for to in 0..self.controllers.len() {
                self.held.store_copy(copy(to));
            }
        }
        for after_ms in self.faults.heartbeat_copies_after_ms.clone() {
            for to in 0..self.controllers.len() {
                self.send(after_ms, SimMessage::Heartbeat(copy(to)));
            }
        }
    }

    /// Delivers a POST request to a controller.
    pub(super) fn post(
        &mut self,
        to: usize,
        connection: usize,
        listener: Listener,
        path: String,
        body: Vec<u8>,
    ) {
        let request = Request {
            method: "POST".into(),
            path,
            body,
        };
        let event = Event::Request {
            connection,
            listener,
            request,
        };
        self.event(to, event);
    }
}
