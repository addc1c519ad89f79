//! One controller: brings the modules together. Events and the time go in,
//! actions come out; no sockets and no clocks here.

mod leadership;
mod market;
mod needs;
mod peers;
mod picture;
mod requests;
mod version;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use prost::Message;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tracing::{debug, error, info, trace, warn};

use crate::cloud;
use crate::control::{Control, Effect, Seat, Start};
use crate::front::{Admission, Ask, Caller, Pending, Stage};
use crate::job::{Final, Record, Shape, Spec};
use crate::lead::{self, Lead, Told};
use crate::mesh::{Hand, Handed, Status, HAND_PATH, STATUS_PATH};
use crate::net::{Action, Door, Event, Outcome, Request, CHECKIN};
use crate::plan::{Decision, Snapshot};
use crate::settings::{Operator, Settings, StateLimits};
use crate::state::{Budget, Commit, Item, Queue, LEADERS, USERS};
use crate::store::{
    final_key, job_key, member_key, LeaderKey, Picture, Seen, EPOCH, FORMAT, JOBS, LEAD, LEADER,
    LEASE, ROOT,
};
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
    /// That this controller runs this version, or that all do.
    Version,
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
    Watch {
        from: u64,
        asked: Asked,
    },
    Barrier {
        from: u64,
        asked: Asked,
    },
    Txn,
    Lead(lead::Ask),
    ReadFinal {
        user: u64,
    },
    /// The record of a job that a submission names, or how it ended.
    ReadNeed {
        user: u64,
        need: String,
        over: bool,
    },
    /// How a job ended that a live one needs.
    LookUp {
        need: String,
    },
    Flavors,
    List {
        sent: u64,
        epoch: u64,
    },
    Rent {
        booking: String,
        epoch: u64,
    },
    Delete {
        hosts: Vec<String>,
        epoch: u64,
    },
    Worker {
        host: Arc<str>,
        epoch: u64,
        starts: Vec<Start>,
    },
    Status {
        member: String,
        sent: u64,
    },
    Hand {
        user: u64,
    },
    Revoke,
}

/// When something was asked for: on the clock, and in the order of events, which
/// tells what came first within a millisecond.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Asked {
    at: u64,
    turn: u64,
}

/// A check-in whose answer waits a moment for starts.
#[derive(Debug)]
struct Filling {
    conn: usize,
    report: wire::Report,
    until: u64,
}

/// What came in and went out since the last look, for the log.
#[derive(Debug, Default)]
struct Traffic {
    checkins: u64,
    users: u64,
    peers: u64,
    replies: u64,
    /// Calls to the state service, the cloud, workers and other controllers.
    state: u64,
    cloud: u64,
    workers: u64,
    mesh: u64,
    plans: u64,
    plan_ms: u64,
    /// The longest that a tick was late.
    late_ms: u64,
    /// The longest that anything waited to be read.
    behind_ms: u64,
}

#[derive(Debug, Default)]
struct PeerView {
    heard: Option<u64>,
    status: Status,
    vouch: Option<Vouch>,
}

/// A controller has told us of every cancellation that it had told users of when
/// it was asked, as far as its process goes back.
#[derive(Debug, Clone, Copy)]
struct Vouch {
    asked: u64,
    /// Its process had begun by then.
    began: u64,
}

/// Share of a second's calls to the cloud that rentals leave to others.
const RENT_SPARE: f64 = 0.25;
/// Between two plans at the least, and when nothing has changed.
const PLAN_GAP_MS: u64 = 50;
const IDLE_PLAN_MS: u64 = 1000;
const SWAMPED_PLAN_MS: u64 = 1500;
/// For how long what a controller has said of itself counts, over two of its statuses.
const HEARD_MS: u64 = 2500;
const WATCH_MS: u64 = 1000;
const STATE_MS: u64 = 1500;
/// A user gives up after 5 s, or 2 s for a poll.
const SUBMIT_MS: u64 = 3500;
const POLL_MS: u64 = 1700;

/// Shares of the changes that the state service takes in a second: the leader's
/// and each other controller's, whose bursts rarely meet.
/// Of the requests, a follower takes a little less than an even share, and the
/// leader, with a transaction for each group of records, what they leave.
const FOLLOWER_REQUESTS: f64 = 0.7;
const LEADER_WRITES: f64 = 0.75;
const FOLLOWER_WRITES: f64 = 0.4;
/// Shares of a controller's requests to the state service that may go to the
/// watch and to reads for users.
const WATCH_READS: f64 = 0.25;
const USER_READS: f64 = 0.35;

