//! Handling of users' requests, from their arrival to the response.

use prost::Message;
use tracing::debug;

use super::calls::PendingCall;
use super::commits::WriteOwner;
use super::http::{HttpCall, HttpResponse};
use super::responses::{self, KeyRead};
use super::user_request_parser::{parse_request, ParsedRequest};
use super::user_request_table::CacheFreshness;
use super::user_types::{
    Caller, JobStatus, PendingRequest, RequestOrigin, RequestStage, UserRequest,
};
use super::Controller;
use crate::net::{status, Outcome};
use crate::peer_protocol::{ForwardedReply, ForwardedRequest, FORWARD_PATH};
use crate::watch_cache::{final_state_key, job_key};
use crate::wire::{self, Condition, Write};
use crate::write_queue::{CommitResult, WriteClass, WriteRequest};

const FORWARD_TIMEOUT_MS: u64 = 1600;
/// Delay before a write that was rejected, or whose outcome is unknown, is tried again.
const RETRY_DELAY_MS: u64 = 150;

impl Controller {
    /// Whether health checks should route users to this controller. They should not if the
    /// store is reachable for another controller and not for this one, or if this one hears
    /// from no peer: users would stay with it and get no response while it is partitioned. A
    /// store outage that all controllers see leaves them healthy.
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
        let ParsedRequest { job, request } = match parse_request(method, path, &body) {
            Ok(parsed) => parsed,
            Err(error) => {
                debug!(%error, body = wire::format_for_log(&body), "rejecting a malformed user request");
                return self.respond_to_caller(caller, error.response());
            }
        };
        // A final state never changes, so it is valid even if the watch cache is outdated.
        if let Some(state) = self.watch_cache.final_state(&job) {
            let job_status = JobStatus::new(state.status());
            return self.respond_with_status(caller, &job, status::OK, job_status);
        }
        if !self.user_requests.admits() {
            let response = HttpResponse::error(status::TOO_MANY_REQUESTS, "too much at once");
            return self.respond_to_caller(caller, response.with_retry_after());
        }
        let (after_event, now) = (self.clock.sequence(), self.clock.steady_ms());
        let request_id = self
            .user_requests
            .insert(caller, job, request, body, after_event, now);
        if !self.watch_cache.loaded || !self.is_store_reachable() || self.is_outdated() {
            return self.forward_request(request_id);
        }
        self.accept_new_job(request_id);
    }

    /// Queues the write that marks a live job as cancelled.
    fn cancel_job(&mut self, request_id: u64, job_id: &str) {
        let Some(live) = self.watch_cache.jobs.get(job_id) else {
            return;
        };
        let mut record = (*live.record).clone();
        record.cancelled = true;
        let request = WriteRequest {
            owner: WriteOwner::User(request_id),
            conditions: vec![Condition::new(job_key(job_id), live.version)],
            writes: vec![Write::set(job_key(job_id), record.to_value(self.format()))],
            class: WriteClass::User,
        };
        self.user_requests
            .set_stage(request_id, RequestStage::Commit);
        self.store.push_write(request);
    }

    /// Forwards a request to a peer for which the store is reachable. If there is none, or the
    /// request was forwarded already, responds that the user should retry.
    pub(super) fn forward_request(&mut self, request_id: u64) {
        let Some(pending) = self.user_requests.get(request_id) else {
            return;
        };
        let caller = pending.caller;
        let address = self.peers.peer_with_reachable_store(self.clock.steady_ms());
        let Some(address) = address.filter(|_| caller.origin == RequestOrigin::User) else {
            self.user_requests.remove(request_id);
            let reason = "the state service does not answer";
            let response = HttpResponse::error(status::UNAVAILABLE, reason);
            return self.respond_to_caller(caller, response.with_retry_after());
        };
        let body = forwarded_request(pending).encode_to_vec();
        self.user_requests
            .set_stage(request_id, RequestStage::Forwarded);
        let call = HttpCall::post(FORWARD_PATH, body, FORWARD_TIMEOUT_MS);
        self.outbox
            .call(PendingCall::Forward { request_id }, address, call);
    }

    /// Forwards the requests that wait for a read of the store, after it has failed.
    pub(super) fn forward_waiting_requests(&mut self) {
        for request_id in self.user_requests.waiting_for_cache() {
            self.forward_request(request_id);
        }
    }

    /// How far the watch cache has caught up with the store.
    pub(super) fn cache_freshness(&self) -> CacheFreshness {
        let complete = self.cache_reads.up_to_date_as_of();
        CacheFreshness {
            up_to_date_as_of: complete.map_or(0, |complete| complete.sequence),
            revision: self.watch_cache.revision,
        }
    }

    /// Decides the waiting requests for which the updated watch cache is recent enough.
    pub(super) fn resolve_waiting_requests(&mut self) {
        if !self.watch_cache.loaded {
            // The cache is being reloaded and lacks the pages that were not read yet.
            return;
        }
        for request_id in self.user_requests.decidable(self.cache_freshness()) {
            self.resolve_request(request_id);
        }
    }

    /// Decides a request with a watch cache that is newer than the request.
    fn resolve_request(&mut self, request_id: u64) {
        let Some(pending) = self.user_requests.get(request_id) else {
            return;
        };
        let job = pending.job.clone();
        let is_cancel = matches!(pending.request, UserRequest::Cancel);
        if let Some(state) = self.watch_cache.final_state(&job) {
            return self.finish_with_status(request_id, status::OK, JobStatus::new(state.status()));
        }
        if !self.watch_cache.jobs.contains_key(&job) {
            // Neither live nor known to have ended: look the final state up in the store.
            return self.read_final_state(request_id, &job);
        }
        if self.watch_cache.is_cancelled(&job) {
            return self.finish_with_status(
                request_id,
                status::OK,
                JobStatus::new(wire::CANCELLED),
            );
        }
        if is_cancel {
            return self.cancel_job(request_id, &job);
        }
        if self
            .watch_cache
            .dependencies
            .has_unresolved_dependency(&job)
        {
            // The outcome of a dependency that is still being looked up may cancel the job.
            let after_event = self.clock.sequence() + 1;
            let stage = RequestStage::AwaitCache {
                after_event,
                revision: 0,
            };
            return self.user_requests.set_stage(request_id, stage);
        }
        if let Some(live) = self.watch_cache.jobs.get(&job) {
            let job_status = JobStatus::of_live(&live.record);
            self.finish_with_status(request_id, status::OK, job_status);
        }
    }

    fn read_final_state(&mut self, request_id: u64, job_id: &str) {
        self.user_requests.set_stage(request_id, RequestStage::Read);
        let call = HttpCall::get_key(&final_state_key(job_id));
        self.outbox
            .call_store(PendingCall::ReadFinalState { request_id }, call);
    }

    pub(super) fn on_final_state(&mut self, request_id: u64, outcome: &Outcome) {
        let Some(pending) = self.user_requests.get(request_id) else {
            return;
        };
        match responses::key_read(outcome) {
            KeyRead::Found(body) => {
                let job_id = pending.job.clone();
                match self.record_final_state_reply(&job_id, body) {
                    Some(state) => {
                        self.finish_with_status(
                            request_id,
                            status::OK,
                            JobStatus::new(state.status()),
                        );
                    }
                    None => self.finish_request(request_id, HttpResponse::unavailable()),
                }
            }
            KeyRead::NotFound => self.on_unknown_job(request_id),
            KeyRead::Failed => self.forward_request(request_id),
        }
    }

    pub(super) fn on_user_commit(&mut self, request_id: u64, result: &CommitResult) {
        let Some(pending) = self.user_requests.get(request_id) else {
            return;
        };
        let stage = match result {
            CommitResult::Committed { .. } => {
                return match pending.request {
                    UserRequest::Cancel => {
                        self.finish_with_status(
                            request_id,
                            status::OK,
                            JobStatus::new(wire::CANCELLED),
                        );
                    }
                    _ => self.finish_with_status(
                        request_id,
                        status::CREATED,
                        JobStatus::new(wire::PENDING),
                    ),
                };
            }
            // Another write changed the records first: decide again with their new state.
            CommitResult::Conflict { revision, .. } => RequestStage::AwaitCache {
                after_event: self.clock.sequence(),
                revision: *revision,
            },
            CommitResult::Rejected | CommitResult::Unknown => RequestStage::Pause {
                until: self.clock.steady_ms() + RETRY_DELAY_MS,
            },
        };
        self.user_requests.set_stage(request_id, stage);
    }

    /// Ends requests that exceeded their timeout, and retries those whose delay is over.
    pub(super) fn tick_user_requests(&mut self) {
        let now = self.clock.steady_ms();
        let overdue = self.user_requests.overdue(now);
        let paused = self.user_requests.resumable(now);
        for request_id in overdue {
            // A write in flight may still be committed; the user's retry finds out.
            self.store.cancel_writes(
                |owner| matches!(owner, WriteOwner::User(other) if *other == request_id),
            );
            self.finish_request(request_id, HttpResponse::unavailable());
        }
        for request_id in paused {
            self.retry_request(request_id);
        }
    }

    fn retry_request(&mut self, request_id: u64) {
        if !self.is_store_reachable() {
            return self.forward_request(request_id);
        }
        let Some(pending) = self.user_requests.get(request_id) else {
            return;
        };
        match pending.request {
            // Repeats the same create. If the first one was committed, the condition fails and
            // the job is found in the watch cache.
            UserRequest::Submit(_) => self.create_job(request_id),
            UserRequest::Poll | UserRequest::Cancel => {
                let after_event = self.clock.sequence();
                let stage = RequestStage::AwaitCache {
                    after_event,
                    revision: 0,
                };
                self.user_requests.set_stage(request_id, stage);
            }
        }
    }

    /// Relays the response to a forwarded request from the peer to the user.
    pub(super) fn on_forward_outcome(&mut self, request_id: u64, outcome: &Outcome) {
        let Some(reply) = responses::decode_peer::<ForwardedReply>(outcome) else {
            return self.finish_request(request_id, HttpResponse::unavailable());
        };
        if wire::is_cancelled_reply(&reply.body) {
            if let Some(job) = self
                .user_requests
                .get(request_id)
                .map(|pending| pending.job.clone())
            {
                self.acknowledge_cancellation(&job);
            }
        }
        let response = HttpResponse {
            status: reply.status as u16,
            retry_after_s: reply.retry_after,
            body: reply.body,
        };
        self.finish_request(request_id, response);
    }
}

/// The message that forwards a request to a peer.
fn forwarded_request(pending: &PendingRequest) -> ForwardedRequest {
    let job = &pending.job;
    let (method, path) = match &pending.request {
        UserRequest::Submit(_) => ("POST", wire::JOBS_PATH.to_string()),
        UserRequest::Poll => ("GET", wire::job_path(job)),
        UserRequest::Cancel => ("POST", wire::cancellation_path(job)),
    };
    ForwardedRequest {
        method: method.into(),
        path,
        body: pending.body.clone(),
    }
}
