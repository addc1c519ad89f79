//! Reading the store into the watch cache: first in whole, then by a watch, and at
//! once when somebody waits for it.

use tracing::{debug, error, info, warn};

use super::calls::PendingCall;
use super::clock::EventTime;
use super::http::{HttpCall, READ_TIMEOUT_MS};
use super::responses::{self, CallError};
use super::store_client::{REACHABLE_MS, STORE_TIMEOUT_MS, WATCH_HOLD_MS};
use super::{Controller, StepDownReason};
use crate::duties::DUTIES_PREFIX;
use crate::leadership_keys::LEADERSHIP_PREFIX;
use crate::net::{status, Outcome};
use crate::watch_cache::{CacheEvent, JOBS_PREFIX, ROOT_PREFIX};
use crate::wire;

/// Between two reads of a sort on a whole core, at the least; on a part of one
/// accordingly longer.
const READ_CORE_MS: f64 = 6.0;
/// Shares of a controller's requests to the store that may go to the
/// watch and to reads for users.
const WATCH_SHARE: f64 = 0.25;
const USER_READ_SHARE: f64 = 0.35;
/// Shares of the request limit that the watch and reads for users leave to others.
const WATCH_RESERVE: f64 = 0.2;
const USER_READ_RESERVE: f64 = 0.1;
/// Keys in a page.
const LEADERSHIP_PAGE: usize = 100;
const JOBS_PAGE: usize = 500;
/// Pauses before everything is read again, and after a failed page or read.
const LOAD_RETRY_MS: u64 = 500;
const PAGE_RETRY_MS: u64 = 300;
const READ_RETRY_MS: u64 = 200;

/// For whom changes are read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ChangeRead {
    /// For the watch cache, as changes come.
    Watch,
    /// For users whose requests wait for a newer watch cache.
    ForWaitingUsers,
}

/// The reads in progress, and when the next ones are due.
#[derive(Debug, Default)]
pub(super) struct StoreSync {
    /// Everything is being read.
    loading: bool,
    next_load_at: u64,
    /// The last key of the pages of jobs read so far.
    last_key: Option<String>,
    pub watching: bool,
    next_watch_at: u64,
    /// Changes are being read for somebody who waits.
    pub reading: bool,
    next_read_at: u64,
    /// The watch cache is complete as of this moment.
    complete_as_of: Option<EventTime>,
}

impl StoreSync {
    /// The watch cache is complete as of this moment.
    pub fn complete_as_of(&self) -> Option<EventTime> {
        self.complete_as_of
    }
}

impl Controller {
    /// Leadership is certain and the watch cache recent enough to start tasks.
    pub(super) fn may_start(&self) -> bool {
        let now = self.clock.steady_ms();
        let complete = self.store_sync.complete_as_of;
        let recent = complete.is_some_and(|c| now < c.at + REACHABLE_MS);
        recent && self.leadership.is_certain(now)
    }

    pub(super) fn load_tick(&mut self) {
        let now = self.clock.steady_ms();
        let store_sync = &mut self.store_sync;
        if self.watch_cache.loaded || store_sync.loading || now < store_sync.next_load_at {
            return;
        }
        store_sync.next_load_at = now + LOAD_RETRY_MS;
        store_sync.loading = true;
        store_sync.last_key = None;
        self.watch_cache.restart();
        let call = HttpCall::get_page(LEADERSHIP_PREFIX, None, LEADERSHIP_PAGE, STORE_TIMEOUT_MS);
        self.outbox.call_store(PendingCall::LoadLeadership, call);
    }

    fn load_duties(&mut self, from: Option<&str>) {
        let call = HttpCall::get_page(DUTIES_PREFIX, from, JOBS_PAGE, STORE_TIMEOUT_MS);
        self.outbox.call_store(PendingCall::LoadDuties, call);
    }

    fn load_jobs(&mut self, from: Option<&str>) {
        let call = HttpCall::get_page(JOBS_PREFIX, from, JOBS_PAGE, 2 * STORE_TIMEOUT_MS);
        self.outbox.call_store(PendingCall::LoadJobs, call);
    }

