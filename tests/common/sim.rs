//! Three controllers and their world on a clock of their own.

use gaugesill::controller::{Controller, Timestamp};
use gaugesill::net::{Action, Event, Outcome};
use gaugesill::plan;
use gaugesill::settings::OperatorSettings;
use gaugesill::wire::{self};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

use super::agent::*;
use super::cloud::*;
use super::digest::MessageDigest;
use super::duties::*;
use super::messages::*;
use super::meter::*;
use super::settings::*;
use super::store::*;

/// Three controllers and their world.
pub struct Sim {
    pub now: u64,
    pub controllers: Vec<Option<Controller>>,
    pub(super) generations: Vec<u64>,
    pub(super) restart_at: Vec<Option<u64>>,
    pub store: Store,
    pub cloud: Cloud,
    pub agents: BTreeMap<String, Agent>,
    pub(super) in_transit: BTreeMap<(u64, u64), SimMessage>,
    pub(super) next_sequence: u64,
    pub(super) watches: Vec<Watch>,
    pub(super) open_calls: HashMap<(usize, u64), u64>,
    pub(super) timeouts: BTreeMap<(u64, u64), Ticket>,
    pub(super) connections: HashMap<usize, Origin>,
    pub(super) next_connection: usize,
    pub answers: Vec<Option<UserAnswer>>,
    /// Jobs that users have asked to cancel.
    pub(super) cancel_requested: HashSet<String>,
    /// Accepted jobs that were asked about.
    pub(super) queried_jobs: HashMap<usize, String>,
    pub jobs: BTreeMap<String, Job>,
    pub store_outage: bool,
    /// Controllers that the store does not hear.
    pub cut_from_store: HashSet<usize>,
    /// What they send it meanwhile arrives when the cut ends.
    pub(super) held_messages: Vec<SimMessage>,
    /// Controllers that agents can't reach, nor they the agents.
    pub cut_from_agents: HashSet<usize>,
    /// Controllers that the others can't reach, nor they them.
    pub cut_from_peers: HashSet<usize>,
    /// Machines behind a cut: what their agents send is held back.
    pub isolated_machines: HashSet<String>,
    /// The controller behind the same cut: it reaches them, and no others.
    pub(super) isolated_controller: Option<usize>,
    /// Machines whose reports arrive, but neither answers nor commands reach
    /// them.
    pub unable_to_receive: HashSet<String>,
    /// Machines that reach no controller, while direct commands reach them.
    pub unable_to_send: HashSet<String>,
    /// Machines on which every task fails.
    pub faulty: HashSet<String>,
    /// Machines that stand still, and until when: what reaches them meanwhile is
    /// taken in when they go on.
    pub(super) hung_until: HashMap<String, u64>,
    pub(super) hung_inbox: Vec<SimMessage>,
    /// Controllers that the store refuses; their watches wait.
    pub refused_by_store: HashSet<usize>,
    /// Controllers that get no answers to reads of the store, and whose
    /// grants can't be given back.
    pub without_reads: HashSet<usize>,
    /// Limits of the store to come, as in the settings.
    pub next_limits: String,
    /// Controllers that run the version before this one.
    pub previous_version: HashSet<usize>,
    /// What becomes of transactions.
    pub writes: Writes,
    /// What has been held up and is carried out late, and when.
    pub(super) held_writes: Vec<(u64, SimMessage)>,
    pub transactions: u64,
    /// Parts in ten thousand by which a controller's steady clock runs fast.
    pub clock_drift: HashMap<usize, u64>,
    /// A copy of every heartbeat is kept, and reaches every controller this long
    /// after the next leader has begun.
    pub copies_for_next: Option<u64>,
    pub(super) kept_copies: Vec<SimMessage>,
    pub(super) epoch_seen: u64,
    /// Every heartbeat arrives again after these times.
    pub copies_after: Vec<u64>,
    /// Controllers that stand still, and until when; their clocks run on.
    pub(super) paused: HashMap<usize, u64>,
    /// Those that will as soon as they have decided on something, for so long.
    pub pause_on_next_action: HashMap<usize, u64>,
    /// What one that stands still had decided on, and what came in meanwhile.
    pub(super) paused_actions: Vec<(usize, u64, Action)>,
    pub(super) paused_events: Vec<(usize, u64, Event)>,
    /// Machines that take this long for an image.
    pub slow_image_pulls: HashMap<String, u64>,
    pub(super) delayed_messages: Vec<SimMessage>,
    /// Gangs that miss a task, since when.
    pub(super) incomplete_gangs: HashMap<(String, u64), u64>,
    pub trace: Vec<String>,
    pub violations: Vec<String>,
    pub team_cores: f64,
    pub(super) team: String,
    pub(super) told_status: HashMap<String, String>,
    pub limits: PlatformLimits,
    /// How often agents are looked at, in milliseconds.
    pub agent_tick_ms: u64,
    /// On which machines each task was ever started, and tasks of each job.
    pub(super) task_machines: HashMap<String, BTreeSet<String>>,
    /// Larger answers of the store can't be held, and how many there were.
    pub reply_max: usize,
    pub too_large: u64,
    /// What the controllers' work costs, if that is measured.
    pub meter: Option<Meter>,
    /// The operators' settings of controllers that begin from now on.
    pub operator: OperatorSettings,
    /// Controllers that begin without the operators' settings.
    pub without_duties: HashSet<usize>,
    /// By how much controllers' steady clocks have leapt, in milliseconds.
    pub clock_leaps: HashMap<usize, i64>,
    /// Controllers whose steady clocks stand still, and at what.
    pub stopped_clocks: HashMap<usize, u64>,
    /// Controllers that stand still, for so long, once they have decided on an order to the
    /// cloud: it goes out afterwards.
    pub pause_on_cloud_order: HashMap<usize, u64>,
    /// What becomes of orders to the cloud.
    pub orders: CloudOrders,
    pub(super) late_orders: Vec<(u64, SimMessage)>,
    /// What the cloud was asked to do, and what controllers decided on.
    pub duty_history: Vec<DutyEvent>,
    /// All that controllers have sent.
    pub(super) messages: MessageDigest,
}

