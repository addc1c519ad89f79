//! Schedules the reads that fill the watch cache: a paginated initial load, then a watch, plus
//! immediate reads for waiting user requests. Owns which reads are in flight, when the next
//! ones are due, and as of when the watch cache is complete. `cache_updates` applies the
//! responses.

use super::calls::PendingCall;
use super::clock::EventTime;
use super::http::{HttpCall, READ_TIMEOUT_MS};
use super::outbox::Outbox;
use super::store_client::{StoreClient, REACHABLE_TIMEOUT_MS, STORE_TIMEOUT_MS, WATCH_HOLD_MS};
use crate::duties::DUTIES_PREFIX;
use crate::leadership_keys::LEADERSHIP_PREFIX;
use crate::settings::ClusterSettings;
use crate::watch_cache::{JOBS_PREFIX, ROOT_PREFIX};
use crate::wire;

/// Minimum interval between two reads of the same kind on a whole core; it grows in inverse
/// proportion to the CPU share.
const READ_INTERVAL_PER_CORE_MS: f64 = 6.0;
/// Shares of a controller's store requests that may be spent on the watch and on reads for
/// users.
const WATCH_REQUEST_RATIO: f64 = 0.25;
const USER_READ_REQUEST_RATIO: f64 = 0.35;
/// Shares of the request limit that the watch and reads for users leave to other requests.
const WATCH_RESERVE_RATIO: f64 = 0.2;
const USER_READ_RESERVE_RATIO: f64 = 0.1;
/// Maximum keys in a page of leadership keys, and of job or duty records.
const LEADERSHIP_PAGE_KEYS: usize = 100;
const RECORDS_PAGE_KEYS: usize = 500;
/// Timeout for a page of job records, the largest response of the store.
const JOBS_PAGE_TIMEOUT_MS: u64 = 2 * STORE_TIMEOUT_MS;
/// Delays before a new initial load, after a failed page, and after a failed read of changes.
const LOAD_RETRY_MS: u64 = 500;
const PAGE_RETRY_MS: u64 = 300;
const READ_RETRY_MS: u64 = 200;

/// The consumer of a read of changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ChangeRead {
    /// The watch that keeps the watch cache up to date.
    Watch,
    /// User requests, or a pending term, that wait for a newer watch cache.
    ForWaitingUsers,
}

/// A read of changes in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ChangesCall {
    pub read: ChangeRead,
    /// The read covers the changes after this revision.
    pub after_revision: u64,
    /// When the request was sent.
    pub requested_at: EventTime,
}

/// The key ranges of the initial load, in load order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum KeyRange {
    /// Leadership keys, the stored format and the members' versions.
    Leadership,
    /// Records of duties.
    Duties,
    /// Records of jobs.
    Jobs,
}

/// Schedule of a repeated read, with at most one in flight.
#[derive(Debug)]
struct RepeatedRead {
    is_in_flight: bool,
    next_at: u64,
    /// Minimum interval between the starts of two reads.
    interval_ms: u64,
}

