//! Keys whose values this version can't decode.
//!
//! They stay in the store and are not acted upon. Each is logged once.

use std::collections::BTreeMap;

use tracing::error;

/// Keys that can't be decoded, with their versions.
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
            error!(
                key,
                "cannot decode a duty record; keeping it in the store and ignoring it"
            );
        }
    }

    pub(super) fn remove(&mut self, key: &str) {
        self.versions.remove(key);
    }
}
