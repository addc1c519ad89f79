//! Machines by the room that they have, so that a search looks at those that it takes and
//! not at all.

use std::collections::btree_set::Range;
use std::collections::{BTreeMap, BTreeSet, HashMap};

use super::resources::{Resources, EPSILON};

/// Machines of one kind with as many whole GPUs free.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Shelf {
    kind: usize,
    gpus: u32,
}

/// A machine's place on its shelf: the least room first. The share is not negative, so its
/// bits are in the order of its value.
type Entry = (u64, usize);

/// Machines by kind, free GPUs and the share of them that is free.
///
/// For machines of one kind what is left after a task grows with the share that is free,
/// so the cheapest place of a shelf is its first that fits.
#[derive(Debug, Clone, Default)]
pub(super) struct RoomIndex {
    shelves: BTreeMap<Shelf, BTreeSet<Entry>>,
    entries: HashMap<usize, (Shelf, Entry)>,
}

impl RoomIndex {
    /// Notes the free room of a machine; `None` takes it out.
    pub fn set(&mut self, machine: usize, kind: usize, total: Resources, free: Option<Resources>) {
        let place = free.map(|free| {
            let shelf = Shelf {
                kind,
                gpus: (free.gpus + EPSILON).max(0.0) as u32,
            };
            (shelf, (share_bits(free, total), machine))
        });
        let known = match place {
            Some(place) => self.entries.insert(machine, place),
            None => self.entries.remove(&machine),
        };
        if known == place {
            return;
        }
        if let Some((shelf, entry)) = known {
            if let Some(entries) = self.shelves.get_mut(&shelf) {
                entries.remove(&entry);
                if entries.is_empty() {
                    self.shelves.remove(&shelf);
                }
            }
        }
        if let Some((shelf, entry)) = place {
            self.shelves.entry(shelf).or_default().insert(entry);
        }
    }

    /// Whether no machine has room.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The machines that may have room for `demand`, one iterator for each shelf of the
    /// allowed kinds, the least room first. `totals`: what a machine of each kind has.
    pub fn shelves_for(
        &self,
        demand: Resources,
        kind_allowed: &[bool],
        totals: &[Resources],
    ) -> Vec<ShelfIter<'_>> {
        let gpus_min = demand.gpus as u32;
        let shelves = self.shelves.iter();
        let possible =
            shelves.filter(|(shelf, _)| shelf.gpus >= gpus_min && kind_allowed[shelf.kind]);
        let iter = possible.map(|(shelf, entries)| {
            let mut least = demand;
            least.cpus -= EPSILON;
            least.gpus -= EPSILON;
            least.memory_gb -= EPSILON;
            ShelfIter(entries.range((share_bits(least, totals[shelf.kind]), 0)..))
        });
        iter.collect()
    }
}

/// The machines of a shelf, the least room first.
pub(super) struct ShelfIter<'a>(Range<'a, Entry>);

impl Iterator for ShelfIter<'_> {
    type Item = usize;

    fn next(&mut self) -> Option<usize> {
        self.0.next().map(|(_, machine)| *machine)
    }
}

fn share_bits(part: Resources, total: Resources) -> u64 {
    part.share_of(total).max(0.0).to_bits()
}
