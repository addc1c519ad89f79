//! The controllers' processes: crashes and restarts, their clocks, and pauses during which a
//! process executes nothing while its clocks run on.

use std::collections::{BTreeMap, HashMap};

use gaugesill::controller::Timestamp;
use gaugesill::net::{Action, Event};

use super::cloud_orders::is_cloud_order;

/// Number of controllers.
pub(super) const CONTROLLERS: usize = 3;
/// Wall-clock time at the start of a run.
const WALL_START_MS: u64 = 1_000_000;

/// The generation of each controller's process, and when a stopped controller restarts.
pub(super) struct Lifecycles {
    generations: [u64; CONTROLLERS],
    restart_at: [Option<u64>; CONTROLLERS],
}

impl Lifecycles {
    /// All controllers start at `now`.
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

    /// Whether a controller's start is due; true only once for each start.
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
    /// By how much a controller's steady clock has jumped.
    pub leap_ms: HashMap<usize, i64>,
    /// The reading at which a controller's steady clock is stopped.
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

/// An action or event that is held back while a process is paused.
struct HeldBack<T> {
    controller: usize,
    generation: u64,
    item: T,
}

/// Takes a controller's held items, and drops those of earlier generations.
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

/// Current and scheduled pauses of controllers, and the items held back during them.
#[derive(Default)]
pub(crate) struct Pauses {
    /// How many ms a controller pauses when it has decided on its next action.
    pub on_next_action: HashMap<usize, u64>,
    /// How many ms a controller pauses when it has decided on its next order to the cloud, which
    /// is sent after the pause.
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

    /// How many ms a controller that has decided on these actions pauses, if a pause is scheduled.
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

    pub(super) fn end(&mut self, controller: usize) {
        self.resume_at.remove(&controller);
    }

    /// Controllers whose pause has ended.
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

    /// The actions that a controller decided on before its pause.
    pub(super) fn take_actions(&mut self, controller: usize, generation: u64) -> Vec<Action> {
        take_held(&mut self.actions, controller, generation)
    }

    /// The events that arrived at a controller during its pause.
    pub(super) fn take_events(&mut self, controller: usize, generation: u64) -> Vec<Event> {
        take_held(&mut self.events, controller, generation)
    }
}
