//! One controller: brings the modules together. Events and the time go in,
//! actions come out; no sockets and no clocks here.

mod calls;
mod clock;
mod cloud_inventory;
mod deferred_heartbeats;
mod dependencies;
mod duties;
mod effects;
mod format_version;
mod heartbeats;
mod http;
mod leadership;
mod machine_list_reader;
mod outbox;
mod peers;
mod planning;
mod responses;
mod stats;
mod store_sync;
mod user_replies;
mod user_requests;
mod user_submissions;
mod user_types;

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use prost::Message;
use rand::rngs::StdRng;
use rand::SeedableRng;

use crate::admission::AdmissionLimit;
use crate::job::FinalState;
use crate::leader_lease::{self, LeaderLease};
use crate::leadership_keys::{LEADER_KEY, LEASE_KEY};
use crate::net::{status, Action, Event, Listener, Outcome, Request};
use crate::peer_protocol::{ForwardedRequest, PeerStatus, FORWARD_PATH, STATUS_PATH};
use crate::rate_limit::TokenBucket;
use crate::scheduler::{Scheduler, Term};
use crate::settings::{OperatorSettings, Settings, StoreLimits};
use crate::watch_cache::WatchCache;
use crate::wire::{self, MachineType};
use crate::write_queue::{CommitResult, WriteQueue};

pub use clock::Timestamp;

use clock::EventClock;
use deferred_heartbeats::DeferredHeartbeats;
use dependencies::DependencyLookups;
use duties::{DutyState, DutyWrite};
use format_version::FormatState;
use http::HttpResponse;
use machine_list_reader::MachineListReader;
use outbox::Outbox;
use peers::PeerView;
use planning::PlanTimer;
use stats::{StatsTimer, TrafficStats};
use store_sync::StoreSync;
use user_types::{Caller, PendingRequest, RequestOrigin};

/// Whose change a commit was.
#[derive(Debug, Clone)]
enum WriteOwner {
    /// A user's request, by its number.
    User(u64),
    /// That this controller runs this version, or that all do.
    FormatVersion,
    /// A duty's.
    Duty(Box<DutyWrite>),
    /// The scheduler's.
    Job {
        id: String,
        change: u64,
        final_state: Option<FinalState>,
        epoch: u64,
    },
}

/// Statuses from here on say that the server has failed.
const SERVER_ERRORS: u16 = 500;
/// How often timers are checked.
const TICK_MS: u64 = 100;
/// What an answer to a user may take before the limit on requests in progress falls.
const USER_TARGET_MS: u64 = 500;
/// Sockets for each user's request in progress.
const SOCKETS_PER_USER: usize = 4;
/// Share of the cloud's limit that is used, all calls counted.
const CLOUD_SHARE: f64 = 0.875;

/// Shares of the requests and changes that the store takes in a second: the
/// leader's and each other controller's, whose bursts rarely meet. Of the requests, a
/// follower takes a little less than an even share, and the leader, with a transaction for
/// each group of records, what they leave.
const FOLLOWER_REQUESTS: f64 = 0.7;
const LEADER_WRITES: f64 = 0.75;
const FOLLOWER_WRITES: f64 = 0.4;
/// Each controller's share for records of duties, beside these: the other controllers'
/// users rarely take all of theirs. A transaction of two changes fits in any case.
const DUTY_WRITES: f64 = 0.08;
const DUTY_WRITES_MIN: f64 = 2.0;

