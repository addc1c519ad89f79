//! Machines by their free capacity, so that a search examines those that it uses and few others.

use std::collections::btree_set::Range;
use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::plan::ranked_machine::{Rank, RankedMachine};
use crate::plan::resources::{Resources, EPSILON};

/// The number of levels that CPUs and memory are divided into: a machine that lacks one and
/// has much of the other is not examined without result.
const LEVELS: f64 = 8.0;

/// The key of machines of one kind with about as much free capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct CapacityBucket {
    kind: usize,
    /// Whole GPUs.
    gpus: u32,
    cpu_level: u32,
    memory_level: u32,
}

impl CapacityBucket {
    fn new(kind: usize, total: Resources, free: Resources) -> CapacityBucket {
        let level = |free: f64, total: f64| {
            let share = if total > EPSILON { free / total } else { 0.0 };
            (share * LEVELS).max(0.0) as u32
        };
        CapacityBucket {
            kind,
            gpus: free.gpus.max(0.0) as u32,
            cpu_level: level(free.cpus, total.cpus),
            memory_level: level(free.memory_gb, total.memory_gb),
        }
    }

    /// Whether its machines may have capacity for a demand that would just fit into `least`.
    fn may_hold(&self, least: &CapacityBucket) -> bool {
        self.kind == least.kind
            && self.gpus >= least.gpus
            && self.cpu_level >= least.cpu_level
            && self.memory_level >= least.memory_level
    }
}

/// Where a machine is in the index.
#[derive(Debug, Clone, Copy, PartialEq)]
struct IndexPosition {
    bucket: CapacityBucket,
    entry: RankedMachine,
}

/// Machines by kind and free capacity, and within a bucket by the share that is free.
///
/// For machines of one kind what is left after a task grows with the share that is free, so
/// the cheapest placement in a bucket is on its first machine that fits.
#[derive(Debug, Default)]
pub(in crate::plan) struct CapacityIndex {
    buckets: BTreeMap<CapacityBucket, BTreeSet<RankedMachine>>,
    positions: HashMap<usize, IndexPosition>,
}

impl CapacityIndex {
    /// Sets the free capacity of a machine; `None` removes it from the index.
    pub(crate) fn set(
        &mut self,
        machine: usize,
        kind: usize,
        total: Resources,
        free: Option<Resources>,
    ) {
        let position = free.map(|free| IndexPosition {
            bucket: CapacityBucket::new(kind, total, free),
            entry: RankedMachine {
                rank: share_rank(free, total),
                machine,
            },
        });
        let known = match position {
            Some(position) => self.positions.insert(machine, position),
            None => self.positions.remove(&machine),
        };
        if known == position {
            return;
        }
        if let Some(known) = known {
            self.remove(known);
        }
        if let Some(IndexPosition { bucket, entry }) = position {
            self.buckets.entry(bucket).or_default().insert(entry);
        }
    }

    fn remove(&mut self, position: IndexPosition) {
        let Some(entries) = self.buckets.get_mut(&position.bucket) else {
            return;
        };
        entries.remove(&position.entry);
        if entries.is_empty() {
            self.buckets.remove(&position.bucket);
        }
    }

    /// Whether no machine has capacity.
    pub(crate) fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    /// The machines that may have capacity for `demand`, one iterator for each bucket of the
    /// allowed kinds, the least capacity first. `totals`: what a machine of each kind has.
    pub(crate) fn buckets_for(
        &self,
        demand: Resources,
        kind_allowed: &[bool],
        totals: &[Resources],
    ) -> Vec<BucketIter<'_>> {
        let least = just_below(demand);
        let mut found = Vec::new();
        for (kind, total) in totals
            .iter()
            .enumerate()
            .filter(|(kind, _)| kind_allowed[*kind])
        {
            let least_bucket = CapacityBucket::new(kind, *total, least);
            let least_entry = RankedMachine {
                rank: share_rank(least, *total),
                machine: 0,
            };
            let same_kind = self.buckets.range(least_bucket..);
            let same_kind = same_kind.take_while(|(bucket, _)| bucket.kind == kind);
            let possible = same_kind.filter(|(bucket, _)| bucket.may_hold(&least_bucket));
            let ranges = possible.map(|(_, entries)| entries.range(least_entry..));
            found.extend(ranges.map(BucketIter));
        }
        found
    }
}

/// The machines of a bucket, the least capacity first.
pub(in crate::plan) struct BucketIter<'a>(Range<'a, RankedMachine>);

impl Iterator for BucketIter<'_> {
    type Item = usize;

    fn next(&mut self) -> Option<usize> {
        self.0.next().map(|entry| entry.machine)
    }
}

/// The least capacity that still fits a demand, given rounding.
fn just_below(demand: Resources) -> Resources {
    Resources {
        cpus: demand.cpus - EPSILON,
        gpus: demand.gpus - EPSILON,
        memory_gb: demand.memory_gb - EPSILON,
    }
}

fn share_rank(part: Resources, total: Resources) -> Rank {
    Rank::new(part.share_of(total))
}
