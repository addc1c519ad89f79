//! The HTTP statuses that the protocols give a meaning to.

/// Carried out.
pub const OK: u16 = 200;
/// A job was accepted.
pub const CREATED: u16 = 201;
/// Malformed.
pub const BAD_REQUEST: u16 = 400;
/// No such key, lease, job or path.
pub const NOT_FOUND: u16 = 404;
/// Not this method on this path.
pub const METHOD_NOT_ALLOWED: u16 = 405;
/// A condition did not hold, or a fencing token is too low.
pub const CONFLICT: u16 = 409;
/// A watch begins before what the store remembers.
pub const GONE: u16 = 410;
/// Another controller handles heartbeats.
pub const MISDIRECTED_REQUEST: u16 = 421;
/// A job can never run.
pub const UNPROCESSABLE: u16 = 422;
/// Above a rate limit.
pub const TOO_MANY_REQUESTS: u16 = 429;
/// Not now.
pub const UNAVAILABLE: u16 = 503;
