//! Machines grouped by kind.

use std::sync::Arc;

use crate::job::JobSpec;
use crate::plan::resources::Resources;
use crate::plan::snapshot::{is_kind_allowed, MachineView};

/// The kinds of the machines: type, zone, spot or on-demand, and total capacity.
///
/// Whether a job may use a machine depends only on the kind, except for avoided machines.
pub(in crate::plan) struct MachineKinds {
    /// The index of one machine of each kind.
    representatives: Vec<usize>,
    /// The total capacity of a machine of each kind.
    totals: Vec<Resources>,
    /// The kind of each machine.
    kind_of: Vec<usize>,
}

impl MachineKinds {
    /// Groups machines by kind.
    pub(crate) fn new(machines: &[Arc<MachineView>]) -> MachineKinds {
        let mut representatives: Vec<usize> = Vec::new();
        let mut kind_of = Vec::with_capacity(machines.len());
        for (index, machine) in machines.iter().enumerate() {
            let mut known = representatives.iter();
            let kind = known.position(|other| is_same_kind(&machines[*other], machine));
            kind_of.push(kind.unwrap_or_else(|| {
                representatives.push(index);
                representatives.len() - 1
            }));
        }
        let totals = representatives.iter().map(|kind| machines[*kind].total);
        MachineKinds {
            totals: totals.collect(),
            representatives,
            kind_of,
        }
    }

    /// The kind of a machine.
    pub(crate) fn of(&self, machine: usize) -> usize {
        self.kind_of[machine]
    }

    /// The index of one machine of each kind.
    pub(crate) fn representatives(&self) -> &[usize] {
        &self.representatives
    }

    /// The total capacity of a machine of each kind.
    pub(crate) fn totals(&self) -> &[Resources] {
        &self.totals
    }

    /// For each kind, whether a job may use its machines; if `zone` is given, only there.
    pub(crate) fn allowed_for(
        &self,
        spec: &JobSpec,
        zone: Option<&str>,
        machines: &[Arc<MachineView>],
    ) -> Vec<bool> {
        let allowed = |representative: &usize| {
            let view = &machines[*representative];
            is_kind_allowed(spec, &view.machine_type, &view.zone, view.spot)
                && zone.is_none_or(|zone| *zone == *view.zone)
        };
        self.representatives.iter().map(allowed).collect()
    }
}

fn is_same_kind(one: &MachineView, other: &MachineView) -> bool {
    // Equal names mostly share one allocation, so comparing the pointers first is fast.
    let same = |a: &Arc<str>, b: &Arc<str>| Arc::ptr_eq(a, b) || a == b;
    one.spot == other.spot
        && one.total == other.total
        && same(&one.machine_type, &other.machine_type)
        && same(&one.zone, &other.zone)
}
