//! Reads the cloud's list of machines page by page. The caller passes events and the time in and
//! sends the requests for pages. Times are in milliseconds of the steady clock.

use std::collections::HashSet;

use crate::wire::{ListedMachine, MachineList};

/// Delay until a page is requested again after its first failure. Each further failure doubles it.
const PAGE_BACKOFF_MS: u64 = 1000;
/// How often the delay of a page is doubled at most.
const PAGE_BACKOFF_DOUBLINGS_MAX: u32 = 3;
/// Failures of one page in a row after which the whole list is read again.
const PAGE_FAILURES_MAX: u32 = 6;
/// How often the interval between two reads is doubled at most after invalid lists.
const INVALID_LIST_DOUBLINGS_MAX: u32 = 2;

/// Why a list is invalid.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(super) enum InvalidListError {
    /// The list has a machine twice.
    #[error("machine {0} is listed twice")]
    DuplicateMachine(String),
    /// A page without machines claims that there are more pages.
    #[error("a page without machines claims that more pages follow")]
    EmptyPage,
    /// The list has more machines than fit into memory.
    #[error("the list has more than {0} machines")]
    TooLong(usize),
}

/// The result of adding a page to the list.
#[derive(Debug)]
pub(super) enum PageResult {
    /// More pages follow.
    More,
    /// The list is complete.
    Complete(Vec<ListedMachine>),
    /// The list is invalid; the machines read so far are discarded.
    Invalid(InvalidListError),
}

/// Whether a page is the last one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PageEnd {
    More,
    Last,
}

/// A read of the list in progress.
#[derive(Debug)]
struct ListRead {
    started_at: u64,
    /// Pages read so far.
    pages: u64,
    machines: Vec<ListedMachine>,
    names: HashSet<String>,
    /// When the next page may be requested; `None` while a request for it is in flight.
    next_page_at: Option<u64>,
    /// Failures of the next page in a row.
    failures: u32,
}

/// Reads the list repeatedly, as the cloud's rate limit allows.
#[derive(Debug, Default)]
pub(super) struct MachineListReader {
    /// When the next read of the list may begin.
    next_read_at: u64,
    read: Option<ListRead>,
    /// Number of pages of the last complete list.
    last_list_pages: u64,
    /// Invalid lists in a row.
    invalid_lists: u32,
}

impl MachineListReader {
    /// Aborts a read in progress. The list is read again from its first page at `now`.
    pub(super) fn restart(&mut self, now: u64) {
        self.next_read_at = now;
        self.read = None;
    }

    /// Whether the next page is due to be requested.
    pub(super) fn is_due(&self, now: u64) -> bool {
        match &self.read {
            Some(read) => read.next_page_at.is_some_and(|at| now >= at),
            None => now >= self.next_read_at,
        }
    }

    /// Marks the next page as requested, and begins a read of the list if none is in progress.
    /// Returns the last machine name read so far, behind which the page starts.
    ///
    /// `interval_ms` is the interval between two reads, per page of the list: a long list costs
    /// calls and time, and shows little that heartbeats don't.
    pub(super) fn begin_page(&mut self, now: u64, interval_ms: u64) -> Option<String> {
        if self.read.is_none() {
            let doublings = self.invalid_lists.min(INVALID_LIST_DOUBLINGS_MAX);
            self.next_read_at = now + ((interval_ms * self.last_list_pages.max(1)) << doublings);
        }
        let read = self.read.get_or_insert_with(|| ListRead {
            started_at: now,
            pages: 0,
            machines: vec![],
            names: HashSet::new(),
            next_page_at: None,
            failures: 0,
        });
        read.next_page_at = None;
        read.machines.last().map(|machine| machine.name.clone())
    }

    /// When the read in progress began. Pages of an earlier read are ignored.
    pub(super) fn started_at(&self) -> Option<u64> {
        self.read.as_ref().map(|read| read.started_at)
    }

    /// Schedules a retry of a page that could not be read, or of the whole list after
    /// [`PAGE_FAILURES_MAX`] failures.
    pub(super) fn on_failure(&mut self, now: u64) {
        let Some(read) = &mut self.read else {
            return;
        };
        read.failures += 1;
        let doublings = (read.failures - 1).min(PAGE_BACKOFF_DOUBLINGS_MAX);
        let retry_at = now + (PAGE_BACKOFF_MS << doublings);
        read.next_page_at = Some(retry_at);
        if read.failures >= PAGE_FAILURES_MAX {
            self.restart(retry_at);
        }
    }

    /// Adds a page. A list with more than `machines_max` machines is invalid.
    pub(super) fn on_page(
        &mut self,
        page: MachineList,
        machines_max: usize,
        now: u64,
    ) -> PageResult {
        let Some(mut read) = self.read.take() else {
            return PageResult::More;
        };
        read.pages += 1;
        match add_page(&mut read, page, machines_max) {
            Ok(PageEnd::More) => {
                read.next_page_at = Some(now);
                read.failures = 0;
                self.read = Some(read);
                PageResult::More
            }
            Ok(PageEnd::Last) => {
                self.last_list_pages = read.pages;
                self.invalid_lists = 0;
                PageResult::Complete(read.machines)
            }
            Err(error) => {
                self.invalid_lists += 1;
                PageResult::Invalid(error)
            }
        }
    }
}

/// Adds the machines of a page to those read so far.
fn add_page(
    read: &mut ListRead,
    page: MachineList,
    machines_max: usize,
) -> Result<PageEnd, InvalidListError> {
    if page.truncated && page.machines.is_empty() {
        return Err(InvalidListError::EmptyPage);
    }
    for machine in page.machines {
        if !read.names.insert(machine.name.clone()) {
            return Err(InvalidListError::DuplicateMachine(machine.name));
        }
        read.machines.push(machine);
    }
    if read.machines.len() > machines_max {
        return Err(InvalidListError::TooLong(machines_max));
    }
    if page.truncated {
        Ok(PageEnd::More)
    } else {
        Ok(PageEnd::Last)
    }
}
