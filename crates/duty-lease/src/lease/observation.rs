//! What a controller knows of a duty's lease from the store.
//!
//! Invariant: the highest token that was seen never goes down, so a view of an earlier
//! holder is recognized as out of date and rejected.

use super::protocol::LeaseView;
use crate::Token;

/// The latest view of a lease.
#[derive(Debug, Clone, Default)]
pub(super) struct ObservedLease {
    view: Option<LeaseView>,
    /// A view with a lower token is out of date.
    highest_token: Token,
}

impl ObservedLease {
    pub(super) fn view(&self) -> Option<&LeaseView> {
        self.view.as_ref()
    }

    /// Replaces the view with a newer one. Returns false, and keeps what there is, if the
    /// view is out of date.
    pub(super) fn accept(&mut self, view: &LeaseView) -> bool {
        if view.token < self.highest_token {
            return false;
        }
        self.highest_token = view.token;
        self.view = Some(view.clone());
        true
    }

    /// Forgets the view, not the highest token.
    pub(super) fn clear(&mut self) {
        self.view = None;
    }

    /// An own acquisition is known before any view shows it.
    pub(super) fn raise_token(&mut self, token: Token) {
        self.highest_token = self.highest_token.max(token);
    }

    /// Whether `member` may acquire the lease: no controller holds it, or an earlier
    /// process of that name. Without a view it may not.
    pub(super) fn is_free_for(&self, member: &str) -> bool {
        self.view.as_ref().is_some_and(|view| {
            let holder = view.holder.as_ref();
            holder.is_none_or(|holder| holder.member == member)
        })
    }

    /// The token of the next holder.
    pub(super) fn next_token(&self) -> Token {
        let last_token = self.view.as_ref().map_or(0, |view| view.token);
        last_token + 1
    }
}
