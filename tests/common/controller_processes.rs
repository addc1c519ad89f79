//! The controllers' processes: crashes and restarts, their clocks, and pauses during which a
//! process executes nothing while its clocks run on.

use std::collections::{BTreeMap, HashMap};

use gaugesill::controller::Timestamp;
use gaugesill::net::{Action, Event};

use super::cloud_orders::is_cloud_order;

/// How many controllers there are.
pub(super) const CONTROLLERS: usize = 3;
/// The time of day at the start of a run.
const WALL_START_MS: u64 = 1_000_000;

/// Which generation of each controller runs, and when those that are down start again.
pub(super) struct Lifecycles {
    generations: [u64; CONTROLLERS],
    restart_at: [Option<u64>; CONTROLLERS],
}

impl Lifecycles {
    /// All start at once.
    pub(super) fn starting_at(now: u64) -> Lifecycles {
        Lifecycles {
            generations: [0; CONTROLLERS],
            restart_at: [Some(now); CONTROLLERS],
        }
    }

    pub(super) fn generation(&self, controller: usize) -> u64 {
        self.generations[controller]
    }

    pub(super) fn on_crash(&mut self, controller: usize, restart_at: u64) {
        self.generations[controller] += 1;
        self.restart_at[controller] = Some(restart_at);
    }

    /// Whether a controller is to be started now; once for each start.
    pub(super) fn take_due_start(&mut self, controller: usize, now: u64) -> bool {
        let is_due = self.restart_at[controller].is_some_and(|at| now >= at);
        if is_due {
            self.restart_at[controller] = None;
        }
        is_due
    }

    /// The seed of a process, different for each generation and controller.
    pub(super) fn seed(&self, controller: usize) -> u64 {
        10 * self.generations[controller] + controller as u64
    }
}

/// The controllers' clocks and their faults.
#[derive(Default)]
pub(crate) struct Clocks {
    /// Parts in ten thousand by which a controller's steady clock runs fast.
    pub drift_per_10_000: HashMap<usize, u64>,
    /// By how much a controller's steady clock has leapt, in milliseconds.
    pub leap_ms: HashMap<usize, i64>,
    /// The reading at which a controller's steady clock has stopped.
    pub stopped_at: HashMap<usize, u64>,
}

impl Clocks {
    pub(super) fn read(&self, controller: usize, now: u64) -> Timestamp {
        let drift = self.drift_per_10_000.get(&controller).unwrap_or(&0);
        let leap = self.leap_ms.get(&controller).unwrap_or(&0);
        let steady = (now + now * drift / 10_000).saturating_add_signed(*leap);
        let stopped_at = self.stopped_at.get(&controller).copied();
        Timestamp {
            steady: stopped_at.unwrap_or(steady),
            wall: WALL_START_MS + now,
        }
    }
}

/// What a paused process holds back.
struct HeldBack<T> {
    controller: usize,
    generation: u64,
    item: T,
}

/// Removes what a controller holds back; what an earlier generation did is dropped.
fn take_held<T>(held: &mut Vec<HeldBack<T>>, controller: usize, generation: u64) -> Vec<T> {
    let (own, others) = std::mem::take(held)
        .into_iter()
        .partition(|entry| entry.controller == controller);
    *held = others;
    let own: Vec<HeldBack<T>> = own;
    own.into_iter()
        .filter(|entry| entry.generation == generation)
        .map(|entry| entry.item)
        .collect()
}

/// Controllers that are paused or will be, and what they hold back meanwhile.
#[derive(Default)]
pub(crate) struct Pauses {
    /// Controllers that pause, for how many ms, as soon as they have decided on anything.
    pub on_next_action: HashMap<usize, u64>,
    /// Controllers that pause, for how many ms, as soon as they have decided on an order to
    /// the cloud, which goes out afterwards.
    pub on_cloud_order: HashMap<usize, u64>,
    resume_at: BTreeMap<usize, u64>,
    actions: Vec<HeldBack<Action>>,
    events: Vec<HeldBack<Event>>,
}

impl Pauses {
    pub(super) fn is_paused(&self, controller: usize) -> bool {
        self.resume_at.contains_key(&controller)
    }

    pub(super) fn is_any_paused(&self) -> bool {
        !self.resume_at.is_empty()
    }

    /// For how long a controller that has decided on these actions pauses now, if it does.
    pub(super) fn take_due_pause(&mut self, controller: usize, actions: &[Action]) -> Option<u64> {
        let has_order = actions.iter().any(is_cloud_order);
        let on_order = has_order
            .then(|| self.on_cloud_order.remove(&controller))
            .flatten();
        self.on_next_action.remove(&controller).or(on_order)
    }

    pub(super) fn pause(&mut self, controller: usize, resume_at: u64) {
        self.resume_at.insert(controller, resume_at);
    }

    /// Ends a pause.
    pub(super) fn end(&mut self, controller: usize) {
        self.resume_at.remove(&controller);
    }

    /// Controllers whose pause is over.
    pub(super) fn due(&self, now: u64) -> Vec<usize> {
        let due = self.resume_at.iter().filter(|(_, at)| now >= **at);
        due.map(|(controller, _)| *controller).collect()
    }

    pub(super) fn hold_actions(&mut self, controller: usize, generation: u64, all: Vec<Action>) {
        let held = all.into_iter().map(|item| HeldBack {
            controller,
            generation,
            item,
        });
        self.actions.extend(held);
    }

    pub(super) fn hold_event(&mut self, controller: usize, generation: u64, item: Event) {
        self.events.push(HeldBack {
            controller,
            generation,
            item,
        });
    }

    /// What a controller had decided on before it paused.
    pub(super) fn take_actions(&mut self, controller: usize, generation: u64) -> Vec<Action> {
        take_held(&mut self.actions, controller, generation)
    }

    /// What reached a controller while it was paused.
    pub(super) fn take_events(&mut self, controller: usize, generation: u64) -> Vec<Event> {
        take_held(&mut self.events, controller, generation)
    }
}
