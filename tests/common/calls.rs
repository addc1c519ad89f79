//! Messages that controllers send: calls to other hosts and answers to requests, and the return
//! of the calls' outcomes.

use gaugesill::net::{Action, Event, Outcome};
use std::net::SocketAddr;

use super::addresses::{controller_at, machine_at, AGENTS_IP, CLOUD_IP, STORE_IP};
use super::messages::{Call, HeartbeatAnswer, Origin, SimMessage, Ticket};
use super::sim::Sim;
use super::users::UserAnswer;

/// Network delay of a call.
const CALL_DELAY_MS: u64 = 2;

impl Sim {
    pub(super) fn execute(&mut self, controller: usize, action: Action) {
        let action = self.status_as_previous_version(controller, action);
        self.digest.add_action(self.now, controller, &action);
        match action {
            Action::Response {
                connection,
                status,
                retry_after_s,
                body,
            } => {
                let answer = UserAnswer {
                    status,
                    retry_after_s,
                    body,
                };
                self.send_answer(controller, connection, answer);
            }
            Action::Call {
                tag,
                address,
                method,
                path,
                body,
                timeout_ms,
            } => {
                let ticket = Ticket {
                    controller,
                    generation: self.lifecycles.generation(controller),
                    tag,
                };
                self.network.open_call(ticket, self.now + timeout_ms);
                let call = Call {
                    ticket,
                    method,
                    path,
                    body,
                };
                self.send(CALL_DELAY_MS, addressed(address, call));
            }
        }
    }

    fn send_answer(&mut self, controller: usize, connection: usize, answer: UserAnswer) {
        match self.network.take_origin(connection) {
            Some(Origin::Agent { machine, serial })
                if self.faults.can_receive(&machine, controller) =>
            {
                let answer = HeartbeatAnswer {
                    machine,
                    serial,
                    from: controller,
                    status: answer.status,
                    body: answer.body,
                };
                self.send(1, SimMessage::HeartbeatAnswer(answer));
            }
            Some(Origin::Peer(ticket)) => {
                let UserAnswer { status, body, .. } = answer;
                self.respond(1, ticket, Outcome::Response { status, body });
            }
            Some(Origin::User(slot)) => self.on_user_answer(slot, answer),
            Some(Origin::Agent { .. }) | None => {}
        }
    }

    /// Sends a message that arrives `after_ms` later.
    pub(super) fn send(&mut self, after_ms: u64, message: SimMessage) {
        self.network.send(self.now + after_ms, message);
    }

    /// Sends the outcome of a call.
    pub(super) fn respond(&mut self, after_ms: u64, ticket: Ticket, outcome: Outcome) {
        self.send(after_ms, SimMessage::Reply { ticket, outcome });
    }

    /// Sends a status without a body as the outcome of a call.
    pub(super) fn respond_status(&mut self, after_ms: u64, ticket: Ticket, status: u16) {
        let body = vec![];
        self.respond(after_ms, ticket, Outcome::Response { status, body });
    }

    /// Delivers the outcome of a call to the process that made it, if that process still runs and
    /// waits for it.
    pub(super) fn reply(&mut self, ticket: Ticket, outcome: Outcome) {
        let outcome = self.limit_size(outcome);
        let Ticket {
            controller,
            generation,
            tag,
        } = ticket;
        let is_current = self.lifecycles.generation(controller) == generation;
        if is_current && self.network.close_call(ticket) {
            self.event(controller, Event::CallFinished { tag, outcome });
        }
    }

    fn limit_size(&mut self, outcome: Outcome) -> Outcome {
        let max = self.faults.reply_bytes_max.unwrap_or(usize::MAX);
        match outcome {
            Outcome::Response { body, .. } if body.len() > max => {
                self.oversized_replies += 1;
                Outcome::TooLarge
            }
            outcome => outcome,
        }
    }
}

/// Wraps a call in a message to the host at an address.
fn addressed(address: SocketAddr, call: Call) -> SimMessage {
    match address.ip() {
        STORE_IP => SimMessage::ToStore(call),
        CLOUD_IP => SimMessage::ToCloud(call),
        AGENTS_IP => SimMessage::ToAgent {
            machine: machine_at(address),
            call,
        },
        _ => SimMessage::ToPeer {
            to: controller_at(address),
            call,
        },
    }
}
