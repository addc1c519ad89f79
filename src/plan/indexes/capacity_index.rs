//! An index of machines by free capacity, so that a search examines few machines that it
//! does not use.

use std::collections::btree_set::Range;
use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::plan::ranked_machine::{Rank, RankedMachine};
use crate::plan::resources::{Resources, EPSILON};

/// The number of levels that free CPUs and free memory are divided into, so that machines with
/// much of one but too little of the other are skipped without being examined.
const CAPACITY_LEVELS: f64 = 8.0;

/// The key of machines of one kind with similar free capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct CapacityBucket {
    kind: usize,
    /// The number of whole free GPUs.
    gpus: u32,
    cpu_level: u32,
    memory_level: u32,
}

impl CapacityBucket {
    fn new(kind: usize, total: Resources, free: Resources) -> CapacityBucket {
        let level = |free: f64, total: f64| {
            let share = if total > EPSILON { free / total } else { 0.0 };
            (share * CAPACITY_LEVELS).max(0.0) as u32
        };
        CapacityBucket {
            kind,
            gpus: free.gpus.max(0.0) as u32,
            cpu_level: level(free.cpus, total.cpus),
            memory_level: level(free.memory_gb, total.memory_gb),
        }
    }

    /// Whether machines in this bucket may have capacity for a demand whose own bucket is `least`.
    fn may_hold(&self, least: &CapacityBucket) -> bool {
        self.kind == least.kind
            && self.gpus >= least.gpus
            && self.cpu_level >= least.cpu_level
            && self.memory_level >= least.memory_level
    }
}

/// The position of a machine in the index.
#[derive(Debug, Clone, Copy, PartialEq)]
struct IndexPosition {
    bucket: CapacityBucket,
    entry: RankedMachine,
}

/// Machines by kind and free capacity, ordered within a bucket by the share of free capacity.
///
/// For machines of one kind the capacity left over by a task grows with the free share, so the
/// cheapest placement in a bucket is on the first machine with enough capacity.
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
        let previous = match position {
            Some(position) => self.positions.insert(machine, position),
            None => self.positions.remove(&machine),
        };
        if previous == position {
            return;
        }
        if let Some(previous) = previous {
            self.remove(previous);
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

    /// Whether the index contains no machine.
    pub(crate) fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    /// Returns the machines that may have capacity for `demand`: one iterator for each bucket of
    /// the allowed kinds, the lowest free share first. `totals`: the total capacity of a machine
    /// of each kind.
    pub(crate) fn buckets_for(
        &self,
        demand: Resources,
        kind_allowed: &[bool],
        totals: &[Resources],
    ) -> Vec<BucketIter<'_>> {
        let least = with_rounding_tolerance(demand);
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

/// The machines of a bucket, the lowest free share first.
pub(in crate::plan) struct BucketIter<'a>(Range<'a, RankedMachine>);

impl Iterator for BucketIter<'_> {
    type Item = usize;

    fn next(&mut self) -> Option<usize> {
        self.0.next().map(|entry| entry.machine)
    }
}

/// Returns the least capacity that still fits a demand within the rounding tolerance.
fn with_rounding_tolerance(demand: Resources) -> Resources {
    Resources {
        cpus: demand.cpus - EPSILON,
        gpus: demand.gpus - EPSILON,
        memory_gb: demand.memory_gb - EPSILON,
    }
}

fn share_rank(part: Resources, total: Resources) -> Rank {
    Rank::new(part.share_of(total))
}
