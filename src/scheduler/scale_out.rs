//! Scale-out: provisions machines for unmet demand.

use std::collections::{BTreeMap, HashMap};

use tracing::debug;

use super::snapshots::PlanTime;
use super::{to_ms, Scheduler};
use crate::cloud::{self, Demand, IncomingMachines, MachineKind, MachinesToRent};
use crate::epoch::Epoch;
use crate::machine::Machine;
use crate::plan::UnmetDemand;

/// The highest number of machines in one provisioning request.
const PROVISION_BATCH_MAX: u64 = 50;
/// Boot times after which a machine that is still booting no longer counts as incoming.
const LATE_BOOT_MULTIPLIER: f64 = 1.6;

impl Scheduler {
    /// Provisions machines for unmet demand with at most `requests_max` requests. Demand beyond
    /// that is not stored; the next plan computes it again.
    pub(super) fn scale_out(&mut self, unmet: &[UnmetDemand], requests_max: usize, time: PlanTime) {
        if requests_max == 0 || !self.has_list_caught_up(time.now) || !self.has_machine_list {
            return;
        }
        let demands = self.demands(unmet, time);
        if demands.is_empty() {
            return;
        }
        log_demands(&demands);
        let scale_out = self.plan_scale_out(&demands, time.now);
        self.add_provisioning_requests(scale_out, requests_max, time.now);
        self.send_provisioning_requests(time.now);
    }

    /// Whether the cloud's list, which lags, shows the latest machines that the previous leader
    /// rented. Provisioning before that would rent them a second time.
    fn has_list_caught_up(&self, now: u64) -> bool {
        let lag_ms = to_ms(self.cluster.cloud.list_lag_s);
        self.term.epoch <= Epoch::FIRST || now >= self.began_at + lag_ms
    }

    fn plan_scale_out(&self, demands: &[Demand], now: u64) -> Vec<MachinesToRent> {
        let is_sold_out = |kind: &MachineKind| self.provisioning.is_sold_out(kind, now);
        // As many as one second's requests may rent at the cloud's rate limit.
        let machines_max = PROVISION_BATCH_MAX * (self.cluster.cloud.rps as u64).max(1);
        cloud::plan_scale_out(
            demands,
            &self.incoming_machines(now),
            self.catalog.machine_types(),
            &is_sold_out,
            machines_max,
        )
    }

    /// Adds at most `requests_max` provisioning requests for these machines.
    fn add_provisioning_requests(
        &mut self,
        scale_out: Vec<MachinesToRent>,
        requests_max: usize,
        now: u64,
    ) {
        let prefix = format!("{}-{}", self.term.member, self.term.epoch);
        let mut requests_left = requests_max;
        for MachinesToRent { kind, mut count } in scale_out {
            while count > 0 && requests_left > 0 {
                requests_left -= 1;
                let batch = count.min(PROVISION_BATCH_MAX);
                count -= batch;
                self.provisioning.add(&prefix, kind.clone(), batch, now);
            }
        }
    }

    /// The demand for machines, hardest to satisfy first.
    fn demands(&self, unmet: &[UnmetDemand], time: PlanTime) -> Vec<Demand> {
        let mut demands = Vec::new();
        let on_demand_tasks = self.spot_tasks_on_demand(time);
        for unmet in unmet {
            let Some(job) = self.jobs.get(&*unmet.job).filter(|job| !job.cancelled) else {
                continue;
            };
            let share = on_demand_tasks.get(&unmet.job);
            let on_demand = share.map_or(0, |share| unmet.count.min(share.tasks));
            let price_ratio = share.map_or(0.0, |share| share.price_ratio);
            let parts = [(on_demand, price_ratio), (unmet.count - on_demand, 0.0)];
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
        // Demand that cannot use spot machines comes first, as it is hardest to satisfy. Next is
        // spot demand that may use on-demand machines: otherwise incoming on-demand machines would
        // be counted towards other tasks, and the next plan would rent them again.
        demands.sort_by_key(|demand| (demand.spec.spot, demand.on_demand_price_ratio == 0.0));
        demands
    }

    /// Machines that are requested or rented but cannot run tasks yet.
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
        let has_reported = machine.last_status_at.is_some();
        if has_reported && machine.epoch >= self.term.epoch {
            return false;
        }
        if machine.termination_reason.is_some() || machine.has_stopped() {
            return false;
        }
        if has_reported {
            // It has sent a status but not yet with this leader's epoch, so it is still joining.
            return machine.bound_tasks.is_empty()
                && machine.interruption_deadline.is_none()
                && machine.ineffective_responses == 0;
        }
        // A machine that takes far longer than usual may never boot. A replacement is rented, and
        // if the late machine does boot, it is terminated once idle.
        let machine_type = self.catalog.machine_type(&machine.machine_type);
        let is_late = machine_type.is_some_and(|machine_type| {
            now > machine.first_seen_at + to_ms(LATE_BOOT_MULTIPLIER * machine_type.boot_s)
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
    debug!(
        ?tasks,
        "unmet demand: tasks by job class and on-demand eligibility"
    );
}
