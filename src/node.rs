//! One controller: brings the modules together. Events and the time go in,
//! actions come out; no sockets and no clocks here.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use prost::Message;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tracing::{debug, info, trace, warn};

use crate::cloud;
use crate::control::{Control, Effect, Seat};
use crate::front::{Admission, Ask, Caller, Pending, Stage};
use crate::job::{Final, Record, Shape, Spec};
use crate::lead::{self, Lead, Told};
use crate::mesh::{Hand, Handed, Status, HAND_PATH, STATUS_PATH};
use crate::net::{Action, Door, Event, Outcome, Request};
use crate::plan::{Decision, Snapshot};
use crate::settings::{Operator, Settings};
use crate::state::{Budget, Commit, Item, Queue};
use crate::store::{final_key, job_key, LeaderKey, Picture, Seen, EPOCH, JOBS, LEAD, LEADER, ROOT};
use crate::wire::{self, Cond, Flavor, Write};

/// The steady clock since the start and the time of day, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Now {
    pub steady: u64,
    pub wall: u64,
}

/// Whose change a commit was.
#[derive(Debug, Clone)]
enum Who {
    User(u64),
    Job {
        id: String,
        ver: u64,
        end: Option<Final>,
        epoch: u64,
    },
}

/// What a call was for.
#[derive(Debug)]
enum Call {
    LoadLead,
    LoadJobs,
    Watch { from: u64, sent: u64 },
    Barrier { from: u64, sent: u64 },
    Txn,
    Lead(lead::Ask),
    ReadFinal { user: u64 },
    Flavors,
    List { sent: u64, epoch: u64 },
    Rent { booking: String, epoch: u64 },
    Delete { hosts: Vec<String>, epoch: u64 },
    Worker { host: String, epoch: u64 },
    Status { member: String },
    Hand { user: u64 },
    Revoke,
}

/// A check-in whose answer waits a moment for starts.
#[derive(Debug)]
struct Filling {
    conn: usize,
    report: wire::Report,
    until: u64,
}

#[derive(Debug, Default)]
struct PeerView {
    heard: Option<u64>,
    status: Status,
}

const WATCH_MS: u64 = 1000;
const STATE_MS: u64 = 1500;
/// A user gives up after 5 s, or 2 s for a poll.
const SUBMIT_MS: u64 = 3500;
const POLL_MS: u64 = 1700;

pub struct Node {
    set: Settings,
    op: Operator,
    rng: StdRng,
    now: Now,
    calls: HashMap<u64, Call>,
    next_tag: u64,
    out: Vec<Action>,
    pub picture: Picture,
    /// Read complete as of this moment.
    fresh_at: Option<u64>,
    /// The state service last answered with something other than a refusal.
    served_at: Option<u64>,
    load: Option<Vec<String>>,
    load_next: u64,
    watching: bool,
    watch_next: u64,
    barrier: bool,
    barrier_next: u64,
    requests: Budget,
    queue: Queue<Who>,
    lead: Lead,
    pub control: Option<Control>,
    flavors: Arc<Vec<Flavor>>,
    flavors_next: u64,
    cloud: Budget,
    list_next: u64,
    listing: Option<Vec<wire::Listed>>,
    list_started: u64,
    users: BTreeMap<u64, Pending>,
    next_user: u64,
    admission: Admission,
    peers: HashMap<String, PeerView>,
    status_next: u64,
    turned_away: BTreeMap<String, u64>,
    reached: BTreeMap<String, u64>,
    filling: Vec<Filling>,
    plan_at: u64,
    planning: bool,
    tick_next: u64,
    summary_next: u64,
}

