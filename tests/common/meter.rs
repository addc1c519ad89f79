//! Measures what the controllers' own code costs, by the kind of work.

use gaugesill::net::{Event, Outcome};
use gaugesill::wire;
use std::collections::BTreeMap;
use std::time::Instant;

/// What a piece of work is for.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct WorkKind {
    pub name: &'static str,
    bytes: usize,
}

impl WorkKind {
    pub(super) const TICK: WorkKind = WorkKind::new("tick", 0);
    pub(super) const SNAPSHOT: WorkKind = WorkKind::new("snapshot, if due", 0);
    pub(super) const PLAN: WorkKind = WorkKind::new("plan", 0);
    pub(super) const APPLY: WorkKind = WorkKind::new("plan applied", 0);

    const fn new(name: &'static str, bytes: usize) -> WorkKind {
        WorkKind { name, bytes }
    }

    pub(super) fn of(event: &Event) -> WorkKind {
        match event {
            Event::Request { request, .. } => {
                let name = match (request.method.as_str(), request.path.as_str()) {
                    (_, wire::HEARTBEAT_PATH) => "heartbeat",
                    (_, path) if path.starts_with("/mesh/") => "request of a peer",
                    ("GET", _) => "poll",
                    _ => "submission, cancellation",
                };
                WorkKind::new(name, request.body.len())
            }
            Event::CallFinished { outcome, .. } => match outcome {
                Outcome::Response { body, .. } => WorkKind::new("reply to a call", body.len()),
                _ => WorkKind::new("call without a reply", 0),
            },
        }
    }
}

/// What one kind of work has taken.
#[derive(Clone, Copy, Default)]
pub(crate) struct Spent {
    pub count: u64,
    pub total_us: f64,
    /// Length of the messages that were handled.
    pub bytes: u64,
    pub longest_us: f64,
}

/// What each controller's work has taken, by its kind.
#[derive(Default)]
pub(crate) struct Meter {
    /// By controller and kind of work.
    pub spent: BTreeMap<(usize, &'static str), Spent>,
}

impl Meter {
    fn add(&mut self, controller: usize, kind: WorkKind, us: f64) {
        let spent = self.spent.entry((controller, kind.name)).or_default();
        spent.count += 1;
        spent.total_us += us;
        spent.bytes += kind.bytes as u64;
        spent.longest_us = spent.longest_us.max(us);
    }

    /// Prints what a controller's work took in each second of a run, by its kind.
    pub(crate) fn print(&self, controller: usize, seconds: f64) {
        println!(
            "a second: {:>28} {:>9} {:>9} {:>9}",
            "times", "us", "bytes", "longest"
        );
        let mut all_us = 0.0;
        let spent_by = |of: usize| self.spent.iter().filter(move |((by, _), _)| *by == of);
        for ((_, name), spent) in spent_by(controller) {
            all_us += spent.total_us / seconds;
            println!(
                "  {name:<26} {:>9.1} {:>9.0} {:>9.0} {:>9.0}",
                spent.count as f64 / seconds,
                spent.total_us / seconds,
                spent.bytes as f64 / seconds,
                spent.longest_us
            );
        }
        println!("  all {all_us:>33.0} us, {:.2}% of a core", all_us / 1e4);
    }
}

/// Does a piece of work, and measures what it takes if there is a meter.
pub(super) fn metered<T>(
    meter: &mut Option<Meter>,
    controller: usize,
    kind: WorkKind,
    work: impl FnOnce() -> T,
) -> T {
    let Some(meter) = meter else {
        return work();
    };
    let began = Instant::now();
    let result = work();
    meter.add(controller, kind, began.elapsed().as_secs_f64() * 1e6);
    result
}
