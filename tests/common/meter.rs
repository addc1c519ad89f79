//! Measures the processor time of the controllers' code, by kind of work.

use gaugesill::net::{Event, Outcome};
use gaugesill::wire;
use std::collections::BTreeMap;
use std::time::Instant;

/// The kind of a unit of work, and the length of the message that it handles.
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

/// The accumulated cost of one kind of work.
#[derive(Clone, Copy, Default)]
pub(crate) struct WorkCost {
    pub count: u64,
    pub total_us: f64,
    /// Total length of the messages that were handled.
    pub bytes: u64,
    pub longest_us: f64,
}

/// The cost of each controller's work, by kind.
#[derive(Default)]
pub(crate) struct Meter {
    /// By controller and kind of work.
    pub costs: BTreeMap<(usize, &'static str), WorkCost>,
}

impl Meter {
    fn add(&mut self, controller: usize, kind: WorkKind, us: f64) {
        let cost = self.costs.entry((controller, kind.name)).or_default();
        cost.count += 1;
        cost.total_us += us;
        cost.bytes += kind.bytes as u64;
        cost.longest_us = cost.longest_us.max(us);
    }

    /// Prints the cost of a controller's work per second of the run, by kind.
    pub(crate) fn print(&self, controller: usize, seconds: f64) {
        println!(
            "a second: {:>28} {:>9} {:>9} {:>9}",
            "times", "us", "bytes", "longest"
        );
        let mut all_us = 0.0;
        let costs_of = |of: usize| self.costs.iter().filter(move |((by, _), _)| *by == of);
        for ((_, name), cost) in costs_of(controller) {
            all_us += cost.total_us / seconds;
            println!(
                "  {name:<26} {:>9.1} {:>9.0} {:>9.0} {:>9.0}",
                cost.count as f64 / seconds,
                cost.total_us / seconds,
                cost.bytes as f64 / seconds,
                cost.longest_us
            );
        }
        println!("  all {all_us:>33.0} us, {:.2}% of a core", all_us / 1e4);
    }
}

/// Runs `work`, and measures its cost if there is a meter.
pub(super) fn metered<T>(
    meter: &mut Option<Meter>,
    controller: usize,
    kind: WorkKind,
    work: impl FnOnce() -> T,
) -> T {
    let Some(meter) = meter else {
        return work();
    };
    let start = Instant::now();
    let result = work();
    meter.add(controller, kind, start.elapsed().as_secs_f64() * 1e6);
    result
}
