//! A model of a machine's image cache.

use std::sync::Arc;

/// A cached image.
#[derive(Debug, Clone)]
struct CachedImage {
    name: Arc<str>,
    size_gb: f64,
}

/// The images that a machine is expected to have in its cache, which evicts the least recently
/// used ones.
#[derive(Debug, Clone, Default)]
pub struct ImageCache {
    /// The least recently used image first.
    images: Vec<CachedImage>,
}

impl ImageCache {
    /// Records the use of an image on a machine whose cache holds `capacity_gb`. Returns false if
    /// the image already was the most recently used one.
    pub(super) fn add(&mut self, image: &str, size_gb: f64, capacity_gb: f64) -> bool {
        if self.images.last().is_some_and(|last| *last.name == *image) {
            return false;
        }
        self.images.retain(|cached| *cached.name != *image);
        self.images.push(CachedImage {
            name: image.into(),
            size_gb,
        });
        while self.images.len() > 1 && self.cached_gb() > capacity_gb {
            self.images.remove(0);
        }
        true
    }

    /// Returns the number of cached images.
    pub fn count(&self) -> usize {
        self.images.len()
    }

    /// Returns the names of the cached images, the least recently used first.
    pub fn names(&self) -> impl Iterator<Item = &Arc<str>> {
        self.images.iter().map(|image| &image.name)
    }

    fn cached_gb(&self) -> f64 {
        self.images.iter().map(|image| image.size_gb).sum()
    }
}