impl RepeatedRead {
    /// Limits the reads to `share` of the controller's store requests.
    fn new(cluster: &ClusterSettings, controller_count: usize, share: f64) -> RepeatedRead {
        let gap_ms = 1000.0 * controller_count as f64 / (cluster.state.rps * share);
        RepeatedRead {
            is_in_flight: false,
            next_at: 0,
            interval_ms: gap_ms.max(READ_INTERVAL_PER_CORE_MS / cluster.limits.cpu_share) as u64,
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
pub(super) struct CacheReads {
    /// An initial load is in progress.
    is_loading: bool,
    next_load_at: u64,
    /// The last key read so far in the current range; `None` before its first page.
    last_key: Option<String>,
    watch: RepeatedRead,
    /// Immediate reads of changes for waiting requests.
    user_read: RepeatedRead,
    up_to_date_as_of: Option<EventTime>,
}

impl CacheReads {
    /// Starts with nothing read. `controller_count` is how many controllers share the store.
    pub(super) fn new(cluster: &ClusterSettings, controller_count: usize) -> CacheReads {
        CacheReads {
            is_loading: false,
            next_load_at: 0,
            last_key: None,
            watch: RepeatedRead::new(cluster, controller_count, WATCH_REQUEST_RATIO),
            user_read: RepeatedRead::new(cluster, controller_count, USER_READ_REQUEST_RATIO),
            up_to_date_as_of: None,
        }
    }

    /// The time as of which the watch cache is complete; `None` before the first response.
    pub(super) fn up_to_date_as_of(&self) -> Option<EventTime> {
        self.up_to_date_as_of
    }

    /// Whether the watch cache is recent enough that the store still counts as reachable.
    pub(super) fn is_recent(&self, now: u64) -> bool {
        let complete = self.up_to_date_as_of;
        complete.is_some_and(|complete| now < complete.at + REACHABLE_TIMEOUT_MS)
    }

    /// Records that the watch cache holds every change committed before `requested_at`.
    pub(super) fn record_up_to_date(&mut self, requested_at: EventTime) {
        let complete = self.up_to_date_as_of;
        if complete.is_none_or(|complete| complete.sequence < requested_at.sequence) {
            self.up_to_date_as_of = Some(requested_at);
        }
    }

    /// Marks an initial load as begun if one is due. Returns whether it did.
    pub(super) fn begin_load_if_due(&mut self, now: u64) -> bool {
        if self.is_loading || now < self.next_load_at {
            return false;
        }
        self.next_load_at = now + LOAD_RETRY_MS;
        self.is_loading = true;
        true
    }

    /// Requests the first page of a range.
    pub(super) fn read_range(&mut self, outbox: &mut Outbox, range: KeyRange) {
        self.last_key = None;
        self.read_page(outbox, range);
    }

    /// Requests the page after a truncated one. Returns false, without a request, if the last
    /// page did not advance past the previous one: the load would never end.
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
            KeyRange::Leadership => (LEADERSHIP_PREFIX, LEADERSHIP_PAGE_KEYS, STORE_TIMEOUT_MS),
            KeyRange::Duties => (DUTIES_PREFIX, RECORDS_PAGE_KEYS, STORE_TIMEOUT_MS),
            KeyRange::Jobs => (JOBS_PREFIX, RECORDS_PAGE_KEYS, JOBS_PAGE_TIMEOUT_MS),
        };
        let call = HttpCall::get_page(prefix, self.last_key.as_deref(), keys_max, timeout_ms);
        outbox.call_store(PendingCall::LoadPage(range), call);
    }

    /// Ends the initial load after its last page.
    pub(super) fn end_load(&mut self) {
        self.is_loading = false;
    }

    /// Aborts the initial load after a failed page; a new one is due after a delay.
    pub(super) fn retry_load(&mut self, now: u64) {
        self.is_loading = false;
        self.next_load_at = now + PAGE_RETRY_MS;
    }

    /// Makes a new initial load due immediately.
    pub(super) fn request_load(&mut self) {
        self.next_load_at = 0;
    }

    /// Opens a watch on the changes after a revision if one is due and the rate limit allows it.
    pub(super) fn watch_if_due(
        &mut self,
        store: &mut StoreClient,
        outbox: &mut Outbox,
        after_revision: u64,
        requested_at: EventTime,
    ) {
        let now = requested_at.at;
        // Back-to-back reads for users return everything that a watch would; a watch would
        // only fetch a second copy.
        let user_reads_suffice = now < self.user_read.next_at + self.user_read.interval_ms / 2;
        if user_reads_suffice || !self.watch.is_due(now) {
            return;
        }
        if !store.try_request(now, WATCH_RESERVE_RATIO) {
            return;
        }
        // The minimum interval bounds the watches per second, however much changes.
        self.watch.begin(now);
        let pending = PendingCall::Changes(ChangesCall {
            read: ChangeRead::Watch,
            after_revision,
            requested_at,
        });
        let timeout_ms = WATCH_HOLD_MS + STORE_TIMEOUT_MS;
        let call = HttpCall::get(
            wire::watch_path(ROOT_PREFIX, after_revision, WATCH_HOLD_MS),
            timeout_ms,
        );
        outbox.call_store(pending, call);
    }

    /// Whether a read for waiting requests may begin now.
    pub(super) fn is_user_read_due(&self, now: u64) -> bool {
        self.user_read.is_due(now)
    }

    /// Reads the changes after a revision for waiting requests, if the rate limit allows it.
    pub(super) fn read_for_users(
        &mut self,
        store: &mut StoreClient,
        outbox: &mut Outbox,
        after_revision: u64,
        requested_at: EventTime,
    ) {
        if !store.try_request(requested_at.at, USER_READ_RESERVE_RATIO) {
            return;
        }
        self.user_read.begin(requested_at.at);
        let pending = PendingCall::Changes(ChangesCall {
            read: ChangeRead::ForWaitingUsers,
            after_revision,
            requested_at,
        });
        let call = HttpCall::get(
            wire::watch_path(ROOT_PREFIX, after_revision, 0),
            READ_TIMEOUT_MS,
        );
        outbox.call_store(pending, call);
    }

    /// Marks a read of changes as no longer in flight.
    pub(super) fn complete_read(&mut self, read: ChangeRead) {
        let read = match read {
            ChangeRead::Watch => &mut self.watch,
            ChangeRead::ForWaitingUsers => &mut self.user_read,
        };
        read.is_in_flight = false;
    }

    /// Delays the next reads of changes after one has failed.
    pub(super) fn pause_reads(&mut self, now: u64) {
        let retry_at = now + READ_RETRY_MS;
        self.watch.next_at = retry_at;
        self.user_read.next_at = retry_at;
    }
}
