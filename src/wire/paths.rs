//! Paths of requests to the store and to the cloud, with their parameters.

/// What follows a job's path in a request to cancel it.
pub const CANCELLATION_SUFFIX: &str = "/cancel";

/// A single key of the store.
pub fn key_path(key: &str) -> String {
    format!("/kv/{key}")
}

/// At most `limit` keys with a prefix, in order, starting after a key.
pub fn keys_path(prefix: &str, after: Option<&str>, limit: usize) -> String {
    let from = after.map(|key| format!("&from={key}")).unwrap_or_default();
    format!("/kv?under={prefix}{from}&most={limit}")
}

/// The changes of keys with a prefix after a revision; the store waits at most `hold_ms` for
/// one.
pub fn watch_path(prefix: &str, after_revision: u64, hold_ms: u64) -> String {
    format!("/watch?under={prefix}&from={after_revision}&holdMs={hold_ms}")
}

/// A transaction.
pub fn transaction_path() -> &'static str {
    "/txn"
}

/// A new grant.
pub fn grants_path() -> &'static str {
    "/grants"
}

/// A grant that exists.
pub fn grant_path(grant: u64) -> String {
    format!("/grants/{grant}")
}

/// The renewal of a grant.
pub fn renewal_path(grant: u64) -> String {
    format!("/grants/{grant}/renew")
}

/// The machine types that the cloud rents.
pub fn machine_types_path() -> &'static str {
    "/flavors"
}

/// At most `limit` machines of the cloud's list, in order, starting after a name.
pub fn machine_list_path(after: Option<&str>, limit: u64) -> String {
    let from = after
        .map(|name| format!("from={name}&"))
        .unwrap_or_default();
    format!("/machines?{from}most={limit}")
}

/// A job.
pub fn job_path(id: &str) -> String {
    format!("{}/{id}", super::JOBS_PATH)
}

/// The cancellation of a job.
pub fn cancellation_path(id: &str) -> String {
    format!("{}/{id}{CANCELLATION_SUFFIX}", super::JOBS_PATH)
}
