//! The HTTP statuses that the protocols or this service use, with their meaning there.

/// The request was carried out.
pub const OK: u16 = 200;
/// A job was accepted.
pub const CREATED: u16 = 201;
/// The request is malformed.
pub const BAD_REQUEST: u16 = 400;
/// There is no such key, grant, job or path.
pub const NOT_FOUND: u16 = 404;
/// The path does not support the method.
pub const METHOD_NOT_ALLOWED: u16 = 405;
/// A condition does not hold, or a fencing token is too low.
pub const CONFLICT: u16 = 409;
/// A watch begins before the oldest change that the store retains.
pub const GONE: u16 = 410;
/// A request body has no declared length.
pub const LENGTH_REQUIRED: u16 = 411;
/// A request body is too large.
pub const BODY_TOO_LARGE: u16 = 413;
/// Another controller handles heartbeats.
pub const MISDIRECTED_REQUEST: u16 = 421;
/// A job can never run.
pub const UNPROCESSABLE: u16 = 422;
/// A rate limit is exceeded.
pub const TOO_MANY_REQUESTS: u16 = 429;
/// The head of a request is too large.
pub const HEAD_TOO_LARGE: u16 = 431;
/// The request cannot be served at present.
pub const UNAVAILABLE: u16 = 503;
