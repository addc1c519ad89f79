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
    pub(super) lives: Vec<u64>,
    pub(super) back_at: Vec<Option<u64>>,
    pub store: Store,
    pub cloud: Cloud,
    pub agents: BTreeMap<String, Agent>,
    pub(super) wire: BTreeMap<(u64, u64), Msg>,
    pub(super) seq: u64,
    pub(super) watches: Vec<Watch>,
    pub(super) open: HashMap<(usize, u64), u64>,
    pub(super) timeouts: BTreeMap<(u64, u64), Ticket>,
    pub(super) conns: HashMap<usize, Origin>,
    pub(super) next_conn: usize,
    pub answers: Vec<Option<UserAnswer>>,
    /// Jobs that users have asked to cancel.
    pub(super) asked_off: HashSet<String>,
    /// Accepted jobs that were asked about.
    pub(super) asked: HashMap<usize, String>,
    pub jobs: BTreeMap<String, Job>,
    pub store_outage: bool,
    /// Controllers that the store does not hear.
    pub no_store: HashSet<usize>,
    /// What they send it meanwhile arrives when the cut ends.
    pub(super) held_messages: Vec<Msg>,
    /// Controllers that agents can't reach, nor they the agents.
    pub no_agents: HashSet<usize>,
    /// Controllers that the others can't reach, nor they them.
    pub no_peers: HashSet<usize>,
    /// Machines behind a cut: what their agents send is held back.
    pub cut: HashSet<String>,
    /// The controller behind the same cut: it reaches them, and no others.
    pub(super) inside: Option<usize>,
    /// Machines whose reports arrive, but neither answers nor commands reach
    /// them.
    pub deaf: HashSet<String>,
    /// Machines that reach no controller, while direct commands reach them.
    pub mute: HashSet<String>,
    /// Machines on which every task fails.
    pub faulty: HashSet<String>,
    /// Machines that stand still, and until when: what reaches them meanwhile is
    /// taken in when they go on.
    pub(super) hung: HashMap<String, u64>,
    pub(super) hung_inbox: Vec<Msg>,
    /// Controllers that the store refuses; their watches wait.
    pub refused: HashSet<usize>,
    /// Controllers that get no answers to reads of the store, and whose
    /// grants can't be given back.
    pub blind: HashSet<usize>,
    /// Limits of the store to come, as in the settings.
    pub next: String,
    /// Controllers that run the version before this one.
    pub old: HashSet<usize>,
    /// What becomes of transactions.
    pub writes: Writes,
    /// What has been held up and is carried out late, and when.
    pub(super) held_writes: Vec<(u64, Msg)>,
    pub txns: u64,
    /// Parts in ten thousand by which a controller's steady clock runs fast.
    pub fast: HashMap<usize, u64>,
    /// A copy of every heartbeat is kept, and reaches every controller this long
    /// after the next leader has begun.
    pub copies_for_next: Option<u64>,
    pub(super) kept_copies: Vec<Msg>,
    pub(super) epoch_seen: u64,
    /// Every heartbeat arrives again after these times.
    pub copies_after: Vec<u64>,
    /// Controllers that stand still, and until when; their clocks run on.
    pub(super) still: HashMap<usize, u64>,
    /// Those that will as soon as they have decided on something, for so long.
    pub still_next: HashMap<usize, u64>,
    /// What one that stands still had decided on, and what came in meanwhile.
    pub(super) decided: Vec<(usize, u64, Action)>,
    pub(super) inbox: Vec<(usize, u64, Event)>,
    /// Machines that take this long for an image.
    pub slow_pull: HashMap<String, u64>,
    pub(super) late: Vec<Msg>,
    /// Gangs that miss a task, since when.
    pub(super) torn: HashMap<(String, u64), u64>,
    pub trace: Vec<String>,
    pub broken: Vec<String>,
    pub team_cores: f64,
    pub(super) team: String,
    pub(super) told: HashMap<String, String>,
    pub limits: PlatformLimits,
    /// How often agents are looked at, in milliseconds.
    pub agent_tick_ms: u64,
    /// On which machines each task was ever started, and tasks of each job.
    pub(super) places: HashMap<String, BTreeSet<String>>,
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
    pub still_on_order: HashMap<usize, u64>,
    /// What becomes of orders to the cloud.
    pub orders: CloudOrders,
    pub(super) late_orders: Vec<(u64, Msg)>,
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
            lives: vec![0; 3],
            back_at: vec![Some(1); 3],
            store: Store::default(),
            cloud: Cloud {
                boot_ms: 5000,
                most: 4,
                ..Cloud::default()
            },
            agents: BTreeMap::new(),
            wire: BTreeMap::new(),
            seq: 0,
            watches: vec![],
            open: HashMap::new(),
            timeouts: BTreeMap::new(),
            conns: HashMap::new(),
            next_conn: 1,
            answers: vec![],
            asked_off: HashSet::new(),
            asked: HashMap::new(),
            jobs: BTreeMap::new(),
            store_outage: false,
            no_store: HashSet::new(),
            held_messages: vec![],
            no_agents: HashSet::new(),
            no_peers: HashSet::new(),
            cut: HashSet::new(),
            inside: None,
            deaf: HashSet::new(),
            mute: HashSet::new(),
            faulty: HashSet::new(),
            hung: HashMap::new(),
            hung_inbox: vec![],
            refused: HashSet::new(),
            blind: HashSet::new(),
            next: String::new(),
            old: HashSet::new(),
            writes: Writes::Answered,
            held_writes: vec![],
            txns: 0,
            fast: HashMap::new(),
            copies_for_next: None,
            kept_copies: vec![],
            epoch_seen: 0,
            copies_after: vec![],
            still: HashMap::new(),
            still_next: HashMap::new(),
            decided: vec![],
            inbox: vec![],
            slow_pull: HashMap::new(),
            late: vec![],
            torn: HashMap::new(),
            trace: vec![],
            broken: vec![],
            team_cores,
            team: team.to_string(),
            told: HashMap::new(),
            limits: PlatformLimits::default(),
            agent_tick_ms: 10,
            places: HashMap::new(),
            reply_max: usize::MAX,
            too_large: 0,
            meter: None,
            operator: OperatorSettings::default(),
            without_duties: HashSet::new(),
            clock_leaps: HashMap::new(),
            stopped_clocks: HashMap::new(),
            still_on_order: HashMap::new(),
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
        let fast = self.fast.get(&controller).copied().unwrap_or(0);
        let leap = self.clock_leaps.get(&controller).copied().unwrap_or(0);
        let steady = (self.now + self.now * fast / 10_000).saturating_add_signed(leap);
        let stopped_at = self.stopped_clocks.get(&controller).copied();
        Timestamp {
            steady: stopped_at.unwrap_or(steady),
            wall: 1_000_000 + self.now,
        }
    }

    pub(super) fn send(&mut self, after: u64, m: Msg) {
        self.seq += 1;
        self.wire.insert((self.now + after, self.seq), m);
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
    pub(super) fn thaw(&mut self) {
        let now = self.now;
        let awake: Vec<usize> = self
            .still
            .iter()
            .filter(|s| now >= *s.1)
            .map(|s| *s.0)
            .collect();
        for controller in awake {
            self.still.remove(&controller);
            let life = self.lives[controller];
            self.note(format!("c{controller} goes on"));
            for (n, l, a) in std::mem::take(&mut self.decided) {
                if n != controller {
                    self.decided.push((n, l, a));
                } else if l == life {
                    self.act(n, a);
                }
            }
            for (n, l, ev) in std::mem::take(&mut self.inbox) {
                if n != controller {
                    self.inbox.push((n, l, ev));
                } else if l == life {
                    self.event(n, ev);
                }
            }
        }
    }

    pub(super) fn event(&mut self, controller: usize, ev: Event) {
        if self.still.contains_key(&controller) {
            self.inbox.push((controller, self.lives[controller], ev));
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
                .then(|| self.still_on_order.remove(&controller))
                .flatten();
            if let Some(ms) = self.still_next.remove(&controller).or(on_order) {
                self.still.insert(controller, self.now + ms);
                self.note(format!("c{controller} stands still"));
                let life = self.lives[controller];
                let all = actions.into_iter().map(|a| (controller, life, a));
                self.decided.extend(all);
                return;
            }
            for a in actions {
                self.note_decision(controller, &a);
                self.act(controller, a);
            }
        }
    }

    pub(super) fn act(&mut self, controller: usize, a: Action) {
        let life = self.lives[controller];
        let a = self.status_as_old(controller, a);
        self.messages.add_action(self.now, controller, &a);
        match a {
            Action::Answer {
                connection,
                status,
                retry_after,
                body,
            } => match self.conns.remove(&connection) {
                Some(Origin::Agent(machine, serial)) => {
                    if !self.apart(controller, &machine) && !self.deaf.contains(&machine) {
                        self.send(
                            1,
                            Msg::Answer {
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
                Some(Origin::User(slot)) => self.told_user(slot, status, retry_after, body),
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
                self.open.insert((controller, tag), life);
                let ticket = Ticket {
                    controller,
                    life,
                    tag,
                };
                self.seq += 1;
                self.timeouts
                    .insert((self.now + timeout_ms, self.seq), ticket);
                let ip = address.ip().to_string();
                let msg = if ip == "10.2.0.1" {
                    Msg::State {
                        ticket,
                        method,
                        path,
                        body,
                    }
                } else if ip == "10.2.0.2" {
                    Msg::Cloud {
                        ticket,
                        method,
                        path,
                        body,
                    }
                } else if ip == "10.1.0.1" {
                    Msg::Agent {
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
                    Msg::Peer {
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
            if self.back_at[i].is_some_and(|t| self.now >= t) {
                self.back_at[i] = None;
                let seed = 10 * self.lives[i] + i as u64;
                let set = settings_with(i, &self.team, &self.next, &self.limits);
                let operator = self.operator_of(i);
                self.controllers[i] = Some(Controller::new(set, operator, seed));
            }
        }
        self.thaw();
        self.wake_machines();
        self.late_writes();
        self.carry_out_late_orders();
        self.next_leaders_copies();
        while let Some(e) = self.wire.first_entry() {
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
                let cut = self.no_store.contains(&controller)
                    || self.refused.contains(&controller)
                    || self.blind.contains(&controller);
                if cut || (n.changes.is_empty() && self.now < w.until) {
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
                if self.still.contains_key(&i) {
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
        self.send(after, Msg::Reply { ticket, outcome });
    }

    pub(super) fn reply(&mut self, ticket: Ticket, outcome: Outcome) {
        let Ticket {
            controller,
            life,
            tag,
        } = ticket;
        let outcome = match outcome {
            Outcome::Answer { body, .. } if body.len() > self.reply_max => {
                self.too_large += 1;
                Outcome::TooLarge
            }
            outcome => outcome,
        };
        if self.lives[controller] != life || self.open.remove(&(controller, tag)) != Some(life) {
            return;
        }
        self.event(controller, Event::Reply { tag, outcome });
    }
}
