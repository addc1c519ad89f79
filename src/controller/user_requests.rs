//! Users' requests.

use prost::Message;
use tracing::debug;

use super::calls::PendingCall;
use super::commits::WriteOwner;
use super::http::{HttpCall, HttpResponse};
use super::responses::{self, KeyRead};
use super::user_types::{
    Caller, JobStatus, PendingRequest, RequestOrigin, RequestStage, TaskCounts, UserRequest,
};
use super::Controller;
use crate::net::{status, Outcome};
use crate::peer_protocol::{ForwardedRequest, FORWARD_PATH};
use crate::watch_cache::{final_key, job_key};
use crate::wire::{self, Condition, Write};
use crate::write_queue::{CommitResult, WriteClass, WriteRequest};

/// A user gives up after 5 s, or 2 s for a poll.
const SUBMIT_MS: u64 = 3500;
const POLL_MS: u64 = 1700;
const FORWARD_TIMEOUT_MS: u64 = 1600;
/// Pause before a change is tried again.
const RETRY_MS: u64 = 150;

impl Controller {
    /// Fails for a controller that the store refuses while another
    /// one is served, or which hears none: users would keep to it and get no
    /// answer for as long as it is cut off. An outage that all see takes nobody
    /// out.
    pub fn is_healthy(&self) -> bool {
        if !self.watch_cache.loaded || self.is_outdated() {
            return false;
        }
        let now = self.clock.steady_ms();
        self.is_store_reachable()
            || !(self.peers.are_all_silent(now) || self.peers.is_store_reachable_elsewhere(now))
    }

    pub(super) fn on_user_request(
        &mut self,
        caller: Caller,
        method: &str,
        path: &str,
        body: Vec<u8>,
    ) {
        let (id, request) = match parse_request(method, path, &body) {
            Ok(parsed) => parsed,
            Err(error) => {
                let response = HttpResponse::error(error.status, &error.reason);
                return self.respond_to_caller(caller, response);
            }
        };
        // An end is final: no need to read anything.
        if let Some(state) = self.watch_cache.final_state(&id) {
            return self.respond_with_status(
                caller,
                &id,
                status::OK,
                JobStatus::new(state.status()),
            );
        }
        if !self.admission.admits(self.users.len()) {
            let response = HttpResponse::error(status::TOO_MANY_REQUESTS, "too much at once");
            return self.respond_to_caller(caller, response.with_retry_after());
        }
        let user = self.next_user;
        self.next_user += 1;
        let pending = PendingRequest {
            caller,
            id,
            request,
            since: self.clock.steady_ms(),
            stage: RequestStage::AwaitCache {
                after: self.clock.sequence(),
                revision: 0,
            },
            body,
            found_dependencies: vec![],
            names_unknown_job: false,
        };
        self.users.insert(user, pending);
        if !self.watch_cache.loaded || !self.is_store_reachable() || self.is_outdated() {
            return self.forward_user(user);
        }
        self.accept_new_job(user);
    }

    /// Writes a job's cancellation.
    fn cancel_job(&mut self, user: u64, id: &str) {
        let format = self.format();
        let Some(live) = self.watch_cache.jobs.get(id) else {
            return;
        };
        let mut record = (*live.record).clone();
        record.cancelled = true;
        let request = WriteRequest {
            owner: WriteOwner::User(user),
            conditions: vec![Condition::new(job_key(id), live.version)],
            writes: vec![Write::set(job_key(id), record.to_value(format))],
            class: WriteClass::User,
        };
        self.set_stage(user, RequestStage::Commit);
        self.store.push_write(request);
    }

    pub(super) fn set_stage(&mut self, user: u64, stage: RequestStage) {
        if let Some(pending) = self.users.get_mut(&user) {
            pending.stage = stage;
        }
    }

