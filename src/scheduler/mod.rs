//! The leader's scheduling state: jobs, machines and the bindings between them, and the decisions
//! that follow from it. It receives events and the time and returns [`Effect`]s; it performs no
//! input or output. Each term starts with a new [`Scheduler`].
//!
//! [`Scheduler`] owns the jobs and the machines, and coordinates components with their own state:
//!
//! | component | state | module |
//! | --- | --- | --- |
//! | `DirtyJobs` | jobs with uncommitted changes | `dirty_jobs` |
//! | `RecordCapacity` | format and limits of records | `record_capacity` |
//! | `DependencyLinks` | dependents of jobs | `dependency_links` |
//! | `QuotaCache` | teams known to be within their quota limits | `quota_cache` |
//! | `MachineCatalog` | machine types that the cloud offers | `machine_catalog` |
//! | `ProvisioningRequests` | open requests, machine kinds without capacity in the cloud | `provisioning` |
//! | `Terminations` | terminations recorded in the store or confirmed by the cloud | `terminations` |
//! | `Preemptions` | preemptions by reason, and recent ones of each task | `preemptions` |
//! | `DirectCommands` | commands to send directly to agents | `direct_commands` |
//! | `StartQueue` | machines with starts to send | `start_queue` |
//! | `ArrivalRates` | how often jobs of each class arrive | `arrivals` |
//! | `ReadDelay` | how late this controller reads messages | `read_delay` |
//! | `PartitionDetector` | whether this controller is cut off | `partition` |
//!
//! Each [`Job`] in turn owns a `RecordState` (which of its changes are committed) and a
//! `RetryState` (its failures and backoff).
//!
//! The other modules implement the scheduler's operations. They
//! - apply events: `records`, `agent_status`, `task_exits`, `machine_list`;
//! - bind and stop tasks: `bindings`, `stops`;
//! - build the planner's snapshot: `snapshots`, `job_views`, `machine_views`, `team_usage`;
//! - apply its decision: `decisions`, `scale_out`, `standby_capacity`;
//! - review the state periodically: `reconcile`, `reachability`, `gangs`, `probes`, `scale_in`;
//! - send commands: `commands`, `starts`.
//!
//! Decisions that need no access to the scheduler are in modules of their own: `objectives`,
//! `spot_availability`, `spot_queue`, `task_observation`, `termination_review`.

mod agent_status;
mod arrivals;
mod bindings;
mod commands;
mod decisions;
mod dependency_links;
mod direct_commands;
mod dirty_jobs;
mod effects;
mod gangs;
mod job;
mod job_views;
mod machine_catalog;
mod machine_list;
mod machine_views;
mod objectives;
mod partition;
mod placement;
mod preemptions;
mod probes;
mod provisioning;
mod quota_cache;
mod reachability;
mod read_delay;
mod reconcile;
mod record_capacity;
mod record_state;
mod records;
mod retry_state;
mod scale_in;
mod scale_out;
mod snapshots;
mod spot_availability;
mod spot_queue;
mod standby_capacity;
mod start_queue;
mod starts;
mod stops;
mod task_exits;
mod task_observation;
mod team_usage;
mod termination_review;
mod terminations;

use std::collections::BTreeMap;
use std::sync::Arc;

pub use agent_status::{FreedCapacity, StatusOrigin};
pub use effects::Effect;
pub use job::Job;
pub use placement::Placement;
pub use preemptions::PreemptionCounts;
pub use provisioning::ProvisioningOutcome;
pub use reachability::Reachability;
pub use starts::{StartFailure, StartPermission};
pub use terminations::TerminationOutcome;

use crate::epoch::Epoch;
use crate::machine::Machine;
use crate::settings::{ClusterSettings, OperatorSettings, StoreLimits};
use crate::time_units::to_ms;
use crate::watch_cache::WatchCache;
use crate::wire::{Condition, MachineType};
use arrivals::ArrivalRates;
use dependency_links::DependencyLinks;
use direct_commands::DirectCommands;
use dirty_jobs::DirtyJobs;
use machine_catalog::MachineCatalog;
use partition::PartitionDetector;
use preemptions::Preemptions;
use provisioning::ProvisioningRequests;
use quota_cache::QuotaCache;
use read_delay::ReadDelay;
use record_capacity::RecordCapacity;
use start_queue::StartQueue;
use terminations::Terminations;

/// How many commands a heartbeat response or a direct request may carry.
const COMMANDS_PER_MESSAGE_MAX: usize = 300;

/// The leader's term in which a [`Scheduler`] acts.
#[derive(Debug, Clone)]
pub struct LeaderTerm {
    /// The leader's member id.
    pub member: String,
    /// The first of the epochs that are reserved for the term; it identifies the term.
    pub epoch: Epoch,
    /// The leader key in the store, which this controller owns while it leads.
    pub key: &'static str,
    /// The version of the leader key that this controller wrote on its election.
    pub key_version: u64,
    /// Wall-clock time when the term began, in milliseconds.
    pub began_wall_ms: u64,
}

/// Jobs and machines examined since the term began, apart from the periodic reviews of all.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WorkCounts {
    /// Jobs whose records were considered for writing.
    pub records_considered: u64,
    /// Machines that were considered for direct starts.
    pub starts_considered: u64,
}

/// The size of the scheduling state, for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SchedulerSummary {
    /// The first epoch of the term.
    pub epoch: Epoch,
    /// The number of jobs.
    pub jobs: usize,
    /// The number of tasks with a placement, started or not.
    pub placed_tasks: usize,
    /// The number of machines, including those that are booting.
    pub machines: usize,
    /// The number of machines that have sent a status in this term.
    pub machines_up: usize,
    /// How many tasks were preempted in this term.
    pub preemptions: PreemptionCounts,
}

