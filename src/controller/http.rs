//! HTTP requests that this controller sends, and responses to those that it receives.

use crate::net::status;
use crate::wire;

/// Delay in seconds after which clients are asked to retry. They wait at least as long without it.
pub(super) const RETRY_AFTER_S: u32 = 1;
/// Timeout of a read of a single key of the store, and of a watch request that does not block.
pub(super) const READ_TIMEOUT_MS: u64 = 1000;

const GET: &str = "GET";
const POST: &str = "POST";
const DELETE: &str = "DELETE";

/// A request to be sent.
pub(super) struct HttpCall {
    pub method: &'static str,
    pub path: String,
    pub body: Vec<u8>,
    pub timeout_ms: u64,
}

impl HttpCall {
    pub(super) fn get(path: impl Into<String>, timeout_ms: u64) -> HttpCall {
        HttpCall {
            method: GET,
            path: path.into(),
            body: vec![],
            timeout_ms,
        }
    }

    pub(super) fn post(path: impl Into<String>, body: Vec<u8>, timeout_ms: u64) -> HttpCall {
        HttpCall {
            method: POST,
            path: path.into(),
            body,
            timeout_ms,
        }
    }

    /// Reads a single key of the store.
    pub(super) fn get_key(key: &str) -> HttpCall {
        HttpCall::get(wire::key_path(key), READ_TIMEOUT_MS)
    }

    /// Reads a page of the store's keys under a prefix, starting behind the key `from`.
    pub(super) fn get_page(
        prefix: &str,
        from: Option<&str>,
        keys_max: usize,
        timeout_ms: u64,
    ) -> HttpCall {
        HttpCall::get(wire::keys_path(prefix, from, keys_max), timeout_ms)
    }

    /// Sends a transaction to the store.
    pub(super) fn transaction(transaction: &wire::Transaction, timeout_ms: u64) -> HttpCall {
        HttpCall::post(
            wire::transaction_path(),
            wire::encode(transaction),
            timeout_ms,
        )
    }

    /// Creates a grant (a lease with a time to live) in the store.
    pub(super) fn create_grant(ttl_ms: u64, timeout_ms: u64) -> HttpCall {
        let body = wire::encode(&wire::GrantRequest { ttl_ms });
        HttpCall::post(wire::grants_path(), body, timeout_ms)
    }

    /// Renews a grant of the store.
    pub(super) fn renew_grant(grant: u64, timeout_ms: u64) -> HttpCall {
        HttpCall::post(wire::renewal_path(grant), vec![], timeout_ms)
    }

    /// Revokes a grant of the store, so that it ends before it expires.
    pub(super) fn revoke_grant(grant: u64, timeout_ms: u64) -> HttpCall {
        HttpCall {
            method: DELETE,
            path: wire::grant_path(grant),
            body: vec![],
            timeout_ms,
        }
    }
}

/// A response to a request that was received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct HttpResponse {
    pub status: u16,
    /// Delay in seconds after which the client is asked to retry; `None` if it is not asked to.
    pub retry_after_s: Option<u32>,
    pub body: Vec<u8>,
}

impl HttpResponse {
    /// A response with a body; the client is not asked to retry.
    pub(super) fn new(status: u16, body: Vec<u8>) -> HttpResponse {
        HttpResponse {
            status,
            retry_after_s: None,
            body,
        }
    }

    /// A successful response.
    pub(super) fn ok(body: Vec<u8>) -> HttpResponse {
        HttpResponse::new(status::OK, body)
    }

    /// A response without a body.
    pub(super) fn empty(status: u16) -> HttpResponse {
        HttpResponse::new(status, vec![])
    }

    /// An empty response with status 503 (service unavailable), which asks the client to retry.
    pub(super) fn unavailable() -> HttpResponse {
        HttpResponse::empty(status::UNAVAILABLE).with_retry_after()
    }

    /// A response whose body states the reason of an error.
    pub(super) fn error(status: u16, reason: &str) -> HttpResponse {
        let body = wire::encode(&wire::ErrorReply { error: reason });
        HttpResponse::new(status, body)
    }

    /// Asks the client to retry after [`RETRY_AFTER_S`].
    pub(super) fn with_retry_after(self) -> HttpResponse {
        HttpResponse {
            retry_after_s: Some(RETRY_AFTER_S),
            ..self
        }
    }
}