    /// Forwards a request to a controller that is served, or says when to come back.
    pub(super) fn forward_user(&mut self, user: u64) {
        let Some(pending) = self.users.get(&user) else {
            return;
        };
        let address = self.peers.served_peer(self.clock.steady_ms());
        let caller = pending.caller;
        let Some(address) = address.filter(|_| caller.origin == RequestOrigin::User) else {
            self.users.remove(&user);
            let reason = "the state service does not answer";
            let response = HttpResponse::error(status::UNAVAILABLE, reason);
            return self.respond_to_caller(caller, response.with_retry_after());
        };
        let id = &pending.id;
        let (method, path) = match &pending.request {
            UserRequest::Submit(_) => ("POST", wire::JOBS_PATH.to_string()),
            UserRequest::Poll => ("GET", format!("{}/{id}", wire::JOBS_PATH)),
            UserRequest::Cancel => ("POST", format!("{}/{id}/cancel", wire::JOBS_PATH)),
        };
        let body = ForwardedRequest {
            method: method.into(),
            path,
            body: pending.body.clone(),
        }
        .encode_to_vec();
        self.set_stage(user, RequestStage::Forwarded);
        let call = HttpCall::post(FORWARD_PATH, body, FORWARD_TIMEOUT_MS);
        self.outbox
            .call(PendingCall::Forward { user }, address, call);
    }

    /// A read for users has failed: those who wait for it are forwarded.
    pub(super) fn forward_waiting_users(&mut self) {
        let waits = |stage: RequestStage| matches!(stage, RequestStage::AwaitCache { .. });
        for user in self.users_where(|pending| waits(pending.stage)) {
            self.forward_user(user);
        }
    }

    fn users_where(&self, matches: impl Fn(&PendingRequest) -> bool) -> Vec<u64> {
        let users = self.users.iter().filter(|(_, pending)| matches(pending));
        users.map(|(user, _)| *user).collect()
    }

    /// The watch cache was read anew: whoever waited for that goes on.
    pub(super) fn resolve_waiting_users(&mut self) {
        if !self.watch_cache.loaded {
            // It is being read anew, and lacks what is on later pages.
            return;
        }
        let complete = self.store_sync.complete_as_of();
        let sequence = complete.map_or(0, |complete| complete.sequence);
        let current = self.watch_cache.revision;
        let ready = self.users_where(|pending| match pending.stage {
            RequestStage::AwaitCache { after, revision } => {
                after <= sequence && revision <= current
            }
            _ => false,
        });
        for user in ready {
            self.resolve_user(user);
        }
    }

    /// Decides with a watch cache that is newer than the request.
    fn resolve_user(&mut self, user: u64) {
        let Some(pending) = self.users.get(&user) else {
            return;
        };
        let id = pending.id.clone();
        let is_cancel = matches!(pending.request, UserRequest::Cancel);
        if let Some(state) = self.watch_cache.final_state(&id) {
            return self.finish_status(user, status::OK, JobStatus::new(state.status()));
        }
        let Some(live) = self.watch_cache.jobs.get(&id) else {
            // Neither alive nor known to be over: look.
            return self.read_final(user, &id);
        };
        if self.watch_cache.is_cancelled(&id) {
            return self.finish_status(user, status::OK, JobStatus::new(wire::WITHDRAWN));
        }
        if is_cancel {
            return self.cancel_job(user, &id);
        }
        if self.watch_cache.dependencies.has_unresolved(&id) {
            // It may be cancelled by a job that is yet to be looked up.
            let after = self.clock.sequence() + 1;
            return self.set_stage(user, RequestStage::AwaitCache { after, revision: 0 });
        }
        let counts = TaskCounts {
            done: live.record.done.len(),
            running: live.record.placed_tasks(),
        };
        let status = if counts.running > 0 {
            wire::RUNNING
        } else {
            wire::PENDING
        };
        let tasks = Some(counts);
        self.finish_status(user, status::OK, JobStatus { status, tasks });
    }

    fn read_final(&mut self, user: u64, id: &str) {
        self.set_stage(user, RequestStage::Read);
        let call = HttpCall::get_key(&final_key(id));
        self.outbox
            .call_store(PendingCall::ReadFinal { user }, call);
    }

    pub(super) fn on_final_read(&mut self, user: u64, outcome: &Outcome) {
        let Some(pending) = self.users.get(&user) else {
            return;
        };
        match responses::key_read(outcome) {
            KeyRead::Found(body) => {
                let id = pending.id.clone();
                match self.record_final_reply(&id, body) {
                    Some(state) => {
                        self.finish_status(user, status::OK, JobStatus::new(state.status()))
                    }
                    None => self.finish_user(user, HttpResponse::unavailable()),
                }
            }
            KeyRead::NotFound => self.on_unknown_job(user),
            KeyRead::Failed => self.forward_user(user),
        }
    }