    pub(super) fn on_leadership_page(&mut self, outcome: &Outcome) {
        let Some(page) = self.decode_page(outcome) else {
            return;
        };
        self.watch_cache.apply_page(&page);
        // Changes since then are told by the watch, those in later pages
        // a second time.
        self.watch_cache.revision = page.revision;
        // Before that format nothing is on record of duties.
        if self.are_duties_active() {
            self.load_duties(None);
        } else {
            self.load_jobs(None);
        }
    }

    pub(super) fn on_duties_page(&mut self, outcome: &Outcome) {
        let Some(page) = self.decode_page(outcome) else {
            return;
        };
        self.watch_cache.apply_page(&page);
        if !page.truncated {
            self.store_sync.last_key = None;
            return self.load_jobs(None);
        }
        if let Some(last) = self.next_page_from(&page) {
            self.load_duties(Some(&last));
        }
    }

    /// The last key of a page, behind which the next one begins. Everything is read again
    /// if the pages do not go on.
    fn next_page_from(&mut self, page: &wire::Page) -> Option<String> {
        let last = page.pairs.last().map(|pair| pair.key.clone());
        if last <= self.store_sync.last_key {
            error!("the state service's pages don't go on behind {last:?}");
            self.retry_load();
            return None;
        }
        self.store_sync.last_key = last.clone();
        last
    }

    pub(super) fn on_jobs_page(&mut self, outcome: &Outcome) {
        let Some(page) = self.decode_page(outcome) else {
            return;
        };
        self.watch_cache.apply_page(&page);
        if page.truncated {
            if let Some(last) = self.next_page_from(&page) {
                self.load_jobs(Some(&last));
            }
            return;
        }
        self.store_sync.loading = false;
        self.watch_cache.loaded = true;
        info!(
            "replica loaded at revision {}: {} jobs",
            self.watch_cache.revision,
            self.watch_cache.jobs.len()
        );
        if self.is_outdated() {
            self.on_format_changed();
        }
        self.lease_tick();
    }

    fn decode_page(&mut self, outcome: &Outcome) -> Option<wire::Page> {
        match responses::decode_success(outcome) {
            Ok(page) => Some(page),
            Err(error) => {
                debug!(%error, "page of the store not read");
                self.retry_load();
                None
            }
        }
    }

    fn retry_load(&mut self) {
        self.store_sync.loading = false;
        self.store_sync.next_load_at = self.clock.steady_ms() + PAGE_RETRY_MS;
    }

    fn watch_path(&self, hold_ms: u64) -> String {
        let from = self.watch_cache.revision;
        format!("/watch?under={ROOT_PREFIX}&from={from}&holdMs={hold_ms}")
    }

    /// Between two reads of a sort that may have this share of the
    /// controller's requests.
    fn read_interval_ms(&self, share: f64) -> u64 {
        let controllers = (self.settings.peers.len() + 1) as f64;
        let cluster = &self.settings.cluster;
        let gap_ms = 1000.0 * controllers / (cluster.state.rps * share);
        gap_ms.max(READ_CORE_MS / cluster.limits.cpu_share) as u64
    }

    pub(super) fn watch_tick(&mut self) {
        if !self.watch_cache.loaded {
            return;
        }
        self.open_watch_if_due();
        self.read_changes_if_due();
    }

    fn open_watch_if_due(&mut self) {
        let now = self.clock.steady_ms();
        // While reads for users follow one another, they tell all that a watch
        // would, and a second copy of it is read for nothing.
        let next_read_at = self.store_sync.next_read_at;
        let reads_suffice = now < next_read_at + self.read_interval_ms(USER_READ_SHARE) / 2;
        let due =
            !self.store_sync.watching && !reads_suffice && now >= self.store_sync.next_watch_at;
        if !due || !self.store.try_request(now, WATCH_RESERVE) {
            return;
        }
        self.store_sync.watching = true;
        // Never more than so many a second, however much changes.
        self.store_sync.next_watch_at = now + self.read_interval_ms(WATCH_SHARE);
        let pending = PendingCall::Watch {
            from: self.watch_cache.revision,
            asked: self.clock.event_time(),
        };
        let path = self.watch_path(WATCH_HOLD_MS);
        let call = HttpCall::get(path, WATCH_HOLD_MS + STORE_TIMEOUT_MS);
        self.outbox.call_store(pending, call);
    }

