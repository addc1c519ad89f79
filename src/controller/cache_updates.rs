//! Applies what was read from the store to the watch cache and forwards the resulting changes
//! to the other modules.

use tracing::{debug, error, info, warn};

use super::cache_reads::{ChangeRead, ChangesCall, KeyRange};
use super::responses::{self, CallError};
use super::{Controller, StepDownReason};
use crate::net::{status, Outcome};
use crate::scheduler::StartPermission;
use crate::watch_cache::CacheEvent;
use crate::wire;

impl Controller {
    /// Whether tasks may be started, which takes a lease that cannot have expired and a recent
    /// watch cache.
    pub(super) fn start_permission(&self) -> StartPermission {
        let now = self.clock.steady_ms();
        if self.cache_reads.is_recent(now) && self.leadership.holds_valid_lease(now) {
            StartPermission::Granted
        } else {
            StartPermission::Withheld
        }
    }

    pub(super) fn tick_cache_load(&mut self) {
        let now = self.clock.steady_ms();
        if self.watch_cache.loaded || !self.cache_reads.begin_load_if_due(now) {
            return;
        }
        self.watch_cache.clear_for_reload();
        self.read_range(KeyRange::Leadership);
    }

    fn read_range(&mut self, range: KeyRange) {
        self.cache_reads.read_range(&mut self.outbox, range);
    }

    pub(super) fn on_page(&mut self, range: KeyRange, outcome: &Outcome) {
        let page = match responses::decode_success::<wire::Page>(outcome) {
            Ok(page) => page,
            Err(error) => {
                debug!(%error, "loading a page from the store failed; retrying the load");
                return self.cache_reads.retry_load(self.clock.steady_ms());
            }
        };
        self.watch_cache.apply_page(&page);
        match range {
            KeyRange::Leadership => self.on_leadership_loaded(page.revision),
            _ if page.truncated => self.read_next_page(range, &page),
            KeyRange::Duties => self.read_range(KeyRange::Jobs),
            KeyRange::Jobs => self.on_loaded(),
        }
    }

    fn on_leadership_loaded(&mut self, revision: u64) {
        // The watch reports all changes after this revision, again those that later pages
        // already contain.
        self.watch_cache.revision = revision;
        // No duty records exist before the stored format has activated duties.
        if self.are_duties_active() {
            self.read_range(KeyRange::Duties);
        } else {
            self.read_range(KeyRange::Jobs);
        }
    }

    fn read_next_page(&mut self, range: KeyRange, page: &wire::Page) {
        let outbox = &mut self.outbox;
        if !self.cache_reads.read_next_page(outbox, range, page) {
            error!(
                ?range,
                "page from the store did not advance; retrying the load"
            );
            self.cache_reads.retry_load(self.clock.steady_ms());
        }
    }

    fn on_loaded(&mut self) {
        self.cache_reads.end_load();
        self.watch_cache.loaded = true;
        info!(
            revision = self.watch_cache.revision,
            jobs = self.watch_cache.jobs.len(),
            "watch cache loaded"
        );
        if self.is_outdated() {
            self.on_format_changed();
        }
        self.tick_leader_lease();
    }

    pub(super) fn tick_watch(&mut self) {
        if !self.watch_cache.loaded {
            return;
        }
        let requested_at = self.clock.event_time();
        let after_revision = self.watch_cache.revision;
        self.cache_reads.watch_if_due(
            &mut self.store,
            &mut self.outbox,
            after_revision,
            requested_at,
        );
        if self.cache_reads.is_user_read_due(requested_at.at) && self.has_waiting_readers() {
            self.cache_reads.read_for_users(
                &mut self.store,
                &mut self.outbox,
                after_revision,
                requested_at,
            );
        }
    }

    /// Whether a user request or a pending term waits for a newer watch cache.
    fn has_waiting_readers(&self) -> bool {
        self.leadership.has_pending_term()
            || self.user_requests.needs_newer_cache(self.cache_freshness())
    }

    /// Applies the response to a read of changes.
    pub(super) fn on_changes(&mut self, call: ChangesCall, outcome: &Outcome) {
        self.cache_reads.complete_read(call.read);
        match responses::decode_success::<wire::WatchReply>(outcome) {
            Ok(reply) => self.apply_changes(&reply, call),
            Err(CallError::Malformed(error)) => {
                warn!(%error, "cannot decode the watch response; retrying the read");
            }
            Err(CallError::Status(status::GONE)) => {
                warn!("watch revision no longer retained by the store; reloading the watch cache");
                self.reload_watch_cache();
            }
            // A retry would get the same oversized response; pages are bounded.
            Err(CallError::TooLarge) => {
                error!(
                    revision = self.watch_cache.revision,
                    "watch response exceeds the size limit; reloading the watch cache by pages"
                );
                self.reload_watch_cache();
            }
            Err(CallError::Status(_) | CallError::NoResponse | CallError::NotSent) => {
                if call.read == ChangeRead::ForWaitingUsers {
                    self.forward_waiting_requests();
                }
                self.cache_reads.pause_reads(self.clock.steady_ms());
            }
        }
    }

    fn reload_watch_cache(&mut self) {
        self.watch_cache.loaded = false;
        self.cache_reads.request_load();
        if self.leadership.has_lease() {
            self.resign(StepDownReason::CacheReload, 0);
        }
    }

    fn apply_changes(&mut self, reply: &wire::WatchReply, call: ChangesCall) {
        let format = self.format();
        let events =
            self.watch_cache
                .apply_changes(reply.revision, call.after_revision, &reply.changes);
        if self.watch_cache.revision >= reply.revision {
            self.cache_reads.record_up_to_date(call.requested_at);
        }
        for event in events {
            self.on_cache_event(event);
        }
        self.forward_dependency_events();
        if self.watch_cache.format > format {
            self.on_format_changed();
        }
        self.begin_term();
        self.resolve_waiting_requests();
    }

    fn on_cache_event(&mut self, event: CacheEvent) {
        match event {
            CacheEvent::JobUpdated(id) => self.on_job_updated(&id),
            CacheEvent::JobRemoved(id) => {
                if let Some(scheduler) = &mut self.scheduler {
                    scheduler.remove_job(&id);
                }
            }
            CacheEvent::LeaderChanged => {
                if self.leadership.on_keys_changed(&self.watch_cache) {
                    self.step_down(StepDownReason::LeaderKeyLost);
                }
                self.tick_leader_lease();
            }
        }
    }

    fn on_job_updated(&mut self, id: &str) {
        let Some(job) = self.watch_cache.jobs.get(id) else {
            return;
        };
        if let Some(scheduler) = &mut self.scheduler {
            let dependencies = &self.watch_cache.dependencies;
            let ready_at = job.record.submitted_at;
            scheduler.apply_job(id, job, dependencies, ready_at, self.clock.steady_ms());
        }
    }
}