    pub(super) fn on_user_commit(&mut self, user: u64, result: &CommitResult) {
        let (now, after) = (self.clock.steady_ms(), self.clock.sequence());
        let Some(pending) = self.users.get_mut(&user) else {
            return;
        };
        match result {
            CommitResult::Committed { .. } => match pending.request {
                UserRequest::Cancel => {
                    self.finish_status(user, status::OK, JobStatus::new(wire::WITHDRAWN))
                }
                _ => self.finish_status(user, status::CREATED, JobStatus::new(wire::PENDING)),
            },
            // Another change came first: see what stands now.
            CommitResult::Conflict { revision, .. } => {
                let revision = *revision;
                pending.stage = RequestStage::AwaitCache { after, revision };
            }
            CommitResult::Rejected | CommitResult::Unknown => {
                let until = now + RETRY_MS;
                pending.stage = RequestStage::Pause { until };
            }
        }
    }

    /// Ends requests that have taken too long, and goes on with those that paused.
    pub(super) fn users_tick(&mut self) {
        let now = self.clock.steady_ms();
        let is_late = |pending: &PendingRequest| {
            let max_ms = match pending.request {
                UserRequest::Poll => POLL_MS,
                UserRequest::Submit(_) | UserRequest::Cancel => SUBMIT_MS,
            };
            now > pending.since + max_ms
        };
        let late = self.users_where(is_late);
        let paused = self.users_where(|pending| {
            let over = matches!(pending.stage, RequestStage::Pause { until } if now >= until);
            over && !is_late(pending)
        });
        for user in late {
            // Its change may still get through; the user asks again.
            self.store
                .cancel_writes(|owner| matches!(owner, WriteOwner::User(other) if *other == user));
            self.finish_user(user, HttpResponse::unavailable());
        }
        for user in paused {
            self.retry_user(user);
        }
    }

    fn retry_user(&mut self, user: u64) {
        if !self.is_store_reachable() {
            return self.forward_user(user);
        }
        let after = self.clock.sequence();
        let Some(pending) = self.users.get_mut(&user) else {
            return;
        };
        match pending.request {
            // The same create: if the first one got through, this one
            // fails on its condition and the job is found.
            UserRequest::Submit(_) => self.create_job(user),
            UserRequest::Poll | UserRequest::Cancel => {
                pending.stage = RequestStage::AwaitCache { after, revision: 0 };
            }
        }
    }
}

/// Why a request can't be read.
struct RequestError {
    status: u16,
    reason: String,
}

impl RequestError {
    fn new(status: u16, reason: impl Into<String>) -> RequestError {
        RequestError {
            status,
            reason: reason.into(),
        }
    }
}

/// The job and what the user wants of it.
fn parse_request(
    method: &str,
    path: &str,
    body: &[u8],
) -> Result<(String, UserRequest), RequestError> {
    let no_such_path = || RequestError::new(status::NOT_FOUND, "no such path");
    let wrong_method = || RequestError::new(status::METHOD_NOT_ALLOWED, "not this method here");
    let rest = path
        .strip_prefix(wire::JOBS_PATH)
        .ok_or_else(no_such_path)?;
    if rest.is_empty() {
        if method != "POST" {
            return Err(RequestError::new(
                status::METHOD_NOT_ALLOWED,
                "only POST here",
            ));
        }
        let (id, spec) = wire::parse_submission(body).map_err(|e| {
            debug!("{e}: {}", wire::readable(body));
            RequestError::new(status::BAD_REQUEST, e.to_string())
        })?;
        return Ok((id, UserRequest::Submit(Box::new(spec))));
    }
    let name = rest.strip_prefix('/').ok_or_else(no_such_path)?;
    let (id, request) = match name.strip_suffix("/cancel") {
        Some(id) if method == "POST" => (id, UserRequest::Cancel),
        None if method == "GET" && !name.contains('/') => (name, UserRequest::Poll),
        None if name.contains('/') => return Err(no_such_path()),
        _ => return Err(wrong_method()),
    };
    if !wire::is_job_id(id) {
        return Err(RequestError::new(status::NOT_FOUND, "no such job"));
    }
    Ok((id.to_string(), request))
}
