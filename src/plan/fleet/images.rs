//! Which machines have an image or are fetching it.

use std::collections::HashMap;
use std::sync::Arc;

use crate::plan::snapshot::MachineView;

/// The machines that have an image or are fetching it.
#[derive(Debug, Default)]
pub(in crate::plan) struct ImageMachines {
    machines: Vec<usize>,
    has_image: Vec<bool>,
}

impl ImageMachines {
    fn new(image: &str, machines: &[Arc<MachineView>]) -> ImageMachines {
        let has_image: Vec<bool> = machines
            .iter()
            .map(|machine| machine.images.iter().any(|other| **other == *image))
            .collect();
        let indexes = has_image.iter().enumerate();
        let with_image = indexes.filter(|(_, has)| **has).map(|(index, _)| index);
        ImageMachines {
            machines: with_image.collect(),
            has_image,
        }
    }

    /// Whether a machine has the image or is fetching it.
    pub(crate) fn contains(&self, machine: usize) -> bool {
        self.has_image[machine]
    }
}

/// The machines of each prepared image.
#[derive(Debug, Default)]
pub(in crate::plan) struct ImageMap(HashMap<Arc<str>, ImageMachines>);

impl ImageMap {
    /// Collects the machines of an image, unless this is done already.
    pub(crate) fn prepare(&mut self, image: &str, machines: &[Arc<MachineView>]) {
        if !self.0.contains_key(image) {
            let known = ImageMachines::new(image, machines);
            self.0.insert(image.into(), known);
        }
    }

    /// The machines of an image; `None` if it is not prepared.
    pub(crate) fn get(&self, image: &str) -> Option<&ImageMachines> {
        self.0.get(image)
    }

    /// The machines of an image in ascending order; empty if it is not prepared.
    pub(crate) fn machines_with(&self, image: &str) -> &[usize] {
        self.get(image).map_or(&[], |known| &known.machines)
    }
}
