//! What to rent: from the tasks without a place to provisioning requests, by price. Pure.

use std::sync::Arc;

use crate::job::JobSpec;
use crate::plan::{is_allowed, tasks_per_zone_max, Resources, ZoneCounts};
use crate::wire::MachineType;

/// Prices for a task that differ by less are the same.
const PRICE_EPSILON: f64 = 1e-9;

/// One kind of machine that the cloud rents.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct MachineKind {
    /// The name of its type.
    pub machine_type: String,
    /// Its zone.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
}

/// Tasks of one job that need a place.
#[derive(Debug, Clone)]
pub struct Demand {
    /// What was asked for.
    pub spec: Arc<JobSpec>,
    /// How many tasks.
    pub count: u32,
    /// Where the job's other tasks are.
    pub zones: ZoneCounts,
    /// Work for spot machines may have an on-demand one that costs at most
    /// this many times as much a task; 0: none.
    pub ordinary_price_ratio: f64,
}

impl Demand {
    /// How many more of its tasks may go to a zone.
    fn allowed_in_zone(&self, zone: &str, used: &ZoneCounts) -> u32 {
        let elsewhere = |(other, count): (&Arc<str>, &u32)| *count > 0 && **other != *zone;
        if self.spec.single_zone && used.iter().any(elsewhere) {
            return 0;
        }
        let here = used.get(zone).copied().unwrap_or(0);
        tasks_per_zone_max(&self.spec).saturating_sub(here)
    }
}

/// Machines of a kind on their way.
#[derive(Debug, Clone)]
pub struct IncomingMachines {
    /// Their kind.
    pub kind: MachineKind,
    /// How many.
    pub count: u64,
}

/// What a machine of a type has.
pub fn capacity(machine_type: &MachineType) -> Resources {
    Resources {
        cpus: machine_type.cpus,
        gpus: machine_type.gpus,
        memory_gb: machine_type.memory_gb,
    }
}

/// Whether any machine of the cloud could hold one task of a job.
pub fn can_run(spec: &JobSpec, machine_types: &[MachineType]) -> bool {
    let demand = Resources::of(spec);
    machine_types.iter().any(|machine_type| {
        let allowed = |zone: &String| is_allowed(spec, &machine_type.name, zone, spec.spot);
        capacity(machine_type).fits(demand) && machine_type.zones.iter().any(allowed)
    })
}

/// Machines on their way, or to be rented now, with the same capacity left.
#[derive(Debug, Clone, Copy)]
struct MachineGroup {
    /// The index of the offer.
    offering: usize,
    free: Resources,
    count: u64,
}

/// What is decided so far.
#[derive(Clone)]
struct ScaleOutPlan {
    groups: Vec<MachineGroup>,
    /// Offerings with how many machines, in the order of the demands that they are for.
    machines: Vec<(usize, u64)>,
    total: u64,
    price: f64,
}

impl ScaleOutPlan {
    /// Machines that are on their way anyway.
    fn new(incoming: &[IncomingMachines], offerings: &[InstanceOffering]) -> ScaleOutPlan {
        let group = |machines: &IncomingMachines| {
            let offering = offerings.iter().position(|o| o.kind == machines.kind)?;
            Some(MachineGroup {
                offering,
                free: offerings[offering].capacity,
                count: machines.count,
            })
        };
        ScaleOutPlan {
            groups: incoming.iter().filter_map(group).collect(),
            machines: vec![],
            total: 0,
            price: 0.0,
        }
    }

    fn add_machines(&mut self, offering: usize, details: &InstanceOffering, count: u64) {
        self.price += details.price * count as f64;
        self.total += count;
        match self
            .machines
            .iter_mut()
            .find(|(other, _)| *other == offering)
        {
            Some((_, machines)) => *machines += count,
            None => self.machines.push((offering, count)),
        }
        self.groups.push(MachineGroup {
            offering,
            free: details.capacity,
            count,
        });
    }

    fn remove_empty_groups(&mut self) {
        self.groups.retain(|group| group.count > 0);
    }
}

/// A kind of machine that the cloud rents, with its price.
struct InstanceOffering {
    kind: MachineKind,
    capacity: Resources,
    price: f64,
    /// Sold out.
    sold_out: bool,
}

