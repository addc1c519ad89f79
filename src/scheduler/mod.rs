//! The leader's scheduling state: jobs, machines, what may be running where, and what to
//! do about it. Takes events and the time, gives effects. Made anew with each term.

mod agent_status;
mod arrivals;
mod commands;
mod decisions;
mod dependency_links;
mod dirty_jobs;
mod effects;
mod gangs;
mod job_state;
mod job_views;
mod machine_list;
mod machine_views;
mod placements;
mod probes;
mod provisioning;
mod quota_cache;
mod reconcile;
mod records;
mod scale_in;
mod scale_out;
mod snapshots;
mod standby_capacity;
mod starts;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

pub use agent_status::StatusOrigin;
pub use effects::{DirectStart, Effect};
pub use job_state::{Job, Placement};
pub use provisioning::ProvisioningOutcome;
pub use reconcile::Reachability;
pub use starts::StartFailure;

use crate::machine::Machine;
use crate::rate_limit::TokenBucket;
use crate::settings::{ClusterSettings, OperatorSettings, StoreLimits};
use crate::time_units::to_ms;
use crate::watch_cache::WatchCache;
use crate::wire::{Command, Condition, MachineType};
use arrivals::ArrivalRate;
use dependency_links::DependencyLinks;
use dirty_jobs::DirtyJobs;
use provisioning::ProvisioningRequests;
use quota_cache::QuotaCache;

/// Commands that one answer or request may carry.
const COMMANDS_MAX: usize = 300;
/// Starts that a whole core sends in a second to agents that have no heartbeat for them to
/// go with; a part of a core accordingly fewer. Each is a connection made for it.
const DIRECT_STARTS_PER_CORE: f64 = 600.0;

/// The leadership that a [`Scheduler`] acts under.
#[derive(Debug, Clone)]
pub struct Term {
    /// The leader's name.
    pub member: String,
    /// Its fencing token.
    pub epoch: u64,
    /// The key that is ours as long as we lead.
    pub key: &'static str,
    /// The key's version.
    pub key_version: u64,
    /// Time of day when the term began, in milliseconds.
    pub began_wall_ms: u64,
}

/// What was looked at since the term began, apart from the regular reviews of everything.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WorkCounts {
    /// Jobs whose records were considered for writing.
    pub records_considered: u64,
    /// Machines that were considered for direct starts.
    pub starts_considered: u64,
}

/// The leader's scheduling state.
///
/// Jobs know their placements, machines the tasks that are on record for them; both change
/// together, in `add_placement` and `remove_placement` only.
#[derive(Debug)]
pub struct Scheduler {
    term: Term,
    cluster: ClusterSettings,
    operator: OperatorSettings,
    /// When the term began, on the steady clock.
    began_at: u64,
    /// Live jobs.
    pub jobs: BTreeMap<String, Job>,
    dependency_links: DependencyLinks,
    dirty_jobs: DirtyJobs,
    quota_cache: QuotaCache,
    /// The form in which records are written.
    format: u64,
    /// Provisioned machines, and those that a record or a report names.
    pub machines: BTreeMap<String, Machine>,
    machine_types: Arc<Vec<MachineType>>,
    /// The names of machine types and zones, one copy for all machines.
    interned_names: Vec<Arc<str>>,
    provisioning: ProvisioningRequests,
    /// Commands that are to go straight to agents.
    direct_commands: BTreeMap<Arc<str>, Vec<Command>>,
    /// Machines with starts on record that have not gone out.
    startable: BTreeSet<Arc<str>>,
    /// Those that have come up since they were last asked for.
    newly_startable: Vec<Arc<str>>,
    effects: Vec<Effect>,
    /// Something changed that the planner should look at.
    pub needs_planning: bool,
    /// The next snapshot ends all backoffs.
    end_backoffs: bool,
    direct_start_limit: TokenBucket,
    /// Jobs waited for places when the last snapshot was taken.
    has_pending_jobs: bool,
    /// The cloud's list has been read in this term.
    has_machine_list: bool,
    /// Machines whose deletion was confirmed, and when.
    terminated_machines: HashMap<String, u64>,
    /// How often work came that needs on-demand machines, by class.
    arrivals: BTreeMap<String, ArrivalRate>,
    next_reconcile_at: u64,
    /// Machines that can't be reached were returned.
    has_terminated_unreachable: bool,
    /// Agents that other controllers redirected lately, if most of them are heard.
    redirected_elsewhere: Option<u32>,
    /// Machines that are on record with the holder of that duty to be returned.
    recorded_terminations: BTreeSet<String>,
    /// When any machine reported something new.
    last_status_at: u64,
    /// When this controller was last seconds behind with reading what comes in.
    lagging_at: Option<u64>,
    /// When it was last a noticeable time behind.
    overloaded_at: Option<u64>,
    work: WorkCounts,
}

