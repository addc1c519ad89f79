//! Reads of the store for the watch cache: first everything by pages, then a watch, and reads
//! at once for requests that wait. Owns which reads are in flight, when the next ones are due,
//! and as of when the watch cache is complete; what the responses change is in
//! `cache_updates`.

use super::calls::PendingCall;
use super::clock::EventTime;
use super::http::{HttpCall, READ_TIMEOUT_MS};
use super::outbox::Outbox;
use super::store_client::{StoreClient, REACHABLE_MS, STORE_TIMEOUT_MS, WATCH_HOLD_MS};
use crate::duties::DUTIES_PREFIX;
use crate::leadership_keys::LEADERSHIP_PREFIX;
use crate::settings::ClusterSettings;
use crate::watch_cache::{JOBS_PREFIX, ROOT_PREFIX};
use crate::wire;

/// Least time between two reads of a kind on a whole core; on a part of one accordingly more.
const READ_CORE_MS: f64 = 6.0;
/// Shares of a controller's requests to the store that may go to the watch and to reads for
/// users.
const WATCH_SHARE: f64 = 0.25;
const USER_READ_SHARE: f64 = 0.35;
/// Shares of the request limit that the watch and reads for users leave to others.
const WATCH_RESERVE: f64 = 0.2;
const USER_READ_RESERVE: f64 = 0.1;
/// Keys in a page.
const LEADERSHIP_PAGE: usize = 100;
const JOBS_PAGE: usize = 500;
/// The timeout of a page of jobs, which is the largest response.
const JOBS_TIMEOUT_MS: u64 = 2 * STORE_TIMEOUT_MS;
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

/// A read of changes in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ChangesCall {
    pub read: ChangeRead,
    /// The revision behind which the changes begin.
    pub from: u64,
    /// When it was sent.
    pub asked: EventTime,
}

/// The keys that are read first, in this order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum KeyRange {
    /// Leadership and versions.
    Leadership,
    /// Records of duties.
    Duties,
    /// Records of jobs.
    Jobs,
}

/// A kind of read that is repeated.
#[derive(Debug)]
struct RepeatedRead {
    is_in_flight: bool,
    next_at: u64,
    /// Least time between two of them.
    interval_ms: u64,
}

impl RepeatedRead {
    /// Reads that may have a share of the controller's requests to the store.
    fn new(cluster: &ClusterSettings, controllers: usize, share: f64) -> RepeatedRead {
        let gap_ms = 1000.0 * controllers as f64 / (cluster.state.rps * share);
        RepeatedRead {
            is_in_flight: false,
            next_at: 0,
            interval_ms: gap_ms.max(READ_CORE_MS / cluster.limits.cpu_share) as u64,
        }
    }

    fn is_due(&self, now: u64) -> bool {
        !self.is_in_flight && now >= self.next_at
    }

    fn begin(&mut self, now: u64) {
        self.is_in_flight = true;
        self.next_at = now + self.interval_ms;
    }
}

/// The reads in flight, and when the next ones are due.
#[derive(Debug)]
pub(super) struct StoreSync {
    /// Everything is being read.
    is_loading: bool,
    next_load_at: u64,
    /// The last key of the pages read so far of a range.
    last_key: Option<String>,
    watch: RepeatedRead,
    /// Changes read at once for requests that wait.
    user_read: RepeatedRead,
    complete_as_of: Option<EventTime>,
}

impl StoreSync {
    /// Nothing was read yet. `controllers`: how many share the store.
    pub(super) fn new(cluster: &ClusterSettings, controllers: usize) -> StoreSync {
        StoreSync {
            is_loading: false,
            next_load_at: 0,
            last_key: None,
            watch: RepeatedRead::new(cluster, controllers, WATCH_SHARE),
            user_read: RepeatedRead::new(cluster, controllers, USER_READ_SHARE),
            complete_as_of: None,
        }
    }

    /// The moment as of which the watch cache is complete.
    pub(super) fn complete_as_of(&self) -> Option<EventTime> {
        self.complete_as_of
    }

    /// Whether the watch cache is as recent as it is while the store is reachable.
    pub(super) fn is_recent(&self, now: u64) -> bool {
        let complete = self.complete_as_of;
        complete.is_some_and(|complete| now < complete.at + REACHABLE_MS)
    }

    /// Changes that were asked for at a moment were applied, and the watch cache has them all.
    pub(super) fn record_complete(&mut self, asked: EventTime) {
        let complete = self.complete_as_of;
        if complete.is_none_or(|complete| complete.sequence < asked.sequence) {
            self.complete_as_of = Some(asked);
        }
    }