/// The leader's scheduling state.
///
/// Jobs store their placements, and machines the tasks that are bound to them; both change
/// together, in `bindings`, and when `records` or `machine_list` removes a job or a machine.
///
/// Unless stated otherwise, `now` is the steady clock in milliseconds.
#[derive(Debug)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent facts about the term, of which any combination occurs"
)]
pub struct Scheduler {
    term: LeaderTerm,
    /// When the term began.
    began_at: u64,
    cluster: ClusterSettings,
    operator: OperatorSettings,

    /// Live jobs.
    pub jobs: BTreeMap<String, Job>,
    dependency_links: DependencyLinks,
    dirty_jobs: DirtyJobs,
    record_capacity: RecordCapacity,
    quota_cache: QuotaCache,

    /// Provisioned machines, and machines named in a record or a status.
    pub machines: BTreeMap<String, Machine>,
    catalog: MachineCatalog,
    /// Whether the cloud's machine list has been read in this term.
    has_machine_list: bool,
    provisioning: ProvisioningRequests,
    terminations: Terminations,

    preemptions: Preemptions,
    direct_commands: DirectCommands,
    start_queue: StartQueue,
    effects: Vec<Effect>,

    /// Whether something changed that the planner should consider.
    pub needs_planning: bool,
    /// Whether the next snapshot ends the jobs' backoffs for lack of capacity.
    end_backoffs: bool,
    /// Whether the last snapshot had jobs with pending tasks.
    has_pending_jobs: bool,
    arrivals: ArrivalRates,

    next_reconcile_at: u64,
    read_delay: ReadDelay,
    partition: PartitionDetector,
}

impl Scheduler {
    /// The state at the start of a term, by the records in the watch cache; the cache already
    /// contains this term's leader key.
    pub fn new(
        term: LeaderTerm,
        cluster: &ClusterSettings,
        operator: &OperatorSettings,
        machine_types: Arc<Vec<MachineType>>,
        watch_cache: &WatchCache,
        now: u64,
    ) -> Scheduler {
        let mut scheduler = Scheduler {
            term,
            began_at: now,
            cluster: cluster.clone(),
            operator: operator.clone(),
            jobs: BTreeMap::new(),
            dependency_links: DependencyLinks::default(),
            dirty_jobs: DirtyJobs::default(),
            record_capacity: RecordCapacity::new(0, &cluster.state),
            quota_cache: QuotaCache::default(),
            machines: BTreeMap::new(),
            catalog: MachineCatalog::new(machine_types),
            has_machine_list: false,
            provisioning: ProvisioningRequests::default(),
            terminations: Terminations::default(),
            preemptions: Preemptions::default(),
            direct_commands: DirectCommands::default(),
            start_queue: StartQueue::new(cluster.limits.cpu_share),
            effects: vec![],
            needs_planning: true,
            end_backoffs: false,
            has_pending_jobs: true,
            arrivals: ArrivalRates::default(),
            next_reconcile_at: 0,
            read_delay: ReadDelay::default(),
            partition: PartitionDetector::default(),
        };
        // The records do not show since when jobs have been ready; the start of the term is used.
        let ready_at = scheduler.term.began_wall_ms;
        for (id, job) in &watch_cache.jobs {
            scheduler.apply_job(id, job, &watch_cache.dependencies, ready_at, now);
        }
        scheduler
    }

    /// The first epoch of this term, which identifies it.
    pub fn epoch(&self) -> Epoch {
        self.term.epoch
    }

    /// Whether an epoch that an agent has seen belongs to a later term.
    pub fn is_fenced_by(&self, seen: Epoch) -> bool {
        seen > self.term.epoch.last_of_term()
    }

    /// The condition of each of the leader's writes: the leader key still has this term's version.
    pub fn term_condition(&self) -> Condition {
        Condition::new(self.term.key, self.term.key_version)
    }

    /// Jobs and machines examined since the term began.
    pub fn work_counts(&self) -> WorkCounts {
        WorkCounts {
            records_considered: self.dirty_jobs.considered(),
            starts_considered: self.start_queue.considered(),
        }
    }

    /// Sets the format in which records are written, and the store's limits for them.
    pub fn set_format(&mut self, format: u64, limits: &StoreLimits) {
        self.record_capacity = RecordCapacity::new(format, limits);
    }

    /// Sets the machine types that the cloud offers.
    pub fn set_machine_types(&mut self, machine_types: Arc<Vec<MachineType>>) {
        self.catalog = MachineCatalog::new(machine_types);
        for machine in self.machines.values_mut() {
            machine.cached_view = None;
        }
        self.needs_planning = true;
    }

    /// Returns the effects that have accumulated since the last call, in order.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Lets jobs that back off for lack of capacity be planned again, because capacity became
    /// free.
    fn retry_backed_off_jobs(&mut self) {
        self.end_backoffs = true;
        self.needs_planning = true;
    }

    /// The numbers of jobs, placed tasks and machines. Iterates over all of them.
    pub fn summary(&self) -> SchedulerSummary {
        let placed_tasks: usize = self.jobs.values().map(|job| job.placements.len()).sum();
        let has_reported = |machine: &&Machine| machine.last_status_at.is_some();
        let machines_up = self.machines.values().filter(has_reported).count();
        SchedulerSummary {
            epoch: self.term.epoch,
            jobs: self.jobs.len(),
            placed_tasks,
            machines: self.machines.len(),
            machines_up,
            preemptions: self.preemptions.counts(),
        }
    }
}
