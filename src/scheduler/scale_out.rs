//! What is rented for tasks without a place.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use tracing::debug;

use super::{to_ms, Job, Scheduler};
use crate::cloud::{self, Demand, IncomingMachines, MachineKind};
use crate::machine::Machine;
use crate::plan::{Resources, UnmetDemand};

/// Machines that one request may rent.
const PROVISION_BATCH_MAX: u64 = 50;
/// Boot times after which a machine is not waited for any more.
const OVERDUE_BOOTS: f64 = 1.6;

/// The spot jobs of the queue taken together.
#[derive(Default)]
struct SpotQueue {
    /// Jobs with tasks without a place: slack, number of tasks, id.
    waiting: Vec<(f64, f64, Arc<str>)>,
    tasks: f64,
    work_s: f64,
    resources: Resources,
}

impl SpotQueue {
    fn add(&mut self, job: &Job, wall_ms: u64) {
        let pending = job.pending_count() as f64;
        let tasks = pending + job.placements.len() as f64;
        self.tasks += tasks;
        self.work_s += tasks * job.spec.expected_s;
        let resources = Resources::of(&job.spec);
        self.resources.add(resources.scaled(tasks));
        if pending > 0.0 {
            let age_s = (job.submitted_at as f64 - wall_ms as f64) / 1000.0;
            let left_s = job.spec.deadline_s.map_or(f64::INFINITY, |d| d + age_s);
            let slack_s = left_s - job.spec.expected_s;
            self.waiting.push((slack_s, pending, job.id.clone()));
        }
    }
}

impl Scheduler {
    /// Rents what is missing. What `calls` don't suffice for is not kept: the next plan
    /// knows better what is missing then.
    pub(super) fn scale_out(
        &mut self,
        unmet: &[UnmetDemand],
        calls: usize,
        now: u64,
        wall_ms: u64,
    ) {
        // What an earlier leader rented last is not on the list yet, and would
        // be rented again.
        let lag_ms = to_ms(self.cluster.cloud.list_lag_s);
        let settled = self.term.epoch <= 1 || now >= self.began_at + lag_ms;
        if calls == 0 || !settled || !self.has_machine_list {
            return;
        }
        let demands = self.demands(unmet, now, wall_ms);
        if demands.is_empty() {
            return;
        }
        log_demands(&demands);
        let incoming = self.incoming_machines(now);
        let is_sold_out = |kind: &MachineKind| self.provisioning.is_sold_out(kind, now);
        // As many as the calls of a second may bring.
        let machines_max = PROVISION_BATCH_MAX * (self.cluster.cloud.rps as u64).max(1);
        let scale_out = cloud::plan_scale_out(
            &demands,
            incoming,
            &self.machine_types,
            &is_sold_out,
            machines_max,
        );
        let prefix = format!("{}-{}", self.term.member, self.term.epoch);
        let mut calls_left = calls;
        for (kind, mut count) in scale_out {
            while count > 0 && calls_left > 0 {
                calls_left -= 1;
                let part = count.min(PROVISION_BATCH_MAX);
                count -= part;
                self.provisioning.add(&prefix, kind.clone(), part, now);
            }
        }
        self.send_provisioning_requests(now);
    }

    /// What needs machines, the hardest to place first.
    fn demands(&self, unmet: &[UnmetDemand], now: u64, wall_ms: u64) -> Vec<Demand> {
        let mut demands = Vec::new();
        let on_demand_tasks = self.spot_tasks_on_demand(wall_ms);
        for missing in unmet {
            let Some(job) = self.jobs.get(&*missing.job).filter(|job| !job.cancelled) else {
                continue;
            };
            let ordinary = on_demand_tasks.get(&missing.job);
            let ordinary = ordinary.map_or(0, |tasks| missing.count.min(*tasks));
            let parts = [
                (ordinary, self.operator.ordinary_price_ratio),
                (missing.count - ordinary, 0.0),
            ];
            for (count, ordinary_price_ratio) in parts.into_iter().filter(|part| part.0 > 0) {
                demands.push(Demand {
                    spec: job.spec.clone(),
                    count,
                    zones: missing.zones.clone(),
                    ordinary_price_ratio,
                });
            }
        }
        demands.extend(self.standby_capacity(now).missing);
        // What can't go on spot machines is hard to place, and first. Then what
        // on-demand ones are rented for, or those on their way for it would
        // count for others and be rented again by the next plan.
        demands.sort_by_key(|demand| (demand.spec.spot, demand.ordinary_price_ratio == 0.0));
        demands
    }

    /// Machines that are rented and can't have work yet.
    fn incoming_machines(&self, now: u64) -> Vec<IncomingMachines> {
        let mut counts: HashMap<MachineKind, u64> = HashMap::new();
        for machine in self.machines.values() {
            if self.is_booting_or_joining(machine, now) {
                let kind = MachineKind {
                    machine_type: machine.machine_type.to_string(),
                    zone: machine.zone.to_string(),
                    spot: machine.spot,
                };
                *counts.entry(kind).or_insert(0) += 1;
            }
        }
        for provisioning_request in &self.provisioning.open {
            *counts.entry(provisioning_request.kind.clone()).or_insert(0) +=
                provisioning_request.count;
        }
        let mut incoming: Vec<IncomingMachines> = counts
            .into_iter()
            .map(|(kind, count)| IncomingMachines { kind, count })
            .collect();
        incoming.sort_by_cached_key(|machines| {
            let kind = &machines.kind;
            (!kind.spot, kind.machine_type.clone(), kind.zone.clone())
        });
        incoming
    }

