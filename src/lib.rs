//! gaugesill: a cluster scheduler that starts gangs all or nothing.
//!
//! The core modules take events and the time and return actions; `net` and
//! `serve` alone know sockets, threads and clocks.

pub mod cloud;
pub mod control;
pub mod deps;
pub mod fleet;
pub mod front;
pub mod job;
pub mod lead;
pub mod mesh;
pub mod net;
pub mod node;
pub mod packed;
pub mod plan;
pub mod serve;
pub mod settings;
pub mod state;
pub mod store;
pub mod wire;
