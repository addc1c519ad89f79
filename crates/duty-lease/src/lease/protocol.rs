//! The messages between a controller and the store about one duty's lease, and the values
//! that the store keeps for it.
//!
//! These types carry no behaviour. A response belongs to the request whose number it
//! comes back with, see [`super::DutyLease::tick`].

use serde::{Deserialize, Serialize};

use crate::Token;

/// The value of a duty's lease key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderKey {
    /// The holder's name.
    pub member: String,
    /// The token under which it holds the duty.
    pub token: Token,
}

/// What the store holds for a duty, as of one read.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct LeaseView {
    /// The lease key; `None` if no controller holds the duty.
    pub holder: Option<HolderKey>,
    /// The version of the lease key; 0 if it does not exist.
    pub holder_version: u64,
    /// The last token that was issued. Kept apart from the lease key, which vanishes with
    /// its grant.
    pub token: Token,
    /// The version of the token's key; 0 if it does not exist.
    pub token_version: u64,
}

/// A request to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseRequest {
    /// Read the keys of the duty.
    Read,
    /// Create a grant.
    CreateGrant {
        /// Its time to live without a renewal, in milliseconds.
        ttl_ms: u64,
    },
    /// Write the lease key and raise the token, in one transaction; both keys must still
    /// have these versions.
    Acquire {
        /// The grant that the lease key is attached to.
        grant: u64,
        /// The new value of the lease key, with the new token.
        holder: HolderKey,
        /// The expected version of the lease key.
        holder_version: u64,
        /// The expected version of the token's key.
        token_version: u64,
    },
    /// Renew a grant.
    Renew {
        /// The grant.
        grant: u64,
    },
    /// End a grant, and with it the lease.
    Release {
        /// The grant.
        grant: u64,
    },
}

/// A request with the number that its response is passed back under.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NumberedRequest {
    /// The number, used once per lease.
    pub id: u64,
    /// The request.
    pub request: LeaseRequest,
}

/// The result of a [`LeaseRequest`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseResponse {
    /// The keys of the duty as read.
    View(LeaseView),
    /// The grant was created; its id.
    Granted(u64),
    /// The lease key was written for this controller.
    Acquired {
        /// Its version.
        version: u64,
    },
    /// A key had another version.
    Conflict,
    /// The grant was renewed.
    Renewed,
    /// The grant does not exist any more.
    GrantEnded,
    /// The grant was ended.
    Released,
    /// The request was not carried out.
    Refused,
    /// Unknown outcome: the request may have been carried out, or may yet be.
    NoAnswer,
}
