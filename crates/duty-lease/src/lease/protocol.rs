//! Messages between a controller and the store about one duty's lease, and the values that
//! the store holds for it.
//!
//! These are plain data types. A response is matched to its request by the request's number,
//! see [`super::DutyLease::tick`].

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

/// The lease keys of a duty in the store, as of one read.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct LeaseView {
    /// The lease key; `None` if no controller holds the duty.
    pub holder: Option<HolderKey>,
    /// The version of the lease key; 0 if it does not exist.
    pub holder_version: u64,
    /// The last token that was issued. It has a key of its own, as the lease key is deleted
    /// with its grant.
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
        /// Time after which the grant expires without a renewal, in milliseconds.
        ttl_ms: u64,
    },
    /// Write the lease key and raise the token, in one transaction; both keys must still
    /// have these versions.
    Acquire {
        /// The id of the grant that the lease key is attached to.
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
        /// The id of the grant.
        grant: u64,
    },
    /// Revoke a grant, which deletes the lease key attached to it.
    Release {
        /// The id of the grant.
        grant: u64,
    },
}

/// A request with the number that identifies its response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutgoingLeaseRequest {
    /// The number, unique within one [`super::DutyLease`].
    pub id: u64,
    /// The request to send to the store; a retry gets a new `id`.
    pub request: LeaseRequest,
}

/// The result of a [`LeaseRequest`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseResponse {
    /// The lease keys as read.
    View(LeaseView),
    /// The id of the grant that was created.
    Granted(u64),
    /// The lease key was written for this controller.
    Acquired {
        /// The new version of the lease key.
        version: u64,
    },
    /// A key did not have the expected version.
    Conflict,
    /// The grant was renewed.
    Renewed,
    /// The grant no longer exists.
    GrantEnded,
    /// The grant was revoked.
    Released,
    /// The request was not carried out.
    Refused,
    /// Unknown outcome: the request may have been carried out, or may still be.
    NoResponse,
}
