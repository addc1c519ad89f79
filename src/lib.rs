//! gaugesill: a cluster scheduler that starts gangs all or nothing.
//!
//! The core modules take events and the time and return actions. Only [`net`] and [`serve`] use
//! sockets, threads and clocks.

pub mod admission;
pub mod cloud;
pub mod controller;
pub mod dependencies;
pub mod duties;
pub mod epoch;
pub mod fleet_capacity;
pub mod job;
pub mod leader_lease;
pub mod leadership_keys;
pub mod machine;
pub mod net;
pub mod packed_record;
pub mod peer_protocol;
pub mod plan;
pub mod rate_limit;
pub mod scheduler;
pub mod serve;
pub mod settings;
mod task_runs;
pub mod termination_check;
mod time_units;
pub mod watch_cache;
pub mod wire;
pub mod write_queue;
