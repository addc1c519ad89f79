//! Which machines have or fetch which image.

use std::collections::HashMap;
use std::sync::Arc;

use super::snapshot::MachineView;

/// The machines that have or fetch an image. Machines go by their index.
#[derive(Debug, Default)]
pub(super) struct ImageMachines {
    machines: Vec<usize>,
    has_image: Vec<bool>,
}

impl ImageMachines {
    /// The machines, in order.
    pub fn machines(&self) -> &[usize] {
        &self.machines
    }

    /// Whether a machine is one of them.
    pub fn contains(&self, machine: usize) -> bool {
        self.has_image[machine]
    }
}

/// The machines of all images that were asked for.
#[derive(Debug, Default)]
pub(super) struct ImageMap(HashMap<Arc<str>, ImageMachines>);

impl ImageMap {
    /// Makes sure that the machines of an image are known.
    pub fn prepare(&mut self, image: &str, machines: &[Arc<MachineView>]) {
        if self.0.contains_key(image) {
            return;
        }
        let has_image: Vec<bool> = machines
            .iter()
            .map(|machine| machine.images.iter().any(|other| **other == *image))
            .collect();
        let indexes = has_image.iter().enumerate();
        let with_image = indexes.filter(|(_, has)| **has).map(|(index, _)| index);
        let machines = with_image.collect();
        let known = ImageMachines {
            machines,
            has_image,
        };
        self.0.insert(image.into(), known);
    }

    /// The machines of an image, once prepared.
    pub fn get(&self, image: &str) -> Option<&ImageMachines> {
        self.0.get(image)
    }
}
