//! Exhaustive exploration of a small model of the lease protocol: two controllers and the store, in
//! steps of a tenth of the time to live, with all possible placements of a few pauses, lost
//! answers and late requests.

#[allow(dead_code, reason = "the store is shared with the simulation")]
#[path = "simulation/store/mod.rs"]
mod store;

use std::collections::{HashSet, VecDeque};

use duty_lease::{Duty, DutyLease, LeaseRequest, LeaseTiming, OutgoingLeaseRequest};
use store::Store;

const TTL_MS: u64 = 1000;
const STEP_MS: u64 = 100;
/// Number of steps that are explored.
const STEPS_MAX: u64 = 26;
/// Maximum number of faults in a run.
const FAULTS_MAX: u8 = 2;
/// Delay of a late request, in steps.
const LATE_STEPS: u64 = 8;
/// Duration of a pause, in steps: longer than a lease.
const PAUSE_STEPS: u64 = TTL_MS / STEP_MS + 2;
const CONTROLLERS: usize = 2;
const DUTY: Duty = Duty::Rent;

/// The fault that is injected into one controller's step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Choice {
    Nothing,
    /// The controller is paused for longer than its lease.
    Pause,
    /// Its request is executed, but the answer is lost.
    LoseAnswer,
    /// Its request arrives late, and the answer is lost.
    Delay,
}

impl Choice {
    const ALL: [Choice; 4] = [
        Choice::Nothing,
        Choice::Pause,
        Choice::LoseAnswer,
        Choice::Delay,
    ];

    /// Whether the choice has an effect only if a request is sent.
    fn needs_request(self) -> bool {
        matches!(self, Choice::LoseAnswer | Choice::Delay)
    }
}

/// A request in flight to the store.
#[derive(Debug, Clone)]
struct Message {
    /// The step in which it arrives.
    arrives_at: u64,
    /// The controller that sent it.
    from: usize,
    id: u64,
    request: LeaseRequest,
    is_answer_lost: bool,
}

#[derive(Debug, Clone)]
struct Model {
    step: u64,
    faults_left: u8,
    store: Store,
    leases: [DutyLease; CONTROLLERS],
    /// For how many more steps each controller is paused.
    paused: [u64; CONTROLLERS],
    messages: Vec<Message>,
}

impl Model {
    fn new() -> Model {
        let timing = LeaseTiming {
            // With this share, the time of one step does not count as a pause.
            pause_share: 0.15,
            ..LeaseTiming::new(TTL_MS)
        };
        Model {
            step: 1,
            faults_left: FAULTS_MAX,
            store: Store::default(),
            leases: ["a", "b"].map(|name| DutyLease::new(name, timing)),
            paused: [0; CONTROLLERS],
            messages: vec![],
        }
    }

    fn now(&self) -> u64 {
        self.step * STEP_MS
    }

    /// The state after one step with these choices; `None` if one of them has no effect, or the
    /// faults exceed the maximum.
    fn next(&self, choices: [Choice; CONTROLLERS]) -> Option<Model> {
        let mut model = self.clone();
        model.step += 1;
        for (index, choice) in choices.into_iter().enumerate() {
            if choice != Choice::Nothing {
                model.faults_left = model.faults_left.checked_sub(1)?;
            }
            model.step_controller(index, choice)?;
        }
        model.deliver();
        Some(model)
    }

    fn step_controller(&mut self, index: usize, choice: Choice) -> Option<()> {
        if choice == Choice::Pause && self.paused[index] == 0 {
            self.paused[index] = PAUSE_STEPS;
        }
        if self.paused[index] > 0 {
            self.paused[index] -= 1;
            return Some(());
        }
        let now = self.now();
        match self.leases[index].tick(now) {
            Some(numbered) => {
                self.send(index, numbered, choice);
                Some(())
            }
            None => (!choice.needs_request()).then_some(()),
        }
    }

    fn send(&mut self, from: usize, numbered: OutgoingLeaseRequest, choice: Choice) {
        let late_steps = if choice == Choice::Delay {
            LATE_STEPS
        } else {
            0
        };
        self.messages.push(Message {
            arrives_at: self.step + late_steps,
            from,
            id: numbered.id,
            request: numbered.request,
            is_answer_lost: choice.needs_request(),
        });
    }

    fn deliver(&mut self) {
        let now = self.now();
        let (due, later): (Vec<Message>, Vec<Message>) = std::mem::take(&mut self.messages)
            .into_iter()
            .partition(|message| message.arrives_at <= self.step);
        self.messages = later;
        for message in due {
            self.store.expire(now);
            let response = self.store.handle_lease_request(DUTY, message.request, now);
            if !message.is_answer_lost && self.paused[message.from] == 0 {
                self.leases[message.from].on_response(message.id, response, now);
            }
        }
        for lease in &mut self.leases {
            lease.take_events();
        }
    }

    /// Controllers that are allowed to send orders now. A paused one sends none; the provider has to
    /// handle its orders in flight.
    fn effective_holders(&self) -> Vec<usize> {
        let now = self.now();
        let may_send_orders = |index: &usize| {
            let mut lease = self.leases[*index].clone();
            self.paused[*index] == 0 && lease.order_token(now).is_some()
        };
        (0..CONTROLLERS).filter(may_send_orders).collect()
    }

    /// All states after one more step.
    fn successors(&self) -> impl Iterator<Item = Model> + use<'_> {
        let pairs = Choice::ALL
            .into_iter()
            .flat_map(|first| Choice::ALL.map(|second| [first, second]));
        pairs.filter_map(|choices| self.next(choices))
    }
}

#[test]
fn there_are_never_two_effective_holders() {
    let mut seen: HashSet<String> = HashSet::new();
    let mut queue = VecDeque::from([Model::new()]);
    let mut states = 0;
    let mut has_held = [false; CONTROLLERS];
    while let Some(model) = queue.pop_front() {
        let effective = model.effective_holders();
        assert!(effective.len() < 2, "{model:#?}");
        for index in effective {
            has_held[index] = true;
        }
        states += 1;
        if model.step >= STEPS_MAX {
            continue;
        }
        for next in model.successors() {
            if seen.insert(format!("{next:?}")) {
                queue.push_back(next);
            }
        }
    }
    assert!(states > 2000, "{states}");
    assert_eq!(has_held, [true, true], "both were holders in some run");
}
