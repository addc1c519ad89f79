//! Tracks until when a holder may rely on its lease, on the holder's own clock.
//!
//! Invariant: the time counts from when the last confirmed renewal was *sent*, never from
//! its response. The store renewed the grant at that moment or later, so the store keeps the
//! lease at least as long as the holder relies on it.

use crate::Token;

/// An attempt to acquire the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Acquisition {
    /// The grant that the lease key is attached to.
    pub(super) grant: u64,
    pub(super) token: Token,
}

/// The effect of a confirmed renewal on the holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Confirmation {
    /// Orders were not suspended; the order window is extended.
    Extended,
    /// Orders are allowed again.
    Resumed,
    /// The renewal was sent before the suspension, so another one is required.
    TooEarly,
}

/// A lease that this controller holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Holding {
    pub(super) grant: u64,
    pub(super) token: Token,
    /// The version of the lease key.
    pub(super) version: u64,
    /// When the last confirmed renewal was sent, on the holder's clock.
    confirmed_at: u64,
    /// When orders were suspended; only a renewal sent at this time or later confirms the
    /// lease. `None` while orders are not suspended.
    suspended_at: Option<u64>,
}

impl Holding {
    /// A newly acquired lease. Its orders are suspended until a renewal confirms the grant,
    /// whose age is unknown.
    pub(super) fn new(acquisition: Acquisition, version: u64, sent_at: u64, now: u64) -> Holding {
        Holding {
            grant: acquisition.grant,
            token: acquisition.token,
            version,
            confirmed_at: sent_at,
            suspended_at: Some(now),
        }
    }

    /// Whether orders may be sent now.
    pub(super) fn allows_orders(&self, now: u64, order_window_ms: u64) -> bool {
        self.suspended_at.is_none() && now < self.confirmed_at + order_window_ms
    }

    /// Suspends orders until a renewal that is sent at `now` or later is confirmed.
    pub(super) fn suspend(&mut self, now: u64) {
        self.suspended_at = Some(now);
        self.confirmed_at = self.confirmed_at.min(now);
    }

    /// Handles the store's confirmation of the renewal that was sent at `sent_at`.
    pub(super) fn confirm(&mut self, sent_at: u64) -> Confirmation {
        self.confirmed_at = self.confirmed_at.max(sent_at);
        match self.suspended_at {
            None => Confirmation::Extended,
            Some(suspended_at) if sent_at >= suspended_at => {
                self.suspended_at = None;
                Confirmation::Resumed
            }
            Some(_) => Confirmation::TooEarly,
        }
    }
}
