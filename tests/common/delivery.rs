//! Messages that arrive.

use gaugesill::net::{Event, Listener, Outcome, Request};
use gaugesill::wire::{self, CommandBatch};

use super::messages::*;
use super::sim::*;
use super::state_service::*;

impl Sim {
    pub(super) fn deliver(&mut self, m: Msg) {
        match m {
            Msg::State {
                ticket,
                method,
                path,
                body,
            } => {
                if self.no_state.contains(&ticket.node) {
                    // Held back, and carried out late.
                    self.reservations.push(Msg::State {
                        ticket,
                        method,
                        path,
                        body,
                    });
                    return;
                }
                if self.state_out || self.refused.contains(&ticket.node) {
                    let outcome = Outcome::Answer {
                        status: 503,
                        body: vec![],
                    };
                    return self.respond(2, ticket, outcome);
                }
                if self.blind.contains(&ticket.node) && matches!(method, "GET" | "DELETE") {
                    return;
                }
                let mut answered = true;
                let body = self.as_old(ticket.node, &path, body);
                if path == "/txn" {
                    self.txns += 1;
                    match self.writes {
                        Writes::Unanswered(n) => answered = self.txns % n != 0,
                        Writes::Late(n, ms) if self.txns % n == 0 => {
                            let m = Msg::State {
                                ticket,
                                method,
                                path,
                                body,
                            };
                            self.held_writes.push((self.now + ms, m));
                            return;
                        }
                        _ => {}
                    }
                }
                match self.state.handle(method, &path, &body, self.now) {
                    Served::Timestamp(status, body) => {
                        for c in std::mem::take(&mut self.state.commits) {
                            self.note(c);
                        }
                        if !answered {
                            return;
                        }
                        let outcome = Outcome::Answer { status, body };
                        self.respond(2, ticket, outcome);
                    }
                    Served::Wait(under, from, until) => {
                        self.watches.push(Watch {
                            ticket,
                            under,
                            from,
                            until,
                        });
                    }
                }
            }
            Msg::Cloud {
                ticket,
                method,
                path,
                body,
            } => {
                let (status, body) = self.cloud.handle(method, &path, &body, self.now);
                let outcome = Outcome::Answer { status, body };
                self.respond(100, ticket, outcome);
            }
            Msg::Worker {
                ticket,
                machine,
                path,
                body,
            } => {
                if self.hung.contains_key(&machine) {
                    self.hung_inbox.push(Msg::Worker {
                        ticket,
                        machine,
                        path,
                        body,
                    });
                    return;
                }
                if self.apart(ticket.node, &machine)
                    || self.deaf.contains(&machine)
                    || !self.workers.contains_key(&machine)
                {
                    return;
                }
                let mut status = 200;
                if path == "/orders" {
                    let o: CommandBatch = wire::decode(&body).expect("orders");
                    let w = &self.workers[&machine];
                    if o.epoch < w.epoch || o.session != Some(w.session) {
                        status = 409;
                    } else {
                        self.commands(&machine, o);
                    }
                }
                let (Some(w), Some(r)) = (
                    self.workers.get_mut(&machine),
                    self.cloud.machines.get(&machine),
                ) else {
                    return;
                };
                let body = wire::encode(&w.report(r));
                let outcome = Outcome::Answer { status, body };
                self.respond(1, ticket, outcome);
            }
            Msg::Peer {
                ticket,
                to,
                path,
                body,
            } => {
                let apart = [ticket.node, to].iter().any(|n| self.no_peers.contains(n));
                if self.nodes[to].is_none() || apart {
                    return;
                }
                let connection = self.next_conn;
                self.next_conn += 1;
                self.conns.insert(connection, Origin::Peer(ticket));
                let request = Request {
                    method: "POST".into(),
                    path,
                    body,
                };
                self.event(
                    to,
                    Event::Request {
                        connection,
                        listener: Listener::Mesh,
                        request,
                    },
                );
            }
            Msg::Reply { ticket, outcome } => self.reply(ticket, outcome),
            Msg::Checkin {
                machine,
                serial,
                to,
                body,
                copy,
            } => {
                if self.cut.contains(&machine) && self.inside != Some(to) {
                    self.late.push(Msg::Checkin {
                        machine,
                        serial,
                        to,
                        body,
                        copy,
                    });
                    return;
                }
                if self.mute.contains(&machine) && !copy {
                    return;
                }
                if self.copies_for_next.is_some() && !copy {
                    for to in 0..3 {
                        self.kept_copies.push(Msg::Checkin {
                            machine: machine.clone(),
                            serial,
                            to,
                            body: body.clone(),
                            copy: true,
                        });
                    }
                }
                if !copy {
                    // To every controller: also to one that leads by then.
                    for (after, to) in self
                        .copies_after
                        .clone()
                        .into_iter()
                        .flat_map(|a| (0..3).map(move |n| (a, n)))
                    {
                        let again = Msg::Checkin {
                            machine: machine.clone(),
                            serial,
                            to,
                            body: body.clone(),
                            copy: true,
                        };
                        self.send(after, again);
                    }
                }
                if self.nodes[to].is_none() || self.apart(to, &machine) {
                    return;
                }
                let connection = self.next_conn;
                self.next_conn += 1;
                if !copy {
                    self.conns
                        .insert(connection, Origin::Worker(machine, serial));
                }
                let request = Request {
                    method: "POST".into(),
                    path: "/checkin".into(),
                    body,
                };
                self.event(
                    to,
                    Event::Request {
                        connection,
                        listener: Listener::Front,
                        request,
                    },
                );
            }
            Msg::Answer {
                machine,
                serial,
                from,
                status,
                body,
            } => self.worker_answer(&machine, serial, from, status, &body),
        }
    }
}
