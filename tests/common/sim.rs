//! Three controllers and their environment on a simulated clock.

use gaugesill::controller::{Controller, Timestamp};
use gaugesill::net::{Action, Event, Outcome};
use gaugesill::plan;
use gaugesill::wire;
use std::collections::BTreeMap;

use super::agent::Agent;
use super::agent_ticks::IncompleteGangs;
use super::cloud::Cloud;
use super::cloud_orders::DutyEvent;
use super::controller_processes::{Clocks, Lifecycles, Pauses, CONTROLLERS};
use super::delivery::Watch;
use super::deployment::Deployment;
use super::digest::MessageDigest;
use super::faults::{Faults, HeldMessages};
use super::messages::Job;
use super::meter::{metered, Meter, WorkKind};
use super::network::Network;
use super::run_log::RunLog;
use super::settings::PlatformLimits;
use super::store::Store;
use super::task_start::TaskMachines;
use super::users::Users;

/// Time between two ticks of a controller.
const CONTROLLER_TICK_MS: u64 = 10;

/// Three controllers and everything around them.
pub(crate) struct Sim {
    /// Milliseconds since the start of the run.
    pub now: u64,
    /// `None`: the process is down.
    pub controllers: Vec<Option<Controller>>,
    pub(super) lifecycles: Lifecycles,
    pub clocks: Clocks,
    pub pauses: Pauses,
    pub deployment: Deployment,
    pub store: Store,
    pub cloud: Cloud,
    pub agents: BTreeMap<String, Agent>,
    /// Time between two ticks of an agent.
    pub agent_tick_ms: u64,
    pub(super) incomplete_gangs: IncompleteGangs,
    pub(super) task_machines: TaskMachines,
    pub jobs: BTreeMap<String, Job>,
    pub users: Users,
    pub(super) network: Network,
    pub(super) watches: Vec<Watch>,
    pub faults: Faults,
    pub(super) held: HeldMessages,
    pub log: RunLog,
    /// Transactions that reached the store.
    pub transactions: u64,
    /// Responses to controllers that were dropped because they exceeded the size limit.
    pub oversized_replies: u64,
    /// The orders to the cloud that controllers decided on, and those that the cloud received.
    pub duty_history: Vec<DutyEvent>,
    pub(super) digest: MessageDigest,
    /// Measures the cost of the controllers' work; `None` if it is not measured.
    pub meter: Option<Meter>,
}