    fn read_changes_if_due(&mut self) {
        let now = self.clock.steady_ms();
        let store_sync = &self.store_sync;
        if store_sync.reading || now < store_sync.next_read_at || !self.has_waiting_readers() {
            return;
        }
        if !self.store.try_request(now, USER_READ_RESERVE) {
            return;
        }
        self.store_sync.reading = true;
        self.store_sync.next_read_at = now + self.read_interval_ms(USER_READ_SHARE);
        let pending = PendingCall::ReadChanges {
            from: self.watch_cache.revision,
            asked: self.clock.event_time(),
        };
        let call = HttpCall::get(self.watch_path(0), READ_TIMEOUT_MS);
        self.outbox.call_store(pending, call);
    }

    /// Whether somebody waits for a watch cache that is newer than the present one.
    fn has_waiting_readers(&self) -> bool {
        self.leadership.has_pending_term() || self.users.is_waiting_for_newer(self.cache_age())
    }

    /// Applies the response to a watch, or to a read for somebody who waits.
    pub(super) fn on_changes(
        &mut self,
        outcome: &Outcome,
        from: u64,
        asked: EventTime,
        read: ChangeRead,
    ) {
        match responses::decode_success::<wire::WatchReply>(outcome) {
            Ok(reply) => self.apply_changes(&reply, from, asked),
            Err(CallError::Malformed(error)) => warn!(%error, "unreadable watch response"),
            Err(CallError::Status(status::GONE)) => {
                warn!("the watch fell too far behind: reading everything again");
                self.read_all_again();
            }
            // The same question would bring the same answer again and again; pages are
            // bounded.
            Err(CallError::TooLarge) => {
                let revision = self.watch_cache.revision;
                error!(
                    revision,
                    "too many changes in one watch response: reading everything again, by pages"
                );
                self.read_all_again();
            }
            Err(CallError::Status(_) | CallError::NoResponse | CallError::NotSent) => {
                if read == ChangeRead::ForWaitingUsers {
                    self.forward_waiting_users();
                }
                let retry_at = self.clock.steady_ms() + READ_RETRY_MS;
                self.store_sync.next_watch_at = retry_at;
                self.store_sync.next_read_at = retry_at;
            }
        }
    }

    fn read_all_again(&mut self) {
        self.watch_cache.loaded = false;
        self.store_sync.next_load_at = 0;
        if self.leadership.has_lease() {
            self.resign(StepDownReason::CacheReadAgain, 0);
        }
    }

    fn apply_changes(&mut self, reply: &wire::WatchReply, from: u64, asked: EventTime) {
        let format = self.format();
        let effects = self
            .watch_cache
            .apply_changes(reply.revision, from, &reply.changes);
        let complete = self.store_sync.complete_as_of;
        let newer = complete.is_none_or(|c| c.sequence < asked.sequence);
        if newer && self.watch_cache.revision >= reply.revision {
            self.store_sync.complete_as_of = Some(asked);
        }
        for effect in effects {
            self.on_cache_event(effect);
        }
        self.forward_dependency_events();
        if self.watch_cache.format > format {
            self.on_format_changed();
        }
        self.begin_term();
        self.resolve_waiting_users();
    }

    fn on_cache_event(&mut self, change: CacheEvent) {
        let now = self.clock.steady_ms();
        match change {
            CacheEvent::JobUpdated(id) => {
                let Some(job) = self.watch_cache.jobs.get(&id) else {
                    return;
                };
                if let Some(scheduler) = &mut self.scheduler {
                    let dependencies = &self.watch_cache.dependencies;
                    let ready_at = job.record.submitted_at;
                    scheduler.apply_job(&id, job, dependencies, ready_at, now);
                }
            }
            CacheEvent::JobRemoved(id) => {
                if let Some(scheduler) = &mut self.scheduler {
                    scheduler.remove_job(&id);
                }
            }
            CacheEvent::LeaderChanged => {
                if self.leadership.on_keys_changed(&self.watch_cache) {
                    self.step_down(StepDownReason::LeaderKeyLost);
                }
                self.lease_tick();
            }
        }
    }
}