/// A demand that is being met.
struct OpenDemand<'a> {
    demand: &'a Demand,
    /// Its index.
    index: usize,
    per_task: Resources,
    /// Offerings that it may use.
    allowed: Vec<bool>,
    /// Tasks without a place.
    left: u32,
    zones: ZoneCounts,
}

impl OpenDemand<'_> {
    fn allowed_in_zone(&self, zone: &str) -> u32 {
        self.demand.allowed_in_zone(zone, &self.zones)
    }
}

struct Catalog {
    offerings: Vec<InstanceOffering>,
    /// For each demand and offer, how many tasks of this and later demands the offer
    /// could hold.
    later_tasks: Vec<Vec<u32>>,
    /// Most machines to rent.
    machines_max: u64,
}

/// Decides what to rent so that every demand has a place on what is coming, at
/// most `machines_max` machines.
pub fn plan_scale_out(
    demands: &[Demand],
    incoming: Vec<IncomingMachines>,
    machine_types: &[MachineType],
    is_sold_out: &dyn Fn(&MachineKind) -> bool,
    machines_max: u64,
) -> Vec<(MachineKind, u64)> {
    let offerings = all_offerings(machine_types, is_sold_out);
    let mut plan = ScaleOutPlan::new(&incoming, &offerings);
    let catalog = Catalog {
        later_tasks: count_later_tasks(demands, &offerings),
        offerings,
        machines_max,
    };
    let mut zones: Vec<&String> = machine_types.iter().flat_map(|t| &t.zones).collect();
    zones.sort();
    zones.dedup();
    for (index, demand) in demands.iter().enumerate() {
        let bound = demand.zones.values().any(|count| *count > 0);
        if demand.spec.single_zone && !bound {
            catalog.satisfy_in_best_zone(index, demand, &zones, &mut plan);
        } else {
            catalog.satisfy(index, demand, &demand.zones, &mut plan);
        }
    }
    let machines = plan.machines.into_iter();
    machines
        .map(|(offering, count)| (catalog.offerings[offering].kind.clone(), count))
        .collect()
}

fn all_offerings(
    machine_types: &[MachineType],
    is_sold_out: &dyn Fn(&MachineKind) -> bool,
) -> Vec<InstanceOffering> {
    let mut offerings = Vec::new();
    for machine_type in machine_types {
        for zone in &machine_type.zones {
            for spot in [true, false] {
                let kind = MachineKind {
                    machine_type: machine_type.name.clone(),
                    zone: zone.clone(),
                    spot,
                };
                offerings.push(InstanceOffering {
                    capacity: capacity(machine_type),
                    price: if spot {
                        machine_type.spot_price
                    } else {
                        machine_type.hourly_price
                    },
                    sold_out: is_sold_out(&kind),
                    kind,
                });
            }
        }
    }
    offerings
}

fn count_later_tasks(demands: &[Demand], offerings: &[InstanceOffering]) -> Vec<Vec<u32>> {
    let mut later = vec![vec![0u32; offerings.len()]; demands.len() + 1];
    for (index, demand) in demands.iter().enumerate().rev() {
        for (offering, allowed) in allowed_offerings(&demand.spec, offerings)
            .into_iter()
            .enumerate()
        {
            let own = if allowed { demand.count } else { 0 };
            later[index][offering] = later[index + 1][offering].saturating_add(own);
        }
    }
    later
}

fn allowed_offerings(spec: &JobSpec, offerings: &[InstanceOffering]) -> Vec<bool> {
    let allowed = |offering: &InstanceOffering| {
        let kind = &offering.kind;
        is_allowed(spec, &kind.machine_type, &kind.zone, kind.spot)
    };
    offerings.iter().map(allowed).collect()
}

impl Catalog {
    /// Meets a demand in the zone where the least is left over, then the cheapest.
    fn satisfy_in_best_zone(
        &self,
        index: usize,
        demand: &Demand,
        zones: &[&String],
        plan: &mut ScaleOutPlan,
    ) {
        let best = zones
            .iter()
            .map(|zone| {
                let mut attempt = plan.clone();
                let only = ZoneCounts::from([(zone.as_str().into(), 1)]);
                let left = self.satisfy(index, demand, &only, &mut attempt);
                (left, attempt)
            })
            .min_by(|a, b| a.0.cmp(&b.0).then(a.1.price.total_cmp(&b.1.price)));
        if let Some((_, attempt)) = best {
            *plan = attempt;
        }
    }

