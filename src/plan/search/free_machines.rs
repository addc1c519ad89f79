//! Machines with free capacity, the cheapest first.

use std::collections::BinaryHeap;

use super::candidate::{Candidate, Origin};
use super::progress::SearchProgress;
use super::request::SearchMode;
use super::scope::SearchScope;
use crate::plan::indexes::{BucketIter, CapacityIndex};
use crate::plan::resources::Resources;

/// Machines of one index bucket, ordered by the cost of a placement.
struct Source<'a> {
    machines: BucketIter<'a>,
    /// Whether all machines have the image. If false, the costs include a fetch, and machines
    /// with the image are skipped as duplicates.
    has_image: bool,
}

/// Merges the buckets of the capacity indexes lazily: the heap holds the next machine of each
/// source and the machines that were examined individually.
pub(super) struct FreeMachines<'s, 'a> {
    scope: &'s SearchScope<'a>,
    sources: Vec<Source<'a>>,
    heap: BinaryHeap<Candidate>,
}

impl<'s, 'a> FreeMachines<'s, 'a> {
    /// The machines in a scope with capacity for a task.
    pub(super) fn new(scope: &'s SearchScope<'a>) -> FreeMachines<'s, 'a> {
        let mut free = FreeMachines {
            scope,
            sources: sources(scope),
            heap: BinaryHeap::new(),
        };
        for source in 0..free.sources.len() {
            free.advance(source);
        }
        free.push_machines_with_extra_capacity();
        free
    }

    /// Adds the machines whose free capacity for the job exceeds what the indexes count.
    fn push_machines_with_extra_capacity(&mut self) {
        let scope = self.scope;
        for machine in scope.machines_with_extra_capacity.iter().copied() {
            let is_tried = scope.mode != SearchMode::Cached || scope.has_image(machine);
            if !is_tried || !scope.is_machine_allowed(machine) {
                continue;
            }
            let free = scope.free_for(machine);
            if free.fits(scope.demand) {
                self.push(machine, free, scope.has_image(machine));
            }
        }
    }

    /// Adds back a machine that was just assigned a task, with its remaining capacity. Further
    /// tasks cost no fetch, as the first one fetches the image.
    pub(super) fn push_assigned(&mut self, machine: usize, free: Resources) {
        self.push(machine, free, true);
    }

    fn push(&mut self, machine: usize, free: Resources, has_image: bool) {
        self.heap.push(Candidate {
            cost_s: self.scope.placement_cost_s(machine, free, has_image),
            machine,
            free,
            victims: vec![],
            origin: Origin::Examined,
        });
    }

    /// Moves the next machine with enough capacity from a source to the heap.
    fn advance(&mut self, index: usize) {
        let scope = self.scope;
        let source = &mut self.sources[index];
        for machine in &mut source.machines {
            scope.fleet.count_examined_machine();
            let free = scope.free_for(machine);
            if !free.fits(scope.demand)
                || scope.is_avoided(machine)
                || scope.machines_with_extra_capacity.contains(&machine)
            {
                continue;
            }
            self.heap.push(Candidate {
                cost_s: scope.placement_cost_s(machine, free, source.has_image),
                machine,
                free,
                victims: vec![],
                origin: Origin::Source(index),
            });
            return;
        }
    }

    /// Returns the cheapest machine with capacity for one more task.
    pub(super) fn next(&mut self, progress: &SearchProgress) -> Option<Candidate> {
        while let Some(candidate) = self.heap.pop() {
            let machine = candidate.machine;
            let mut has_image = true;
            if let Origin::Source(source) = candidate.origin {
                has_image = self.sources[source].has_image;
                self.advance(source);
            }
            // Machines with the image are in the sources of both indexes; the copy from the index
            // of all machines is dropped.
            let is_duplicate = !has_image && self.scope.has_image(machine);
            if !is_duplicate
                && progress.is_current(&candidate)
                && progress.zone_has_capacity(&self.scope.fleet.machine(machine).zone)
            {
                return Some(candidate);
            }
        }
        None
    }
}

/// The buckets of the machines with the image and, unless only these are allowed, of all
/// machines.
fn sources<'a>(scope: &SearchScope<'a>) -> Vec<Source<'a>> {
    let buckets = |index: &'a CapacityIndex, has_image| {
        let buckets = scope.buckets(index).into_iter();
        buckets.map(move |machines| Source {
            machines,
            has_image,
        })
    };
    let with_image = scope.indexes.with_image(&scope.job.spec.image).into_iter();
    let mut sources: Vec<Source> = with_image.flat_map(|index| buckets(index, true)).collect();
    if scope.mode != SearchMode::Cached {
        sources.extend(buckets(scope.indexes.all(), false));
    }
    sources
}
