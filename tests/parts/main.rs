//! The modules by themselves.

mod admission;
mod cloud;
mod duties;
mod job;
mod leader_lease;
mod machine;
mod plan;
mod replica;
mod reports;
mod returns;
mod settings;
mod size;
mod snapshots;
mod support;
mod wire;
mod write_queue;
