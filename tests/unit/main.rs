//! Tests of single modules.

mod admission;
mod agent_status;
mod cloud;
mod command_fence;
mod duties;
mod job;
mod leader_lease;
mod machine;
mod plan;
mod preemption;
mod scalability;
mod scale_in;
mod settings;
mod snapshots;
mod spot;
mod support;
mod termination_check;
mod watch_cache;
mod wire;
mod write_queue;