pub struct Node {
    set: Settings,
    op: Operator,
    rng: StdRng,
    now: Now,
    /// Events so far.
    turn: u64,
    /// When the first of them came.
    began: Option<u64>,
    calls: HashMap<u64, Call>,
    next_tag: u64,
    out: Vec<Action>,
    pub picture: Picture,
    /// The picture is complete as of this moment.
    fresh: Option<Asked>,
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
    /// Won, but the picture does not hold the election yet.
    seat: Option<Seat>,
    pub control: Option<Control>,
    /// There was proof that no earlier version runs any more.
    proven: bool,
    version_next: u64,
    /// Turned away for the number of changes: until then the limit to come may hold.
    scarce_until: u64,
    /// Ends of dependencies that are being looked up.
    looking: BTreeSet<String>,
    look_next: u64,
    /// Cancellations that users were told of here, and when.
    withdrawn: BTreeMap<String, u64>,
    flavors: Arc<Vec<Flavor>>,
    flavors_next: u64,
    cloud: Budget,
    list_next: u64,
    listing: Option<Vec<wire::Listed>>,
    list_started: u64,
    list_pages: u64,
    users: BTreeMap<u64, Pending>,
    next_user: u64,
    admission: Admission,
    peers: HashMap<String, PeerView>,
    status_next: u64,
    turned_away: BTreeMap<String, u64>,
    /// When a worker's report was last answered.
    reached: Option<u64>,
    filling: Vec<Filling>,
    plan_at: u64,
    planning: bool,
    tick_next: u64,
    summary_next: u64,
    traffic: Traffic,
}

impl Node {
    pub fn new(set: Settings, op: Operator, seed: u64) -> Node {
        let c = &set.cluster;
        let n = (set.known.len() + 1) as f64;
        let life = lead::life_ms(c, &op);
        Node {
            rng: StdRng::seed_from_u64(seed),
            now: Now { steady: 0, wall: 0 },
            turn: 0,
            began: None,
            calls: HashMap::new(),
            next_tag: 1,
            out: vec![],
            picture: Picture::default(),
            fresh: None,
            served_at: None,
            load: None,
            load_next: 0,
            watching: false,
            watch_next: 0,
            barrier: false,
            barrier_next: 0,
            requests: Budget::new(c.state.rps / n * FOLLOWER_REQUESTS),
            queue: Queue::new(
                c.state.write_rps * FOLLOWER_WRITES,
                c.state.write_rps * FOLLOWER_WRITES,
                c.state.txn_ops,
            ),
            lead: Lead::new(&set.member, life),
            seat: None,
            control: None,
            proven: false,
            version_next: 0,
            scarce_until: 0,
            looking: BTreeSet::new(),
            look_next: 0,
            withdrawn: BTreeMap::new(),
            flavors: Arc::new(vec![]),
            flavors_next: 0,
            cloud: Budget::new(c.cloud.rps * 0.8),
            list_next: 0,
            listing: None,
            list_started: 0,
            list_pages: 1,
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
            reached: None,
            filling: vec![],
            plan_at: 0,
            planning: false,
            tick_next: 0,
            summary_next: 10_000,
            traffic: Traffic::default(),
            set,
            op,
        }
    }

