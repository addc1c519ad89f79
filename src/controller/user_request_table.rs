//! Table of users' requests in progress, with admission control and timeouts.

use std::collections::BTreeMap;

use super::user_types::{Caller, PendingRequest, RequestStage, UserRequest};
use crate::admission::{AdmissionLimit, ResponseTimes};

/// Longest response time that does not lower the limit on requests in progress.
const RESPONSE_TIME_TARGET_MS: u64 = 500;
/// Sockets of the process for each request that may be in progress.
const SOCKETS_PER_REQUEST: usize = 4;
/// Timeout of submissions and cancellations; users give up after 5 s.
const SUBMIT_TIMEOUT_MS: u64 = 3500;
/// Timeout of polls; users give up after 2 s.
const POLL_TIMEOUT_MS: u64 = 1700;

/// How far the watch cache has caught up with the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct CacheFreshness {
    /// The cache holds all that was in the store at the event with this sequence number; 0 if
    /// it was never complete.
    pub up_to_date_as_of: u64,
    /// The store's revision that the cache has reached.
    pub revision: u64,
}

impl CacheFreshness {
    /// Whether the cache was read after an event and has reached a revision, as a request in
    /// [`RequestStage::AwaitCache`] needs.
    fn satisfies(&self, after_event: u64, revision: u64) -> bool {
        after_event <= self.up_to_date_as_of && revision <= self.revision
    }
}

/// Users' requests in progress, by request ids that are unique within this process.
#[derive(Debug)]
pub(super) struct UserRequestTable {
    requests: BTreeMap<u64, PendingRequest>,
    next_request_id: u64,
    admission: AdmissionLimit,
}

impl UserRequestTable {
    /// An empty table. `fd_limit` is the maximum number of the process's sockets.
    pub(super) fn new(fd_limit: usize) -> UserRequestTable {
        UserRequestTable {
            requests: BTreeMap::new(),
            next_request_id: 1,
            admission: AdmissionLimit::new(RESPONSE_TIME_TARGET_MS, fd_limit / SOCKETS_PER_REQUEST),
        }
    }

    /// Whether admission control lets another request begin.
    pub(super) fn admits(&self) -> bool {
        self.admission.admits(self.requests.len())
    }

    /// Adds a request that waits for a watch cache read after the event `after_event`. Returns its
    /// request id.
    pub(super) fn insert(
        &mut self,
        caller: Caller,
        job: String,
        request: UserRequest,
        body: Vec<u8>,
        after_event: u64,
        now: u64,
    ) -> u64 {
        let request_id = self.next_request_id;
        self.next_request_id += 1;
        let pending = PendingRequest {
            caller,
            job,
            request,
            since: now,
            stage: RequestStage::AwaitCache {
                after_event,
                revision: 0,
            },
            body,
            found_dependencies: vec![],
            has_unknown_dependency: false,
        };
        self.requests.insert(request_id, pending);
        request_id
    }

    pub(super) fn get(&self, request_id: u64) -> Option<&PendingRequest> {
        self.requests.get(&request_id)
    }

    /// Sets what a request waits for.
    pub(super) fn set_stage(&mut self, request_id: u64, stage: RequestStage) {
        if let Some(pending) = self.requests.get_mut(&request_id) {
            pending.stage = stage;
        }
    }

    /// Records that the store has a job that a submission depends on.
    pub(super) fn add_found_dependency(&mut self, request_id: u64, dependency: String) {
        if let Some(pending) = self.requests.get_mut(&request_id) {
            pending.found_dependencies.push(dependency);
        }
    }

    /// Records that a submission depends on a job that was never accepted. Whether the
    /// submission itself was accepted earlier is decided with a watch cache read after the
    /// event `after_event`.
    pub(super) fn mark_unknown_dependency(&mut self, request_id: u64, after_event: u64) {
        if let Some(pending) = self.requests.get_mut(&request_id) {
            pending.has_unknown_dependency = true;
            pending.stage = RequestStage::AwaitCache {
                after_event,
                revision: 0,
            };
        }
    }

    /// Removes a request that gets its response, and records its response time for admission
    /// control.
    pub(super) fn finish(&mut self, request_id: u64, now: u64) -> Option<PendingRequest> {
        let pending = self.requests.remove(&request_id)?;
        let response_time_ms = now - pending.since;
        self.admission
            .record(response_time_ms, self.requests.len() + 1, now);
        Some(pending)
    }

    /// Removes a request that no controller can decide now, without recording a response time.
    pub(super) fn remove(&mut self, request_id: u64) {
        self.requests.remove(&request_id);
    }

    /// Whether any request waits for a watch cache that has caught up further than this.
    pub(super) fn needs_newer_cache(&self, freshness: CacheFreshness) -> bool {
        let waits = |stage: RequestStage| match stage {
            RequestStage::AwaitCache {
                after_event,
                revision,
            } => !freshness.satisfies(after_event, revision),
            _ => false,
        };
        self.requests.values().any(|pending| waits(pending.stage))
    }

    /// The requests that wait for the watch cache, whichever state of it they need.
    pub(super) fn waiting_for_cache(&self) -> Vec<u64> {
        self.request_ids_where(|pending| matches!(pending.stage, RequestStage::AwaitCache { .. }))
    }

    /// The requests that can be decided with a watch cache that has caught up this far.
    pub(super) fn decidable(&self, freshness: CacheFreshness) -> Vec<u64> {
        self.request_ids_where(|pending| match pending.stage {
            RequestStage::AwaitCache {
                after_event,
                revision,
            } => freshness.satisfies(after_event, revision),
            _ => false,
        })
    }

    /// The requests that exceeded their timeout.
    pub(super) fn overdue(&self, now: u64) -> Vec<u64> {
        self.request_ids_where(|pending| is_overdue(pending, now))
    }

    /// The requests whose retry delay is over.
    pub(super) fn resumable(&self, now: u64) -> Vec<u64> {
        self.request_ids_where(|pending| {
            let is_over = matches!(pending.stage, RequestStage::Pause { until } if now >= until);
            is_over && !is_overdue(pending, now)
        })
    }

    fn request_ids_where(&self, matches: impl Fn(&PendingRequest) -> bool) -> Vec<u64> {
        let requests = self.requests.iter();
        let matching = requests.filter(|(_, pending)| matches(pending));
        matching.map(|(request_id, _)| *request_id).collect()
    }

    /// The limit on requests in progress.
    pub(super) fn limit(&self) -> usize {
        self.admission.limit()
    }

    /// The statistics of response times since the last call; `None` if there were no responses.
    pub(super) fn take_response_times(&mut self) -> Option<ResponseTimes> {
        self.admission.take_response_times()
    }
}

fn is_overdue(pending: &PendingRequest, now: u64) -> bool {
    let timeout_ms = match pending.request {
        UserRequest::Poll => POLL_TIMEOUT_MS,
        UserRequest::Submit(_) | UserRequest::Cancel => SUBMIT_TIMEOUT_MS,
    };
    now > pending.since + timeout_ms
}