    fn is_booting_or_joining(&self, machine: &Machine, now: u64) -> bool {
        let heard = machine.last_status_at.is_some();
        if heard && machine.epoch >= self.term.epoch {
            return false;
        }
        if machine.termination_reason.is_some() || machine.is_dead() {
            return false;
        }
        if heard {
            // One that was heard but does not have our epoch yet comes, too.
            return machine.bound_tasks.is_empty()
                && machine.interruption_deadline.is_none()
                && machine.ineffective_answers == 0;
        }
        // One that takes far longer than usual may never come up: another is rented in its
        // stead, and the one that comes late returned.
        let machine_type = self.machine_type(&machine.machine_type);
        let late = machine_type
            .is_some_and(|t| now > machine.known_since + to_ms(OVERDUE_BOOTS * t.boot_s));
        !late
    }

    /// Jobs for spot machines that are worth an on-demand one: at the rate at which the
    /// machines that are there or on their way work off the queue, they would wait very
    /// long. With each, how many of its tasks: all together as many places as shorten the
    /// wait to what is bearable.
    fn spot_tasks_on_demand(&self, wall_ms: u64) -> HashMap<Arc<str>, u32> {
        let mut queue = SpotQueue::default();
        let jobs = self.jobs.values();
        for job in jobs.filter(|job| job.spec.spot && !job.cancelled && !job.is_waiting) {
            queue.add(job, wall_ms);
        }
        if queue.waiting.is_empty() {
            return HashMap::new();
        }
        let mean_resources = queue.resources.scaled(1.0 / queue.tasks);
        let task_slots = self.spot_task_slots(mean_resources);
        let mean_s = queue.work_s / queue.tasks;
        let longest_s = self.operator.ordinary_wait_boots * self.boot_s();
        queue.waiting.sort_by(|a, b| a.0.total_cmp(&b.0));
        let stuck = task_slots == 0.0 && self.all_spot_refused();
        let pending: f64 = queue.waiting.iter().map(|(_, tasks, _)| tasks).sum();
        let mut lacking = (pending * mean_s / longest_s - task_slots).ceil();
        let mut ahead = 0.0;
        let mut on_demand_tasks = HashMap::new();
        for (_, tasks, id) in queue.waiting {
            ahead += tasks;
            let waits_long = task_slots > 0.0 && ahead / task_slots * mean_s > longest_s;
            if lacking > 0.0 && (stuck || waits_long) {
                let count = tasks.min(lacking);
                lacking -= count;
                on_demand_tasks.insert(id, count as u32);
            }
        }
        on_demand_tasks
    }

    /// How many tasks of the usual size the spot machines hold, with those on their way,
    /// and what on-demand ones do meanwhile.
    fn spot_task_slots(&self, task: Resources) -> f64 {
        let slots_on = |machine_type: &str| {
            let machine_type = self.machine_type(machine_type);
            machine_type.map_or(0.0, |t| f64::from(cloud::capacity(t).count_of(task)))
        };
        let mut on_demand_tasks = 0;
        let mut by_type: Vec<(&str, u32)> = Vec::new();
        for machine in self.machines.values() {
            if !machine.spot {
                on_demand_tasks += machine.bound_tasks.iter().filter(|t| t.spot).count();
            } else if machine.termination_reason.is_none() && !machine.is_dead() {
                let name = &*machine.machine_type;
                match by_type.iter_mut().find(|(other, _)| *other == name) {
                    Some((_, count)) => *count += 1,
                    None => by_type.push((name, 1)),
                }
            }
        }
        let there = by_type
            .iter()
            .map(|(name, count)| slots_on(name) * f64::from(*count));
        let spot_requests = self.provisioning.open.iter().filter(|r| r.kind.spot);
        let coming = spot_requests.map(|r| slots_on(&r.kind.machine_type) * r.count as f64);
        on_demand_tasks as f64 + there.sum::<f64>() + coming.sum::<f64>()
    }

    /// Every kind of spot machine has been refused.
    fn all_spot_refused(&self) -> bool {
        self.machine_types.iter().all(|machine_type| {
            machine_type.zones.iter().all(|zone| {
                self.provisioning.has_been_sold_out(&MachineKind {
                    machine_type: machine_type.name.clone(),
                    zone: zone.clone(),
                    spot: true,
                })
            })
        })
    }
}

fn log_demands(demands: &[Demand]) {
    if !tracing::enabled!(tracing::Level::DEBUG) {
        return;
    }
    let mut tasks: BTreeMap<(&str, bool), u32> = BTreeMap::new();
    for demand in demands {
        let on_demand_tasks = demand.ordinary_price_ratio > 0.0;
        *tasks
            .entry((&demand.spec.class, on_demand_tasks))
            .or_default() += demand.count;
    }
    debug!("tasks to find machines for, by class and whether on ordinary ones: {tasks:?}");
}
