//! Answers to users, directly or through the controller that forwarded the request.

use prost::Message;

use super::user_types::{Caller, PendingRequest, TaskCounts};
use super::Controller;
use crate::peer_protocol::ForwardedReply;
use crate::wire;

impl Controller {
    /// Removes a request that has its answer.
    pub(super) fn take_user(&mut self, user: u64) -> Option<PendingRequest> {
        let pending = self.users.remove(&user)?;
        let now = self.now.steady;
        let took_ms = now - pending.since;
        self.admission.record(took_ms, self.users.len() + 1, now);
        Some(pending)
    }

    pub(super) fn finish_user(
        &mut self,
        user: u64,
        status: u16,
        retry_after: Option<u32>,
        body: Vec<u8>,
    ) {
        if let Some(pending) = self.take_user(user) {
            self.reply(pending.caller, status, retry_after, body);
        }
    }

    pub(super) fn finish_status(
        &mut self,
        user: u64,
        status: u16,
        job_status: &str,
        counts: Option<TaskCounts>,
    ) {
        if let Some(pending) = self.take_user(user) {
            self.reply_status(pending.caller, &pending.id, status, job_status, counts);
        }
    }

    pub(super) fn reply_status(
        &mut self,
        caller: Caller,
        id: &str,
        status: u16,
        job_status: &str,
        counts: Option<TaskCounts>,
    ) {
        if job_status == wire::WITHDRAWN {
            self.acknowledge_cancellation(id);
        }
        let body = wire::encode(&wire::JobStatusReply {
            id,
            status: job_status,
            done: counts.as_ref().map(|counts| counts.done),
            running: counts.as_ref().map(|counts| counts.running),
        });
        self.reply(caller, status, None, body);
    }

    pub(super) fn reply_error(
        &mut self,
        caller: Caller,
        status: u16,
        retry_after: Option<u32>,
        reason: &str,
    ) {
        let body = wire::encode(&wire::ErrorReply { error: reason });
        self.reply(caller, status, retry_after, body);
    }

    pub(super) fn reply(
        &mut self,
        caller: Caller,
        status: u16,
        retry_after: Option<u32>,
        body: Vec<u8>,
    ) {
        if !caller.forwarded {
            return self.answer(caller.connection, status, retry_after, body);
        }
        let reply = ForwardedReply {
            status: u32::from(status),
            retry_after,
            body,
        };
        self.answer(caller.connection, 200, None, reply.encode_to_vec());
    }
}
