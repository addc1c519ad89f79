//! Users: their requests, the controllers' answers, and the checks of these answers.

use ciborium::Value;
use gaugesill::job::Shape;
use gaugesill::net::{Event, Listener, Request};
use gaugesill::wire;
use std::collections::{BTreeSet, HashMap, HashSet};

use super::agent_ticks::CANCEL_MS;
use super::messages::{Job, Origin};
use super::sim::Sim;
use super::values::field;

/// Time after which a user sends an unanswered cancellation to the next controller.
const CANCEL_RETRY_MS: u64 = 1500;
/// How many times a user sends a cancellation.
const CANCEL_ATTEMPTS: usize = 60;

/// A controller's answer to a request.
#[derive(Clone, Debug)]
pub(crate) struct UserAnswer {
    pub status: u16,
    /// The Retry-After header, in seconds.
    pub retry_after_s: Option<u32>,
    pub body: Vec<u8>,
}

/// The HTTP status and the job's status in an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct JobReply {
    pub code: u16,
    /// Empty if the answer contains no status.
    pub status: String,
}

pub(crate) fn job_reply(code: u16, status: &str) -> JobReply {
    JobReply {
        code,
        status: status.into(),
    }
}

/// The requests of users and the answers to them.
#[derive(Default)]
pub(crate) struct Users {
    /// The answer to each request, in the order of the requests.
    pub answers: Vec<Option<UserAnswer>>,
    /// Jobs whose cancellation users have requested.
    cancel_requested: HashSet<String>,
    /// Jobs that were already accepted when a request for them was sent, by the request's slot.
    accepted_before: HashMap<usize, String>,
    /// The last status of each job that was reported to any user.
    last_reported_status: HashMap<String, String>,
}

impl Users {
    fn last_status(&self, id: &str) -> &str {
        self.last_reported_status.get(id).map_or("", String::as_str)
    }
}

fn is_final(status: &str) -> bool {
    status == "done" || status == "withdrawn"
}

fn text_field(reply: &Value, name: &str) -> String {
    let text = field(reply, name).and_then(Value::as_text);
    text.unwrap_or("").to_string()
}

fn decode_reply(body: &[u8]) -> Value {
    ciborium::from_reader(body).unwrap_or(Value::Null)
}

/// The job that a request's path names.
fn job_in_path(path: &str) -> Option<&str> {
    path.split('/').nth(2)
}

impl Sim {
    /// Sends a user's request to a controller; returns the slot of the answer.
    pub(crate) fn send_user_request(
        &mut self,
        controller: usize,
        method: &str,
        path: &str,
        body: Vec<u8>,
    ) -> usize {
        let slot = self.users.answers.len();
        self.users.answers.push(None);
        self.record_request(slot, path);
        let connection = self.network.connect(Origin::User(slot));
        let request = Request {
            method: method.into(),
            path: path.into(),
            body,
        };
        let event = Event::Request {
            connection,
            listener: Listener::Front,
            request,
        };
        self.event(controller, event);
        slot
    }

    fn record_request(&mut self, slot: usize, path: &str) {
        let Some(id) = job_in_path(path) else {
            return;
        };
        if path.ends_with("/cancel") {
            self.users.cancel_requested.insert(id.to_string());
        }
        if self.jobs.get(id).is_some_and(|job| job.accepted) {
            self.users.accepted_before.insert(slot, id.to_string());
        }
    }

    /// Polls a job's status; returns the slot of the answer.
    pub(crate) fn poll(&mut self, controller: usize, id: &str) -> usize {
        self.send_user_request(controller, "GET", &format!("/work/{id}"), vec![])
    }

    /// Requests a job's cancellation; returns the slot of the answer.
    pub(crate) fn cancel(&mut self, controller: usize, id: &str) -> usize {
        let path = format!("/work/{id}/cancel");
        self.send_user_request(controller, "POST", &path, vec![])
    }

    /// Submits a job whose tasks run for `run_ms`; returns the slot of the answer.
    pub(crate) fn submit(&mut self, controller: usize, submission: &Value, run_ms: u64) -> usize {
        let body = wire::encode(submission);
        if let Ok((id, spec)) = wire::parse_submission(&body) {
            self.jobs.entry(id).or_insert(Job {
                tasks: spec.tasks,
                gang: spec.shape == Shape::Gang,
                single_zone: spec.single_zone,
                spread: spec.spread,
                dependencies: spec.dependencies,
                accepted: false,
                started_at: None,
                cpus: spec.cpus,
                run_ms,
                cancelled_at: None,
                done: BTreeSet::new(),
            });
        }
        self.send_user_request(controller, "POST", "/work", body)
    }