impl Scheduler {
    /// The state that follows from a watch cache which holds the election of this term.
    pub fn new(
        term: Term,
        cluster: &ClusterSettings,
        operator: &OperatorSettings,
        machine_types: Arc<Vec<MachineType>>,
        watch_cache: &WatchCache,
        now: u64,
    ) -> Scheduler {
        let direct_starts = cluster.limits.cpu_share * DIRECT_STARTS_PER_CORE;
        let mut scheduler = Scheduler {
            term,
            cluster: cluster.clone(),
            operator: operator.clone(),
            began_at: now,
            jobs: BTreeMap::new(),
            dependency_links: DependencyLinks::default(),
            dirty_jobs: DirtyJobs::default(),
            quota_cache: QuotaCache::default(),
            format: 0,
            machines: BTreeMap::new(),
            interned_names: interned_names(&machine_types),
            machine_types,
            provisioning: ProvisioningRequests::default(),
            direct_commands: BTreeMap::new(),
            startable: BTreeSet::new(),
            newly_startable: vec![],
            effects: vec![],
            needs_planning: true,
            end_backoffs: false,
            direct_start_limit: TokenBucket::new(direct_starts.max(1.0)),
            has_pending_jobs: true,
            has_machine_list: false,
            terminated_machines: HashMap::new(),
            arrivals: BTreeMap::new(),
            next_reconcile_at: 0,
            has_terminated_unreachable: false,
            redirected_elsewhere: None,
            recorded_terminations: BTreeSet::new(),
            last_status_at: 0,
            lagging_at: None,
            overloaded_at: None,
            work: WorkCounts::default(),
        };
        // Since when a job has been ready is not on record.
        let ready_at = scheduler.term.began_wall_ms;
        for (id, job) in &watch_cache.jobs {
            scheduler.apply_job(id, job, &watch_cache.dependencies, ready_at, now);
        }
        scheduler
    }

    /// The fencing token of this term.
    pub fn epoch(&self) -> u64 {
        self.term.epoch
    }

    /// The condition of each of the leader's changes: the leader key is ours.
    pub fn term_condition(&self) -> Condition {
        Condition::new(self.term.key, self.term.key_version)
    }

    /// What was looked at since the term began.
    pub fn work_counts(&self) -> WorkCounts {
        self.work
    }

    /// Records are written in another form, within other limits.
    pub fn set_format(&mut self, format: u64, limits: &StoreLimits) {
        self.format = format;
        self.cluster.state = limits.clone();
    }

    /// The cloud's machine types were read.
    pub fn set_machine_types(&mut self, machine_types: Arc<Vec<MachineType>>) {
        self.interned_names = interned_names(&machine_types);
        self.machine_types = machine_types;
        for machine in self.machines.values_mut() {
            machine.view = None;
        }
        self.needs_planning = true;
    }

    fn machine_type(&self, name: &str) -> Option<&MachineType> {
        self.machine_types.iter().find(|t| t.name == name)
    }

    /// The longest usual boot time of any machine type.
    fn boot_s(&self) -> f64 {
        let boot_times = self.machine_types.iter().map(|t| t.boot_s);
        boot_times.fold(1.0, f64::max)
    }

    /// What is to be done outside since the last call.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Capacity came free somewhere: gangs that back off for want of it look again.
    fn retry_backed_off(&mut self) {
        self.end_backoffs = true;
        self.needs_planning = true;
    }

    /// The state in a line, for the log.
    pub fn summary(&self) -> String {
        let placed: usize = self.jobs.values().map(|job| job.placements.len()).sum();
        let reports = |machine: &&Machine| machine.last_status_at.is_some();
        let up = self.machines.values().filter(reports).count();
        format!(
            "epoch {}: {} jobs, {} tasks placed, {} machines ({} up)",
            self.term.epoch,
            self.jobs.len(),
            placed,
            self.machines.len(),
            up
        )
    }
}

fn interned_names(machine_types: &[MachineType]) -> Vec<Arc<str>> {
    let names = machine_types
        .iter()
        .flat_map(|machine_type| machine_type.zones.iter().chain([&machine_type.name]));
    let distinct: BTreeSet<&String> = names.collect();
    distinct
        .into_iter()
        .map(|name| name.as_str().into())
        .collect()
}
