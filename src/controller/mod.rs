//! One controller as a state machine: events and timestamps go in, actions come out. It opens no
//! sockets and reads no clocks.
//!
//! [`Controller`] coordinates modules that each own their state, with private fields:
//!
//! | module | owns |
//! | --- | --- |
//! | `clock` | the time of the current event |
//! | `outbox` | calls in flight and actions to perform |
//! | `store_client`, `cache_reads` | rate limits and writes; the reads for the watch cache |
//! | `leadership` | the leader lease and a pending term |
//! | `provider_client` | the provider's rate limit, machine types and list of machines |
//! | `peer_table`, `acknowledged_cancellations` | state exchanged with the other controllers |
//! | `agent_gateway` | redirected agents and deferred heartbeats |
//! | `user_request_table` | user requests in progress and the limit on them |
//! | `format_version`, `planning`, `dependencies`, `stats` | their timers |
//! | `duties` | leases and orders of duties |
//!
//! The other modules implement operations that span several of these, as methods of
//! [`Controller`] that use the modules through their methods only. `dispatch` routes events to
//! them.

mod acknowledged_cancellations;
mod agent_gateway;
mod cache_reads;
mod cache_updates;
mod calls;
mod clock;
mod commits;
mod deferred_heartbeats;
mod dependencies;
mod dispatch;
mod duties;
mod effects;
mod format_version;
mod heartbeats;
mod http;
mod job_validation;
mod leadership;
mod machine_list_reader;
mod outbox;
mod peer_table;
mod peers;
mod planning;
mod provider_client;
mod provider_events;
mod responses;
mod stats;
mod store_client;
mod term_changes;
mod user_replies;
mod user_request_parser;
mod user_request_table;
mod user_requests;
mod user_submissions;
mod user_types;

use crate::epoch::Epoch;
use crate::leader_lease::leader_lease_ttl_ms;
use crate::net::{Action, Event};
use crate::scheduler::Scheduler;
use crate::settings::{OperatorSettings, Settings};
use crate::watch_cache::WatchCache;

pub use clock::Timestamp;

use acknowledged_cancellations::AcknowledgedCancellations;
use agent_gateway::AgentGateway;
use cache_reads::CacheReads;
use clock::EventClock;
use dependencies::DependencyLookups;
use duties::DutyState;
use format_version::FormatState;
use leadership::Leadership;
use outbox::Outbox;
use peer_table::PeerTable;
use planning::PlanTimer;
use provider_client::ProviderClient;
use stats::ControllerStats;
use store_client::{StoreClient, StoreRole};
use term_changes::StepDownReason;
use user_request_table::UserRequestTable;

/// Interval at which timers are checked.
const TICK_MS: u64 = 100;

/// One controller; see the module documentation.
pub struct Controller {
    settings: Settings,
    operator: OperatorSettings,
    clock: EventClock,
    outbox: Outbox,
    /// The local watch cache of the store.
    pub watch_cache: WatchCache,
    cache_reads: CacheReads,
    store: StoreClient,
    leadership: Leadership,
    /// The scheduling state, if this controller leads.
    pub scheduler: Option<Scheduler>,
    format_state: FormatState,
    duties: DutyState,
    dependency_lookups: DependencyLookups,
    acknowledged_cancellations: AcknowledgedCancellations,
    provider: ProviderClient,
    user_requests: UserRequestTable,
    peers: PeerTable,
    agents: AgentGateway,
    plan_timer: PlanTimer,
    next_tick_at: u64,
    stats: ControllerStats,
}

impl Controller {
    /// Creates a follower that has read nothing yet. `seed` determines the jitter of
    /// lease requests.
    pub fn new(settings: Settings, operator: OperatorSettings, seed: u64) -> Controller {
        let cluster = &settings.cluster;
        let ttl_ms = leader_lease_ttl_ms(cluster, &operator);
        let state = &cluster.state;
        let writes_max = state.strictest().txn_ops;
        Controller {
            clock: EventClock::new(),
            outbox: Outbox::new(settings.endpoints.clone()),
            watch_cache: WatchCache::default(),
            cache_reads: CacheReads::new(cluster, settings.peers.len() + 1),
            store: StoreClient::new(state, settings.peers.len()),
            leadership: Leadership::new(&settings.member, ttl_ms, writes_max, seed),
            scheduler: None,
            format_state: FormatState::default(),
            duties: DutyState::new(&settings.member, cluster, operator.duties.as_ref()),
            dependency_lookups: DependencyLookups::default(),
            acknowledged_cancellations: AcknowledgedCancellations::default(),
            provider: ProviderClient::new(cluster),
            user_requests: UserRequestTable::new(cluster.limits.fd_limit),
            peers: PeerTable::new(&settings.peers),
            agents: AgentGateway::default(),
            plan_timer: PlanTimer::default(),
            next_tick_at: 0,
            stats: ControllerStats::new(),
            settings,
            operator,
        }
    }

