//! Jobs that depend on others: pipelines, their cancellation, and faults while they run. The
//! simulation records a violation when a task starts before all dependencies of its job are
//! done, or when a job whose dependency was cancelled is still reported as pending.

mod cancellation;
#[path = "../common/mod.rs"]
mod common;
mod graph;
mod pipelines;
mod scheduling;
mod submission;
mod support;
