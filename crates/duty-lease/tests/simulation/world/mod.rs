//! Controllers, the store and the provider on one simulated clock.
//!
//! [`World`] owns all of them, the messages in flight, and the history for the checker. A run is
//! determined by its seed: all random choices are drawn from one generator in the order of events.

mod clock;
mod controller;
mod delivery;
mod faults;
mod network;
mod planner;
mod sending;
mod snapshot;
mod transactions;

use duty_lease::Duty;
use rand::rngs::StdRng;
use rand::SeedableRng;

use crate::checker::History;
use crate::provider::{Fence, Provider};
use crate::store::{keys, Store};
use clock::Clock;
use controller::Controller;
use network::{Network, Reply};
use planner::PLANNER;

pub(crate) use faults::{Faults, SentMessages};
pub(crate) use planner::Scaling;

pub(crate) const TTL_MS: u64 = 3000;
pub(crate) const CONTROLLERS: usize = 3;
const STEP_MS: u64 = 20;
const DUTIES: [Duty; 3] = [Duty::Rent, Duty::Return, PLANNER];

pub(crate) struct World {
    pub now: u64,
    pub rng: StdRng,
    pub store: Store,
    pub provider: Provider,
    pub history: History,
    pub faults: Faults,
    /// Whether all clocks have stayed within the allowed drift.
    pub clocks_correct: bool,
    pub scaling: Scaling,
    /// How many requests of leases were sent to the store.
    pub lease_requests: u64,
    controllers: Vec<Controller>,
    network: Network,
}

impl World {
    pub(crate) fn new(seed: u64, fence: Fence) -> World {
        let mut rng = StdRng::seed_from_u64(seed);
        let controllers = (0..CONTROLLERS)
            .map(|index| Controller::new(index, Clock::random(&mut rng)))
            .collect();
        let mut world = World {
            now: 1,
            rng,
            store: Store::default(),
            provider: Provider::new(fence),
            history: History::default(),
            faults: Faults::default(),
            clocks_correct: true,
            scaling: Scaling::Active,
            lease_requests: 0,
            controllers,
            network: Network::default(),
        };
        world.start_all();
        world
    }

    pub(crate) fn run(&mut self, for_ms: u64) {
        let end = self.now + for_ms;
        while self.now < end {
            self.now += STEP_MS;
            if !self.faults.is_store_down {
                self.store.expire(self.now);
            }
            while let Some(message) = self.network.next_due(self.now) {
                self.deliver(message);
            }
            for index in 0..CONTROLLERS {
                self.step(index);
            }
        }
    }

    fn step(&mut self, index: usize) {
        let controller = &mut self.controllers[index];
        if !controller.is_running(self.now) {
            return;
        }
        let from = controller.process();
        for request in controller.due_store_requests(self.now) {
            let is_lease_request = matches!(request.reply, Reply::Lease { .. });
            self.lease_requests += u64::from(is_lease_request);
            self.send_to_store(from, request);
        }
        self.controllers[index].forward_lease_events();
        self.send_order_requests(index);
        self.plan(index);
    }

    /// The first controller that considers itself the holder of a duty.
    pub(crate) fn holder(&self, duty: Duty) -> Option<usize> {
        let holds = |controller: &Controller| {
            controller.is_alive && controller.leases[&duty].token().is_some()
        };
        self.controllers.iter().position(holds)
    }

    /// The controllers that are allowed to send orders of a duty now.
    pub(crate) fn effective_holders(&mut self, duty: Duty) -> Vec<usize> {
        let now = self.now;
        let controllers = self.controllers.iter_mut().enumerate();
        controllers
            .filter_map(|(index, controller)| {
                let is_effective =
                    controller.is_running(now) && controller.may_send_orders(duty, now);
                is_effective.then_some(index)
            })
            .collect()
    }

    pub(crate) fn effective_holder(&mut self, duty: Duty) -> Option<usize> {
        self.effective_holders(duty).first().copied()
    }

    /// Open scaling requests and intents, and rented machines without an owner.
    pub(crate) fn unsettled_items(&self) -> Vec<String> {
        let is_open =
            |key: &&str| key.starts_with(keys::REQUESTS) || key.starts_with(keys::INTENTS);
        let all_keys = self.store.entries().map(|(key, _)| key);
        let open = all_keys.filter(is_open).map(str::to_string);
        let is_owned = |machine: &&String| self.store.version(&keys::machine(machine)) > 0;
        let machines = self.provider.machines.iter();
        let unowned = machines.filter(|machine| !is_owned(machine));
        open.chain(unowned.map(|machine| format!("{machine} is rented but has no owner")))
            .collect()
    }
}
