//! The modules by themselves.

mod admission;
mod cloud;
mod duties;
mod job;
mod leader_lease;
mod machine;
mod plan;
mod reports;
mod returns;
mod settings;
mod size;
mod snapshots;
mod support;
mod termination_check;
mod watch_cache;
mod wire;
mod write_queue;