impl Node {
    pub fn new(set: Settings, op: Operator, seed: u64) -> Node {
        let c = &set.cluster;
        let n = (set.known.len() + 1) as f64;
        let life = (c.workers.report_s * op.leader_life_reports * 1000.0) as u64;
        Node {
            rng: StdRng::seed_from_u64(seed),
            now: Now { steady: 0, wall: 0 },
            calls: HashMap::new(),
            next_tag: 1,
            out: vec![],
            picture: Picture::default(),
            fresh_at: None,
            served_at: None,
            load: None,
            load_next: 0,
            watching: false,
            watch_next: 0,
            barrier: false,
            barrier_next: 0,
            requests: Budget::new(c.state.rps / n),
            queue: Queue::new(c.state.write_rps * 0.5, c.state.txn_ops),
            lead: Lead::new(&set.member, life),
            control: None,
            flavors: Arc::new(vec![]),
            flavors_next: 0,
            cloud: Budget::new(c.cloud.rps * 0.7),
            list_next: 0,
            listing: None,
            list_started: 0,
            users: BTreeMap::new(),
            next_user: 1,
            admission: Admission::new(500, c.limits.fd_limit / 4),
            peers: set
                .known
                .iter()
                .map(|p| (p.member.clone(), PeerView::default()))
                .collect(),
            status_next: 0,
            turned_away: BTreeMap::new(),
            reached: BTreeMap::new(),
            filling: vec![],
            plan_at: 0,
            planning: false,
            tick_next: 0,
            summary_next: 10_000,
            set,
            op,
        }
    }

    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.out)
    }

    fn call(
        &mut self,
        what: Call,
        to: SocketAddr,
        method: &'static str,
        path: String,
        body: Vec<u8>,
        timeout_ms: u64,
    ) {
        let tag = self.next_tag;
        self.next_tag += 1;
        self.calls.insert(tag, what);
        self.out.push(Action::Call {
            tag,
            to,
            method,
            path,
            body,
            timeout_ms,
        });
    }

    fn state(&mut self, what: Call, method: &'static str, path: String, body: Vec<u8>, ms: u64) {
        let to = self.set.endpoints.state;
        self.call(what, to, method, path, body, ms);
    }

    // ---- events

    pub fn event(&mut self, now: Now, ev: Event) {
        self.now = now;
        match ev {
            Event::Request {
                conn,
                door,
                request,
            } => self.request(conn, door, request),
            Event::Reply { tag, outcome } => {
                if let Some(call) = self.calls.remove(&tag) {
                    self.reply(tag, call, outcome);
                }
            }
        }
        self.pump();
    }

    /// To be called at least as often as `wait_ms` says.
    pub fn tick(&mut self, now: Now) {
        self.now = now;
        if now.steady < self.tick_next {
            return;
        }
        self.tick_next = now.steady + 100;
        self.load_tick();
        self.lead_tick();
        self.flavors_tick();
        self.mesh_tick();
        if let Some(c) = &mut self.control {
            c.tick(now.steady, self.picture.rev);
        }
        self.list_tick();
        self.users_tick();
        self.pump();
        if now.steady >= self.summary_next {
            self.summary_next = now.steady + 10_000;
            if let Some((n, mid, high)) = self.admission.times() {
                info!(
                    "{n} user requests, median {mid} ms, 99% {high} ms, limit {}",
                    self.admission.limit()
                );
            }
            if let Some(c) = &self.control {
                info!("leading: {}", c.summary());
            }
        }
    }

    pub fn wait_ms(&self, now: u64) -> u64 {
        self.tick_next.saturating_sub(now).clamp(1, 100)
    }

    /// Sends what has come due: reads, changes and the leader's effects.
    fn pump(&mut self) {
        let now = self.now.steady;
        if let Some(c) = &mut self.control {
            c.push(now, self.picture.rev);
            for e in c.take_effects() {
                self.effect(e);
            }
        }
        self.fill();
        self.watch_tick();
        loop {
            let tag = self.next_tag;
            let Some(txn) = self.queue.next(now, tag, &mut self.requests) else {
                break;
            };
            let body = wire::encode(&txn);
            self.state(Call::Txn, "POST", "/txn".into(), body, STATE_MS);
        }
    }

    fn effect(&mut self, e: Effect) {
        let epoch = self.control.as_ref().map_or(0, |c| c.epoch);
        match e {
            Effect::Write {
                job,
                ver,
                end,
                conds,
                writes,
            } => self.queue.push(Item {
                who: Who::Job {
                    id: job,
                    ver,
                    end,
                    epoch,
                },
                conds,
                writes,
                rank: 0,
            }),
            Effect::Direct {
                host,
                to,
                tenure,
                orders,
            } => {
                trace!("{host} is ordered {orders:?}");
                let body = wire::encode(&wire::Orders {
                    epoch,
                    tenure: Some(tenure),
                    orders,
                });
                self.call(
                    Call::Worker { host, epoch },
                    to,
                    "POST",
                    "/orders".into(),
                    body,
                    2000,
                );
            }
            Effect::Inspect { host, to } => self.call(
                Call::Worker { host, epoch },
                to,
                "GET",
                "/inspect".into(),
                vec![],
                2000,
            ),
            Effect::Rent {
                booking,
                kind,
                count,
            } => {
                if !self.cloud.take(self.now.steady, 1.0, 0.0) {
                    if let Some(c) = &mut self.control {
                        c.rented(&booking, None, false, self.now.steady);
                    }
                    return;
                }
                info!("renting {count} of {kind:?} as {booking}");
                let body = wire::encode(&wire::Rent {
                    booking: &booking,
                    flavor: &kind.flavor,
                    hall: &kind.zone,
                    loaner: kind.spot,
                    how_many: count,
                });
                let to = self.set.endpoints.cloud;
                self.call(
                    Call::Rent { booking, epoch },
                    to,
                    "POST",
                    "/machines".into(),
                    body,
                    4000,
                );
            }
            Effect::Delete { hosts } => {
                if !self.cloud.take(self.now.steady, 1.0, 0.0) {
                    return; // asked for again by and by
                }
                let body = wire::encode(&wire::Hosts {
                    hosts: hosts.clone(),
                });
                let to = self.set.endpoints.cloud;
                self.call(
                    Call::Delete { hosts, epoch },
                    to,
                    "POST",
                    "/machines/delete".into(),
                    body,
                    4000,
                );
            }
        }
    }

    // ---- the picture

    fn load_tick(&mut self) {
        let now = self.now.steady;
        if self.picture.loaded || self.load.is_some() || now < self.load_next {
            return;
        }
        self.load_next = now + 500;
        self.load = Some(vec![]);
        self.picture.restart();
        self.state(
            Call::LoadLead,
            "GET",
            format!("/kv?under={LEAD}&most=100"),
            vec![],
            STATE_MS,
        );
    }

    fn load_jobs(&mut self, from: Option<&str>) {
        let from = from.map(|f| format!("&from={f}")).unwrap_or_default();
        self.state(
            Call::LoadJobs,
            "GET",
            format!("/kv?under={JOBS}{from}&most=500"),
            vec![],
            STATE_MS * 2,
        );
    }

    fn loaded_page(&mut self, first: bool, outcome: &Outcome) {
        let page = match outcome {
            Outcome::Answer { status: 200, body } => wire::decode::<wire::Page>(body),
            _ => None,
        };
        let Some(page) = page else {
            self.load = None;
            self.load_next = self.now.steady + 300;
            return;
        };
        self.picture.page(&page);
        if first {
            // Changes since then are told by the watch, those in later pages
            // a second time.
            self.picture.rev = page.rev;
            self.load_jobs(None);
        } else if page.truncated {
            let last = page.pairs.last().map(|p| p.key.clone());
            self.load_jobs(last.as_deref());
        } else {
            self.load = None;
            self.picture.loaded = true;
            info!(
                "picture loaded at revision {}: {} jobs",
                self.picture.rev,
                self.picture.jobs.len()
            );
            self.lead_tick();
        }
    }

    fn watch_path(&self, hold: u64) -> String {
        format!(
            "/watch?under={ROOT}&from={}&holdMs={hold}",
            self.picture.rev
        )
    }

    fn watch_tick(&mut self) {
        let now = self.now.steady;
        if !self.picture.loaded {
            return;
        }
        if !self.watching && now >= self.watch_next && self.requests.take(now, 1.0, 0.2) {
            self.watching = true;
            // Never more than so many a second, however much changes.
            self.watch_next = now + (6000.0 / self.set.cluster.state.rps) as u64;
            let from = self.picture.rev;
            let path = self.watch_path(WATCH_MS);
            self.state(
                Call::Watch { from, sent: now },
                "GET",
                path,
                vec![],
                WATCH_MS + STATE_MS,
            );
        }
        if !self.barrier && now >= self.barrier_next && self.barrier_wanted() {
            if !self.requests.take(now, 1.0, 0.1) {
                return;
            }
            self.barrier = true;
            self.barrier_next = now + (6000.0 / self.set.cluster.state.rps) as u64;
            let from = self.picture.rev;
            let path = self.watch_path(0);
            self.state(Call::Barrier { from, sent: now }, "GET", path, vec![], 1000);
        }
    }

    fn barrier_wanted(&self) -> bool {
        self.users.values().any(|u| {
            matches!(u.stage, Stage::Fresh { after, rev }
            if self.fresh_at.is_none_or(|f| f < after) || self.picture.rev < rev)
        })
    }

    fn news(&mut self, outcome: &Outcome, from: u64, sent: u64, barrier: bool) {
        let now = self.now.steady;
        match outcome {
            Outcome::Answer { status: 200, body } => {
                let Some(n) = wire::decode::<wire::News>(body) else {
                    warn!("a watch's answer can't be read");
                    return;
                };
                let seen = self.picture.news(n.rev, from, &n.news);
                if self.picture.rev >= n.rev {
                    self.fresh_at = Some(self.fresh_at.unwrap_or(0).max(sent));
                }
                for s in seen {
                    match s {
                        Seen::Job(id) => {
                            if let (Some(c), Some(l)) =
                                (&mut self.control, self.picture.jobs.get(&id))
                            {
                                c.job_seen(&id, l, now);
                            }
                        }
                        Seen::Gone(id) => {
                            if let Some(c) = &mut self.control {
                                c.job_gone(&id);
                            }
                        }
                        Seen::Leader => {
                            if self.lead.seen(&self.picture) {
                                self.step_down("the leader key is not ours any more");
                            }
                            self.lead_tick();
                        }
                    }
                }
                self.users_fresh();
            }
            Outcome::Answer { status: 410, .. } => {
                warn!("the watch fell too far behind: reading everything again");
                self.picture.loaded = false;
                self.load_next = 0;
                if self.lead.epoch().is_some() {
                    self.resign("the picture has to be read again", 0);
                }
            }
            _ => {
                if barrier {
                    self.users_unserved();
                }
                self.watch_next = now + 200;
                self.barrier_next = now + 200;
            }
        }
    }

    // ---- replies

    fn reply(&mut self, tag: u64, call: Call, outcome: Outcome) {
        let now = self.now.steady;
        let stateful = matches!(
            call,
            Call::LoadLead
                | Call::LoadJobs
                | Call::Watch { .. }
                | Call::Barrier { .. }
                | Call::Txn
                | Call::Lead(_)
                | Call::ReadFinal { .. }
        );
        if stateful {
            match &outcome {
                Outcome::Answer { status: 429, .. } => self.requests.empty(),
                Outcome::Answer { status, .. } if *status < 500 => self.served_at = Some(now),
                _ => {}
            }
        }
        match call {
            Call::LoadLead => self.loaded_page(true, &outcome),
            Call::LoadJobs => self.loaded_page(false, &outcome),
            Call::Watch { from, sent } => {
                self.watching = false;
                self.news(&outcome, from, sent, false);
            }
            Call::Barrier { from, sent } => {
                self.barrier = false;
                self.news(&outcome, from, sent, true);
            }
            Call::Txn => {
                for (who, commit) in self.queue.settle(tag, &outcome) {
                    self.settled(who, commit);
                }
            }
            Call::Lead(ask) => self.lead_told(ask, &outcome),
            Call::Revoke => {}
            Call::ReadFinal { user } => self.read_final(user, &outcome),
            Call::Flavors => {
                if let Outcome::Answer { status: 200, body } = &outcome {
                    if let Some(f) = wire::decode::<wire::Flavors>(body) {
                        self.flavors = Arc::new(f.flavors);
                        if let Some(c) = &mut self.control {
                            c.set_flavors(self.flavors.clone());
                        }
                        self.flavors_next = now + 60_000;
                    }
                }
            }
            Call::List { sent, epoch } => self.list_page(sent, epoch, &outcome),
            Call::Rent { booking, epoch } => {
                let Some(c) = self.control.as_mut().filter(|c| c.epoch == epoch) else {
                    return;
                };
                match &outcome {
                    Outcome::Answer { status: 200, body } => {
                        let hosts = wire::decode::<wire::Hosts>(body).map(|h| h.hosts);
                        c.rented(&booking, hosts, false, now);
                    }
                    Outcome::Answer { status: 503, body } => {
                        let none = body.windows(11).any(|w| w == b"no capacity");
                        c.rented(&booking, None, none, now);
                    }
                    Outcome::Answer { status: 400, .. } => {
                        warn!("the cloud refuses {booking} as malformed");
                        c.rented(&booking, None, true, now);
                    }
                    _ => c.rented(&booking, None, false, now),
                }
            }
            Call::Delete { hosts, epoch } => {
                if let Some(c) = self.control.as_mut().filter(|c| c.epoch == epoch) {
                    let ok = matches!(outcome, Outcome::Answer { status: 200, .. });
                    c.deleted(&hosts, ok, now);
                }
            }
            Call::Worker { host, epoch } => {
                let Some(c) = self.control.as_mut().filter(|c| c.epoch == epoch) else {
                    return;
                };
                if let Outcome::Answer {
                    status: 200 | 409,
                    body,
                } = &outcome
                {
                    if let Some(r) = wire::decode::<wire::Report>(body) {
                        if r.host != host {
                            return;
                        }
                        if r.epoch > epoch {
                            return self.resign("a worker has seen a higher epoch", 0);
                        }
                        c.report(&r, false, now);
                    }
                }
            }
            Call::Status { member } => {
                if let Outcome::Answer { status: 200, body } = &outcome {
                    if let Ok(s) = Status::decode(body.as_slice()) {
                        self.peer_status(&member, s);
                    }
                }
            }
            Call::Hand { user } => {
                let answer = match &outcome {
                    Outcome::Answer { status: 200, body } => Handed::decode(body.as_slice()).ok(),
                    _ => None,
                };
                match answer {
                    Some(h) => self.finish(user, h.status as u16, h.retry_after, h.body),
                    None => self.finish(user, 503, Some(1), vec![]),
                }
            }
        }
    }

    fn settled(&mut self, who: Who, commit: Commit) {
        let now = self.now.steady;
        match who {
            Who::User(u) => self.user_settled(u, &commit),
            Who::Job {
                id,
                ver,
                end,
                epoch,
            } => {
                if let (Commit::Done { .. }, Some(f)) = (&commit, end) {
                    self.picture.ended(&id, f);
                    self.picture.jobs.remove(&id);
                }
                let Some(c) = self.control.as_mut().filter(|c| c.epoch == epoch) else {
                    return;
                };
                c.committed(&id, ver, end, &commit, now);
                if let Commit::Conflict { failed, .. } = &commit {
                    if failed.iter().any(|k| k == LEADER) {
                        self.lead.resign(now, 0);
                        self.step_down("a change failed on the leader key");
                    }
                }
            }
        }
    }

    // ---- leadership

    fn lead_tick(&mut self) {
        let jitter = self.rng.random::<f64>();
        if let Some(ask) = self.lead.tick(self.now.steady, &self.picture, jitter) {
            self.lead_ask(ask);
        }
    }

    fn lead_ask(&mut self, ask: lead::Ask) {
        let _ = self.requests.take(self.now.steady, 1.0, 0.0);
        let timeout = self.lead.life_ms / 3;
        match &ask {
            lead::Ask::Grant => {
                let body = wire::encode(&wire::GrantAsk {
                    life_ms: self.lead.life_ms,
                });
                self.state(Call::Lead(ask), "POST", "/grants".into(), body, timeout);
            }
            lead::Ask::Renew(g) => {
                let path = format!("/grants/{g}/renew");
                self.state(Call::Lead(ask), "POST", path, vec![], timeout);
            }
            lead::Ask::Revoke(g) => {
                let path = format!("/grants/{g}");
                self.state(Call::Revoke, "DELETE", path, vec![], timeout);
            }
            lead::Ask::Elect {
                grant,
                epoch,
                leader_stamp,
                epoch_stamp,
            } => {
                let key = LeaderKey {
                    member: self.set.member.clone(),
                    epoch: *epoch,
                };
                let mut set = Write::set(
                    LEADER.into(),
                    ciborium::Value::serialized(&key).unwrap_or(ciborium::Value::Null),
                );
                set.permit = Some(*grant);
                let txn = wire::Txn {
                    conds: vec![
                        Cond {
                            key: LEADER.into(),
                            stamp: *leader_stamp,
                        },
                        Cond {
                            key: EPOCH.into(),
                            stamp: *epoch_stamp,
                        },
                    ],
                    writes: vec![
                        set,
                        Write::set(EPOCH.into(), ciborium::Value::Integer((*epoch).into())),
                    ],
                };
                let body = wire::encode(&txn);
                self.state(Call::Lead(ask), "POST", "/txn".into(), body, timeout);
            }
        }
    }

    fn lead_told(&mut self, ask: lead::Ask, outcome: &Outcome) {
        let now = self.now.steady;
        let told = match (&ask, outcome) {
            (lead::Ask::Grant, Outcome::Answer { status: 200, body }) => {
                wire::decode::<wire::Grant>(body).map_or(Told::Nothing, |g| Told::Granted(g.permit))
            }
            (lead::Ask::Renew(_), Outcome::Answer { status: 200, .. }) => Told::Renewed,
            (lead::Ask::Renew(_), Outcome::Answer { status: 404, .. }) => Told::Lost,
            (lead::Ask::Elect { epoch, .. }, Outcome::Answer { status: 200, body }) => {
                match wire::decode::<wire::TxnReply>(body) {
                    Some(r) => Told::Elected {
                        epoch: *epoch,
                        stamp: r.rev,
                    },
                    None => Told::Nothing,
                }
            }
            (lead::Ask::Elect { .. }, Outcome::Answer { .. }) => Told::Lost,
            _ => Told::Nothing,
        };
        let changed = self.lead.told(now, told);
        if let Told::Elected { epoch, stamp } = told {
            if changed {
                self.picture.leader = Some((
                    LeaderKey {
                        member: self.set.member.clone(),
                        epoch,
                    },
                    stamp,
                ));
                self.picture.epoch = epoch;
                self.picture.epoch_stamp = stamp;
                info!("leading with epoch {epoch}");
                self.control = Some(Control::new(
                    Seat {
                        member: self.set.member.clone(),
                        epoch,
                        stamp,
                    },
                    &self.set.cluster,
                    &self.op,
                    self.flavors.clone(),
                    &self.picture,
                    now,
                ));
                self.list_next = now;
                self.listing = None;
                self.planning = false;
                self.flavors_next = self.flavors_next.min(now + 1000);
            }
        } else if changed {
            self.step_down("the grant has run out");
        }
        self.lead_tick();
    }

    fn step_down(&mut self, why: &str) {
        if self.control.take().is_some() {
            warn!("not leading any more: {why}");
        }
        self.queue.withdraw(|w| matches!(w, Who::Job { .. }));
        self.planning = false;
    }

    fn resign(&mut self, why: &str, rest_ms: u64) {
        if let Some(ask) = self.lead.resign(self.now.steady, rest_ms) {
            self.lead_ask(ask);
        }
        self.step_down(why);
    }

    // ---- the cloud

    fn flavors_tick(&mut self) {
        let now = self.now.steady;
        if now < self.flavors_next {
            return;
        }
        self.flavors_next = now + 2000;
        if self.cloud.take(now, 1.0, 0.2) {
            let to = self.set.endpoints.cloud;
            self.call(Call::Flavors, to, "GET", "/flavors".into(), vec![], 4000);
        }
    }

    fn list_tick(&mut self) {
        let now = self.now.steady;
        if self.control.is_none() || self.listing.is_some() || now < self.list_next {
            return;
        }
        let lag = (self.set.cluster.cloud.list_lag_s * 1000.0) as u64;
        self.list_next = now + (lag / 2).max(2000);
        if self.cloud.take(now, 1.0, 0.3) {
            self.list_started = now;
            self.listing = Some(vec![]);
            self.list_ask(None);
        }
    }

    fn list_ask(&mut self, from: Option<&str>) {
        let epoch = self.control.as_ref().map_or(0, |c| c.epoch);
        let from = from.map(|f| format!("from={f}&")).unwrap_or_default();
        let to = self.set.endpoints.cloud;
        let sent = self.list_started;
        self.call(
            Call::List { sent, epoch },
            to,
            "GET",
            format!("/machines?{from}most=500"),
            vec![],
            4000,
        );
    }

    fn list_page(&mut self, sent: u64, epoch: u64, outcome: &Outcome) {
        let now = self.now.steady;
        let Some(c) = self.control.as_mut().filter(|c| c.epoch == epoch) else {
            self.listing = None;
            return;
        };
        let page = match outcome {
            Outcome::Answer { status: 200, body } => wire::decode::<wire::Listing>(body),
            _ => None,
        };
        let Some(page) = page else {
            self.listing = None;
            self.list_next = now + 1000;
            return;
        };
        let mut all = self.listing.take().unwrap_or_default();
        all.extend(page.hosts);
        if page.truncated {
            let last = all.last().map(|l| l.name.clone());
            self.listing = Some(all);
            self.list_ask(last.as_deref());
        } else {
            c.listed(&all, sent, now);
        }
    }

    // ---- the mesh

    fn status(&self) -> Status {
        let now = self.now.steady;
        let span = (self.set.cluster.workers.report_s * 2000.0) as u64;
        let lately = |m: &BTreeMap<String, u64>| m.values().filter(|t| now < **t + span).count();
        Status {
            member: self.set.member.clone(),
            served: self.served(),
            leads: self.control.as_ref().map_or(0, |c| c.epoch),
            turned_away: lately(&self.turned_away) as u32,
            reached: lately(&self.reached) as u32,
        }
    }

    fn served(&self) -> bool {
        let now = self.now.steady;
        self.served_at
            .is_some_and(|t| now < t + WATCH_MS + STATE_MS)
    }

    fn peer_status(&mut self, member: &str, s: Status) {
        let now = self.now.steady;
        if let Some(p) = self.peers.get_mut(member) {
            p.heard = Some(now);
            p.status = s;
        }
        // Cut off from every worker while others turn them away: somebody
        // else should lead.
        if let Some(c) = &self.control {
            let (silent, up) = c.reach(now);
            if up > 0 && silent == up {
                let away: u32 = self.live_peers().map(|p| p.status.turned_away).sum();
                if away > 0 && self.status().reached == 0 {
                    let rest = (self.set.cluster.workers.lease_s * 500.0) as u64;
                    self.resign("no worker gets through while others turn them away", rest);
                }
            }
        }
    }

    fn live_peers(&self) -> impl Iterator<Item = &PeerView> {
        let now = self.now.steady;
        self.peers
            .values()
            .filter(move |p| p.heard.is_some_and(|t| now < t + 3000))
    }

    fn mesh_tick(&mut self) {
        let now = self.now.steady;
        if now < self.status_next {
            return;
        }
        self.status_next = now + 1000;
        let old = 60_000;
        self.turned_away.retain(|_, t| now < *t + old);
        self.reached.retain(|_, t| now < *t + old);
        let body = self.status().encode_to_vec();
        for p in self.set.known.clone() {
            self.call(
                Call::Status {
                    member: p.member.clone(),
                },
                p.address,
                "POST",
                STATUS_PATH.into(),
                body.clone(),
                1500,
            );
        }
    }

    // ---- requests

    fn answer(&mut self, conn: usize, status: u16, retry_after: Option<u32>, body: Vec<u8>) {
        self.out.push(Action::Answer {
            conn,
            status,
            retry_after,
            body,
        });
    }

    fn answer_to(&mut self, caller: Caller, status: u16, retry: Option<u32>, body: Vec<u8>) {
        if caller.handed {
            let h = Handed {
                status: u32::from(status),
                retry_after: retry,
                body,
            };
            self.answer(caller.conn, 200, None, h.encode_to_vec());
        } else {
            self.answer(caller.conn, status, retry, body);
        }
    }

    fn request(&mut self, conn: usize, door: Door, r: Request) {
        match door {
            Door::Mesh => match r.path.as_str() {
                STATUS_PATH => match Status::decode(r.body.as_slice()) {
                    Ok(s) => {
                        let member = s.member.clone();
                        self.peer_status(&member, s);
                        let body = self.status().encode_to_vec();
                        self.answer(conn, 200, None, body);
                    }
                    Err(_) => self.answer(conn, 400, None, vec![]),
                },
                HAND_PATH => match Hand::decode(r.body.as_slice()) {
                    Ok(h) => self.user(Caller { conn, handed: true }, &h.method, &h.path, h.body),
                    Err(_) => self.answer(conn, 400, None, vec![]),
                },
                _ => self.answer(conn, 404, None, vec![]),
            },
            Door::Front => match (r.method.as_str(), r.path.as_str()) {
                ("POST", "/checkin") => self.checkin(conn, &r.body),
                ("GET", "/up") => {
                    let ok = self.up();
                    self.answer(conn, if ok { 200 } else { 503 }, None, vec![]);
                }
                (_, "/checkin" | "/up") => self.answer(conn, 405, None, vec![]),
                (m, p) => {
                    let (m, p) = (m.to_string(), p.to_string());
                    self.user(
                        Caller {
                            conn,
                            handed: false,
                        },
                        &m,
                        &p,
                        r.body,
                    );
                }
            },
        }
    }

    /// Fails for a controller that the state service refuses while another
    /// one is served; an outage that all see takes nobody out.
    pub fn up(&self) -> bool {
        if !self.picture.loaded {
            return false;
        }
        self.served() || !self.live_peers().any(|p| p.status.served)
    }

    fn checkin(&mut self, conn: usize, body: &[u8]) {
        let now = self.now.steady;
        let Some(r) = wire::decode::<wire::Report>(body) else {
            return self.answer(conn, 400, None, vec![]);
        };
        let w = &self.set.cluster.workers;
        // How long reports are answered without a read of the state service:
        // a worker that hears nothing afterwards ends its tasks before a
        // cancellation that this controller can't know of runs out.
        let bound = ((w.cancel_s - w.lease_s) * 750.0) as u64;
        let sure = self.lead.sure(now);
        let fresh = self.fresh_at;
        if let Some(c) = &mut self.control {
            if r.epoch > c.epoch {
                self.resign("a worker has seen a higher epoch", 0);
            } else if fresh.is_none_or(|f| now > f + bound) {
                return self.answer(conn, 503, Some(1), vec![]);
            } else {
                c.report(&r, true, now);
                self.reached.insert(r.host.clone(), now);
                if sure && c.may_fill(&r) {
                    let until = now + (w.report_s * 100.0) as u64;
                    self.filling.push(Filling {
                        conn,
                        report: r,
                        until,
                    });
                    return;
                }
                return self.answer_checkin(conn, &r);
            }
        }
        self.turned_away.insert(r.host, now);
        let to = self
            .picture
            .leader
            .as_ref()
            .map(|(l, _)| l.member.clone())
            .filter(|m| *m != self.set.member);
        let body = wire::encode(&wire::Elsewhere { reports_to: to });
        self.answer(conn, 421, None, body);
    }

    /// Answers a check-in that was taken in, with what there is to do.
    fn answer_checkin(&mut self, conn: usize, r: &wire::Report) {
        let now = self.now.steady;
        let fresh = self.fresh_at.is_some_and(|f| now < f + WATCH_MS + STATE_MS);
        let may_start = fresh && self.lead.sure(now);
        let Some(c) = &mut self.control else {
            // It led a moment ago: the next report finds out who does.
            return self.answer(conn, 503, Some(1), vec![]);
        };
        let reply = wire::Orders {
            epoch: c.epoch,
            tenure: None,
            orders: c.orders(r, may_start, now),
        };
        trace!(
            "{} {}/{} reports {:?}, gets {:?}",
            r.host,
            r.tenure,
            r.serial,
            r.pieces,
            reply.orders
        );
        let body = wire::encode(&reply);
        self.answer(conn, 200, None, body);
    }

    /// Check-ins whose answer waits for starts: they go out as soon as those
    /// are on record, or without them after a tenth of a report interval.
    fn fill(&mut self) {
        let now = self.now.steady;
        let mut waiting = Vec::new();
        for f in std::mem::take(&mut self.filling) {
            let ready = match &self.control {
                Some(c) => now >= f.until || c.may_start(&f.report.host),
                None => true,
            };
            if ready {
                self.answer_checkin(f.conn, &f.report);
            } else {
                waiting.push(f);
            }
        }
        self.filling = waiting;
    }

    fn fault(&mut self, caller: Caller, status: u16, retry: Option<u32>, why: &str) {
        let body = wire::encode(&wire::Fault { error: why });
        self.answer_to(caller, status, retry, body);
    }

    fn user(&mut self, caller: Caller, method: &str, path: &str, body: Vec<u8>) {
        let rest = match path.strip_prefix("/work") {
            Some(r) if r.is_empty() || r.starts_with('/') => r,
            _ => return self.fault(caller, 404, None, "no such path"),
        };
        let (id, ask) = if rest.is_empty() {
            if method != "POST" {
                return self.fault(caller, 405, None, "only POST here");
            }
            let Some((id, spec)) = wire::submission(&body) else {
                debug!("malformed submission: {}", wire::readable(&body));
                return self.fault(caller, 400, None, "malformed submission");
            };
            (id, Ask::Submit(Box::new(spec)))
        } else {
            let name = &rest[1..];
            match name.strip_suffix("/cancel") {
                Some(id) if method == "POST" => (id.to_string(), Ask::Cancel),
                None if method == "GET" && !name.contains('/') => (name.to_string(), Ask::Poll),
                None if name.contains('/') => return self.fault(caller, 404, None, "no such path"),
                _ => return self.fault(caller, 405, None, "not this method here"),
            }
        };
        if !wire::job_id_ok(&id) {
            return self.fault(caller, 404, None, "no such job");
        }
        // An end is final: no need to read anything.
        if let Some(f) = self.picture.end_of(&id) {
            return self.answer_status(caller, &id, 200, f.name(), None);
        }
        if !self.admission.admits(self.users.len()) {
            return self.fault(caller, 429, Some(1), "too much at once");
        }
        let now = self.now.steady;
        let user = self.next_user;
        self.next_user += 1;
        let fresh = Stage::Fresh { after: now, rev: 0 };
        let mut p = Pending {
            caller,
            id,
            ask,
            since: now,
            stage: fresh,
            body,
        };
        if !self.picture.loaded || !self.served() {
            return self.hand(user, p);
        }
        if let Ask::Submit(spec) = &p.ask {
            if !self.picture.jobs.contains_key(&p.id) {
                match self.decide(spec) {
                    Ok(()) => {}
                    Err((status, why)) => {
                        // Even so it may have been accepted before.
                        if status == 422 {
                            debug!("{}: {why}", p.id);
                        }
                        p.stage = fresh;
                        self.users.insert(user, p);
                        return;
                    }
                }
                self.create(user, &mut p);
            }
        }
        self.users.insert(user, p);
    }

    /// Whether a job can run at all.
    fn decide(&self, spec: &Spec) -> Result<(), (u16, &'static str)> {
        let Some(team) = self.set.cluster.teams.iter().find(|t| t.name == spec.team) else {
            return Err((422, "unknown team"));
        };
        let n = if spec.shape == Shape::Gang {
            f64::from(spec.tasks)
        } else {
            1.0
        };
        let over = |max: f64, need: f64| max > 0.0 && need * n > max + 1e-6;
        if over(team.cpus_max, spec.cpus) || over(team.gpus_max, spec.gpus) {
            return Err((422, "more than the team's limit"));
        }
        if self.flavors.is_empty() {
            return Err((503, "the machine types are not known yet"));
        }
        if !cloud::can_run(spec, &self.flavors) {
            return Err((422, "fits no allowed machine type"));
        }
        Ok(())
    }

    fn create(&mut self, user: u64, p: &mut Pending) {
        let Ask::Submit(spec) = &p.ask else { return };
        let record = Record::new((**spec).clone(), self.now.wall);
        p.stage = Stage::Commit;
        self.queue.push(Item {
            who: Who::User(user),
            conds: vec![
                Cond {
                    key: job_key(&p.id),
                    stamp: 0,
                },
                Cond {
                    key: final_key(&p.id),
                    stamp: 0,
                },
            ],
            writes: vec![Write::set(job_key(&p.id), record.to_value())],
            rank: 1,
        });
    }

    /// Hands a request to a controller that is served, or says when to come
    /// back.
    fn hand(&mut self, user: u64, mut p: Pending) {
        let now = self.now.steady;
        let to = self
            .set
            .known
            .iter()
            .find(|k| {
                self.peers
                    .get(&k.member)
                    .is_some_and(|v| v.status.served && v.heard.is_some_and(|t| now < t + 2500))
            })
            .map(|k| k.address);
        let (Some(to), false) = (to, p.caller.handed) else {
            return self.fault(p.caller, 503, Some(1), "the state service does not answer");
        };
        let (method, path) = match &p.ask {
            Ask::Submit(_) => ("POST", "/work".to_string()),
            Ask::Poll => ("GET", format!("/work/{}", p.id)),
            Ask::Cancel => ("POST", format!("/work/{}/cancel", p.id)),
        };
        let body = Hand {
            method: method.into(),
            path,
            body: p.body.clone(),
        }
        .encode_to_vec();
        p.stage = Stage::Handed;
        self.users.insert(user, p);
        self.call(
            Call::Hand { user },
            to,
            "POST",
            HAND_PATH.into(),
            body,
            1600,
        );
    }

    fn finish(&mut self, user: u64, status: u16, retry: Option<u32>, body: Vec<u8>) {
        if let Some(p) = self.users.remove(&user) {
            let now = self.now.steady;
            self.admission
                .took(now - p.since, self.users.len() + 1, now);
            self.answer_to(p.caller, status, retry, body);
        }
    }

    fn answer_status(
        &mut self,
        caller: Caller,
        id: &str,
        status: u16,
        name: &str,
        counts: Option<(u64, u64)>,
    ) {
        let body = wire::encode(&wire::JobStatus {
            id,
            status: name,
            done: counts.map(|c| c.0),
            running: counts.map(|c| c.1),
        });
        self.answer_to(caller, status, None, body);
    }

    fn finish_status(&mut self, user: u64, status: u16, name: &str, counts: Option<(u64, u64)>) {
        let Some(p) = self.users.remove(&user) else {
            return;
        };
        let now = self.now.steady;
        self.admission
            .took(now - p.since, self.users.len() + 1, now);
        self.answer_status(p.caller, &p.id, status, name, counts);
    }

    /// The picture was read anew: whoever waited for that goes on.
    fn users_fresh(&mut self) {
        let fresh = self.fresh_at.unwrap_or(0);
        let rev_now = self.picture.rev;
        let ready: Vec<u64> = self
            .users
            .iter()
            .filter(|(_, p)| matches!(p.stage, Stage::Fresh { after, rev } if after <= fresh && rev <= rev_now))
            .map(|(u, _)| *u)
            .collect();
        for u in ready {
            self.resolve(u);
        }
    }

    /// Decides with a picture that is newer than the request.
    fn resolve(&mut self, user: u64) {
        let Some(p) = self.users.get(&user) else {
            return;
        };
        let id = p.id.clone();
        if let Some(f) = self.picture.end_of(&id) {
            return self.finish_status(user, 200, f.name(), None);
        }
        let Some(live) = self.picture.jobs.get(&id) else {
            // Neither alive nor known to be over: look.
            if let Some(p) = self.users.get_mut(&user) {
                p.stage = Stage::Read;
            }
            let path = format!("/kv/{}", final_key(&id));
            self.state(Call::ReadFinal { user }, "GET", path, vec![], 1000);
            return;
        };
        let (record, stamp) = (live.record.clone(), live.stamp);
        if record.cancelled {
            return self.finish_status(user, 200, wire::WITHDRAWN, None);
        }
        match p.ask {
            Ask::Cancel => {
                let mut r = (*record).clone();
                r.cancelled = true;
                if let Some(p) = self.users.get_mut(&user) {
                    p.stage = Stage::Commit;
                }
                self.queue.push(Item {
                    who: Who::User(user),
                    conds: vec![Cond {
                        key: job_key(&id),
                        stamp,
                    }],
                    writes: vec![Write::set(job_key(&id), r.to_value())],
                    rank: 1,
                });
            }
            Ask::Poll | Ask::Submit(_) => {
                let running = record.placed();
                let name = if running > 0 {
                    wire::RUNNING
                } else {
                    wire::PENDING
                };
                self.finish_status(user, 200, name, Some((record.done.len(), running)));
            }
        }
    }

    fn read_final(&mut self, user: u64, outcome: &Outcome) {
        let Some(p) = self.users.get(&user) else {
            return;
        };
        let id = p.id.clone();
        match outcome {
            Outcome::Answer { status: 200, body } => {
                let end = wire::decode::<FinalRead>(body).and_then(|r| Final::from_value(&r.data));
                match end {
                    Some(f) => {
                        self.picture.ended(&id, f);
                        self.finish_status(user, 200, f.name(), None);
                    }
                    None => self.finish(user, 503, Some(1), vec![]),
                }
            }
            Outcome::Answer { status: 404, .. } => match &p.ask {
                Ask::Submit(spec) => match self.decide(spec) {
                    Ok(()) => {
                        let mut p = p.clone();
                        self.create(user, &mut p);
                        self.users.insert(user, p);
                    }
                    Err((status, why)) => {
                        let body = wire::encode(&wire::Fault { error: why });
                        let retry = (status == 503).then_some(1);
                        self.finish(user, status, retry, body);
                    }
                },
                _ => {
                    let body = wire::encode(&wire::Fault {
                        error: "no such job",
                    });
                    self.finish(user, 404, None, body);
                }
            },
            _ => self.unserved(user),
        }
    }

    fn user_settled(&mut self, user: u64, commit: &Commit) {
        let now = self.now.steady;
        let Some(p) = self.users.get_mut(&user) else {
            return;
        };
        match commit {
            Commit::Done { .. } => match p.ask {
                Ask::Cancel => self.finish_status(user, 200, wire::WITHDRAWN, None),
                _ => self.finish_status(user, 201, wire::PENDING, None),
            },
            // Somebody else was there first: see what stands now.
            Commit::Conflict { rev, .. } => {
                p.stage = Stage::Fresh {
                    after: now,
                    rev: *rev,
                }
            }
            Commit::Refused | Commit::Unknown => {
                p.stage = Stage::Pause { until: now + 150 };
            }
        }
    }

    /// A read failed: hand on, or say when to come back.
    fn unserved(&mut self, user: u64) {
        if let Some(p) = self.users.remove(&user) {
            self.hand(user, p);
        }
    }

    fn users_unserved(&mut self) {
        let waiting: Vec<u64> = self
            .users
            .iter()
            .filter(|(_, p)| matches!(p.stage, Stage::Fresh { .. }))
            .map(|(u, _)| *u)
            .collect();
        for u in waiting {
            self.unserved(u);
        }
    }

    fn users_tick(&mut self) {
        let now = self.now.steady;
        let mut late = Vec::new();
        let mut again = Vec::new();
        for (u, p) in &self.users {
            let most = match p.ask {
                Ask::Poll => POLL_MS,
                _ => SUBMIT_MS,
            };
            if now > p.since + most {
                late.push(*u);
            } else if matches!(p.stage, Stage::Pause { until } if now >= until) {
                again.push(*u);
            }
        }
        for u in late {
            // Its change may still get through; the user asks again.
            self.queue
                .withdraw(|w| matches!(w, Who::User(x) if *x == u));
            self.finish(u, 503, Some(1), vec![]);
        }
        for u in again {
            if !self.served() {
                self.unserved(u);
                continue;
            }
            let Some(mut p) = self.users.get(&u).cloned() else {
                continue;
            };
            match p.ask {
                // The same create: if the first one got through, this one
                // fails on its condition and the job is found.
                Ask::Submit(_) => self.create(u, &mut p),
                _ => p.stage = Stage::Fresh { after: now, rev: 0 },
            }
            self.users.insert(u, p);
        }
    }

    // ---- planning

    /// A snapshot to plan on, when it is time.
    pub fn plan_due(&mut self, now: Now) -> Option<Snapshot> {
        self.now = now;
        if self.planning || now.steady < self.plan_at || !self.lead.sure(now.steady) {
            return None;
        }
        let c = self.control.as_mut()?;
        if !c.ready() {
            return None;
        }
        // Room for changes on their way goes first; and a second's beat so
        // that backoffs end without an event.
        if !c.dirty && now.steady < self.plan_at + 1000 {
            return None;
        }
        self.planning = true;
        self.plan_at = now.steady + 50;
        Some(c.snapshot(now.steady, now.wall))
    }

    pub fn planned(&mut self, now: Now, epoch: u64, d: Decision) {
        self.now = now;
        self.planning = false;
        if let Some(c) = self.control.as_mut().filter(|c| c.epoch == epoch) {
            c.apply(d, now.steady, now.wall);
        }
        self.pump();
    }

    pub fn epoch(&self) -> u64 {
        self.control.as_ref().map_or(0, |c| c.epoch)
    }
}

#[derive(serde::Deserialize)]
struct FinalRead {
    data: ciborium::Value,
}
