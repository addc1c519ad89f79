//! Decides which submissions are accepted, and writes the records of new jobs.

use tracing::debug;

use super::commits::WriteOwner;
use super::job_validation;
use super::user_request_parser::RequestError;
use super::user_types::{RejectionReason, RequestStage, UserRequest};
use super::Controller;
use crate::job::{JobRecord, JobSpec};
use crate::watch_cache::{final_state_key, job_key};
use crate::wire::{Condition, Write};
use crate::write_queue::{WriteClass, WriteRequest};

impl Controller {
    /// Starts to create a job that is new and can run. Any other request, also one to be
    /// rejected, waits for a newer watch cache, since the job may have been accepted earlier.
    pub(super) fn accept_new_job(&mut self, request_id: u64) {
        let Some(pending) = self.user_requests.get(request_id) else {
            return;
        };
        let UserRequest::Submit(spec) = &pending.request else {
            return;
        };
        if self.watch_cache.jobs.contains_key(&pending.job) {
            return;
        }
        match self.check_runnable(spec) {
            Ok(()) => self.resolve_dependencies(request_id),
            Err(reason) => debug!(
                job = pending.job,
                %reason,
                "submission not accepted yet; waiting for a newer watch cache"
            ),
        }
    }

    fn check_runnable(&self, spec: &JobSpec) -> Result<(), RejectionReason> {
        let cluster = &self.settings.cluster;
        let machine_types = self.provider.machine_types();
        job_validation::check_runnable(spec, cluster, &machine_types, self.clock.wall_ms())
    }

    /// Queues the write of a new job's record, which fails if the job exists already.
    pub(super) fn create_job(&mut self, request_id: u64) {
        let Some(pending) = self.user_requests.get(request_id) else {
            return;
        };
        let UserRequest::Submit(spec) = &pending.request else {
            return;
        };
        let record = JobRecord::new((**spec).clone(), self.clock.wall_ms());
        let job = &pending.job;
        let write = WriteRequest {
            owner: WriteOwner::User(request_id),
            conditions: vec![
                Condition::new(job_key(job), 0),
                Condition::new(final_state_key(job), 0),
            ],
            writes: vec![Write::set(job_key(job), record.to_value(self.format()))],
            class: WriteClass::User,
        };
        self.user_requests
            .set_stage(request_id, RequestStage::Commit);
        self.store.push_write(write);
    }

    /// Handles a request for a job that was never accepted: decides a submission, and responds
    /// to any other request that there is no such job.
    pub(super) fn on_unknown_job(&mut self, request_id: u64) {
        let Some(pending) = self.user_requests.get(request_id) else {
            return;
        };
        let UserRequest::Submit(spec) = &pending.request else {
            return self.finish_request(request_id, RequestError::NoSuchJob.response());
        };
        let decision = match self.check_runnable(spec) {
            Ok(()) if pending.has_unknown_dependency => Err(RejectionReason::UnknownDependency),
            decision => decision,
        };
        match decision {
            Ok(()) => self.resolve_dependencies(request_id),
            Err(reason) => self.finish_request(request_id, reason.response()),
        }
    }
}
