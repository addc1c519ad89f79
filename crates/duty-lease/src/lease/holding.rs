//! A holder's own time: until when it may rely on its lease.
//!
//! Invariant: the time counts from when the last confirmed renewal was *sent*, never from
//! its answer. The store renewed the grant at that moment or later, so the lease lasts at
//! least as long there as the holder takes it to last.

use crate::Token;

/// An attempt to acquire the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Acquisition {
    /// The grant that the lease key is attached to.
    pub(super) grant: u64,
    pub(super) token: Token,
}

/// What a confirmed renewal means for its holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Confirmation {
    /// Orders were allowed, and are for longer.
    Extended,
    /// Orders are allowed again.
    Resumed,
    /// It was sent before the suspension: another one is required.
    TooEarly,
}

/// A lease that this controller has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Holding {
    pub(super) grant: u64,
    pub(super) token: Token,
    /// The version of the lease key.
    pub(super) version: u64,
    /// When the last confirmed renewal was sent, on the holder's clock.
    confirmed_at: u64,
    /// Only a renewal that is sent from this moment on confirms the lease.
    suspended_at: Option<u64>,
}

impl Holding {
    /// A new lease, suspended until a renewal confirms the grant: its age is unknown.
    pub(super) fn new(acquisition: Acquisition, version: u64, sent_at: u64, now: u64) -> Holding {
        Holding {
            grant: acquisition.grant,
            token: acquisition.token,
            version,
            confirmed_at: sent_at,
            suspended_at: Some(now),
        }
    }

    /// Whether orders may be given now.
    pub(super) fn allows_orders(&self, now: u64, order_window_ms: u64) -> bool {
        self.suspended_at.is_none() && now < self.confirmed_at + order_window_ms
    }

    /// Allows no orders until a renewal that is sent from now on is confirmed.
    pub(super) fn suspend(&mut self, now: u64) {
        self.suspended_at = Some(now);
        self.confirmed_at = self.confirmed_at.min(now);
    }

    /// The store has confirmed the renewal that was sent at `sent_at`.
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