    /// Takes the leader's or a follower's share of the state service.
    fn take_share(&mut self, leads: bool) {
        let now = self.now.steady;
        let st = self.limits();
        let others = self.set.known.len() as f64;
        let follower = st.rps / (others + 1.0) * FOLLOWER_REQUESTS;
        let (requests, writes) = if leads {
            (st.rps - others * follower, LEADER_WRITES)
        } else {
            (follower, FOLLOWER_WRITES)
        };
        self.requests.set_rate(now, requests);
        self.queue.set_rate(now, st.write_rps * writes);
        self.queue.set_ops_max(st.txn_ops);
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
        let t = &mut self.traffic;
        *match &what {
            Call::Worker { .. } => &mut t.workers,
            Call::Status { .. } | Call::Hand { .. } => &mut t.mesh,
            Call::Flavors | Call::List { .. } | Call::Rent { .. } | Call::Delete { .. } => {
                &mut t.cloud
            }
            _ => &mut t.state,
        } += 1;
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

    fn turn(&mut self, now: Now) {
        self.now = now;
        self.turn += 1;
        self.began.get_or_insert(now.steady);
    }

    fn asked(&self) -> Asked {
        Asked {
            at: self.now.steady,
            turn: self.turn,
        }
    }

    pub fn event(&mut self, now: Now, ev: Event) {
        self.turn(now);
        match ev {
            Event::Request {
                conn,
                door,
                request,
            } => self.request(conn, door, request),
            Event::Reply { tag, outcome } => {
                if let Some(call) = self.calls.remove(&tag) {
                    self.traffic.replies += 1;
                    self.reply(tag, call, outcome);
                }
            }
        }
        self.pump();
    }

    /// What came in waited for so long before it was read.
    pub fn behind(&mut self, now: Now, ms: u64) {
        self.traffic.behind_ms = self.traffic.behind_ms.max(ms);
        if let Some(c) = &mut self.control {
            c.fell_behind(ms, now.steady);
        }
    }

    /// To be called at least as often as `wait_ms` says.
    pub fn tick(&mut self, now: Now) {
        self.turn(now);
        if now.steady < self.tick_next {
            return;
        }
        if self.tick_next > 0 {
            let late = now.steady - self.tick_next;
            self.traffic.late_ms = self.traffic.late_ms.max(late);
        }
        self.tick_next = now.steady + 100;
        self.load_tick();
        self.lead_tick();
        self.version_tick();
        self.look_up_tick();
        self.flavors_tick();
        self.mesh_tick();
        // Workers may have gone to the one that is not heard.
        let (live, away) = self.turned_away_elsewhere();
        let most = live * 2 > self.peers.len();
        if let Some(c) = &mut self.control {
            let spare = self.queue.spare(now.steady);
            c.witness(most.then_some(away));
            c.tick(now.steady, self.picture.rev, spare);
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
            let t = self.queue.take_tally();
            if t.txns > 0 {
                info!(
                    "{} changes in {} transactions, {} waiting; {} throttled, {} in conflict, {} without answer",
                    t.changes,
                    t.txns,
                    self.queue.waits(),
                    t.throttled,
                    t.conflicts,
                    t.unknown
                );
            }
            let t = std::mem::take(&mut self.traffic);
            info!(
                "in: {} check-ins, {} users, {} peers, {} replies; calls: {} state, {} cloud, {} workers, {} mesh; {} plans in {} ms; late by {} ms, behind by {} ms",
                t.checkins, t.users, t.peers, t.replies, t.state, t.cloud, t.workers, t.mesh,
                t.plans, t.plan_ms, t.late_ms, t.behind_ms
            );
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
            c.push(now, self.picture.rev, 0);
        }
        self.fill();
        let may_start = self.may_start();
        if let Some(c) = &mut self.control {
            c.direct_starts(may_start, now);
            for e in c.take_effects() {
                self.effect(e);
            }
        }
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
        // Without certain leadership nothing is rented or deleted: a cut may
        // hold the request and deliver it to a successor's fleet.
        let sure = self.lead.sure(self.now.steady);
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
                rank: LEADERS,
            }),
            Effect::Direct {
                host,
                to,
                tenure,
                orders,
                starts,
            } => {
                trace!("{host} is ordered {orders:?}");
                let body = wire::encode(&wire::Orders {
                    epoch,
                    tenure: Some(tenure),
                    orders,
                });
                self.call(
                    Call::Worker {
                        host,
                        epoch,
                        starts,
                    },
                    to,
                    "POST",
                    "/orders".into(),
                    body,
                    2000,
                );
            }
            Effect::Inspect { host, to } => self.call(
                Call::Worker {
                    host,
                    epoch,
                    starts: vec![],
                },
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
                if !sure || !self.cloud.take(self.now.steady, 1.0, 0.0) {
                    if let Some(c) = &mut self.control {
                        c.not_asked(&booking, self.now.steady);
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
                if !sure || !self.cloud.take(self.now.steady, 1.0, 0.0) {
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
                | Call::ReadNeed { .. }
                | Call::LookUp { .. }
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
            Call::Watch { from, asked } => {
                self.watching = false;
                self.news(&outcome, from, asked, false);
            }
            Call::Barrier { from, asked } => {
                self.barrier = false;
                self.news(&outcome, from, asked, true);
            }
            Call::Txn => {
                self.refused(&outcome);
                for (who, commit) in self.queue.settle(tag, &outcome) {
                    self.settled(who, commit);
                }
            }
            Call::Lead(ask) => self.lead_told(ask, &outcome),
            Call::Revoke => {}
            Call::ReadFinal { user } => self.read_final(user, &outcome),
            Call::ReadNeed { user, need, over } => self.read_need(user, need, over, &outcome),
            Call::LookUp { need } => self.looked_up(&need, &outcome),
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
            Call::Worker {
                host,
                epoch,
                starts,
            } => {
                let Some(c) = self.control.as_mut().filter(|c| c.epoch == epoch) else {
                    return;
                };
                // A start that was refused, or never left, may go out anew; of
                // one without an answer nothing is known.
                if let Outcome::Unsent
                | Outcome::Answer {
                    status: 400 | 409, ..
                } = &outcome
                {
                    let shut = outcome == Outcome::Unsent;
                    c.not_started(&host, &starts, shut, now);
                }
                if let Outcome::Answer {
                    status: 200 | 409,
                    body,
                } = &outcome
                {
                    if let Some(r) = wire::decode::<wire::Report>(body) {
                        if *r.host != *host {
                            return;
                        }
                        if r.epoch > epoch {
                            return self.resign("a worker has seen a higher epoch", 0);
                        }
                        c.report(&r, false, now);
                    }
                }
            }
            Call::Status { member, sent } => {
                if let Outcome::Answer { status: 200, body } = &outcome {
                    if let Ok(s) = Status::decode(body.as_slice()) {
                        self.vouched(&member, &s, sent);
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
                    Some(h) => {
                        if wire::says_withdrawn(&h.body) {
                            if let Some(id) = self.users.get(&user).map(|p| p.id.clone()) {
                                self.tells_withdrawn(&id);
                            }
                        }
                        self.finish(user, h.status as u16, h.retry_after, h.body);
                    }
                    None => self.finish(user, 503, Some(1), vec![]),
                }
            }
        }
    }

    fn settled(&mut self, who: Who, commit: Commit) {
        let now = self.now.steady;
        match who {
            Who::User(u) => self.user_settled(u, &commit),
            Who::Version => {}
            Who::Job {
                id,
                ver,
                end,
                epoch,
            } => {
                if let (Commit::Done { .. }, Some(f)) = (&commit, end) {
                    self.picture.ended(&id, f);
                    self.picture.jobs.remove(&id);
                    self.digest();
                }
                let Some(c) = self.control.as_mut().filter(|c| c.epoch == epoch) else {
                    return;
                };
                c.committed(&id, ver, end, &commit, now);
                if let Commit::Conflict { failed, .. } = &commit {
                    if failed.iter().any(|k| k == LEADER || k == LEASE) {
                        self.lead.resign(now, 0);
                        self.step_down("a change failed on the leader key");
                    }
                }
            }
        }
    }

    // ---- planning

    /// A snapshot to plan on, when it is time.
    pub fn plan_due(&mut self, now: Now) -> Option<Snapshot> {
        self.now = now;
        if self.planning || now.steady < self.plan_at || !self.lead.sure(now.steady) {
            return None;
        }
        // While records wait for the state service, a further plan would only
        // add small ones: better a later one that places more at a time.
        if self.queue.holds_back(LEADERS) {
            return None;
        }
        let c = self.control.as_mut()?;
        if !c.ready(now.steady) {
            return None;
        }
        // Room for changes on their way goes first; and a second's beat so
        // that backoffs end without an event.
        if !c.dirty && now.steady < self.plan_at + IDLE_PLAN_MS {
            return None;
        }
        // Check-ins that wait go first, but not for ever.
        if c.swamped(now.steady) && now.steady < self.plan_at + SWAMPED_PLAN_MS {
            return None;
        }
        self.planning = true;
        self.plan_at = now.steady;
        Some(c.snapshot(now.steady, now.wall))
    }

    pub fn planned(&mut self, now: Now, epoch: u64, d: Decision) {
        self.now = now;
        self.planning = false;
        // Planning takes a third of the process' time at most: on a busy fleet
        // something changes all the time.
        let took = now.steady.saturating_sub(self.plan_at);
        self.traffic.plans += 1;
        self.traffic.plan_ms += took;
        self.plan_at = now.steady + (2 * took).max(PLAN_GAP_MS);
        // The list and deletions need calls, too.
        let calls = self.cloud.over(now.steady, RENT_SPARE);
        if let Some(c) = self.control.as_mut().filter(|c| c.epoch == epoch) {
            c.apply(d, calls, now.steady, now.wall);
        }
        self.pump();
    }

    pub fn epoch(&self) -> u64 {
        self.control.as_ref().map_or(0, |c| c.epoch)
    }
}
