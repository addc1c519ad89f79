//! Keys whose values this version can't read.
//!
//! They stay in the store and are not acted upon. Each is logged once.

use std::collections::BTreeMap;

use tracing::error;

/// Unreadable keys with their versions.
#[derive(Debug, Default)]
pub(super) struct UnreadableKeys {
    versions: BTreeMap<String, u64>,
}

impl UnreadableKeys {
    pub(super) fn iter(&self) -> impl Iterator<Item = &str> {
        self.versions.keys().map(String::as_str)
    }

    pub(super) fn insert(&mut self, key: &str, version: u64) {
        if self.versions.insert(key.to_string(), version).is_none() {
            error!(key, "unreadable record: kept, and not acted upon");
        }
    }

    pub(super) fn remove(&mut self, key: &str) {
        self.versions.remove(key);
    }
}
