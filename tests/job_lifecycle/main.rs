//! Jobs from submission to completion on three controllers, with crashes, partitions and outages
//! at every step. The kept traces in `tests/traces` are meant to be read.

mod basics;
mod cancellation;
#[path = "../common/mod.rs"]
mod common;
mod crashes;
mod gangs;
mod machines;
mod partitions;
mod support;
