//! A controller's view of a duty's lease keys in the store.
//!
//! Invariant: the highest observed token never decreases, so a view of an earlier holder is
//! recognized as out of date and rejected.

use super::protocol::LeaseView;
use crate::Token;

/// The latest view of a lease.
#[derive(Debug, Clone, Default)]
pub(super) struct ObservedLease {
    view: Option<LeaseView>,
    /// Views with a lower token are out of date.
    highest_token: Token,
}

impl ObservedLease {
    pub(super) fn view(&self) -> Option<&LeaseView> {
        self.view.as_ref()
    }

    /// Replaces the view. Returns false, and keeps the present one, if the new view is out of
    /// date.
    pub(super) fn accept(&mut self, view: &LeaseView) -> bool {
        if view.token < self.highest_token {
            return false;
        }
        self.highest_token = view.token;
        self.view = Some(view.clone());
        true
    }

    /// Discards the view, but not the highest token.
    pub(super) fn clear(&mut self) {
        self.view = None;
    }

    /// Records the token of this controller's acquisition, which no view shows yet.
    pub(super) fn raise_token(&mut self, token: Token) {
        self.highest_token = self.highest_token.max(token);
    }

    /// Whether `member` may acquire the lease: nobody holds it, or an earlier process of the
    /// same member does. False without a view.
    pub(super) fn is_free_for(&self, member: &str) -> bool {
        self.view.as_ref().is_some_and(|view| {
            let holder = view.holder.as_ref();
            holder.is_none_or(|holder| holder.member == member)
        })
    }

    /// The token for the next holder.
    pub(super) fn next_token(&self) -> Token {
        let last_token = self.view.as_ref().map_or(0, |view| view.token);
        last_token + 1
    }
}