    /// Begins to read everything if that is due. Returns whether it has.
    pub(super) fn begin_load_if_due(&mut self, now: u64) -> bool {
        if self.is_loading || now < self.next_load_at {
            return false;
        }
        self.next_load_at = now + LOAD_RETRY_MS;
        self.is_loading = true;
        true
    }

    /// Reads the first page of a range.
    pub(super) fn read_range(&mut self, outbox: &mut Outbox, range: KeyRange) {
        self.last_key = None;
        self.read_page(outbox, range);
    }

    /// Reads the page behind one that was truncated. Returns whether it can: the pages have to
    /// go on.
    #[must_use]
    pub(super) fn read_next_page(
        &mut self,
        outbox: &mut Outbox,
        range: KeyRange,
        page: &wire::Page,
    ) -> bool {
        let last = page.pairs.last().map(|pair| &pair.key);
        if last <= self.last_key.as_ref() {
            return false;
        }
        self.last_key = last.cloned();
        self.read_page(outbox, range);
        true
    }

    fn read_page(&self, outbox: &mut Outbox, range: KeyRange) {
        let (prefix, keys_max, timeout_ms) = match range {
            KeyRange::Leadership => (LEADERSHIP_PREFIX, LEADERSHIP_PAGE, STORE_TIMEOUT_MS),
            KeyRange::Duties => (DUTIES_PREFIX, JOBS_PAGE, STORE_TIMEOUT_MS),
            KeyRange::Jobs => (JOBS_PREFIX, JOBS_PAGE, JOBS_TIMEOUT_MS),
        };
        let call = HttpCall::get_page(prefix, self.last_key.as_deref(), keys_max, timeout_ms);
        outbox.call_store(PendingCall::LoadPage(range), call);
    }

    /// The last page was read.
    pub(super) fn end_load(&mut self) {
        self.is_loading = false;
    }

    /// A page was not read: everything is read again after a pause.
    pub(super) fn retry_load(&mut self, now: u64) {
        self.is_loading = false;
        self.next_load_at = now + PAGE_RETRY_MS;
    }

    /// Everything is to be read again at once.
    pub(super) fn request_load(&mut self) {
        self.next_load_at = 0;
    }

    /// Opens a watch on changes after a revision if that is due and the limit allows.
    pub(super) fn watch_if_due(
        &mut self,
        store: &mut StoreClient,
        outbox: &mut Outbox,
        from: u64,
        asked: EventTime,
    ) {
        let now = asked.at;
        // While reads for users follow one another, they tell all that a watch would, and a
        // second copy of it would be read without use.
        let user_reads_suffice = now < self.user_read.next_at + self.user_read.interval_ms / 2;
        if user_reads_suffice || !self.watch.is_due(now) {
            return;
        }
        if !store.try_request(now, WATCH_RESERVE) {
            return;
        }
        // A bounded number a second, however much changes.
        self.watch.begin(now);
        let pending = PendingCall::Changes(ChangesCall {
            read: ChangeRead::Watch,
            from,
            asked,
        });
        let timeout_ms = WATCH_HOLD_MS + STORE_TIMEOUT_MS;
        let call = HttpCall::get(
            wire::watch_path(ROOT_PREFIX, from, WATCH_HOLD_MS),
            timeout_ms,
        );
        outbox.call_store(pending, call);
    }

    /// Whether a read for requests that wait would be due.
    pub(super) fn is_user_read_due(&self, now: u64) -> bool {
        self.user_read.is_due(now)
    }

    /// Reads changes after a revision for requests that wait, if the limit allows.
    pub(super) fn read_for_users(
        &mut self,
        store: &mut StoreClient,
        outbox: &mut Outbox,
        from: u64,
        asked: EventTime,
    ) {
        if !store.try_request(asked.at, USER_READ_RESERVE) {
            return;
        }
        self.user_read.begin(asked.at);
        let pending = PendingCall::Changes(ChangesCall {
            read: ChangeRead::ForWaitingUsers,
            from,
            asked,
        });
        let call = HttpCall::get(wire::watch_path(ROOT_PREFIX, from, 0), READ_TIMEOUT_MS);
        outbox.call_store(pending, call);
    }

    /// A read of changes has its outcome.
    pub(super) fn complete_read(&mut self, read: ChangeRead) {
        let read = match read {
            ChangeRead::Watch => &mut self.watch,
            ChangeRead::ForWaitingUsers => &mut self.user_read,
        };
        read.is_in_flight = false;
    }

    /// A read of changes has failed: the next ones wait for a moment.
    pub(super) fn pause_reads(&mut self, now: u64) {
        let retry_at = now + READ_RETRY_MS;
        self.watch.next_at = retry_at;
        self.user_read.next_at = retry_at;
    }
}
