//! Messages that arrive.

use gaugesill::net::{Event, Listener, Outcome, Request};
use gaugesill::wire::{self, CommandBatch};

use super::messages::*;
use super::sim::*;
use super::store::*;

impl Sim {
    pub(super) fn deliver(&mut self, message: SimMessage) {
        match message {
            SimMessage::State {
                ticket,
                method,
                path,
                body,
            } => self.deliver_to_store(ticket, method, path, body),
            SimMessage::Cloud {
                ticket,
                method,
                path,
                body,
            } => self.deliver_to_cloud(ticket, method, path, body),
            SimMessage::Agent {
                ticket,
                machine,
                path,
                body,
            } => self.deliver_to_agent(ticket, machine, path, body),
            SimMessage::Peer {
                ticket,
                to,
                path,
                body,
            } => self.deliver_to_peer(ticket, to, path, body),
            SimMessage::Reply { ticket, outcome } => self.reply(ticket, outcome),
            SimMessage::Heartbeat {
                machine,
                serial,
                to,
                body,
                copy,
            } => self.deliver_heartbeat(machine, serial, to, body, copy),
            SimMessage::Answer {
                machine,
                serial,
                from,
                status,
                body,
            } => self.agent_answer(&machine, serial, from, status, &body),
        }
    }

    fn deliver_to_store(
        &mut self,
        ticket: Ticket,
        method: &'static str,
        path: String,
        body: Vec<u8>,
    ) {
        if self.cut_from_store.contains(&ticket.controller) {
            // Held back, and carried out late.
            self.held_messages.push(SimMessage::State {
                ticket,
                method,
                path,
                body,
            });
            return;
        }
        if self.store_outage || self.refused_by_store.contains(&ticket.controller) {
            let outcome = Outcome::Answer {
                status: 503,
                body: vec![],
            };
            return self.respond(2, ticket, outcome);
        }
        if self.without_reads.contains(&ticket.controller) && matches!(method, "GET" | "DELETE") {
            return;
        }
        let mut answered = true;
        let body = self.as_previous_version(ticket.controller, &path, body);
        if path == "/txn" {
            self.transactions += 1;
            match self.writes {
                Writes::Unanswered(n) => answered = self.transactions % n != 0,
                Writes::Late(n, ms) if self.transactions % n == 0 => {
                    let late = SimMessage::State {
                        ticket,
                        method,
                        path,
                        body,
                    };
                    self.held_writes.push((self.now + ms, late));
                    return;
                }
                _ => {}
            }
        }
        match self.store.handle(method, &path, &body, self.now) {
            Served::Now(status, body) => {
                for commit in std::mem::take(&mut self.store.commits) {
                    self.note(commit);
                }
                if answered {
                    let outcome = Outcome::Answer { status, body };
                    self.respond(2, ticket, outcome);
                }
            }
            Served::Wait(under, from, until) => self.watches.push(Watch {
                ticket,
                under,
                from,
                until,
            }),
        }
    }

    fn deliver_to_agent(&mut self, ticket: Ticket, machine: String, path: String, body: Vec<u8>) {
        if self.hung_until.contains_key(&machine) {
            self.hung_inbox.push(SimMessage::Agent {
                ticket,
                machine,
                path,
                body,
            });
            return;
        }
        let deaf = self.are_partitioned(ticket.controller, &machine)
            || self.unable_to_receive.contains(&machine);
        if deaf || !self.agents.contains_key(&machine) {
            return;
        }
        let mut status = 200;
        if path == wire::COMMANDS_PATH {
            let batch: CommandBatch = wire::decode(&body).expect("commands");
            let agent = &self.agents[&machine];
            if batch.epoch < agent.epoch || batch.incarnation != Some(agent.incarnation) {
                status = 409;
            } else {
                self.commands(&machine, batch);
            }
        }
        let agent = self.agents.get_mut(&machine);
        let (Some(agent), Some(rented)) = (agent, self.cloud.machines.get(&machine)) else {
            return;
        };
        let body = wire::encode(&agent.report(rented));
        let outcome = Outcome::Answer { status, body };
        self.respond(1, ticket, outcome);
    }

    fn deliver_to_peer(&mut self, ticket: Ticket, to: usize, path: String, body: Vec<u8>) {
        let are_partitioned = [ticket.controller, to]
            .iter()
            .any(|n| self.cut_from_peers.contains(n));
        if self.controllers[to].is_none() || are_partitioned {
            return;
        }
        let connection = self.new_connection();
        self.connections.insert(connection, Origin::Peer(ticket));
        self.post(to, connection, Listener::Peers, path, body);
    }

    fn deliver_heartbeat(
        &mut self,
        machine: String,
        serial: u64,
        to: usize,
        body: Vec<u8>,
        copy: bool,
    ) {
        if self.isolated_machines.contains(&machine) && self.isolated_controller != Some(to) {
            self.delayed_messages.push(SimMessage::Heartbeat {
                machine,
                serial,
                to,
                body,
                copy,
            });
            return;
        }
        if self.unable_to_send.contains(&machine) && !copy {
            return;
        }
        if !copy {
            self.copy_heartbeat(&machine, serial, &body);
        }
        if self.controllers[to].is_none() || self.are_partitioned(to, &machine) {
            return;
        }
        let connection = self.new_connection();
        if !copy {
            let origin = Origin::Agent(machine, serial);
            self.connections.insert(connection, origin);
        }
        let path = wire::HEARTBEAT_PATH.to_string();
        self.post(to, connection, Listener::Front, path, body);
    }

    /// Keeps copies for the next leader, and sends others, to every controller: also to one
    /// that leads by then.
    fn copy_heartbeat(&mut self, machine: &str, serial: u64, body: &[u8]) {
        let copy = |to| SimMessage::Heartbeat {
            machine: machine.to_string(),
            serial,
            to,
            body: body.to_vec(),
            copy: true,
        };
        if self.copies_for_next.is_some() {
            self.kept_copies.extend((0..3).map(copy));
        }
        for after_ms in self.copies_after.clone() {
            for to in 0..3 {
                self.send(after_ms, copy(to));
            }
        }
    }

    fn new_connection(&mut self) -> usize {
        self.next_connection += 1;
        self.next_connection - 1
    }

    fn post(
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