impl Sim {
    pub fn new() -> Sim {
        Sim::with_team(r#"{"name":"t"}"#, 0.0)
    }

    pub fn with_team(team: &str, team_cores: f64) -> Sim {
        let mut s = Sim {
            now: 1,
            controllers: (0..3).map(|_| None).collect(),
            generations: vec![0; 3],
            restart_at: vec![Some(1); 3],
            store: Store::default(),
            cloud: Cloud {
                boot_ms: 5000,
                most: 4,
                ..Cloud::default()
            },
            agents: BTreeMap::new(),
            in_transit: BTreeMap::new(),
            next_sequence: 0,
            watches: vec![],
            open_calls: HashMap::new(),
            timeouts: BTreeMap::new(),
            connections: HashMap::new(),
            next_connection: 1,
            answers: vec![],
            cancel_requested: HashSet::new(),
            queried_jobs: HashMap::new(),
            jobs: BTreeMap::new(),
            store_outage: false,
            cut_from_store: HashSet::new(),
            held_messages: vec![],
            cut_from_agents: HashSet::new(),
            cut_from_peers: HashSet::new(),
            isolated_machines: HashSet::new(),
            isolated_controller: None,
            unable_to_receive: HashSet::new(),
            unable_to_send: HashSet::new(),
            faulty: HashSet::new(),
            hung_until: HashMap::new(),
            hung_inbox: vec![],
            refused_by_store: HashSet::new(),
            without_reads: HashSet::new(),
            next_limits: String::new(),
            previous_version: HashSet::new(),
            writes: Writes::Answered,
            held_writes: vec![],
            transactions: 0,
            clock_drift: HashMap::new(),
            copies_for_next: None,
            kept_copies: vec![],
            epoch_seen: 0,
            copies_after: vec![],
            paused: HashMap::new(),
            pause_on_next_action: HashMap::new(),
            paused_actions: vec![],
            paused_events: vec![],
            slow_image_pulls: HashMap::new(),
            delayed_messages: vec![],
            incomplete_gangs: HashMap::new(),
            trace: vec![],
            violations: vec![],
            team_cores,
            team: team.to_string(),
            told_status: HashMap::new(),
            limits: PlatformLimits::default(),
            agent_tick_ms: 10,
            task_machines: HashMap::new(),
            reply_max: usize::MAX,
            too_large: 0,
            meter: None,
            operator: OperatorSettings::default(),
            without_duties: HashSet::new(),
            clock_leaps: HashMap::new(),
            stopped_clocks: HashMap::new(),
            pause_on_cloud_order: HashMap::new(),
            orders: CloudOrders::Answered,
            late_orders: vec![],
            duty_history: vec![],
            messages: MessageDigest::default(),
        };
        s.run(1);
        s
    }

    /// With capacity for so many machines of a large deployment.
    pub fn large(machines: usize) -> Sim {
        let mut s = Sim::new();
        s.limits = PlatformLimits::large();
        s.agent_tick_ms = 100;
        s.cloud.most = machines;
        for controller in 0..3 {
            s.crash(controller, 1);
        }
        s
    }

    pub(super) fn clock(&self, controller: usize) -> Timestamp {
        let clock_drift = self.clock_drift.get(&controller).copied().unwrap_or(0);
        let leap = self.clock_leaps.get(&controller).copied().unwrap_or(0);
        let steady = (self.now + self.now * clock_drift / 10_000).saturating_add_signed(leap);
        let stopped_at = self.stopped_clocks.get(&controller).copied();
        Timestamp {
            steady: stopped_at.unwrap_or(steady),
            wall: 1_000_000 + self.now,
        }
    }

    pub(super) fn send(&mut self, after: u64, m: SimMessage) {
        self.next_sequence += 1;
        self.in_transit
            .insert((self.now + after, self.next_sequence), m);
    }

    pub fn note(&mut self, text: String) {
        let line = format!("{:7.2} {text}", self.now as f64 / 1000.0);
        self.trace.push(line);
    }

    pub fn leader(&self) -> Option<usize> {
        (0..3).find(|i| {
            self.controllers[*i]
                .as_ref()
                .is_some_and(|n| n.scheduler.is_some())
        })
    }

    /// Those that stood still long enough go on: first with what they had
    /// decided on, then with what came in meanwhile.
    pub(super) fn resume_paused(&mut self) {
        let now = self.now;
        let awake: Vec<usize> = self
            .paused
            .iter()
            .filter(|s| now >= *s.1)
            .map(|s| *s.0)
            .collect();
        for controller in awake {
            self.paused.remove(&controller);
            let generation = self.generations[controller];
            self.note(format!("c{controller} goes on"));
            for (n, l, a) in std::mem::take(&mut self.paused_actions) {
                if n != controller {
                    self.paused_actions.push((n, l, a));
                } else if l == generation {
                    self.execute(n, a);
                }
            }
            for (n, l, ev) in std::mem::take(&mut self.paused_events) {
                if n != controller {
                    self.paused_events.push((n, l, ev));
                } else if l == generation {
                    self.event(n, ev);
                }
            }
        }
    }

    pub(super) fn event(&mut self, controller: usize, ev: Event) {
        if self.paused.contains_key(&controller) {
            self.paused_events
                .push((controller, self.generations[controller], ev));
            return;
        }
        let now = self.clock(controller);
        if let Some(n) = &mut self.controllers[controller] {
            let sort = EventSort::of(&ev);
            metered(&mut self.meter, controller, sort, || {
                n.handle_event(now, ev)
            });
        }
        self.drain(controller);
    }

    pub(super) fn drain(&mut self, controller: usize) {
        let now = self.clock(controller);
        loop {
            let Some(n) = &mut self.controllers[controller] else {
                return;
            };
            let mut actions = n.take_actions();
            let meter = &mut self.meter;
            let snapshot = metered(meter, controller, EventSort::SNAPSHOT, || {
                n.take_due_snapshot(now)
            });
            if let Some(s) = snapshot {
                let epoch = n.epoch();
                let decision = metered(meter, controller, EventSort::PLAN, || plan::cycle(s));
                metered(meter, controller, EventSort::APPLY, || {
                    n.apply_plan(now, epoch, decision);
                });
                actions.extend(n.take_actions());
            }
            if actions.is_empty() {
                return;
            }
            let orders = actions.iter().any(is_cloud_order);
            let on_order = orders
                .then(|| self.pause_on_cloud_order.remove(&controller))
                .flatten();
            if let Some(ms) = self.pause_on_next_action.remove(&controller).or(on_order) {
                self.paused.insert(controller, self.now + ms);
                self.note(format!("c{controller} stands still"));
                let generation = self.generations[controller];
                let all = actions.into_iter().map(|a| (controller, generation, a));
                self.paused_actions.extend(all);
                return;
            }
            for a in actions {
                self.note_decision(controller, &a);
                self.execute(controller, a);
            }
        }
    }

    pub(super) fn execute(&mut self, controller: usize, a: Action) {
        let generation = self.generations[controller];
        let a = self.status_as_previous_version(controller, a);
        self.messages.add_action(self.now, controller, &a);
        match a {
            Action::Answer {
                connection,
                status,
                retry_after,
                body,
            } => match self.connections.remove(&connection) {
                Some(Origin::Agent(machine, serial)) => {
                    if !self.are_partitioned(controller, &machine)
                        && !self.unable_to_receive.contains(&machine)
                    {
                        self.send(
                            1,
                            SimMessage::Answer {
                                machine,
                                serial,
                                from: controller,
                                status,
                                body,
                            },
                        );
                    }
                }
                Some(Origin::Peer(ticket)) => {
                    self.respond(1, ticket, Outcome::Answer { status, body });
                }
                Some(Origin::User(slot)) => self.on_user_answer(slot, status, retry_after, body),
                None => {}
            },
            Action::Call {
                tag,
                address,
                method,
                path,
                body,
                timeout_ms,
            } => {
                self.open_calls.insert((controller, tag), generation);
                let ticket = Ticket {
                    controller,
                    generation,
                    tag,
                };
                self.next_sequence += 1;
                self.timeouts
                    .insert((self.now + timeout_ms, self.next_sequence), ticket);
                let ip = address.ip().to_string();
                let msg = if ip == "10.2.0.1" {
                    SimMessage::State {
                        ticket,
                        method,
                        path,
                        body,
                    }
                } else if ip == "10.2.0.2" {
                    SimMessage::Cloud {
                        ticket,
                        method,
                        path,
                        body,
                    }
                } else if ip == "10.1.0.1" {
                    SimMessage::Agent {
                        ticket,
                        machine: format!("m-{:06}", address.port() - 1000),
                        path,
                        body,
                    }
                } else {
                    let last: usize = ip
                        .rsplit('.')
                        .next()
                        .and_then(|s| s.parse().ok())
                        .expect("ip");
                    SimMessage::Peer {
                        ticket,
                        to: last - 1,
                        path,
                        body,
                    }
                };
                self.send(2, msg);
            }
        }
    }

    /// Lets time pass.
    pub fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += 1;
            self.step();
        }
    }

    /// Lets time pass until something holds; false if it did not.
    pub fn until(&mut self, most_ms: u64, f: impl Fn(&Sim) -> bool) -> bool {
        let end = self.now + most_ms;
        while self.now < end {
            if f(self) {
                return true;
            }
            self.run(10);
        }
        f(self)
    }

    pub(super) fn step(&mut self) {
        for i in 0..3 {
            if self.restart_at[i].is_some_and(|t| self.now >= t) {
                self.restart_at[i] = None;
                let seed = 10 * self.generations[i] + i as u64;
                let set = settings_with(i, &self.team, &self.next_limits, &self.limits);
                let operator = self.operator_of(i);
                self.controllers[i] = Some(Controller::new(set, operator, seed));
            }
        }
        self.resume_paused();
        self.wake_machines();
        self.late_writes();
        self.carry_out_late_orders();
        self.next_leaders_copies();
        while let Some(e) = self.in_transit.first_entry() {
            if e.key().0 > self.now {
                break;
            }
            let m = e.remove();
            self.deliver(m);
        }
        while let Some(e) = self.timeouts.first_entry() {
            if e.key().0 > self.now {
                break;
            }
            let ticket = e.remove();
            self.reply(ticket, Outcome::NoAnswer);
        }
        if !self.store_outage {
            self.store.expire(self.now);
            for w in std::mem::take(&mut self.watches) {
                let n = self.store.changes(&w.under, w.from);
                let controller = w.ticket.controller;
                let isolated_machines = self.cut_from_store.contains(&controller)
                    || self.refused_by_store.contains(&controller)
                    || self.without_reads.contains(&controller);
                if isolated_machines || (n.changes.is_empty() && self.now < w.until) {
                    self.watches.push(w);
                    continue;
                }
                let body = wire::encode(&n);
                self.respond(2, w.ticket, Outcome::Answer { status: 200, body });
            }
        }
        if self.now % 10 == 0 {
            for i in 0..3 {
                let now = self.clock(i);
                if self.paused.contains_key(&i) {
                    continue;
                }
                if let Some(n) = &mut self.controllers[i] {
                    metered(&mut self.meter, i, EventSort::TICK, || n.tick(now));
                }
                self.drain(i);
            }
        }
        if self.now % self.agent_tick_ms == 0 {
            self.tick_agents();
        }
    }

    /// An answer sets out.
    pub(super) fn respond(&mut self, after: u64, ticket: Ticket, outcome: Outcome) {
        self.send(after, SimMessage::Reply { ticket, outcome });
    }

    pub(super) fn reply(&mut self, ticket: Ticket, outcome: Outcome) {
        let Ticket {
            controller,
            generation,
            tag,
        } = ticket;
        let outcome = match outcome {
            Outcome::Answer { body, .. } if body.len() > self.reply_max => {
                self.too_large += 1;
                Outcome::TooLarge
            }
            outcome => outcome,
        };
        if self.generations[controller] != generation
            || self.open_calls.remove(&(controller, tag)) != Some(generation)
        {
            return;
        }
        self.event(controller, Event::Reply { tag, outcome });
    }
}
