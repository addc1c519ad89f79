//! Local copy of the lease records of duties.
//!
//! Invariant: the version of each key only increases, except that a deleted lease key has
//! version 0.

use std::collections::BTreeMap;

use duty_lease::{Duty, HolderKey, LeaseView, Token};
use tracing::error;

/// The latest view of each duty's lease.
#[derive(Debug, Default)]
pub(super) struct CachedLeases {
    views: BTreeMap<Duty, LeaseView>,
}

impl CachedLeases {
    pub(super) fn view(&self, duty: Duty) -> LeaseView {
        self.views.get(&duty).cloned().unwrap_or_default()
    }

    pub(super) fn holder(&self, duty: Duty) -> Option<&HolderKey> {
        self.views.get(&duty)?.holder.as_ref()
    }

    /// Applies a write or a deletion of the lease key. Returns false, and changes nothing, if
    /// the known version is at least as new: this controller's own acquisition may be ahead
    /// of the watch.
    pub(super) fn set_holder(
        &mut self,
        duty: Duty,
        holder: Option<HolderKey>,
        version: u64,
    ) -> bool {
        let view = self.views.entry(duty).or_default();
        if view.holder_version >= version {
            return false;
        }
        view.holder_version = if holder.is_some() { version } else { 0 };
        view.holder = holder;
        true
    }

    /// Applies a newly issued token. Returns false, and changes nothing, if the known version
    /// is at least as new.
    pub(super) fn set_token(&mut self, duty: Duty, token: Token, version: u64) -> bool {
        let view = self.views.entry(duty).or_default();
        if view.token_version >= version {
            return false;
        }
        if token < view.token {
            error!(
                duty = duty.name(),
                token,
                previous_token = view.token,
                "fencing token in the store decreased"
            );
        }
        view.token = token;
        view.token_version = version;
        true
    }
}