/// One controller.
pub struct Controller {
    settings: Settings,
    operator: OperatorSettings,
    rng: StdRng,
    clock: EventClock,
    outbox: Outbox,
    /// The local watch cache of the store.
    pub watch_cache: WatchCache,
    store_sync: StoreSync,
    store_requests: TokenBucket,
    writes: WriteQueue<WriteOwner>,
    lease: LeaderLease,
    /// An election was won, but the watch cache does not hold it yet.
    pending_term: Option<Term>,
    /// The scheduling state, if this controller leads.
    pub scheduler: Option<Scheduler>,
    format_state: FormatState,
    duties: DutyState,
    lookups: DependencyLookups,
    /// Cancellations that users were told of here, and when.
    acknowledged_cancellations: BTreeMap<String, u64>,
    machine_types: Arc<Vec<MachineType>>,
    next_machine_types_at: u64,
    cloud_requests: TokenBucket,
    machine_list: MachineListReader,
    users: BTreeMap<u64, PendingRequest>,
    next_user: u64,
    admission: AdmissionLimit,
    peers: HashMap<String, PeerView>,
    next_status_at: u64,
    /// Agents that were redirected, and when.
    redirected_agents: BTreeMap<String, u64>,
    /// When an agent's report was last answered.
    agent_answered_at: Option<u64>,
    deferred_heartbeats: DeferredHeartbeats,
    plan_timer: PlanTimer,
    next_tick_at: u64,
    stats_timer: StatsTimer,
    stats: TrafficStats,
    /// Grants that were warned of.
    warned_limits: usize,
}

impl Controller {
    /// A controller that has just been started.
    pub fn new(settings: Settings, operator: OperatorSettings, seed: u64) -> Controller {
        let cluster = &settings.cluster;
        let controllers = (settings.peers.len() + 1) as f64;
        let ttl_ms = leader_lease::leader_lease_ttl_ms(cluster, &operator);
        let state = &cluster.state;
        let follower_writes = state.write_rps * FOLLOWER_WRITES;
        let follower_requests = state.rps / controllers * FOLLOWER_REQUESTS;
        let user_sockets = cluster.limits.fd_limit / SOCKETS_PER_USER;
        let peers = settings.peers.iter();
        let mut writes = WriteQueue::new(follower_writes, follower_writes, state.txn_ops);
        writes.set_duty_rate(0, duty_write_rate(state));
        Controller {
            rng: StdRng::seed_from_u64(seed),
            clock: EventClock::new(),
            outbox: Outbox::new(settings.endpoints.clone()),
            watch_cache: WatchCache::default(),
            store_sync: StoreSync::default(),
            store_requests: TokenBucket::new(follower_requests),
            writes,
            lease: LeaderLease::new(&settings.member, ttl_ms, state.lowered().txn_ops),
            pending_term: None,
            scheduler: None,
            format_state: FormatState::default(),
            duties: DutyState::new(&settings.member, cluster, operator.duties.as_ref()),
            lookups: DependencyLookups::default(),
            acknowledged_cancellations: BTreeMap::new(),
            machine_types: Arc::new(vec![]),
            next_machine_types_at: 0,
            cloud_requests: TokenBucket::new(cluster.cloud.rps * CLOUD_SHARE),
            machine_list: MachineListReader::default(),
            users: BTreeMap::new(),
            next_user: 1,
            admission: AdmissionLimit::new(USER_TARGET_MS, user_sockets),
            peers: peers
                .map(|peer| (peer.member.clone(), PeerView::default()))
                .collect(),
            next_status_at: 0,
            redirected_agents: BTreeMap::new(),
            agent_answered_at: None,
            deferred_heartbeats: DeferredHeartbeats::default(),
            plan_timer: PlanTimer::default(),
            next_tick_at: 0,
            stats_timer: StatsTimer::default(),
            stats: TrafficStats::default(),
            warned_limits: 0,
            settings,
            operator,
        }
    }

