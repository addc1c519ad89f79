//! Which submissions are accepted, and the records of new jobs.

use tracing::debug;

use super::commits::WriteOwner;
use super::http::HttpResponse;
use super::user_types::{Refusal, RequestStage, UserRequest};
use super::Controller;
use crate::cloud;
use crate::job::{json_length, JobRecord, JobSpec, Shape};
use crate::net::status;
use crate::watch_cache::{final_key, job_key};
use crate::wire::{Condition, Write};
use crate::write_queue::{WriteClass, WriteRequest};

/// Amounts that differ by less are the same.
const EPSILON: f64 = 1e-6;
/// Part of a value that a job's own fields may take, so that there is capacity for where
/// its tasks are.
const SPEC_SHARE: f64 = 0.6;
/// What a task's place takes in a packed record at most, with a machine's name of usual
/// length of which nothing is left out.
const PLACEMENT_BYTES: f64 = 16.0;

impl Controller {
    /// Creates a job that is not known and can run. Any other request, also one that is to
    /// be refused, waits for a newer watch cache: it may have been accepted before.
    pub(super) fn accept_new_job(&mut self, user: u64) {
        let Some(pending) = self.users.get(&user) else {
            return;
        };
        let UserRequest::Submit(spec) = &pending.request else {
            return;
        };
        if self.watch_cache.jobs.contains_key(&pending.id) {
            return;
        }
        match self.check_runnable(spec) {
            Ok(()) => self.resolve_dependencies(user),
            Err(refusal) => debug!("{}: {refusal}", pending.id),
        }
    }

    /// Whether a job can run at all.
    pub(super) fn check_runnable(&self, spec: &JobSpec) -> Result<(), Refusal> {
        let teams = &self.settings.cluster.teams;
        let team = teams.iter().find(|team| team.name == spec.team);
        let team = team.ok_or(Refusal::UnknownTeam)?;
        let tasks_at_once = match spec.shape {
            Shape::Gang => f64::from(spec.tasks),
            Shape::Array | Shape::Service => 1.0,
        };
        let beyond = |max: f64, task: f64| max > 0.0 && task * tasks_at_once > max + EPSILON;
        if beyond(team.cpus_max, spec.cpus) || beyond(team.gpus_max, spec.gpus) {
            return Err(Refusal::BeyondTeamLimit);
        }
        let machine_types = self.provider.machine_types();
        if machine_types.is_empty() {
            return Err(Refusal::MachineTypesUnknown);
        }
        if !cloud::can_run(spec, &machine_types) {
            return Err(Refusal::FitsNoMachineType);
        }
        self.check_fits_record(spec)
    }

    /// Whether a job's record fits into a value, also under limits to come: its own fields
    /// beside some places, and for a gang, whose tasks start together, all of its places.
    pub(super) fn check_fits_record(&self, spec: &JobSpec) -> Result<(), Refusal> {
        let value_bytes = self.settings.cluster.state.lowered().value_kb * 1024.0;
        let record = JobRecord::new(spec.clone(), self.clock.wall_ms()).to_value(0);
        let record_bytes = json_length(&record) as f64;
        if record_bytes > value_bytes * SPEC_SHARE {
            return Err(Refusal::TooLongToKeep);
        }
        let placements_bytes = f64::from(spec.tasks) * PLACEMENT_BYTES;
        if spec.shape == Shape::Gang && record_bytes + placements_bytes > value_bytes {
            return Err(Refusal::GangTooLargeToKeep);
        }
        Ok(())
    }

    /// Writes the record of a new job.
    pub(super) fn create_job(&mut self, user: u64) {
        let format = self.format();
        let wall = self.clock.wall_ms();
        let Some(pending) = self.users.get_mut(&user) else {
            return;
        };
        let UserRequest::Submit(spec) = &pending.request else {
            return;
        };
        let record = JobRecord::new((**spec).clone(), wall);
        pending.stage = RequestStage::Commit;
        let id = &pending.id;
        self.store.push_write(WriteRequest {
            owner: WriteOwner::User(user),
            conditions: vec![
                Condition::new(job_key(id), 0),
                Condition::new(final_key(id), 0),
            ],
            writes: vec![Write::set(job_key(id), record.to_value(format))],
            class: WriteClass::User,
        });
    }

    /// A job was never accepted: a submission is decided on, other requests end.
    pub(super) fn on_unknown_job(&mut self, user: u64) {
        let Some(pending) = self.users.get(&user) else {
            return;
        };
        let UserRequest::Submit(spec) = &pending.request else {
            let response = HttpResponse::error(status::NOT_FOUND, "no such job");
            return self.finish_user(user, response);
        };
        let decision = match self.check_runnable(spec) {
            Ok(()) if pending.names_unknown_job => Err(Refusal::NamesUnknownJob),
            decision => decision,
        };
        match decision {
            Ok(()) => self.resolve_dependencies(user),
            Err(refusal) => self.finish_user(user, refusal.response()),
        }
    }
}