    /// Takes the actions to perform that were added since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        self.outbox.take_actions()
    }

    /// The epoch in which this controller leads; 0 if it does not.
    pub fn epoch(&self) -> Epoch {
        self.scheduler
            .as_ref()
            .map_or(Epoch::NONE, Scheduler::epoch)
    }

    /// The scheduling state, if this controller leads in this epoch.
    fn scheduler_in_epoch(&mut self, epoch: Epoch) -> Option<&mut Scheduler> {
        self.scheduler.as_mut().filter(|s| s.epoch() == epoch)
    }

    /// Applies a role's share of the present store limits.
    fn apply_store_role(&mut self, role: StoreRole) {
        let limits = self.store_limits();
        self.store
            .apply_role_limits(role, &limits, self.clock.steady_ms());
    }

    /// Whether the store responded recently enough to count as reachable.
    fn is_store_reachable(&self) -> bool {
        self.store.is_reachable(self.clock.steady_ms())
    }

    /// Handles a received request or the outcome of a call.
    pub fn handle_event(&mut self, now: Timestamp, event: Event) {
        self.clock.begin_event(now);
        match event {
            Event::Request {
                connection,
                listener,
                request,
            } => self.on_request(connection, listener, request),
            Event::CallFinished { tag, outcome } => {
                if let Some(call) = self.outbox.complete(tag) {
                    self.on_reply(tag, call, outcome);
                }
            }
        }
        self.flush();
    }

    /// Records that input waited for `delay_ms` before it was read.
    pub fn on_read_delay(&mut self, now: Timestamp, delay_ms: u64) {
        self.stats.record_read_delay(delay_ms);
        if let Some(scheduler) = &mut self.scheduler {
            scheduler.on_read_delay(delay_ms, now.steady);
        }
    }

    /// Runs the timers that are due. Callers wait for at most [`Controller::wait_ms`] between
    /// calls.
    pub fn tick(&mut self, now: Timestamp) {
        self.clock.begin_event(now);
        if now.steady < self.next_tick_at {
            return;
        }
        if self.next_tick_at > 0 {
            self.stats.record_late_tick(now.steady - self.next_tick_at);
        }
        self.next_tick_at = now.steady + TICK_MS;
        self.tick_cache_load();
        self.tick_leader_lease();
        self.tick_stored_format();
        self.tick_dependency_lookups();
        self.tick_machine_types();
        self.tick_peers();
        self.tick_scheduler();
        self.tick_duties();
        self.tick_machine_list();
        self.tick_user_requests();
        self.flush();
        self.tick_stats();
    }

    fn tick_scheduler(&mut self) {
        let now = self.clock.steady_ms();
        let redirected = self.peers.redirected_elsewhere(now);
        if let Some(scheduler) = &mut self.scheduler {
            let deferrable_write_budget = self.store.deferrable_write_budget(now);
            let agents = redirected.majority_alive.then_some(redirected.agents);
            scheduler.set_redirected_elsewhere(agents);
            scheduler.tick(now, self.watch_cache.revision, deferrable_write_budget);
        }
    }

    /// How long the event loop may wait for events, in milliseconds.
    pub fn wait_ms(&self, now: u64) -> u64 {
        self.next_tick_at.saturating_sub(now).clamp(1, TICK_MS)
    }

    /// Sends the reads, writes and scheduler effects that are due.
    fn flush(&mut self) {
        let now = self.clock.steady_ms();
        if let Some(scheduler) = &mut self.scheduler {
            scheduler.flush(now, self.watch_cache.revision, 0);
        }
        self.respond_to_deferred_heartbeats();
        let permission = self.start_permission();
        if let Some(scheduler) = &mut self.scheduler {
            scheduler.send_direct_starts(permission, now);
            for effect in scheduler.take_effects() {
                self.execute_effect(effect);
            }
        }
        self.send_due_duty_requests();
        self.tick_watch();
        self.store.send_writes(&mut self.outbox, now);
    }
}