    /// What is to be done outside since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        self.outbox.take_actions()
    }

    /// The epoch under which this controller leads; 0 if it does not.
    pub fn epoch(&self) -> u64 {
        self.scheduler.as_ref().map_or(0, Scheduler::epoch)
    }

    /// The scheduling state, if this controller leads under this epoch.
    fn scheduler_of(&mut self, epoch: u64) -> Option<&mut Scheduler> {
        self.scheduler.as_mut().filter(|s| s.epoch() == epoch)
    }

    /// Takes the leader's or a follower's share of the store.
    fn set_store_share(&mut self, leads: bool) {
        let now = self.clock.steady_ms();
        let limits = self.store_limits();
        let others = self.settings.peers.len() as f64;
        let follower_requests = limits.rps / (others + 1.0) * FOLLOWER_REQUESTS;
        let (requests, writes) = if leads {
            (limits.rps - others * follower_requests, LEADER_WRITES)
        } else {
            (follower_requests, FOLLOWER_WRITES)
        };
        self.store_requests.set_rate(now, requests);
        self.writes.set_rate(now, limits.write_rps * writes);
        self.writes.set_duty_rate(now, duty_write_rate(&limits));
        self.writes.set_writes_max(limits.txn_ops);
    }

    /// Handles an event.
    pub fn handle_event(&mut self, now: Timestamp, event: Event) {
        self.clock.begin_event(now);
        match event {
            Event::Request {
                connection,
                listener,
                request,
            } => self.on_request(connection, listener, request),
            Event::Reply { tag, outcome } => {
                if let Some(call) = self.outbox.complete(tag) {
                    self.on_reply(tag, call, outcome);
                }
            }
        }
        self.flush();
    }

    /// What came in waited for so long before it was read.
    pub fn on_read_delay(&mut self, now: Timestamp, delay_ms: u64) {
        self.stats.read_delay_ms = self.stats.read_delay_ms.max(delay_ms);
        if let Some(scheduler) = &mut self.scheduler {
            scheduler.on_read_delay(delay_ms, now.steady);
        }
    }

    /// Does what has come due. To be called at least as often as `wait_ms` says.
    pub fn tick(&mut self, now: Timestamp) {
        self.clock.begin_event(now);
        if now.steady < self.next_tick_at {
            return;
        }
        if self.next_tick_at > 0 {
            let late_ms = now.steady - self.next_tick_at;
            self.stats.tick_late_ms = self.stats.tick_late_ms.max(late_ms);
        }
        self.next_tick_at = now.steady + TICK_MS;
        self.load_tick();
        self.lease_tick();
        self.format_tick();
        self.lookup_tick();
        self.machine_types_tick();
        self.peers_tick();
        self.scheduler_tick();
        self.duties_tick();
        self.machine_list_tick();
        self.users_tick();
        self.flush();
        self.stats_tick();
    }

    fn scheduler_tick(&mut self) {
        let now = self.clock.steady_ms();
        // Agents may have gone to the one that is not heard.
        let redirected = self.redirected_elsewhere();
        let most_heard = redirected.peers_heard * 2 > self.peers.len();
        if let Some(scheduler) = &mut self.scheduler {
            let spare_writes = self.writes.spare_writes(now);
            let agents = most_heard.then_some(redirected.agents);
            scheduler.set_redirected_elsewhere(agents);
            scheduler.tick(now, self.watch_cache.revision, spare_writes);
        }
    }

    /// How long the event loop may wait.
    pub fn wait_ms(&self, now: u64) -> u64 {
        self.next_tick_at.saturating_sub(now).clamp(1, TICK_MS)
    }

    /// Sends what has come due: reads, changes and the scheduler's effects.
    fn flush(&mut self) {
        let now = self.clock.steady_ms();
        if let Some(scheduler) = &mut self.scheduler {
            scheduler.flush(now, self.watch_cache.revision, 0);
        }
        self.answer_deferred_heartbeats();
        let may_start = self.may_start();
        if let Some(scheduler) = &mut self.scheduler {
            scheduler.send_direct_starts(may_start, now);
            for effect in scheduler.take_effects() {
                self.execute_effect(effect);
            }
        }
        self.duties_flush();
        self.watch_tick();
        self.send_writes();
    }

    fn on_request(&mut self, connection: usize, listener: Listener, request: Request) {
        *match (listener, request.path.as_str()) {
            (Listener::Peers, _) => &mut self.stats.peers,
            (_, wire::HEARTBEAT_PATH) => &mut self.stats.heartbeats,
            _ => &mut self.stats.users,
        } += 1;
        match listener {
            Listener::Peers => self.on_peer_request(connection, request),
            Listener::Front => self.on_front_request(connection, request),
        }
    }

    fn on_peer_request(&mut self, connection: usize, request: Request) {
        match request.path.as_str() {
            STATUS_PATH => match PeerStatus::decode(request.body.as_slice()) {
                Ok(status) => {
                    let body = self.status_for(&status).encode_to_vec();
                    self.on_peer_status(&status.member.clone(), status);
                    self.outbox.respond(connection, HttpResponse::ok(body));
                }
                Err(_) => self
                    .outbox
                    .respond(connection, HttpResponse::empty(status::BAD_REQUEST)),
            },
            FORWARD_PATH => match ForwardedRequest::decode(request.body.as_slice()) {
                Ok(forwarded) => {
                    let caller = Caller {
                        connection,
                        origin: RequestOrigin::Peer,
                    };
                    let ForwardedRequest { method, path, body } = forwarded;
                    self.on_user_request(caller, &method, &path, body);
                }
                Err(_) => self
                    .outbox
                    .respond(connection, HttpResponse::empty(status::BAD_REQUEST)),
            },
            _ => self
                .outbox
                .respond(connection, HttpResponse::empty(status::NOT_FOUND)),
        }
    }

    fn on_front_request(&mut self, connection: usize, request: Request) {
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", wire::HEARTBEAT_PATH) => self.on_heartbeat(connection, &request.body),
            ("GET", wire::HEALTH_PATH) => {
                let status = if self.is_healthy() {
                    status::OK
                } else {
                    status::UNAVAILABLE
                };
                self.outbox.respond(connection, HttpResponse::empty(status));
            }
            (_, wire::HEARTBEAT_PATH | wire::HEALTH_PATH) => {
                self.outbox
                    .respond(connection, HttpResponse::empty(status::METHOD_NOT_ALLOWED));
            }
            _ => {
                let caller = Caller {
                    connection,
                    origin: RequestOrigin::User,
                };
                let Request { method, path, body } = request;
                self.on_user_request(caller, &method, &path, body);
            }
        }
    }

    fn on_commit(&mut self, owner: WriteOwner, result: CommitResult) {
        let now = self.clock.steady_ms();
        match owner {
            WriteOwner::User(user) => self.on_user_commit(user, &result),
            WriteOwner::FormatVersion => {}
            WriteOwner::Duty(write) => self.on_duty_commit(*write, &result),
            WriteOwner::Job {
                id,
                change,
                final_state,
                epoch,
            } => {
                if let (CommitResult::Committed { .. }, Some(state)) = (&result, final_state) {
                    self.watch_cache.record_final(&id, state);
                    self.watch_cache.jobs.remove(&id);
                    self.forward_dependency_events();
                }
                let Some(scheduler) = self.scheduler_of(epoch) else {
                    return;
                };
                scheduler.on_commit(&id, change, final_state, &result, now);
                self.step_down_if_deposed(&result);
            }
        }
    }

    /// A change of the leader's that failed on the leader key tells that another one leads.
    fn step_down_if_deposed(&mut self, result: &CommitResult) {
        let CommitResult::Conflict { failed, .. } = result else {
            return;
        };
        let is_leader_key = |key: &String| key == LEADER_KEY || key == LEASE_KEY;
        if failed.iter().any(is_leader_key) {
            self.lease.resign(self.clock.steady_ms(), 0);
            self.step_down("a change failed on the leader key");
        }
    }

    /// Notes that the store has answered, or says that the limit is reached.
    fn record_store_outcome(&mut self, outcome: &Outcome) {
        match outcome {
            Outcome::Answer {
                status: status::TOO_MANY_REQUESTS,
                ..
            } => self.store_requests.drain(),
            Outcome::Answer { status, .. } if *status < SERVER_ERRORS => {
                self.store_sync.answered_at = Some(self.clock.steady_ms());
            }
            _ => {}
        }
    }
}

/// Changes of duties' records that a controller may make in a second.
fn duty_write_rate(limits: &StoreLimits) -> f64 {
    (limits.write_rps * DUTY_WRITES).max(DUTY_WRITES_MIN)
}