    /// The answer to a request; `None` if it has not arrived.
    pub(crate) fn answer(&self, slot: usize) -> Option<JobReply> {
        let answer = self.users.answers[slot].as_ref()?;
        Some(JobReply {
            code: answer.status,
            status: text_field(&decode_reply(&answer.body), "status"),
        })
    }

    pub(super) fn on_user_answer(&mut self, slot: usize, answer: UserAnswer) {
        let reply = decode_reply(&answer.body);
        let (id, status) = (text_field(&reply, "nameId"), text_field(&reply, "status"));
        if let Some(job) = self.jobs.get_mut(&id) {
            job.accepted |= matches!(answer.status, 200 | 201);
        }
        if answer.status == 503 && answer.retry_after_s.is_none() {
            self.log
                .violation("a 503 response has no Retry-After header");
        }
        if !status.is_empty() {
            self.on_status_reported(id, status);
        }
        if answer.status == 404 {
            self.check_not_forgotten(slot);
        }
        self.users.answers[slot] = Some(answer);
    }

    /// Checks and stores a status that was reported to a user.
    fn on_status_reported(&mut self, id: String, status: String) {
        let is_new = self.users.last_status(&id) != status;
        self.check_status(&id, &status);
        let now = self.now;
        if let Some(job) = self.jobs.get_mut(&id).filter(|_| status == "withdrawn") {
            job.cancelled_at.get_or_insert(now);
        }
        if is_new {
            self.trace_event(format!("user is told {id} {status}"));
        }
        self.users.last_reported_status.insert(id, status);
    }

    fn check_status(&mut self, id: &str, status: &str) {
        let last = self.users.last_status(id);
        if is_final(last) && last != status {
            let text = format!("went_back: {id} {last} then {status}");
            self.log.violation(text);
        }
        let cancelled_since = self.cancelled_since(id);
        let is_overdue = cancelled_since.is_some_and(|since| self.now > since + CANCEL_MS);
        if is_overdue && !is_final(status) {
            self.log.violation(format!(
                "orphaned: {id} is {status} after the cancellation deadline"
            ));
        }
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        if status == "withdrawn" && !self.is_cancel_requested(id) {
            self.log
                .violation(format!("{id} is withdrawn without a cancellation request"));
        }
        if status == "done" && !job.is_done() {
            self.log.violation(format!(
                "not_done: {id} is reported as done before its tasks are"
            ));
        }
    }

    /// Checks that a 404 response is not for a job that was accepted before the request.
    fn check_not_forgotten(&mut self, slot: usize) {
        if let Some(id) = self.users.accepted_before.get(&slot) {
            if self.jobs.get(id).is_some_and(|job| job.accepted) {
                self.log.violation(format!("forgotten: {id} gets 404"));
            }
        }
    }

    /// Sends a cancellation to one controller after the other until one answers with the job's
    /// final status, which is returned.
    pub(crate) fn cancel_until_answered(&mut self, id: &str) -> String {
        for attempt in 0..CANCEL_ATTEMPTS {
            let slot = self.cancel(attempt % self.controllers.len(), id);
            let is_confirmed = |sim: &Sim| sim.answer(slot).is_some_and(|reply| reply.code == 200);
            if self.run_until(CANCEL_RETRY_MS, is_confirmed) {
                return self.answer(slot).expect("an answer").status;
            }
        }
        panic!(
            "no controller confirms the cancellation of {id}\n{}",
            self.trace_text()
        );
    }

    /// Whether a job or one of its dependencies is reported as cancelled.
    pub(crate) fn is_cancelled(&self, id: &str) -> bool {
        self.cancelled_since(id).is_some()
    }

    /// Whether users requested the cancellation of a job or one of its dependencies.
    fn is_cancel_requested(&self, id: &str) -> bool {
        let dependencies = self.jobs.get(id).map_or(&[][..], |job| &job.dependencies);
        self.users.cancel_requested.contains(id)
            || dependencies.iter().any(|id| self.is_cancel_requested(id))
    }

    /// When a job or one of its dependencies was first reported as cancelled.
    fn cancelled_since(&self, id: &str) -> Option<u64> {
        let job = self.jobs.get(id)?;
        let dependencies = job.dependencies.iter();
        let inherited = dependencies.filter_map(|id| self.cancelled_since(id));
        inherited.chain(job.cancelled_at).min()
    }
}
