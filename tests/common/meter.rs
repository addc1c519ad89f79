//! What the controllers' own code costs, by the sort of event.

use gaugesill::net::{Event, Outcome};
use gaugesill::wire;
use std::collections::BTreeMap;
use std::time::Instant;

/// What a piece of work was for.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct EventSort {
    pub name: &'static str,
    bytes: usize,
}

impl EventSort {
    pub const TICK: EventSort = EventSort::new("tick", 0);
    pub const SNAPSHOT: EventSort = EventSort::new("snapshot, if due", 0);
    pub const PLAN: EventSort = EventSort::new("plan", 0);
    pub const APPLY: EventSort = EventSort::new("plan applied", 0);

    const fn new(name: &'static str, bytes: usize) -> EventSort {
        EventSort { name, bytes }
    }

    pub fn of(event: &Event) -> EventSort {
        match event {
            Event::Request { request, .. } => {
                let name = match (request.method.as_str(), request.path.as_str()) {
                    (_, wire::HEARTBEAT_PATH) => "check-in",
                    (_, path) if path.starts_with("/mesh/") => "peer's request",
                    ("GET", _) => "poll",
                    _ => "submission, cancellation",
                };
                EventSort::new(name, request.body.len())
            }
            Event::Reply { outcome, .. } => match outcome {
                Outcome::Answer { body, .. } => EventSort::new("reply to a call", body.len()),
                _ => EventSort::new("call without a reply", 0),
            },
        }
    }
}

/// What one sort of work took.
#[derive(Clone, Copy, Default)]
pub struct Spent {
    pub count: u64,
    pub us: f64,
    pub bytes: u64,
    /// The longest.
    pub most_us: f64,
}

/// What each controller's work took, by its sort.
#[derive(Default)]
pub struct Meter {
    pub spent: BTreeMap<(usize, &'static str), Spent>,
}

impl Meter {
    fn add(&mut self, controller: usize, sort: EventSort, us: f64) {
        let spent = self.spent.entry((controller, sort.name)).or_default();
        spent.count += 1;
        spent.us += us;
        spent.bytes += sort.bytes as u64;
        spent.most_us = spent.most_us.max(us);
    }

    /// What a second of a controller's work was made of.
    pub fn print(&self, controller: usize, seconds: f64) {
        println!(
            "a second: {:>28} {:>9} {:>9} {:>9}",
            "times", "us", "bytes", "longest"
        );
        let mut all_us = 0.0;
        for ((_, name), spent) in self.spent.iter().filter(|((n, _), _)| *n == controller) {
            all_us += spent.us / seconds;
            println!(
                "  {name:<26} {:>9.1} {:>9.0} {:>9.0} {:>9.0}",
                spent.count as f64 / seconds,
                spent.us / seconds,
                spent.bytes as f64 / seconds,
                spent.most_us
            );
        }
        println!("  all {all_us:>33.0} us, {:.2}% of a core", all_us / 1e4);
    }
}

/// Does a piece of work, and notes what it took if that is measured.
pub(super) fn metered<T>(
    meter: &mut Option<Meter>,
    controller: usize,
    sort: EventSort,
    work: impl FnOnce() -> T,
) -> T {
    let Some(meter) = meter else {
        return work();
    };
    let began = Instant::now();
    let result = work();
    meter.add(controller, sort, began.elapsed().as_secs_f64() * 1e6);
    result
}
