//! Which machines are provisioned for unmet demand.

use std::collections::{BTreeMap, HashMap};

use tracing::debug;

use super::snapshots::PlanTime;
use super::{to_ms, Scheduler};
use crate::cloud::{self, Demand, IncomingMachines, MachineKind, MachinesToRent};
use crate::epoch::Epoch;
use crate::machine::Machine;
use crate::plan::UnmetDemand;

/// At most how many machines one request may rent.
const PROVISION_BATCH_MAX: u64 = 50;
/// Boot times after which a booting machine no longer counts as incoming.
const OVERDUE_BOOTS: f64 = 1.6;

impl Scheduler {
    /// Provisions machines for unmet demand, with at most `calls` requests. Demand beyond them
    /// is not kept: the next plan computes it anew.
    pub(super) fn scale_out(&mut self, unmet: &[UnmetDemand], calls: usize, time: PlanTime) {
        if calls == 0 || !self.is_settled(time.now) || !self.has_machine_list {
            return;
        }
        let demands = self.demands(unmet, time);
        if demands.is_empty() {
            return;
        }
        log_demands(&demands);
        let scale_out = self.plan_scale_out(&demands, time.now);
        self.add_provisioning_requests(scale_out, calls, time.now);
        self.send_provisioning_requests(time.now);
    }

    /// Whether the machines that an earlier leader rented last are on the cloud's list by now:
    /// before that they would be rented again.
    fn is_settled(&self, now: u64) -> bool {
        let lag_ms = to_ms(self.cluster.cloud.list_lag_s);
        self.term.epoch <= Epoch::FIRST || now >= self.began_at + lag_ms
    }

    fn plan_scale_out(&self, demands: &[Demand], now: u64) -> Vec<MachinesToRent> {
        let is_sold_out = |kind: &MachineKind| self.provisioning.is_sold_out(kind, now);
        // As many as the calls of a second may rent.
        let machines_max = PROVISION_BATCH_MAX * (self.cluster.cloud.rps as u64).max(1);
        cloud::plan_scale_out(
            demands,
            &self.incoming_machines(now),
            self.catalog.machine_types(),
            &is_sold_out,
            machines_max,
        )
    }

    /// Adds the requests that rent these machines, at most `calls`.
    fn add_provisioning_requests(
        &mut self,
        scale_out: Vec<MachinesToRent>,
        calls: usize,
        now: u64,
    ) {
        let prefix = format!("{}-{}", self.term.member, self.term.epoch);
        let mut calls_left = calls;
        for MachinesToRent { kind, mut count } in scale_out {
            while count > 0 && calls_left > 0 {
                calls_left -= 1;
                let batch = count.min(PROVISION_BATCH_MAX);
                count -= batch;
                self.provisioning.add(&prefix, kind.clone(), batch, now);
            }
        }
    }

    /// The demand for machines, the hardest to place first.
    fn demands(&self, unmet: &[UnmetDemand], time: PlanTime) -> Vec<Demand> {
        let mut demands = Vec::new();
        let on_demand_tasks = self.spot_tasks_on_demand(time.wall_ms);
        for unmet in unmet {
            let Some(job) = self.jobs.get(&*unmet.job).filter(|job| !job.cancelled) else {
                continue;
            };
            let on_demand = on_demand_tasks.get(&unmet.job);
            let on_demand = on_demand.map_or(0, |tasks| unmet.count.min(*tasks));
            let parts = [
                (on_demand, self.operator.ordinary_price_ratio),
                (unmet.count - on_demand, 0.0),
            ];
            for (count, on_demand_price_ratio) in parts.into_iter().filter(|part| part.0 > 0) {
                demands.push(Demand {
                    spec: job.spec.clone(),
                    count,
                    zones: unmet.zones.clone(),
                    on_demand_price_ratio,
                });
            }
        }
        demands.extend(self.standby_capacity(time.now).unmet);
        // Tasks that cannot use spot machines are hard to place, and first. Then those for
        // which on-demand machines are rented: otherwise such machines on their way would count
        // for other tasks and be rented again by the next plan.
        demands.sort_by_key(|demand| (demand.spec.spot, demand.on_demand_price_ratio == 0.0));
        demands
    }

    /// Machines that are rented and cannot have tasks yet.
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
        for request in self.provisioning.open() {
            *counts.entry(request.kind.clone()).or_insert(0) += request.count;
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
        let was_heard = machine.last_status_at.is_some();
        if was_heard && machine.epoch >= self.term.epoch {
            return false;
        }
        if machine.termination_reason.is_some() || machine.is_dead() {
            return false;
        }
        if was_heard {
            // One that was heard but does not have our epoch yet is joining.
            return machine.bound_tasks.is_empty()
                && machine.interruption_deadline.is_none()
                && machine.ineffective_answers == 0;
        }
        // One that takes far longer than usual may never come up: another is rented instead,
        // and the one that comes up late terminated.
        let machine_type = self.catalog.machine_type(&machine.machine_type);
        let is_late = machine_type.is_some_and(|machine_type| {
            now > machine.known_since + to_ms(OVERDUE_BOOTS * machine_type.boot_s)
        });
        !is_late
    }
}

fn log_demands(demands: &[Demand]) {
    if !tracing::enabled!(tracing::Level::DEBUG) {
        return;
    }
    let mut tasks: BTreeMap<(&str, bool), u32> = BTreeMap::new();
    for demand in demands {
        let is_on_demand = demand.on_demand_price_ratio > 0.0;
        let key = (demand.spec.class.as_str(), is_on_demand);
        *tasks.entry(key).or_default() += demand.count;
    }
    debug!(?tasks, "demand by class and whether for on-demand machines");
}