impl Sim {
    pub(crate) fn new() -> Sim {
        Sim::with_team(r#"{"name":"t"}"#, 0.0)
    }

    /// A cluster whose controllers have had a second to elect a leader.
    pub(crate) fn started() -> Sim {
        let mut sim = Sim::new();
        sim.run(1000);
        sim
    }

    /// `team`: the team's settings as JSON; `team_cores`: the CPU limit that the simulation checks,
    /// or 0 for none.
    pub(crate) fn with_team(team: &str, team_cores: f64) -> Sim {
        let mut sim = Sim {
            now: 1,
            controllers: (0..CONTROLLERS).map(|_| None).collect(),
            lifecycles: Lifecycles::starting_at(1),
            clocks: Clocks::default(),
            pauses: Pauses::default(),
            deployment: Deployment::new(team, team_cores),
            store: Store::default(),
            cloud: Cloud::with_capacity(4, 5000),
            agents: BTreeMap::new(),
            agent_tick_ms: 10,
            incomplete_gangs: IncompleteGangs::default(),
            task_machines: TaskMachines::default(),
            jobs: BTreeMap::new(),
            users: Users::default(),
            network: Network::default(),
            watches: vec![],
            faults: Faults::default(),
            held: HeldMessages::default(),
            log: RunLog::default(),
            transactions: 0,
            oversized_replies: 0,
            duty_history: vec![],
            digest: MessageDigest::default(),
            meter: None,
        };
        sim.run(1);
        sim
    }

    /// A cluster with the limits of a large deployment and at most `machines` machines.
    pub(crate) fn large(machines: usize) -> Sim {
        let mut sim = Sim::new();
        sim.deployment.limits = PlatformLimits::large();
        sim.agent_tick_ms = 100;
        sim.cloud.capacity = machines;
        sim.crash_all(|_| 1);
        sim
    }

    /// Adds a line to the trace.
    pub(crate) fn trace_event(&mut self, text: String) {
        self.log.trace_event(self.now, &text);
    }

    /// The trace so far, for messages of failed assertions.
    pub(crate) fn trace_text(&self) -> String {
        self.log.trace.join("\n")
    }

    /// The first controller that considers itself the leader.
    pub(crate) fn leader(&self) -> Option<usize> {
        let leads = |slot: &Option<Controller>| {
            let controller = slot.as_ref();
            controller.is_some_and(|controller| controller.scheduler.is_some())
        };
        self.controllers.iter().position(leads)
    }

    /// The machine with the lowest name whose agent is running.
    pub(crate) fn first_machine(&self) -> String {
        let first = self.agents.keys().next();
        first.expect("a machine").clone()
    }

    /// Whether a controller is running and passes the load balancer's health check.
    pub(crate) fn is_healthy(&self, controller: usize) -> bool {
        let controller = self.controllers[controller].as_ref();
        controller.is_some_and(Controller::is_healthy)
    }

    /// The first controller that is running.
    pub(crate) fn any_running_controller(&self) -> Option<usize> {
        self.controllers.iter().position(Option::is_some)
    }

    /// Advances the clock by `ms`.
    pub(crate) fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += 1;
            self.step();
        }
    }

    /// Advances the clock until a condition holds; false if it does not within `max_ms`.
    pub(crate) fn run_until(&mut self, max_ms: u64, condition: impl Fn(&Sim) -> bool) -> bool {
        let end = self.now + max_ms;
        while self.now < end {
            if condition(self) {
                return true;
            }
            self.run(10);
        }
        condition(self)
    }

    /// Simulates one millisecond.
    fn step(&mut self) {
        self.start_controllers();
        self.resume_paused();
        self.resume_hung_machines();
        self.apply_late_writes();
        self.execute_late_cloud_orders();
        self.send_copies_to_next_leader();
        while let Some(message) = self.network.next_arrival(self.now) {
            self.deliver(message);
        }
        while let Some(ticket) = self.network.next_expired_call(self.now) {
            self.reply(ticket, Outcome::NoResponse);
        }
        if !self.faults.store_outage {
            self.store.expire(self.now);
            self.answer_watches();
        }
        if self.now % CONTROLLER_TICK_MS == 0 {
            self.tick_controllers();
        }
        if self.now % self.agent_tick_ms == 0 {
            self.tick_agents();
        }
    }

    fn start_controllers(&mut self) {
        for index in 0..CONTROLLERS {
            if self.lifecycles.take_due_start(index, self.now) {
                let settings = self.deployment.settings_of(index);
                let operator = self.deployment.operator_settings_of(index);
                let seed = self.lifecycles.seed(index);
                self.controllers[index] = Some(Controller::new(settings, operator, seed));
            }
        }
    }

    fn tick_controllers(&mut self) {
        for index in 0..CONTROLLERS {
            if self.pauses.is_paused(index) {
                continue;
            }
            let now = self.clock(index);
            if let Some(controller) = &mut self.controllers[index] {
                metered(&mut self.meter, index, WorkKind::TICK, || {
                    controller.tick(now);
                });
            }
            self.execute_actions(index);
        }
    }

    pub(super) fn clock(&self, controller: usize) -> Timestamp {
        self.clocks.read(controller, self.now)
    }

    /// Controllers whose pause has ended first execute the actions that they decided on before
    /// it, then handle the events that arrived during it.
    fn resume_paused(&mut self) {
        for controller in self.pauses.due(self.now) {
            self.pauses.end(controller);
            self.trace_event(format!("c{controller} goes on"));
            let generation = self.lifecycles.generation(controller);
            for action in self.pauses.take_actions(controller, generation) {
                self.execute(controller, action);
            }
            for event in self.pauses.take_events(controller, generation) {
                self.event(controller, event);
            }
        }
    }

    fn pause(&mut self, controller: usize, ms: u64, actions: Vec<Action>) {
        self.pauses.pause(controller, self.now + ms);
        self.trace_event(format!("c{controller} stands still"));
        let generation = self.lifecycles.generation(controller);
        self.pauses.hold_actions(controller, generation, actions);
    }

    /// Delivers an event to a controller, or holds it back while the controller is paused.
    pub(super) fn event(&mut self, index: usize, event: Event) {
        if self.pauses.is_paused(index) {
            let generation = self.lifecycles.generation(index);
            return self.pauses.hold_event(index, generation, event);
        }
        let now = self.clock(index);
        if let Some(controller) = &mut self.controllers[index] {
            let kind = WorkKind::of(&event);
            metered(&mut self.meter, index, kind, || {
                controller.handle_event(now, event);
            });
        }
        self.execute_actions(index);
    }

    /// Executes a controller's actions until it has no more.
    fn execute_actions(&mut self, controller: usize) {
        loop {
            let actions = self.take_actions(controller);
            if actions.is_empty() {
                return;
            }
            if let Some(ms) = self.pauses.take_due_pause(controller, &actions) {
                return self.pause(controller, ms, actions);
            }
            for action in actions {
                self.record_decision(controller, &action);
                self.execute(controller, action);
            }
        }
    }

    /// Takes a controller's actions, after running a scheduling cycle if one is due.
    fn take_actions(&mut self, index: usize) -> Vec<Action> {
        let now = self.clock(index);
        let meter = &mut self.meter;
        let Some(controller) = &mut self.controllers[index] else {
            return vec![];
        };
        let mut actions = controller.take_actions();
        let snapshot = metered(meter, index, WorkKind::SNAPSHOT, || {
            controller.take_due_snapshot(now)
        });
        if let Some(snapshot) = snapshot {
            let epoch = controller.epoch();
            let decision = metered(meter, index, WorkKind::PLAN, || plan::run_cycle(snapshot));
            metered(meter, index, WorkKind::APPLY, || {
                controller.apply_plan(now, epoch, decision);
            });
            actions.extend(controller.take_actions());
        }
        actions
    }

    /// Answers watches whose keys have changed or whose hold time has passed.
    fn answer_watches(&mut self) {
        for watch in std::mem::take(&mut self.watches) {
            let is_held = self.faults.holds_back_watches(watch.ticket.controller);
            let reply = self.store.changes(&watch.prefix, watch.from_revision);
            if is_held || (reply.changes.is_empty() && self.now < watch.until) {
                self.watches.push(watch);
                continue;
            }
            let body = wire::encode(&reply);
            self.respond(2, watch.ticket, Outcome::Response { status: 200, body });
        }
    }
}
