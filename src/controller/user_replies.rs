//! Sends responses to users, directly or through the peer that forwarded the request.

use prost::Message;

use super::http::HttpResponse;
use super::user_types::{Caller, JobStatus, RequestOrigin};
use super::Controller;
use crate::peer_protocol::ForwardedReply;
use crate::wire;

impl Controller {
    pub(super) fn finish_request(&mut self, request_id: u64, response: HttpResponse) {
        if let Some(pending) = self
            .user_requests
            .finish(request_id, self.clock.steady_ms())
        {
            self.respond_to_caller(pending.caller, response);
        }
    }

    pub(super) fn finish_with_status(&mut self, request_id: u64, status: u16, job: JobStatus) {
        if let Some(pending) = self
            .user_requests
            .finish(request_id, self.clock.steady_ms())
        {
            self.respond_with_status(pending.caller, &pending.job, status, job);
        }
    }

    pub(super) fn respond_with_status(
        &mut self,
        caller: Caller,
        job_id: &str,
        status: u16,
        job: JobStatus,
    ) {
        if job.status == wire::CANCELLED {
            self.acknowledge_cancellation(job_id);
        }
        let body = wire::encode(&wire::JobStatusReply {
            id: job_id,
            status: job.status,
            done: job.tasks.as_ref().map(|tasks| tasks.done),
            running: job.tasks.as_ref().map(|tasks| tasks.running),
        });
        self.respond_to_caller(caller, HttpResponse::new(status, body));
    }

    /// Responds to a user, or to the peer that forwarded the user's request.
    pub(super) fn respond_to_caller(&mut self, caller: Caller, response: HttpResponse) {
        let response = match caller.origin {
            RequestOrigin::User => response,
            RequestOrigin::Peer => HttpResponse::ok(
                ForwardedReply {
                    status: u32::from(response.status),
                    retry_after: response.retry_after_s,
                    body: response.body,
                }
                .encode_to_vec(),
            ),
        };
        self.outbox.respond(caller.connection, response);
    }
}
