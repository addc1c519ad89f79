//! Reading the cloud's list of machines page by page. Events and the time go in, the pages to
//! ask for come out.

use std::collections::HashSet;

use crate::wire::{ListedMachine, MachineList};

/// Pauses before a page is asked for again: the first, and how often it is doubled.
const PAGE_RETRY_MS: u64 = 1000;
const PAGE_DOUBLINGS_MAX: u32 = 3;
/// Failures of one page after which the whole list is begun anew.
const PAGE_TRIES_MAX: u32 = 6;
/// How often the pause between two reads is doubled after invalid lists.
const INVALID_DOUBLINGS_MAX: u32 = 2;

/// Why a list is invalid.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(super) enum ListError {
    /// A page holds what an earlier one has held.
    #[error("a page repeats {0}")]
    Repeated(String),
    /// A page says that there is more and holds nothing.
    #[error("a page without machines says that there are more")]
    Empty,
    /// More machines than there is memory for.
    #[error("it has more than {0} machines and does not end")]
    Endless(usize),
}

/// What a page brought.
#[derive(Debug)]
pub(super) enum PageResult {
    /// There are more pages.
    More,
    /// The list is complete.
    Complete(Vec<ListedMachine>),
    /// The list is invalid: nothing of it counts.
    Invalid(ListError),
}

/// Whether a page is the last one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PageEnd {
    More,
    Last,
}

/// A read in progress.
#[derive(Debug)]
struct ListRead {
    started_at: u64,
    pages: u64,
    machines: Vec<ListedMachine>,
    names: HashSet<String>,
    /// When the next page may be asked for; `None` while one is on its way.
    next_page_at: Option<u64>,
    /// Failures in a row of the next page.
    failures: u32,
}

/// Reads the list repeatedly, as the limit of calls to the cloud allows.
#[derive(Debug, Default)]
pub(super) struct MachineListReader {
    next_at: u64,
    read: Option<ListRead>,
    /// Pages of the last complete list.
    pages: u64,
    /// Invalid lists in a row.
    invalid: u32,
}

impl MachineListReader {
    /// Gives up a read in progress and begins anew.
    pub(super) fn restart(&mut self, now: u64) {
        self.next_at = now;
        self.read = None;
    }

    /// Whether a page is to be asked for.
    pub(super) fn is_due(&self, now: u64) -> bool {
        match &self.read {
            Some(read) => read.next_page_at.is_some_and(|at| now >= at),
            None => now >= self.next_at,
        }
    }

    /// A page is being read. `interval_ms`: time between two reads, for each page of
    /// the list: a long one costs calls and time, and shows little that heartbeats don't.
    /// Returns the last name that is known already.
    pub(super) fn begin_page(&mut self, now: u64, interval_ms: u64) -> Option<String> {
        if self.read.is_none() {
            let doublings = self.invalid.min(INVALID_DOUBLINGS_MAX);
            self.next_at = now + ((interval_ms * self.pages.max(1)) << doublings);
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

    /// When the read in progress began: what belongs to an earlier one is dropped.
    pub(super) fn started_at(&self) -> Option<u64> {
        self.read.as_ref().map(|read| read.started_at)
    }

    /// A page was not read. It is read again, and after some failures the whole list.
    pub(super) fn on_failure(&mut self, now: u64) {
        let Some(read) = &mut self.read else {
            return;
        };
        read.failures += 1;
        let doublings = (read.failures - 1).min(PAGE_DOUBLINGS_MAX);
        let retry_at = now + (PAGE_RETRY_MS << doublings);
        read.next_page_at = Some(retry_at);
        if read.failures >= PAGE_TRIES_MAX {
            self.restart(retry_at);
        }
    }

    /// Adds a page. `machines_max`: more can't be held in memory.
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
                self.pages = read.pages;
                self.invalid = 0;
                PageResult::Complete(read.machines)
            }
            Err(error) => {
                self.invalid += 1;
                PageResult::Invalid(error)
            }
        }
    }
}

/// Adds a page to those that were read.
fn add_page(
    read: &mut ListRead,
    page: MachineList,
    machines_max: usize,
) -> Result<PageEnd, ListError> {
    if page.truncated && page.machines.is_empty() {
        return Err(ListError::Empty);
    }
    for machine in page.machines {
        if !read.names.insert(machine.name.clone()) {
            return Err(ListError::Repeated(machine.name));
        }
        read.machines.push(machine);
    }
    if read.machines.len() > machines_max {
        return Err(ListError::Endless(machines_max));
    }
    if page.truncated {
        Ok(PageEnd::More)
    } else {
        Ok(PageEnd::Last)
    }
}
