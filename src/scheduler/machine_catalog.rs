//! The machine types that the cloud offers.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::cloud::MachineKind;
use crate::plan::estimated_fetch_s;
use crate::wire::MachineType;

/// The cloud's machine types, with their names and zones interned.
#[derive(Debug)]
pub(super) struct MachineCatalog {
    machine_types: Arc<Vec<MachineType>>,
    interned_names: Vec<Arc<str>>,
}

impl MachineCatalog {
    pub(super) fn new(machine_types: Arc<Vec<MachineType>>) -> MachineCatalog {
        MachineCatalog {
            interned_names: interned_names(&machine_types),
            machine_types,
        }
    }

    /// Whether the cloud's machine types have not been read yet.
    pub(super) fn is_empty(&self) -> bool {
        self.machine_types.is_empty()
    }

    pub(super) fn machine_types(&self) -> &[MachineType] {
        &self.machine_types
    }

    pub(super) fn machine_type(&self, name: &str) -> Option<&MachineType> {
        self.machine_types
            .iter()
            .find(|machine_type| machine_type.name == name)
    }

    /// Every kind of spot machine that may be provisioned.
    pub(super) fn spot_kinds(&self) -> impl Iterator<Item = MachineKind> + '_ {
        self.machine_types.iter().flat_map(|machine_type| {
            machine_type.zones.iter().map(|zone| MachineKind {
                machine_type: machine_type.name.clone(),
                zone: zone.clone(),
                spot: true,
            })
        })
    }

    /// The longest nominal boot time of all machine types, at least 1 s.
    pub(super) fn longest_boot_s(&self) -> f64 {
        self.machine_types
            .iter()
            .map(|machine_type| machine_type.boot_s)
            .fold(1.0, f64::max)
    }

    /// The longest nominal time of all machine types to fetch an image.
    pub(super) fn longest_fetch_s(&self, image_gb: f64) -> f64 {
        self.machine_types
            .iter()
            .map(|machine_type| estimated_fetch_s(image_gb, machine_type.fetch_gb_per_s))
            .fold(0.0, f64::max)
    }

    /// The interned copy of the name of a machine type or zone, or `name` itself if the catalog
    /// does not contain it.
    pub(super) fn interned_name(&self, name: &Arc<str>) -> Arc<str> {
        let known = self.interned_names.iter().find(|known| *known == name);
        known.unwrap_or(name).clone()
    }
}

fn interned_names(machine_types: &[MachineType]) -> Vec<Arc<str>> {
    let names = machine_types
        .iter()
        .flat_map(|machine_type| machine_type.zones.iter().chain([&machine_type.name]));
    let distinct: BTreeSet<&String> = names.collect();
    distinct
        .into_iter()
        .map(|name| name.as_str().into())
        .collect()
}
