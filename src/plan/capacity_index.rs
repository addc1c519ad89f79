//! Machines by the capacity that they have, so that a search looks at those that it takes and
//! not at all.

use std::collections::btree_set::Range;
use std::collections::{BTreeMap, BTreeSet, HashMap};

use super::resources::{Resources, EPSILON};

/// CPUs and memory are divided into so many levels: a machine that lacks one and has much of
/// the other is not looked at in vain.
const LEVELS: f64 = 8.0;

/// Machines of one kind with about as much capacity.
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

    /// Whether its machines may have capacity for what would just fit into those of another.
    fn may_hold(&self, least: &CapacityBucket) -> bool {
        self.kind == least.kind
            && self.gpus >= least.gpus
            && self.cpu_level >= least.cpu_level
            && self.memory_level >= least.memory_level
    }
}

/// A machine's place on its shelf: the least capacity first. The share is not negative, so its
/// bits are in the order of its value.
type Entry = (u64, usize);

/// Machines by kind, free GPUs and the share of them that is free.
///
/// For machines of one kind what is left after a task grows with the share that is free,
/// so the cheapest place of a shelf is its first that fits.
#[derive(Debug, Clone, Default)]
pub(super) struct CapacityIndex {
    buckets: BTreeMap<CapacityBucket, BTreeSet<Entry>>,
    entries: HashMap<usize, (CapacityBucket, Entry)>,
}

impl CapacityIndex {
    /// Notes the free capacity of a machine; `None` takes it out.
    pub fn set(&mut self, machine: usize, kind: usize, total: Resources, free: Option<Resources>) {
        let place = free.map(|free| {
            let bucket = CapacityBucket::new(kind, total, free);
            (bucket, (share_bits(free, total), machine))
        });
        let known = match place {
            Some(place) => self.entries.insert(machine, place),
            None => self.entries.remove(&machine),
        };
        if known == place {
            return;
        }
        if let Some((bucket, entry)) = known {
            if let Some(entries) = self.buckets.get_mut(&bucket) {
                entries.remove(&entry);
                if entries.is_empty() {
                    self.buckets.remove(&bucket);
                }
            }
        }
        if let Some((bucket, entry)) = place {
            self.buckets.entry(bucket).or_default().insert(entry);
        }
    }

    /// Whether no machine has capacity.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The machines that may have capacity for `demand`, one iterator for each shelf of the
    /// allowed kinds, the least capacity first. `totals`: what a machine of each kind has.
    pub fn buckets_for(
        &self,
        demand: Resources,
        kind_allowed: &[bool],
        totals: &[Resources],
    ) -> Vec<BucketIter<'_>> {
        let mut least = demand;
        least.cpus -= EPSILON;
        least.gpus -= EPSILON;
        least.memory_gb -= EPSILON;
        let mut found = Vec::new();
        for (kind, total) in totals
            .iter()
            .enumerate()
            .filter(|(kind, _)| kind_allowed[*kind])
        {
            let least_bucket = CapacityBucket::new(kind, *total, least);
            let least_share = share_bits(least, *total);
            let same_kind = self.buckets.range(least_bucket..);
            let same_kind = same_kind.take_while(|(bucket, _)| bucket.kind == kind);
            let possible = same_kind.filter(|(bucket, _)| bucket.may_hold(&least_bucket));
            let ranges = possible.map(|(_, entries)| entries.range((least_share, 0)..));
            found.extend(ranges.map(BucketIter));
        }
        found
    }
}

/// The machines of a shelf, the least capacity first.
pub(super) struct BucketIter<'a>(Range<'a, Entry>);

impl Iterator for BucketIter<'_> {
    type Item = usize;

    fn next(&mut self) -> Option<usize> {
        self.0.next().map(|(_, machine)| *machine)
    }
}

fn share_bits(part: Resources, total: Resources) -> u64 {
    part.share_of(total).max(0.0).to_bits()
}
