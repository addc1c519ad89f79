//! Jobs with dependencies: which ones a submission may name, and how jobs ended that live
//! ones depend on and nobody remembers.

use std::collections::BTreeSet;

use tracing::warn;

use super::calls::PendingCall;
use super::http::HttpCall;
use super::responses::{self, KeyRead};
use super::user_types::{RequestStage, UserRequest};
use super::Controller;
use crate::dependencies::{DependencyEvent, DependencyState};
use crate::job::FinalState;
use crate::net::Outcome;
use crate::watch_cache::{final_key, job_key};
use crate::wire;

/// How many jobs are looked up at a time.
const LOOKUPS_MAX: usize = 8;
/// Pause after one that told nothing.
const LOOKUP_RETRY_MS: u64 = 300;
/// Share of the request limit that these reads leave to others.
const LOOKUP_RESERVE: f64 = 0.1;

/// The look-ups in progress.
#[derive(Debug, Default)]
pub(super) struct DependencyLookups {
    in_flight: BTreeSet<String>,
    next_at: u64,
}

impl Controller {
    /// Tells the scheduler what changes of the watch cache mean for jobs with dependencies.
    pub(super) fn forward_dependency_events(&mut self) {
        let (now, wall) = (self.clock.steady_ms(), self.clock.wall_ms());
        for event in self.watch_cache.take_dependency_events() {
            let Some(scheduler) = &mut self.scheduler else {
                continue;
            };
            match event {
                DependencyEvent::Ready(id) => scheduler.dependencies_done(&id, wall),
                DependencyEvent::Cancelled(id) => scheduler.mark_cancelled(&id, now),
            }
        }
    }

    /// Accepts a new job if all that it names is known to have been accepted; else looks
    /// for the first of the others. Another controller may have accepted it a moment ago,
    /// so its record is read, and then, if it is not alive, how it ended.
    pub(super) fn resolve_dependencies(&mut self, user: u64) {
        let Some(pending) = self.users.get(&user) else {
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
            self.set_stage(user, RequestStage::Read);
            return self.read_dependency(user, dependency, false);
        }
        if has_dependencies {
            self.confirm_packed_format("a submission names dependencies");
        }
        self.create_job(user);
    }

    fn read_dependency(&mut self, user: u64, dependency: String, is_final: bool) {
        let key = if is_final {
            final_key(&dependency)
        } else {
            job_key(&dependency)
        };
        let pending = PendingCall::ReadDependency {
            user,
            dependency,
            is_final,
        };
        self.outbox.call_store(pending, HttpCall::get_key(&key));
    }

    pub(super) fn on_dependency_read(
        &mut self,
        user: u64,
        dependency: String,
        is_final: bool,
        outcome: &Outcome,
    ) {
        match responses::key_read(outcome) {
            KeyRead::Found(body) => {
                if is_final {
                    self.record_final_reply(&dependency, body);
                }
                if let Some(pending) = self.users.get_mut(&user) {
                    pending.found_dependencies.push(dependency);
                }
                self.resolve_dependencies(user);
            }
            KeyRead::NotFound if !is_final => {
                self.read_dependency(user, dependency, true);
            }
            KeyRead::NotFound => {
                let after = self.clock.sequence();
                if let Some(pending) = self.users.get_mut(&user) {
                    pending.names_unknown_job = true;
                    pending.stage = RequestStage::AwaitCache { after, revision: 0 };
                }
            }
            KeyRead::Failed => self.forward_user(user),
        }
    }

    /// Looks up how jobs ended that live ones depend on.
    pub(super) fn lookup_tick(&mut self) {
        let now = self.clock.steady_ms();
        if !self.watch_cache.loaded || now < self.lookups.next_at {
            return;
        }
        let in_flight = &self.lookups.in_flight;
        let unresolved = self.watch_cache.dependencies.unresolved().iter();
        let due: Vec<String> = unresolved
            .filter(|id| !in_flight.contains(*id))
            .take(LOOKUPS_MAX.saturating_sub(in_flight.len()))
            .cloned()
            .collect();
        for dependency in due {
            if !self.store.try_request(now, LOOKUP_RESERVE) {
                return;
            }
            self.lookups.in_flight.insert(dependency.clone());
            let call = HttpCall::get_key(&final_key(&dependency));
            let pending = PendingCall::LookUpDependency { dependency };
            self.outbox.call_store(pending, call);
        }
    }

    pub(super) fn on_dependency_lookup(&mut self, dependency: &str, outcome: &Outcome) {
        self.lookups.in_flight.remove(dependency);
        match responses::key_read(outcome) {
            KeyRead::Found(body) => {
                self.record_final_reply(dependency, body);
            }
            // Alive, and not in the watch cache yet; or the service is in trouble.
            KeyRead::NotFound | KeyRead::Failed => {
                self.lookups.next_at = self.clock.steady_ms() + LOOKUP_RETRY_MS
            }
        }
    }

    /// Records how a job ended. `None` if the response can't be read.
    pub(super) fn record_final_reply(&mut self, id: &str, body: &[u8]) -> Option<FinalState> {
        let state = match wire::final_state_reply(body) {
            Ok(state) => state,
            Err(error) => {
                warn!(job = id, %error, "unreadable final state");
                return None;
            }
        };
        self.watch_cache.record_final(id, state);
        self.forward_dependency_events();
        Some(state)
    }
}
