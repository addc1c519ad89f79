//! Stand-ins of this review: state service, cloud, workers, users, links. Standard library only.
#![allow(dead_code)]
pub mod cluster;
pub mod platform;
pub mod wire;
