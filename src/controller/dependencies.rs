//! Job dependencies: validates the dependencies that a submission names, and looks up the final
//! states of dependencies that the watch cache does not hold.

use std::collections::BTreeSet;

use tracing::warn;

use super::calls::PendingCall;
use super::format_version::FormatProof;
use super::http::HttpCall;
use super::responses::{self, KeyRead};
use super::user_types::{RequestStage, UserRequest};
use super::Controller;
use crate::dependencies::{DependencyEvent, DependencyState};
use crate::job::FinalState;
use crate::net::Outcome;
use crate::watch_cache::{final_state_key, job_key};
use crate::wire;

/// Maximum number of look-ups in flight.
const LOOKUPS_MAX: usize = 8;
/// Pause after a look-up without a result.
const LOOKUP_RETRY_MS: u64 = 300;
/// Share of the request limit that look-ups leave to other requests.
const LOOKUP_RESERVE_RATIO: f64 = 0.1;

/// The look-ups in flight, and when the next may begin.
#[derive(Debug, Default)]
pub(super) struct DependencyLookups {
    in_flight: BTreeSet<String>,
    next_at: u64,
}

impl DependencyLookups {
    fn are_due(&self, now: u64) -> bool {
        now >= self.next_at
    }

    /// The jobs to look up next, within the limit on look-ups in flight.
    fn next_batch<'a>(&self, unresolved: impl Iterator<Item = &'a String>) -> Vec<String> {
        let free = LOOKUPS_MAX.saturating_sub(self.in_flight.len());
        let waiting = unresolved.filter(|id| !self.in_flight.contains(*id));
        waiting.take(free).cloned().collect()
    }

    fn begin(&mut self, dependency: &str) {
        self.in_flight.insert(dependency.to_string());
    }

    fn complete(&mut self, dependency: &str) {
        self.in_flight.remove(dependency);
    }

    /// Delays further look-ups after one without a result.
    fn pause(&mut self, now: u64) {
        self.next_at = now + LOOKUP_RETRY_MS;
    }
}

/// Which record of a dependency is read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum DependencyRecord {
    /// The record of a live job.
    Live,
    /// The final state of a job that has ended.
    Final,
}

impl DependencyRecord {
    fn key(self, id: &str) -> String {
        match self {
            DependencyRecord::Live => job_key(id),
            DependencyRecord::Final => final_state_key(id),
        }
    }
}

impl Controller {
    /// Forwards dependency changes in the watch cache to the scheduler.
    pub(super) fn forward_dependency_events(&mut self) {
        let (now, wall) = (self.clock.steady_ms(), self.clock.wall_ms());
        for event in self.watch_cache.take_dependency_events() {
            let Some(scheduler) = &mut self.scheduler else {
                continue;
            };
            match event {
                DependencyEvent::Ready(id) => scheduler.on_dependencies_done(&id, wall),
                DependencyEvent::Cancelled(id) => scheduler.mark_cancelled(&id, now),
            }
        }
    }

    /// Accepts a new job if all its dependencies are known to have been accepted; otherwise
    /// reads the first unknown one from the store, because another controller may have accepted
    /// it a moment ago: first its live record, then its final state.
    pub(super) fn resolve_dependencies(&mut self, request_id: u64) {
        let Some(pending) = self.user_requests.get(request_id) else {
            return;
        };
        let UserRequest::Submit(spec) = &pending.request else {
            return;
        };
        let is_unknown = |id: &&String| {
            self.watch_cache.dependency_state(id) == DependencyState::Unknown
                && !pending.found_dependencies.contains(id)
        };
        let has_dependencies = !spec.dependencies.is_empty();
        let unknown = spec.dependencies.iter().find(is_unknown).cloned();
        if let Some(dependency) = unknown {
            self.user_requests.set_stage(request_id, RequestStage::Read);
            return self.read_dependency(request_id, dependency, DependencyRecord::Live);
        }
        if has_dependencies {
            self.confirm_packed_format(FormatProof::Dependencies);
        }
        self.create_job(request_id);
    }

    fn read_dependency(&mut self, request_id: u64, dependency: String, record: DependencyRecord) {
        let call = HttpCall::get_key(&record.key(&dependency));
        let pending = PendingCall::ReadDependency {
            request_id,
            dependency,
            record,
        };
        self.outbox.call_store(pending, call);
    }

    pub(super) fn on_dependency_read(
        &mut self,
        request_id: u64,
        dependency: String,
        record: DependencyRecord,
        outcome: &Outcome,
    ) {
        match (responses::key_read(outcome), record) {
            (KeyRead::Found(body), _) => {
                if record == DependencyRecord::Final {
                    self.record_final_state_reply(&dependency, body);
                }
                self.user_requests
                    .add_found_dependency(request_id, dependency);
                self.resolve_dependencies(request_id);
            }
            (KeyRead::NotFound, DependencyRecord::Live) => {
                self.read_dependency(request_id, dependency, DependencyRecord::Final);
            }
            (KeyRead::NotFound, DependencyRecord::Final) => {
                let after = self.clock.sequence();
                self.user_requests
                    .mark_unknown_dependency(request_id, after);
            }
            (KeyRead::Failed, _) => self.forward_request(request_id),
        }
    }

    /// Looks up the final states of unresolved dependencies of live jobs.
    pub(super) fn tick_dependency_lookups(&mut self) {
        let now = self.clock.steady_ms();
        if !self.watch_cache.loaded || !self.dependency_lookups.are_due(now) {
            return;
        }
        let unresolved = self.watch_cache.dependencies.unresolved();
        for dependency in self.dependency_lookups.next_batch(unresolved.iter()) {
            if !self.store.try_request(now, LOOKUP_RESERVE_RATIO) {
                return;
            }
            self.dependency_lookups.begin(&dependency);
            let call = HttpCall::get_key(&final_state_key(&dependency));
            let pending = PendingCall::LookUpDependency { dependency };
            self.outbox.call_store(pending, call);
        }
    }

    pub(super) fn on_dependency_lookup(&mut self, dependency: &str, outcome: &Outcome) {
        self.dependency_lookups.complete(dependency);
        match responses::key_read(outcome) {
            KeyRead::Found(body) => {
                self.record_final_state_reply(dependency, body);
            }
            // Either the job is live but not in the watch cache yet, or the store failed.
            KeyRead::NotFound | KeyRead::Failed => {
                self.dependency_lookups.pause(self.clock.steady_ms());
            }
        }
    }

    /// Decodes and records a job's final state. `None` if the response cannot be decoded.
    pub(super) fn record_final_state_reply(&mut self, id: &str, body: &[u8]) -> Option<FinalState> {
        let state = match wire::parse_final_state_reply(body) {
            Ok(state) => state,
            Err(error) => {
                warn!(job = id, %error, "cannot decode the final state of a job; ignoring it");
                return None;
            }
        };
        self.watch_cache.record_final_state(id, state);
        self.forward_dependency_events();
        Some(state)
    }
}
