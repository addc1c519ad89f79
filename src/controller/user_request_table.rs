//! Users' requests in progress, each with what it waits for, and the limit on their number.

use std::collections::BTreeMap;

use super::user_types::{Caller, PendingRequest, RequestStage, UserRequest};
use crate::admission::{AdmissionLimit, ResponseTimes};

/// What a response to a user may take before the limit on requests in progress falls.
const TARGET_MS: u64 = 500;
/// Sockets for each request in progress.
const SOCKETS_PER_REQUEST: usize = 4;
/// A user gives up after 5 s, or 2 s for a poll.
const SUBMIT_MS: u64 = 3500;
const POLL_MS: u64 = 1700;

/// How recent the watch cache is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct CacheAge {
    /// It holds all that was in the store at this event; 0 if it was never complete.
    pub complete_as_of: u64,
    pub revision: u64,
}

impl CacheAge {
    /// Whether a request that waits for the watch cache can be decided with it.
    fn satisfies(&self, after: u64, revision: u64) -> bool {
        after <= self.complete_as_of && revision <= self.revision
    }
}

/// Users' requests in progress, by their numbers.
#[derive(Debug)]
pub(super) struct UserRequestTable {
    requests: BTreeMap<u64, PendingRequest>,
    next_number: u64,
    admission: AdmissionLimit,
}

impl UserRequestTable {
    /// An empty table. `fd_limit`: sockets that the process may have.
    pub(super) fn new(fd_limit: usize) -> UserRequestTable {
        UserRequestTable {
            requests: BTreeMap::new(),
            next_number: 1,
            admission: AdmissionLimit::new(TARGET_MS, fd_limit / SOCKETS_PER_REQUEST),
        }
    }

    /// Whether another request may begin.
    pub(super) fn admits(&self) -> bool {
        self.admission.admits(self.requests.len())
    }

    /// Adds a request that waits for a watch cache read after the event `after`. Returns its
    /// number.
    pub(super) fn insert(
        &mut self,
        caller: Caller,
        job: String,
        request: UserRequest,
        body: Vec<u8>,
        after: u64,
        now: u64,
    ) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        let pending = PendingRequest {
            caller,
            job,
            request,
            since: now,
            stage: RequestStage::AwaitCache { after, revision: 0 },
            body,
            found_dependencies: vec![],
            names_unknown_job: false,
        };
        self.requests.insert(number, pending);
        number
    }

    pub(super) fn get(&self, number: u64) -> Option<&PendingRequest> {
        self.requests.get(&number)
    }

    /// A request waits for something else from now on.
    pub(super) fn set_stage(&mut self, number: u64, stage: RequestStage) {
        if let Some(pending) = self.requests.get_mut(&number) {
            pending.stage = stage;
        }
    }

    /// A job that a submission names was found on record.
    pub(super) fn add_found_dependency(&mut self, number: u64, dependency: String) {
        if let Some(pending) = self.requests.get_mut(&number) {
            pending.found_dependencies.push(dependency);
        }
    }

    /// A submission names a job that was never accepted. Whether it was accepted itself is
    /// told by a watch cache read after the event `after`.
    pub(super) fn mark_unknown_dependency(&mut self, number: u64, after: u64) {
        if let Some(pending) = self.requests.get_mut(&number) {
            pending.names_unknown_job = true;
            pending.stage = RequestStage::AwaitCache { after, revision: 0 };
        }
    }

    /// Removes a request that gets its response; the time that it took counts.
    pub(super) fn finish(&mut self, number: u64, now: u64) -> Option<PendingRequest> {
        let pending = self.requests.remove(&number)?;
        let took_ms = now - pending.since;
        self.admission.record(took_ms, self.requests.len() + 1, now);
        Some(pending)
    }

    /// Removes a request that nobody can decide now; its time does not count.
    pub(super) fn remove(&mut self, number: u64) {
        self.requests.remove(&number);
    }

    /// Whether a request waits for a watch cache that is newer than this.
    pub(super) fn is_waiting_for_newer(&self, age: CacheAge) -> bool {
        let waits = |stage: RequestStage| match stage {
            RequestStage::AwaitCache { after, revision } => !age.satisfies(after, revision),
            _ => false,
        };
        self.requests.values().any(|pending| waits(pending.stage))
    }

    /// The requests that wait for a watch cache, however old.
    pub(super) fn waiting_for_cache(&self) -> Vec<u64> {
        self.numbers_where(|pending| matches!(pending.stage, RequestStage::AwaitCache { .. }))
    }

    /// The requests that a watch cache of this age decides.
    pub(super) fn decidable(&self, age: CacheAge) -> Vec<u64> {
        self.numbers_where(|pending| match pending.stage {
            RequestStage::AwaitCache { after, revision } => age.satisfies(after, revision),
            _ => false,
        })
    }

    /// The requests that have taken too long.
    pub(super) fn overdue(&self, now: u64) -> Vec<u64> {
        self.numbers_where(|pending| is_overdue(pending, now))
    }

    /// The requests whose pause is over.
    pub(super) fn resumable(&self, now: u64) -> Vec<u64> {
        self.numbers_where(|pending| {
            let is_over = matches!(pending.stage, RequestStage::Pause { until } if now >= until);
            is_over && !is_overdue(pending, now)
        })
    }

    fn numbers_where(&self, matches: impl Fn(&PendingRequest) -> bool) -> Vec<u64> {
        let requests = self.requests.iter();
        let matching = requests.filter(|(_, pending)| matches(pending));
        matching.map(|(number, _)| *number).collect()
    }

    /// The limit on requests in progress.
    pub(super) fn limit(&self) -> usize {
        self.admission.limit()
    }

    /// The statistics of response times since the last call; `None` if there were none.
    pub(super) fn take_response_times(&mut self) -> Option<ResponseTimes> {
        self.admission.take_response_times()
    }
}

fn is_overdue(pending: &PendingRequest, now: u64) -> bool {
    let max_ms = match pending.request {
        UserRequest::Poll => POLL_MS,
        UserRequest::Submit(_) | UserRequest::Cancel => SUBMIT_MS,
    };
    now > pending.since + max_ms
}