    /// Finds places for one demand on what is coming, buys for the rest, and
    /// returns how many tasks are left over.
    fn satisfy(
        &self,
        index: usize,
        demand: &Demand,
        zones: &ZoneCounts,
        plan: &mut ScaleOutPlan,
    ) -> u32 {
        let mut open = OpenDemand {
            demand,
            index,
            per_task: Resources::of(&demand.spec),
            allowed: allowed_offerings(&demand.spec, &self.offerings),
            left: demand.count,
            zones: zones.clone(),
        };
        for group in 0..plan.groups.len() {
            if open.left == 0 {
                break;
            }
            let MachineGroup {
                offering,
                free,
                count,
            } = plan.groups[group];
            if open.allowed[offering] && count > 0 && free.fits(open.per_task) {
                self.use_group(group, &mut open, plan);
            }
        }
        plan.remove_empty_groups();
        while open.left > 0 && plan.total < self.machines_max {
            let Some(offering) = self.cheapest(&open) else {
                break;
            };
            let details = &self.offerings[offering];
            let each = details.capacity.count_of(open.per_task).max(1);
            let tasks = open.left.min(open.allowed_in_zone(&details.kind.zone));
            let most = self.machines_max - plan.total;
            let count = u64::from(tasks / each).clamp(1, most);
            plan.add_machines(offering, details, count);
            self.use_group(plan.groups.len() - 1, &mut open, plan);
            plan.remove_empty_groups();
        }
        open.left
    }

    /// Puts tasks on the machines of a group; those used in part or in full
    /// become groups of their own.
    fn use_group(&self, index: usize, open: &mut OpenDemand, plan: &mut ScaleOutPlan) {
        let group = plan.groups[index];
        let zone = &self.offerings[group.offering].kind.zone;
        let each = group.free.count_of(open.per_task);
        let most = open.left.min(open.allowed_in_zone(zone));
        if each == 0 || most == 0 {
            return;
        }
        let full = group.count.min(u64::from(most / each));
        let rest = if full < group.count { most % each } else { 0 };
        let parts = [(full, each), (u64::from(rest > 0), rest)];
        for (count, tasks) in parts.into_iter().filter(|part| part.0 > 0) {
            let mut free = group.free;
            for _ in 0..tasks {
                free.sub(open.per_task);
            }
            plan.groups[index].count -= count;
            plan.groups.push(MachineGroup {
                offering: group.offering,
                free,
                count,
            });
        }
        let placed = full as u32 * each + rest;
        open.left -= placed;
        *open.zones.entry(zone.as_str().into()).or_insert(0) += placed;
    }

    /// The offer with the lowest price for each task that would go on it.
    fn cheapest(&self, open: &OpenDemand) -> Option<usize> {
        let price_per_task = |offering: &InstanceOffering| {
            offering.price / f64::from(offering.capacity.count_of(open.per_task))
        };
        let spot_price = self
            .offerings
            .iter()
            .filter(|offering| offering.kind.spot)
            .map(price_per_task)
            .fold(f64::INFINITY, f64::min);
        let price_max = open.demand.ordinary_price_ratio * spot_price;
        let mut best: Option<(f64, usize)> = None;
        for (index, offering) in self.offerings.iter().enumerate() {
            let fitting = offering.capacity.count_of(open.per_task);
            let on_demand_for_spot = open.demand.spec.spot && !offering.kind.spot;
            if fitting == 0
                || !open.allowed[index]
                || offering.sold_out
                || open.allowed_in_zone(&offering.kind.zone) == 0
                || (on_demand_for_spot && price_per_task(offering) > price_max)
            {
                continue;
            }
            // What later jobs could still put on it counts.
            let later = self.later_tasks[open.index + 1][index];
            let tasks = fitting.min(open.left.saturating_add(later)).max(1);
            let price = offering.price / f64::from(tasks);
            if best.is_none_or(|(lowest, _)| price < lowest - PRICE_EPSILON) {
                best = Some((price, index));
            }
        }
        best.map(|(_, index)| index)
    }
}
