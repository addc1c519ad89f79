//! Paths of requests to the store, to the cloud and for jobs, with their query parameters.

/// Suffix of a job's path in a cancellation request.
pub const CANCELLATION_SUFFIX: &str = "/cancel";

/// Path of a single key of the store.
pub fn key_path(key: &str) -> String {
    format!("/kv/{key}")
}

/// Path of a page of at most `limit` keys with a prefix, in order, starting after a key.
pub fn keys_path(prefix: &str, after: Option<&str>, limit: usize) -> String {
    let from = after.map(|key| format!("&from={key}")).unwrap_or_default();
    format!("/kv?under={prefix}{from}&most={limit}")
}

/// Path of a watch: the changes of keys with a prefix after a revision. If there are none, the
/// store waits up to `hold_ms` for one.
pub fn watch_path(prefix: &str, after_revision: u64, hold_ms: u64) -> String {
    format!("/watch?under={prefix}&from={after_revision}&holdMs={hold_ms}")
}

/// Path of transactions.
pub fn transaction_path() -> &'static str {
    "/txn"
}

/// Path that creates a grant.
pub fn grants_path() -> &'static str {
    "/grants"
}

/// Path of an existing grant.
pub fn grant_path(grant: u64) -> String {
    format!("/grants/{grant}")
}

/// Path that renews a grant.
pub fn renewal_path(grant: u64) -> String {
    format!("/grants/{grant}/renew")
}

/// Path of the cloud's machine types.
pub fn machine_types_path() -> &'static str {
    "/flavors"
}

/// Path of a page of at most `limit` machines of the cloud's list, in order, starting after a
/// name.
pub fn machine_list_path(after: Option<&str>, limit: u64) -> String {
    let from = after
        .map(|name| format!("from={name}&"))
        .unwrap_or_default();
    format!("/machines?{from}most={limit}")
}

/// Path of a job.
pub fn job_path(id: &str) -> String {
    format!("{}/{id}", super::JOBS_PATH)
}

/// Path that cancels a job.
pub fn cancellation_path(id: &str) -> String {
    format!("{}/{id}{CANCELLATION_SUFFIX}", super::JOBS_PATH)
}
