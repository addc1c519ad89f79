//! What controllers tell one another.

use prost::Message;

/// Where status messages and handed-on requests go.
pub const STATUS_PATH: &str = "/mesh/status";
pub const HAND_PATH: &str = "/mesh/hand";

/// One controller's view, sent to each other one about once a second and
/// answered with the receiver's own.
#[derive(Clone, PartialEq, Message)]
pub struct Status {
    #[prost(string, tag = "1")]
    pub member: String,
    /// The state service has answered lately.
    #[prost(bool, tag = "2")]
    pub served: bool,
    /// 0 if it does not lead.
    #[prost(uint64, tag = "3")]
    pub leads: u64,
    /// Workers it has turned away in the last few report intervals.
    #[prost(uint32, tag = "4")]
    pub turned_away: u32,
    /// How long this process has run.
    #[prost(uint64, tag = "5")]
    pub age_ms: u64,
    /// Jobs that it has lately told users to be cancelled, for a leader that the
    /// state service does not answer.
    #[prost(string, repeated, tag = "6")]
    pub withdrawn: Vec<String>,
    /// The latest format that this version knows; 0 for the one in production.
    #[prost(uint64, tag = "7")]
    pub knows_format: u64,
}

/// A user's request that the sender can't decide.
#[derive(Clone, PartialEq, Message)]
pub struct Hand {
    #[prost(string, tag = "1")]
    pub method: String,
    #[prost(string, tag = "2")]
    pub path: String,
    #[prost(bytes = "vec", tag = "3")]
    pub body: Vec<u8>,
}

/// The answer to it.
#[derive(Clone, PartialEq, Message)]
pub struct Handed {
    #[prost(uint32, tag = "1")]
    pub status: u32,
    #[prost(uint32, optional, tag = "2")]
    pub retry_after: Option<u32>,
    #[prost(bytes = "vec", tag = "3")]
    pub body: Vec<u8>,
}
